/* Simulated network on virtual time.  */

#include <string.h>

#include "tests/netsim.h"

enum
{
  RECORD_OVERHEAD_BYTES = 20,
  HEARTBEAT_BYTES = 68
};

/* An encoded message in transit.  SERIAL keeps messages that arrive at the same
   time in the order in which they were sent.  */
struct message
{
  char *from;
  char *to;
  int64_t arrives_ms;
  uint64_t serial;
  GByteArray *bytes;
};

/* CUT_PATHS, DROPS_LEFT and ACTIVE_PATHS are by path, "from>to"; SENT and
   RECEIVED map nodes to bytes.  ACTIVE_PATHS had a message since their last
   heartbeat.  */
struct netsim
{
  netsim_deliver_fn *deliver;
  void *ctx;
  GSequence *in_transit;
  GHashTable *cut_paths;
  GHashTable *drops_left;
  GHashTable *sent;
  GHashTable *received;
  GHashTable *active_paths;
  uint64_t message_count;
};

static void
message_free (gpointer data)
{
  struct message *message = data;

  g_free (message->from);
  g_free (message->to);
  g_byte_array_free (message->bytes, TRUE);
  g_free (message);
}

/* Return a network that calls DELIVER with CTX for each message, to be freed
   with netsim_free.  */
struct netsim *
netsim_new (netsim_deliver_fn *deliver, void *ctx)
{
  struct netsim *net = g_new0 (struct netsim, 1);

  net->deliver = deliver;
  net->ctx = ctx;
  net->in_transit = g_sequence_new (message_free);
  net->cut_paths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->drops_left
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net->received
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net->active_paths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return net;
}

/* Free NET and the messages in transit.  */
void
netsim_free (struct netsim *net)
{
  g_sequence_free (net->in_transit);
  g_hash_table_destroy (net->cut_paths);
  g_hash_table_destroy (net->drops_left);
  g_hash_table_destroy (net->sent);
  g_hash_table_destroy (net->received);
  g_hash_table_destroy (net->active_paths);
  g_free (net);
}

static char *
path_key (const char *from, const char *to)
{
  return g_strconcat (from, ">", to, NULL);
}

static void
add_bytes (GHashTable *table, const char *node, uint64_t bytes)
{
  uint64_t *sum = g_hash_table_lookup (table, node);

  if (sum == NULL)
    {
      sum = g_new0 (uint64_t, 1);
      g_hash_table_insert (table, g_strdup (node), sum);
    }
  *sum += bytes;
}

/* Drop all messages between the nodes A and B if CUT, else deliver them.  */
void
netsim_set_cut (struct netsim *net, const char *a, const char *b, bool cut)
{
  char *paths[] = { path_key (a, b), path_key (b, a) };

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      if (cut)
        g_hash_table_add (net->cut_paths, g_strdup (paths[i]));
      else
        g_hash_table_remove (net->cut_paths, paths[i]);
      g_free (paths[i]);
    }
}

/* Return whether all messages from A to B are dropped.  */
bool
netsim_is_cut (const struct netsim *net, const char *a, const char *b)
{
  char *path = path_key (a, b);
  bool cut = g_hash_table_contains (net->cut_paths, path);

  g_free (path);
  return cut;
}

/* Drop the next COUNT messages from FROM to TO.  */
void
netsim_drop_next (struct netsim *net, const char *from, const char *to,
                  unsigned int count)
{
  g_hash_table_replace (net->drops_left, path_key (from, to),
                        GUINT_TO_POINTER (count));
}

/* Return whether the next message from FROM to TO is dropped, and count it as
   one of those to be dropped.  */
static bool
drop_message (struct netsim *net, const char *from, const char *to)
{
  char *path = path_key (from, to);
  guint left = GPOINTER_TO_UINT (g_hash_table_lookup (net->drops_left, path));
  bool cut = g_hash_table_contains (net->cut_paths, path);

  if (left > 0)
    g_hash_table_replace (net->drops_left, g_strdup (path),
                          GUINT_TO_POINTER (left - 1));
  g_free (path);
  return cut || left > 0;
}

