/* File operations of the data folder.  They go through an interface so that
   tests can simulate crashes and I/O errors.  Written data is durable only
   after a sync of its file.  */

#ifndef JC_DISK_H
#define JC_DISK_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"
#include "base/str.h"

struct jc_disk;

/* Operations of a disk.  NAME is a file name without folders.

   SIZE sets BYTES to the length of the file; it returns JC_NOT_FOUND if the
   file does not exist.  READ appends up to LEN bytes from OFFSET on to OUT,
   fewer only at the end of the file.  APPEND creates the file if it does not
   exist; its directory entry is durable after a successful SYNC.  REPLACE
   writes a whole file; it is atomic, and durable if it returns JC_OK.  TRUNCATE
   shortens the file to LEN bytes and REMOVE deletes it, which is not an error
   if it does not exist; both are durable if they return JC_OK.

   All return JC_STORAGE_FAILED on an I/O error and set the last message.  After
   that the content of the file is unknown and its owner must not continue to
   use it.  */
struct jc_disk_class
{
  enum jc_status (*size) (struct jc_disk *disk, const char *name,
                          uint64_t *bytes);
  enum jc_status (*read) (struct jc_disk *disk, const char *name,
                          uint64_t offset, size_t len, GByteArray *out);
  enum jc_status (*append) (struct jc_disk *disk, const char *name,
                            struct jc_str data);
  enum jc_status (*sync) (struct jc_disk *disk, const char *name);
  enum jc_status (*replace) (struct jc_disk *disk, const char *name,
                             struct jc_str data);
  enum jc_status (*truncate) (struct jc_disk *disk, const char *name,
                              size_t len);
  enum jc_status (*remove) (struct jc_disk *disk, const char *name);
  void (*free) (struct jc_disk *disk);
};

/* Base of all disks; implementations embed it as their first member.  */
struct jc_disk
{
  const struct jc_disk_class *klass;
};

struct jc_disk *jc_disk_open (const char *folder);

#endif
