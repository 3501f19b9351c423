/* Ledger of a home region: claims, results and their records.

   Every change of a key is one record.  A reply that rests on a record waits
   until the record is synced here and held by every member of the copy set,
   so that any member can stand in for a lost disk.  Records of one turn share
   a sync.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  BATCH_BYTES = 4 * 1024 * 1024,
  COMPACT_BYTES = 8 * 1024 * 1024,
  SWEEP_MS = 60000,
  RELEASED_MS = 60000
};

#define JOURNAL "ledger"

const struct jc_ledger_options jc_ledger_defaults
    = { .copies = 2,
        .owner_lost_ms = 10000,
        .copy_lost_ms = 1000,
        .no_copies_wait_ms = 3000,
        .claim_wait_max_ms = 10000,
        .answer_keep_ms = 24LL * 3600 * 1000,
        .key_keep_ms = 30LL * 24 * 3600 * 1000,
        .answer_max_bytes = 1024 * 1024 };

/* A reply that waits until the record it rests on is held.  */
struct reply
{
  void *call;
  bool is_result;
  uint64_t need;
  enum rpc_claim_state state;
  uint64_t fence;
  int http;
  char *content_type;
  GBytes *answer;
};

/* A claim that waits for the end of another claim's run.  */
struct parked
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
parked_free (gpointer data)
{
  struct parked *parked = data;

  xdr_free ((xdrproc_t)xdr_rpc_claim, (char *)&parked->claim);
  g_free (parked);
}

/* Copy CLAIM by its encoding, so that it is freed as a decoded one is.  */
static void
claim_copy (struct rpc_claim *to, const struct rpc_claim *from)
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
reply_send (struct jc_ledger *ledger, const struct reply *reply)
{
  gsize len = 0;
  const void *data
      = reply->answer != NULL ? g_bytes_get_data (reply->answer, &len) : NULL;
  struct rpc_claim_reply said = {
    .state = reply->state,
    .fence = reply->fence,
    .http_status = reply->http,
    .content_type = reply->content_type != NULL ? reply->content_type : "",
    .answer = { .rpc_bytes_val = (char *)data, .rpc_bytes_len = (u_int)len },
    .message = ""
  };

  if (reply->is_result)
    ledger->ops->send_result_reply (ledger->ctx, reply->call, JC_OK);
  else
    ledger->ops->send_claim_reply (ledger->ctx, reply->call, &said);
}

/* Send every reply whose record is held by now.  */
void
ledger_send_replies (struct jc_ledger *ledger)
{
  uint64_t committed = ledger_committed_sequence (ledger);
  struct reply *reply;

  while ((reply = g_queue_peek_head (&ledger->replies)) != NULL
         && reply->need <= committed)
    {
      g_queue_pop_head (&ledger->replies);
      reply_send (ledger, reply);
      reply_free (reply);
    }
}

/* Give back every call without a reply.  */
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
      struct parked *parked = g_ptr_array_index (ledger->waiting_claims, i);

      ledger->ops->drop_call (ledger->ctx, parked->call);
    }
  g_ptr_array_set_size (ledger->waiting_claims, 0);
}

/* Storage failed: what is on disk is unknown, so nothing more is said.  */
void
ledger_fail (struct jc_ledger *ledger)
{
  ledger->state = JC_LEDGER_FAILED;
  ledger_drop_calls (ledger);
}

static GBytes *
head_encode (const struct jc_ledger *ledger)
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

/* Return the members that a proposal under way may have added, as a record;
   the caller unrefs it.  */
static GBytes *
pending_encode (const struct jc_ledger *ledger)
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

/* Make the pending members durable.  */
enum jc_status
ledger_save_pending (struct jc_ledger *ledger)
{
  GBytes *record = pending_encode (ledger);
  enum jc_status status
      = jc_journal_append (ledger->journal, bytes_str (record));

  if (status == JC_OK)
    status = jc_journal_sync (ledger->journal);
  if (status != JC_OK)
    ledger_fail (ledger);
  g_bytes_unref (record);
  return status;
}

