/* Tests of the journal on a disk that crashes and fails.  */

#include "base/journal.h"
#include "tests/fakedisk.h"

static enum jc_status
collect (void *ctx, struct jc_str record)
{
  g_string_append_len (ctx, record.data, (gssize)record.len);
  return JC_OK;
}

/* Open the journal of DISK and return its records end to end.  */
static char *
replayed (struct jc_disk *disk, enum jc_status *status)
{
  GString *seen = g_string_new (NULL);
  struct jc_journal *journal
      = jc_journal_open (disk, "log", collect, seen, status);

  jc_journal_free (journal);
  return g_string_free (seen, FALSE);
}

static struct jc_disk *
disk_with_two (size_t torn)
{
  struct jc_disk *disk = fakedisk_new ();
  GString *seen = g_string_new (NULL);
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", collect, seen, &status);

  jc_journal_append (journal, JC_STR_LIT ("first"));
  jc_journal_sync (journal);
  jc_journal_append (journal, JC_STR_LIT ("second"));
  fakedisk_crash (disk, torn);
  jc_journal_free (journal);
  g_string_free (seen, TRUE);
  return disk;
}

static void
test_torn_tail (void)
{
  for (size_t torn = 0; torn <= 26; torn++)
    {
      struct jc_disk *disk = disk_with_two (torn);
      enum jc_status status;
      char *seen = replayed (disk, &status);

      g_assert_cmpint (status, ==, JC_OK);
      g_assert_cmpstr (seen, ==, torn < 26 ? "first" : "firstsecond");
      g_free (seen);
      disk->klass->free (disk);
    }
}

static void
test_damage (void)
{
  struct jc_disk *disk = disk_with_two (100);
  GByteArray *bytes = g_byte_array_new ();
  enum jc_status status;
  char *seen;

  disk->klass->read (disk, "log", bytes);
  bytes->data[22] ^= 1;
  disk->klass->replace (
      disk, "log",
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  seen = replayed (disk, &status);
  g_assert_cmpint (status, ==, JC_CORRUPT);
  g_free (seen);
  g_byte_array_free (bytes, TRUE);
  disk->klass->free (disk);
}

static void
test_failed_sync (void)
{
  struct jc_disk *disk = fakedisk_new ();
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", collect, NULL, &status);

  fakedisk_fail_after (disk, 1);
  jc_journal_append (journal, JC_STR_LIT ("a"));
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_STORAGE_FAILED);
  fakedisk_fail_after (disk, -1);
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_STORAGE_FAILED);
  g_assert_true (jc_journal_failed (journal));
  jc_journal_free (journal);
  disk->klass->free (disk);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/torn-tail", test_torn_tail);
  g_test_add_func ("/damage", test_damage);
  g_test_add_func ("/failed-sync", test_failed_sync);
  return g_test_run ();
}
