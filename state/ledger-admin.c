/* What operators ask of the ledger.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "net/program.h"
#include "state/ledger.h"

#define PART "ledger"

enum
{
  LIST_MAX = 1000
};

static json_t *
key_json (const struct jc_key *key)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:b,s:I}", "product", key->product, "route",
      key->route, "key", key->key != NULL ? key->key : "", "state",
      jc_key_state_name (key->state), "claim", key->claim_id, "fence",
      (json_int_t)key->fence, "http", key->http_status, "answer_kept",
      key->answer != NULL, "changed_ms", (json_int_t)key->changed_ms);
}

/* What a listing collects: keys in STATE, or with NAME, or both.  */
struct listing
{
  const char *state;
  const char *name;
  json_t *keys;
  json_int_t found;
};

static void
list_key (gpointer data, gpointer ctx)
{
  const struct jc_key *key = data;
  struct listing *listing = ctx;

  if (listing->state != NULL
      && strcmp (jc_key_state_name (key->state), listing->state) != 0)
    return;
  if (listing->name != NULL
      && (key->key == NULL || strcmp (key->key, listing->name) != 0))
    return;
  listing->found++;
  if (json_array_size (listing->keys) < LIST_MAX)
    json_array_append_new (listing->keys, key_json (key));
}

static enum jc_status
admin_list (struct jc_ledger *ledger, const json_t *asked, json_t *said)
{
  struct listing listing
      = { .state = json_string_value (json_object_get (asked, "state")),
          .name = json_string_value (json_object_get (asked, "key")),
          .keys = json_array () };

  jc_keytable_foreach (jc_ledger_keys (ledger), list_key, &listing);
  json_object_set_new (said, "found", json_integer (listing.found));
  json_object_set_new (said, "keys", listing.keys);
  return JC_OK;
}

static enum jc_status
admin_accept_loss (struct jc_ledger *ledger, const json_t *asked, json_t *said)
{
  enum jc_status status = jc_ledger_accept_loss (ledger, jc_now_ms ());

  (void)asked;
  if (status == JC_OK)
    jc_warn (PART, "An operator accepted the loss of records.");
  else
    json_object_set_new (said, "message", json_string (jc_last_message ()));
  return status;
}

/* One request of operators.  */
struct admin_verb
{
  const char *name;
  enum jc_status (*run) (struct jc_ledger *ledger, const json_t *asked,
                         json_t *said);
};

static const struct admin_verb verbs[]
    = { { "ledger.list", admin_list },
        { "ledger.accept-loss", admin_accept_loss } };

static enum jc_status
admin_run (struct state *state, const struct rpc_admin *admin, json_t *said)
{
  struct jc_ledger *ledger = ledger_local (state);
  enum jc_status status = JC_NOT_FOUND;
  json_t *asked;

  if (ledger == NULL)
    {
      json_object_set_new (
          said, "message",
          json_string ("This instance keeps no ledger; ask the first by name "
                       "of the home region."));
      return JC_NOT_FOUND;
    }
  asked = json_loadb (admin->json.rpc_bytes_val, admin->json.rpc_bytes_len, 0,
                      NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, admin->verb) == 0)
      status = verbs[i].run (ledger, asked, said);
  json_object_set_new (
      said, "state",
      json_string (jc_ledger_state_name (jc_ledger_state (ledger))));
  json_object_set_new (said, "copies",
                       json_integer (jc_ledger_count_members (ledger)));
  json_object_set_new (said, "copies_held",
                       json_integer (jc_ledger_count_synced_members (ledger)));
  json_decref (asked);
  return status;
}

/* Answer an operator's request.  */
void
ledger_handle_admin (struct state *state, struct jc_rpc_conn *conn,
                     const struct rpc_packet *packet)
{
  struct rpc_packet answer = { .body.type = RPC_ADMIN_REPLY };
  struct rpc_admin_reply *reply = &answer.body.rpc_body_u.admin_reply;
  json_t *said = json_object ();
  char *text;

  reply->status = (int)admin_run (state, &packet->body.rpc_body_u.admin, said);
  text = json_dumps (said, JSON_COMPACT);
  reply->json.rpc_bytes_val = text;
  reply->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_reply (conn, packet, &answer);
  free (text);
  json_decref (said);
}
