/* Entry instances, as parts of the simulation of software versions: they decide
   by the same modules as entry/resumptions.c, in the same order.  */

#include <string.h>

#include "tests/versionworld.h"

enum
{
  SEND_MS = 10,
  TICK_MS = 100,
  EXPIRE_MS = 250,
  HELD_MAX_MS = 2600,
  LEFT_MAX_MS = 8000,
  /* Within the region.  */
  HOP_MS = 1,
  EVENT_MS = 100,
  FIRST_EVENT_MS = 50,
  FIRST_EVENT_SPREAD_MS = 250
};

/* Return whether the entry instance that EVENT is for is the process that it
   was meant for.  */
bool
entries_is_current (const struct world *world, const struct world_event *event)
{
  const struct world_entry *entry = &world->entries[event->entry];

  return entry->up && entry->epoch == event->epoch;
}

/* Count the bytes of PACKET, which ENTRY sends or gets.  */
void
entries_count_bytes (struct world_entry *entry, struct rpc_packet *packet)
{
  entry->bytes += world_packet_bytes (packet);
}

/* Return the version of TARGET's process, 0 if it isn't certain.  */
static uint64_t
target_software (const struct world *world, unsigned int entry,
                 const struct world_target *target)
{
  const struct world_entry *at = &world->entries[entry];
  const struct jc_process_identity *identity
      = &at->identities[target->endpoint];
  const struct jc_endpoint *endpoint
      = jc_endpoints_find_by_tag (at->endpoints, target->tag);

  if (endpoint != NULL
      && jc_resumption_is_confirmed (endpoint->reported_ms, target->since_ms))
    return endpoint->software;
  endpoint = jc_endpoints_find (at->endpoints,
                                world->endpoints[target->endpoint].name);
  return endpoint != NULL && endpoint->incarnation == identity->incarnation
                 && jc_resumption_is_identified (identity,
                                                 target->since_ms * US_PER_MS,
                                                 target->heard_ms * US_PER_MS)
             ? endpoint->software
             : 0;
}

static struct world_target
target_of (const struct stream *stream)
{
  return (struct world_target){ .endpoint = stream->endpoint,
                                .tag = stream->target_tag,
                                .since_ms = stream->process_since_ms,
                                .heard_ms = stream->process_heard_ms,
                                .stream = stream->hash,
                                .start_ms = stream->start_ms };
}

/* Return the version of the process that answers STREAM's attempt, 0 if it
   isn't certain.  */
static uint64_t
certain_software (const struct world *world, const struct stream *stream)
{
  const struct world_target target = target_of (stream);

  return target_software (world, stream->entry, &target);
}

/* Ask the process that answers STREAM's attempt what it is, unless that is
   known.  */
static void
identify (struct world *world, const struct stream *stream)
{
  const struct world_entry *entry = &world->entries[stream->entry];

  if (!world->plan->untold
      && (stream->unproven_attempt || stream->software == 0)
      && certain_software (world, stream) == 0
      && !jc_resumption_is_identified (&entry->identities[stream->endpoint],
                                       stream->process_since_ms * US_PER_MS,
                                       stream->process_heard_ms * US_PER_MS))
    conns_identify (world, stream->entry, stream->endpoint);
}

static void
record (struct world *world, unsigned int index,
        const struct jc_stream_start *start)
{
  struct world_entry *entry = &world->entries[index];

  jc_stream_starts_record (entry->starts, start);
  world->result->entry_starts_max
      = MAX (world->result->entry_starts_max,
             (unsigned int)jc_stream_starts_count (entry->starts));
  if (entry->unsent->len == 0)
    world_after (world, SEND_MS,
                 (struct world_event){ .run = searches_on_send,
                                       .entry = index,
                                       .epoch = entry->epoch });
  g_array_append_val (entry->unsent, start->stream);
}

static void
record_start (struct world *world, struct stream *stream)
{
  struct jc_stream_start start = { .stream = stream->hash,
                                   .software = stream->software,
                                   .started_ms = world->now_ms,
                                   .certain = stream->software != 0 };

  if (!start.certain)
    {
      start.software = stream->target_software;
      start.endpoint_tag = stream->target_tag;
    }
  record (world, stream->entry, &start);
}

/* Record the starts of streams whose callers have left as certain, once they
   are.  */
