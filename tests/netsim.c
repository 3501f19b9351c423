/* A network on virtual time.  */

#include <string.h>

#include "tests/netsim.h"

enum
{
  RECORD_OVERHEAD_BYTES = 20,
  HEARTBEAT_BYTES = 68
};

/* An encoded message under way.  */
struct flight
{
  char *from;
  char *to;
  int64_t arrives_ms;
  uint64_t serial;
  GByteArray *bytes;
};

struct netsim
{
  netsim_deliver_fn *deliver;
  void *ctx;
  GSequence *flights;
  GHashTable *cuts;
  GHashTable *losses;
  GHashTable *sent;
  GHashTable *received;
  GHashTable *talked;
  uint64_t messages;
};

static void
flight_free (gpointer data)
{
  struct flight *flight = data;

  g_free (flight->from);
  g_free (flight->to);
  g_byte_array_free (flight->bytes, TRUE);
  g_free (flight);
}

/* Return a network that delivers to DELIVER with CTX.  */
struct netsim *
netsim_new (netsim_deliver_fn *deliver, void *ctx)
{
  struct netsim *net = g_new0 (struct netsim, 1);

  net->deliver = deliver;
  net->ctx = ctx;
  net->flights = g_sequence_new (flight_free);
  net->cuts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->losses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  net->sent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net->received
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  net->talked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return net;
}

/* Free NET and what is under way.  */
void
netsim_free (struct netsim *net)
{
  g_sequence_free (net->flights);
  g_hash_table_destroy (net->cuts);
  g_hash_table_destroy (net->losses);
  g_hash_table_destroy (net->sent);
  g_hash_table_destroy (net->received);
  g_hash_table_destroy (net->talked);
  g_free (net);
}

static char *
way (const char *from, const char *to)
{
  return g_strconcat (from, ">", to, NULL);
}

static void
count (GHashTable *table, const char *node, uint64_t bytes)
{
  uint64_t *sum = g_hash_table_lookup (table, node);

  if (sum == NULL)
    {
      sum = g_new0 (uint64_t, 1);
      g_hash_table_insert (table, g_strdup (node), sum);
    }
  *sum += bytes;
}

/* Drop (CUT) or carry what nodes A and B send each other.  */
void
netsim_set_cut (struct netsim *net, const char *a, const char *b, bool cut)
{
  char *ways[] = { way (a, b), way (b, a) };

  for (size_t i = 0; i < G_N_ELEMENTS (ways); i++)
    {
      if (cut)
        g_hash_table_add (net->cuts, g_strdup (ways[i]));
      else
        g_hash_table_remove (net->cuts, ways[i]);
      g_free (ways[i]);
    }
}

/* Tell whether what A sends B is dropped.  */
bool
netsim_is_cut (const struct netsim *net, const char *a, const char *b)
{
  char *path = way (a, b);
  bool cut = g_hash_table_contains (net->cuts, path);

  g_free (path);
  return cut;
}

/* Lose the next COUNT messages from FROM to TO.  */
void
netsim_drop_next (struct netsim *net, const char *from, const char *to,
                  unsigned int count)
{
  g_hash_table_replace (net->losses, way (from, to), GUINT_TO_POINTER (count));
}

static bool
is_lost (struct netsim *net, const char *from, const char *to)
{
  char *path = way (from, to);
  guint left = GPOINTER_TO_UINT (g_hash_table_lookup (net->losses, path));
  bool cut = g_hash_table_contains (net->cuts, path);

  if (left > 0)
    g_hash_table_replace (net->losses, g_strdup (path),
                          GUINT_TO_POINTER (left - 1));
  g_free (path);
  return cut || left > 0;
}

static gint
compare_flights (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct flight *left = a;
  const struct flight *right = b;

  (void)ctx;
  if (left->arrives_ms != right->arrives_ms)
    return left->arrives_ms < right->arrives_ms ? -1 : 1;
  return left->serial < right->serial ? -1 : left->serial > right->serial;
}

/* Send PACKET, which arrives at ARRIVES_MS unless it is lost.  */
void
netsim_send (struct netsim *net, const char *from, const char *to,
             struct rpc_packet *packet, int64_t arrives_ms)
{
  struct flight *flight;
  unsigned long size;
  XDR xdr;

  packet->head.group = (char *)"";
  packet->head.sender = (char *)"";
  size = xdr_sizeof ((xdrproc_t)xdr_rpc_packet, packet);
  count (net->sent, from, size + RECORD_OVERHEAD_BYTES);
  net->messages++;
  g_hash_table_add (net->talked, way (from, to));
  if (is_lost (net, from, to))
    return;
  count (net->received, to, size + RECORD_OVERHEAD_BYTES);
  flight = g_new0 (struct flight, 1);
  flight->from = g_strdup (from);
  flight->to = g_strdup (to);
  flight->arrives_ms = arrives_ms;
  flight->bytes = g_byte_array_new ();
  g_byte_array_set_size (flight->bytes, (guint)size);
  xdrmem_create (&xdr, (char *)flight->bytes->data, (u_int)size, XDR_ENCODE);
  g_assert_true (xdr_rpc_packet (&xdr, packet));
  xdr_destroy (&xdr);
  flight->serial = net->messages;
  g_sequence_insert_sorted (net->flights, flight, compare_flights, NULL);
}

/* Count a heartbeat from FROM to TO, unless a message went that way since the
   last one.  */
void
netsim_heartbeat (struct netsim *net, const char *from, const char *to)
{
  char *path = way (from, to);

  if (!g_hash_table_remove (net->talked, path))
    {
      count (net->sent, from, HEARTBEAT_BYTES);
      count (net->received, to, HEARTBEAT_BYTES);
    }
  g_free (path);
}

static void
flight_land (struct netsim *net, struct flight *flight)
{
  struct rpc_packet packet;
  XDR xdr;

  memset (&packet, 0, sizeof packet);
  xdrmem_create (&xdr, (char *)flight->bytes->data, flight->bytes->len,
                 XDR_DECODE);
  g_assert_true (xdr_rpc_packet (&xdr, &packet));
  xdr_destroy (&xdr);
  net->deliver (net->ctx, flight->from, flight->to, &packet);
  xdr_free ((xdrproc_t)xdr_rpc_packet, (char *)&packet);
}

/* Deliver what has arrived by NOW_MS, in the order of its arrival.  */
void
netsim_deliver_due (struct netsim *net, int64_t now_ms)
{
  while (!g_sequence_is_empty (net->flights))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (net->flights);

      if (((struct flight *)g_sequence_get (first))->arrives_ms > now_ms)
        return;
      flight_land (net, g_sequence_get (first));
      g_sequence_remove (first);
    }
}

static uint64_t
counted (GHashTable *table, const char *node)
{
  const uint64_t *sum = g_hash_table_lookup (table, node);

  return sum != NULL ? *sum : 0;
}

/* Return the bytes that NODE sent.  */
uint64_t
netsim_sent_bytes (const struct netsim *net, const char *node)
{
  return counted (net->sent, node);
}

/* Return the bytes that NODE received.  */
uint64_t
netsim_received_bytes (const struct netsim *net, const char *node)
{
  return counted (net->received, node);
}

/* Return the number of messages sent.  */
uint64_t
netsim_message_count (const struct netsim *net)
{
  return net->messages;
}
