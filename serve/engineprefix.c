/* Prompt prefixes cached at each engine.  An instance knows the prefixes of its
   own requests; the other instances of the region announce shared parts to
   it.  */

#include "serve/engineprivate.h"

enum
{
  /* An engine may have evicted a part that has not been used for this long.  */
  PART_EXPIRE_MS = 20000,
  PARTS_MAX = 2048,
  /* A part in use is announced again after this time, so that instances that
     have just started learn of it well before PART_EXPIRE_MS.  */
  ANNOUNCE_INTERVAL_MS = 4000,
  /* Maximum number of announcements between two messages; more indicates a
     burst of prompts that share nothing.  */
  PART_UPDATES_MAX = 1024
};

/* A prefix cached at an engine: when it was used last, and when this or another
   instance last announced it.  */
struct part
{
  uint64_t id;
  int64_t used_ms;
  int64_t announced_ms;
};

/* Return an empty table of parts.  */
GHashTable *
engine_parts_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static struct part *
part_get (struct engine *engine, uint64_t id)
{
  struct part *part = g_hash_table_lookup (engine->parts, &id);

  if (part != NULL)
    return part;
  if (g_hash_table_size (engine->parts) > PARTS_MAX)
    g_hash_table_remove_all (engine->parts);
  part = g_new (struct part, 1);
  *part = (struct part){ .id = id, .announced_ms = -ANNOUNCE_INTERVAL_MS };
  g_hash_table_insert (engine->parts, &part->id, part);
  return part;
}

/* Return the number of DEMAND's first tokens that ENGINE has probably
   cached.  */
unsigned int
engine_cached_tokens (const struct engine *engine,
                      const struct jc_demand *demand, int64_t now_ms)
{
  for (unsigned int i = demand->parts_count; i > 0; i--)
    {
      const struct part *part
          = g_hash_table_lookup (engine->parts, &demand->prefix_hash[i - 1]);

      if (part != NULL && now_ms - part->used_ms < PART_EXPIRE_MS)
        return MIN (demand->prefix_tokens[i - 1], demand->prompt_tokens);
    }
  return 0;
}

/* Return true if ENGINE has probably cached all shared parts of DEMAND.  */
bool
engine_has_shared_prefix (const struct engine *engine,
                          const struct jc_demand *demand, int64_t now_ms)
{
  const struct part *part;

  if (demand->parts_count < 2)
    return false;
  part = g_hash_table_lookup (engine->parts,
                              &demand->prefix_hash[demand->parts_count - 2]);
  return part != NULL && now_ms - part->used_ms < PART_EXPIRE_MS;
}

/* Mark the parts of DEMAND as used at ENGINE now.  */
void
engine_parts_touch (struct engine *engine, const struct jc_demand *demand,
                    int64_t now_ms)
{
  for (unsigned int i = 0; i < demand->parts_count; i++)
    part_get (engine, demand->prefix_hash[i])->used_ms = now_ms;
}

/* Add CACHED to the next announcement to the other zones of the region.  */
static void
zone_part_update_add (struct jc_engines *engines,
                      const struct rpc_part_read *cached)
{
  if (engines->zone_part_updates->len < PART_UPDATES_MAX)
    g_array_append_val (engines->zone_part_updates, *cached);
}

/* Mark the parts of DEMAND, sent to ENGINE, as used and announce its shared
   parts.  */
void
engine_parts_note_sent (struct jc_engines *engines, struct engine *engine,
                        const struct jc_demand *demand, int64_t now_ms)
{
  engine_parts_touch (engine, demand, now_ms);
  for (unsigned int i = 0; i + 1 < demand->parts_count; i++)
    {
      struct part *part = part_get (engine, demand->prefix_hash[i]);
      const struct rpc_part_read update
          = { .tag = engine->tag, .part = part->id };

      if (now_ms - part->announced_ms < ANNOUNCE_INTERVAL_MS
          || engines->part_updates->len >= PART_UPDATES_MAX)
        continue;
      part->announced_ms = now_ms;
      g_array_append_val (engines->part_updates, update);
      zone_part_update_add (engines, &update);
    }
}

/* Note that another instance announced CACHED; with DIRECT, one of this zone,
   whose announcement is forwarded to the other zones.  */
void
engine_parts_note_peer (struct jc_engines *engines,
                        const struct rpc_part_read *cached, bool direct,
                        int64_t now_ms)
{
  uint64_t tag = cached->tag;
  struct engine *engine = g_hash_table_lookup (engines->by_tag, &tag);
  struct part *part;

  if (engine == NULL)
    return;
  part = part_get (engine, cached->part);
  part->used_ms = now_ms;
  part->announced_ms = now_ms;
  if (direct)
    zone_part_update_add (engines, cached);
}
