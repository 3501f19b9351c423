/* Entry instances and endpoints on virtual time.  */

#include <string.h>

#include "tests/zonenode.h"

enum
{
  STEP_MS = 10,
  TICK_MS = 100,
  DELAY_MS = 2,
  LEASE_MS = 3000,
  ANNOUNCE_MS = 1000,
  SLOTS = 8,
  TOKENS_PER_S = 400,
  POINT_SPREAD_MS = 7
};

static void
node_send (void *ctx, const char *peer, struct rpc_zone_delta *delta)
{
  struct zonenode *node = ctx;
  struct rpc_packet packet = { .body.type = RPC_ZONE_DELTA };

  packet.body.rpc_body_u.zone_delta = *delta;
  zonenet_send (node->world->net, node->name, peer, &packet,
                node->world->now_ms + DELAY_MS);
}

static const struct jc_zone_class zone_class = { .send = node_send };

static void
world_deliver (void *ctx, const char *from, const char *to,
               const struct rpc_packet *packet)
{
  struct zoneworld *world = ctx;
  struct zonenode *node = zoneworld_find (world, to);

  if (packet->body.type == RPC_ZONE_DELTA)
    jc_zone_delta (node->sharing, from, &packet->body.rpc_body_u.zone_delta,
                   world->now_ms);
}

/* Return a world without nodes.  */
struct zoneworld *
zoneworld_new (void)
{
  struct zoneworld *world = g_new0 (struct zoneworld, 1);

  world->net = zonenet_new (world_deliver, world);
  world->nodes = g_ptr_array_new ();
  world->points = g_ptr_array_new ();
  return world;
}

static void
node_start (struct zonenode *node)
{
  struct jc_zone_self self = { .name = node->name,
                               .region = "region",
                               .zone = node->zone,
                               .callers_address = "10.0.0.1:8000",
                               .incarnation = ++node->incarnation };
  struct jc_zone_tables tables;

  node->members = jc_members_new ();
  node->regions = jc_regions_new ();
  tables.members = node->members;
  tables.regions = node->regions;
  node->sharing = jc_zone_new (&self, &tables, &zone_class, node);
}

static void
node_stop (struct zonenode *node)
{
  jc_zone_free (node->sharing);
  jc_members_free (node->members);
  jc_regions_free (node->regions);
}

/* Free WORLD.  */
void
zoneworld_free (struct zoneworld *world)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      struct zonenode *node = g_ptr_array_index (world->nodes, i);

      node_stop (node);
      g_free (node->name);
      g_free (node->zone);
      g_free (node);
    }
  for (guint i = 0; i < world->points->len; i++)
    {
      struct zonepoint *point = g_ptr_array_index (world->points, i);

      g_free (point->name);
      g_strfreev (point->entries);
      g_free (point);
    }
  g_ptr_array_free (world->nodes, TRUE);
  g_ptr_array_free (world->points, TRUE);
  zonenet_free (world->net);
  g_free (world);
}

/* Add the instance NAME, connected to the others of its zone.  */
struct zonenode *
zoneworld_add (struct zoneworld *world, const char *name, const char *zone)
{
  struct zonenode *node = g_new0 (struct zonenode, 1);

  node->world = world;
  node->name = g_strdup (name);
  node->zone = g_strdup (zone);
  node_start (node);
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const struct zonenode *other = g_ptr_array_index (world->nodes, i);

      if (strcmp (other->zone, zone) != 0)
        continue;
      jc_zone_up (node->sharing, other->name, other->incarnation,
                  world->now_ms);
      jc_zone_up (other->sharing, name, node->incarnation, world->now_ms);
    }
  g_ptr_array_add (world->nodes, node);
  return node;
}

/* Return the instance NAME, or NULL.  */
struct zonenode *
zoneworld_find (struct zoneworld *world, const char *name)
{
  for (guint i = 0; i < world->nodes->len; i++)
    {
      struct zonenode *node = g_ptr_array_index (world->nodes, i);

      if (strcmp (node->name, name) == 0)
        return node;
    }
  return NULL;
}