static void
check_left (struct world *world, unsigned int index)
{
  struct world_entry *entry = &world->entries[index];

  for (guint i = entry->left->len; i > 0; i--)
    {
      const struct world_target *target
          = &g_array_index (entry->left, struct world_target, i - 1);
      const struct jc_stream_start start
          = { .stream = target->stream,
              .software = target_software (world, index, target),
              .started_ms = target->start_ms,
              .certain = true };

      if (start.software != 0)
        record (world, index, &start);
      if (start.software != 0 || world->now_ms - target->start_ms > LEFT_MAX_MS)
        g_array_remove_index_fast (entry->left, i - 1);
    }
}

/* STREAM's attempt ends.  Return whether its start is not certain; it may
   become so later.  */
static bool
leave_unproven (struct world *world, struct stream *stream)
{
  struct world_entry *entry = &world->entries[stream->entry];
  const struct world_target target = target_of (stream);

  if (!g_ptr_array_remove (entry->unproven, stream) || stream->software != 0)
    return false;
  stream->software = certain_software (world, stream);
  if (stream->software != 0)
    record_start (world, stream);
  else
    g_array_append_val (entry->left, target);
  return true;
}

static void
note_begin (struct world *world, struct stream *stream)
{
  stream->begun = true;
  stream->start_ms = world->now_ms;
  if (stream->software == 0)
    {
      stream->software = certain_software (world, stream);
      if (stream->software == 0)
        g_ptr_array_add (world->entries[stream->entry].unproven, stream);
    }
  record_start (world, stream);
}

static bool
may_pass (struct world *world, struct stream *stream)
{
  GPtrArray *unproven = world->entries[stream->entry].unproven;

  if (!stream->unproven_attempt)
    return true;
  if (certain_software (world, stream) == stream->software)
    {
      stream->unproven_attempt = false;
      g_ptr_array_remove (unproven, stream);
      return true;
    }
  if (!g_ptr_array_find (unproven, stream, NULL))
    {
      stream->held_ms = world->now_ms;
      g_ptr_array_add (unproven, stream);
    }
  return false;
}

/* Forget STREAM's exchange: it has ended.  */
void
entries_forget (struct world *world, struct stream *stream)
{
  struct world_entry *entry = &world->entries[stream->entry];

  stream->open = false;
  stream->attempt++;
  conns_leave (world, stream, false);
  if (!entry->up)
    return;
  leave_unproven (world, stream);
  g_ptr_array_remove (entry->unsearched, stream);
}

static void
refuse (struct world *world, struct stream *stream,
        enum jc_resumption_outcome outcome)
{
  entries_forget (world, stream);
  callers_refused (world, stream, outcome);
}

static void
attempt_ended (struct world *world, struct stream *stream)
{
  conns_leave (world, stream, false);
  stream->tried |= 1U << stream->endpoint;
  leave_unproven (world, stream);
  entries_attempt (world, stream);
}

/* Pass on the events that STREAM holds, or drop them with their attempt.  */
static void
flush_held (struct world *world, struct stream *stream)
{
  const struct world_entry *entry = &world->entries[stream->entry];
  uint64_t attempt = stream->attempt;

  if (may_pass (world, stream))
    {
      if (!stream->begun && stream->held > 0)
        note_begin (world, stream);
      while (stream->held > 0 && stream->attempt == attempt)
        {
          stream->held--;
          callers_receive (world, stream, stream->held_version);
        }
      if (stream->broken && stream->attempt == attempt)
        attempt_ended (world, stream);
      return;
    }
  if (jc_endpoints_find_by_tag (entry->endpoints, stream->target_tag) == NULL
      || world->now_ms - stream->held_ms > HELD_MAX_MS)
    {
      stream->held = 0;
      attempt_ended (world, stream);
    }
}

/* STREAM's connection is closed before its answer is whole.  What is held of it
   stays so until it is shown to be of the right version.  */
void
entries_broken (struct world *world, struct stream *stream)
{
  uint64_t attempt = stream->attempt;

  if (stream->held > 0)
    flush_held (world, stream);
  if (stream->attempt != attempt)
    return;
  if (stream->held > 0)
    stream->broken = true;
  else
    attempt_ended (world, stream);
}

/* STREAM's endpoint sends its next event, unless its process has ended.  */
static void
on_event (struct world *world, const struct world_event *event)
{
  struct stream *stream = event->stream;
  const struct world_endpoint *endpoint = &world->endpoints[stream->endpoint];

  if (stream->attempt != event->number || !endpoint->up
      || endpoint->incarnation != stream->process)
    return;
  conns_note_heard (world, stream);
  identify (world, stream);
  if (stream->last_event + stream->held + 2 < stream->events)
    world_after (world, EVENT_MS, *event);
  else
    conns_leave (world, stream, true);
  stream->held++;
  stream->held_version = endpoint->version;
  flush_held (world, stream);
}

