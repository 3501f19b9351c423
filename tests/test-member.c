/* Tests of the endpoint table, of the connection plan, of the directory, and of
   the traffic between entry instances.  */

#include <stdio.h>
#include <string.h>

#include "member/directory.h"
#include "member/reportcheck.h"
#include "tests/membersim.h"

enum
{
  BYTES_PER_S_MAX = 5000,
  ZONE_INSTANCES = 13,
  ZONE_ENDPOINTS = 120,
  SETTLE_MS = 6000,
  LEAVE_LIMIT_MS = 2000,
  MEASURED_S = 20,
  GROUP_REGIONS = 11,
  GROUP_ZONES = 28,
  GROUP_MODELS = 13,
  GROUP_MEASURED_S = 6,
  CONNECTIONS_MAX = 60,
  MS_PER_S = 1000,
  CHURNED_ENDPOINTS = 6000,
  TABLE_SIZE_MAX = 4096
};

static struct rpc_endpoint
make_report (const char *name, uint64_t incarnation, uint64_t sequence)
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

/* Guards against wrong decoding of load reports: a sequence that wraps around
   at 32 bits, numbers over 16 bits, repeated reports and unknown tags.  */
static void
test_load_report (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report ("e1", 3, 0xFFFFFFFFU);
  struct rpc_zone_load load;
  struct jc_endpoint *endpoint;

  g_assert_cmpint (jc_endpoints_update (endpoints, &report, 1000), ==, JC_OK);
  endpoint = jc_endpoints_find (endpoints, "e1");
  endpoint->running = 70000;
  endpoint->queued = 3;
  load = jc_endpoint_to_rpc_load (endpoint, 2500);
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 2500), ==,
                   JC_BEHIND);
  load.sequence += 2;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 2500), ==,
                   JC_OK);
  g_assert_cmpuint (endpoint->sequence, ==, 0x100000001U);
  g_assert_cmpuint (endpoint->running, ==, 65535);
  g_assert_cmpuint (endpoint->queued, ==, 3);
  g_assert_cmpint (endpoint->lease_until_ms, ==, 4000);
  load.tag++;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 2500), ==,
                   JC_NOT_FOUND);
  jc_endpoints_free (endpoints);
}

/* Guards against unbounded tables of endpoints and tombstones when endpoints
   with ever new names come and go.  */
static void
test_table_size (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  int refused = 0;

  for (int i = 0; i < CHURNED_ENDPOINTS; i++)
    {
      char *name = g_strdup_printf ("e%d", i);
      struct rpc_endpoint report = make_report (name, 1, 1);

      refused += jc_endpoints_update (endpoints, &report, 0) == JC_OVERLOADED;
      g_free (name);
    }
  g_assert_cmpuint (jc_endpoints_count (endpoints), ==, TABLE_SIZE_MAX);
  g_assert_cmpint (refused, ==, CHURNED_ENDPOINTS - TABLE_SIZE_MAX);
  jc_endpoints_expire (endpoints, 3001);
  g_assert_cmpuint (jc_endpoints_count (endpoints), ==, 0);
  for (int i = 0; i < CHURNED_ENDPOINTS; i++)
    {
      char *name = g_strdup_printf ("f%d", i);
      struct rpc_endpoint report = make_report (name, 1, 1);

      jc_endpoints_update (endpoints, &report, 4000);
      g_free (name);
    }
  jc_endpoints_expire (endpoints, 8000);
  g_assert_cmpuint (jc_endpoints_count_tombstones (endpoints), ==,
                    TABLE_SIZE_MAX);
  jc_endpoints_expire (endpoints, 700000);
  g_assert_cmpuint (jc_endpoints_count_tombstones (endpoints), ==, 0);
  jc_endpoints_free (endpoints);
}

/* Guards against freeing an endpoint that still has attempts in flight when its
   lease ends.  */
