/* Simulation of entry instances and an endpoint that names a limit.  */

#include <glib.h>
#include <string.h>

#include "serve/backpressure.h"
#include "tests/limitsim.h"

#define ENDPOINT "limited"

enum
{
  REPLICAS = 5,
  STEP_MS = 5,
  STEPS = LIMITSIM_RUN_MS / STEP_MS,
  /* An instance must keep to the limit this long after it has heard it.  */
  HEARD_MS = 500,
  WINDOW_MS = 4000,
  WINDOW_SLACK = 5,
  /* Instances hear within this time that the endpoint has started again.  */
  ENDPOINT_NEWS_MS = 500,
  MS_PER_S = 1000
};

/* What a window may have of the limit.  */
static const double window_excess = 1.5;

/* An entry instance.  Its clock runs from CLOCK_START_MS.  HEARD_MS is when its
   process first got an answer with a limit, 0 if it has not.  It does nothing
   until BUSY_UNTIL_MS, when it is suspended, and reaches no replica until
   CUT_UNTIL_MS.  What replicas send it is lost until DEAF_UNTIL_MS.  It takes
   the endpoint for the incarnation ENDPOINT_INCARNATION.  */
struct instance
{
  char name[16];
  uint64_t incarnation;
  struct jc_backpressure *backpressure;
  int64_t clock_start_ms;
  int64_t heard_ms;
  int64_t busy_until_ms;
  int64_t cut_until_ms;
  int64_t deaf_until_ms;
  uint64_t endpoint_incarnation;
};

/* A replica has applied APPLIED entries of the log; it stands still until
   FROZEN_UNTIL_MS.  */
struct replica
{
  struct jc_limit_slots *slots;
  guint applied;
  int64_t frozen_until_ms;
};

/* What happens at DUE_MS: an answer, the news that the endpoint has started
   again, a request for slots at a replica, an entry of the log, or a reply with
   leases and ended limits.  */
enum event_kind
{
  EVENT_ANSWER,
  EVENT_ENDPOINT_NEWS,
  EVENT_REQUEST,
  EVENT_COMMIT,
  EVENT_REPLY
};

struct event
{
  enum event_kind kind;
  int64_t due_ms;
  unsigned int instance;
  uint64_t incarnation;
  unsigned int replica;
  uint64_t endpoint_incarnation;
  uint64_t send_number;
  double limit_per_s;
  GString *data;
  struct rpc_limit_lease lease;
  bool lease_given;
  GArray *limited;
  int64_t requested_ms;
};

/* SENT counts the requests that the endpoint got in each step, COUNTED those of
   instances that had heard the limit before.  ENDPOINT_STARTED_MS is when its
   incarnation of each step started.  */
struct limitsim
{
  struct limitsim_plan plan;
  GRand *rand;
  int64_t now_ms;
  struct instance instances[LIMITSIM_INSTANCES_MAX];
  struct replica replicas[REPLICAS];
  GPtrArray *log;
  GPtrArray *events;
  uint64_t endpoint_incarnation;
  int64_t endpoint_started_ms[STEPS];
  unsigned short counted[STEPS];
  unsigned short sent[STEPS];
};

static void
event_free (gpointer data)
{
  struct event *event = data;

  if (event->data != NULL)
    g_string_free (event->data, TRUE);
  if (event->limited != NULL)
    g_array_free (event->limited, TRUE);
  g_free (event);
}

static struct event *
schedule (struct limitsim *sim, enum event_kind kind, int64_t min_ms,
          int64_t max_ms)
{
  struct event *event = g_new0 (struct event, 1);

  event->kind = kind;
  event->due_ms
      = sim->now_ms
        + g_rand_int_range (sim->rand, (gint32)min_ms, (gint32)max_ms + 1);
  g_ptr_array_add (sim->events, event);
  return event;
}

/* Return the limit that the endpoint names at MS, negative if none.  */
static double
limit_at (const struct limitsim_plan *plan, int64_t ms)
{
  if (ms < LIMITSIM_NAMED_MS)
    return -1;
  return plan->change_ms > 0 && ms >= plan->change_ms ? plan->later_per_s
                                                      : plan->per_s;
}

static int64_t
clock_of (const struct limitsim *sim, const struct instance *instance)
{
  return sim->now_ms + instance->clock_start_ms;
}

