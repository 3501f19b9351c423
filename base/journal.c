/* Journal of checksummed records.  */

#include <sodium.h>
#include <string.h>

#include "base/journal.h"

enum
{
  LENGTH_BYTES = 4,
  SUM_BYTES = 16,
  HEAD_BYTES = LENGTH_BYTES + SUM_BYTES,
  RECORD_MAX = 64 * 1024 * 1024
};

struct jc_journal
{
  struct jc_disk *disk;
  char *name;
  size_t size;
  bool failed;
};

static void
record_sum (unsigned char *sum, const unsigned char *length,
            struct jc_str record)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, SUM_BYTES);
  crypto_generichash_update (&state, length, LENGTH_BYTES);
  crypto_generichash_update (&state, (const unsigned char *)record.data,
                             record.len);
  crypto_generichash_final (&state, sum, SUM_BYTES);
}

static void
record_encode (GByteArray *out, struct jc_str record)
{
  uint32_t len = GUINT32_TO_LE ((uint32_t)record.len);
  unsigned char head[HEAD_BYTES];

  memcpy (head, &len, LENGTH_BYTES);
  record_sum (head + LENGTH_BYTES, head, record);
  g_byte_array_append (out, head, HEAD_BYTES);
  g_byte_array_append (out, (const guint8 *)record.data, (guint)record.len);
}

/* Read the record at POS of BYTES.  Return its length with head, or 0 where
   there is no valid one.  */
static size_t
record_at (const GByteArray *bytes, size_t pos, struct jc_str *record)
{
  const unsigned char *head = bytes->data + pos;
  unsigned char sum[SUM_BYTES];
  uint32_t len;

  if (bytes->len - pos < HEAD_BYTES)
    return 0;
  memcpy (&len, head, LENGTH_BYTES);
  len = GUINT32_FROM_LE (len);
  if (len > RECORD_MAX || bytes->len - pos - HEAD_BYTES < len)
    return 0;
  *record
      = (struct jc_str){ .data = (const char *)head + HEAD_BYTES, .len = len };
  record_sum (sum, head, *record);
  if (memcmp (sum, head + LENGTH_BYTES, SUM_BYTES) != 0)
    return 0;
  return HEAD_BYTES + len;
}

/* Tell whether a valid record begins anywhere after POS: then what is at POS
   is no torn tail but damage in the middle.  */
static bool
record_follows (const GByteArray *bytes, size_t pos)
{
  struct jc_str record;

  for (size_t at = pos + 1; at + HEAD_BYTES <= bytes->len; at++)
    if (record_at (bytes, at, &record) > 0)
      return true;
  return false;
}

static enum jc_status
journal_replay (struct jc_journal *journal, const GByteArray *bytes,
                jc_journal_record_fn *fn, void *ctx)
{
  enum jc_status status = JC_OK;
  size_t pos = 0;

  while (status == JC_OK && pos < bytes->len)
    {
      struct jc_str record;
      size_t len = record_at (bytes, pos, &record);

      if (len == 0 && record_follows (bytes, pos))
        return jc_fail (JC_CORRUPT, "%s is damaged at byte %zu.", journal->name,
                        pos);
      if (len == 0)
        break;
      status = fn (ctx, record);
      pos += len;
    }
  journal->size = pos;
  if (status == JC_OK && pos < bytes->len)
    status = journal->disk->klass->truncate (journal->disk, journal->name, pos);
  return status;
}

/* Open the journal NAME of DISK and hand its records to FN with CTX.  A torn
   tail is cut; damage before the last record is JC_CORRUPT.  Return NULL and
   set STATUS where it can't be opened.  */
struct jc_journal *
jc_journal_open (struct jc_disk *disk, const char *name,
                 jc_journal_record_fn *fn, void *ctx, enum jc_status *status)
{
  struct jc_journal *journal = g_new0 (struct jc_journal, 1);
  GByteArray *bytes = g_byte_array_new ();

  journal->disk = disk;
  journal->name = g_strdup (name);
  *status = disk->klass->read (disk, name, bytes);
  if (*status == JC_NOT_FOUND)
    *status = JC_OK;
  if (*status == JC_OK)
    *status = journal_replay (journal, bytes, fn, ctx);
  g_byte_array_free (bytes, TRUE);
  if (*status == JC_OK)
    return journal;
  jc_journal_free (journal);
  return NULL;
}

/* Free JOURNAL; its file stays.  */
void
jc_journal_free (struct jc_journal *journal)
{
  if (journal == NULL)
    return;
  g_free (journal->name);
  g_free (journal);
}

static enum jc_status
journal_note (struct jc_journal *journal, enum jc_status status)
{
  if (status != JC_OK)
    journal->failed = true;
  return status;
}

/* Append RECORD, which lasts once jc_journal_sync succeeds.  A journal that
   failed once refuses everything: what is on disk is unknown.  */
enum jc_status
jc_journal_append (struct jc_journal *journal, struct jc_str record)
{
  GByteArray *bytes;
  enum jc_status status;

  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  bytes = g_byte_array_new ();
  record_encode (bytes, record);
  status = journal->disk->klass->append (
      journal->disk, journal->name,
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  journal->size += bytes->len;
  g_byte_array_free (bytes, TRUE);
  return journal_note (journal, status);
}

/* Make all records appended so far durable.  */
enum jc_status
jc_journal_sync (struct jc_journal *journal)
{
  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  return journal_note (
      journal, journal->disk->klass->sync (journal->disk, journal->name));
}

/* Replace all records by RECORDS, an array of struct jc_str pointers,
   atomically and durably.  */
enum jc_status
jc_journal_rewrite (struct jc_journal *journal, const GPtrArray *records)
{
  GByteArray *bytes;
  enum jc_status status;

  if (journal->failed)
    return jc_fail (JC_STORAGE_FAILED, "%s has failed.", journal->name);
  bytes = g_byte_array_new ();
  for (guint i = 0; i < records->len; i++)
    record_encode (bytes,
                   *(const struct jc_str *)g_ptr_array_index (records, i));
  status = journal->disk->klass->replace (
      journal->disk, journal->name,
      (struct jc_str){ .data = (const char *)bytes->data, .len = bytes->len });
  journal->size = bytes->len;
  g_byte_array_free (bytes, TRUE);
  return journal_note (journal, status);
}

/* Return the bytes of JOURNAL on disk.  */
size_t
jc_journal_size (const struct jc_journal *journal)
{
  return journal->size;
}

/* Tell whether JOURNAL failed and refuses everything.  */
bool
jc_journal_failed (const struct jc_journal *journal)
{
  return journal->failed;
}
