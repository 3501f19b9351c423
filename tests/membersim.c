/* Entry instances and endpoints on virtual time.  */

#include <string.h>

#include "tests/membersim.h"

enum
{
  STEP_MS = 10,
  TICK_MS = 100,
  LINKS_TICK_MS = 500,
  HEARTBEAT_MS = 1000,
  DELAY_MS = 2,
  FAR_DELAY_MS = 80,
  LEASE_MS = 3000,
  ANNOUNCE_MS = 1000,
  SLOTS = 8,
  TOKENS_PER_S = 400,
  POINT_SPREAD_MS = 7
};

static int64_t
delay_ms (const struct membersim_node *node, const char *peer)
{
  const struct membersim_node *other = membersim_find_node (node->world, peer);

  return strcmp (node->region, other->region) == 0 ? DELAY_MS : FAR_DELAY_MS;
}

static void
node_send (void *ctx, const char *peer, struct rpc_zone_delta *delta)
{
  struct membersim_node *node = ctx;
  struct rpc_packet packet = { .body.type = RPC_ZONE_DELTA };

  packet.body.rpc_body_u.zone_delta = *delta;
  netsim_send (node->world->net, node->name, peer, &packet,
               node->world->now_ms + delay_ms (node, peer));
}

static void
node_send_summary (void *ctx, const char *peer,
                   struct rpc_region_summary *summary)
{
  struct membersim_node *node = ctx;
  struct rpc_packet packet = { .body.type = RPC_REGION_SUMMARY };

  packet.body.rpc_body_u.region_summary = *summary;
  netsim_send (node->world->net, node->name, peer, &packet,
               node->world->now_ms + delay_ms (node, peer));
}

static const struct jc_zone_sync_class zone_class = { .send = node_send };
static const struct jc_summaries_class summaries_class
    = { .send = node_send_summary };

static void
world_deliver (void *ctx, const char *from, const char *to,
               const struct rpc_packet *packet)
{
  struct membersim *world = ctx;
  struct membersim_node *node = membersim_find_node (world, to);

  if (packet->body.type == RPC_ZONE_DELTA)
    jc_zone_sync_receive (node->zone_sync, from,
                          &packet->body.rpc_body_u.zone_delta, world->now_ms);
  else
    jc_summaries_receive (node->summaries, from,
                          &packet->body.rpc_body_u.region_summary,
                          world->now_ms);
}

static bool
connected (const struct membersim *world, const char *dialer,
           const char *listener)
{
  char *key = g_strconcat (dialer, ">", listener, NULL);
  bool found = g_hash_table_contains (world->connections, key);

  g_free (key);
  return found;
}

static void
tell_links (struct membersim_node *node, const char *peer)
{
  jc_links_set_connected (node->links, peer,
                          connected (node->world, node->name, peer),
                          connected (node->world, peer, node->name));
}

static void
tell_up (struct membersim_node *node, const struct membersim_node *peer)
{
  int64_t now = node->world->now_ms;

  tell_links (node, peer->name);
  if (strcmp (node->zone, peer->zone) == 0)
    jc_zone_sync_peer_up (node->zone_sync, peer->name, peer->incarnation, now);
  else
    jc_summaries_peer_up (node->summaries, peer->name, peer->region, peer->zone,
                          peer->incarnation, now);
}

static void
tell_down (struct membersim_node *node, const struct membersim_node *peer)
{
  tell_links (node, peer->name);
  if (connected (node->world, node->name, peer->name)
      || connected (node->world, peer->name, node->name))
    return;
  jc_zone_sync_peer_down (node->zone_sync, peer->name);
  jc_summaries_peer_down (node->summaries, peer->name);
}

static void
connect_nodes (struct membersim_node *dialer, struct membersim_node *listener)
{
  struct membersim *world = dialer->world;

  if (netsim_is_cut (world->net, dialer->name, listener->name)
      || connected (world, dialer->name, listener->name))
    return;
  g_hash_table_add (world->connections,
                    g_strconcat (dialer->name, ">", listener->name, NULL));
  tell_up (dialer, listener);
  tell_up (listener, dialer);
}

static void
disconnect_nodes (struct membersim_node *dialer,
                  struct membersim_node *listener)
{
  char *key = g_strconcat (dialer->name, ">", listener->name, NULL);

