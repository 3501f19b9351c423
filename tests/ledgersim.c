/* Simulation of a ledger, its copies, the owners of requests and a service on
   virtual time.  The ledger runs on s1 and the owners and copies on the entry
   instances e1 to e3.  */

#include <string.h>

#include "tests/fakedisk.h"
#include "tests/ledgersim.h"

enum
{
  MESSAGE_DELAY_MS = 1,
  SERVICE_RUN_MS = 20,
  LOG_COMMIT_DELAY_MS = 10,
  RESTART_DELAY_MS = 300,
  DISCONNECT_AFTER_MS = 2000,
  FREEZE_MS = 4000,
  FREEZE_LONG_MS = 14000,
  CUT_MS = 5000,
  LATE_DELAY_MS = 6000,
  TICK_INTERVAL_MS = 400,
  REQUEST_TIMEOUT_MS = 3000,
  CLAIM_WAIT_MS = 2500
};

static const char *const node_names[LEDGERSIM_NODES]
    = { "s1", "e1", "e2", "e3", "log", "service" };

/* A node.  Messages to it wait until FROZEN_UNTIL_MS; messages from and to it
   are lost until CUT_UNTIL_MS.  CONNECTED and DISCONNECT_AT_MS are about its
   connection to the ledger.  */
struct node
{
  uint64_t incarnation;
  bool up;
  int64_t frozen_until_ms;
  int64_t cut_until_ms;
  bool connected;
  int64_t disconnect_at_ms;
  struct jc_copies *copies;
};

/* A queued event: a message, or with CALLBACK a change of node TO.  COMPLETE
   and SENT are the result that the service replies with.  */
struct event
{
  int64_t due_ms;
  uint64_t number;
  int from;
  int to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  guint request;
  bool complete;
  bool sent;
  GBytes *body;
  void (*callback) (struct ledgersim *sim, int node);
};

struct ledgersim
{
  int64_t now_ms;
  uint64_t last_event_number;
  uint64_t last_incarnation;
  guint steps;
  const struct ledgersim_fault *faults;
  guint fault_count;
  guint faults_injected;
  GSequence *events;
  struct node nodes[LEDGERSIM_NODES];
  struct jc_disk *disk;
  struct jc_ledger *ledger;
  GPtrArray *requests;
  GPtrArray *log_entries;
  GHashTable *runs;
  int64_t next_tick_ms;
};

/* The call argument of a claim or result: where the reply goes to.  */
struct call_origin
{
  int node;
  uint64_t incarnation;
  guint request;
};

static gint
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const struct event *x = a;
  const struct event *y = b;

  (void)data;
  if (x->due_ms != y->due_ms)
    return x->due_ms < y->due_ms ? -1 : 1;
  return x->number < y->number ? -1 : 1;
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
schedule_event (struct ledgersim *sim, struct event *event, int64_t delay_ms)
{
  event->due_ms = sim->now_ms + delay_ms;
  event->number = ++sim->last_event_number;
  g_sequence_insert_sorted (sim->events, event, compare_events, NULL);
}

static struct event *
event_new (const struct ledgersim *sim, int from, int to, guint request)
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
send_message (struct ledgersim *sim, int from, int to,
              const struct rpc_body *body, guint request)
{
  struct event *event = event_new (sim, from, to, request);
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_rpc_body, (void *)body);
  char *data = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, data, size, XDR_ENCODE);
  g_assert_true (xdr_rpc_body (&xdr, (struct rpc_body *)body));
  event->body = g_bytes_new_take (data, size);
  schedule_event (sim, event,
                  to == LEDGERSIM_LOG ? LOG_COMMIT_DELAY_MS : MESSAGE_DELAY_MS);
}

static void
schedule_callback (struct ledgersim *sim, int node,
                   void (*callback) (struct ledgersim *, int), int64_t delay_ms)
{
  struct event *event = event_new (sim, node, node, 0);

  event->callback = callback;
  schedule_event (sim, event, delay_ms);
}

