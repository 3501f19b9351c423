/* The entries of a log that a replica has in memory, in order.  */

#ifndef JC_RLOGENTRIES_H
#define JC_RLOGENTRIES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

/* Entries from BASE_INDEX + 1 on.  BASE_TERM is the term of the entry at
   BASE_INDEX.  SLOTS has one element for each entry; the data of some may have
   been unloaded.  BYTES is the size of the data in memory.  SEARCHED is the
   number of slots at the front without data to unload.  */
struct jc_rlogentries
{
  uint64_t base_index;
  uint64_t base_term;
  GPtrArray *slots;
  size_t bytes;
  guint searched;
};

void jc_rlogentries_init (struct jc_rlogentries *entries);
void jc_rlogentries_clear (struct jc_rlogentries *entries);
uint64_t jc_rlogentries_last_index (const struct jc_rlogentries *entries);
const struct rpc_log_entry *
jc_rlogentries_get (const struct jc_rlogentries *entries, uint64_t index);
void jc_rlogentries_put (struct jc_rlogentries *entries, uint64_t index,
                         const struct rpc_log_entry *entry, uint64_t position);
void jc_rlogentries_reset (struct jc_rlogentries *entries, uint64_t base_index,
                           uint64_t base_term);
void jc_rlogentries_trim (struct jc_rlogentries *entries, uint64_t index,
                          size_t bytes_max);
size_t jc_rlogentries_size (const struct jc_rlogentries *entries, uint64_t from,
                            uint64_t to, size_t bytes_max);
bool jc_rlogentries_is_loaded (const struct jc_rlogentries *entries,
                               uint64_t index);
uint64_t jc_rlogentries_position (const struct jc_rlogentries *entries,
                                  uint64_t index);
void jc_rlogentries_load (struct jc_rlogentries *entries, uint64_t index,
                          const struct rpc_log_entry *entry);
void jc_rlogentries_unload (struct jc_rlogentries *entries, uint64_t index,
                            uint32_t keep_kind, size_t bytes_max);

#endif
