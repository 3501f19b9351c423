/* Commands of operators on the replicas of the log and on the history of the
   configuration.  */

#include <stdlib.h>
#include <string.h>

#include "state/call.h"
#include "state/state.h"

enum
{
  HISTORY_MAX = 100,
  FORWARD_TIMEOUT_MS = 4000,
  RETRY_AFTER_MS = 500
};

static void
answer_json (struct call *call, enum jc_status status, json_t *object)
{
  struct rpc_packet answer = { .body.type = RPC_ADMIN_REPLY };
  struct rpc_admin_reply *reply = &answer.body.rpc_body_u.admin_reply;
  char *text = json_dumps (object, JSON_COMPACT);

  reply->status = (int)status;
  reply->json.rpc_bytes_val = text;
  reply->json.rpc_bytes_len = (u_int)strlen (text);
  call_answer (call, &answer);
  free (text);
  json_decref (object);
}

static void
run_replicas_list (struct state *state, const json_t *arguments,
                   struct call *call)
{
  json_t *object = json_object ();

  (void)arguments;
  log_status_to_json (state, object);
  answer_json (call, JC_OK, object);
}

static json_t *
change_to_json (const struct jc_change *change)
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
run_config_history (struct state *state, const json_t *arguments,
                    struct call *call)
{
  json_t *list = json_array ();
  const GList *node = state->confstate->recent_changes.tail;

  (void)arguments;
  for (; node != NULL && json_array_size (list) < HISTORY_MAX;
       node = node->prev)
    json_array_append_new (list, change_to_json (node->data));
  answer_json (call, JC_OK, json_pack ("{s:o}", "changes", list));
}

static void
run_config_diff (struct state *state, const json_t *arguments,
                 struct call *call)
{
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (arguments, "version"));
  const struct jc_change *change
      = jc_confstate_find_change (state->confstate, version);
  json_t *object = json_object ();

  json_object_set_new (object, "version", json_integer ((json_int_t)version));
  if (change != NULL)
    json_object_set (object, "objects", change->objects);
  answer_json (call, change != NULL ? JC_OK : JC_NOT_FOUND, object);
}

static void
on_replicas_changed (void *ctx, enum jc_status status)
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
run_replicas_add (struct state *state, const json_t *arguments,
                  struct call *call)
{
  const char *name = json_string_value (json_object_get (arguments, "name"));

  if (name == NULL || name[0] == '\0')
    on_replicas_changed (call, JC_BAD_REQUEST);
  else
    log_put_replica (state, name,
                     !json_is_false (json_object_get (arguments, "voting")),
                     on_replicas_changed, call);
}

static void
run_replicas_remove (struct state *state, const json_t *arguments,
                     struct call *call)
{
  const char *name = json_string_value (json_object_get (arguments, "name"));

  if (name == NULL)
    on_replicas_changed (call, JC_BAD_REQUEST);
  else
    log_remove_replica (state, name, on_replicas_changed, call);
}

/* A command of operators.  One that needs the leader is forwarded to it.  */
struct admin_verb
{
  const char *name;
  bool needs_leader;
  void (*run) (struct state *state, const json_t *arguments, struct call *call);
};

static const struct admin_verb verbs[]
    = { { "replicas.list", false, run_replicas_list },
        { "replicas.add", true, run_replicas_add },
        { "replicas.remove", true, run_replicas_remove },
        { "config.history", false, run_config_history },
        { "config.diff", false, run_config_diff } };

static const struct admin_verb *
find_verb (const char *name)
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
  if (jc_rpc_call (log_leader_conn (state), &packet, FORWARD_TIMEOUT_MS,
                   on_forwarded, call)
      != 0)
    return;
  jc_fail (JC_NOT_LEADER, "No leader is known here; send it again.");
  call_fail (call, JC_NOT_LEADER, RETRY_AFTER_MS);
}

/* Run the command in PACKET and answer it.  Return false, without an answer, if
   it is none of the commands here.  */
bool
admin_handle (struct state *state, struct jc_rpc_conn *conn,
              const struct rpc_packet *packet)
{
  const struct rpc_admin *admin = &packet->body.rpc_body_u.admin;
  const struct admin_verb *verb = find_verb (admin->verb);
  bool forwarded = strcmp (jc_rpc_conn_role (conn), "state") == 0;
  struct call *call;
  json_t *arguments;

  if (verb == NULL)
    return false;
  call = call_defer (state->deferred_calls, conn, packet);
  if (verb->needs_leader && !log_is_leader (state) && !forwarded)
    {
      forward (state, admin, call);
      return true;
    }
  arguments = json_loadb (admin->json.rpc_bytes_val, admin->json.rpc_bytes_len,
                          0, NULL);
  verb->run (state, arguments, call);
  json_decref (arguments);
  return true;
}