/* Callbacks of the ledger.  */

static void
on_send_claim_reply (void *ctx, void *call, const struct rpc_claim_reply *reply)
{
  struct call_origin *to = call;
  struct rpc_body body = { .type = RPC_CLAIM_REPLY };

  body.rpc_body_u.claim_reply = *reply;
  send_message (ctx, LEDGERSIM_LEDGER, to->node, &body, to->request);
  g_free (to);
}

static void
on_send_result_reply (void *ctx, void *call, enum jc_status status)
{
  struct call_origin *to = call;
  struct rpc_body body = { .type = RPC_RESULT_REPLY };

  body.rpc_body_u.result_reply.status = (int)status;
  send_message (ctx, LEDGERSIM_LEDGER, to->node, &body, to->request);
  g_free (to);
}

static void
on_drop_call (void *ctx, void *call)
{
  (void)ctx;
  g_free (call);
}

/* Return the index of the node NAME.  */
int
ledgersim_find_node (const char *name)
{
  for (int i = 0; i < LEDGERSIM_NODES; i++)
    if (strcmp (node_names[i], name) == 0)
      return i;
  g_assert_not_reached ();
}

static void
on_send_copy (void *ctx, const char *member,
              const struct rpc_ledger_copy *message)
{
  struct rpc_body body = { .type = RPC_LEDGER_COPY };

  body.rpc_body_u.ledger_copy = *message;
  send_message (ctx, LEDGERSIM_LEDGER, ledgersim_find_node (member), &body, 0);
}

static void
on_propose_set (void *ctx, const struct rpc_ledger_set *set)
{
  struct ledgersim *sim = ctx;
  struct event *event = event_new (sim, LEDGERSIM_LEDGER, LEDGERSIM_LOG, 0);

  event->body = jc_copyset_encode (set);
  schedule_event (sim, event, LOG_COMMIT_DELAY_MS);
}

static const struct jc_ledger_ops ledger_ops
    = { .send_claim_reply = on_send_claim_reply,
        .send_result_reply = on_send_result_reply,
        .drop_call = on_drop_call,
        .send_copy = on_send_copy,
        .propose_set = on_propose_set };

