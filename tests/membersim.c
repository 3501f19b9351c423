/* Simulated entry instances and endpoints on virtual time.  */

#include <string.h>

#include "tests/membersim.h"

enum
{
  STEP_MS = 10,
  TICK_MS = 100,
  LINKS_TICK_MS = 500,
  HEARTBEAT_INTERVAL_MS = 1000,
  DELAY_MS = 2,
  INTER_REGION_DELAY_MS = 80,
  LEASE_MS = 3000,
  REPORT_INTERVAL_MS = 1000,
  SLOTS = 8,
  TOKENS_PER_S = 400,
  ENDPOINT_OFFSET_MS = 7
};

static int64_t
delay_ms (const struct membersim_node *node, const char *peer)
{
  const struct membersim_node *other = membersim_find_node (node->sim, peer);

  return strcmp (node->region, other->region) == 0 ? DELAY_MS
                                                   : INTER_REGION_DELAY_MS;
}

static void
node_send (void *ctx, const char *peer, struct rpc_zone_delta *delta)
{
  struct membersim_node *node = ctx;
  struct rpc_packet packet = { .body.type = RPC_ZONE_DELTA };

  packet.body.rpc_body_u.zone_delta = *delta;
  netsim_send (node->sim->net, node->name, peer, &packet,
               node->sim->now_ms + delay_ms (node, peer));
}

static void
node_send_summary (void *ctx, const char *peer,
                   struct rpc_region_summary *summary)
{
  struct membersim_node *node = ctx;
  struct rpc_packet packet = { .body.type = RPC_REGION_SUMMARY };

  packet.body.rpc_body_u.region_summary = *summary;
  netsim_send (node->sim->net, node->name, peer, &packet,
               node->sim->now_ms + delay_ms (node, peer));
}

static const struct jc_zone_sync_class zone_class = { .send = node_send };
static const struct jc_summaries_class summaries_class
    = { .send = node_send_summary };

static void
sim_deliver (void *ctx, const char *from, const char *to,
             const struct rpc_packet *packet)
{
  struct membersim *sim = ctx;
  struct membersim_node *node = membersim_find_node (sim, to);

  if (packet->body.type == RPC_ZONE_DELTA)
    jc_zone_sync_receive (node->zone_sync, from,
                          &packet->body.rpc_body_u.zone_delta, sim->now_ms);
  else
    jc_summaries_receive (node->summaries, from,
                          &packet->body.rpc_body_u.region_summary, sim->now_ms);
}

static bool
connected (const struct membersim *sim, const char *dialer,
           const char *listener)
{
  char *key = g_strconcat (dialer, ">", listener, NULL);
  bool found = g_hash_table_contains (sim->connections, key);

  g_free (key);
  return found;
}

static void
notify_links (struct membersim_node *node, const char *peer)
{
  jc_links_set_connected (node->links, peer,
                          connected (node->sim, node->name, peer),
                          connected (node->sim, peer, node->name));
}

static void
notify_up (struct membersim_node *node, const struct membersim_node *peer)
{
  int64_t now = node->sim->now_ms;

  notify_links (node, peer->name);
  if (strcmp (node->zone, peer->zone) == 0)
    jc_zone_sync_peer_up (node->zone_sync, peer->name, peer->incarnation, now);
  else
    jc_summaries_peer_up (node->summaries, peer->name, peer->region, peer->zone,
                          peer->incarnation, now);
}

static void
notify_down (struct membersim_node *node, const struct membersim_node *peer)
{
  notify_links (node, peer->name);
  if (connected (node->sim, node->name, peer->name)
      || connected (node->sim, peer->name, node->name))
    return;
  jc_zone_sync_peer_down (node->zone_sync, peer->name);
  jc_summaries_peer_down (node->summaries, peer->name);
}

static void
connect_nodes (struct membersim_node *dialer, struct membersim_node *listener)
{
  struct membersim *sim = dialer->sim;

  if (netsim_is_cut (sim->net, dialer->name, listener->name)
      || connected (sim, dialer->name, listener->name))
    return;
  g_hash_table_add (sim->connections,
                    g_strconcat (dialer->name, ">", listener->name, NULL));
  notify_up (dialer, listener);
  notify_up (listener, dialer);
}

