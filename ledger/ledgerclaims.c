/* Claims and results of a ledger, and the replies to them.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  RELEASED_CLAIM_KEEP_MS = 60000
};

/* A reply that is sent once the record with sequence NEEDED_SEQUENCE is
   committed.  CONTENT_TYPE and ANSWER are set only for RPC_CLAIM_DONE.  */
struct reply
{
  void *call;
  bool is_result;
  uint64_t needed_sequence;
  enum rpc_claim_state state;
  uint64_t fence;
  int http_status;
  char *content_type;
  GBytes *answer;
};

/* A claim of a key that another claim holds.  It is decided when that key is
   settled, or answered with RPC_CLAIM_IN_PROGRESS at UNTIL_MS.  */
struct waiting_claim
{
  void *call;
  unsigned char id[JC_KEY_ID_BYTES];
  struct rpc_claim claim;
  int64_t until_ms;
};

static void
reply_free (struct reply *reply)
{
  g_free (reply->content_type);
  if (reply->answer != NULL)
    g_bytes_unref (reply->answer);
  g_free (reply);
}

/* Free DATA, a struct waiting_claim.  */
void
ledger_waiting_claim_free (gpointer data)
{
  struct waiting_claim *waiting_claim = data;

  xdr_free ((xdrproc_t)xdr_rpc_claim, (char *)&waiting_claim->claim);
  g_free (waiting_claim);
}

/* Copy FROM to TO through its encoding, so that xdr_free can free TO.  */
static void
copy_claim (struct rpc_claim *to, const struct rpc_claim *from)
{
  u_int size = (u_int)xdr_sizeof ((xdrproc_t)xdr_rpc_claim, (void *)from);
  char *data = g_malloc (size);
  XDR xdr;

  memset (to, 0, sizeof *to);
  xdrmem_create (&xdr, data, size, XDR_ENCODE);
  xdr_rpc_claim (&xdr, (struct rpc_claim *)from);
  xdr_destroy (&xdr);
  xdrmem_create (&xdr, data, size, XDR_DECODE);
  xdr_rpc_claim (&xdr, to);
  xdr_destroy (&xdr);
  g_free (data);
}

static void
send_reply (struct jc_ledger *ledger, const struct reply *reply)
{
  gsize len = 0;
  const void *data
      = reply->answer != NULL ? g_bytes_get_data (reply->answer, &len) : NULL;
  struct rpc_claim_reply rpc_reply = {
    .state = reply->state,
    .fence = reply->fence,
    .http_status = reply->http_status,
    .content_type = reply->content_type != NULL ? reply->content_type : "",
    .answer = { .rpc_bytes_val = (char *)data, .rpc_bytes_len = (u_int)len },
    .message = ""
  };

  if (reply->is_result)
    ledger->ops->send_result_reply (ledger->ctx, reply->call, JC_OK);
  else
    ledger->ops->send_claim_reply (ledger->ctx, reply->call, &rpc_reply);
}

/* Send the pending replies whose records are committed, in the order in which
   they were queued.  */
void
ledger_send_replies (struct jc_ledger *ledger)
{
  uint64_t committed = ledger_committed_sequence (ledger);
  struct reply *reply;

  while ((reply = g_queue_peek_head (&ledger->replies)) != NULL
         && reply->needed_sequence <= committed)
    {
      g_queue_pop_head (&ledger->replies);
      send_reply (ledger, reply);
      reply_free (reply);
    }
}

/* Drop the calls of all pending replies and waiting claims; they get no
   reply.  */
void
ledger_drop_calls (struct jc_ledger *ledger)
{
  struct reply *reply;

  while ((reply = g_queue_pop_head (&ledger->replies)) != NULL)
    {
      ledger->ops->drop_call (ledger->ctx, reply->call);
      reply_free (reply);
    }
  for (guint i = 0; i < ledger->waiting_claims->len; i++)
    {
      struct waiting_claim *waiting_claim
          = g_ptr_array_index (ledger->waiting_claims, i);

      ledger->ops->drop_call (ledger->ctx, waiting_claim->call);
    }
  g_ptr_array_set_size (ledger->waiting_claims, 0);
}

