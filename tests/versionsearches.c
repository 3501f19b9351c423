/* Starts that entry instances send to state instances, and their searches for
   them, as parts of the simulation of software versions.  */

#include "tests/versionworld.h"

enum
{
  SEARCH_MS = 2000,
  SEARCH_INTERVAL_MS = 200,
  /* Between regions and back.  */
  COMMIT_MS = 160
};

/* Return the number of state instances that hold the start of STREAM and are
   connected to ENTRY; they are stored in HOLDERS.  */
static unsigned int
list_holders (const struct world *world, const struct world_entry *entry,
              uint64_t stream, unsigned int holders[JC_RESUMPTION_HOLDERS_MAX])
{
  struct jc_stream_holder candidates[VERSIONSIM_STATES_MAX];
  unsigned int states[VERSIONSIM_STATES_MAX];
  unsigned int count = 0;
  unsigned int picked;

  for (unsigned int s = 0; s < world->plan->states; s++)
    if (entry->conns[s])
      {
        states[count] = s;
        candidates[count++] = (struct jc_stream_holder){
          .name = world->states[s].name,
          .region = world_region (world->states[s].region)
        };
      }
  picked = jc_resumption_pick_holders (
      candidates, count, world_region (entry->region), stream, holders);
  for (unsigned int i = 0; i < picked; i++)
    holders[i] = states[holders[i]];
  return picked;
}

/* A state instance gets starts.  */
static void
on_starts (struct world *world, const struct world_event *event)
{
  const struct rpc_stream_claim *row = event->data;
  const struct jc_stream_start start
      = { .stream = row->start.stream,
          .software = row->start.software,
          .endpoint_tag = row->endpoint_tag,
          .started_ms = world->now_ms - (int64_t)row->start.age_ms,
          .certain = row->endpoint_tag == 0 };

  if (states_answers (world, event->state))
    jc_stream_starts_record (world->states[event->state].starts, &start);
}

/* Send START from ENTRY to STATE, in a message of its own.  */
static void
send_start (struct world *world, struct world_entry *entry, unsigned int state,
            const struct jc_stream_start *start)
{
  struct rpc_packet packet = { .body.type = RPC_STREAM_STARTS };
  struct rpc_stream_starts *starts = &packet.body.rpc_body_u.stream_starts;
  struct rpc_stream_claim *row = world_alloc (world, sizeof *row);

  *row = jc_stream_start_to_rpc (start, world->now_ms);
  if (start->certain && !start->conflict)
    {
      starts->list.list_val = &row->start;
      starts->list.list_len = 1;
    }
  else if (start->endpoint_tag != 0)
    {
      starts->claims.claims_val = row;
      starts->claims.claims_len = 1;
    }
  else
    return;
  entries_count_bytes (entry, &packet);
  world->result->start_bytes += world_packet_bytes (&packet);
  world->result->start_rows++;
  world_after (
      world, world_delay_ms (entry->region, world->states[state].region),
      (struct world_event){ .run = on_starts, .state = state, .data = row });
}

/* An entry instance sends the starts that it recorded since the last time to
   their holders.  */
void
searches_on_send (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  unsigned int holders[JC_RESUMPTION_HOLDERS_MAX];

  if (!entries_is_current (world, event))
    return;
  for (guint i = 0; i < entry->unsent->len; i++)
    {
      const struct jc_stream_start *start = jc_stream_starts_find (
          entry->starts, g_array_index (entry->unsent, uint64_t, i),
          world->now_ms);
      unsigned int count
          = start != NULL ? list_holders (world, entry, start->stream, holders)
                          : 0;

      for (unsigned int h = 0; h < count; h++)
        send_start (world, entry, holders[h], start);
    }
  g_array_set_size (entry->unsent, 0);
}

/* Starts to send again to a state instance.  */
struct resend
{
  struct world *world;
  struct world_entry *entry;
  unsigned int state;
};

static void
resend_start (void *ctx, const struct jc_stream_start *start)
{
  const struct resend *resend = ctx;
  unsigned int holders[JC_RESUMPTION_HOLDERS_MAX];
  unsigned int count
      = list_holders (resend->world, resend->entry, start->stream, holders);

  for (unsigned int h = 0; h < count; h++)
    if (holders[h] == resend->state)
      send_start (resend->world, resend->entry, resend->state, start);
}

/* ENTRY's connection to STATE came up.  */
void
searches_conn_up (struct world *world, unsigned int entry, unsigned int state)
{
  struct world_entry *up = &world->entries[entry];
  struct resend resend = { .world = world, .entry = up, .state = state };

  if (!up->up || !states_answers (world, state))
    return;
  up->conns[state] = true;
  jc_stream_starts_foreach (up->starts, resend_start, &resend);
  states_greet (world, state, entry);
}