static void
instance_start (struct limitsim *sim, unsigned int index)
{
  struct instance *instance = &sim->instances[index];

  jc_backpressure_free (instance->backpressure);
  g_snprintf (instance->name, sizeof instance->name, "e%u", index);
  instance->incarnation++;
  instance->backpressure = jc_backpressure_new ();
  instance->clock_start_ms = g_rand_int_range (sim->rand, 1000, 1000000);
  instance->heard_ms = 0;
  instance->endpoint_incarnation = sim->endpoint_incarnation;
}

static void
handle_answer (struct limitsim *sim, const struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];
  const struct jc_backpressure_answer answer
      = { .endpoint = ENDPOINT,
          .incarnation = event->endpoint_incarnation,
          .limit_per_s = event->limit_per_s,
          .send_number = event->send_number,
          .now_ms = clock_of (sim, instance) };

  if (event->incarnation != instance->incarnation
      || event->endpoint_incarnation != instance->endpoint_incarnation)
    return;
  if (event->limit_per_s >= 0 && instance->heard_ms == 0)
    instance->heard_ms = sim->now_ms;
  jc_backpressure_note_answer (instance->backpressure, &answer);
}

/* A replica gets a request for slots: it proposes changes, and replies where a
   limit has ended.  */
static void
handle_request (struct limitsim *sim, const struct event *event)
{
  struct replica *replica = &sim->replicas[event->replica];
  const struct instance *instance = &sim->instances[event->instance];
  const struct jc_limit_holder holder
      = { .instance = instance->name, .incarnation = event->incarnation };
  struct rpc_limit_request request
      = { .requested_ms = (uint64_t)event->requested_ms };
  GArray *changes
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));
  GArray *ended = g_array_new (FALSE, FALSE, sizeof (struct rpc_limited));

  request.limited.limited_val = (struct rpc_limited *)event->limited->data;
  request.limited.limited_len = event->limited->len;
  jc_limit_slots_plan (replica->slots, &holder, &request, sim->now_ms, changes,
                       ended);
  if (changes->len > 0)
    schedule (sim, EVENT_COMMIT, 5, 300)->data
        = jc_limit_changes_encode (changes);
  if (ended->len > 0)
    {
      struct event *reply = schedule (sim, EVENT_REPLY, 1, 90);

      reply->instance = event->instance;
      reply->incarnation = event->incarnation;
      reply->endpoint_incarnation
          = g_array_index (ended, struct rpc_limited, 0).endpoint_incarnation;
    }
  g_array_free (changes, TRUE);
  g_array_free (ended, TRUE);
}

/* The instance hears that the endpoint has started again.  */
static void
handle_endpoint_news (struct limitsim *sim, const struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];

  if (instance->endpoint_incarnation >= event->endpoint_incarnation)
    return;
  instance->endpoint_incarnation = event->endpoint_incarnation;
  instance->heard_ms = 0;
}

static void
handle_reply (struct limitsim *sim, const struct event *event)
{
  struct instance *instance = &sim->instances[event->instance];

  if (event->incarnation != instance->incarnation)
    return;
  if (event->lease_given)
    jc_backpressure_note_lease (instance->backpressure, &event->lease,
                                clock_of (sim, instance));
  else
    jc_backpressure_note_end (instance->backpressure, ENDPOINT,
                              event->endpoint_incarnation);
}

/* Reply to the instance that CHANGE leases a slot to.  */
static void
reply_lease (struct limitsim *sim, const struct rpc_limit_change *change)
{
  struct event *reply = schedule (sim, EVENT_REPLY, 1, 90);

  reply->instance
      = (unsigned int)g_ascii_strtoull (change->instance + 1, NULL, 10);
  reply->incarnation = change->instance_incarnation;
  reply->lease_given = true;
  reply->lease
      = (struct rpc_limit_lease){ .endpoint = (char *)ENDPOINT,
                                  .endpoint_incarnation
                                  = change->endpoint_incarnation,
                                  .slot = change->slot,
                                  .requested_ms = change->requested_ms };
}