static void
test_in_flight (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report ("e1", 1, 1);

  jc_endpoints_update (endpoints, &report, 0);
  jc_endpoints_find (endpoints, "e1")->in_flight = 1;
  jc_endpoints_expire (endpoints, 3001);
  g_assert_nonnull (jc_endpoints_find (endpoints, "e1"));
  g_assert_false (
      jc_endpoint_is_usable (jc_endpoints_find (endpoints, "e1"), 3001));
  jc_endpoints_find (endpoints, "e1")->in_flight = 0;
  jc_endpoints_expire (endpoints, 3002);
  g_assert_null (jc_endpoints_find (endpoints, "e1"));
  jc_endpoints_free (endpoints);
}

/* Guards against values that no endpoint can have: one with a start or sequence
   of 2^62 took an endpoint away for good, and a name of 200 bytes fits in no
   message, so that all other rows of its message were lost too.  */
static void
test_impossible_reports (void)
{
  const int64_t wall_ms = 1764800000000;
  static const char *const addresses[] = { "10.0.0.1:0",
                                           "10.0.0.1:65536",
                                           "10.0.0.1:-1",
                                           "10.0.0.1:+80",
                                           "10.0.0.1",
                                           ":80",
                                           "host:80",
                                           "10.0.0.256:80",
                                           "0.0.0.0:80",
                                           "224.0.0.1:80",
                                           "",
                                           "10.0.0.1:",
                                           "10.0.0.1: 80 ",
                                           "255.255.255.255:80" };
  struct rpc_endpoint report = make_report ("e", 1764800000000U, 1);
  char *name = g_strnfill (RPC_NAME_MAX + 1, 'n');

  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      report.address = (char *)addresses[i];
      g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
    }
  report = make_report ("e", UINT64_C (1) << 62, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  g_assert_cmpint (jc_report_check (&report, 0), ==, JC_BAD_REQUEST);
  report = make_report ("e", 1764800000000U, UINT64_C (1) << 62);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  /* The clock of this process may be some seconds or hours behind, or not
     set.  */
  report = make_report ("e", 1764803600000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_OK);
  g_assert_cmpint (jc_report_check (&report, 1000), ==, JC_OK);
  report = make_report ("e", 1765000000000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  report = make_report (name, 1764800000000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  report = make_report ("a\nb", 1764800000000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  report = make_report ("\xff", 1764800000000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_BAD_REQUEST);
  name[RPC_NAME_MAX] = '\0';
  report = make_report (name, 1764800000000U, 1);
  g_assert_cmpint (jc_report_check (&report, wall_ms), ==, JC_OK);
  g_free (name);
}

enum
{
  REPORT_MS = 600,
  HOSTS_LEASE_MS = 5 * REPORT_MS,
  /* Reports after which an endpoint has its name and address back.  */
  REPORTS_UNTIL_BACK = 3
};

/* Return a table in which addresses are unique, as where hosts are routed.  */
static struct jc_endpoints *
make_unique_table (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();

  jc_endpoints_require_unique_addresses (endpoints);
  return endpoints;
}

static struct rpc_endpoint
make_host_report (const char *name, uint64_t incarnation, uint64_t sequence,
                  const char *address)
{
  struct rpc_endpoint report = make_report (name, incarnation, sequence);

  report.address = (char *)address;
  report.lease_ms = HOSTS_LEASE_MS;
  return report;
}

/* Return whether the endpoint NAME may get work at NOW_MS at ADDRESS.  */
static bool
is_used_at (const struct jc_endpoints *endpoints, const char *name,
            const char *address, int64_t now_ms)
{
  const struct jc_endpoint *endpoint = jc_endpoints_find (endpoints, name);

  return endpoint != NULL && jc_endpoint_is_usable (endpoint, now_ms)
         && strcmp (endpoint->address, address) == 0;
}

/* Let the endpoint e of incarnation 1000 report from NOW_MS on, first SEQUENCE.
   Return the number of reports until it is used at a:1.  */
static unsigned int
count_reports_until_used (struct jc_endpoints *endpoints, uint64_t sequence,
                          int64_t now_ms)
{
  unsigned int count = 0;

  do
    {
      struct rpc_endpoint report
          = make_host_report ("e", 1000, sequence++, "10.0.0.1:1");

      jc_endpoints_expire (endpoints, now_ms);
      jc_endpoints_update (endpoints, &report, now_ms);
      count++;
      now_ms += REPORT_MS;
    }
  while (!is_used_at (endpoints, "e", "10.0.0.1:1", now_ms) && count < 100);
  return count;
}

/* Guards against an endpoint that is refused for good after another writer
   reported under its name or with its address, with later numbers: it has both
   back after a few reports, and the other writer's last report, told again,
   changes nothing.  */
static void
test_goes_on_after_odd_report (void)
{
  static const struct
  {
    const char *name;
    uint64_t incarnation;
    uint64_t sequence;
    const char *address;
  } odd[] = { { "e", 2000, 1, "10.0.0.2:1" },
              { "e", 1000, 1000000, "10.0.0.2:1" },
              { "e", 1000, 1000000, "10.0.0.1:1" },
              { "x", 2000, 1, "10.0.0.1:1" },
              { "x", 1000, 1000000, "10.0.0.1:1" } };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      struct jc_endpoints *endpoints = make_unique_table ();
      struct rpc_endpoint report = make_host_report (
          odd[i].name, odd[i].incarnation, odd[i].sequence, odd[i].address);

      g_assert_cmpuint (count_reports_until_used (endpoints, 1, 0), ==, 1);
      jc_endpoints_update (endpoints, &report, 700);
      g_assert_cmpuint (count_reports_until_used (endpoints, 2, 1200), <=,
                        REPORTS_UNTIL_BACK);
      for (uint64_t next = 2; next < 12; next++)
        {
          int64_t now_ms = 1200 + (int64_t)(next - 2) * REPORT_MS;
          struct rpc_endpoint own
              = make_host_report ("e", 1000, next, "10.0.0.1:1");

          jc_endpoints_expire (endpoints, now_ms);
          jc_endpoints_update (endpoints, &own, now_ms);
        }
      g_assert_cmpint (jc_endpoints_update (endpoints, &report, 6700), ==,
                       JC_BEHIND);
      g_assert_true (is_used_at (endpoints, "e", "10.0.0.1:1", 6700));
      jc_endpoints_free (endpoints);
    }
}

/* Guards against an endpoint that is refused although it goes on where the
   entry of another writer has lapsed and only its record is left.  */
static void
test_goes_on_after_lapsed_report (void)
{
  struct jc_endpoints *endpoints = make_unique_table ();
  struct rpc_endpoint report = make_host_report ("e", 2000, 1, "10.0.0.2:1");

  jc_endpoints_update (endpoints, &report, 0);
  jc_endpoints_expire (endpoints, HOSTS_LEASE_MS + 1);
  g_assert_null (jc_endpoints_find (endpoints, "e"));
  g_assert_cmpuint (count_reports_until_used (endpoints, 50, 5000), <=,
                    REPORTS_UNTIL_BACK);
  jc_endpoints_free (endpoints);
}

/* Guards against an endpoint whose reports are taken for earlier ones than a
   report that was itself refused, of another writer that counts ahead.  */
static void
test_goes_on_after_two_odd_reports (void)
{
  struct jc_endpoints *endpoints = make_unique_table ();
  struct rpc_endpoint report;

  count_reports_until_used (endpoints, 1, 0);
  report = make_host_report ("e", 2000, 1, "10.0.0.2:1");
  jc_endpoints_update (endpoints, &report, 700);
  report = make_host_report ("e", 1000, 1000000, "10.0.0.2:1");
  jc_endpoints_update (endpoints, &report, 800);
  g_assert_cmpuint (count_reports_until_used (endpoints, 2, 1200), <=,
                    2 * REPORTS_UNTIL_BACK);
  jc_endpoints_free (endpoints);
}

/* Guards against late reports of a dead incarnation that bring it back: while
   its successor is heard, when they come at once, when they were sent before
   one that is known, and after a leave.  */
static void
test_late_reports_stay_refused (void)
{
  struct jc_endpoints *endpoints = make_unique_table ();
  struct rpc_endpoint report;

  for (uint64_t i = 1; i <= 20; i++)
    {
      int64_t now_ms = (int64_t)i * REPORT_MS;

      report = make_host_report ("e", 1000, i, "10.0.0.1:1");
      jc_endpoints_update (endpoints, &report, now_ms);
      report = make_host_report ("f", 2000, i, "10.0.0.1:1");
      if (i > 1)
        jc_endpoints_update (endpoints, &report, now_ms + 1);
      report = make_host_report ("g", i > 1 ? 2000 : 1000, i, "10.0.0.3:1");
      jc_endpoints_update (endpoints, &report, now_ms);
      report = make_host_report ("g", 1000, i, "10.0.0.4:1");
      jc_endpoints_update (endpoints, &report, now_ms + 1);
      if (i > 1)
        {
          g_assert_false (
              is_used_at (endpoints, "e", "10.0.0.1:1", now_ms + 1));
          g_assert_true (is_used_at (endpoints, "f", "10.0.0.1:1", now_ms + 1));
          g_assert_true (is_used_at (endpoints, "g", "10.0.0.3:1", now_ms + 1));
        }
    }
  for (uint64_t i = 30; i < 60; i++)
    {
      report = make_host_report ("e", 1000, i, "10.0.0.1:1");
      g_assert_cmpint (jc_endpoints_update (endpoints, &report, 13500), ==,
                       JC_BEHIND);
    }
  for (uint64_t i = 10; i < 20; i++)
    {
      report = make_host_report ("f", 2000, i, "10.0.0.1:1");
      g_assert_cmpint (jc_endpoints_update (endpoints, &report,
                                            13600 + (int64_t)i * REPORT_MS),
                       ==, JC_BEHIND);
    }
  jc_endpoints_mark_leaving (endpoints, "f", 2000);
  for (uint64_t i = 30; i < 60; i++)
    {
      report = make_host_report ("f", 2000, i, "10.0.0.1:1");
      g_assert_cmpint (jc_endpoints_update (endpoints, &report,
                                            20000 + (int64_t)i * REPORT_MS),
                       ==, JC_BEHIND);
    }
  jc_endpoints_free (endpoints);
}

/* Guards against a load whose 32 bits of sequence are taken for a number below
   0, and so for a later one than all to come; and against a load that keeps up
   what another writer reported of its endpoint.  */
static void
test_odd_loads (void)
{
  struct jc_endpoints *endpoints = make_unique_table ();
  struct rpc_endpoint report = make_host_report ("e", 1000, 5, "10.0.0.1:1");
  struct rpc_zone_load load;

  jc_endpoints_update (endpoints, &report, 0);
  load = jc_endpoint_to_rpc_load (jc_endpoints_find (endpoints, "e"), 0);
  load.sequence = 0xFFFFFFF0U;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 10), ==,
                   JC_BEHIND);
  load.sequence = 6;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 600), ==, JC_OK);
  report = make_host_report ("e", 1000, 1000000, "10.0.0.2:1");
  jc_endpoints_update (endpoints, &report, 700);
  load.sequence = 7;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 1200), ==,
                   JC_BEHIND);
  load.sequence = 10;
  g_assert_cmpint (jc_endpoints_update_load (endpoints, &load, 3000), ==,
                   JC_NOT_FOUND);
  jc_endpoints_free (endpoints);
}

