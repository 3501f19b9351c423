/* The entries of a log that a replica has in memory.  */

#include "conf/rlogentries.h"

/* An entry.  While its data is unloaded, that is NULL and only on the disk, at
   POSITION of the journal.  */
struct slot
{
  struct rpc_log_entry entry;
  uint64_t position;
};

static void
slot_free (gpointer data)
{
  struct slot *slot = data;

  g_free (slot->entry.data.rpc_bytes_val);
  g_free (slot);
}

/* Initialize ENTRIES, which are empty, for a log without any.  */
void
jc_rlogentries_init (struct jc_rlogentries *entries)
{
  *entries = (struct jc_rlogentries){ .slots = g_ptr_array_new_with_free_func (
                                          slot_free) };
}

/* Free what ENTRIES hold.  */
void
jc_rlogentries_clear (struct jc_rlogentries *entries)
{
  g_ptr_array_free (entries->slots, TRUE);
}

/* Return the index of the last entry.  */
uint64_t
jc_rlogentries_last_index (const struct jc_rlogentries *entries)
{
  return entries->base_index + entries->slots->len;
}

static struct slot *
find_slot (const struct jc_rlogentries *entries, uint64_t index)
{
  if (index <= entries->base_index
      || index > jc_rlogentries_last_index (entries))
    return NULL;
  return g_ptr_array_index (entries->slots, index - entries->base_index - 1);
}

/* Return the entry at INDEX, or NULL if it is not here.  */
const struct rpc_log_entry *
jc_rlogentries_get (const struct jc_rlogentries *entries, uint64_t index)
{
  const struct slot *slot = find_slot (entries, index);

  return slot != NULL ? &slot->entry : NULL;
}

/* Return the size of the entries from FROM to TO, all of which are here, or one
   above BYTES_MAX if it is above that.  */
size_t
jc_rlogentries_size (const struct jc_rlogentries *entries, uint64_t from,
                     uint64_t to, size_t bytes_max)
{
  size_t bytes = 0;

  for (uint64_t i = from; i <= to && bytes <= bytes_max; i++)
    bytes += sizeof (struct slot)
             + jc_rlogentries_get (entries, i)->data.rpc_bytes_len;
  return bytes;
}

static bool
has_data (const struct slot *slot)
{
  return slot->entry.data.rpc_bytes_val != NULL;
}

/* Free COUNT slots from the one at FIRST on.  */
static void
free_slots (struct jc_rlogentries *entries, guint first, guint count)
{
  for (guint i = first; i < first + count; i++)
    {
      const struct slot *slot = g_ptr_array_index (entries->slots, i);

      if (has_data (slot))
        entries->bytes -= slot->entry.data.rpc_bytes_len;
    }
  if (count > 0)
    g_ptr_array_remove_range (entries->slots, first, count);
}

static void
set_data (struct jc_rlogentries *entries, struct slot *slot,
          const struct rpc_log_entry *entry)
{
  slot->entry.data.rpc_bytes_val
      = g_memdup2 (entry->data.rpc_bytes_val, entry->data.rpc_bytes_len);
  if (has_data (slot))
    entries->bytes += entry->data.rpc_bytes_len;
}

/* Put a copy of ENTRY at INDEX, discarding the entries from INDEX on.  INDEX
   must be after the base and at most one past the last entry.  POSITION is that
   in the journal, if the entry was read from there.  */
void
jc_rlogentries_put (struct jc_rlogentries *entries, uint64_t index,
                    const struct rpc_log_entry *entry, uint64_t position)
{
  guint first = (guint)(index - entries->base_index - 1);
  struct slot *slot = g_new0 (struct slot, 1);

  free_slots (entries, first, entries->slots->len - first);
  entries->searched = MIN (entries->searched, first);
  slot->entry = *entry;
  slot->position = position;
  set_data (entries, slot, entry);
  g_ptr_array_add (entries->slots, slot);
}

/* Discard all entries; the next one is that after BASE_INDEX, whose entry is of
   BASE_TERM.  */
void
jc_rlogentries_reset (struct jc_rlogentries *entries, uint64_t base_index,
                      uint64_t base_term)
{
  free_slots (entries, 0, entries->slots->len);
  entries->searched = 0;
  entries->base_index = base_index;
  entries->base_term = base_term;
}

/* Discard entries up to INDEX, from the first one on, but keep the last of
   these that take BYTES_MAX at most and have their data.  */
void
jc_rlogentries_trim (struct jc_rlogentries *entries, uint64_t index,
                     size_t bytes_max)
{
  uint64_t keep_from = index + 1;
  size_t bytes = 0;
  guint count;

  while (keep_from - 1 > entries->base_index)
    {
      const struct slot *slot = find_slot (entries, keep_from - 1);

      bytes += sizeof *slot + slot->entry.data.rpc_bytes_len;
      if (bytes > bytes_max
          || !jc_rlogentries_is_loaded (entries, keep_from - 1))
        break;
      keep_from--;
    }
  count = (guint)(keep_from - 1 - entries->base_index);
  if (count == 0)
    return;
  entries->base_term = find_slot (entries, keep_from - 1)->entry.term;
  free_slots (entries, 0, count);
  entries->base_index += count;
  entries->searched -= MIN (entries->searched, count);
}

/* Return whether the data of the entry at INDEX, which is here, is in
   memory.  */
bool
jc_rlogentries_is_loaded (const struct jc_rlogentries *entries, uint64_t index)
{
  const struct slot *slot = find_slot (entries, index);

  return has_data (slot) || slot->entry.data.rpc_bytes_len == 0;
}

/* Return the position in the journal of the entry at INDEX, which was read from
   there.  */
uint64_t
jc_rlogentries_position (const struct jc_rlogentries *entries, uint64_t index)
{
  return find_slot (entries, index)->position;
}

/* Give the entry at INDEX, whose data was unloaded, the data of ENTRY.  */
void
jc_rlogentries_load (struct jc_rlogentries *entries, uint64_t index,
                     const struct rpc_log_entry *entry)
{
  set_data (entries, find_slot (entries, index), entry);
  entries->searched
      = MIN (entries->searched, (guint)(index - entries->base_index - 1));
}

/* Unload the data of entries up to INDEX, from the first one on, while more
   than BYTES_MAX are in memory.  Entries of KEEP_KIND keep theirs.  */
void
jc_rlogentries_unload (struct jc_rlogentries *entries, uint64_t index,
                       uint32_t keep_kind, size_t bytes_max)
{
  while (entries->bytes > bytes_max
         && entries->base_index + entries->searched < index)
    {
      struct slot *slot
          = g_ptr_array_index (entries->slots, entries->searched++);

      if (slot->entry.kind == keep_kind || !has_data (slot))
        continue;
      entries->bytes -= slot->entry.data.rpc_bytes_len;
      g_free (slot->entry.data.rpc_bytes_val);
      slot->entry.data.rpc_bytes_val = NULL;
    }
}
