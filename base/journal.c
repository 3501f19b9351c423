/* Journal of records with checksums.  */

#include <sodium.h>
#include <string.h>

#include "base/journal.h"

enum
{
  LENGTH_BYTES = 4,
  CHECKSUM_BYTES = 16,
  HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES,
  RECORD_BYTES_MAX = 64 * 1024 * 1024,
  /* Bytes that are read from a file at a time.  */
  WINDOW_BYTES = 256 * 1024
};

/* SIZE is the length of the file in bytes.  FAILED is set after an operation
   failed.  */
struct jc_journal
{
  struct jc_disk *disk;
  char *name;
  size_t size;
  bool failed;
};

static void
record_checksum (unsigned char *checksum, const unsigned char *length,
                 struct jc_str record)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, CHECKSUM_BYTES);
  crypto_generichash_update (&state, length, LENGTH_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)record.data,
                             record.len);
  crypto_generichash_final (&state, checksum, CHECKSUM_BYTES);
}

static void
record_encode (GByteArray *out, struct jc_str record)
{
  uint32_t len = GUINT32_TO_LE ((uint32_t)record.len);
  unsigned char header[HEADER_BYTES];

  memcpy (header, &len, LENGTH_BYTES);
  record_checksum (header + LENGTH_BYTES, header, record);
  g_byte_array_append (out, header, HEADER_BYTES);
  g_byte_array_append (out, (const guint8 *)record.data, (guint)record.len);
}

/* A part of a file that is being read from its start to its end, so that the
   whole of it is never in memory: BYTES from OFFSET on, of SIZE bytes in all.
   STATUS is that of the first read that failed.  */
struct window
{
  struct jc_disk *disk;
  const char *name;
  uint64_t size;
  uint64_t offset;
  GByteArray *bytes;
  enum jc_status status;
};

/* Return LEN bytes at POS, which must not be before that of the last call, or
   NULL if the file has fewer or can't be read.  */
static const unsigned char *
window_get (struct window *window, uint64_t pos, size_t len)
{
  guint passed = (guint)MIN (pos - window->offset, window->bytes->len);
  size_t missing;

  if (window->status != JC_OK || pos > window->size || window->size - pos < len)
    return NULL;
  if (window->bytes->len - passed >= len)
    return window->bytes->data + passed;
  if (passed > 0)
    g_byte_array_remove_range (window->bytes, 0, passed);
  window->offset = pos;
  missing = MAX (len, (size_t)WINDOW_BYTES) - window->bytes->len;
  window->status = window->disk->klass->read (window->disk, window->name,
                                              pos + window->bytes->len, missing,
                                              window->bytes);
  if (window->status == JC_OK && window->bytes->len < len)
    window->status = jc_fail (JC_STORAGE_FAILED, "%s ends before byte %lu.",
                              window->name, (unsigned long)(pos + len));
  return window->status == JC_OK ? window->bytes->data : NULL;
}

/* Set RECORD to the data of the record at POS.  Return the length of the record
   including its header, or 0 if there is no valid record.  */
static size_t
record_decode (struct window *window, uint64_t pos, struct jc_str *record)
{
  const unsigned char *header = window_get (window, pos, HEADER_BYTES);
  unsigned char checksum[CHECKSUM_BYTES];
  uint32_t len;

  if (header == NULL)
    return 0;
  memcpy (&len, header, LENGTH_BYTES);
  len = GUINT32_FROM_LE (len);
  if (len > RECORD_BYTES_MAX)
    return 0;
  header = window_get (window, pos, HEADER_BYTES + (size_t)len);
  if (header == NULL)
    return 0;
  *record = (struct jc_str){ .data = (const char *)header + HEADER_BYTES,
                             .len = len };
  record_checksum (checksum, header, *record);
  if (memcmp (checksum, header + LENGTH_BYTES, CHECKSUM_BYTES) != 0)
    return 0;
  return HEADER_BYTES + len;
}

/* Return true if a valid record begins anywhere after POS.  In that case the
   invalid data at POS is not the torn write of a crash but damage in the middle
   of the file.  */
static bool
has_record_after (struct window *window, uint64_t pos)
{
  struct jc_str record;

  for (uint64_t at = pos + 1; at + HEADER_BYTES <= window->size; at++)
    if (record_decode (window, at, &record) > 0)
      return true;
  return false;
}

/* Pass each record of WINDOW, which reads the file, to FN and truncate a torn
   record at its end.  */
static enum jc_status
journal_replay (struct jc_journal *journal, struct window *window,
                jc_journal_record_fn *fn, void *ctx)
{
  enum jc_status status = JC_OK;
  uint64_t pos = 0;

  while (status == JC_OK && pos < window->size)
    {
      struct jc_str record;
      size_t len = record_decode (window, pos, &record);

      if (len == 0 && has_record_after (window, pos))
        return jc_fail (JC_CORRUPT, "%s is damaged at byte %lu.", journal->name,
                        (unsigned long)pos);
      if (window->status != JC_OK)
        return window->status;
      if (len == 0)
        break;
      status = fn (ctx, pos, record);
      pos += len;
    }
  journal->size = pos;
  if (status == JC_OK && pos < window->size)
    status = journal->disk->klass->truncate (journal->disk, journal->name, pos);
  return status;
}