static void
disconnect_nodes (struct membersim_node *dialer,
                  struct membersim_node *listener)
{
  char *key = g_strconcat (dialer->name, ">", listener->name, NULL);

  if (g_hash_table_remove (dialer->sim->connections, key))
    {
      notify_down (dialer, listener);
      notify_down (listener, dialer);
    }
  g_free (key);
}

static void
node_dial (void *ctx, const char *peer)
{
  struct membersim_node *node = ctx;

  g_hash_table_add (node->dial_targets, g_strdup (peer));
}

static void
node_disconnect (void *ctx, const char *peer)
{
  struct membersim_node *node = ctx;

  g_hash_table_remove (node->dial_targets, peer);
  disconnect_nodes (node, membersim_find_node (node->sim, peer));
}

static const struct jc_links_class links_class
    = { .dial = node_dial, .disconnect = node_disconnect };

/* Run the connection plan of NODE, and connect it to its dial targets that are
   not cut off.  */
static void
node_connect (struct membersim_node *node)
{
  GHashTableIter iter;
  gpointer name;

  jc_links_tick (node->links, node->sim->now_ms);
  g_hash_table_iter_init (&iter, node->dial_targets);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    connect_nodes (node, membersim_find_node (node->sim, name));
}

/* Return a simulation without nodes, to be freed with membersim_free.  */
struct membersim *
membersim_new (void)
{
  struct membersim *sim = g_new0 (struct membersim, 1);

  sim->net = netsim_new (sim_deliver, sim);
  sim->nodes = g_ptr_array_new ();
  sim->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  sim->connections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim->endpoints = g_ptr_array_new ();
  return sim;
}

static void
node_start (struct membersim_node *node)
{
  struct jc_local_instance self = { .name = node->name,
                                    .region = node->region,
                                    .zone = node->zone,
                                    .callers_address = "",
                                    .incarnation = ++node->incarnation };
  struct jc_member_tables tables;

  node->endpoints = jc_endpoints_new ();
  node->regions = jc_regions_new ();
  tables.endpoints = node->endpoints;
  tables.regions = node->regions;
  node->zone_sync = jc_zone_sync_new (&self, &tables, &zone_class, node);
  node->summaries = jc_summaries_new (&self, &tables, &summaries_class, node);
  node->links
      = jc_links_new (node->name, node->region, node->zone, &links_class, node);
  node->dial_targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static void
node_stop (struct membersim_node *node)
{
  jc_links_free (node->links);
  jc_summaries_free (node->summaries);
  jc_zone_sync_free (node->zone_sync);
  jc_endpoints_free (node->endpoints);
  jc_regions_free (node->regions);
  g_hash_table_destroy (node->dial_targets);
}

/* Free SIM with its nodes and endpoints.  */
void
membersim_free (struct membersim *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      struct membersim_node *node = g_ptr_array_index (sim->nodes, i);

      node_stop (node);
      g_free (node->name);
      g_free (node->region);
      g_free (node->zone);
      g_free (node);
    }
  for (guint i = 0; i < sim->endpoints->len; i++)
    {
      struct membersim_endpoint *endpoint
          = g_ptr_array_index (sim->endpoints, i);

      g_free (endpoint->name);
      g_strfreev (endpoint->entries);
      g_free (endpoint);
    }
  g_hash_table_destroy (sim->connections);
  g_hash_table_destroy (sim->by_name);
  g_ptr_array_free (sim->nodes, TRUE);
  g_ptr_array_free (sim->endpoints, TRUE);
  netsim_free (sim->net);
  g_free (sim);
}

static void
node_add_peers (struct membersim_node *node)
{
  for (guint i = 0; i < node->sim->nodes->len; i++)
    {
      const struct membersim_node *other
          = g_ptr_array_index (node->sim->nodes, i);

      jc_links_add_peer (node->links, other->name, other->region, other->zone);
      jc_links_add_peer (other->links, node->name, node->region, node->zone);
    }
}