static void
replica_apply (struct limitsim *sim, struct replica *replica)
{
  while (replica->applied < sim->log->len)
    {
      const GString *data = g_ptr_array_index (sim->log, replica->applied++);
      struct rpc_limit_changes changes;

      g_assert_true (
          jc_limit_changes_decode (jc_str_from_gstring (data), &changes));
      for (u_int i = 0; i < changes.list.list_len; i++)
        if (jc_limit_slots_apply (replica->slots, &changes.list.list_val[i],
                                  sim->now_ms)
            && changes.list.list_val[i].op == RPC_LIMIT_LEASE)
          reply_lease (sim, &changes.list.list_val[i]);
      xdr_free ((xdrproc_t)xdr_rpc_limit_changes, (char *)&changes);
    }
}

/* Handle EVENT.  Return false if its receiver is suspended, so that it is
   handled later.  */
static bool
handle_event (struct limitsim *sim, struct event *event)
{
  bool to_instance
      = event->kind != EVENT_REQUEST && event->kind != EVENT_COMMIT;

  if (to_instance
      && sim->instances[event->instance].busy_until_ms > sim->now_ms)
    return false;
  if (event->kind == EVENT_REQUEST
      && sim->replicas[event->replica].frozen_until_ms > sim->now_ms)
    return false;
  if (event->kind == EVENT_REPLY
      && sim->instances[event->instance].cut_until_ms > sim->now_ms)
    return false;
  if (event->kind == EVENT_REPLY
      && sim->instances[event->instance].deaf_until_ms > sim->now_ms)
    return true;
  if (event->kind == EVENT_ANSWER)
    handle_answer (sim, event);
  else if (event->kind == EVENT_ENDPOINT_NEWS)
    handle_endpoint_news (sim, event);
  else if (event->kind == EVENT_REQUEST)
    handle_request (sim, event);
  else if (event->kind == EVENT_REPLY)
    handle_reply (sim, event);
  else
    {
      g_ptr_array_add (sim->log, event->data);
      event->data = NULL;
    }
  return true;
}

static void
handle_events (struct limitsim *sim)
{
  for (guint i = 0; i < sim->events->len;)
    {
      struct event *event = g_ptr_array_index (sim->events, i);

      if (event->due_ms > sim->now_ms || !handle_event (sim, event))
        i++;
      else
        g_ptr_array_remove_index_fast (sim->events, i);
    }
  for (unsigned int i = 0; i < REPLICAS; i++)
    if (sim->replicas[i].frozen_until_ms <= sim->now_ms)
      replica_apply (sim, &sim->replicas[i]);
}

static void
request_slots (struct limitsim *sim, unsigned int index)
{
  struct instance *instance = &sim->instances[index];
  GArray *limited = g_array_new (FALSE, FALSE, sizeof (struct rpc_limited));
  struct event *event;

  if (instance->cut_until_ms > sim->now_ms
      || !jc_backpressure_next_request (instance->backpressure,
                                        clock_of (sim, instance), limited))
    {
      g_array_free (limited, TRUE);
      return;
    }
  for (guint i = 0; i < limited->len; i++)
    g_array_index (limited, struct rpc_limited, i).endpoint = (char *)ENDPOINT;
  event = schedule (sim, EVENT_REQUEST, 1, 90);
  event->instance = index;
  event->incarnation = instance->incarnation;
  event->replica = (unsigned int)g_rand_int_range (sim->rand, 0, REPLICAS);
  event->limited = limited;
  event->requested_ms = clock_of (sim, instance);
}

/* A caller's request comes to a random instance, which sends it to the limited
   endpoint if it may.  An endpoint that has started again meanwhile turns it
   away as one that is meant for another.  */
static void
offer_request (struct limitsim *sim)
{
  unsigned int index = (unsigned int)g_rand_int_range (
      sim->rand, 0, (gint32)sim->plan.instances);
  struct instance *instance = &sim->instances[index];
  uint64_t incarnation = instance->endpoint_incarnation;
  int64_t clock = clock_of (sim, instance);
  guint step = (guint)(sim->now_ms / STEP_MS);
  struct event *answer;

  if (instance->busy_until_ms > sim->now_ms
      || incarnation != sim->endpoint_incarnation
      || !jc_backpressure_may_send (instance->backpressure, ENDPOINT,
                                    incarnation, clock))
    return;
  sim->sent[step]++;
  if (instance->heard_ms > 0 && sim->now_ms >= instance->heard_ms + HEARD_MS)
    sim->counted[step]++;
  answer = schedule (sim, EVENT_ANSWER, 10, sim->plan.answer_ms_max);
  answer->instance = index;
  answer->incarnation = instance->incarnation;
  answer->endpoint_incarnation = incarnation;
  answer->send_number = jc_backpressure_note_send (
      instance->backpressure, ENDPOINT, incarnation, clock);
  answer->limit_per_s = limit_at (&sim->plan, answer->due_ms - STEP_MS);
}