  if (g_hash_table_remove (dialer->world->connections, key))
    {
      tell_down (dialer, listener);
      tell_down (listener, dialer);
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
node_hang_up (void *ctx, const char *peer)
{
  struct membersim_node *node = ctx;

  g_hash_table_remove (node->dial_targets, peer);
  disconnect_nodes (node, membersim_find_node (node->world, peer));
}

static const struct jc_links_class links_class
    = { .dial = node_dial, .disconnect = node_hang_up };

/* Decide the connections of NODE and make those that can be made.  */
static void
node_connect (struct membersim_node *node)
{
  GHashTableIter iter;
  gpointer name;

  jc_links_tick (node->links, node->world->now_ms);
  g_hash_table_iter_init (&iter, node->dial_targets);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    connect_nodes (node, membersim_find_node (node->world, name));
}

/* Return a world without nodes.  */
struct membersim *
membersim_new (void)
{
  struct membersim *world = g_new0 (struct membersim, 1);

  world->net = netsim_new (world_deliver, world);
  world->nodes = g_ptr_array_new ();
  world->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  world->connections
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  world->endpoints = g_ptr_array_new ();
  return world;
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

/* Free WORLD.  */
void
membersim_free (struct membersim *world)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      struct membersim_node *node = g_ptr_array_index (world->nodes, i);

      node_stop (node);
      g_free (node->name);
      g_free (node->region);
      g_free (node->zone);
      g_free (node);
    }
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct membersim_endpoint *point
          = g_ptr_array_index (world->endpoints, i);

      g_free (point->name);
      g_strfreev (point->entries);
      g_free (point);
    }
  g_hash_table_destroy (world->connections);
  g_hash_table_destroy (world->by_name);
  g_ptr_array_free (world->nodes, TRUE);
  g_ptr_array_free (world->endpoints, TRUE);
  netsim_free (world->net);
  g_free (world);
}

static void
node_learn_others (struct membersim_node *node)
{
  for (guint i = 0; i < node->world->nodes->len; i++)
    {
      const struct membersim_node *other
          = g_ptr_array_index (node->world->nodes, i);

      jc_links_add_peer (node->links, other->name, other->region, other->zone);
      jc_links_add_peer (other->links, node->name, node->region, node->zone);
    }
}

/* Add the instance NAME of REGION and ZONE.  */
struct membersim_node *
membersim_add_node (struct membersim *world, const char *name,
                    const char *region, const char *zone)
{
  struct membersim_node *node = g_new0 (struct membersim_node, 1);

  node->world = world;
  node->name = g_strdup (name);
  node->region = g_strdup (region);
  node->zone = g_strdup (zone);
  node_start (node);
  node_learn_others (node);
  g_ptr_array_add (world->nodes, node);
  g_hash_table_insert (world->by_name, node->name, node);
  membersim_node_accept_callers (node);
  return node;
}

/* Return the instance NAME, or NULL.  */
struct membersim_node *
membersim_find_node (struct membersim *world, const char *name)
{
  return g_hash_table_lookup (world->by_name, name);
}

/* End the connections of A and B.  */
void
membersim_disconnect (struct membersim *world, const char *a, const char *b)
{
  struct membersim_node *left = membersim_find_node (world, a);
  struct membersim_node *right = membersim_find_node (world, b);

  disconnect_nodes (left, right);
  disconnect_nodes (right, left);
}

/* Count the heartbeats of all connections.  */
static void
world_beat (struct membersim *world)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, world->connections);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      char **ends = g_strsplit (key, ">", 2);

      netsim_heartbeat (world->net, ends[0], ends[1]);
      netsim_heartbeat (world->net, ends[1], ends[0]);
      g_strfreev (ends);
    }
}

/* Return the number of NODE's connections.  */
unsigned int
membersim_node_connections (const struct membersim_node *node)
{
  unsigned int count = 0;

  for (guint i = 0; i < node->world->nodes->len; i++)
    {
      const struct membersim_node *other
          = g_ptr_array_index (node->world->nodes, i);

      count += connected (node->world, node->name, other->name);
      count += connected (node->world, other->name, node->name);
    }
  return count;
}

/* Start the instance NAME anew, without what it knew.  */
void
membersim_restart_node (struct membersim *world, const char *name)
{
  struct membersim_node *node = membersim_find_node (world, name);

  for (guint i = 0; i < world->nodes->len; i++)
    membersim_disconnect (
        world, name,
        ((struct membersim_node *)g_ptr_array_index (world->nodes, i))->name);
  node_stop (node);
  node_start (node);
  node_learn_others (node);
}

/* Let callers come to NODE.  */
void
membersim_node_accept_callers (struct membersim_node *node)
{
  jc_zone_sync_accept_callers (node->zone_sync, "10.0.0.1:8000",
                               node->world->now_ms);
  jc_summaries_accept_callers (node->summaries, "10.0.0.1:8000");
}

/* Let NODE take no new work any longer.  */
void
membersim_node_drain (struct membersim_node *node)
{
  jc_zone_sync_drain (node->zone_sync, node->world->now_ms);
  jc_summaries_drain (node->summaries);
}