static void
queue_claim_reply (struct jc_ledger *ledger, void *call,
                   const struct jc_key *key, enum rpc_claim_state state)
{
  struct reply *reply = g_new0 (struct reply, 1);

  reply->call = call;
  reply->needed_sequence = key->sequence;
  reply->state = state;
  reply->fence = key->fence;
  reply->http_status = key->http_status;
  if (state == RPC_CLAIM_DONE)
    {
      reply->content_type = g_strdup (key->content_type);
      reply->answer = g_bytes_ref (key->answer);
    }
  g_queue_push_tail (&ledger->replies, reply);
}

static void
send_claim_reply_now (struct jc_ledger *ledger, void *call,
                      enum rpc_claim_state state)
{
  struct reply reply = { .call = call, .state = state };

  send_reply (ledger, &reply);
}

static void
set_bytes (GBytes **slot, const rpc_bytes *from)
{
  if (*slot != NULL)
    g_bytes_unref (*slot);
  *slot = g_bytes_new (from->rpc_bytes_val, from->rpc_bytes_len);
}

static void
set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

/* Set the names of KEY, which retention may have removed, and the id of the
   claim that holds it.  */
static void
set_key_names (struct jc_key *key, const char *product, const char *route,
               const char *name, const char *claim_id)
{
  set_text (&key->product, product);
  set_text (&key->route, route);
  set_text (&key->key, name);
  set_text (&key->claim_id, claim_id);
}

static void
grant_key (struct jc_ledger *ledger, struct jc_key *key,
           const struct rpc_claim *claim, void *call)
{
  set_key_names (key, claim->product, claim->route, claim->key,
                 claim->claim_id);
  set_bytes (&key->digest, &claim->digest);
  key->state = JC_KEY_GRANTED;
  key->changed_ms = ledger->wall_ms;
  key->fence
      = ledger->set.epoch << LEDGER_FENCE_EPOCH_SHIFT | ++ledger->fence_counter;
  ledger->counts.granted++;
  ledger_write_key (ledger, key);
  if (ledger->state == JC_LEDGER_SERVING)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_GRANTED);
  else
    ledger->ops->drop_call (ledger->ctx, call);
}

static bool
digest_matches (const struct jc_key *key, const struct rpc_claim *claim)
{
  return jc_str_equal (ledger_bytes_str (key->digest),
                       (struct jc_str){ .data = claim->digest.rpc_bytes_val,
                                        .len = claim->digest.rpc_bytes_len });
}

static void
add_waiting_claim (struct jc_ledger *ledger, const struct jc_key *key,
                   const struct rpc_claim *claim, void *call)
{
  struct waiting_claim *waiting_claim = g_new0 (struct waiting_claim, 1);

  waiting_claim->call = call;
  memcpy (waiting_claim->id, key->id, JC_KEY_ID_BYTES);
  copy_claim (&waiting_claim->claim, claim);
  waiting_claim->until_ms
      = ledger->now_ms
        + MIN ((int64_t)claim->wait_ms, ledger->options.claim_wait_max_ms);
  g_ptr_array_add (ledger->waiting_claims, waiting_claim);
}

/* Handle CLAIM of KEY, which is not free: it was granted to another claim or to
   an earlier message of the same claim.  A claim with another digest is a
   conflict.  */
static void
handle_claim_of_used_key (struct jc_ledger *ledger, struct jc_key *key,
                          const struct rpc_claim *claim, void *call)
{
  bool same_claim = strcmp (key->claim_id, claim->claim_id) == 0;

  ledger->counts.repeated++;
  if (!digest_matches (key, claim))
    queue_claim_reply (ledger, call, key, RPC_CLAIM_CONFLICT);
  else if (key->state == JC_KEY_DONE)
    queue_claim_reply (ledger, call, key,
                       key->answer != NULL ? RPC_CLAIM_DONE
                                           : RPC_CLAIM_ANSWER_GONE);
  else if (key->state == JC_KEY_UNKNOWN)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_UNKNOWN);
  else if (same_claim)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_GRANTED);
  else
    add_waiting_claim (ledger, key, claim, call);
}

