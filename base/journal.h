/* Journal: an append-only file of records with checksums, used by the
   replicated log and the ledger.  A record consists of its length (4 bytes,
   little endian), a BLAKE2b checksum of length and data (16 bytes) and the
   data.  */

#ifndef JC_JOURNAL_H
#define JC_JOURNAL_H

#include "base/disk.h"

struct jc_journal;

/* Called with each record, in order, while a journal is opened, and with the
   POSITION from which jc_journal_read can read it again.  If it returns an
   error, no more records are read and opening fails with that error.  */
typedef enum jc_status jc_journal_record_fn (void *ctx, uint64_t position,
                                             struct jc_str record);

struct jc_journal *jc_journal_open (struct jc_disk *disk, const char *name,
                                    jc_journal_record_fn *fn, void *ctx,
                                    enum jc_status *status);
void jc_journal_free (struct jc_journal *journal);
enum jc_status jc_journal_read (const struct jc_journal *journal,
                                uint64_t position, GByteArray *out);
enum jc_status jc_journal_append (struct jc_journal *journal,
                                  struct jc_str record);
enum jc_status jc_journal_sync (struct jc_journal *journal);
enum jc_status jc_journal_rewrite (struct jc_journal *journal,
                                   const GPtrArray *records);
size_t jc_journal_size (const struct jc_journal *journal);
bool jc_journal_failed (const struct jc_journal *journal);

#endif