static void
apply_log_entry (struct ledgersim *sim, GBytes *entry)
{
  struct rpc_ledger_set set;
  gsize len;
  const char *data = g_bytes_get_data (entry, &len);

  g_assert_true (
      jc_copyset_decode ((struct jc_str){ .data = data, .len = len }, &set));
  jc_ledger_apply_set (sim->ledger, &set);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

/* Callbacks of the owners.  */

static bool
is_request_active (const struct ledgersim_request *request)
{
  const struct node *node = &request->sim->nodes[request->node];

  return node->up && node->incarnation == request->incarnation
         && request->owner.step != JC_OWNER_ENDED;
}

static void
on_send_claim (void *ctx)
{
  struct ledgersim_request *request = ctx;
  struct rpc_body body = { .type = RPC_CLAIM };
  struct rpc_claim *claim = &body.rpc_body_u.claim;

  claim->product = "p";
  claim->route = "r";
  claim->key = request->key;
  claim->claim_id = request->claim_id;
  claim->wait_ms = 1000;
  claim->digest.rpc_bytes_val = request->answer;
  claim->digest.rpc_bytes_len = (u_int)strlen (request->answer);
  send_message (request->sim, request->node, LEDGERSIM_LEDGER, &body,
                request->number);
}

static enum jc_status
on_dispatch (void *ctx, uint64_t fence)
{
  struct ledgersim_request *request = ctx;
  struct event *event = event_new (request->sim, request->node,
                                   LEDGERSIM_SERVICE, request->number);

  (void)fence;
  schedule_event (request->sim, event, MESSAGE_DELAY_MS);
  return JC_OK;
}

static void
on_send_result (void *ctx, enum jc_run_state outcome, uint64_t fence)
{
  struct ledgersim_request *request = ctx;
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
  send_message (request->sim, request->node, LEDGERSIM_LEDGER, &body,
                request->number);
}

static void
finish_request (struct ledgersim_request *request, enum jc_status status,
                char *answer)
{
  g_assert_false (request->answered);
  request->answered = true;
  request->status = status;
  g_free (request->answer);
  request->answer = answer;
}

static void
on_answer (void *ctx)
{
  struct ledgersim_request *request = ctx;

  finish_request (
      request, JC_OK,
      g_strdup_printf ("%s ran for %u", request->key, request->number));
}

static void
on_answer_from_record (void *ctx, const struct rpc_claim_reply *reply)
{
  finish_request (
      ctx, JC_OK,
      g_strndup (reply->answer.rpc_bytes_val, reply->answer.rpc_bytes_len));
}

static void
on_fail (void *ctx, enum jc_status status)
{
  finish_request (ctx, status, g_strdup (""));
}

static void
on_ended (void *ctx)
{
  (void)ctx;
}

static const struct jc_owner_ops owner_ops
    = { .send_claim = on_send_claim,
        .dispatch = on_dispatch,
        .send_result = on_send_result,
        .answer = on_answer,
        .answer_from_record = on_answer_from_record,
        .fail = on_fail,
        .ended = on_ended };

/* Send a caller's request with KEY and BODY to the entry instance NODE.  The
   request is lost if NODE is down or frozen.  SIM owns it.  */
struct ledgersim_request *
ledgersim_send_request (struct ledgersim *sim, int node, const char *key,
                        const char *body)
{
  struct ledgersim_request *request = g_new0 (struct ledgersim_request, 1);

  request->sim = sim;
  request->number = sim->requests->len;
  request->node = node;
  request->incarnation = sim->nodes[node].incarnation;
  request->key = g_strdup (key);
  request->answer = g_strdup (body);
  request->claim_id
      = g_strdup_printf ("%s/%" G_GUINT64_FORMAT "/%u", node_names[node],
                         request->incarnation, request->number);
  request->owner.ops = &owner_ops;
  request->owner.ctx = request;
  request->owner.deadline_ms = sim->now_ms + REQUEST_TIMEOUT_MS;
  request->owner.wait_until_ms = sim->now_ms + CLAIM_WAIT_MS;
  g_ptr_array_add (sim->requests, request);
  if (sim->nodes[node].up && sim->nodes[node].frozen_until_ms <= sim->now_ms)
    jc_owner_start (&request->owner, sim->now_ms);
  else
    request->owner.step = JC_OWNER_ENDED;
  return request;
}

/* The service.  A request counts as run when it arrives.  */

static void
send_service_reply (struct ledgersim *sim, const struct event *event,
                    bool complete, bool sent)
{
  struct event *reply
      = event_new (sim, LEDGERSIM_SERVICE, event->from, event->request);

  reply->to_incarnation = event->from_incarnation;
  reply->complete = complete;
  reply->sent = sent;
  schedule_event (sim, reply, complete ? SERVICE_RUN_MS : MESSAGE_DELAY_MS);
}

static void
run_service (struct ledgersim *sim, const struct event *event)
{
  struct ledgersim_request *request
      = g_ptr_array_index (sim->requests, event->request);
  guint runs;

  runs = GPOINTER_TO_UINT (g_hash_table_lookup (sim->runs, request->key));
  g_hash_table_insert (sim->runs, request->key, GUINT_TO_POINTER (runs + 1));
  request->runs++;
  send_service_reply (sim, event, true, true);
}

/* Connections between the ledger and the entry instances.  */

static void
connect_node (struct ledgersim *sim, int node)
{
  struct node *peer = &sim->nodes[node];

  if (peer->connected || !peer->up || sim->ledger == NULL
      || peer->frozen_until_ms > sim->now_ms || peer->cut_until_ms > sim->now_ms
      || sim->nodes[LEDGERSIM_LEDGER].frozen_until_ms > sim->now_ms)
    return;
  peer->connected = true;
  peer->disconnect_at_ms = 0;
  jc_ledger_peer_up (sim->ledger, node_names[node], peer->incarnation, true,
                     sim->now_ms);
}

static void
disconnect_node (struct ledgersim *sim, int node)
{
  struct node *peer = &sim->nodes[node];

  peer->connected = false;
  peer->disconnect_at_ms = 0;
  if (sim->ledger != NULL)
    jc_ledger_peer_down (sim->ledger, node_names[node], peer->incarnation,
                         sim->now_ms);
}

static void
update_connections (struct ledgersim *sim)
{
  for (int i = LEDGERSIM_ENTRY1; i <= LEDGERSIM_ENTRY3; i++)
    {
      struct node *peer = &sim->nodes[i];
      bool silent = peer->frozen_until_ms > sim->now_ms
                    || peer->cut_until_ms > sim->now_ms;

      if (!silent)
        peer->disconnect_at_ms = 0;
      else if (peer->disconnect_at_ms == 0)
        peer->disconnect_at_ms = sim->now_ms + DISCONNECT_AFTER_MS;
      if (peer->connected && silent && sim->now_ms >= peer->disconnect_at_ms)
        disconnect_node (sim, i);
      connect_node (sim, i);
    }
}

static void
start_node (struct ledgersim *sim, int index)
{
  struct node *node = &sim->nodes[index];
  enum jc_status status;
  struct jc_ledger_options options = jc_ledger_defaults;

  if (node->up)
    return;
  node->up = true;
  node->incarnation = ++sim->last_incarnation;
  node->frozen_until_ms = 0;
  if (index >= LEDGERSIM_ENTRY1 && index <= LEDGERSIM_ENTRY3)
    node->copies = jc_copies_new ();
  if (index != LEDGERSIM_LEDGER)
    return;
  options.home = "home";
  options.name = "s1";
  options.incarnation = node->incarnation * 1000;
  sim->ledger = jc_ledger_open (sim->disk, &options, &ledger_ops, sim,
                                sim->now_ms, &status);
  if (sim->ledger == NULL)
    {
      node->up = false;
      fakedisk_crash (sim->disk, 0);
      schedule_callback (sim, index, start_node, RESTART_DELAY_MS);
      return;
    }
  for (guint i = 0; i < sim->log_entries->len; i++)
    apply_log_entry (sim, g_ptr_array_index (sim->log_entries, i));
}

static void
kill_node (struct ledgersim *sim, int index)
{
  struct node *node = &sim->nodes[index];

  if (!node->up)
    return;
  node->up = false;
  if (index == LEDGERSIM_LEDGER)
    {
      jc_ledger_free (sim->ledger);
      sim->ledger = NULL;
      fakedisk_crash (sim->disk, 0);
      for (int i = LEDGERSIM_ENTRY1; i <= LEDGERSIM_ENTRY3; i++)
        sim->nodes[i].connected = false;
    }
  else if (index <= LEDGERSIM_ENTRY3)
    {
      disconnect_node (sim, index);
      jc_copies_free (node->copies);
      node->copies = NULL;
    }
  schedule_callback (sim, index, start_node, RESTART_DELAY_MS);
}

/* Inject a fault of KIND into the node INDEX now.  Kinds that affect a message
   do nothing here.  */
void
ledgersim_inject_fault (struct ledgersim *sim, enum ledgersim_fault_kind kind,
                        int index)
{
  struct node *node = &sim->nodes[index];

  if (kind == LEDGERSIM_KILL || kind == LEDGERSIM_WIPE)
    kill_node (sim, index);
  if (kind == LEDGERSIM_WIPE)
    fakedisk_wipe (sim->disk);
  if (kind == LEDGERSIM_FREEZE)
    node->frozen_until_ms = sim->now_ms + FREEZE_MS;
  if (kind == LEDGERSIM_FREEZE_LONG)
    node->frozen_until_ms = sim->now_ms + FREEZE_LONG_MS;
  if (kind == LEDGERSIM_CUT)
    node->cut_until_ms = sim->now_ms + CUT_MS;
  if (kind == LEDGERSIM_DISK_FAIL)
    fakedisk_fail_after (sim->disk, 0);
}

static void
deliver_service (struct ledgersim *sim, struct event *event)
{
  struct ledgersim_request *request
      = g_ptr_array_index (sim->requests, event->request);

  if (event->to == LEDGERSIM_SERVICE && sim->nodes[LEDGERSIM_SERVICE].up)
    run_service (sim, event);
  else if (event->to == LEDGERSIM_SERVICE)
    send_service_reply (sim, event, false, false);
  else if (is_request_active (request))
    {
      const struct node *service = &sim->nodes[LEDGERSIM_SERVICE];
      bool died
          = !service->up || event->from_incarnation != service->incarnation;

      jc_owner_run_ended (&request->owner, event->complete && !died,
                          event->sent, JC_NO_ENDPOINT, sim->now_ms);
    }
}

static void
deliver_ledger (struct ledgersim *sim, const struct event *event,
                const struct rpc_body *body)
{
  struct call_origin *call;

  if (body->type == RPC_LEDGER_COPY_REPLY)
    {
      jc_ledger_handle_copy_reply (sim->ledger, node_names[event->from],
                                   event->from_incarnation,
                                   &body->rpc_body_u.ledger_copy_reply);
      return;
    }
  call = g_new0 (struct call_origin, 1);
  call->node = event->from;
  call->incarnation = event->from_incarnation;
  call->request = event->request;
  if (body->type == RPC_CLAIM)
    jc_ledger_handle_claim (sim->ledger, &body->rpc_body_u.claim, call,
                            sim->now_ms);
  else
    jc_ledger_handle_result (sim->ledger, &body->rpc_body_u.result, call);
  jc_ledger_flush (sim->ledger);
}

static void
deliver_entry (struct ledgersim *sim, const struct event *event,
               const struct rpc_body *body)
{
  struct rpc_body answer = { .type = RPC_LEDGER_COPY_REPLY };
  struct ledgersim_request *request;

  if (body->type == RPC_LEDGER_COPY)
    {
      jc_copies_handle_message (sim->nodes[event->to].copies,
                                &body->rpc_body_u.ledger_copy,
                                &answer.rpc_body_u.ledger_copy_reply);
      send_message (sim, event->to, LEDGERSIM_LEDGER, &answer, 0);
      return;
    }
  request = g_ptr_array_index (sim->requests, event->request);
  if (!is_request_active (request))
    return;
  if (body->type == RPC_CLAIM_REPLY)
    jc_owner_handle_claim_reply (&request->owner, &body->rpc_body_u.claim_reply,
                                 sim->now_ms);
  else
    jc_owner_handle_result_reply (
        &request->owner, (enum jc_status)body->rpc_body_u.result_reply.status);
}

static void
deliver_log (struct ledgersim *sim, struct event *event)
{
  g_ptr_array_add (sim->log_entries, g_bytes_ref (event->body));
  if (sim->ledger != NULL)
    apply_log_entry (sim, event->body);
}

static void
deliver_body (struct ledgersim *sim, const struct event *event)
{
  struct rpc_body body = { 0 };
  gsize len;
  const char *data = g_bytes_get_data (event->body, &len);
  XDR xdr;

  xdrmem_create (&xdr, (char *)data, (u_int)len, XDR_DECODE);
  g_assert_true (xdr_rpc_body (&xdr, &body));
  xdr_destroy (&xdr);
  if (event->to == LEDGERSIM_LEDGER)
    deliver_ledger (sim, event, &body);
  else
    deliver_entry (sim, event, &body);
  xdr_free ((xdrproc_t)xdr_rpc_body, (char *)&body);
}

static bool
is_service_event (const struct event *event)
{
  return event->from == LEDGERSIM_SERVICE || event->to == LEDGERSIM_SERVICE;
}

/* Return whether the message of EVENT can be delivered: both ends are in reach
   and the connection that it was sent over is still open.  */
static bool
is_deliverable (const struct ledgersim *sim, const struct event *event)
{
  const struct node *from = &sim->nodes[event->from];
  const struct node *to = &sim->nodes[event->to];
  bool cut = from->cut_until_ms > sim->now_ms || to->cut_until_ms > sim->now_ms;

  if (event->to == LEDGERSIM_SERVICE || event->to == LEDGERSIM_LOG)
    return !cut;
  if (is_service_event (event))
    return to->up && to->incarnation == event->to_incarnation;
  return !cut && to->up && to->incarnation == event->to_incarnation
         && from->incarnation == event->from_incarnation;
}

static void
deliver (struct ledgersim *sim, struct event *event)
{
  const struct node *to = &sim->nodes[event->to];

  if (event->callback != NULL)
    event->callback (sim, event->to);
  else if (is_deliverable (sim, event) && to->frozen_until_ms > sim->now_ms)
    {
      schedule_event (sim, event, to->frozen_until_ms - sim->now_ms);
      return;
    }
  else if (is_deliverable (sim, event) && event->to == LEDGERSIM_LOG)
    deliver_log (sim, event);
  else if (is_deliverable (sim, event) && is_service_event (event))
    deliver_service (sim, event);
  else if (is_deliverable (sim, event))
    deliver_body (sim, event);
  else if (event->to == LEDGERSIM_SERVICE)
    send_service_reply (sim, event, false, false);
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

/* Inject the faults of this step, including those of the message EVENT.  Return
   false if EVENT is delayed and must not be delivered now.  */
static bool
inject_due_faults (struct ledgersim *sim, struct event *event)
{
  guint step = sim->steps++;

  while (sim->faults_injected < sim->fault_count
         && sim->faults[sim->faults_injected].step == step)
    {
      const struct ledgersim_fault *fault
          = &sim->faults[sim->faults_injected++];
      enum ledgersim_fault_kind kind = fault->kind;

      ledgersim_inject_fault (sim, kind, fault->node);
      if (kind == LEDGERSIM_DUPLICATE && !is_service_event (event))
        schedule_event (sim, event_copy (event), 3 * MESSAGE_DELAY_MS);
      if (kind == LEDGERSIM_DUPLICATE_LATE && !is_service_event (event))
        schedule_event (sim, event_copy (event), LATE_DELAY_MS);
      if (kind == LEDGERSIM_DELAY || kind == LEDGERSIM_REORDER)
        {
          schedule_event (sim, event,
                          kind == LEDGERSIM_DELAY ? LATE_DELAY_MS
                                                  : 3 * MESSAGE_DELAY_MS);
          return false;
        }
    }
  return true;
}

static void
tick_all (struct ledgersim *sim)
{
  update_connections (sim);
  if (sim->ledger != NULL
      && sim->nodes[LEDGERSIM_LEDGER].frozen_until_ms <= sim->now_ms)
    jc_ledger_tick (sim->ledger, sim->now_ms, sim->now_ms);
  if (sim->ledger != NULL && jc_ledger_state (sim->ledger) == JC_LEDGER_FAILED)
    kill_node (sim, LEDGERSIM_LEDGER);
  for (guint i = 0; i < sim->requests->len; i++)
    {
      struct ledgersim_request *request = g_ptr_array_index (sim->requests, i);

      if (is_request_active (request)
          && sim->nodes[request->node].frozen_until_ms <= sim->now_ms)
        jc_owner_tick (&request->owner, sim->now_ms);
    }
}

/* Run the simulation until the virtual time UNTIL_MS.  */
void
ledgersim_run_until (struct ledgersim *sim, int64_t until_ms)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (sim->events);
      struct event *event
          = g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
      int64_t next = event != NULL ? MIN (event->due_ms, sim->next_tick_ms)
                                   : sim->next_tick_ms;

      if (next > until_ms)
        break;
      sim->now_ms = next;
      if (event == NULL || event->due_ms > sim->next_tick_ms)
        {
          sim->next_tick_ms += TICK_INTERVAL_MS;
          tick_all (sim);
          continue;
        }
      g_sequence_remove (first);
      if (event->callback != NULL || inject_due_faults (sim, event))
        deliver (sim, event);
    }
  sim->now_ms = until_ms;
}