static gint
compare_messages (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct message *left = a;
  const struct message *right = b;

  (void)ctx;
  if (left->arrives_ms != right->arrives_ms)
    return left->arrives_ms < right->arrives_ms ? -1 : 1;
  return left->serial < right->serial ? -1 : left->serial > right->serial;
}

/* Send PACKET from FROM to TO.  It arrives at ARRIVES_MS unless dropped.  */
void
netsim_send (struct netsim *net, const char *from, const char *to,
             struct rpc_packet *packet, int64_t arrives_ms)
{
  struct message *message;
  unsigned long size;
  XDR xdr;

  packet->head.group = (char *)"";
  packet->head.sender = (char *)"";
  size = xdr_sizeof ((xdrproc_t)xdr_rpc_packet, packet);
  add_bytes (net->sent, from, size + RECORD_OVERHEAD_BYTES);
  net->message_count++;
  g_hash_table_add (net->active_paths, path_key (from, to));
  if (drop_message (net, from, to))
    return;
  add_bytes (net->received, to, size + RECORD_OVERHEAD_BYTES);
  message = g_new0 (struct message, 1);
  message->from = g_strdup (from);
  message->to = g_strdup (to);
  message->arrives_ms = arrives_ms;
  message->bytes = g_byte_array_new ();
  g_byte_array_set_size (message->bytes, (guint)size);
  xdrmem_create (&xdr, (char *)message->bytes->data, (u_int)size, XDR_ENCODE);
  g_assert_true (xdr_rpc_packet (&xdr, packet));
  xdr_destroy (&xdr);
  message->serial = net->message_count;
  g_sequence_insert_sorted (net->in_transit, message, compare_messages, NULL);
}

/* Count the bytes of a heartbeat from FROM to TO, unless a message was sent on
   that path since the last one.  */
void
netsim_heartbeat (struct netsim *net, const char *from, const char *to)
{
  char *path = path_key (from, to);

  if (!g_hash_table_remove (net->active_paths, path))
    {
      add_bytes (net->sent, from, HEARTBEAT_BYTES);
      add_bytes (net->received, to, HEARTBEAT_BYTES);
    }
  g_free (path);
}

static void
message_deliver (struct netsim *net, struct message *message)
{
  struct rpc_packet packet;
  XDR xdr;

  memset (&packet, 0, sizeof packet);
  xdrmem_create (&xdr, (char *)message->bytes->data, message->bytes->len,
                 XDR_DECODE);
  g_assert_true (xdr_rpc_packet (&xdr, &packet));
  xdr_destroy (&xdr);
  net->deliver (net->ctx, message->from, message->to, &packet);
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)&packet);
}

/* Deliver the messages that arrive until NOW_MS, in order of arrival.  */
void
netsim_deliver_due (struct netsim *net, int64_t now_ms)
{
  while (!g_sequence_is_empty (net->in_transit))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (net->in_transit);

      if (((struct message *)g_sequence_get (first))->arrives_ms > now_ms)
        return;
      message_deliver (net, g_sequence_get (first));
      g_sequence_remove (first);
    }
}

static uint64_t
get_bytes (GHashTable *table, const char *node)
{
  const uint64_t *sum = g_hash_table_lookup (table, node);

  return sum != NULL ? *sum : 0;
}

/* Return the bytes that NODE sent, dropped messages included.  */
uint64_t
netsim_sent_bytes (const struct netsim *net, const char *node)
{
  return get_bytes (net->sent, node);
}

/* Return the bytes sent to NODE and not dropped.  */
uint64_t
netsim_received_bytes (const struct netsim *net, const char *node)
{
  return get_bytes (net->received, node);
}

/* Return the number of messages sent, dropped ones included.  */
uint64_t
netsim_message_count (const struct netsim *net)
{
  return net->message_count;
}