/* A request arrives at its endpoint.  */
static void
on_arrival (struct world *world, const struct world_event *event)
{
  struct stream *stream = event->stream;
  const struct world_endpoint *endpoint = &world->endpoints[stream->endpoint];

  if (stream->attempt != event->number)
    return;
  if (!endpoint->up)
    {
      attempt_ended (world, stream);
      return;
    }
  stream->process = endpoint->incarnation;
  conns_take (world, stream);
  world_after (
      world, FIRST_EVENT_MS + world_random (world, FIRST_EVENT_SPREAD_MS),
      (struct world_event){
          .run = on_event, .stream = stream, .number = event->number });
}

/* Return whether STREAM may go to the endpoint INDEX now, and, in CERTAIN,
   whether it is certain which process that is.  */
static bool
is_candidate (struct world *world, struct stream *stream, unsigned int index,
              bool *certain)
{
  struct world_entry *entry = &world->entries[stream->entry];
  const struct jc_endpoint *endpoint
      = jc_endpoints_find (entry->endpoints, world->endpoints[index].name);
  int64_t since_ms;

  if (endpoint == NULL || (stream->tried >> index & 1U) != 0
      || !jc_endpoint_is_usable (endpoint, world->now_ms)
      || (stream->software != 0
              ? endpoint->software != stream->software
              : !jc_versions_contains (entry->versions, WORLD_SERVICE,
                                       endpoint->software)))
    return false;
  since_ms = conns_since_ms (world, entry, index);
  *certain
      = since_ms >= 0
        && (jc_resumption_is_confirmed (endpoint->reported_ms, since_ms)
            || (entry->identities[index].incarnation == endpoint->incarnation
                && jc_resumption_is_identified (
                    &entry->identities[index], since_ms * US_PER_MS,
                    entry->used[index].heard_ms * US_PER_MS)));
  return true;
}

/* Return the endpoint for STREAM, for a stream that goes on one whose process
   is certain if there is one, WORLD_ENDPOINTS if there is none.  */
static unsigned int
pick_endpoint (struct world *world, struct stream *stream)
{
  unsigned int first = world_random (world, WORLD_ENDPOINTS);
  unsigned int picked = WORLD_ENDPOINTS;

  for (unsigned int i = 0; i < WORLD_ENDPOINTS; i++)
    {
      unsigned int index = (first + i) % WORLD_ENDPOINTS;
      bool certain;

      if (!is_candidate (world, stream, index, &certain))
        continue;
      if (stream->software == 0 || certain)
        return index;
      if (picked == WORLD_ENDPOINTS)
        picked = index;
    }
  return picked;
}

/* Look for the version that STREAM must go on at, unless it has no events yet.
   Return whether an attempt may start now.  */
static bool
prepare (struct world *world, struct stream *stream)
{
  if (stream->software != 0 || stream->last_event < 0)
    return true;
  if (stream->search_ended)
    {
      refuse (world, stream, stream->outcome);
      return false;
    }
  if (searches_find_own (world, stream))
    return true;
  searches_start (world, stream);
  return false;
}

/* Start the next attempt of STREAM's exchange.  */
void
entries_attempt (struct world *world, struct stream *stream)
{
  const struct jc_endpoint *endpoint;

  stream->held = 0;
  stream->broken = false;
  stream->attempt++;
  if (!prepare (world, stream))
    return;
  stream->endpoint = pick_endpoint (world, stream);
  if (stream->endpoint == WORLD_ENDPOINTS)
    {
      stream->endpoint = 0;
      refuse (world, stream, JC_RESUMPTION_WAIT);
      return;
    }
  endpoint = jc_endpoints_find (world->entries[stream->entry].endpoints,
                                world->endpoints[stream->endpoint].name);
  stream->target_software = endpoint->software;
  stream->target_tag = endpoint->tag;
  stream->unproven_attempt = stream->software != 0;
  world_after (world, HOP_MS,
               (struct world_event){ .run = on_arrival,
                                     .stream = stream,
                                     .number = stream->attempt });
}