/* Write all that is known of LEDGER anew.  */
enum jc_status
ledger_rewrite (struct jc_ledger *ledger)
{
  GPtrArray *encoded
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  GPtrArray *views = g_ptr_array_new_with_free_func (g_free);
  enum jc_status status;

  g_ptr_array_add (encoded, head_encode (ledger));
  g_ptr_array_add (encoded, pending_encode (ledger));
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
append (struct jc_ledger *ledger, GBytes *record)
{
  if (jc_journal_append (ledger->journal, bytes_str (record)) != JC_OK)
    ledger_fail (ledger);
  else
    g_byte_array_append (ledger->batch, g_bytes_get_data (record, NULL),
                         (guint)g_bytes_get_size (record));
  g_bytes_unref (record);
}

/* Record KEY as it is now.  */
static void
write_key (struct jc_ledger *ledger, struct jc_key *key)
{
  key->sequence = ++ledger->sequence;
  if (key->state == JC_KEY_GRANTED)
    g_hash_table_add (ledger->granted, key);
  else
    g_hash_table_remove (ledger->granted, key);
  append (ledger, jc_key_encode (key));
  if (ledger->batch->len > BATCH_BYTES)
    jc_ledger_flush (ledger);
}

static void
queue_claim_reply (struct jc_ledger *ledger, void *call,
                   const struct jc_key *key, enum rpc_claim_state state)
{
  struct reply *reply = g_new0 (struct reply, 1);

  reply->call = call;
  reply->need = key->sequence;
  reply->state = state;
  reply->fence = key->fence;
  reply->http = key->http_status;
  if (state == RPC_CLAIM_DONE)
    {
      reply->content_type = g_strdup (key->content_type);
      reply->answer = g_bytes_ref (key->answer);
    }
  g_queue_push_tail (&ledger->replies, reply);
}

static void
reply_now (struct jc_ledger *ledger, void *call, enum rpc_claim_state state)
{
  struct reply reply = { .call = call, .state = state };

  reply_send (ledger, &reply);
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

/* Name KEY and its claim; names of a forgotten key come back.  */
static void
key_name (struct jc_key *key, const char *product, const char *route,
          const char *name, const char *claim_id)
{
  set_text (&key->product, product);
  set_text (&key->route, route);
  set_text (&key->key, name);
  set_text (&key->claim_id, claim_id);
}

static void
grant (struct jc_ledger *ledger, struct jc_key *key,
       const struct rpc_claim *claim, void *call)
{
  key_name (key, claim->product, claim->route, claim->key, claim->claim_id);
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
digest_is (const struct jc_key *key, const struct rpc_claim *claim)
{
  return jc_str_equal (bytes_str (key->digest),
                       (struct jc_str){ .data = claim->digest.rpc_bytes_val,
                                        .len = claim->digest.rpc_bytes_len });
}

static void
park (struct jc_ledger *ledger, const struct jc_key *key,
      const struct rpc_claim *claim, void *call)
{
  struct parked *parked = g_new0 (struct parked, 1);

  parked->call = call;
  memcpy (parked->id, key->id, JC_KEY_ID_BYTES);
  claim_copy (&parked->claim, claim);
  parked->until_ms
      = ledger->now_ms
        + MIN ((int64_t)claim->wait_ms, ledger->options.claim_wait_max_ms);
  g_ptr_array_add (ledger->waiting_claims, parked);
}

/* Reply to a claim of a KEY that another claim or an earlier message of the
   same one has.  */
static void
claim_taken (struct jc_ledger *ledger, struct jc_key *key,
             const struct rpc_claim *claim, void *call)
{
  bool own = strcmp (key->claim_id, claim->claim_id) == 0;

  ledger->counts.repeated++;
  if (!digest_is (key, claim))
    queue_claim_reply (ledger, call, key, RPC_CLAIM_CONFLICT);
  else if (key->state == JC_KEY_DONE)
    queue_claim_reply (ledger, call, key,
                       key->answer != NULL ? RPC_CLAIM_DONE
                                           : RPC_CLAIM_ANSWER_GONE);
  else if (key->state == JC_KEY_UNKNOWN)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_UNKNOWN);
  else if (own)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_GRANTED);
  else
    park (ledger, key, claim, call);
}

static void
claim_decide (struct jc_ledger *ledger, const struct rpc_claim *claim,
              void *call)
{
  unsigned char id[JC_KEY_ID_BYTES];
  struct jc_key *key;

  if (g_hash_table_contains (ledger->released_claims, claim->claim_id))
    {
      reply_now (ledger, call, RPC_CLAIM_REFUSED);
      return;
    }
  jc_key_id (id, claim->product, claim->route, claim->key);
  key = jc_keytable_get_or_add (ledger->key_table, id);
  if (key->state != JC_KEY_FREE)
    claim_taken (ledger, key, claim, call);
  else if (strcmp (key->claim_id, claim->claim_id) == 0)
    queue_claim_reply (ledger, call, key, RPC_CLAIM_REFUSED);
  else
    grant (ledger, key, claim, call);
}

/* Take CLAIM, which came with CALL.  Its reply waits for the next flush and
   for the copies; a ledger that can't grant says so at once.  */
void
jc_ledger_handle_claim (struct jc_ledger *ledger, const struct rpc_claim *claim,
                        void *call, int64_t now_ms)
{
  ledger->now_ms = now_ms;
  if (ledger->state != JC_LEDGER_SERVING || !ledger_can_grant (ledger))
    reply_now (ledger, call, RPC_CLAIM_RECOVERING);
  else
    claim_decide (ledger, claim, call);
}

/* Decide the claims anew that wait for the key of ID.  */
static void
wake_parked (struct jc_ledger *ledger, const unsigned char *id)
{
  GPtrArray *woken = g_ptr_array_new_with_free_func (parked_free);

  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct parked *parked = g_ptr_array_index (ledger->waiting_claims, i);

      if (memcmp (parked->id, id, JC_KEY_ID_BYTES) == 0)
        g_ptr_array_insert (
            woken, 0, g_ptr_array_steal_index (ledger->waiting_claims, i));
    }
  for (guint i = 0; i < woken->len; i++)
    {
      struct parked *parked = g_ptr_array_index (woken, i);

      if (ledger->state == JC_LEDGER_SERVING)
        claim_decide (ledger, &parked->claim, parked->call);
      else
        ledger->ops->drop_call (ledger->ctx, parked->call);
    }
  g_ptr_array_free (woken, TRUE);
}