/* Make (UP) or end the connection of A and B.  */
void
zoneworld_link (struct zoneworld *world, const char *a, const char *b, bool up)
{
  struct zonenode *left = zoneworld_find (world, a);
  struct zonenode *right = zoneworld_find (world, b);

  if (up)
    {
      jc_zone_up (left->sharing, b, right->incarnation, world->now_ms);
      jc_zone_up (right->sharing, a, left->incarnation, world->now_ms);
      return;
    }
  jc_zone_down (left->sharing, b);
  jc_zone_down (right->sharing, a);
}

/* Start the instance NAME anew, without what it knew.  */
void
zoneworld_restart (struct zoneworld *world, const char *name)
{
  struct zonenode *node = zoneworld_find (world, name);

  node_stop (node);
  node_start (node);
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const struct zonenode *other = g_ptr_array_index (world->nodes, i);

      if (other != node && strcmp (other->zone, node->zone) == 0)
        {
          zoneworld_link (world, name, other->name, false);
          zoneworld_link (world, name, other->name, true);
        }
    }
}

/* Add an endpoint that announces itself to ENTRIES, split by commas.  */
struct zonepoint *
zoneworld_point (struct zoneworld *world, const char *name,
                 uint64_t incarnation, const char *entries)
{
  struct zonepoint *point = g_new0 (struct zonepoint, 1);

  point->name = g_strdup (name);
  point->incarnation = incarnation;
  point->entries = g_strsplit (entries, ",", -1);
  point->next_ms
      = world->now_ms + world->points->len * POINT_SPREAD_MS % ANNOUNCE_MS;
  g_ptr_array_add (world->points, point);
  return point;
}

/* Return the endpoint NAME, or NULL.  */
struct zonepoint *
zoneworld_find_point (struct zoneworld *world, const char *name)
{
  for (guint i = 0; i < world->points->len; i++)
    {
      struct zonepoint *point = g_ptr_array_index (world->points, i);

      if (strcmp (point->name, name) == 0)
        return point;
    }
  return NULL;
}

/* Announce the endpoint NAME at the instance ENTRY.  */
enum jc_status
zonepoint_say (struct zoneworld *world, const char *name, uint64_t incarnation,
               uint64_t sequence, bool leaving, const char *entry)
{
  static char *models[] = { (char *)"assist-7b-v1" };
  struct zonenode *node = zoneworld_find (world, entry);
  struct rpc_endpoint said = { .name = (char *)name,
                               .incarnation = incarnation,
                               .sequence = sequence,
                               .leaving = leaving,
                               .address = (char *)"10.1.2.3:9000",
                               .service = (char *)"assist-llm",
                               .role = (char *)"any",
                               .slots = SLOTS,
                               .running = (u_int)(sequence % SLOTS),
                               .tokens_per_s = TOKENS_PER_S,
                               .lease_ms = LEASE_MS };

  said.models.models_val = models;
  said.models.models_len = 1;
  return jc_zone_announced (node->sharing, &said, world->now_ms);
}

static void
point_announce (struct zoneworld *world, struct zonepoint *point)
{
  point->sequence++;
  for (char **entry = point->entries; *entry != NULL; entry++)
    zonepoint_say (world, point->name, point->incarnation, point->sequence,
                   point->leaving, *entry);
}

/* Let POINT take its leave.  */
void
zonepoint_leave (struct zoneworld *world, struct zonepoint *point)
{
  point->leaving = true;
  point_announce (world, point);
}

static void
world_step (struct zoneworld *world)
{
  zonenet_run (world->net, world->now_ms);
  for (guint i = 0; i < world->points->len; i++)
    {
      struct zonepoint *point = g_ptr_array_index (world->points, i);

      if (point->silent || point->next_ms > world->now_ms)
        continue;
      point->next_ms += ANNOUNCE_MS;
      point_announce (world, point);
    }
  for (guint i = 0; i < world->nodes->len; i++)
    {
      struct zonenode *node = g_ptr_array_index (world->nodes, i);
      int64_t phase = (int64_t)i * STEP_MS;

      if ((world->now_ms + phase) % TICK_MS != 0)
        continue;
      jc_members_expire (node->members, world->now_ms);
      jc_zone_tick (node->sharing, world->now_ms);
    }
}

/* Let MS pass.  */
void
zoneworld_run (struct zoneworld *world, int64_t ms)
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
zonenode_uses (const struct zonenode *node, const char *endpoint)
{
  const struct jc_endpoint *known = jc_members_find (node->members, endpoint);

  return known != NULL && jc_endpoint_usable (known, node->world->now_ms);
}