/* Add a zone of full size.  Each endpoint reports to ENTRIES_PER_ENDPOINT
   instances.  */
static void
add_zone (struct membersim *sim, int number, unsigned int entries_per_endpoint)
{
  char *region = g_strdup_printf ("region-%02d", number % GROUP_REGIONS);
  char *zone = g_strdup_printf ("zone-%02d", number);

  for (int i = 0; i < ZONE_INSTANCES; i++)
    {
      char *name = g_strdup_printf ("%s-entry-%02d", zone, i);

      membersim_add_node (sim, name, region, zone);
      g_free (name);
    }
  for (int i = 0; i < ZONE_ENDPOINTS; i++)
    {
      char *name = g_strdup_printf ("%s-engine-%03d", zone, i);
      GString *entries = g_string_new (NULL);

      for (unsigned int k = 0; k < entries_per_endpoint; k++)
        g_string_append_printf (entries, "%s%s-entry-%02u", k > 0 ? "," : "",
                                zone,
                                ((unsigned int)i + k * 5) % ZONE_INSTANCES);
      membersim_add_endpoint (sim, name, 1764800000000000U, entries->str);
      g_string_free (entries, TRUE);
      g_free (name);
    }
  g_free (region);
  g_free (zone);
}

/* Bytes a second of the instances of a simulation.  */
struct rates
{
  uint64_t sent_max;
  uint64_t sent_mean;
  uint64_t received_mean;
};

