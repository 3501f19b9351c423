/* Disk that stores files in a folder of the file system.  */

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
  READ_BUFFER_BYTES = 65536
};

/* OPEN_FILES maps the names of files open for appending to their descriptor
   plus 1, so that descriptor 0 differs from a missing entry.  LOCK_FD holds the
   lock that keeps other processes out.  */
struct folder_disk
{
  struct jc_disk disk;
  char *folder;
  int folder_fd;
  int lock_fd;
  GHashTable *open_files;
};

/* Report that OPERATION on NAME failed with errno.  */
static enum jc_status
storage_failed (const char *operation, const char *name)
{
  return jc_fail (JC_STORAGE_FAILED, "Can't %s %s: %s.", operation, name,
                  strerror (errno));
}

/* Return the descriptor of file NAME, opened for appending and created if it
   does not exist; -1 and errno on failure.  */
static int
folder_open_file (struct folder_disk *folder, const char *name)
{
  gpointer value = g_hash_table_lookup (folder->open_files, name);
  int fd;

  if (value != NULL)
    return GPOINTER_TO_INT (value) - 1;
  fd = openat (folder->folder_fd, name, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC,
               FILE_MODE);
  if (fd >= 0)
    g_hash_table_insert (folder->open_files, g_strdup (name),
                         GINT_TO_POINTER (fd + 1));
  return fd;
}

static void
folder_close_file (struct folder_disk *folder, const char *name)
{
  gpointer value = g_hash_table_lookup (folder->open_files, name);

  if (value == NULL)
    return;
  close (GPOINTER_TO_INT (value) - 1);
  g_hash_table_remove (folder->open_files, name);
}

static enum jc_status
write_all (int fd, const char *name, struct jc_str data)
{
  while (data.len > 0)
    {
      ssize_t written = write (fd, data.data, data.len);

      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return storage_failed ("write", name);
      data.data += written;
      data.len -= (size_t)written;
    }
  return JC_OK;
}

/* Open the file NAME to read it.  Return its descriptor, or -1 and set STATUS:
   JC_NOT_FOUND if there is no such file.  */
static int
folder_open_to_read (const struct folder_disk *folder, const char *name,
                     enum jc_status *status)
{
  int fd = openat (folder->folder_fd, name, O_RDONLY | O_CLOEXEC);

  *status = JC_OK;
  if (fd < 0 && errno == ENOENT)
    *status = jc_fail (JC_NOT_FOUND, "There is no file %s.", name);
  else if (fd < 0)
    *status = storage_failed ("open", name);
  return fd;
}

static enum jc_status
folder_size (struct jc_disk *disk, const char *name, uint64_t *bytes)
{
  enum jc_status status;
  int fd = folder_open_to_read ((struct folder_disk *)disk, name, &status);
  off_t end;

  if (status != JC_OK)
    return status;
  end = lseek (fd, 0, SEEK_END);
  if (end < 0)
    status = storage_failed ("read", name);
  else
    *bytes = (uint64_t)end;
  close (fd);
  return status;
}

/* Append up to LEN bytes of FD from OFFSET on to OUT.  Return false and set
   errno on failure.  */
static bool
read_up_to (int fd, uint64_t offset, size_t len, GByteArray *out)
{
  unsigned char buf[READ_BUFFER_BYTES];

  if (lseek (fd, (off_t)offset, SEEK_SET) < 0)
    return false;
  while (len > 0)
    {
      ssize_t got = read (fd, buf, MIN (len, sizeof buf));

      if (got < 0 && errno == EINTR)
        continue;
      if (got <= 0)
        return got == 0;
      g_byte_array_append (out, buf, (guint)got);
      len -= (size_t)got;
    }
  return true;
}

static enum jc_status
folder_read (struct jc_disk *disk, const char *name, uint64_t offset,
             size_t len, GByteArray *out)
{
  enum jc_status status;
  int fd = folder_open_to_read ((struct folder_disk *)disk, name, &status);

  if (status != JC_OK)
    return status;
  if (!read_up_to (fd, offset, len, out))
    status = storage_failed ("read", name);
  close (fd);
  return status;
}

static enum jc_status
folder_append (struct jc_disk *disk, const char *name, struct jc_str data)
{
  int fd = folder_open_file ((struct folder_disk *)disk, name);

  if (fd < 0)
    return storage_failed ("open", name);
  return write_all (fd, name, data);
}

static enum jc_status
folder_sync (struct jc_disk *disk, const char *name)
{
  struct folder_disk *folder = (struct folder_disk *)disk;
  int fd = folder_open_file (folder, name);

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
  char *temp_name = g_strconcat (name, ".new", NULL);
  int fd = openat (folder->folder_fd, temp_name,
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  enum jc_status status = JC_OK;

  folder_close_file (folder, name);
  if (fd < 0)
    status = storage_failed ("open", temp_name);
  if (status == JC_OK)
    status = write_all (fd, temp_name, data);
  if (status == JC_OK && fsync (fd) != 0)
    status = storage_failed ("sync", temp_name);
  if (fd >= 0)
    close (fd);
  if (status == JC_OK
      && renameat (folder->folder_fd, temp_name, folder->folder_fd, name) != 0)
    status = storage_failed ("rename", temp_name);
  if (status == JC_OK && fsync (folder->folder_fd) != 0)
    status = storage_failed ("sync the folder of", name);
  g_free (temp_name);
  return status;
}

static enum jc_status
folder_truncate (struct jc_disk *disk, const char *name, size_t len)
{
  int fd = folder_open_file ((struct folder_disk *)disk, name);

  if (fd < 0 || ftruncate (fd, (off_t)len) != 0 || fsync (fd) != 0)
    return storage_failed ("cut", name);
  return JC_OK;
}

static enum jc_status
folder_remove (struct jc_disk *disk, const char *name)
{
  struct folder_disk *folder = (struct folder_disk *)disk;

  folder_close_file (folder, name);
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

static const struct jc_disk_class folder_class = { .size = folder_size,
                                                   .read = folder_read,
                                                   .append = folder_append,
                                                   .sync = folder_sync,
                                                   .replace = folder_replace,
                                                   .truncate = folder_truncate,
                                                   .remove = folder_remove,
                                                   .free = folder_free };

/* Open FOLDER for this process alone; a lock file keeps other processes out.
   Create the folder if it does not exist, but not its parents.  On failure,
   also if another process has the folder open, set the last message and return
   NULL.  */
struct jc_disk *
jc_disk_open (const char *folder)
{
  struct folder_disk *opened;
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
  opened = g_new0 (struct folder_disk, 1);
  opened->disk.klass = &folder_class;
  opened->folder = g_strdup (folder);
  opened->folder_fd = fd;
  opened->lock_fd = lock_fd;
  opened->open_files
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &opened->disk;
}
