/* Ledger of a home region: claims, results and their records.

   Every change of a key appends one record.  A reply that depends on a record
   waits until the record is synced to the local disk and acknowledged by
   every member of the copy set, so that the ledger can be rebuilt from any
   one member after its disk is lost.  Records appended between two flushes
   share one sync.  */

#include <string.h>

#include "ledger/private.h"

/* The ledger flushes early once more than BATCH_MAX_BYTES of records are
   unsent, and rewrites its journal once that exceeds COMPACT_MIN_BYTES plus
   twice its size after the last rewrite.  */
enum
{
  BATCH_MAX_BYTES = 4 * 1024 * 1024,
  COMPACT_MIN_BYTES = 8 * 1024 * 1024,
  SWEEP_INTERVAL_MS = 60000,
  RELEASED_CLAIM_KEEP_MS = 60000
};

#define JOURNAL_NAME "ledger"

const struct jc_ledger_options jc_ledger_defaults
    = { .copies = 2,
        .owner_lost_ms = 10000,
        .copy_lost_ms = 1000,
        .no_copies_wait_ms = 3000,
        .claim_wait_max_ms = 10000,
        .answer_keep_ms = 24LL * 3600 * 1000,
        .key_keep_ms = 30LL * 24 * 3600 * 1000,
        .answer_max_bytes = 1024 * 1024 };

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

static void
waiting_claim_free (gpointer data)
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

/* Enter JC_LEDGER_FAILED after a storage error.  The content of the disk is
   unknown then, so all calls are dropped without a reply.  */
void
ledger_fail (struct jc_ledger *ledger)
{
  ledger->state = JC_LEDGER_FAILED;
  ledger_drop_calls (ledger);
}

static GBytes *
encode_head (const struct jc_ledger *ledger)
{
  struct rpc_ledger_record head
      = { .state = JC_KEY_HEAD,
          .sequence = ledger->sequence,
          .product = "",
          .route = "",
          .key = "",
          .claim_id
          = ledger->options.home != NULL ? (char *)ledger->options.home : "",
          .fence = ledger->fence_counter,
          .http_status = (int)ledger->disk,
          .content_type = "",
          .changed_ms = ledger->incarnation };

  return jc_record_encode (&head);
}

static struct jc_str
bytes_str (GBytes *bytes)
{
  gsize len;
  const char *data = g_bytes_get_data (bytes, &len);

  return (struct jc_str){ .data = data, .len = len };
}

static void
add_key_record (gpointer key, gpointer list)
{
  g_ptr_array_add (list, jc_key_encode (key));
}

/* Return the pending members, which an outstanding proposal may have added to
   the copy set, as a JC_KEY_SET record; the caller unrefs it.  */
static GBytes *
encode_pending_members (const struct jc_ledger *ledger)
{
  struct rpc_ledger_set set = ledger->set;
  struct rpc_ledger_record record = { .state = JC_KEY_SET,
                                      .sequence = ledger->sequence,
                                      .product = "",
                                      .route = "",
                                      .key = "",
                                      .claim_id = "",
                                      .content_type = "",
                                      .answer_kept = TRUE };
  GBytes *bytes;
  GBytes *encoded;

  set.home = (char *)ledger->options.home;
  set.ledger = (char *)ledger->options.name;
  set.revision = ledger->pending_revision;
  set.members.members_len = ledger->pending_members->len;
  set.members.members_val
      = g_new0 (struct rpc_ledger_member, ledger->pending_members->len + 1);
  for (guint i = 0; i < ledger->pending_members->len; i++)
    set.members.members_val[i]
        = *(const struct rpc_ledger_member *)g_ptr_array_index (
            ledger->pending_members, i);
  bytes = jc_copyset_encode (&set);
  g_free (set.members.members_val);
  record.answer.rpc_bytes_val = (char *)bytes_str (bytes).data;
  record.answer.rpc_bytes_len = (u_int)g_bytes_get_size (bytes);
  encoded = jc_record_encode (&record);
  g_bytes_unref (bytes);
  return encoded;
}

/* Append the pending members to the journal and sync it.  Return the error of
   the journal after entering JC_LEDGER_FAILED.  */
enum jc_status
ledger_save_pending (struct jc_ledger *ledger)
{
  GBytes *record = encode_pending_members (ledger);
  enum jc_status status
      = jc_journal_append (ledger->journal, bytes_str (record));

  if (status == JC_OK)
    status = jc_journal_sync (ledger->journal);
  if (status != JC_OK)
    ledger_fail (ledger);
  g_bytes_unref (record);
  return status;
}

/* Replace the journal by the current state: the head, the pending members and
   one record for each key.  Return the error of the journal after entering
   JC_LEDGER_FAILED.  */
