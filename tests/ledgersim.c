/* A ledger, its copies, owners and a service on virtual time.  */

#include <string.h>

#include "tests/fakedisk.h"
#include "tests/ledgersim.h"

enum
{
  HOP_MS = 1,
  SERVICE_MS = 20,
  COMMIT_MS = 10,
  RESTART_MS = 300,
  SILENT_MS = 2000,
  FREEZE_MS = 4000,
  FREEZE_LONG_MS = 14000,
  CUT_MS = 5000,
  LATE_MS = 6000,
  TICK_MS = 400,
  REQUEST_MS = 3000,
  WAIT_MS = 2500
};

static const char *const names[SIM_NODES]
    = { "s1", "e1", "e2", "e3", "log", "service" };

struct node
{
  uint64_t incarnation;
  bool up;
  int64_t frozen_until;
  int64_t cut_until;
  bool linked;
  int64_t unlink_at;
  struct jc_copies *copies;
};

/* Something that happens: a message, or with FN a change of a node.  */
struct event
{
  int64_t at;
  uint64_t order;
  int from;
  int to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  guint request;
  bool whole;
  bool sent;
  GBytes *body;
  void (*fn) (struct sim *sim, int node);
};

struct sim
{
  int64_t now;
  uint64_t orders;
  uint64_t incarnations;
  guint steps;
  const struct sim_strike *strikes;
  guint strike_count;
  guint struck;
  GSequence *events;
  struct node nodes[SIM_NODES];
  struct jc_disk *disk;
  struct jc_ledger *ledger;
  GPtrArray *requests;
  GPtrArray *log;
  GHashTable *runs;
  int64_t tick_at;
};

/* The call of a claim or result: whom its reply goes to.  */
struct simcall
{
  int node;
  uint64_t incarnation;
  guint request;
};

static gint
event_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

static void
event_free (gpointer data)
{
  struct event *event = data;

  if (event->body != NULL)
    g_bytes_unref (event->body);
  g_free (event);
}

static void
event_add (struct sim *sim, struct event *event, int64_t after)
{
  event->at = sim->now + after;
  event->order = ++sim->orders;
  g_sequence_insert_sorted (sim->events, event, event_order, NULL);
}

static struct event *
event_new (const struct sim *sim, int from, int to, guint request)
{
  struct event *event = g_new0 (struct event, 1);

  event->from = from;
  event->to = to;
  event->from_incarnation = sim->nodes[from].incarnation;
  event->to_incarnation = sim->nodes[to].incarnation;
  event->request = request;
  return event;
}

static void
post (struct sim *sim, int from, int to, const struct rpc_body *body,
      guint request)
{
  struct event *event = event_new (sim, from, to, request);
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_rpc_body, (void *)body);
  char *data = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, data, size, XDR_ENCODE);
  g_assert_true (xdr_rpc_body (&xdr, (struct rpc_body *)body));
  event->body = g_bytes_new_take (data, size);
  event_add (sim, event, to == SIM_LOG ? COMMIT_MS : HOP_MS);
}

static void
after (struct sim *sim, int node, void (*fn) (struct sim *, int), int64_t ms)
{
  struct event *event = event_new (sim, node, node, 0);

  event->fn = fn;
  event_add (sim, event, ms);
}

/* The ledger's effects.  */

static void
ledger_claim_reply (void *ctx, void *call, const struct rpc_claim_reply *reply)
{
  struct simcall *to = call;
  struct rpc_body body = { .type = RPC_CLAIM_REPLY };

  body.rpc_body_u.claim_reply = *reply;
  post (ctx, SIM_LEDGER, to->node, &body, to->request);
  g_free (to);
}

static void
ledger_result_reply (void *ctx, void *call, enum jc_status status)
{
  struct simcall *to = call;
  struct rpc_body body = { .type = RPC_RESULT_REPLY };

  body.rpc_body_u.result_reply.status = (int)status;
  post (ctx, SIM_LEDGER, to->node, &body, to->request);
  g_free (to);
}