static void
decide_claim (struct jc_ledger *ledger, const struct rpc_claim *claim,
              void *call)
{
  unsigned char id[JC_KEY_ID_BYTES];
  struct jc_key *key;

  if (g_hash_table_contains (ledger->released_claims, claim->claim_id))
    {
      send_claim_reply_now (ledger, call, RPC_CLAIM_REFUSED);
      return;
    }
  jc_key_id (id, claim->product, claim->route, claim->key);
  key = jc_keytable_get_or_add (ledger->key_table, id);
  if (key->state != JC_KEY_FREE)
    handle_claim_of_used_key (ledger, key, claim, call);
  else if (strcmp (key->claim_id, claim->claim_id) == 0)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_REFUSED);
  else
    grant_key (ledger, key, claim, call);
}

/* Handle CLAIM and reply to CALL.  The reply waits for the next flush and for
   the acknowledgements of the copies, but a ledger that can't grant replies
   with RPC_CLAIM_RECOVERING at once.  */
void
jc_ledger_handle_claim (struct jc_ledger *ledger, const struct rpc_claim *claim,
                        void *call, int64_t now_ms)
{
  ledger->now_ms = now_ms;
  if (ledger->state != JC_LEDGER_SERVING || !ledger_can_grant (ledger))
    send_claim_reply_now (ledger, call, RPC_CLAIM_RECOVERING);
  else
    decide_claim (ledger, claim, call);
}

/* Decide again each claim that waits for the key ID, in order of arrival.  */
void
ledger_retry_waiting_claims (struct jc_ledger *ledger, const unsigned char *id)
{
  GPtrArray *retried
      = g_ptr_array_new_with_free_func (ledger_waiting_claim_free);

  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct waiting_claim *waiting_claim
          = g_ptr_array_index (ledger->waiting_claims, i);

      if (memcmp (waiting_claim->id, id, JC_KEY_ID_BYTES) == 0)
        g_ptr_array_insert (
            retried, 0, g_ptr_array_steal_index (ledger->waiting_claims, i));
    }
  for (guint i = 0; i < retried->len; i++)
    {
      struct waiting_claim *waiting_claim = g_ptr_array_index (retried, i);

      if (ledger->state == JC_LEDGER_SERVING)
        decide_claim (ledger, &waiting_claim->claim, waiting_claim->call);
      else
        ledger->ops->drop_call (ledger->ctx, waiting_claim->call);
    }
  g_ptr_array_free (retried, TRUE);
}

/* Refuse the waiting messages of the claim CLAIM_ID and those that arrive
   within RELEASED_CLAIM_KEEP_MS.  Its owner released it without a run, so a
   grant would block the key although nobody runs the request.  */
static void
refuse_released_claim (struct jc_ledger *ledger, const char *claim_id)
{
  int64_t *until_ms = g_new (int64_t, 1);

  *until_ms = ledger->now_ms + RELEASED_CLAIM_KEEP_MS;
  g_hash_table_replace (ledger->released_claims, g_strdup (claim_id), until_ms);
  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct waiting_claim *waiting_claim
          = g_ptr_array_index (ledger->waiting_claims, i);

      if (strcmp (waiting_claim->claim.claim_id, claim_id) != 0)
        continue;
      send_claim_reply_now (ledger, waiting_claim->call, RPC_CLAIM_REFUSED);
      g_ptr_array_remove_index (ledger->waiting_claims, i);
    }
}

/* Forget released claims that are no longer refused.  */
void
ledger_expire_released_claims (struct jc_ledger *ledger)
{
  GHashTableIter iter;
  gpointer until_ms;

  g_hash_table_iter_init (&iter, ledger->released_claims);
  while (g_hash_table_iter_next (&iter, NULL, &until_ms))
    if (ledger->now_ms >= *(const int64_t *)until_ms)
      g_hash_table_iter_remove (&iter);
}

/* Answer claims that have waited for a key as long as they may.  */
void
ledger_expire_waiting_claims (struct jc_ledger *ledger)
{
  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct waiting_claim *waiting_claim
          = g_ptr_array_index (ledger->waiting_claims, i);

      if (ledger->now_ms < waiting_claim->until_ms)
        continue;
      send_claim_reply_now (ledger, waiting_claim->call, RPC_CLAIM_IN_PROGRESS);
      g_ptr_array_remove_index (ledger->waiting_claims, i);
    }
}

