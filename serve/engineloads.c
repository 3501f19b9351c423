/* Exchange of the loads of engines with other entry instances.  */

#include <string.h>

#include "serve/engineprivate.h"

/* Part of the pause that a request allows between events from which the reading
   of its prompt is told to the other instances at once: that many prompts read
   one after another stop the streams of an engine for too long.  */
#define READING_TOLD_FRACTION (1.0 / 16)

enum
{
  /* A peer that has sent nothing for this long is taken to have stopped: each
     sends at least every 500 ms.  */
  PEER_SILENT_MS = 700,
  PEER_LOADS_INITIAL = 8
};

/* Have REPORT called with DATA when so much is to be read at an engine that the
   others should learn of it before the next report is due: the loads of this
   instance, or with OF_ZONE those of its zone.  */
void
jc_engines_watch_reading (struct jc_engines *engines,
                          void (*report) (void *data, bool of_zone,
                                          int64_t now_ms),
                          void *data)
{
  engines->report = report;
  engines->report_data = data;
}

/* Have the loads of this instance reported if the TOKENS more that are to be
   read for a request with DEMAND matter to the streams beside it.  */
void
engine_note_reading (struct jc_engines *engines, const struct jc_demand *demand,
                     uint64_t tokens, int64_t now_ms)
{
  if (demand->prompt_tokens == 0 || demand->gap_limit_ms <= 0)
    return;
  engines->told_tokens = (double)demand->gap_limit_ms * READING_TOLD_FRACTION
                         * PREFILL_TOKENS_PER_MS;
  if (engines->report != NULL && (double)tokens >= engines->told_tokens)
    engines->report (engines->report_data, false, now_ms);
}

/* Return true if the growth of an engine's unread tokens from BEFORE to AFTER
   matters to the streams there.  */
static bool
has_grown (const struct jc_engines *engines, unsigned int before,
           unsigned int after)
{
  return engines->told_tokens > 0
         && (double)after - before >= engines->told_tokens;
}

/* Append to ROWS, of struct rpc_load, the load of this instance at each engine
   where it changed since the last call, or with FULL at each engine in use.
   Append to PARTS, of struct rpc_part_read, the shared prefixes that were
   sent to an engine and that no instance announced recently.  */
void
jc_engines_collect_loads (struct jc_engines *engines, bool full, int64_t now_ms,
                          GArray *rows, GArray *parts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;
      struct rpc_load row
          = { .tag = engine->tag,
              .running = engine->running,
              .unread_tokens = (u_int)MIN (engine->unread_tokens, UINT32_MAX),
              .tokens_per_s = (u_int)engine_prefill_rate (engine, now_ms) };

      if (engine->changed
          || (full && (engine->running > 0 || row.tokens_per_s > 0)))
        g_array_append_val (rows, row);
      engine->changed = false;
    }
  g_array_append_vals (parts, engines->prefix_updates->data,
                       engines->prefix_updates->len);
  g_array_set_size (engines->prefix_updates, 0);
}

/* Return the load of ENGINE summed over all instances of this zone.  */
static struct rpc_load
zone_load (const struct engine *engine, int64_t now_ms)
{
  struct rpc_load sum
      = { .tag = engine->tag,
          .running = engine->running,
          .unread_tokens = (u_int)MIN (engine->unread_tokens, UINT32_MAX),
          .tokens_per_s = (u_int)engine_prefill_rate (engine, now_ms) };

  for (unsigned int i = 0; i < engine->peer_loads_count; i++)
    {
      const struct peer_load *peer_load = &engine->peer_loads[i];

      if (!peer_load->peer->direct
          || now_ms - peer_load->peer->heard_ms >= LOAD_MAX_AGE_MS)
        continue;
      sum.running += peer_load->reported.running;
      sum.unread_tokens += peer_load->reported.unread_tokens;
      sum.tokens_per_s += (u_int)engine_decayed_rate (
          peer_load->reported.tokens_per_s, now_ms - peer_load->reported_ms);
    }
  return sum;
}

/* Like jc_engines_collect_loads, for the sum of all instances of this zone.  */
void
jc_engines_collect_zone_loads (struct jc_engines *engines, bool full,
                               int64_t now_ms, GArray *rows, GArray *parts)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;
      struct rpc_load row = zone_load (engine, now_ms);

      if (engine->zone_changed
          || (full && (row.running > 0 || row.tokens_per_s > 0)))
        g_array_append_val (rows, row);
      engine->zone_changed = false;
    }
  g_array_append_vals (parts, engines->zone_prefix_updates->data,
                       engines->zone_prefix_updates->len);
  g_array_set_size (engines->zone_prefix_updates, 0);
}

