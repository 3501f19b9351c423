/* Submissions of operators and the followers of the configuration.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "state/state.h"

#define PART "submit"

static void
reply (struct jc_rpc_conn *conn, const struct rpc_packet *question,
       enum jc_status status, uint64_t version, const char *faults)
{
  struct rpc_packet packet = { .body.type = RPC_SUBMIT_REPLY };
  struct rpc_submit_reply *said = &packet.body.rpc_body_u.submit_reply;

  said->status = (int)status;
  said->at_version = version;
  said->faults.rpc_bytes_val = (char *)faults;
  said->faults.rpc_bytes_len = (u_int)strlen (faults);
  jc_rpc_answer (conn, question, &packet);
}

static char *
faults_text (const GPtrArray *faults)
{
  json_t *list = json_array ();
  char *text;

  for (guint i = 0; i < faults->len; i++)
    json_array_append_new (list, json_string (g_ptr_array_index (faults, i)));
  text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  return text;
}

/* Put CONFIG in place of the current one, once it is durable.  */
static enum jc_status
accept_config (struct state *state, struct jc_config *config,
               const char *change_id)
{
  json_t *answers = json_copy (state->answers);
  enum jc_status status;

  json_object_set_new (answers, change_id,
                       json_integer ((json_int_t)config->version));
  status = store_save (state, config, answers);
  if (status != JC_OK)
    {
      json_decref (answers);
      return status;
    }
  json_decref (state->answers);
  jc_config_free (state->config);
  state->answers = answers;
  state->config = config;
  jc_rpc_set_config_version (state->rpc, config->version);
  jc_info (PART, "Version %" G_GUINT64_FORMAT " is accepted.", config->version);
  followers_push (state);
  return JC_OK;
}

static void
submit_change (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_submit *submit = &packet->body.rpc_body_u.submit;
  json_t *change = json_loadb (submit->json.rpc_bytes_val,
                               submit->json.rpc_bytes_len, 0, NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config = NULL;
  enum jc_status status = JC_CHECK_FAILED;
  char *text;

  if (change == NULL)
    jc_fault (faults, "change", "is not JSON");
  else
    config = jc_config_apply (state->config, change, state->config->version + 1,
                              faults);
  if (config != NULL)
    status = accept_config (state, config, submit->change_id);
  if (config != NULL && status != JC_OK)
    jc_config_free (config);
  text = faults_text (faults);
  reply (conn, packet, status, state->config->version, text);
  free (text);
  g_ptr_array_free (faults, TRUE);
  json_decref (change);
}

/* Handle the submission PACKET of an operator.  */
void
submit_handle (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  const struct rpc_submit *submit = &packet->body.rpc_body_u.submit;
  const json_t *known = json_object_get (state->answers, submit->change_id);

  if (known != NULL)
    reply (conn, packet, JC_OK, (uint64_t)json_integer_value (known), "[]");
  else if (submit->expected_version != state->config->version)
    reply (conn, packet, JC_VERSION_CONFLICT, state->config->version, "[]");
  else
    submit_change (state, conn, packet);
}

static void
followers_send (struct state *state, struct jc_rpc_conn *conn)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_DELTA };
  struct rpc_config_delta *delta = &packet.body.rpc_body_u.config_delta;
  char *text = json_dumps (state->config->json, JSON_COMPACT);

  delta->to_version = state->config->version;
  delta->durable_version = state->config->version;
  delta->json.rpc_bytes_val = text;
  delta->json.rpc_bytes_len = (u_int)strlen (text);
  jc_rpc_send (conn, &packet);
  free (text);
}

/* Send CONN every version from now on.  */
void
followers_add (struct state *state, struct jc_rpc_conn *conn,
               const struct rpc_packet *packet)
{
  uint64_t have = packet->body.rpc_body_u.config_follow.have_version;

  if (!g_ptr_array_find (state->followers, conn, NULL))
    g_ptr_array_add (state->followers, conn);
  if (have < state->config->version)
    followers_send (state, conn);
}

/* Forget CONN, which went down.  */
void
followers_remove (struct state *state, struct jc_rpc_conn *conn)
{
  g_ptr_array_remove_fast (state->followers, conn);
}

/* Send the current version to every follower.  */
void
followers_push (struct state *state)
{
  for (guint i = 0; i < state->followers->len; i++)
    followers_send (state, g_ptr_array_index (state->followers, i));
}