static void
request_free (gpointer data)
{
  struct ledgersim_request *request = data;

  g_free (request->key);
  g_free (request->claim_id);
  g_free (request->answer);
  g_free (request);
}

/* Return a started simulation with COUNT FAULTS, which are ordered by step and
   must outlive it.  */
struct ledgersim *
ledgersim_new (const struct ledgersim_fault *faults, guint count)
{
  struct ledgersim *sim = g_new0 (struct ledgersim, 1);

  sim->faults = faults;
  sim->fault_count = count;
  sim->events = g_sequence_new (NULL);
  sim->disk = fakedisk_new ();
  sim->requests = g_ptr_array_new_with_free_func (request_free);
  sim->log_entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim->runs = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < LEDGERSIM_NODES; i++)
    start_node (sim, i);
  return sim;
}

static void
free_queued_event (gpointer event, gpointer ctx)
{
  (void)ctx;
  event_free (event);
}

void
ledgersim_free (struct ledgersim *sim)
{
  g_sequence_foreach (sim->events, free_queued_event, NULL);
  g_sequence_free (sim->events);
  jc_ledger_free (sim->ledger);
  for (int i = 0; i < LEDGERSIM_NODES; i++)
    jc_copies_free (sim->nodes[i].copies);
  sim->disk->klass->free (sim->disk);
  g_ptr_array_free (sim->requests, TRUE);
  g_ptr_array_free (sim->log_entries, TRUE);
  g_hash_table_destroy (sim->runs);
  g_free (sim);
}