enum jc_status
ledger_rewrite (struct jc_ledger *ledger)
{
  GPtrArray *encoded
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GPtrArray *views = g_ptr_array_new_with_free_func (g_free);
  enum jc_status status;

  g_ptr_array_add (encoded, encode_head (ledger));
  g_ptr_array_add (encoded, encode_pending_members (ledger));
  jc_keytable_foreach (ledger->key_table, add_key_record, encoded);
  for (guint i = 0; i < encoded->len; i++)
    {
      struct jc_str *view = g_new (struct jc_str, 1);

      *view = bytes_str (g_ptr_array_index (encoded, i));
      g_ptr_array_add (views, view);
    }
  status = jc_journal_rewrite (ledger->journal, views);
  g_ptr_array_free (views, TRUE);
  g_ptr_array_free (encoded, TRUE);
  if (status != JC_OK)
    ledger_fail (ledger);
  ledger->compacted_bytes = jc_journal_size (ledger->journal);
  ledger->synced_sequence = ledger->sequence;
  return status;
}

static void
append_record (struct jc_ledger *ledger, GBytes *record)
{
  if (jc_journal_append (ledger->journal, bytes_str (record)) != JC_OK)
    ledger_fail (ledger);
  else
    g_byte_array_append (ledger->batch, g_bytes_get_data (record, NULL),
                         (guint)g_bytes_get_size (record));
  g_bytes_unref (record);
}

/* Append the state of KEY as a new record with the next sequence number, and
   update the set of granted keys.  */
static void
write_key (struct jc_ledger *ledger, struct jc_key *key)
{
  key->sequence = ++ledger->sequence;
  if (key->state == JC_KEY_GRANTED)
    g_hash_table_add (ledger->granted, key);
  else
    g_hash_table_remove (ledger->granted, key);
  append_record (ledger, jc_key_encode (key));
  if (ledger->batch->len > BATCH_MAX_BYTES)
    jc_ledger_flush (ledger);
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
  write_key (ledger, key);
  if (ledger->state == JC_LEDGER_SERVING)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_GRANTED);
  else
    ledger->ops->drop_call (ledger->ctx, call);
}