/* Add and start the instance NAME in ZONE of REGION, which accepts callers.  */
struct membersim_node *
membersim_add_node (struct membersim *sim, const char *name, const char *region,
                    const char *zone)
{
  struct membersim_node *node = g_new0 (struct membersim_node, 1);

  node->sim = sim;
  node->name = g_strdup (name);
  node->region = g_strdup (region);
  node->zone = g_strdup (zone);
  node_start (node);
  node_add_peers (node);
  g_ptr_array_add (sim->nodes, node);
  g_hash_table_insert (sim->by_name, node->name, node);
  membersim_node_accept_callers (node);
  return node;
}

/* Return the instance NAME, or NULL if there is none.  */
struct membersim_node *
membersim_find_node (struct membersim *sim, const char *name)
{
  return g_hash_table_lookup (sim->by_name, name);
}

/* Close the connections between A and B, whichever dialled.  */
void
membersim_disconnect (struct membersim *sim, const char *a, const char *b)
{
  struct membersim_node *left = membersim_find_node (sim, a);
  struct membersim_node *right = membersim_find_node (sim, b);

  disconnect_nodes (left, right);
  disconnect_nodes (right, left);
}

/* Count the bytes of a heartbeat in each direction of all connections.  */
static void
sim_heartbeat (struct membersim *sim)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, sim->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      char **ends = g_strsplit (key, ">", 2);

      netsim_heartbeat (sim->net, ends[0], ends[1]);
      netsim_heartbeat (sim->net, ends[1], ends[0]);
      g_strfreev (ends);
    }
}

/* Return the number of connections of NODE, dialled or accepted.  */
unsigned int
membersim_node_connections (const struct membersim_node *node)
{
  unsigned int count = 0;

  for (guint i = 0; i < node->sim->nodes->len; i++)
    {
      const struct membersim_node *other
          = g_ptr_array_index (node->sim->nodes, i);

      count += connected (node->sim, node->name, other->name);
      count += connected (node->sim, other->name, node->name);
    }
  return count;
}

/* Restart the instance NAME with empty tables.  It accepts no callers yet.  */
void
membersim_restart_node (struct membersim *sim, const char *name)
{
  struct membersim_node *node = membersim_find_node (sim, name);

  for (guint i = 0; i < sim->nodes->len; i++)
    membersim_disconnect (
        sim, name,
        ((struct membersim_node *)g_ptr_array_index (sim->nodes, i))->name);
  node_stop (node);
  node_start (node);
  node_add_peers (node);
}

/* Let NODE accept callers.  */
void
membersim_node_accept_callers (struct membersim_node *node)
{
  jc_zone_sync_accept_callers (node->zone_sync, "10.0.0.1:8000",
                               node->sim->now_ms);
  jc_summaries_accept_callers (node->summaries, "10.0.0.1:8000");
}

/* Let NODE drain.  */
void
membersim_node_drain (struct membersim_node *node)
{
  jc_zone_sync_drain (node->zone_sync, node->sim->now_ms);
  jc_summaries_drain (node->summaries);
}

/* Add the endpoint NAME that runs as INCARNATION and reports to ENTRIES, a
   comma-separated list of instances.  */
struct membersim_endpoint *
membersim_add_endpoint (struct membersim *sim, const char *name,
                        uint64_t incarnation, const char *entries)
{
  struct membersim_endpoint *endpoint = g_new0 (struct membersim_endpoint, 1);

  endpoint->name = g_strdup (name);
  endpoint->incarnation = incarnation;
  endpoint->entries = g_strsplit (entries, ",", -1);
  endpoint->next_report_ms
      = sim->now_ms
        + sim->endpoints->len * ENDPOINT_OFFSET_MS % REPORT_INTERVAL_MS;
  g_ptr_array_add (sim->endpoints, endpoint);
  return endpoint;
}

/* Return the endpoint NAME, or NULL if there is none.  */
struct membersim_endpoint *
membersim_find_endpoint (struct membersim *sim, const char *name)
{
  for (guint i = 0; i < sim->endpoints->len; i++)
    {
      struct membersim_endpoint *endpoint
          = g_ptr_array_index (sim->endpoints, i);

      if (strcmp (endpoint->name, name) == 0)
        return endpoint;
    }
  return NULL;
}