/* Return the virtual time in ms.  */
int64_t
ledgersim_now_ms (const struct ledgersim *sim)
{
  return sim->now_ms;
}

/* Return how many messages came up for delivery so far; a delayed one counts
   each time.  */
guint
ledgersim_steps (const struct ledgersim *sim)
{
  return sim->steps;
}

/* Return the ledger, or NULL while it is down.  */
struct jc_ledger *
ledgersim_ledger (const struct ledgersim *sim)
{
  return sim->ledger;
}

/* Return a description of the first violation, or NULL: no key runs twice, no
   request runs that was answered as not run, and each answer is that of a
   run.  */
const char *
ledgersim_violation (const struct ledgersim *sim)
{
  for (guint i = 0; i < sim->requests->len; i++)
    {
      const struct ledgersim_request *request
          = g_ptr_array_index (sim->requests, i);
      guint runs
          = GPOINTER_TO_UINT (g_hash_table_lookup (sim->runs, request->key));
      guint run_number;

      if (runs > 1)
        return "a key ran twice";
      if (request->answered && request->runs > 0
          && jc_status_info (request->status)->run == JC_NOT_RUN)
        return "a request ran that was answered as not run";
      if (!request->answered || request->status != JC_OK)
        continue;
      run_number = (guint)g_ascii_strtoull (
          request->answer + strlen (request->key) + 9, NULL, 10);
      if (run_number >= sim->requests->len
          || ((const struct ledgersim_request *)g_ptr_array_index (
                  sim->requests, run_number))
                     ->runs
                 != 1)
        return "a caller got the answer of a run that did not take place";
    }
  return NULL;
}