/* Run SIM for SECONDS and return the rates over that time.  */
static struct rates
measure (struct membersim *sim, unsigned int seconds)
{
  struct rates rates = { 0 };
  uint64_t *sent_before = g_new0 (uint64_t, sim->nodes->len);
  uint64_t received_before = 0;

  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);

      sent_before[i] = netsim_sent_bytes (sim->net, node->name);
      received_before += netsim_received_bytes (sim->net, node->name);
    }
  membersim_run (sim, (int64_t)seconds * MS_PER_S);
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);
      uint64_t sent = netsim_sent_bytes (sim->net, node->name) - sent_before[i];

      rates.sent_max = MAX (rates.sent_max, sent / seconds);
      rates.sent_mean += sent / seconds;
      rates.received_mean += netsim_received_bytes (sim->net, node->name);
    }
  rates.sent_mean /= MAX (sim->nodes->len, 1);
  rates.received_mean = (rates.received_mean - received_before)
                        / MAX (sim->nodes->len, 1) / seconds;
  g_free (sent_before);
  return rates;
}

/* Check that every instance uses every endpoint of its zone.  */
static void
check_endpoints (const struct membersim *sim)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);
      GPtrArray *list = g_ptr_array_new ();

      jc_endpoints_list_serving (node->endpoints, "assist-llm", "", sim->now_ms,
                                 list);
      g_assert_cmpuint (list->len, ==, ZONE_ENDPOINTS);
      g_ptr_array_free (list, TRUE);
    }
}