/* Add an endpoint that announces itself to ENTRIES, split by commas.  */
struct membersim_endpoint *
membersim_add_endpoint (struct membersim *world, const char *name,
                        uint64_t incarnation, const char *entries)
{
  struct membersim_endpoint *point = g_new0 (struct membersim_endpoint, 1);

  point->name = g_strdup (name);
  point->incarnation = incarnation;
  point->entries = g_strsplit (entries, ",", -1);
  point->next_report_ms
      = world->now_ms + world->endpoints->len * POINT_SPREAD_MS % ANNOUNCE_MS;
  g_ptr_array_add (world->endpoints, point);
  return point;
}

/* Return the endpoint NAME, or NULL.  */
struct membersim_endpoint *
membersim_find_endpoint (struct membersim *world, const char *name)
{
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct membersim_endpoint *point
          = g_ptr_array_index (world->endpoints, i);

      if (strcmp (point->name, name) == 0)
        return point;
    }
  return NULL;
}

/* Return how many of an endpoint's slots are taken, different for each report
   and each endpoint.  */
static unsigned int
load_of (const char *name, uint64_t sequence)
{
  char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, sequence);
  unsigned int load = (unsigned int)(jc_name_pair_hash (name, text) >> 32);

  g_free (text);
  return load % SLOTS;
}

/* Announce the endpoint NAME at the instance ENTRY.  */
enum jc_status
membersim_report (struct membersim *world, const char *name,
                  uint64_t incarnation, uint64_t sequence, bool leaving,
                  const char *entry)
{
  char *model = world->model_count > 1 ? g_strdup_printf (
                    "assist-7b-v1-%u", g_str_hash (name) % world->model_count)
                                       : g_strdup ("assist-7b-v1");
  enum jc_status status;
  struct membersim_node *node = membersim_find_node (world, entry);
  struct rpc_endpoint said = { .name = (char *)name,
                               .incarnation = incarnation,
                               .sequence = sequence,
                               .leaving = leaving,
                               .address = (char *)"10.1.2.3:9000",
                               .service = (char *)"assist-llm",
                               .role = (char *)"any",
                               .slots = SLOTS,
                               .running = load_of (name, sequence),
                               .tokens_per_s = TOKENS_PER_S,
                               .lease_ms = LEASE_MS };

  said.models.models_val = &model;
  said.models.models_len = 1;
  status = jc_zone_sync_report (node->zone_sync, &said, world->now_ms);
  g_free (model);
  return status;
}

static void
point_announce (struct membersim *world, struct membersim_endpoint *point)
{
  point->sequence++;
  for (char **entry = point->entries; *entry != NULL; entry++)
    membersim_report (world, point->name, point->incarnation, point->sequence,
                      point->leaving, *entry);
}

/* Let POINT take its leave.  */
void
membersim_endpoint_leave (struct membersim *world,
                          struct membersim_endpoint *point)
{
  point->leaving = true;
  point_announce (world, point);
}

static void
world_step (struct membersim *world)
{
  netsim_deliver_due (world->net, world->now_ms);
  if (world->now_ms % HEARTBEAT_MS == 0)
    world_beat (world);
  for (guint i = 0; i < world->endpoints->len; i++)
    {
      struct membersim_endpoint *point
          = g_ptr_array_index (world->endpoints, i);

      if (point->silent || point->next_report_ms > world->now_ms)
        continue;
      point->next_report_ms += ANNOUNCE_MS;
      point_announce (world, point);
    }
  for (guint i = 0; i < world->nodes->len; i++)
    {
      struct membersim_node *node = g_ptr_array_index (world->nodes, i);
      int64_t phase = (int64_t)i * STEP_MS;

      if ((world->now_ms + phase) % LINKS_TICK_MS == 0)
        node_connect (node);
      if ((world->now_ms + phase) % TICK_MS != 0)
        continue;
      jc_endpoints_expire (node->endpoints, world->now_ms);
      jc_zone_sync_tick (node->zone_sync, world->now_ms);
      jc_summaries_tick (node->summaries, world->now_ms);
    }
}

/* Let MS pass.  */
void
membersim_run (struct membersim *world, int64_t ms)
{
  int64_t until = world->now_ms + ms;

  while (world->now_ms < until)
    {
      world->now_ms += STEP_MS;
      world_step (world);
    }
}

/* Tell whether NODE would send ENDPOINT new work.  */
bool
membersim_node_uses (const struct membersim_node *node, const char *endpoint)
{
  const struct jc_endpoint *known
      = jc_endpoints_find (node->endpoints, endpoint);

  return known != NULL && jc_endpoint_is_usable (known, node->world->now_ms);
}
