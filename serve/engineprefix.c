/* Prompt prefixes cached at each engine.  An instance knows the prefixes of its
   own requests; the other instances of the region announce shared prefixes to
   it.  */

#include "serve/engineprivate.h"

enum
{
  /* An engine may have evicted a prefix that was unused for this long.  */
  PREFIX_EXPIRE_MS = 20000,
  PREFIXES_MAX = 2048,
  /* A prefix in use is announced again after this time, so that instances that
     have just started learn of it well before PREFIX_EXPIRE_MS.  */
  ANNOUNCE_INTERVAL_MS = 4000,
  /* Maximum number of announcements between two messages; more indicates a
     burst of prompts that share nothing.  */
  PREFIX_UPDATES_MAX = 1024
};

/* A prefix cached at an engine: when it was used last, and when this or another
   instance last announced it.  */
struct cached_prefix
{
  uint64_t id;
  int64_t used_ms;
  int64_t announced_ms;
};

/* Return an empty table of cached prefixes.  */
GHashTable *
engine_prefixes_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static struct cached_prefix *
prefix_get (struct engine *engine, uint64_t id)
{
  struct cached_prefix *prefix = g_hash_table_lookup (engine->prefixes, &id);

  if (prefix != NULL)
    return prefix;
  if (g_hash_table_size (engine->prefixes) > PREFIXES_MAX)
    g_hash_table_remove_all (engine->prefixes);
  prefix = g_new (struct cached_prefix, 1);
  *prefix = (struct cached_prefix){ .id = id,
                                    .announced_ms = -ANNOUNCE_INTERVAL_MS };
  g_hash_table_insert (engine->prefixes, &prefix->id, prefix);
  return prefix;
}

/* Return the number of DEMAND's first tokens that ENGINE has probably
   cached.  */
unsigned int
engine_cached_tokens (const struct engine *engine,
                      const struct jc_demand *demand, int64_t now_ms)
{
  for (unsigned int i = demand->parts_count; i > 0; i--)
    {
      const struct cached_prefix *prefix
          = g_hash_table_lookup (engine->prefixes, &demand->prefix_hash[i - 1]);

      if (prefix != NULL && now_ms - prefix->used_ms < PREFIX_EXPIRE_MS)
        return MIN (demand->prefix_tokens[i - 1], demand->prompt_tokens);
    }
  return 0;
}

/* Return true if ENGINE has probably cached all shared parts of DEMAND.  */
bool
engine_has_shared_prefix (const struct engine *engine,
                          const struct jc_demand *demand, int64_t now_ms)
{
  const struct cached_prefix *prefix;

  if (demand->parts_count < 2)
    return false;
  prefix = g_hash_table_lookup (engine->prefixes,
                                &demand->prefix_hash[demand->parts_count - 2]);
  return prefix != NULL && now_ms - prefix->used_ms < PREFIX_EXPIRE_MS;
}

/* Mark the prefixes of DEMAND as used at ENGINE now.  */
void
engine_prefixes_touch (struct engine *engine, const struct jc_demand *demand,
                       int64_t now_ms)
{
  for (unsigned int i = 0; i < demand->parts_count; i++)
    prefix_get (engine, demand->prefix_hash[i])->used_ms = now_ms;
}

/* Add CACHED to the next announcement to the other zones of the region.  */
static void
zone_prefix_update_add (struct jc_engines *engines,
                        const struct rpc_part_read *cached)
{
  if (engines->zone_prefix_updates->len < PREFIX_UPDATES_MAX)
    g_array_append_val (engines->zone_prefix_updates, *cached);
}

/* Mark the prefixes of DEMAND, sent to ENGINE, as used and announce the shared
   ones, all but the whole prompt.  */
void
engine_prefixes_note_sent (struct jc_engines *engines, struct engine *engine,
                           const struct jc_demand *demand, int64_t now_ms)
{
  engine_prefixes_touch (engine, demand, now_ms);
  for (unsigned int i = 0; i + 1 < demand->parts_count; i++)
    {
      struct cached_prefix *prefix
          = prefix_get (engine, demand->prefix_hash[i]);
      const struct rpc_part_read update
          = { .tag = engine->tag, .part = prefix->id };

      if (now_ms - prefix->announced_ms < ANNOUNCE_INTERVAL_MS
          || engines->prefix_updates->len >= PREFIX_UPDATES_MAX)
        continue;
      prefix->announced_ms = now_ms;
      g_array_append_val (engines->prefix_updates, update);
      zone_prefix_update_add (engines, &update);
    }
}

/* Note that another instance announced CACHED; with DIRECT, one of this zone,
   whose announcement is forwarded to the other zones.  */
void
engine_prefixes_note_peer (struct jc_engines *engines,
                           const struct rpc_part_read *cached, bool direct,
                           int64_t now_ms)
{
  uint64_t tag = cached->tag;
  struct engine *engine = g_hash_table_lookup (engines->by_tag, &tag);
  struct cached_prefix *prefix;

  if (engine == NULL)
    return;
  prefix = prefix_get (engine, cached->part);
  prefix->used_ms = now_ms;
  prefix->announced_ms = now_ms;
  if (direct)
    zone_prefix_update_add (engines, cached);
}