static void
log_dial (void *ctx, const char *peer)
{
  g_string_append_printf (ctx, "+%s ", peer);
}

static void
log_disconnect (void *ctx, const char *peer)
{
  g_string_append_printf (ctx, "-%s ", peer);
}

/* Guards against retrying the same instances of another region for ever: of
   four that don't answer, each is dialled.  */
static void
test_links_retry (void)
{
  static const struct jc_links_class klass
      = { .dial = log_dial, .disconnect = log_disconnect };
  GString *log = g_string_new (NULL);
  struct jc_links *links = jc_links_new ("e1", "ost", "ost-1", &klass, log);
  static const char *const far[] = { "s1", "s2", "s3", "s4" };

  for (size_t i = 0; i < G_N_ELEMENTS (far); i++)
    jc_links_add_peer (links, far[i], "sued", "sued-1");
  for (int64_t now = 1000; now < 6000; now += 500)
    jc_links_tick (links, now);
  for (size_t i = 0; i < G_N_ELEMENTS (far); i++)
    {
      char *dial = g_strconcat ("+", far[i], " ", NULL);

      g_assert_nonnull (strstr (log->str, dial));
      g_free (dial);
    }
  jc_links_free (links);
  g_string_free (log, TRUE);
}

/* Guards against two lasting connections between instances of a zone: the
   instance whose name sorts second closes its own.  */