/* Let the search for STREAM's version be made again later, if ANSWERS has no
   answer or one that an endpoint's next report may make certain, and there is
   time.  */
static bool
search_again (struct world *world, struct stream *stream,
              const struct jc_resumption *answers)
{
  if (answers->software != 0 || world->now_ms - stream->search_ms >= SEARCH_MS
      || (answers->answered > 0 && !answers->uncertain))
    return false;
  stream->search_again_ms = world->now_ms + SEARCH_INTERVAL_MS;
  g_ptr_array_add (world->entries[stream->entry].unsearched, stream);
  return true;
}

/* Tell the exchange of SEARCH the outcome if there is one.  */
static void
search_proceed (struct world *world, struct stream *stream,
                struct world_search *search)
{
  uint64_t software;
  enum jc_resumption_outcome outcome
      = jc_resumption_outcome (&search->answers, &software);

  if (search->told || outcome == JC_RESUMPTION_WAIT)
    return;
  search->told = true;
  if (stream->attempt != search->attempt
      || search_again (world, stream, &search->answers))
    return;
  stream->software = software;
  stream->outcome = outcome;
  stream->search_ended = true;
  entries_attempt (world, stream);
}

/* Return whether the endpoint of CLAIM has reported to ENTRY since the start.
 */
static bool
confirms_claim (const struct world *world, const struct world_entry *entry,
                const struct rpc_stream_claim *claim)
{
  const struct jc_endpoint *endpoint
      = jc_endpoints_find_by_tag (entry->endpoints, claim->endpoint_tag);

  return endpoint != NULL
         && jc_resumption_is_confirmed (endpoint->reported_ms,
                                        world->now_ms
                                            - (int64_t)claim->start.age_ms);
}

/* Look for the version of STREAM among the starts that its entry instance
   recorded itself.  Return whether it is there.  */
bool
searches_find_own (struct world *world, struct stream *stream)
{
  struct world_entry *entry = &world->entries[stream->entry];
  const struct jc_stream_start *start
      = jc_stream_starts_find (entry->starts, stream->hash, world->now_ms);
  struct rpc_stream_claim claim;

  if (start == NULL || start->conflict)
    return false;
  claim = jc_stream_start_to_rpc (start, world->now_ms);
  if (!start->certain && !confirms_claim (world, entry, &claim))
    return false;
  stream->software = start->software;
  stream->search_ended = true;
  return true;
}

/* A state instance has answered a search, or has not in time.  */
static void
on_found (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  struct world_search *search = event->data;
  const struct rpc_stream_found *found = event->reply;
  struct rpc_packet packet = { .body.type = RPC_STREAM_FOUND };

  if (!entries_is_current (world, event))
    return;
  if (found != NULL)
    {
      packet.body.rpc_body_u.stream_found = *found;
      entries_count_bytes (entry, &packet);
    }
  jc_resumption_note_start (
      &search->answers, found,
      found != NULL
          && (found->certain || confirms_claim (world, entry, &found->claim)));
  search_proceed (world, event->stream, search);
}

/* Return what STATE answers to a search for STREAM.  */
static struct rpc_stream_found *
find_start (struct world *world, const struct world_state *state,
            uint64_t stream)
{
  const struct jc_stream_start *start
      = jc_stream_starts_find (state->starts, stream, world->now_ms);
  struct rpc_stream_found *found = world_alloc (world, sizeof *found);
  const struct jc_endpoint *endpoint;

  if (start == NULL)
    return found;
  endpoint = jc_endpoints_find_by_tag (state->endpoints, start->endpoint_tag);
  found->known = true;
  found->certain = start->certain
                   || (endpoint != NULL
                       && jc_resumption_is_confirmed (endpoint->reported_ms,
                                                      start->started_ms));
  found->claim = jc_stream_start_to_rpc (start, world->now_ms);
  return found;
}

/* Let RUN get REPLY after DELAY_MS, or nothing at the time-out.  EVENT is the
   question's arrival, ASKED_MS ago.  */
static void
answer (struct world *world, const struct world_event *event,
        void (*run) (struct world *world, const struct world_event *event),
        void *reply, int64_t delay_ms, int64_t asked_ms)
{
  struct world_event answered = *event;

  answered.run = run;
  answered.reply = reply;
  world_after (world,
               reply != NULL ? delay_ms : WORLD_ANSWER_TIMEOUT_MS - asked_ms,
               answered);
}

