/* Commands of operators on the ledger.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "net/program.h"
#include "state/ledger.h"

#define LOG_COMPONENT "ledger"

enum
{
  LIST_MAX = 1000
};

static json_t *
key_to_json (const struct jc_key *key)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:b,s:I}", "product", key->product, "route",
      key->route, "key", key->key != NULL ? key->key : "", "state",
      jc_key_state_name (key->state), "claim", key->claim_id, "fence",
      (json_int_t)key->fence, "http", key->http_status, "answer_kept",
      key->answer != NULL, "changed_ms", (json_int_t)key->changed_ms);
}

/* A listing of keys.  STATE_FILTER and KEY_FILTER select keys by their state
   and name; NULL selects all.  FOUND counts the selected keys, also those
   beyond LIST_MAX, which KEYS omits.  */
struct listing
{
  const char *state_filter;
  const char *key_filter;
  json_t *keys;
  json_int_t found;
};

static void
add_key_to_listing (gpointer data, gpointer ctx)
{
  const struct jc_key *key = data;
  struct listing *listing = ctx;

  if (listing->state_filter != NULL
      && strcmp (jc_key_state_name (key->state), listing->state_filter) != 0)
    return;
  if (listing->key_filter != NULL
      && (key->key == NULL || strcmp (key->key, listing->key_filter) != 0))
    return;
  listing->found++;
  if (json_array_size (listing->keys) < LIST_MAX)
    json_array_append_new (listing->keys, key_to_json (key));
}

static enum jc_status
run_list (struct jc_ledger *ledger, const json_t *arguments, json_t *object)
{
  struct listing listing
      = { .state_filter
          = json_string_value (json_object_get (arguments, "state")),
          .key_filter = json_string_value (json_object_get (arguments, "key")),
          .keys = json_array () };

  jc_keytable_foreach (jc_ledger_keys (ledger), add_key_to_listing, &listing);
  json_object_set_new (object, "found", json_integer (listing.found));
  json_object_set_new (object, "keys", listing.keys);
  return JC_OK;
}

static enum jc_status
run_accept_loss (struct jc_ledger *ledger, const json_t *arguments,
                 json_t *object)
{
  enum jc_status status = jc_ledger_accept_loss (ledger, jc_now_ms ());

  (void)arguments;
  if (status == JC_OK)
    jc_warn (LOG_COMPONENT, "An operator accepted the loss of ledger records.");
  else
    json_object_set_new (object, "message", json_string (jc_last_message ()));
  return status;
}

/* A command of operators.  */
struct admin_verb
{
  const char *name;
  enum jc_status (*run) (struct jc_ledger *ledger, const json_t *arguments,
                         json_t *object);
};

static const struct admin_verb verbs[]
    = { { "ledger.list", run_list },
        { "ledger.accept-loss", run_accept_loss } };

static enum jc_status
run_verb (struct state *state, const struct rpc_admin *admin, json_t *object)
{
  struct jc_ledger *ledger = ledger_local (state);
  enum jc_status status = JC_NOT_FOUND;
  json_t *arguments;

  if (ledger == NULL)
    {
      json_object_set_new (
          object, "message",
          json_string ("This instance keeps no ledger; ask the first by name "
                       "of the home region."));
      return JC_NOT_FOUND;
    }
  arguments = json_loadb (admin->json.rpc_bytes_val, admin->json.rpc_bytes_len,
                          0, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, admin->verb) == 0)
      status = verbs[i].run (ledger, arguments, object);
  json_object_set_new (
      object, "state",
      json_string (jc_ledger_state_name (jc_ledger_state (ledger))));
  json_object_set_new (object, "copies",
                       json_integer (jc_ledger_count_members (ledger)));
  json_object_set_new (object, "copies_held",
                       json_integer (jc_ledger_count_synced_members (ledger)));
  json_decref (arguments);
  return status;
}

/* Run the command in PACKET and answer it over CONN.  */
void
ledger_handle_admin (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  struct rpc_packet answer = { .body.type = RPC_ADMIN_REPLY };
  struct rpc_admin_reply *reply = &answer.body.rpc_body_u.admin_reply;
  json_t *object = json_object ();
  char *text;

  reply->status = (int)run_verb (state, &packet->body.rpc_body_u.admin, object);
  text = json_dumps (object, JSON_COMPACT);
  reply->json.rpc_bytes_val = text;
  reply->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_reply (conn, packet, &answer);
  free (text);
  json_decref (object);
}
