/* Simulation of resumable streams whose endpoints change their software
   version: time, callers and faults.  */

#include <string.h>

#include "base/xdrencode.h"
#include "tests/versionworld.h"

enum
{
  MS_PER_S = 1000,
  EVENTS_MIN = 20,
  EVENTS_SPREAD = 40,
  /* One of so many events is the last that the caller gets on its connection.
   */
  BREAK_EVENTS = 50,
  AGAIN_MS = 1000,
  AGAIN_AFTER_KILL_MS = 6000,
  REFUSED_MS = 200,
  REFUSED_SPREAD_MS = 400,
  TRIES_MAX = 15,
  /* Share of the take-ups that come to another region, in percent.  */
  AWAY_PERCENT = 30,
  PERCENT = 100,
  ENTRY_DOWN_MS = 500,
  STATE_DOWN_MS = 2000,
  STATE_CUT_MS = 3000,
  REPLACE_MS = 150,
  CONN_LOST_MS = 2000,
  /* Take-ups from here on may not be decided when the run ends.  */
  LAST_TAKE_UP_MS = VERSIONSIM_RUN_MS - 6000,
  DELAY_REGIONS_MS = 20
};

/* Return SIZE zeroed bytes that belong to WORLD.  */
void *
world_alloc (struct world *world, gsize size)
{
  void *bytes = g_malloc0 (size);

  g_ptr_array_add (world->memory, bytes);
  return bytes;
}

/* Let EVENT happen after DELAY_MS, 1 ms at least.  */
void
world_after (struct world *world, int64_t delay_ms, struct world_event event)
{
  int64_t due_ms = world->now_ms + MAX (delay_ms, 1);
  GArray **moment;

  if (due_ms >= VERSIONSIM_RUN_MS)
    return;
  moment = &world->moments[due_ms];
  if (*moment == NULL)
    *moment = g_array_new (FALSE, FALSE, sizeof event);
  g_array_append_val (*moment, event);
}

/* Return the time from REGION to OTHER, ms.  */
int64_t
world_delay_ms (unsigned int region, unsigned int other)
{
  return region == other ? 1 : (int64_t)DELAY_REGIONS_MS * (region + other + 1);
}

/* Return a random number below END.  */
unsigned int
world_random (struct world *world, unsigned int end)
{
  return (unsigned int)g_rand_int_range (world->rand, 0, (gint32)end);
}

/* Return the name of REGION.  */
const char *
world_region (unsigned int region)
{
  static const char *const names[WORLD_REGIONS] = { "north", "south", "west" };

  return names[region];
}

/* Return the length of PACKET, without what frames it, bytes.  */
uint64_t
world_packet_bytes (struct rpc_packet *packet)
{
  GString *encoded;
  uint64_t bytes;

  packet->head.group = (char *)"";
  packet->head.sender = (char *)"";
  encoded = jc_xdr_encode ((xdrproc_t)xdr_rpc_packet, packet);
  bytes = encoded->len;
  g_string_free (encoded, TRUE);
  return bytes;
}

/* Return the number of endpoints where STREAM could go on, of the version that
   began it and in the region of its entry instance, that have served for
   VERSIONSIM_TOUCH_MS.  */
static unsigned int
count_serving (const struct world *world, const struct stream *stream)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      const struct world_endpoint *endpoint = &world->endpoints[i];

      count += endpoint->up && endpoint->version + 1 == stream->began_at
               && endpoint->region == world->entries[stream->entry].region
               && world->now_ms - endpoint->served_ms >= VERSIONSIM_TOUCH_MS;
    }
  return count;
}

/* Return whether STREAM's take-up counts as in touch by what is the case now.
 */
static bool
is_in_touch (const struct world *world, const struct stream *stream)
{
  const struct world_entry *entry = &world->entries[stream->entry];

  return entry->up && world->now_ms - entry->up_ms >= VERSIONSIM_TOUCH_MS
         && world->now_ms - world->fault_ms >= VERSIONSIM_TOUCH_MS
         && count_serving (world, stream) >= 2;
}

/* STREAM's take-up is decided.  */
static void
take_up_ended (struct world *world, struct stream *stream, bool went_on)
{
  stream->take_up = false;
  world->result->take_ups++;
  world->result->went_on += went_on;
  if (!stream->in_touch || !is_in_touch (world, stream))
    return;
  world->result->touch++;
  world->result->touch_went_on += went_on;
}

/* Return an entry instance that is up, in REGION unless there is none or the
   caller goes to another one, or ENTRIES_MAX.  */
