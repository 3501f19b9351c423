/* The disk of the data folder.  */

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/disk.h"

enum
{
  FOLDER_MODE = 0700,
  FILE_MODE = 0600,
  READ_BYTES = 65536
};

/* A folder and the files that are open for appending.  */
struct folder_disk
{
  struct jc_disk disk;
  char *folder;
  int folder_fd;
  int lock_fd;
  GHashTable *open_files;
};

static enum jc_status
storage_failed (const char *what, const char *name)
{
  return jc_fail (JC_STORAGE_FAILED, "Can't %s %s: %s.", what, name,
                  strerror (errno));
}

static int
folder_file (struct folder_disk *folder, const char *name)
{
  gpointer known = g_hash_table_lookup (folder->open_files, name);
  int fd;

  if (known != NULL)
    return GPOINTER_TO_INT (known) - 1;
  fd = openat (folder->folder_fd, name, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC,
               FILE_MODE);
  if (fd >= 0)
    g_hash_table_insert (folder->open_files, g_strdup (name),
                         GINT_TO_POINTER (fd + 1));
  return fd;
}

static void
folder_forget (struct folder_disk *folder, const char *name)
{
  gpointer known = g_hash_table_lookup (folder->open_files, name);

  if (known == NULL)
    return;
  close (GPOINTER_TO_INT (known) - 1);
  g_hash_table_remove (folder->open_files, name);
}

static enum jc_status
write_all (int fd, const char *name, struct jc_str data)
{
  while (data.len > 0)
    {
      ssize_t put = write (fd, data.data, data.len);

      if (put < 0 && errno == EINTR)
        continue;
      if (put < 0)
        return storage_failed ("write", name);
      data.data += put;
      data.len -= (size_t)put;
    }
  return JC_OK;
}

static enum jc_status
folder_read (struct jc_disk *disk, const char *name, GByteArray *out)
{
  struct folder_disk *folder = (struct folder_disk *)disk;
  unsigned char buf[READ_BYTES];
  int fd = openat (folder->folder_fd, name, O_RDONLY | O_CLOEXEC);
  ssize_t got;

  if (fd < 0 && errno == ENOENT)
    return jc_fail (JC_NOT_FOUND, "There is no file %s.", name);
  if (fd < 0)
    return storage_failed ("open", name);
  while ((got = read (fd, buf, sizeof buf)) > 0)
    g_byte_array_append (out, buf, (guint)got);
  close (fd);
  return got == 0 ? JC_OK : storage_failed ("read", name);
}

static enum jc_status
folder_append (struct jc_disk *disk, const char *name, struct jc_str data)
{
  int fd = folder_file ((struct folder_disk *)disk, name);

  if (fd < 0)
    return storage_failed ("open", name);
  return write_all (fd, name, data);
}

static enum jc_status
folder_sync (struct jc_disk *disk, const char *name)
{
  struct folder_disk *folder = (struct folder_disk *)disk;
  int fd = folder_file (folder, name);

  if (fd < 0 || fsync (fd) != 0)
    return storage_failed ("sync", name);
  if (fsync (folder->folder_fd) != 0)
    return storage_failed ("sync the folder of", name);
  return JC_OK;
}

static enum jc_status
folder_replace (struct jc_disk *disk, const char *name, struct jc_str data)
{
  struct folder_disk *folder = (struct folder_disk *)disk;
  char *draft = g_strconcat (name, ".new", NULL);
  int fd = openat (folder->folder_fd, draft,
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  enum jc_status status = JC_OK;

  folder_forget (folder, name);
  if (fd < 0)
    status = storage_failed ("open", draft);
  if (status == JC_OK)
    status = write_all (fd, draft, data);
  if (status == JC_OK && fsync (fd) != 0)
    status = storage_failed ("sync", draft);
  if (fd >= 0)
    close (fd);
  if (status == JC_OK
      && renameat (folder->folder_fd, draft, folder->folder_fd, name) != 0)
    status = storage_failed ("rename", draft);
  if (status == JC_OK && fsync (folder->folder_fd) != 0)
    status = storage_failed ("sync the folder of", name);
  g_free (draft);
  return status;
}

static enum jc_status
folder_cut (struct jc_disk *disk, const char *name, size_t len)
{
  int fd = folder_file ((struct folder_disk *)disk, name);

  if (fd < 0 || ftruncate (fd, (off_t)len) != 0 || fsync (fd) != 0)
    return storage_failed ("cut", name);
  return JC_OK;
}

static enum jc_status
folder_remove (struct jc_disk *disk, const char *name)
{
  struct folder_disk *folder = (struct folder_disk *)disk;

  folder_forget (folder, name);
  if (unlinkat (folder->folder_fd, name, 0) != 0 && errno != ENOENT)
    return storage_failed ("remove", name);
  if (fsync (folder->folder_fd) != 0)
    return storage_failed ("sync the folder of", name);
  return JC_OK;
}

static void
folder_free (struct jc_disk *disk)
{
  struct folder_disk *folder = (struct folder_disk *)disk;
  GHashTableIter iter;
  gpointer fd;

  g_hash_table_iter_init (&iter, folder->open_files);
  while (g_hash_table_iter_next (&iter, NULL, &fd))
    close (GPOINTER_TO_INT (fd) - 1);
  g_hash_table_destroy (folder->open_files);
  close (folder->lock_fd);
  close (folder->folder_fd);
  g_free (folder->folder);
  g_free (folder);
}

static const struct jc_disk_class folder_class = { .read = folder_read,
                                                   .append = folder_append,
                                                   .sync = folder_sync,
                                                   .replace = folder_replace,
                                                   .truncate = folder_cut,
                                                   .remove = folder_remove,
                                                   .free = folder_free };

/* Open FOLDER, made where it is missing, for this process alone.  Return NULL
   and set the last message where that fails.  */
struct jc_disk *
jc_disk_open (const char *folder)
{
  struct folder_disk *made;
  int lock_fd;
  int fd;

  if (mkdir (folder, FOLDER_MODE) != 0 && errno != EEXIST)
    {
      storage_failed ("make", folder);
      return NULL;
    }
  fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  lock_fd = fd >= 0
                ? openat (fd, "lock", O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE)
                : -1;
  if (lock_fd < 0 || flock (lock_fd, LOCK_EX | LOCK_NB) != 0)
    {
      storage_failed ("lock", folder);
      if (lock_fd >= 0)
        close (lock_fd);
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  made = g_new0 (struct folder_disk, 1);
  made->disk.klass = &folder_class;
  made->folder = g_strdup (folder);
  made->folder_fd = fd;
  made->lock_fd = lock_fd;
  made->open_files
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &made->disk;
}
