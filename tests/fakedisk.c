/* A disk in memory for tests, with crashes and errors.  */

#include <string.h>

#include "tests/fakedisk.h"

/* A file.  Its first SYNCED bytes survive a crash.  */
struct fakefile
{
  GByteArray *bytes;
  guint synced;
};

struct fakedisk
{
  struct jc_disk disk;
  GHashTable *files;
  int fail_after;
  unsigned long syncs;
};

static void
fakefile_free (gpointer data)
{
  struct fakefile *file = data;

  g_byte_array_free (file->bytes, TRUE);
  g_free (file);
}

/* Count one operation.  Return JC_STORAGE_FAILED once as many as
   fakedisk_fail_after allowed have succeeded.  */
static enum jc_status
count_operation (struct fakedisk *fake)
{
  if (fake->fail_after == 0)
    return jc_fail (JC_STORAGE_FAILED, "The fake disk fails.");
  if (fake->fail_after > 0)
    fake->fail_after--;
  return JC_OK;
}

static struct fakefile *
get_or_add_file (struct fakedisk *fake, const char *name)
{
  struct fakefile *file = g_hash_table_lookup (fake->files, name);

  if (file == NULL)
    {
      file = g_new0 (struct fakefile, 1);
      file->bytes = g_byte_array_new ();
      g_hash_table_insert (fake->files, g_strdup (name), file);
    }
  return file;
}

static enum jc_status
fake_size (struct jc_disk *disk, const char *name, uint64_t *bytes)
{
  const struct fakedisk *fake = (const struct fakedisk *)disk;
  const struct fakefile *file = g_hash_table_lookup (fake->files, name);

  if (file == NULL)
    return jc_fail (JC_NOT_FOUND, "There is no file %s.", name);
  *bytes = file->bytes->len;
  return JC_OK;
}

static enum jc_status
fake_read (struct jc_disk *disk, const char *name, uint64_t offset, size_t len,
           GByteArray *out)
{
  struct fakedisk *fake = (struct fakedisk *)disk;
  const struct fakefile *file = g_hash_table_lookup (fake->files, name);

  if (file == NULL || offset > file->bytes->len)
    return jc_fail (JC_STORAGE_FAILED, "There is no such part of %s.", name);
  g_byte_array_append (out, file->bytes->data + offset,
                       (guint)MIN (len, file->bytes->len - offset));
  return JC_OK;
}

static enum jc_status
fake_append (struct jc_disk *disk, const char *name, struct jc_str data)
{
  struct fakedisk *fake = (struct fakedisk *)disk;

  if (count_operation (fake) != JC_OK)
    return JC_STORAGE_FAILED;
  g_byte_array_append (get_or_add_file (fake, name)->bytes,
                       (const guint8 *)data.data, (guint)data.len);
  return JC_OK;
}

static enum jc_status
fake_sync (struct jc_disk *disk, const char *name)
{
  struct fakedisk *fake = (struct fakedisk *)disk;
  struct fakefile *file = get_or_add_file (fake, name);

  if (count_operation (fake) != JC_OK)
    return JC_STORAGE_FAILED;
  file->synced = file->bytes->len;
  fake->syncs++;
  return JC_OK;
}

static enum jc_status
fake_replace (struct jc_disk *disk, const char *name, struct jc_str data)
{
  struct fakedisk *fake = (struct fakedisk *)disk;
  struct fakefile *file = get_or_add_file (fake, name);

  if (count_operation (fake) != JC_OK)
    return JC_STORAGE_FAILED;
  g_byte_array_set_size (file->bytes, 0);
  g_byte_array_append (file->bytes, (const guint8 *)data.data, (guint)data.len);
  file->synced = file->bytes->len;
  fake->syncs++;
  return JC_OK;
}

static enum jc_status
fake_truncate (struct jc_disk *disk, const char *name, size_t len)
{
  struct fakedisk *fake = (struct fakedisk *)disk;
  struct fakefile *file = get_or_add_file (fake, name);

  if (count_operation (fake) != JC_OK)
    return JC_STORAGE_FAILED;
  g_byte_array_set_size (file->bytes, (guint)len);
  file->synced = (guint)len;
  return JC_OK;
}

static enum jc_status
fake_remove (struct jc_disk *disk, const char *name)
{
  struct fakedisk *fake = (struct fakedisk *)disk;

  if (count_operation (fake) != JC_OK)
    return JC_STORAGE_FAILED;
  g_hash_table_remove (fake->files, name);
  return JC_OK;
}

static void
fake_free (struct jc_disk *disk)
{
  struct fakedisk *fake = (struct fakedisk *)disk;

  g_hash_table_destroy (fake->files);
  g_free (fake);
}

static const struct jc_disk_class fake_class = { .size = fake_size,
                                                 .read = fake_read,
                                                 .append = fake_append,
                                                 .sync = fake_sync,
                                                 .replace = fake_replace,
                                                 .truncate = fake_truncate,
                                                 .remove = fake_remove,
                                                 .free = fake_free };

/* Return an empty disk on which all operations succeed.  */
struct jc_disk *
fakedisk_new (void)
{
  struct fakedisk *fake = g_new0 (struct fakedisk, 1);

  fake->disk.klass = &fake_class;
  fake->fail_after = -1;
  fake->files
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, fakefile_free);
  return &fake->disk;
}

/* Simulate a crash: of each file the bytes not yet synced are lost except for
   the first KEEP_UNSYNCED.  Operations succeed again afterwards.  */
void
fakedisk_crash (struct jc_disk *disk, size_t keep_unsynced)
{
  struct fakedisk *fake = (struct fakedisk *)disk;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fake->files);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fakefile *file = value;
      size_t keep = MIN (file->bytes->len, file->synced + keep_unsynced);

      g_byte_array_set_size (file->bytes, (guint)keep);
      file->synced = (guint)keep;
    }
  fake->fail_after = -1;
}

/* Remove every file.  */
void
fakedisk_wipe (struct jc_disk *disk)
{
  g_hash_table_remove_all (((struct fakedisk *)disk)->files);
}

/* Make every operation that changes the disk fail after the next OPERATIONS
   ones; -1 means that none fails.  */
void
fakedisk_fail_after (struct jc_disk *disk, int operations)
{
  ((struct fakedisk *)disk)->fail_after = operations;
}

/* Return how many syncs and replacements of files succeeded.  */
unsigned long
fakedisk_syncs (const struct jc_disk *disk)
{
  return ((const struct fakedisk *)disk)->syncs;
}
