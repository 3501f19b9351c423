/* Shares of other entry instances.  */

#include <string.h>

#include "serve/sharepeers.h"

enum
{
  /* An instance that holds slots, or holds none, reports at least twice in
   these times.  */
  FRESH_HELD_MS = 1200,
  FRESH_NONE_MS = 3500

};

/* What an instance reported of a service at RECEIVED_MS.  ROW's strings belong
   to it.  SENT counts the requests that this instance has handed to it
   since.  */
struct peer
{
  struct rpc_share row;
  int64_t received_ms;
  unsigned int sent;
};

/* PEERS maps "INSTANCE SERVICE" to struct peer.  */
struct jc_share_peers
{
  GHashTable *peers;
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->row.instance);
  g_free (peer->row.service);
  g_free (peer);
}

/* Return an empty table, to be freed with jc_share_peers_free.  */
struct jc_share_peers *
jc_share_peers_new (void)
{
  struct jc_share_peers *peers = g_new0 (struct jc_share_peers, 1);

  peers->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  return peers;
}

/* Free PEERS, which may be NULL.  */
void
jc_share_peers_free (struct jc_share_peers *peers)
{
  if (peers == NULL)
    return;
  g_hash_table_destroy (peers->peers);
  g_free (peers);
}

/* Store ROW, which its instance reported.  */
void
jc_share_peers_apply (struct jc_share_peers *peers, const struct rpc_share *row,
                      int64_t now_ms)
{
  char *key = g_strconcat (row->instance, " ", row->service, NULL);
  struct peer *peer = g_new0 (struct peer, 1);

  peer->row = *row;
  peer->row.instance = g_strdup (row->instance);
  peer->row.service = g_strdup (row->service);
  peer->received_ms = now_ms;
  g_hash_table_replace (peers->peers, key, peer);
}

static bool
is_fresh (const struct peer *peer, int64_t now_ms)
{
  return now_ms - peer->received_ms
         < (peer->row.slots > 0 ? FRESH_HELD_MS : FRESH_NONE_MS);
}

/* Return whether PEER's report counts, and is of SERVICE.  */
static bool
tells_of (const struct peer *peer, const char *service, int64_t now_ms)
{
  return is_fresh (peer, now_ms) && strcmp (peer->row.service, service) == 0;
}

/* Append to OUT the names, which belong to PEERS, of instances that know that
   SERVICE's slots are shared out and can lease slots, or with ALL of those that
   can't too.  */
void
jc_share_peers_list_names (const struct jc_share_peers *peers,
                           const char *service, bool all, int64_t now_ms,
                           GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (tells_of (peer, service, now_ms) && (all || !peer->row.unanswered))
        g_ptr_array_add (out, peer->row.instance);
    }
}

/* Append to OUT, an array of struct rpc_share, what other instances reported of
   SERVICE.  Their strings belong to PEERS.  */
void
jc_share_peers_list (const struct jc_share_peers *peers, const char *service,
                     int64_t now_ms, GArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (tells_of (peer, service, now_ms))
        g_array_append_val (out, peer->row);
    }
}

/* Return whether some other instance holds leased slots of SERVICE.  */
bool
jc_share_peers_have_leases (const struct jc_share_peers *peers,
                            const char *service, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct peer *peer = value;

      if (tells_of (peer, service, now_ms) && peer->row.slots > 0
          && !peer->row.unanswered)
        return true;
    }
  return false;
}

/* Return true if LEFT has fewer requests for its slots than RIGHT.  */
static bool
is_less_used (const struct jc_share_load *left,
              const struct jc_share_load *right)
{
  return (uint64_t)left->used * right->slots
         < (uint64_t)right->used * left->slots;
}

static struct jc_share_load
load_of (const struct peer *peer)
{
  return (struct jc_share_load){ .slots = peer->row.slots,
                                 .used = peer->row.used + peer->sent };
}

/* Return one of LIST, drawn at random by slots, SLOTS in all.  */
static struct peer *
draw (const GPtrArray *list, unsigned int slots)
{
  unsigned int left = (unsigned int)g_random_int_range (0, (gint32)slots);

  for (guint i = 0; i < list->len; i++)
    {
      struct peer *peer = g_ptr_array_index (list, i);

      if (left < peer->row.slots)
        return peer;
      left -= peer->row.slots;
    }
  return NULL;
}

/* Return the instance that should get a request for SERVICE: one with slots
   left, or any that has slots if this one, which has OWN, has none.  NULL if
   there is none.  Of two that are drawn, the one with fewer requests for its
   slots is taken: reports are older than requests take, so that the best one is
   no longer the best.  MAY_GET is called with CTX.  */
const char *
jc_share_peers_pick (struct jc_share_peers *peers, const char *service,
                     const struct jc_share_load *own, jc_share_peer_fn *may_get,
                     void *ctx, int64_t now_ms)
{
  GPtrArray *list = g_ptr_array_new ();
  unsigned int slots = 0;
  struct peer *best = NULL;
  struct jc_share_load best_load = *own;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, peers->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (!tells_of (peer, service, now_ms) || peer->row.slots == 0
          || !may_get (ctx, peer->row.instance))
        continue;
      slots += peer->row.slots;
      g_ptr_array_add (list, peer);
    }
  for (unsigned int i = 0; i < 2 && slots > 0; i++)
    {
      struct peer *drawn = draw (list, slots);
      struct jc_share_load load = load_of (drawn);

      if ((own->slots != 0 && load.used >= load.slots)
          || (best_load.slots != 0 && !is_less_used (&load, &best_load)))
        continue;
      best = drawn;
      best_load = load;
    }
  g_ptr_array_free (list, TRUE);
  return best != NULL ? best->row.instance : NULL;
}

/* Count a request for SERVICE that is handed over to INSTANCE now.  */
void
jc_share_peers_note_sent (struct jc_share_peers *peers, const char *instance,
                          const char *service)
{
  char *key = g_strconcat (instance, " ", service, NULL);
  struct peer *peer = g_hash_table_lookup (peers->peers, key);

  if (peer != NULL)
    peer->sent++;
  g_free (key);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return !is_fresh (value, *(const int64_t *)now_ms);
}

/* Forget what is too old to count.  */
void
jc_share_peers_expire (struct jc_share_peers *peers, int64_t now_ms)
{
  g_hash_table_foreach_remove (peers->peers, is_old, &now_ms);
}