/* Check again what is not certain yet at the entry instance INDEX.  */
void
entries_check (struct world *world, unsigned int index)
{
  struct world_entry *entry = &world->entries[index];
  GPtrArray *unproven = g_ptr_array_copy (entry->unproven, NULL, NULL);

  for (guint i = 0; i < unproven->len; i++)
    {
      struct stream *stream = g_ptr_array_index (unproven, i);

      if (!g_ptr_array_find (entry->unproven, stream, NULL))
        continue;
      if (stream->unproven_attempt)
        flush_held (world, stream);
      else if ((stream->software = certain_software (world, stream)) != 0)
        {
          g_ptr_array_remove (entry->unproven, stream);
          record_start (world, stream);
        }
    }
  g_ptr_array_free (unproven, TRUE);
  check_left (world, index);
}

static void
search_again (struct world *world, struct world_entry *entry)
{
  GPtrArray *unsearched = entry->unsearched;

  entry->unsearched = g_ptr_array_new ();
  for (guint i = 0; i < unsearched->len; i++)
    {
      struct stream *stream = g_ptr_array_index (unsearched, i);

      if (stream->search_again_ms > world->now_ms)
        g_ptr_array_add (entry->unsearched, stream);
      else
        entries_attempt (world, stream);
    }
  g_ptr_array_free (unsearched, TRUE);
}

/* Let all entry instances do what they do from time to time.  */
void
entries_tick (struct world *world)
{
  for (unsigned int e = 0; e < world->plan->entries; e++)
    {
      struct world_entry *entry = &world->entries[e];

      if (entry->up && (world->now_ms + e) % EXPIRE_MS == 0)
        jc_endpoints_expire (entry->endpoints, world->now_ms);
      if (!entry->up || (world->now_ms + e) % TICK_MS != 0)
        continue;
      entries_check (world, e);
      search_again (world, entry);
      jc_stream_starts_expire (entry->starts, world->now_ms);
    }
}

static void
on_conn_up (struct world *world, const struct world_event *event)
{
  if (entries_is_current (world, event))
    searches_conn_up (world, event->entry, event->state);
}

/* Start ENTRY, which knows nothing.  */
void
entries_restart (struct world *world, unsigned int entry)
{
  struct world_entry *started = &world->entries[entry];

  if (started->up)
    return;
  started->up = true;
  started->up_ms = world->now_ms;
  started->region = entry % WORLD_REGIONS;
  started->endpoints = jc_endpoints_new ();
  jc_endpoints_expect_lease (started->endpoints, WORLD_LEASE_MS);
  started->starts = jc_stream_starts_new (WORLD_ENTRY_STARTS_MAX);
  started->versions = jc_versions_new ();
  started->left = g_array_new (FALSE, FALSE, sizeof (struct world_target));
  started->unsent = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  started->unproven = g_ptr_array_new ();
  started->unsearched = g_ptr_array_new ();
  memset (started->conns, 0, sizeof started->conns);
  memset (started->used, 0, sizeof started->used);
  memset (started->identities, 0, sizeof started->identities);
  memset (started->asking, 0, sizeof started->asking);
  for (unsigned int i = 0; i < WORLD_ENDPOINTS; i++)
    started->http_conns[i] = g_ptr_array_new ();
  for (unsigned int s = 0; s < world->plan->states; s++)
    world_after (world,
                 2 * world_delay_ms (started->region, world->states[s].region),
                 (struct world_event){ .run = on_conn_up,
                                       .entry = entry,
                                       .state = s,
                                       .epoch = started->epoch });
}

/* End ENTRY.  */
void
entries_kill (struct world *world, unsigned int entry)
{
  struct world_entry *killed = &world->entries[entry];

  if (!killed->up)
    return;
  killed->up = false;
  killed->epoch++;
  world->result->control_bytes += killed->bytes;
  killed->bytes = 0;
  jc_endpoints_free (killed->endpoints);
  jc_stream_starts_free (killed->starts);
  jc_versions_free (killed->versions);
  g_array_free (killed->left, TRUE);
  g_array_free (killed->unsent, TRUE);
  g_ptr_array_free (killed->unproven, TRUE);
  g_ptr_array_free (killed->unsearched, TRUE);
  for (unsigned int i = 0; i < WORLD_ENDPOINTS; i++)
    g_ptr_array_free (killed->http_conns[i], TRUE);
}

/* Start all entry instances.  */
void
entries_start (struct world *world)
{
  for (unsigned int e = 0; e < world->plan->entries; e++)
    entries_restart (world, e);
}

/* End all entry instances.  */
void
entries_stop (struct world *world)
{
  for (unsigned int e = 0; e < world->plan->entries; e++)
    entries_kill (world, e);
}
