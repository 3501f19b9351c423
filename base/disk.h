/* Files of the data folder behind an interface, so that tests can crash and
   fail them.  Nothing lasts before a sync of its file.  */

#ifndef JC_DISK_H
#define JC_DISK_H

#include <glib.h>

#include "base/status.h"
#include "base/str.h"

struct jc_disk;

/* What a disk does.  Names are plain file names.  READ returns JC_NOT_FOUND
   for a file that does not exist.  APPEND makes the file where it is missing,
   and its folder entry lasts once SYNC succeeded.  REPLACE is atomic and
   durable when it returns JC_OK.  After any JC_STORAGE_FAILED the state of
   the file is unknown: its owner must not go on as if it were clean.  */
struct jc_disk_class
{
  enum jc_status (*read) (struct jc_disk *disk, const char *name,
                          GByteArray *out);
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

struct jc_disk
{
  const struct jc_disk_class *klass;
};

struct jc_disk *jc_disk_open (const char *folder);

#endif
