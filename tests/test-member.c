/* Tests of membership: bounds of memory and of bytes.  */

#include <stdio.h>
#include <string.h>

#include "tests/zonenode.h"

enum
{
  BYTES_PER_S_MAX = 5000,
  ZONE_INSTANCES = 13,
  ZONE_ENDPOINTS = 120,
  WARM_MS = 5000,
  MEASURED_S = 20,
  MS_PER_S = 1000,
  NAMES = 6000,
  TABLE_MAX = 4096
};

static struct rpc_endpoint
plain_endpoint (const char *name, uint64_t incarnation, uint64_t sequence)
{
  return (struct rpc_endpoint){ .name = (char *)name,
                                .incarnation = incarnation,
                                .sequence = sequence,
                                .address = (char *)"10.0.0.1:9000",
                                .service = (char *)"kassa-ledger",
                                .role = (char *)"any",
                                .slots = 4,
                                .lease_ms = 3000 };
}

static void
test_load (void)
{
  struct jc_members *members = jc_members_new ();
  struct rpc_endpoint said = plain_endpoint ("e1", 3, 0xFFFFFFFFU);
  struct rpc_zone_load load;
  struct jc_endpoint *endpoint;

  g_assert_cmpint (jc_members_announce (members, &said, 1000), ==, JC_OK);
  endpoint = jc_members_find (members, "e1");
  endpoint->running = 70000;
  endpoint->queued = 3;
  load = jc_endpoint_load (endpoint, 2500);
  g_assert_cmpint (jc_members_load (members, &load, 2500), ==, JC_BEHIND);
  load.sequence += 2;
  g_assert_cmpint (jc_members_load (members, &load, 2500), ==, JC_OK);
  g_assert_cmpuint (endpoint->sequence, ==, 0x100000001U);
  g_assert_cmpuint (endpoint->running, ==, 65535);
  g_assert_cmpuint (endpoint->queued, ==, 3);
  g_assert_cmpint (endpoint->lease_until_ms, ==, 4000);
  load.tag++;
  g_assert_cmpint (jc_members_load (members, &load, 2500), ==, JC_NOT_FOUND);
  jc_members_free (members);
}

/* Names that come once and go take a bounded table.  */
static void
test_bounds (void)
{
  struct jc_members *members = jc_members_new ();
  int refused = 0;

  for (int i = 0; i < NAMES; i++)
    {
      char *name = g_strdup_printf ("e%d", i);
      struct rpc_endpoint said = plain_endpoint (name, 1, 1);

      refused += jc_members_announce (members, &said, 0) == JC_OVERLOADED;
      g_free (name);
    }
  g_assert_cmpuint (jc_members_count (members), ==, TABLE_MAX);
  g_assert_cmpint (refused, ==, NAMES - TABLE_MAX);
  jc_members_expire (members, 3001);
  g_assert_cmpuint (jc_members_count (members), ==, 0);
  for (int i = 0; i < NAMES; i++)
    {
      char *name = g_strdup_printf ("f%d", i);
      struct rpc_endpoint said = plain_endpoint (name, 1, 1);

      jc_members_announce (members, &said, 4000);
      g_free (name);
    }
  jc_members_expire (members, 8000);
  g_assert_cmpuint (jc_members_tombstones (members), ==, TABLE_MAX);
  jc_members_expire (members, 700000);
  g_assert_cmpuint (jc_members_tombstones (members), ==, 0);
  jc_members_free (members);
}

/* Attempts in flight keep an endpoint whose lease has ended.  */
static void
test_in_flight (void)
{
  struct jc_members *members = jc_members_new ();
  struct rpc_endpoint said = plain_endpoint ("e1", 1, 1);

  jc_members_announce (members, &said, 0);
  jc_members_find (members, "e1")->in_flight = 1;
  jc_members_expire (members, 3001);
  g_assert_nonnull (jc_members_find (members, "e1"));
  g_assert_false (jc_endpoint_usable (jc_members_find (members, "e1"), 3001));
  jc_members_find (members, "e1")->in_flight = 0;
  jc_members_expire (members, 3002);
  g_assert_null (jc_members_find (members, "e1"));
  jc_members_free (members);
}

static struct zoneworld *
full_zone (unsigned int heard_by)
{
  struct zoneworld *world = zoneworld_new ();

  for (int i = 0; i < ZONE_INSTANCES; i++)
    {
      char *name = g_strdup_printf ("at-ost-1-entry-%02d", i);

      zoneworld_add (world, name, "at-ost-1");
      g_free (name);
    }
  for (int i = 0; i < ZONE_ENDPOINTS; i++)
    {
      char *name = g_strdup_printf ("at-ost-1-engine-%03d", i);
      GString *entries = g_string_new (NULL);

      for (unsigned int k = 0; k < heard_by; k++)
        g_string_append_printf (entries, "%sat-ost-1-entry-%02u",
                                k > 0 ? "," : "",
                                ((unsigned int)i + k * 5) % ZONE_INSTANCES);
      zoneworld_point (world, name, 1764800000000000U, entries->str);
      g_string_free (entries, TRUE);
      g_free (name);
    }
  return world;
}

/* Return the bytes a second that the busiest instance sends, and check that
   every instance knows every endpoint.  */
static uint64_t
busiest (unsigned int heard_by)
{
  struct zoneworld *world = full_zone (heard_by);
  uint64_t before[ZONE_INSTANCES];
  uint64_t most = 0;

  zoneworld_run (world, WARM_MS);
  for (guint i = 0; i < ZONE_INSTANCES; i++)
    {
      const struct zonenode *node = g_ptr_array_index (world->nodes, i);

      before[i] = zonenet_sent (world->net, node->name);
    }
  zoneworld_run (world, MEASURED_S * MS_PER_S);
  for (guint i = 0; i < ZONE_INSTANCES; i++)
    {
      const struct zonenode *node = g_ptr_array_index (world->nodes, i);
      GPtrArray *list = g_ptr_array_new ();

      most = MAX (most, zonenet_sent (world->net, node->name) - before[i]);
      jc_members_serving (node->members, "assist-llm", "", world->now_ms, list);
      g_assert_cmpuint (list->len, ==, ZONE_ENDPOINTS);
      g_ptr_array_free (list, TRUE);
    }
  zoneworld_free (world);
  return most / MEASURED_S;
}

static void
test_zone_bytes (void)
{
  uint64_t once = busiest (1);
  uint64_t twice = busiest (2);

  g_test_message ("13 instances, 120 endpoints: the busiest instance sends "
                  "%lu bytes/s, heard by two %lu bytes/s.",
                  (unsigned long)once, (unsigned long)twice);
  g_assert_cmpuint (once, <=, BYTES_PER_S_MAX);
  g_assert_cmpuint (twice, <=, BYTES_PER_S_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/load", test_load);
  g_test_add_func ("/member/bounds", test_bounds);
  g_test_add_func ("/member/in-flight", test_in_flight);
  g_test_add_func ("/member/zone-bytes", test_zone_bytes);
  return g_test_run ();
}