static bool
digest_matches (const struct jc_key *key, const struct rpc_claim *claim)
{
  return jc_str_equal (bytes_str (key->digest),
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
static void
retry_waiting_claims (struct jc_ledger *ledger, const unsigned char *id)
{
  GPtrArray *retried = g_ptr_array_new_with_free_func (waiting_claim_free);

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

static void
expire_released_claims (struct jc_ledger *ledger)
{
  GHashTableIter iter;
  gpointer until_ms;

  g_hash_table_iter_init (&iter, ledger->released_claims);
  while (g_hash_table_iter_next (&iter, NULL, &until_ms))
    if (ledger->now_ms >= *(const int64_t *)until_ms)
      g_hash_table_iter_remove (&iter);
}

static void
expire_waiting_claims (struct jc_ledger *ledger)
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
  write_key (ledger, key);
}

static void
set_key_state (struct jc_ledger *ledger, struct jc_key *key,
               enum jc_key_state state)
{
  key->state = state;
  key->changed_ms = ledger->wall_ms;
  if (state == JC_KEY_UNKNOWN)
    ledger->counts.unknown++;
  else
    ledger->counts.released++;
  write_key (ledger, key);
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
    set_key_state (ledger, key, JC_KEY_FREE);
  else if (result->outcome == JC_RUN_UNKNOWN && key->state == JC_KEY_GRANTED)
    set_key_state (ledger, key, JC_KEY_UNKNOWN);
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
    set_key_state (ledger, key,
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
    retry_waiting_claims (ledger, id);
}

/* Send the records appended since the last flush to the copies, sync them to
   the disk, and send the replies that are committed now.  */
void
jc_ledger_flush (struct jc_ledger *ledger)
{
  if (ledger->state != JC_LEDGER_SERVING)
    return;
  if (ledger->batch->len > 0)
    {
      ledger_send_batch_to_copies (ledger);
      g_byte_array_set_size (ledger->batch, 0);
      if (jc_journal_sync (ledger->journal) != JC_OK)
        {
          ledger_fail (ledger);
          return;
        }
      ledger->counts.syncs++;
      ledger->synced_sequence = ledger->sequence;
    }
  ledger_send_replies (ledger);
}

/* Return whether the owner of the claim CLAIM_ID, which is
   "NAME/INCARNATION/COUNTER", is lost: the instance NAME is connected with
   another incarnation, or has been disconnected for OWNER_LOST_MS.  That time
   starts at the earliest when this ledger began to serve.  */
static bool
is_owner_lost (const struct jc_ledger *ledger, const char *claim_id)
{
  char **parts = g_strsplit (claim_id, "/", 3);
  const struct peer *peer = parts[0] != NULL && parts[1] != NULL
                                ? ledger_find_peer (ledger, parts[0])
                                : NULL;
  uint64_t incarnation
      = peer != NULL ? g_ascii_strtoull (parts[1], NULL, 10) : 0;
  int64_t since = ledger->serving_since_ms;
  bool is_connected = peer != NULL && peer->connected;

  if (peer != NULL)
    since = MAX (since, peer->conn_changed_ms);
  g_strfreev (parts);
  if (is_connected)
    return peer->incarnation != incarnation;
  return ledger->now_ms - since >= ledger->options.owner_lost_ms;
}

/* Set each granted key whose owner is lost to JC_KEY_UNKNOWN: the run may have
   taken place, so the key is not granted again.  */
static void
settle_lost_owners (struct jc_ledger *ledger)
{
  GList *keys = g_hash_table_get_keys (ledger->granted);

  for (GList *at = keys; at != NULL; at = at->next)
    {
      struct jc_key *key = at->data;

      if (ledger->state != JC_LEDGER_SERVING
          || !is_owner_lost (ledger, key->claim_id))
        continue;
      set_key_state (ledger, key, JC_KEY_UNKNOWN);
      retry_waiting_claims (ledger, key->id);
    }
  g_list_free (keys);
}

static void
collect_expirable (gpointer data, gpointer list)
{
  const struct jc_key *key = data;

  if (key->state == JC_KEY_DONE || key->state == JC_KEY_FREE)
    g_ptr_array_add (list, data);
}

/* Remove KEY after KEY_KEEP_MS, or the answer and the key text of a finished
   KEY after ANSWER_KEEP_MS.  */
static void
apply_retention (struct jc_ledger *ledger, struct jc_key *key)
{
  int64_t age = ledger->wall_ms - key->changed_ms;

  if (age >= ledger->options.key_keep_ms)
    {
      key->state = JC_KEY_FORGOTTEN;
      write_key (ledger, key);
      jc_keytable_remove (ledger->key_table, key->id);
    }
  else if (key->state == JC_KEY_DONE && key->key != NULL
           && age >= ledger->options.answer_keep_ms)
    {
      g_clear_pointer (&key->answer, g_bytes_unref);
      g_clear_pointer (&key->key, g_free);
      write_key (ledger, key);
    }
}

static void
sweep_retention (struct jc_ledger *ledger)
{
  GPtrArray *expirable;

  if (ledger->now_ms - ledger->last_sweep_ms < SWEEP_INTERVAL_MS)
    return;
  ledger->last_sweep_ms = ledger->now_ms;
  expire_released_claims (ledger);
  expirable = g_ptr_array_new ();
  jc_keytable_foreach (ledger->key_table, collect_expirable, expirable);
  for (guint i = 0; i < expirable->len && ledger->state == JC_LEDGER_SERVING;
       i++)
    apply_retention (ledger, g_ptr_array_index (expirable, i));
  g_ptr_array_free (expirable, TRUE);
}

/* Run the timers that are due at NOW_MS, a monotonic time; WALL_MS is the same
   instant on the wall clock, which records and retention use.  */
void
jc_ledger_tick (struct jc_ledger *ledger, int64_t now_ms, int64_t wall_ms)
{
  ledger->now_ms = now_ms;
  ledger->wall_ms = wall_ms;
  ledger_copyset_tick (ledger);
  if (ledger->state != JC_LEDGER_SERVING)
    return;
  expire_waiting_claims (ledger);
  settle_lost_owners (ledger);
  sweep_retention (ledger);
  jc_ledger_flush (ledger);
  if (ledger->state == JC_LEDGER_SERVING
      && jc_journal_size (ledger->journal)
             > COMPACT_MIN_BYTES + 2 * ledger->compacted_bytes)
    ledger_rewrite (ledger);
}

static void
replay_pending (struct jc_ledger *ledger,
                const struct rpc_ledger_record *record)
{
  struct rpc_ledger_set set;

  if (!jc_copyset_decode (
          (struct jc_str){ .data = record->answer.rpc_bytes_val,
                           .len = record->answer.rpc_bytes_len },
          &set))
    return;
  g_ptr_array_set_size (ledger->pending_members, 0);
  ledger->pending_revision = set.revision;
  for (u_int i = 0; i < set.members.members_len; i++)
    ledger_add_pending_member (ledger, set.members.members_val[i].name,
                               set.members.members_val[i].incarnation);
  xdr_free ((xdrproc_t)xdr_rpc_ledger_set, (char *)&set);
}

static void
replay_record (void *ctx, const struct rpc_ledger_record *record)
{
  struct jc_ledger *ledger = ctx;
  uint64_t counter = record->fence & ((1ULL << LEDGER_FENCE_EPOCH_SHIFT) - 1);

  ledger->sequence = MAX (ledger->sequence, record->sequence);
  ledger->fence_counter = MAX (ledger->fence_counter, counter);
  if (record->state == JC_KEY_HEAD)
    {
      ledger->incarnation = record->changed_ms;
      ledger->disk = (enum disk_state)record->http_status;
    }
  else if (record->state == JC_KEY_SET)
    replay_pending (ledger, record);
  else
    jc_keytable_put (ledger->key_table, record);
}

static enum jc_status
replay (void *ctx, struct jc_str record)
{
  return jc_record_decode (record, replay_record, ctx);
}

static void
add_if_granted (gpointer data, gpointer ctx)
{
  const struct jc_key *key = data;

  if (key->state == JC_KEY_GRANTED)
    g_hash_table_add (ctx, data);
}

/* Rebuild the set of granted keys from the key table.  */
void
ledger_index_granted (struct jc_ledger *ledger)
{
  g_hash_table_remove_all (ledger->granted);
  jc_keytable_foreach (ledger->key_table, add_if_granted, ledger->granted);
}

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

static void
member_free (gpointer data)
{
  struct rpc_ledger_member *member = data;

  g_free (member->name);
  g_free (member);
}

/* Open the ledger on DISK.  It grants nothing until the replicated log names
   this disk as the ledger of the home region.  OPTIONS are copied, but their
   strings and OPS must outlive the ledger; CTX is passed to OPS.  Return NULL
   if it can't be opened.  STATUS gets the error, or JC_OK.  */
struct jc_ledger *
jc_ledger_open (struct jc_disk *disk, const struct jc_ledger_options *options,
                const struct jc_ledger_ops *ops, void *ctx, int64_t now_ms,
                enum jc_status *status)
{
  struct jc_ledger *ledger = g_new0 (struct jc_ledger, 1);

  ledger->options = *options;
  ledger->ops = ops;
  ledger->ctx = ctx;
  ledger->now_ms = now_ms;
  ledger->last_sweep_ms = now_ms;
  ledger->key_table = jc_keytable_new ();
  ledger->granted = g_hash_table_new (NULL, NULL);
  ledger->batch = g_byte_array_new ();
  ledger->pulled_records = g_byte_array_new ();
  ledger->waiting_claims = g_ptr_array_new_with_free_func (waiting_claim_free);
  ledger->pending_members = g_ptr_array_new_with_free_func (member_free);
  ledger->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  ledger->released_claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&ledger->replies);
  ledger->disk = DISK_EMPTY;
  ledger->journal
      = jc_journal_open (disk, JOURNAL_NAME, replay, ledger, status);
  if (ledger->disk == DISK_EMPTY)
    ledger->incarnation = options->incarnation;
  ledger_index_granted (ledger);
  ledger->sequence = ((ledger->sequence >> LEDGER_SEQUENCE_RUN_SHIFT) + 1)
                     << LEDGER_SEQUENCE_RUN_SHIFT;
  if (ledger->journal != NULL)
    *status = ledger_rewrite (ledger);
  if (*status == JC_OK)
    return ledger;
  jc_ledger_free (ledger);
  return NULL;
}

/* Free LEDGER, which may be NULL, and drop the calls without a reply.  */
void
jc_ledger_free (struct jc_ledger *ledger)
{
  if (ledger == NULL)
    return;
  ledger_drop_calls (ledger);
  ledger_clear_set (ledger);
  jc_journal_free (ledger->journal);
  g_hash_table_destroy (ledger->granted);
  g_hash_table_destroy (ledger->released_claims);
  jc_keytable_free (ledger->key_table);
  g_byte_array_free (ledger->batch, TRUE);
  g_byte_array_free (ledger->pulled_records, TRUE);
  g_ptr_array_free (ledger->waiting_claims, TRUE);
  g_ptr_array_free (ledger->pending_members, TRUE);
  g_hash_table_destroy (ledger->peers);
  g_free (ledger);
}

enum jc_ledger_state
jc_ledger_state (const struct jc_ledger *ledger)
{
  return ledger->state;
}

/* Return the name of STATE as the admin interface and the log show it.  */
const char *
jc_ledger_state_name (enum jc_ledger_state state)
{
  static const char *const names[] = { [JC_LEDGER_STARTING] = "starting",
                                       [JC_LEDGER_RECOVERING] = "recovering",
                                       [JC_LEDGER_REBUILT] = "rebuilt",
                                       [JC_LEDGER_SERVING] = "serving",
                                       [JC_LEDGER_FAILED] = "failed" };

  return names[state];
}

/* Return the keys of LEDGER, for listings; they change with the next call.  */
const struct jc_keytable *
jc_ledger_keys (const struct jc_ledger *ledger)
{
  return ledger->key_table;
}

const struct jc_ledger_counts *
jc_ledger_counts (const struct jc_ledger *ledger)
{
  return &ledger->counts;
}