/* A search arrives at a state instance.  */
static void
on_find (struct world *world, const struct world_event *event)
{
  const struct world_state *state = &world->states[event->state];
  int64_t delay_ms
      = world_delay_ms (world->entries[event->entry].region, state->region);
  void *reply = NULL;

  if (states_answers (world, event->state))
    reply = find_start (world, state, event->stream->hash);
  answer (world, event, on_found, reply, delay_ms, delay_ms);
}

/* The log's leader has answered, or no answer has come in time.  */
static void
on_read_end (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  struct world_search *search = event->data;

  if (!entries_is_current (world, event))
    return;
  if (event->reply != NULL)
    {
      struct world_event table = *event;

      table.data = event->reply;
      reports_on_versions (world, &table);
    }
  jc_resumption_note_versions (
      &search->answers, event->reply != NULL,
      jc_versions_only (entry->versions, WORLD_SERVICE));
  search_proceed (world, event->stream, search);
}

static int64_t
leader_delay_ms (const struct world *world, unsigned int state)
{
  return world_delay_ms (world->states[state].region,
                         world->states[world->leader].region);
}

/* The leader has confirmed that it leads.  */
static void
on_read_confirmed (struct world *world, const struct world_event *event)
{
  int64_t delay_ms = leader_delay_ms (world, event->state);
  int64_t hop_ms = world_delay_ms (world->entries[event->entry].region,
                                   world->states[event->state].region);
  void *reply
      = states_has_leader (world) ? states_table (world, world->log) : NULL;

  answer (world, event, on_read_end, reply, delay_ms + hop_ms,
          delay_ms + COMMIT_MS + hop_ms);
}

/* A read of the log arrives at a state instance.  */
static void
on_read (struct world *world, const struct world_event *event)
{
  int64_t hop_ms = world_delay_ms (world->entries[event->entry].region,
                                   world->states[event->state].region);
  struct world_event confirmed = *event;

  confirmed.run = on_read_confirmed;
  if (states_answers (world, event->state) && states_has_leader (world))
    world_after (world, leader_delay_ms (world, event->state) + COMMIT_MS,
                 confirmed);
  else
    answer (world, event, on_read_end, NULL, 0, hop_ms);
}

/* Return the state instance that ENTRY takes orders from, or STATES_MAX.  */
static unsigned int
orders_source (const struct world *world, const struct world_entry *entry)
{
  unsigned int source = VERSIONSIM_STATES_MAX;

  for (unsigned int s = 0; s < world->plan->states; s++)
    if (entry->conns[s]
        && (source == VERSIONSIM_STATES_MAX
            || (world->states[s].region == entry->region
                && world->states[source].region != entry->region)))
      source = s;
  return source;
}

/* Send STATE a question of SEARCH, which arrives in RUN.  */
static void
ask (struct world *world, struct stream *stream, struct world_search *search,
     unsigned int state,
     void (*run) (struct world *world, const struct world_event *event))
{
  struct world_entry *entry = &world->entries[stream->entry];
  struct rpc_packet packet = { .body.type = RPC_STREAM_FIND };

  search->answers.pending++;
  entries_count_bytes (entry, &packet);
  world_after (world,
               world_delay_ms (entry->region, world->states[state].region),
               (struct world_event){ .run = run,
                                     .entry = stream->entry,
                                     .state = state,
                                     .epoch = entry->epoch,
                                     .stream = stream,
                                     .data = search });
}

/* Add to SEARCH what the entry instance recorded itself of STREAM, whose
   version isn't certain there.  */
static void
note_own_start (struct world *world, const struct stream *stream,
                struct world_search *search)
{
  const struct jc_stream_start *start = jc_stream_starts_find (
      world->entries[stream->entry].starts, stream->hash, world->now_ms);

  if (start == NULL)
    return;
  search->answers.uncertain = true;
  search->answers.conflict = start->conflict;
}

/* Start to look for the version that began STREAM.  */
void
searches_start (struct world *world, struct stream *stream)
{
  struct world_entry *entry = &world->entries[stream->entry];
  struct world_search *search = world_alloc (world, sizeof *search);
  unsigned int holders[JC_RESUMPTION_HOLDERS_MAX];
  unsigned int count = list_holders (world, entry, stream->hash, holders);
  unsigned int source = orders_source (world, entry);

  search->attempt = stream->attempt;
  note_own_start (world, stream, search);
  if (stream->search_ms == 0)
    stream->search_ms = world->now_ms;
  for (unsigned int i = 0; i < count; i++)
    ask (world, stream, search, holders[i], on_find);
  if (source < VERSIONSIM_STATES_MAX
      && !jc_versions_has_several (entry->versions, WORLD_SERVICE))
    ask (world, stream, search, source, on_read);
  if (search->answers.pending == 0)
    search_proceed (world, stream, search);
}