static unsigned int
pick_entry (struct world *world, unsigned int region)
{
  unsigned int first = world_random (world, world->plan->entries);
  bool away = world_random (world, PERCENT) < AWAY_PERCENT;
  unsigned int picked = VERSIONSIM_ENTRIES_MAX;

  for (unsigned int i = 0; i < world->plan->entries; i++)
    {
      unsigned int e = (first + i) % world->plan->entries;

      if (!world->entries[e].up)
        continue;
      if (away || world->entries[e].region == region)
        return e;
      picked = e;
    }
  return picked;
}

static void on_again (struct world *world, const struct world_event *event);

/* Let STREAM's caller come again within SPREAD_MS after DELAY_MS.  */
static void
come_again (struct world *world, struct stream *stream, int64_t delay_ms,
            unsigned int spread_ms)
{
  if (++stream->tries >= TRIES_MAX)
    stream->ended = true;
  if (!stream->ended)
    world_after (world, delay_ms + world_random (world, spread_ms),
                 (struct world_event){ .run = on_again, .stream = stream });
}

/* STREAM's caller begins its stream or takes it up.  */
static void
on_again (struct world *world, const struct world_event *event)
{
  struct stream *stream = event->stream;
  unsigned int entry = pick_entry (world, world->entries[stream->entry].region);
  char id[WORLD_NAME_BYTES];

  if (entry == VERSIONSIM_ENTRIES_MAX)
    {
      come_again (world, stream, REFUSED_MS, REFUSED_SPREAD_MS);
      return;
    }
  if (stream->last_event < 0)
    {
      g_snprintf (id, sizeof id, "request-%" G_GUINT64_FORMAT,
                  ++world->next_id);
      stream->hash = jc_stream_hash (id);
    }
  stream->entry = entry;
  stream->open = true;
  stream->take_up = stream->last_event >= 0 && world->now_ms < LAST_TAKE_UP_MS;
  stream->in_touch = is_in_touch (world, stream);
  stream->begun = false;
  stream->software = 0;
  stream->tried = 0;
  stream->search_ended = false;
  stream->search_ms = 0;
  entries_attempt (world, stream);
}

/* STREAM's caller gets the next event, of VERSION.  */
void
callers_receive (struct world *world, struct stream *stream,
                 unsigned int version)
{
  stream->last_event++;
  if (stream->began_at == 0)
    stream->began_at = version + 1;
  if (stream->began_at != version + 1 && !stream->mixed)
    {
      stream->mixed = true;
      world->result->mixed++;
    }
  if (stream->take_up)
    take_up_ended (world, stream, true);
  stream->ended = stream->last_event + 1 >= stream->events;
  if (stream->ended)
    entries_forget (world, stream);
  else if (world_random (world, BREAK_EVENTS) == 0)
    {
      entries_forget (world, stream);
      come_again (world, stream, 0, AGAIN_MS);
    }
}

/* STREAM's caller is told that it can't go on; OUTCOME is that of the search,
   JC_RESUMPTION_WAIT where no endpoint is left.  */
void
callers_refused (struct world *world, struct stream *stream,
                 enum jc_resumption_outcome outcome)
{
  if (stream->take_up)
    {
      world->result->refused[outcome]++;
      take_up_ended (world, stream, false);
    }
  come_again (world, stream, REFUSED_MS, REFUSED_SPREAD_MS);
}

static void
on_entry_restart (struct world *world, const struct world_event *event)
{
  entries_restart (world, event->entry);
}

/* End ENTRY; its callers come again within SPREAD_MS.  */
static void
kill_entry (struct world *world, unsigned int entry, unsigned int spread_ms)
{
  if (!world->entries[entry].up)
    return;
  entries_kill (world, entry);
  for (guint i = 0; i < world->streams->len; i++)
    {
      struct stream *stream = g_ptr_array_index (world->streams, i);

      if (!stream->open || stream->entry != entry)
        continue;
      if (stream->take_up)
        take_up_ended (world, stream, false);
      entries_forget (world, stream);
      come_again (world, stream, ENTRY_DOWN_MS, spread_ms);
    }
  world_after (world, ENTRY_DOWN_MS,
               (struct world_event){ .run = on_entry_restart, .entry = entry });
}

/* The entry instances lose their connections to a state instance.  */
static void
on_conns_lost (struct world *world, const struct world_event *event)
{
  for (unsigned int e = 0; e < world->plan->entries; e++)
    world->entries[e].conns[event->state] = false;
}

static void
on_state_restart (struct world *world, const struct world_event *event)
{
  world->fault_ms = world->now_ms;
  states_restart (world, event->state);
  for (unsigned int e = 0; e < world->plan->entries; e++)
    searches_conn_up (world, e, event->state);
}

/* Kill a state instance or, with CUT, cut it off, unless one is away already.
 */