static void
set_key_done (struct jc_ledger *ledger, struct jc_key *key,
              const struct rpc_result *result)
{
  key->state = JC_KEY_DONE;
  key->changed_ms = ledger->wall_ms;
  key->http_status = result->http_status;
  set_text (&key->content_type, result->content_type);
  g_clear_pointer (&key->answer, g_bytes_unref);
  if (!result->answer_dropped
      && result->answer.rpc_bytes_len <= ledger->options.answer_max_bytes)
    set_bytes (&key->answer, &result->answer);
  ledger->counts.done++;
  ledger_write_key (ledger, key);
}

/* Record that no answer is known for KEY: STATE is JC_KEY_UNKNOWN or
   JC_KEY_RELEASED.  */
void
ledger_set_key_state (struct jc_ledger *ledger, struct jc_key *key,
                      enum jc_key_state state)
{
  key->state = state;
  key->changed_ms = ledger->wall_ms;
  if (state == JC_KEY_UNKNOWN)
    ledger->counts.unknown++;
  else
    ledger->counts.released++;
  ledger_write_key (ledger, key);
}

/* Apply RESULT of the claim that holds KEY.  The result of a run replaces an
   unknown outcome and is final itself.  */
static void
apply_result (struct jc_ledger *ledger, struct jc_key *key,
              const struct rpc_result *result)
{
  bool unsettled = key->state == JC_KEY_GRANTED || key->state == JC_KEY_UNKNOWN;

  if (result->outcome == JC_RUN && key->state != JC_KEY_DONE)
    set_key_done (ledger, key, result);
  else if (result->outcome == JC_NOT_RUN && unsettled)
    ledger_set_key_state (ledger, key, JC_KEY_FREE);
  else if (result->outcome == JC_RUN_UNKNOWN && key->state == JC_KEY_GRANTED)
    ledger_set_key_state (ledger, key, JC_KEY_UNKNOWN);
}

/* Apply RESULT of a claim that has no record here: the claim never arrived, or
   its record was lost and the operator accepted the loss.  KEY takes over the
   claim id, so that the claim is refused if it arrives late.  */
static void
apply_result_of_unknown_claim (struct jc_ledger *ledger, struct jc_key *key,
                               const struct rpc_result *result)
{
  if (key->state != JC_KEY_FREE)
    return;
  set_key_names (key, result->product, result->route, result->key,
                 result->claim_id);
  if (result->outcome == JC_RUN)
    set_key_done (ledger, key, result);
  else
    ledger_set_key_state (ledger, key,
                          result->outcome == JC_NOT_RUN ? JC_KEY_FREE
                                                        : JC_KEY_UNKNOWN);
}

/* Apply RESULT and reply to CALL once its record is committed.  A ledger that
   does not serve drops CALL without a reply; the owner resends its result.  */
void
jc_ledger_handle_result (struct jc_ledger *ledger,
                         const struct rpc_result *result, void *call)
{
  unsigned char id[JC_KEY_ID_BYTES];
  struct reply *reply;
  struct jc_key *key;

  if (ledger->state != JC_LEDGER_SERVING)
    {
      ledger->ops->drop_call (ledger->ctx, call);
      return;
    }
  if (result->outcome == JC_NOT_RUN)
    refuse_released_claim (ledger, result->claim_id);
  jc_key_id (id, result->product, result->route, result->key);
  key = jc_keytable_get_or_add (ledger->key_table, id);
  if (strcmp (key->claim_id, result->claim_id) == 0)
    apply_result (ledger, key, result);
  else
    apply_result_of_unknown_claim (ledger, key, result);
  if (ledger->state != JC_LEDGER_SERVING)
    {
      ledger->ops->drop_call (ledger->ctx, call);
      return;
    }
  reply = g_new0 (struct reply, 1);
  reply->call = call;
  reply->is_result = true;
  reply->needed_sequence = key->sequence;
  g_queue_push_tail (&ledger->replies, reply);
  if (key->state != JC_KEY_GRANTED)
    ledger_retry_waiting_claims (ledger, id);
}