/* The owner of the claim CLAIM_ID gave it up: its messages that are still
   under way, or wait here, must not be granted to nobody.  */
static void
claim_end (struct jc_ledger *ledger, const char *claim_id)
{
  int64_t *until_ms = g_new (int64_t, 1);

  *until_ms = ledger->now_ms + RELEASED_MS;
  g_hash_table_replace (ledger->released_claims, g_strdup (claim_id), until_ms);
  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct parked *parked = g_ptr_array_index (ledger->waiting_claims, i);

      if (strcmp (parked->claim.claim_id, claim_id) != 0)
        continue;
      reply_now (ledger, parked->call, RPC_CLAIM_REFUSED);
      g_ptr_array_remove_index (ledger->waiting_claims, i);
    }
}

static void
released_expire (struct jc_ledger *ledger)
{
  GHashTableIter iter;
  gpointer until_ms;

  g_hash_table_iter_init (&iter, ledger->released_claims);
  while (g_hash_table_iter_next (&iter, NULL, &until_ms))
    if (ledger->now_ms >= *(const int64_t *)until_ms)
      g_hash_table_iter_remove (&iter);
}

static void
park_expire (struct jc_ledger *ledger)
{
  for (guint i = ledger->waiting_claims->len; i-- > 0;)
    {
      struct parked *parked = g_ptr_array_index (ledger->waiting_claims, i);

      if (ledger->now_ms < parked->until_ms)
        continue;
      reply_now (ledger, parked->call, RPC_CLAIM_IN_PROGRESS);
      g_ptr_array_remove_index (ledger->waiting_claims, i);
    }
}