static void
ledger_drop (void *ctx, void *call)
{
  (void)ctx;
  g_free (call);
}

/* Return the node called NAME.  */
int
sim_node (const char *name)
{
  for (int i = 0; i < SIM_NODES; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

static void
ledger_copy (void *ctx, const char *member,
             const struct rpc_ledger_copy *message)
{
  struct rpc_body body = { .type = RPC_LEDGER_COPY };

  body.rpc_body_u.ledger_copy = *message;
  post (ctx, SIM_LEDGER, sim_node (member), &body, 0);
}

static void
ledger_propose (void *ctx, const struct rpc_ledger_set *set)
{
  struct sim *sim = ctx;
  struct event *event = event_new (sim, SIM_LEDGER, SIM_LOG, 0);

  event->body = jc_copyset_encode (set);
  event_add (sim, event, COMMIT_MS);
}

static const struct jc_ledger_ops ledger_ops
    = { .send_claim_reply = ledger_claim_reply,
        .send_result_reply = ledger_result_reply,
        .drop_call = ledger_drop,
        .send_copy = ledger_copy,
        .propose_set = ledger_propose };

static void
apply (struct sim *sim, GBytes *entry)
{
  struct rpc_ledger_set set;
  gsize len;
  const char *data = g_bytes_get_data (entry, &len);

  g_assert_true (
      jc_copyset_decode ((struct jc_str){ .data = data, .len = len }, &set));
  jc_ledger_apply_set (sim->ledger, &set);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

/* The owners' effects.  */

static bool
request_lives (const struct sim_request *request)
{
  const struct node *node = &request->sim->nodes[request->node];

  return node->up && node->incarnation == request->incarnation
         && request->owner.step != JC_OWNER_ENDED;
}

static void
owner_claim (void *ctx)
{
  struct sim_request *request = ctx;
  struct rpc_body body = { .type = RPC_CLAIM };
  struct rpc_claim *claim = &body.rpc_body_u.claim;

  claim->product = "p";
  claim->route = "r";
  claim->key = request->key;
  claim->claim_id = request->claim_id;
  claim->wait_ms = 1000;
  claim->digest.rpc_bytes_val = request->answer;
  claim->digest.rpc_bytes_len = (u_int)strlen (request->answer);
  post (request->sim, request->node, SIM_LEDGER, &body, request->number);
}

static enum jc_status
owner_dispatch (void *ctx, uint64_t fence)
{
  struct sim_request *request = ctx;
  struct event *event
      = event_new (request->sim, request->node, SIM_SERVICE, request->number);

  (void)fence;
  event_add (request->sim, event, HOP_MS);
  return JC_OK;
}

static void
owner_result (void *ctx, enum jc_run_state outcome, uint64_t fence)
{
  struct sim_request *request = ctx;
  struct rpc_body body = { .type = RPC_RESULT };
  struct rpc_result *result = &body.rpc_body_u.result;
  char answer[32];

  g_snprintf (answer, sizeof answer, "%s ran for %u", request->key,
              request->number);
  result->product = "p";
  result->route = "r";
  result->key = request->key;
  result->claim_id = request->claim_id;
  result->fence = fence;
  result->outcome = (int)outcome;
  result->http_status = 200;
  result->content_type = "text/plain";
  if (outcome == JC_RUN)
    {
      result->answer.rpc_bytes_val = answer;
      result->answer.rpc_bytes_len = (u_int)strlen (answer);
    }
  post (request->sim, request->node, SIM_LEDGER, &body, request->number);
}

static void
tell (struct sim_request *request, enum jc_status status, char *answer)
{
  g_assert_false (request->told);
  request->told = true;
  request->status = status;
  g_free (request->answer);
  request->answer = answer;
}

static void
owner_answer (void *ctx)
{
  struct sim_request *request = ctx;

  tell (request, JC_OK,
        g_strdup_printf ("%s ran for %u", request->key, request->number));
}

static void
owner_answer_recorded (void *ctx, const struct rpc_claim_reply *reply)
{
  tell (ctx, JC_OK,
        g_strndup (reply->answer.rpc_bytes_val, reply->answer.rpc_bytes_len));
}

static void
owner_fail (void *ctx, enum jc_status status)
{
  tell (ctx, status, g_strdup (""));
}

static void
owner_ended (void *ctx)
{
  (void)ctx;
}

static const struct jc_owner_ops owner_ops
    = { .send_claim = owner_claim,
        .dispatch = owner_dispatch,
        .send_result = owner_result,
        .answer = owner_answer,
        .answer_from_record = owner_answer_recorded,
        .fail = owner_fail,
        .ended = owner_ended };

/* Send a caller's request with KEY to the entry instance NODE, if it is
   up.  */
struct sim_request *
sim_ask (struct sim *sim, int node, const char *key, const char *body)
{
  struct sim_request *request = g_new0 (struct sim_request, 1);

  request->sim = sim;
  request->number = sim->requests->len;
  request->node = node;
  request->incarnation = sim->nodes[node].incarnation;
  request->key = g_strdup (key);
  request->answer = g_strdup (body);
  request->claim_id
      = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%u", names[node],
                         request->incarnation, request->number);
  request->owner.ops = &owner_ops;
  request->owner.ctx = request;
  request->owner.deadline_ms = sim->now + REQUEST_MS;
  request->owner.wait_until_ms = sim->now + WAIT_MS;
  g_ptr_array_add (sim->requests, request);
  if (sim->nodes[node].up && sim->nodes[node].frozen_until <= sim->now)
    jc_owner_start (&request->owner, sim->now);
  else
    request->owner.step = JC_OWNER_ENDED;
  return request;
}

/* The service's side: the run counts when the request arrives.  */

static void
service_reply (struct sim *sim, const struct event *event, bool whole,
               bool sent)
{
  struct event *reply
      = event_new (sim, SIM_SERVICE, event->from, event->request);

  reply->to_incarnation = event->from_incarnation;
  reply->whole = whole;
  reply->sent = sent;
  event_add (sim, reply, whole ? SERVICE_MS : HOP_MS);
}

static void
service_run (struct sim *sim, const struct event *event)
{
  struct sim_request *request
      = g_ptr_array_index (sim->requests, event->request);
  guint runs;

  runs = GPOINTER_TO_UINT (g_hash_table_lookup (sim->runs, request->key));
  g_hash_table_insert (sim->runs, request->key, GUINT_TO_POINTER (runs + 1));
  request->runs++;
  service_reply (sim, event, true, true);
}

/* Connections between the ledger and the entry instances.  */

static void
link_up (struct sim *sim, int node)
{
  struct node *peer = &sim->nodes[node];

  if (peer->linked || !peer->up || sim->ledger == NULL
      || peer->frozen_until > sim->now || peer->cut_until > sim->now
      || sim->nodes[SIM_LEDGER].frozen_until > sim->now)
    return;
  peer->linked = true;
  peer->unlink_at = 0;
  jc_ledger_peer_up (sim->ledger, names[node], peer->incarnation, true,
                     sim->now);
}

static void
link_down (struct sim *sim, int node)
{
  struct node *peer = &sim->nodes[node];

  peer->linked = false;
  peer->unlink_at = 0;
  if (sim->ledger != NULL)
    jc_ledger_peer_down (sim->ledger, names[node], peer->incarnation, sim->now);
}

static void
links_check (struct sim *sim)
{
  for (int i = SIM_E1; i <= SIM_E3; i++)
    {
      struct node *peer = &sim->nodes[i];
      bool silent = peer->frozen_until > sim->now || peer->cut_until > sim->now;

      if (!silent)
        peer->unlink_at = 0;
      else if (peer->unlink_at == 0)
        peer->unlink_at = sim->now + SILENT_MS;
      if (peer->linked && silent && sim->now >= peer->unlink_at)
        link_down (sim, i);
      link_up (sim, i);
    }
}

static void
node_start (struct sim *sim, int node)
{
  struct node *it = &sim->nodes[node];
  enum jc_status status;
  struct jc_ledger_options options = jc_ledger_defaults;

  if (it->up)
    return;
  it->up = true;
  it->incarnation = ++sim->incarnations;
  it->frozen_until = 0;
  if (node >= SIM_E1 && node <= SIM_E3)
    it->copies = jc_copies_new ();
  if (node != SIM_LEDGER)
    return;
  options.home = "home";
  options.name = "s1";
  options.incarnation = it->incarnation * 1000;
  sim->ledger = jc_ledger_open (sim->disk, &options, &ledger_ops, sim, sim->now,
                                &status);
  if (sim->ledger == NULL)
    {
      it->up = false;
      fakedisk_crash (sim->disk, 0);
      after (sim, node, node_start, RESTART_MS);
      return;
    }
  for (guint i = 0; i < sim->log->len; i++)
    apply (sim, g_ptr_array_index (sim->log, i));
}

static void
node_kill (struct sim *sim, int node)
{
  struct node *it = &sim->nodes[node];

  if (!it->up)
    return;
  it->up = false;
  if (node == SIM_LEDGER)
    {
      jc_ledger_free (sim->ledger);
      sim->ledger = NULL;
      fakedisk_crash (sim->disk, 0);
      for (int i = SIM_E1; i <= SIM_E3; i++)
        sim->nodes[i].linked = false;
    }
  else if (node <= SIM_E3)
    {
      link_down (sim, node);
      jc_copies_free (it->copies);
      it->copies = NULL;
    }
  after (sim, node, node_start, RESTART_MS);
}

/* Let FAULT strike NODE now.  */
void
sim_strike (struct sim *sim, enum sim_fault fault, int node)
{
  struct node *it = &sim->nodes[node];

  if (fault == SIM_KILL || fault == SIM_WIPE)
    node_kill (sim, node);
  if (fault == SIM_WIPE)
    fakedisk_wipe (sim->disk);
  if (fault == SIM_FREEZE)
    it->frozen_until = sim->now + FREEZE_MS;
  if (fault == SIM_FREEZE_LONG)
    it->frozen_until = sim->now + FREEZE_LONG_MS;
  if (fault == SIM_CUT)
    it->cut_until = sim->now + CUT_MS;
  if (fault == SIM_DISK)
    fakedisk_fail_after (sim->disk, 0);
}

static void
deliver_service (struct sim *sim, struct event *event)
{
  struct sim_request *request
      = g_ptr_array_index (sim->requests, event->request);

  if (event->to == SIM_SERVICE && sim->nodes[SIM_SERVICE].up)
    service_run (sim, event);
  else if (event->to == SIM_SERVICE)
    service_reply (sim, event, false, false);
  else if (request_lives (request))
    {
      const struct node *service = &sim->nodes[SIM_SERVICE];
      bool died
          = !service->up || event->from_incarnation != service->incarnation;

      jc_owner_run_ended (&request->owner, event->whole && !died, event->sent,
                          JC_NO_ENDPOINT, sim->now);
    }
}

static void
deliver_ledger (struct sim *sim, const struct event *event,
                const struct rpc_body *body)
{
  struct simcall *call;

  if (body->type == RPC_LEDGER_COPY_REPLY)
    {
      jc_ledger_handle_copy_reply (sim->ledger, names[event->from],
                                   event->from_incarnation,
                                   &body->rpc_body_u.ledger_copy_reply);
      return;
    }
  call = g_new0 (struct simcall, 1);
  call->node = event->from;
  call->incarnation = event->from_incarnation;
  call->request = event->request;
  if (body->type == RPC_CLAIM)
    jc_ledger_handle_claim (sim->ledger, &body->rpc_body_u.claim, call,
                            sim->now);
  else
    jc_ledger_handle_result (sim->ledger, &body->rpc_body_u.result, call);
  jc_ledger_flush (sim->ledger);
}

static void
deliver_entry (struct sim *sim, const struct event *event,
               const struct rpc_body *body)
{
  struct rpc_body answer = { .type = RPC_LEDGER_COPY_REPLY };
  struct sim_request *request;

  if (body->type == RPC_LEDGER_COPY)
    {
      jc_copies_handle_message (sim->nodes[event->to].copies,
                                &body->rpc_body_u.ledger_copy,
                                &answer.rpc_body_u.ledger_copy_reply);
      post (sim, event->to, SIM_LEDGER, &answer, 0);
      return;
    }
  request = g_ptr_array_index (sim->requests, event->request);
  if (!request_lives (request))
    return;
  if (body->type == RPC_CLAIM_REPLY)
    jc_owner_handle_claim_reply (&request->owner, &body->rpc_body_u.claim_reply,
                                 sim->now);
  else
    jc_owner_handle_result_reply (
        &request->owner, (enum jc_status)body->rpc_body_u.result_reply.status);
}

static void
deliver_log (struct sim *sim, struct event *event)
{
  g_ptr_array_add (sim->log, g_bytes_ref (event->body));
  if (sim->ledger != NULL)
    apply (sim, event->body);
}

static void
deliver_body (struct sim *sim, const struct event *event)
{
  struct rpc_body body = { 0 };
  gsize len;
  const char *data = g_bytes_get_data (event->body, &len);
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  g_assert_true (xdr_rpc_body (&xdr, &body));
  xdr_destroy (&xdr);
  if (event->to == SIM_LEDGER)
    deliver_ledger (sim, event, &body);
  else
    deliver_entry (sim, event, &body);
  xdr_free ((xdrproc_t)xdr_rpc_body, (char *)&body);
}

static bool
is_service (const struct event *event)
{
  return event->from == SIM_SERVICE || event->to == SIM_SERVICE;
}

/* Tell whether the message of EVENT still has a connection to go by.  */
static bool
event_arrives (const struct sim *sim, const struct event *event)
{
  const struct node *from = &sim->nodes[event->from];
  const struct node *to = &sim->nodes[event->to];
  bool cut = from->cut_until > sim->now || to->cut_until > sim->now;

  if (event->to == SIM_SERVICE || event->to == SIM_LOG)
    return !cut;
  if (is_service (event))
    return to->up && to->incarnation == event->to_incarnation;
  return !cut && to->up && to->incarnation == event->to_incarnation
         && from->incarnation == event->from_incarnation;
}

static void
deliver (struct sim *sim, struct event *event)
{
  const struct node *to = &sim->nodes[event->to];

  if (event->fn != NULL)
    event->fn (sim, event->to);
  else if (event_arrives (sim, event) && to->frozen_until > sim->now)
    {
      event_add (sim, event, to->frozen_until - sim->now);
      return;
    }
  else if (event_arrives (sim, event) && event->to == SIM_LOG)
    deliver_log (sim, event);
  else if (event_arrives (sim, event) && is_service (event))
    deliver_service (sim, event);
  else if (event_arrives (sim, event))
    deliver_body (sim, event);
  else if (event->to == SIM_SERVICE)
    service_reply (sim, event, false, false);
  event_free (event);
}

static struct event *
event_copy (const struct event *event)
{
  struct event *copy = g_memdup2 (event, sizeof *event);

  if (copy->body != NULL)
    g_bytes_ref (copy->body);
  return copy;
}

/* Let the faults due at this step strike, EVENT among them.  Return whether
   it is still delivered now.  */
static bool
strike_at (struct sim *sim, struct event *event)
{
  guint step = sim->steps++;

  while (sim->struck < sim->strike_count
         && sim->strikes[sim->struck].step == step)
    {
      const struct sim_strike *strike = &sim->strikes[sim->struck++];
      enum sim_fault fault = strike->fault;

      sim_strike (sim, fault, strike->node);
      if (fault == SIM_DUPLICATE && !is_service (event))
        event_add (sim, event_copy (event), 3 * HOP_MS);
      if (fault == SIM_DUPLICATE_LATE && !is_service (event))
        event_add (sim, event_copy (event), LATE_MS);
      if (fault == SIM_DELAY || fault == SIM_REORDER)
        {
          event_add (sim, event, fault == SIM_DELAY ? LATE_MS : 3 * HOP_MS);
          return false;
        }
    }
  return true;
}

static void
tick (struct sim *sim)
{
  links_check (sim);
  if (sim->ledger != NULL && sim->nodes[SIM_LEDGER].frozen_until <= sim->now)
    jc_ledger_tick (sim->ledger, sim->now, sim->now);
  if (sim->ledger != NULL && jc_ledger_state (sim->ledger) == JC_LEDGER_FAILED)
    node_kill (sim, SIM_LEDGER);
  for (guint i = 0; i < sim->requests->len; i++)
    {
      struct sim_request *request = g_ptr_array_index (sim->requests, i);

      if (request_lives (request)
          && sim->nodes[request->node].frozen_until <= sim->now)
        jc_owner_tick (&request->owner, sim->now);
    }
}

/* Go on until UNTIL_MS.  */
void
sim_run (struct sim *sim, int64_t until_ms)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      struct event *event
          = g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
      int64_t next
          = event != NULL ? MIN (event->at, sim->tick_at) : sim->tick_at;

      if (next > until_ms)
        break;
      sim->now = next;
      if (event == NULL || event->at > sim->tick_at)
        {
          sim->tick_at += TICK_MS;
          tick (sim);
          continue;
        }
      g_sequence_remove (first);
      if (event->fn != NULL || strike_at (sim, event))
        deliver (sim, event);
    }
  sim->now = until_ms;
}