/* Open the journal in file NAME of DISK and pass its records to FN with CTX.  A
   file that does not exist is an empty journal.  An incomplete record at the
   end, as a crash leaves it, is truncated; an invalid record before a valid one
   is JC_CORRUPT.  Set STATUS, and return NULL unless it is JC_OK.  */
struct jc_journal *
jc_journal_open (struct jc_disk *disk, const char *name,
                 jc_journal_record_fn *fn, void *ctx, enum jc_status *status)
{
  struct jc_journal *journal = g_new0 (struct jc_journal, 1);
  struct window window
      = { .disk = disk, .name = name, .bytes = g_byte_array_new () };

  journal->disk = disk;
  journal->name = g_strdup (name);
  *status = disk->klass->size (disk, name, &window.size);
  if (*status == JC_NOT_FOUND)
    *status = JC_OK;
  if (*status == JC_OK)
    *status = journal_replay (journal, &window, fn, ctx);
  g_byte_array_free (window.bytes, TRUE);
  if (*status == JC_OK)
    return journal;
  jc_journal_free (journal);
  return NULL;
}

/* Append to OUT the record at POSITION, as passed to the function of
   jc_journal_open.  Positions are valid until the journal is rewritten.  Return
   JC_CORRUPT if there is no valid record.  */
enum jc_status
jc_journal_read (const struct jc_journal *journal, uint64_t position,
                 GByteArray *out)
{
  struct window window = { .disk = journal->disk,
                           .name = journal->name,
                           .size = journal->size,
                           .offset = position,
                           .bytes = g_byte_array_new () };
  struct jc_str record;
  enum jc_status status = JC_OK;

  if (record_decode (&window, position, &record) > 0)
    g_byte_array_append (out, (const guint8 *)record.data, (guint)record.len);
  else if (window.status != JC_OK)
    status = window.status;
  else
    status = jc_fail (JC_CORRUPT, "%s is damaged at byte %lu.", journal->name,
                      (unsigned long)position);
  g_byte_array_free (window.bytes, TRUE);
  return status;
}

/* Free JOURNAL, which may be NULL.  Its file is kept.  */
void
jc_journal_free (struct jc_journal *journal)
{
  if (journal == NULL)
    return;
  g_free (journal->name);
  g_free (journal);
}

/* Return STATUS and mark JOURNAL as failed if it is an error.  */
static enum jc_status
journal_note_status (struct jc_journal *journal, enum jc_status status)
{
  if (status != JC_OK)
    journal->failed = true;
  return status;
}

/* Return JC_TOO_LARGE if RECORD could not be read again.  */
static enum jc_status
check_size (const struct jc_journal *journal, struct jc_str record)
{
  if (record.len <= RECORD_BYTES_MAX)
    return JC_OK;
  return jc_fail (JC_TOO_LARGE, "A record of %zu bytes is too large for %s.",
                  record.len, journal->name);
}

/* Append RECORD, which is durable after a successful jc_journal_sync.  Return
   JC_TOO_LARGE, and write nothing, if it is longer than RECORD_BYTES_MAX. After
   any other failure the content on disk is unknown, so all later operations on
   JOURNAL return JC_STORAGE_FAILED.  */
enum jc_status
jc_journal_append (struct jc_journal *journal, struct jc_str record)
{
  GByteArray *bytes;
  enum jc_status status;

  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  status = check_size (journal, record);
  if (status != JC_OK)
    return journal_note_status (journal, status);
  bytes = g_byte_array_new ();
  record_encode (bytes, record);
  status = journal->disk->klass->append (
      journal->disk, journal->name,
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  journal->size += bytes->len;
  g_byte_array_free (bytes, TRUE);
  return journal_note_status (journal, status);
}

/* Make all records appended so far durable.  */
enum jc_status
jc_journal_sync (struct jc_journal *journal)
{
  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  return journal_note_status (
      journal, journal->disk->klass->sync (journal->disk, journal->name));
}

/* Replace all records by RECORDS, whose elements are pointers to struct jc_str.
   The replacement is atomic, and durable on return.  Return JC_TOO_LARGE, and
   replace nothing, if one is longer than RECORD_BYTES_MAX.  */
enum jc_status
jc_journal_rewrite (struct jc_journal *journal, const GPtrArray *records)
{
  GByteArray *bytes;
  enum jc_status status;

  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  for (guint i = 0; i < records->len; i++)
    {
      status = check_size (
          journal, *(const struct jc_str *)g_ptr_array_index (records, i));
      if (status != JC_OK)
        return journal_note_status (journal, status);
    }
  bytes = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    record_encode (bytes,
                   *(const struct jc_str *)g_ptr_array_index (records, i));
  status = journal->disk->klass->replace (
      journal->disk, journal->name,
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  journal->size = bytes->len;
  g_byte_array_free (bytes, TRUE);
  return journal_note_status (journal, status);
}

/* Return the size of the file of JOURNAL in bytes.  */
size_t
jc_journal_size (const struct jc_journal *journal)
{
  return journal->size;
}

/* Return true if an operation on JOURNAL failed; all later ones fail.  */
bool
jc_journal_failed (const struct jc_journal *journal)
{
  return journal->failed;
}
