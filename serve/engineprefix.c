/* Engines: the parts of prompts that each of them has read.  An instance knows
   its own requests, and the others of its region tell it of shared parts.  */

#include "serve/engineprivate.h"

enum
{
  /* What an engine read may be gone after this long without use.  */
  PART_KEPT_MS = 20000,
  PARTS_MAX = 2048,
  /* A part in use is told of again after this time, so that an instance that
     has just started knows it too, long before it is given up.  */
  TELL_AGAIN_MS = 4000,
  /* Most news between two messages; more would be a burst of prompts that
     nobody shares.  */
  NEWS_MAX = 1024
};

/* A part that was read: when it was used last, and when this or another
   instance told of it last.  */
struct part
{
  uint64_t id;
  int64_t used_ms;
  int64_t told_ms;
};

/* Return an empty table of parts.  */
GHashTable *
engine_parts_new (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static struct part *
part_of (struct engine *engine, uint64_t id)
{
  struct part *part = g_hash_table_lookup (engine->parts, &id);

  if (part != NULL)
    return part;
  if (g_hash_table_size (engine->parts) > PARTS_MAX)
    g_hash_table_remove_all (engine->parts);
  part = g_new (struct part, 1);
  *part = (struct part){ .id = id, .told_ms = -TELL_AGAIN_MS };
  g_hash_table_insert (engine->parts, &part->id, part);
  return part;
}

/* Return how many of DEMAND's first tokens ENGINE has read lately.  */
unsigned int
engine_tokens_read (const struct engine *engine, const struct jc_demand *demand,
                    int64_t now_ms)
{
  for (unsigned int i = demand->parts_count; i > 0; i--)
    {
      const struct part *part
          = g_hash_table_lookup (engine->parts, &demand->prefix_hash[i - 1]);

      if (part != NULL && now_ms - part->used_ms < PART_KEPT_MS)
        return MIN (demand->prefix_tokens[i - 1], demand->prompt_tokens);
    }
  return 0;
}

/* Tell whether ENGINE has read all shared parts of DEMAND.  */
bool
engine_has_shared (const struct engine *engine, const struct jc_demand *demand,
                   int64_t now_ms)
{
  const struct part *part;

  if (demand->parts_count < 2)
    return false;
  part = g_hash_table_lookup (engine->parts,
                              &demand->prefix_hash[demand->parts_count - 2]);
  return part != NULL && now_ms - part->used_ms < PART_KEPT_MS;
}

/* The prompt of DEMAND was read at ENGINE.  */
void
engine_parts_used (struct engine *engine, const struct jc_demand *demand,
                   int64_t now_ms)
{
  for (unsigned int i = 0; i < demand->parts_count; i++)
    part_of (engine, demand->prefix_hash[i])->used_ms = now_ms;
}

/* READ is to be told to the other zones of the region.  */
static void
zone_news_add (struct jc_engines *engines, const struct rpc_part_read *read)
{
  if (engines->zone_news->len < NEWS_MAX)
    g_array_append_val (engines->zone_news, *read);
}

/* The prompt of DEMAND went to ENGINE: the others are to hear of its shared
   parts.  */
void
engine_parts_sent (struct jc_engines *engines, struct engine *engine,
                   const struct jc_demand *demand, int64_t now_ms)
{
  engine_parts_used (engine, demand, now_ms);
  for (unsigned int i = 0; i + 1 < demand->parts_count; i++)
    {
      struct part *part = part_of (engine, demand->prefix_hash[i]);
      const struct rpc_part_read news
          = { .tag = engine->tag, .part = part->id };

      if (now_ms - part->told_ms < TELL_AGAIN_MS
          || engines->news->len >= NEWS_MAX)
        continue;
      part->told_ms = now_ms;
      g_array_append_val (engines->news, news);
      zone_news_add (engines, &news);
    }
}

/* Another instance told that a part was READ: one of this zone where DIRECT. */
void
engine_parts_heard (struct jc_engines *engines,
                    const struct rpc_part_read *read, bool direct,
                    int64_t now_ms)
{
  uint64_t tag = read->tag;
  struct engine *engine = g_hash_table_lookup (engines->by_tag, &tag);
  struct part *part;

  if (engine == NULL)
    return;
  part = part_of (engine, read->part);
  part->used_ms = now_ms;
  part->told_ms = now_ms;
  if (direct)
    zone_news_add (engines, read);
}