static void
request_free (gpointer data)
{
  struct sim_request *request = data;

  g_free (request->key);
  g_free (request->claim_id);
  g_free (request->answer);
  g_free (request);
}

/* Return a started simulation in which STRIKES, ordered by step, strike.  */
struct sim *
sim_new (const struct sim_strike *strikes, guint count)
{
  struct sim *sim = g_new0 (struct sim, 1);

  sim->strikes = strikes;
  sim->strike_count = count;
  sim->events = g_sequence_new (NULL);
  sim->disk = fakedisk_new ();
  sim->requests = g_ptr_array_new_with_free_func (request_free);
  sim->log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim->runs = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < SIM_NODES; i++)
    node_start (sim, i);
  return sim;
}

static void
event_drop (gpointer event, gpointer ctx)
{
  (void)ctx;
  event_free (event);
}

/* Free SIM.  */
void
sim_free (struct sim *sim)
{
  g_sequence_foreach (sim->events, event_drop, NULL);
  g_sequence_free (sim->events);
  jc_ledger_free (sim->ledger);
  for (int i = 0; i < SIM_NODES; i++)
    jc_copies_free (sim->nodes[i].copies);
  sim->disk->klass->free (sim->disk);
  g_ptr_array_free (sim->requests, TRUE);
  g_ptr_array_free (sim->log, TRUE);
  g_hash_table_destroy (sim->runs);
  g_free (sim);
}

/* Return the virtual time in ms.  */
int64_t
sim_now (const struct sim *sim)
{
  return sim->now;
}

/* Return how many messages were due to be delivered so far.  */
guint
sim_steps (const struct sim *sim)
{
  return sim->steps;
}

/* Return the ledger, or NULL while it is down.  */
struct jc_ledger *
sim_ledger (const struct sim *sim)
{
  return sim->ledger;
}

/* Return the first thing that must hold and does not, or NULL.  */
const char *
sim_check (const struct sim *sim)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      const struct sim_request *it = g_ptr_array_index (sim->requests, i);
      guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (sim->runs, it->key));
      guint of;

      if (runs > 1)
        return "a key ran twice";
      if (it->told && it->runs > 0
          && jc_status_info (it->status)->run == JC_NOT_RUN)
        return "a request said not to have run ran";
      if (!it->told || it->status != JC_OK)
        continue;
      of = (guint)g_ascii_strtoull (it->answer + strlen (it->key) + 9, NULL,
                                    10);
      if (of >= sim->requests->len
          || ((const struct sim_request *)g_ptr_array_index (sim->requests, of))
                     ->runs
                 != 1)
        return "a caller got an answer that no endpoint gave";
    }
  return NULL;
}
