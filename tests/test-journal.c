/* Tests of the journal on a simulated disk that crashes and fails.  */

#include <string.h>

#include "base/journal.h"
#include "tests/fakedisk.h"

enum
{
  /* Length and checksum in front of each record.  */
  HEADER_BYTES = 4 + 16,
  /* The record "second" with its header.  */
  SECOND_BYTES = HEADER_BYTES + 6,
  RECORD_BYTES_MAX = 64 * 1024 * 1024
};

static enum jc_status
append_record (void *ctx, uint64_t position, struct jc_str record)
{
  (void)position;
  g_string_append_len (ctx, record.data, (gssize)record.len);
  return JC_OK;
}

/* Open the journal of DISK and return its records, concatenated.  */
static char *
read_records (struct jc_disk *disk, enum jc_status *status)
{
  GString *records = g_string_new (NULL);
  struct jc_journal *journal
      = jc_journal_open (disk, "log", append_record, records, status);

  jc_journal_free (journal);
  return g_string_free (records, FALSE);
}

/* Return a disk after a crash with two records in its journal: "first" is
   synced, of "second" only UNSYNCED_BYTES are on disk.  */
static struct jc_disk *
disk_after_crash (size_t unsynced_bytes)
{
  struct jc_disk *disk = fakedisk_new ();
  GString *records = g_string_new (NULL);
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", append_record, records, &status);

  jc_journal_append (journal, JC_STR_LIT ("first"));
  jc_journal_sync (journal);
  jc_journal_append (journal, JC_STR_LIT ("second"));
  fakedisk_crash (disk, unsynced_bytes);
  jc_journal_free (journal);
  g_string_free (records, TRUE);
  return disk;
}

/* A crash leaves any part of the last record.  Opening the journal returns the
   records that are complete.  */
static void
test_torn_tail (void)
{
  for (size_t unsynced_bytes = 0; unsynced_bytes <= SECOND_BYTES;
       unsynced_bytes++)
    {
      struct jc_disk *disk = disk_after_crash (unsynced_bytes);
      enum jc_status status;
      char *records = read_records (disk, &status);

      g_assert_cmpint (status, ==, JC_OK);
      g_assert_cmpstr (records, ==,
                       unsynced_bytes < SECOND_BYTES ? "first" : "firstsecond");
      g_free (records);
      disk->klass->free (disk);
    }
}

/* A flipped bit in a record that others follow is an error: truncating there
   would lose synced records.  */
static void
test_damaged_record (void)
{
  struct jc_disk *disk = disk_after_crash (100);
  GByteArray *bytes = g_byte_array_new ();
  enum jc_status status;
  char *records;

  disk->klass->read (disk, "log", 0, SIZE_MAX, bytes);
  bytes->data[HEADER_BYTES + 2] ^= 1;
  disk->klass->replace (
      disk, "log",
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  records = read_records (disk, &status);
  g_assert_cmpint (status, ==, JC_CORRUPT);
  g_free (records);
  g_byte_array_free (bytes, TRUE);
  disk->klass->free (disk);
}

/* After a failed sync it is unknown what is on disk, so the journal must not
   report success again, even if the disk works.  */
static void
test_failed_sync (void)
{
  struct jc_disk *disk = fakedisk_new ();
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", append_record, NULL, &status);

  fakedisk_fail_after (disk, 1);
  jc_journal_append (journal, JC_STR_LIT ("a"));
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_STORAGE_FAILED);
  fakedisk_fail_after (disk, -1);
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_STORAGE_FAILED);
  g_assert_true (jc_journal_failed (journal));
  jc_journal_free (journal);
  disk->klass->free (disk);
}

/* Guards against a record that can be written but not read: a start would
   truncate it, though it was acknowledged, or refuse the file.  */
