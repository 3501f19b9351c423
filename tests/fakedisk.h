/* A disk in memory for tests, with crashes and errors.  */

#ifndef FAKEDISK_H
#define FAKEDISK_H

#include "base/disk.h"

struct jc_disk *fakedisk_new (void);
void fakedisk_crash (struct jc_disk *disk, size_t keep_unsynced);
void fakedisk_wipe (struct jc_disk *disk);
void fakedisk_fail_after (struct jc_disk *disk, int operations);
unsigned long fakedisk_syncs (const struct jc_disk *disk);

#endif