static void
lose_state (struct world *world, bool cut)
{
  unsigned int state = world_random (world, world->plan->states);

  for (unsigned int s = 0; s < world->plan->states; s++)
    if (!states_answers (world, s))
      return;
  if (cut)
    world->states[state].cut = true;
  else
    states_kill (world, state);
  world_after (world, cut ? CONN_LOST_MS : 1,
               (struct world_event){ .run = on_conns_lost, .state = state });
  world_after (world, cut ? STATE_CUT_MS : STATE_DOWN_MS,
               (struct world_event){ .run = on_state_restart, .state = state });
}

static bool
is_due (const struct world *world, int64_t interval_ms)
{
  return interval_ms > 0 && world->now_ms % interval_ms == interval_ms - 1;
}

/* Replace the endpoint whose turn it is, once each.  */
static void
replace_endpoint (struct world *world)
{
  int64_t since_ms = world->now_ms - VERSIONSIM_CHANGE_MS;

  if (since_ms >= 0 && since_ms < (int64_t)REPLACE_MS * WORLD_ENDPOINTS
      && since_ms % REPLACE_MS == 0)
    endpoints_kill (world, (unsigned int)(since_ms / REPLACE_MS));
}

/* Cause the faults that are due.  */
static void
cause_faults (struct world *world)
{
  const struct versionsim_plan *plan = world->plan;

  replace_endpoint (world);
  if (is_due (world, plan->crash_ms))
    endpoints_kill (world, world_random (world, WORLD_ENDPOINTS));
  if (is_due (world, plan->kill_ms))
    kill_entry (world, world_random (world, plan->entries), AGAIN_MS);
  for (unsigned int e = 0; e < plan->entries; e++)
    if (is_due (world, plan->kill_all_ms))
      kill_entry (world, e, AGAIN_AFTER_KILL_MS);
  if (is_due (world, plan->state_kill_ms))
    lose_state (world, false);
  if (is_due (world, plan->state_cut_ms))
    lose_state (world, true);
  for (unsigned int s = 0; s < plan->states; s++)
    if (!states_answers (world, s))
      world->fault_ms = world->now_ms;
  if (!states_has_leader (world))
    world->fault_ms = world->now_ms;
}

/* Begin the streams of this millisecond.  */
static void
begin_streams (struct world *world)
{
  unsigned int per_s = world->plan->streams_per_s;
  unsigned int due = (unsigned int)(world->now_ms * per_s / MS_PER_S
                                    - (world->now_ms - 1) * per_s / MS_PER_S);

  for (; due > 0; due--)
    {
      struct stream *stream = world_alloc (world, sizeof *stream);

      stream->last_event = -1;
      stream->events = EVENTS_MIN + (int)world_random (world, EVENTS_SPREAD);
      stream->entry = world_random (world, world->plan->entries);
      g_ptr_array_add (world->streams, stream);
      world->result->streams++;
      on_again (world, &(struct world_event){ .stream = stream });
    }
}

/* Let all happen that is due now.  */
static void
run_moment (struct world *world)
{
  GArray *moment = world->moments[world->now_ms];

  for (guint i = 0; moment != NULL && i < moment->len; i++)
    {
      const struct world_event event
          = g_array_index (moment, struct world_event, i);

      event.run (world, &event);
    }
  if (moment != NULL)
    g_array_free (moment, TRUE);
}

/* Play PLAN with the random numbers of SEED and fill RESULT.  */
void
versionsim_run (const struct versionsim_plan *plan, uint32_t seed,
                struct versionsim_result *result)
{
  struct world *world = g_new0 (struct world, 1);

  memset (result, 0, sizeof *result);
  world->plan = plan;
  world->result = result;
  world->rand = g_rand_new_with_seed (seed);
  world->memory = g_ptr_array_new_with_free_func (g_free);
  world->streams = g_ptr_array_new ();
  for (unsigned int v = 0; v < WORLD_VERSIONS_MAX; v++)
    {
      char name[WORLD_NAME_BYTES];

      g_snprintf (name, sizeof name, "1.%u", v);
      world->software[v] = jc_version_hash (WORLD_SERVICE, name);
    }
  states_start (world);
  entries_start (world);
  for (world->now_ms = 1; world->now_ms < VERSIONSIM_RUN_MS; world->now_ms++)
    {
      run_moment (world);
      states_tick (world);
      entries_tick (world);
      cause_faults (world);
      begin_streams (world);
    }
  entries_stop (world);
  states_stop (world);
  g_ptr_array_free (world->streams, TRUE);
  g_ptr_array_free (world->memory, TRUE);
  g_rand_free (world->rand);
  g_free (world);
}
