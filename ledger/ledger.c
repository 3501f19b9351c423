/* Ledger of a home region: claims, results and their records.

   Every change of a key appends one record.  A reply that depends on a record
   waits until the record is synced to the local disk and acknowledged by
   every member of the copy set, so that the ledger can be rebuilt from any
   one member after its disk is lost.  Records appended between two flushes
   share one sync.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  /* The journal is rewritten once it exceeds this plus twice its size after the
     last rewrite.  */
  COMPACT_MIN_BYTES = 8 * 1024 * 1024,
  SWEEP_INTERVAL_MS = 60000
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

/* Enter JC_LEDGER_FAILED after a storage error.  The content of the disk is
   unknown then, so all calls are dropped without a reply.  */
void
ledger_fail (struct jc_ledger *ledger)
{
  ledger->state = JC_LEDGER_FAILED;
  ledger_drop_calls (ledger);
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
      ledger_set_key_state (ledger, key, JC_KEY_UNKNOWN);
      ledger_retry_waiting_claims (ledger, key->id);
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
      ledger_write_key (ledger, key);
      jc_keytable_remove (ledger->key_table, key->id);
    }
  else if (key->state == JC_KEY_DONE && key->key != NULL
           && age >= ledger->options.answer_keep_ms)
    {
      g_clear_pointer (&key->answer, g_bytes_unref);
      g_clear_pointer (&key->key, g_free);
      ledger_write_key (ledger, key);
    }
}

static void
sweep_retention (struct jc_ledger *ledger)
{
  GPtrArray *expirable;

  if (ledger->now_ms - ledger->last_sweep_ms < SWEEP_INTERVAL_MS)
    return;
  ledger->last_sweep_ms = ledger->now_ms;
  ledger_expire_released_claims (ledger);
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
  ledger_expire_waiting_claims (ledger);
  settle_lost_owners (ledger);
  sweep_retention (ledger);
  jc_ledger_flush (ledger);
  if (ledger->state == JC_LEDGER_SERVING
      && jc_journal_size (ledger->journal)
             > COMPACT_MIN_BYTES + 2 * ledger->compacted_bytes)
    ledger_rewrite (ledger);
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
  ledger->waiting_claims
      = g_ptr_array_new_with_free_func (ledger_waiting_claim_free);
  ledger->pending_members = g_ptr_array_new_with_free_func (member_free);
  ledger->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  ledger->released_claims
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&ledger->replies);
  ledger->disk = DISK_EMPTY;
  ledger->journal
      = jc_journal_open (disk, JOURNAL_NAME, ledger_replay, ledger, status);
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