static struct peer *
peer_get (struct jc_engines *engines, const char *name, bool direct)
{
  uint64_t id = jc_name_pair_hash (name, direct ? "" : "zone");
  struct peer *peer = g_hash_table_lookup (engines->peers, &id);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->id = id;
      peer->direct = direct;
      g_hash_table_insert (engines->peers, &peer->id, peer);
    }
  return peer;
}

/* Return the entry for the load of PEER at ENGINE.  When the table is full, the
   entry of the peer that has been silent the longest is reused.  */
static struct peer_load *
peer_load_get (struct engine *engine, const struct peer *peer)
{
  struct peer_load *oldest = engine->peer_loads;

  for (unsigned int i = 0; i < engine->peer_loads_count; i++)
    {
      struct peer_load *peer_load = &engine->peer_loads[i];

      if (peer_load->peer == peer)
        return peer_load;
      if (peer_load->peer->heard_ms < oldest->peer->heard_ms)
        oldest = peer_load;
    }
  if (engine->peer_loads_count == PEER_LOADS_MAX)
    {
      *oldest = (struct peer_load){ .peer = peer };
      return oldest;
    }
  if (engine->peer_loads_count == engine->peer_loads_capacity)
    {
      engine->peer_loads_capacity
          = MAX (2 * engine->peer_loads_capacity, PEER_LOADS_INITIAL);
      engine->peer_loads = g_renew (struct peer_load, engine->peer_loads,
                                    engine->peer_loads_capacity);
    }
  engine->peer_loads[engine->peer_loads_count]
      = (struct peer_load){ .peer = peer };
  return &engine->peer_loads[engine->peer_loads_count++];
}

/* Clear the loads of PEER that its full message, received at NOW_MS, did not
   list.  */
static void
clear_unlisted_loads (struct jc_engines *engines, const struct peer *peer,
                      int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct engine *engine = value;

      for (unsigned int i = 0; i < engine->peer_loads_count; i++)
        if (engine->peer_loads[i].peer == peer
            && engine->peer_loads[i].reported_ms != now_ms)
          memset (&engine->peer_loads[i].reported, 0,
                  sizeof engine->peer_loads[i].reported);
    }
}

/* Apply a message with the LOADS of PEER.  */
static void
apply_loads (struct jc_engines *engines, struct peer *peer,
             const struct rpc_loads *loads, int64_t now_ms)
{
  bool grown = false;

  peer->heard_ms = now_ms;
  for (u_int i = 0; i < loads->rows.rows_len; i++)
    {
      const struct rpc_load *row = &loads->rows.rows_val[i];
      uint64_t tag = row->tag;
      struct engine *engine = g_hash_table_lookup (engines->by_tag, &tag);
      struct peer_load *peer_load;

      if (engine == NULL)
        continue;
      peer_load = peer_load_get (engine, peer);
      grown = grown
              || (peer->direct
                  && has_grown (engines, peer_load->reported.unread_tokens,
                                row->unread_tokens));
      *peer_load = (struct peer_load){ .peer = peer,
                                       .reported = *row,
                                       .reported_ms = now_ms };
      engine->zone_changed = engine->zone_changed || peer->direct;
      engine->last_used_ms
          = MAX (engine->last_used_ms, now_ms - LOAD_MAX_AGE_MS);
    }
  for (u_int i = 0; i < loads->parts.parts_len; i++)
    engine_prefixes_note_peer (engines, &loads->parts.parts_val[i],
                               peer->direct, now_ms);
  if (loads->full)
    clear_unlisted_loads (engines, peer, now_ms);
  if (grown && engines->report != NULL)
    engines->report (engines->report_data, true, now_ms);
}

/* Apply the LOADS received from the entry instance INSTANCE of this zone.  */
void
jc_engines_apply_loads (struct jc_engines *engines, const char *instance,
                        const struct rpc_loads *loads, int64_t now_ms)
{
  apply_loads (engines, peer_get (engines, instance, true), loads, now_ms);
}

/* Apply the LOADS received for all instances of ZONE together.  */
void
jc_engines_apply_zone_loads (struct jc_engines *engines, const char *zone,
                             const struct rpc_loads *loads, int64_t now_ms)
{
  apply_loads (engines, peer_get (engines, zone, false), loads, now_ms);
}

/* Return true if the entry instance INSTANCE of this zone sent its loads within
   the last PEER_SILENT_MS.  */
bool
jc_engines_heard_from (const struct jc_engines *engines, const char *instance,
                       int64_t now_ms)
{
  uint64_t id = jc_name_pair_hash (instance, "");
  const struct peer *peer = g_hash_table_lookup (engines->peers, &id);

  return peer != NULL && now_ms - peer->heard_ms < PEER_SILENT_MS;
}