static void
test_links_duplicate (void)
{
  static const struct jc_links_class klass
      = { .dial = log_dial, .disconnect = log_disconnect };
  GString *log = g_string_new (NULL);
  struct jc_links *links = jc_links_new ("e5", "ost", "ost-1", &klass, log);

  jc_links_add_peer (links, "e3", "ost", "ost-1");
  jc_links_add_peer (links, "e7", "ost", "ost-1");
  jc_links_tick (links, 1000);
  g_assert_cmpstr (log->str, ==, "+e7 ");
  jc_links_tick (links, 3000);
  g_assert_cmpstr (log->str, ==, "+e7 +e3 ");
  jc_links_set_connected (links, "e3", true, true);
  jc_links_set_connected (links, "e7", true, true);
  jc_links_tick (links, 3500);
  g_assert_cmpstr (log->str, ==, "+e7 +e3 -e3 ");
  jc_links_set_connected (links, "e3", false, true);
  jc_links_tick (links, 9000);
  g_assert_cmpstr (log->str, ==, "+e7 +e3 -e3 ");
  jc_links_free (links);
  g_string_free (log, TRUE);
}

/* Guards against more traffic between the instances of a zone of full size than
   BYTES_PER_S_MAX.  */
static void
test_zone_bytes (void)
{
  for (unsigned int entries_per_endpoint = 1; entries_per_endpoint <= 2;
       entries_per_endpoint++)
    {
      struct membersim *sim = membersim_new ();
      struct rates rates;

      add_zone (sim, 0, entries_per_endpoint);
      membersim_run (sim, SETTLE_MS);
      rates = measure (sim, MEASURED_S);
      check_endpoints (sim);
      g_test_message ("13 instances, 120 endpoints, each reporting to %u: an "
                      "instance sends %lu bytes/s, the busiest %lu.",
                      entries_per_endpoint, (unsigned long)rates.sent_mean,
                      (unsigned long)rates.sent_max);
      g_assert_cmpuint (rates.sent_max, <=, BYTES_PER_S_MAX);
      membersim_free (sim);
    }
}

/* Guards against a leave that reaches other instances too late or not at all in
   a zone of full size, when the first message to each of them is lost.  */
static void
test_zone_leave (void)
{
  struct membersim *sim = membersim_new ();
  static const char left_name[] = "zone-00-engine-007";
  const struct membersim_node *receiver;

  add_zone (sim, 0, 1);
  membersim_run (sim, SETTLE_MS);
  receiver = g_ptr_array_index (sim->nodes, 7);
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);

      if (node != receiver)
        netsim_drop_next (sim->net, receiver->name, node->name, 1);
    }
  membersim_endpoint_leave (sim, membersim_find_endpoint (sim, left_name));
  membersim_run (sim, LEAVE_LIMIT_MS);
  for (guint i = 0; i < sim->nodes->len; i++)
    g_assert_false (
        membersim_node_uses (g_ptr_array_index (sim->nodes, i), left_name));
  membersim_free (sim);
}

/* Guards against more traffic of the mean instance, or more connections of any,
   than the limits, in a group of 28 zones of 13 instances and 120 endpoints. */
static void
test_group_bytes (void)
{
  struct membersim *sim = membersim_new ();
  struct rates rates;
  unsigned int most = 0;
  guint total = 0;

  sim->model_count = GROUP_MODELS;
  for (int i = 0; i < GROUP_ZONES; i++)
    add_zone (sim, i, 1);
  membersim_run (sim, SETTLE_MS);
  rates = measure (sim, GROUP_MEASURED_S);
  check_endpoints (sim);
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      unsigned int count
          = membersim_node_connections (g_ptr_array_index (sim->nodes, i));

      most = MAX (most, count);
      total += count;
    }
  g_test_message (
      "364 instances, 3360 endpoints: an instance sends %lu "
      "bytes/s and gets %lu, the busiest sends %lu; connections "
      "%u, most %u.",
      (unsigned long)rates.sent_mean, (unsigned long)rates.received_mean,
      (unsigned long)rates.sent_max, total / MAX (sim->nodes->len, 1), most);
  g_assert_cmpuint (rates.sent_mean, <=, BYTES_PER_S_MAX);
  g_assert_cmpuint (most, <=, CONNECTIONS_MAX);
  membersim_free (sim);
}

