/* What operators ask of the log and of the configuration's history.  */

#include <stdlib.h>
#include <string.h>

#include "state/call.h"
#include "state/state.h"

enum
{
  HISTORY_MAX = 100,
  ADMIN_FORWARD_MS = 4000,
  RETRY_AFTER_MS = 500
};

static void
answer_json (struct call *call, enum jc_status status, json_t *said)
{
  struct rpc_packet answer = { .body.type = RPC_ADMIN_REPLY };
  struct rpc_admin_reply *reply = &answer.body.rpc_body_u.admin_reply;
  char *text = json_dumps (said, JSON_COMPACT);

  reply->status = (int)status;
  reply->json.rpc_bytes_val = text;
  reply->json.rpc_bytes_len = (u_int)strlen (text);
  call_answer (call, &answer);
  free (text);
  json_decref (said);
}

static void
run_replicas (struct state *state, const json_t *asked, struct call *call)
{
  json_t *said = json_object ();

  (void)asked;
  log_status_to_json (state, said);
  answer_json (call, JC_OK, said);
}

static json_t *
change_row (const struct jc_change *change)
{
  json_t *paths = json_array ();
  const char *path;
  json_t *value;

  json_object_foreach (change->objects, path, value)
      json_array_append_new (paths, json_string (path));
  return json_pack ("{s:I,s:s,s:s,s:o}", "version", (json_int_t)change->version,
                    "change_id", change->change_id, "author", change->author,
                    "objects", paths);
}

static void
run_history (struct state *state, const json_t *asked, struct call *call)
{
  json_t *list = json_array ();
  const GList *at = state->confstate->recent_changes.tail;

  (void)asked;
  for (; at != NULL && json_array_size (list) < HISTORY_MAX; at = at->prev)
    json_array_append_new (list, change_row (at->data));
  answer_json (call, JC_OK, json_pack ("{s:o}", "changes", list));
}

static void
run_diff (struct state *state, const json_t *asked, struct call *call)
{
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (asked, "version"));
  const struct jc_change *change
      = jc_confstate_find_change (state->confstate, version);
  json_t *said = json_object ();

  json_object_set_new (said, "version", json_integer ((json_int_t)version));
  if (change != NULL)
    json_object_set (said, "objects", change->objects);
  answer_json (call, change != NULL ? JC_OK : JC_NOT_FOUND, said);
}

static void
on_changed (void *ctx, enum jc_status status)
{
  struct call *call = ctx;

  if (status == JC_OK)
    answer_json (call, status, json_object ());
  else
    {
      jc_fail (status, "The replicas are not changed: %s.",
               jc_status_name (status));
      call_fail (call, status, RETRY_AFTER_MS);
    }
}

static void
run_add (struct state *state, const json_t *asked, struct call *call)
{
  const char *name = json_string_value (json_object_get (asked, "name"));

  if (name == NULL || name[0] == '\0')
    on_changed (call, JC_BAD_REQUEST);
  else
    log_put_replica (state, name,
                     !json_is_false (json_object_get (asked, "voting")),
                     on_changed, call);
}

static void
run_remove (struct state *state, const json_t *asked, struct call *call)
{
  const char *name = json_string_value (json_object_get (asked, "name"));

  if (name == NULL)
    on_changed (call, JC_BAD_REQUEST);
  else
    log_remove_replica (state, name, on_changed, call);
}

/* One request of operators.  Those of the leader are forwarded to it.  */
struct admin_verb
{
  const char *name;
  bool leader;
  void (*run) (struct state *state, const json_t *asked, struct call *call);
};

static const struct admin_verb verbs[]
    = { { "replicas.list", false, run_replicas },
        { "replicas.add", true, run_add },
        { "replicas.remove", true, run_remove },
        { "config.history", false, run_history },
        { "config.diff", false, run_diff } };

static const struct admin_verb *
verb_by_name (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, name) == 0)
      return &verbs[i];
  return NULL;
}

static void
on_forwarded (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct rpc_packet answer = { .body.type = RPC_ADMIN_REPLY };

  if (status == JC_OK && reply->body.type == RPC_ADMIN_REPLY)
    {
      answer.body = reply->body;
      call_answer (ctx, &answer);
    }
  else
    call_fail (ctx, status == JC_OK ? JC_INTERNAL : status, RETRY_AFTER_MS);
}

static void
forward (struct state *state, const struct rpc_admin *admin, struct call *call)
{
  struct rpc_packet packet = { .body.type = RPC_ADMIN };

  packet.body.rpc_body_u.admin = *admin;
  if (jc_rpc_call (log_leader_conn (state), &packet, ADMIN_FORWARD_MS,
                   on_forwarded, call)
      != 0)
    return;
  jc_fail (JC_NOT_LEADER, "No leader is known here; send it again.");
  call_fail (call, JC_NOT_LEADER, RETRY_AFTER_MS);
}

/* Answer an operator's request.  Return whether it was one of these.  */
bool
admin_handle (struct state *state, struct jc_rpc_conn *conn,
              const struct rpc_packet *packet)
{
  const struct rpc_admin *admin = &packet->body.rpc_body_u.admin;
  const struct admin_verb *verb = verb_by_name (admin->verb);
  bool forwarded = strcmp (jc_rpc_conn_role (conn), "state") == 0;
  struct call *call;
  json_t *asked;

  if (verb == NULL)
    return false;
  call = call_defer (state->deferred_calls, conn, packet);
  if (verb->leader && !log_is_leader (state) && !forwarded)
    {
      forward (state, admin, call);
      return true;
    }
  asked = json_loadb (admin->json.rpc_bytes_val, admin->json.rpc_bytes_len, 0,
                      NULL);
  verb->run (state, asked, call);
  json_decref (asked);
  return true;
}