static void
key_done (struct jc_ledger *ledger, struct jc_key *key,
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
key_set_state (struct jc_ledger *ledger, struct jc_key *key,
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

/* Take RESULT of the claim that KEY belongs to.  A result outranks an
   outcome that was given up as unknown, and nothing outranks a result.  */
static void
result_of_claim (struct jc_ledger *ledger, struct jc_key *key,
                 const struct rpc_result *result)
{
  bool open = key->state == JC_KEY_GRANTED || key->state == JC_KEY_UNKNOWN;

  if (result->outcome == JC_RUN && key->state != JC_KEY_DONE)
    key_done (ledger, key, result);
  else if (result->outcome == JC_NOT_RUN && open)
    key_set_state (ledger, key, JC_KEY_FREE);
  else if (result->outcome == JC_RUN_UNKNOWN && key->state == JC_KEY_GRANTED)
    key_set_state (ledger, key, JC_KEY_UNKNOWN);
}

/* Take RESULT of a claim that this ledger does not know: it never came, or
   its record was lost and the loss accepted.  Its claim id is kept, so that a
   claim that arrives late is refused.  */
static void
result_of_stranger (struct jc_ledger *ledger, struct jc_key *key,
                    const struct rpc_result *result)
{
  if (key->state != JC_KEY_FREE)
    return;
  key_name (key, result->product, result->route, result->key, result->claim_id);
  if (result->outcome == JC_RUN)
    key_done (ledger, key, result);
  else
    key_set_state (ledger, key,
                   result->outcome == JC_NOT_RUN ? JC_KEY_FREE
                                                 : JC_KEY_UNKNOWN);
}

/* Take RESULT, which came with CALL.  A ledger that does not serve gives CALL
   back without a reply, for the owner to send it again.  */
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
    claim_end (ledger, result->claim_id);
  jc_key_id (id, result->product, result->route, result->key);
  key = jc_keytable_get_or_add (ledger->key_table, id);
  if (strcmp (key->claim_id, result->claim_id) == 0)
    result_of_claim (ledger, key, result);
  else
    result_of_stranger (ledger, key, result);
  if (ledger->state != JC_LEDGER_SERVING)
    {
      ledger->ops->drop_call (ledger->ctx, call);
      return;
    }
  reply = g_new0 (struct reply, 1);
  reply->call = call;
  reply->is_result = true;
  reply->need = key->sequence;
  g_queue_push_tail (&ledger->replies, reply);
  if (key->state != JC_KEY_GRANTED)
    wake_parked (ledger, id);
}

/* Sync what was recorded since the last flush, send it to the copies and
   release what only waited for the disk.  */
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

/* Tell whether the owner of the claim CLAIM_ID, "NAME/INCARNATION/COUNTER",
   is lost: replaced, or away for longer than the limit.  */
static bool
owner_lost (const struct jc_ledger *ledger, const char *claim_id)
{
  char **parts = g_strsplit (claim_id, "/", 3);
  const struct peer *peer = parts[0] != NULL && parts[1] != NULL
                                ? ledger_find_peer (ledger, parts[0])
                                : NULL;
  uint64_t incarnation
      = peer != NULL ? g_ascii_strtoull (parts[1], NULL, 10) : 0;
  int64_t since = ledger->serving_since_ms;
  bool here = peer != NULL && peer->connected;

  if (peer != NULL)
    since = MAX (since, peer->conn_changed_ms);
  g_strfreev (parts);
  if (here)
    return peer->incarnation != incarnation;
  return ledger->now_ms - since >= ledger->options.owner_lost_ms;
}

static void
owners_expire (struct jc_ledger *ledger)
{
  GList *keys = g_hash_table_get_keys (ledger->granted);

  for (GList *at = keys; at != NULL; at = at->next)
    {
      struct jc_key *key = at->data;

      if (ledger->state != JC_LEDGER_SERVING
          || !owner_lost (ledger, key->claim_id))
        continue;
      key_set_state (ledger, key, JC_KEY_UNKNOWN);
      wake_parked (ledger, key->id);
    }
  g_list_free (keys);
}

static void
collect_ended (gpointer data, gpointer list)
{
  const struct jc_key *key = data;

  if (key->state == JC_KEY_DONE || key->state == JC_KEY_FREE)
    g_ptr_array_add (list, data);
}

/* Drop the answer of KEY, or KEY itself, where it is past its retention.  */
static void
key_retain (struct jc_ledger *ledger, struct jc_key *key)
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
retention_sweep (struct jc_ledger *ledger)
{
  GPtrArray *ended;

  if (ledger->now_ms - ledger->last_sweep_ms < SWEEP_MS)
    return;
  ledger->last_sweep_ms = ledger->now_ms;
  released_expire (ledger);
  ended = g_ptr_array_new ();
  jc_keytable_foreach (ledger->key_table, collect_ended, ended);
  for (guint i = 0; i < ended->len && ledger->state == JC_LEDGER_SERVING; i++)
    key_retain (ledger, g_ptr_array_index (ended, i));
  g_ptr_array_free (ended, TRUE);
}

/* Do what is due at NOW_MS.  */
void
jc_ledger_tick (struct jc_ledger *ledger, int64_t now_ms, int64_t wall_ms)
{
  ledger->now_ms = now_ms;
  ledger->wall_ms = wall_ms;
  ledger_copyset_tick (ledger);
  if (ledger->state != JC_LEDGER_SERVING)
    return;
  park_expire (ledger);
  owners_expire (ledger);
  retention_sweep (ledger);
  jc_ledger_flush (ledger);
  if (ledger->state == JC_LEDGER_SERVING
      && jc_journal_size (ledger->journal)
             > COMPACT_BYTES + 2 * ledger->compacted_bytes)
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
add_granted (gpointer data, gpointer ctx)
{
  const struct jc_key *key = data;

  if (key->state == JC_KEY_GRANTED)
    g_hash_table_add (ctx, data);
}

/* Find the granted keys anew.  */
void
ledger_index_granted (struct jc_ledger *ledger)
{
  g_hash_table_remove_all (ledger->granted);
  jc_keytable_foreach (ledger->key_table, add_granted, ledger->granted);
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

/* Open the ledger on DISK.  It grants nothing before the replicated log's
   entry names its disk.  Return NULL and set STATUS where it can't be
   opened.  */
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
  ledger->waiting_claims = g_ptr_array_new_with_free_func (parked_free);
  ledger->pending_members = g_ptr_array_new_with_free_func (member_free);
  ledger->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  ledger->released_claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&ledger->replies);
  ledger->disk = DISK_EMPTY;
  ledger->journal = jc_journal_open (disk, JOURNAL, replay, ledger, status);
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

/* Free LEDGER; calls without a reply are given back.  */
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

/* Return what LEDGER may do now.  */
enum jc_ledger_state
jc_ledger_state (const struct jc_ledger *ledger)
{
  return ledger->state;
}

/* Return the name of STATE as operators see it.  */
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

/* Return the keys of LEDGER, for operators.  */
const struct jc_keytable *
jc_ledger_keys (const struct jc_ledger *ledger)
{
  return ledger->key_table;
}

/* Return the counts of LEDGER.  */
const struct jc_ledger_counts *
jc_ledger_counts (const struct jc_ledger *ledger)
{
  return &ledger->counts;
}