/* Return the number of busy slots that the endpoint NAME reports with SEQUENCE.
   It varies between reports and endpoints.  */
static unsigned int
varying_load (const char *name, uint64_t sequence)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, sequence);
  unsigned int load = (unsigned int)(jc_name_pair_hash (name, text) >> 32);

  g_free (text);
  return load % SLOTS;
}

/* Send one report of the endpoint NAME to the instance ENTRY.  Return its
   status.  */
enum jc_status
membersim_report (struct membersim *sim, const char *name, uint64_t incarnation,
                  uint64_t sequence, bool leaving, const char *entry)
{
  char *model = sim->model_count > 1 ? g_strdup_printf (
                    "assist-7b-v1-%u", g_str_hash (name) % sim->model_count)
                                     : g_strdup ("assist-7b-v1");
  enum jc_status status;
  struct membersim_node *node = membersim_find_node (sim, entry);
  struct rpc_endpoint report = { .name = (char *)name,
                                 .incarnation = incarnation,
                                 .sequence = sequence,
                                 .leaving = leaving,
                                 .address = (char *)"10.1.2.3:9000",
                                 .service = (char *)"assist-llm",
                                 .role = (char *)"any",
                                 .slots = SLOTS,
                                 .running = varying_load (name, sequence),
                                 .tokens_per_s = TOKENS_PER_S,
                                 .lease_ms = LEASE_MS };

  report.models.models_val = &model;
  report.models.models_len = 1;
  status = jc_zone_sync_report (node->zone_sync, &report, sim->now_ms);
  g_free (model);
  return status;
}

static void
endpoint_report (struct membersim *sim, struct membersim_endpoint *endpoint)
{
  endpoint->sequence++;
  for (char **entry = endpoint->entries; *entry != NULL; entry++)
    membersim_report (sim, endpoint->name, endpoint->incarnation,
                      endpoint->sequence, endpoint->leaving, *entry);
}

/* Let ENDPOINT report that it is leaving.  */
void
membersim_endpoint_leave (struct membersim *sim,
                          struct membersim_endpoint *endpoint)
{
  endpoint->leaving = true;
  endpoint_report (sim, endpoint);
}

static void
sim_step (struct membersim *sim)
{
  netsim_deliver_due (sim->net, sim->now_ms);
  if (sim->now_ms % HEARTBEAT_INTERVAL_MS == 0)
    sim_heartbeat (sim);
  for (guint i = 0; i < sim->endpoints->len; i++)
    {
      struct membersim_endpoint *endpoint
          = g_ptr_array_index (sim->endpoints, i);

      if (endpoint->silent || endpoint->next_report_ms > sim->now_ms)
        continue;
      endpoint->next_report_ms += REPORT_INTERVAL_MS;
      endpoint_report (sim, endpoint);
    }
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      struct membersim_node *node = g_ptr_array_index (sim->nodes, i);
      int64_t phase = (int64_t)i * STEP_MS;

      if ((sim->now_ms + phase) % LINKS_TICK_MS == 0)
        node_connect (node);
      if ((sim->now_ms + phase) % TICK_MS != 0)
        continue;
      jc_endpoints_expire (node->endpoints, sim->now_ms);
      jc_zone_sync_tick (node->zone_sync, sim->now_ms);
      jc_summaries_tick (node->summaries, sim->now_ms);
    }
}

/* Advance the clock by MS and run what is due.  */
void
membersim_run (struct membersim *sim, int64_t ms)
{
  int64_t until = sim->now_ms + ms;

  while (sim->now_ms < until)
    {
      sim->now_ms += STEP_MS;
      sim_step (sim);
    }
}

/* Return whether NODE would send new work to ENDPOINT.  */
bool
membersim_node_uses (const struct membersim_node *node, const char *endpoint)
{
  const struct jc_endpoint *known
      = jc_endpoints_find (node->endpoints, endpoint);

  return known != NULL && jc_endpoint_is_usable (known, node->sim->now_ms);
}