static void
test_too_large_record (void)
{
  char *bytes = g_malloc0 (RECORD_BYTES_MAX + 1);
  struct jc_str record = { .data = bytes, .len = RECORD_BYTES_MAX + 1 };
  GPtrArray *records = g_ptr_array_new ();

  g_ptr_array_add (records, &record);
  for (int rewrite = 0; rewrite < 2; rewrite++)
    {
      struct jc_disk *disk = fakedisk_new ();
      GString *read = g_string_new (NULL);
      enum jc_status status;
      struct jc_journal *journal
          = jc_journal_open (disk, "log", append_record, read, &status);
      char *text;

      jc_journal_append (journal, JC_STR_LIT ("first"));
      g_assert_cmpint (jc_journal_sync (journal), ==, JC_OK);
      g_assert_cmpint (rewrite ? jc_journal_rewrite (journal, records)
                               : jc_journal_append (journal, record),
                       ==, JC_TOO_LARGE);
      /* Nothing that follows may be taken for durable.  */
      g_assert_cmpint (jc_journal_sync (journal), ==, JC_STORAGE_FAILED);
      jc_journal_free (journal);
      text = read_records (disk, &status);
      g_assert_cmpint (status, ==, JC_OK);
      g_assert_cmpstr (text, ==, "first");
      g_free (text);
      g_string_free (read, TRUE);
      disk->klass->free (disk);
    }
  g_ptr_array_free (records, TRUE);
  g_free (bytes);
}

/* A journal with records of many sizes, and where they begin.  */
struct positions
{
  GArray *at;
  GString *records;
};

static enum jc_status
note_position (void *ctx, uint64_t position, struct jc_str record)
{
  struct positions *positions = ctx;

  g_array_append_val (positions->at, position);
  g_string_append_len (positions->records, record.data, (gssize)record.len);
  return JC_OK;
}

/* Guards against records that are lost or mixed up where they cross the end of
   the part of the file that is in memory: some end just before, at and after
   it, some are longer.  */
static void
test_windows (void)
{
  const size_t window = 256 * 1024;
  const size_t lengths[] = { 0,          window - HEADER_BYTES, 1,
                             window,     3 * window + 7,        window - 1,
                             window / 2, window / 2 + 1,        5 };
  struct jc_disk *disk = fakedisk_new ();
  GString *written = g_string_new (NULL);
  struct positions positions
      = { g_array_new (FALSE, FALSE, sizeof (uint64_t)), g_string_new (NULL) };
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", note_position, &positions, &status);
  size_t start = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      char *data = g_strnfill (lengths[i], (char)('a' + i));

      jc_journal_append (journal,
                         (struct jc_str){ .data = data, .len = lengths[i] });
      g_string_append_len (written, data, (gssize)lengths[i]);
      g_free (data);
    }
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_OK);
  jc_journal_append (journal, JC_STR_LIT ("lost"));
  jc_journal_free (journal);
  fakedisk_crash (disk, HEADER_BYTES + 2);
  journal = jc_journal_open (disk, "log", note_position, &positions, &status);
  g_assert_cmpint (status, ==, JC_OK);
  g_assert_cmpuint (positions.at->len, ==, G_N_ELEMENTS (lengths));
  g_assert_true (g_string_equal (positions.records, written));
  for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      GByteArray *bytes = g_byte_array_new ();

      g_assert_cmpint (
          jc_journal_read (journal, g_array_index (positions.at, uint64_t, i),
                           bytes),
          ==, JC_OK);
      g_assert_cmpuint (bytes->len, ==, lengths[i]);
      if (lengths[i] > 0)
        g_assert_cmpint (memcmp (bytes->data, written->str + start, lengths[i]),
                         ==, 0);
      start += lengths[i];
      g_byte_array_free (bytes, TRUE);
    }
  jc_journal_free (journal);
  g_array_free (positions.at, TRUE);
  g_string_free (positions.records, TRUE);
  g_string_free (written, TRUE);
  disk->klass->free (disk);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/torn-tail", test_torn_tail);
  g_test_add_func ("/damaged-record", test_damaged_record);
  g_test_add_func ("/failed-sync", test_failed_sync);
  g_test_add_func ("/windows", test_windows);
  g_test_add_func ("/too-large-record", test_too_large_record);
  return g_test_run ();
}