static struct jc_config *
directory_config (void)
{
  static const char text[]
      = "{\"region/ost\":{\"name\":\"ost\"},"
        "\"region/sued\":{\"name\":\"sued\"},"
        "\"region/west\":{\"name\":\"west\"},"
        "\"availability_zone/ost-1\":{\"name\":\"ost-1\",\"region\":"
        "\"ost\"},"
        "\"instance/i2\":{\"name\":\"i2\",\"availability_zone\":"
        "\"ost-1\",\"weight\":7},"
        "\"instance/i3\":{\"name\":\"i3\",\"availability_zone\":"
        "\"ost-1\",\"weight\":0},"
        "\"residency/some\":{\"name\":\"some\",\"regions\":[\"ost\","
        "\"sued\"]},"
        "\"limit/l\":{\"name\":\"l\"},"
        "\"product/p\":{\"name\":\"p\",\"residency\":\"some\","
        "\"limit\":\"l\"}}";
  json_t *json = json_loads (text, 0, NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config = jc_config_from_json (json, 1, faults);

  g_assert_cmpuint (faults->len, ==, 0);
  g_ptr_array_free (faults, TRUE);
  json_decref (json);
  return config;
}

/* Guards against a wrong order or choice of instances: they are sorted by
   distance and name, without those that are draining, expired, of weight 0,
   without an address, or in a region that the product's residency excludes.  */
static void
test_directory (void)
{
  struct jc_regions *regions = jc_regions_new ();
  struct jc_config *config = directory_config ();
  struct jc_directory_query query
      = { .config = config, .zone = "ost-1", .region = "ost" };
  GString *names = g_string_new (NULL);
  GArray *rows;

  query.product = jc_config_find (config, JC_OBJECT_PRODUCT, "p");
  jc_regions_update_instance (regions, "a1", "sued", "sued-1", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "b1", "ost", "ost-2", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "c1", "west", "west-1", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "i1", "ost", "ost-1", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "i2", "ost", "ost-1", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "i3", "ost", "ost-1", "h:1", 1, false,
                              9000);
  jc_regions_update_instance (regions, "i4", "ost", "ost-1", "h:1", 1, true,
                              9000);
  jc_regions_update_instance (regions, "i5", "ost", "ost-1", "h:1", 1, false,
                              5000);
  jc_regions_update_instance (regions, "i6", "ost", "ost-1", "", 1, false,
                              9000);
  rows = jc_directory_list (regions, &query, 10000);
  for (guint i = 0; i < rows->len; i++)
    {
      const struct jc_directory_row *row
          = &g_array_index (rows, struct jc_directory_row, i);

      g_string_append_printf (names, "%s/%d ", row->view->name,
                              (int)row->weight);
    }
  g_assert_cmpstr (names->str, ==, "i1/100 i2/7 b1/100 a1/100 ");
  g_array_free (rows, TRUE);
  g_string_free (names, TRUE);
  jc_config_free (config);
  jc_regions_free (regions);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/member/load-report", test_load_report);
  g_test_add_func ("/member/table-size", test_table_size);
  g_test_add_func ("/member/in-flight", test_in_flight);
  g_test_add_func ("/member/impossible-reports", test_impossible_reports);
  g_test_add_func ("/member/goes-on-after-odd-report",
                   test_goes_on_after_odd_report);
  g_test_add_func ("/member/goes-on-after-lapsed-report",
                   test_goes_on_after_lapsed_report);
  g_test_add_func ("/member/goes-on-after-two-odd-reports",
                   test_goes_on_after_two_odd_reports);
  g_test_add_func ("/member/late-reports-stay-refused",
                   test_late_reports_stay_refused);
  g_test_add_func ("/member/odd-loads", test_odd_loads);
  g_test_add_func ("/member/directory", test_directory);
  g_test_add_func ("/member/links-retry", test_links_retry);
  g_test_add_func ("/member/links-duplicate", test_links_duplicate);
  g_test_add_func ("/member/zone-bytes", test_zone_bytes);
  g_test_add_func ("/member/zone-leave", test_zone_leave);
  g_test_add_func ("/member/group-bytes", test_group_bytes);
  return g_test_run ();
}