static gint32
random_below (struct limitsim *sim, unsigned int count)
{
  return g_rand_int_range (sim->rand, 0, (gint32)count);
}

/* A new replica, which has the log from a snapshot of another one, takes the
   place of REPLICA.  */
static void
replace_replica (struct limitsim *sim, struct replica *replica)
{
  const struct replica *other = &sim->replicas[random_below (sim, REPLICAS)];
  json_t *snapshot = json_object ();

  jc_limit_slots_snapshot (other->slots, snapshot);
  g_assert_cmpint (
      jc_limit_slots_restore (replica->slots, snapshot, sim->now_ms), ==,
      JC_OK);
  replica->applied = other->applied;
  replica->frozen_until_ms = 0;
  json_decref (snapshot);
}

static void
restart_endpoint (struct limitsim *sim)
{
  sim->endpoint_incarnation++;
  for (unsigned int i = 0; i < sim->plan.instances; i++)
    {
      struct event *news
          = schedule (sim, EVENT_ENDPOINT_NEWS, 0, ENDPOINT_NEWS_MS);

      news->instance = i;
      news->endpoint_incarnation = sim->endpoint_incarnation;
    }
}

/* Return whether what happens every INTERVAL_MS, 0 for never, happens now.  */
static bool
is_due (const struct limitsim *sim, int64_t interval_ms)
{
  return interval_ms > 0 && sim->now_ms > 0 && sim->now_ms % interval_ms == 0;
}

/* Start faults at random: each kind is under way about half of the time.  */
static void
inject_faults (struct limitsim *sim)
{
  const struct limitsim_plan *plan = &sim->plan;

  if (plan->replica_freeze_ms > 0
      && random_below (sim, (unsigned int)plan->replica_freeze_ms / 2)
             < STEP_MS)
    sim->replicas[random_below (sim, REPLICAS)].frozen_until_ms
        = sim->now_ms + plan->replica_freeze_ms;
  if (plan->cut_ms > 0
      && random_below (sim, (unsigned int)plan->cut_ms / 4) < STEP_MS)
    sim->instances[random_below (sim, plan->instances)].cut_until_ms
        = sim->now_ms + plan->cut_ms;
  if (plan->one_way_cut_ms > 0
      && random_below (sim, (unsigned int)plan->one_way_cut_ms / 4) < STEP_MS)
    sim->instances[random_below (sim, plan->instances)].deaf_until_ms
        = sim->now_ms + plan->one_way_cut_ms;
  if (is_due (sim, plan->replace_ms))
    replace_replica (sim, &sim->replicas[random_below (sim, REPLICAS)]);
  if (is_due (sim, plan->endpoint_restart_ms))
    restart_endpoint (sim);
  if (plan->suspend_ms > 0
      && random_below (sim, (unsigned int)plan->suspend_ms / 4) < STEP_MS)
    sim->instances[random_below (sim, plan->instances)].busy_until_ms
        = sim->now_ms + plan->suspend_ms;
  if (plan->restart_ms > 0
      && random_below (sim, (unsigned int)plan->restart_ms)
             < STEP_MS * (gint32)plan->instances)
    instance_start (sim, (unsigned int)random_below (sim, plan->instances));
}

static void
cleanup_rows (struct limitsim *sim)
{
  GArray *changes
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_limit_change));

  jc_limit_slots_plan_cleanup (sim->replicas[0].slots, sim->now_ms, changes);
  if (changes->len > 0)
    schedule (sim, EVENT_COMMIT, 5, 300)->data
        = jc_limit_changes_encode (changes);
  g_array_free (changes, TRUE);
}

static struct limitsim *
limitsim_new (const struct limitsim_plan *plan, uint32_t seed)
{
  struct limitsim *sim = g_new0 (struct limitsim, 1);

  sim->plan = *plan;
  sim->rand = g_rand_new_with_seed (seed);
  sim->endpoint_incarnation = 1;
  sim->log = g_ptr_array_new ();
  sim->events = g_ptr_array_new_with_free_func (event_free);
  for (unsigned int i = 0; i < plan->instances; i++)
    instance_start (sim, i);
  for (unsigned int i = 0; i < REPLICAS; i++)
    sim->replicas[i].slots = jc_limit_slots_new ();
  return sim;
}

/* Free SIM, a result of limitsim_run.  */
void
limitsim_free (struct limitsim *sim)
{
  for (guint i = 0; i < sim->log->len; i++)
    g_string_free (g_ptr_array_index (sim->log, i), TRUE);
  g_ptr_array_free (sim->log, TRUE);
  g_ptr_array_free (sim->events, TRUE);
  for (unsigned int i = 0; i < sim->plan.instances; i++)
    jc_backpressure_free (sim->instances[i].backpressure);
  for (unsigned int i = 0; i < REPLICAS; i++)
    jc_limit_slots_free (sim->replicas[i].slots);
  g_rand_free (sim->rand);
  g_free (sim);
}

/* Play faults and what is due, and record which incarnation of the endpoint the
   step belongs to.  */
static void
run_step (struct limitsim *sim)
{
  int64_t step = sim->now_ms / STEP_MS;
  uint64_t incarnation = sim->endpoint_incarnation;

  inject_faults (sim);
  if (incarnation != sim->endpoint_incarnation)
    sim->endpoint_started_ms[step] = sim->now_ms;
  else if (step > 0)
    sim->endpoint_started_ms[step] = sim->endpoint_started_ms[step - 1];
  handle_events (sim);
}

/* Play PLAN with the random numbers of SEED.  */
struct limitsim *
limitsim_run (const struct limitsim_plan *plan, uint32_t seed)
{
  struct limitsim *sim = limitsim_new (plan, seed);
  int64_t due_ms = 0;

  for (sim->now_ms = 0; sim->now_ms < LIMITSIM_RUN_MS; sim->now_ms += STEP_MS)
    {
      run_step (sim);
      for (; due_ms <= sim->now_ms * plan->requests_per_s; due_ms += MS_PER_S)
        offer_request (sim);
      for (unsigned int i = 0; i < plan->instances; i++)
        if (sim->instances[i].busy_until_ms <= sim->now_ms)
          request_slots (sim, i);
      if (sim->now_ms % MS_PER_S == 0)
        cleanup_rows (sim);
    }
  return sim;
}

/* Return when the endpoint that gets requests in STEP first named its limit. */
static int64_t
first_named_ms (const struct limitsim *sim, int64_t step)
{
  return MAX (sim->endpoint_started_ms[step], LIMITSIM_NAMED_MS);
}

/* Return the most by which a window is over its bound, negative if none is.  A
   window counts if it ends after the contact time of the endpoint's
   incarnation.  */
double
limitsim_max_excess (const struct limitsim *sim)
{
  double worst = -1e9;
  double sum = 0;
  double allowed = 0;

  for (int64_t step = 0; step < STEPS; step++)
    {
      int64_t end_ms = (step + 1) * STEP_MS;
      int64_t gone = step - WINDOW_MS / STEP_MS;
      double limit = limit_at (&sim->plan, step * STEP_MS);

      sum += sim->counted[step];
      allowed += MAX (limit, 0) * STEP_MS / MS_PER_S;
      if (gone >= 0)
        {
          sum -= sim->counted[gone];
          allowed -= MAX (limit_at (&sim->plan, gone * STEP_MS), 0) * STEP_MS
                     / MS_PER_S;
        }
      if (limit >= 0
          && end_ms >= first_named_ms (sim, step) + LIMITSIM_CONTACT_MS)
        worst = MAX (worst, sum - window_excess * allowed - WINDOW_SLACK);
    }
  return worst;
}

/* Return the requests per second that the endpoint got from FROM_MS to
   TO_MS.  */
double
limitsim_sent_per_s (const struct limitsim *sim, int64_t from_ms, int64_t to_ms)
{
  double sum = 0;

  for (int64_t step = from_ms / STEP_MS; step < to_ms / STEP_MS; step++)
    sum += sim->sent[step];
  return sum * MS_PER_S / (double)(to_ms - from_ms);
}
