/* Tests of endpoints that left: whoever was told of a leave keeps to it, in
   whatever order the leave, reports and answers come.  */

#include <glib.h>
#include <string.h>

#include "member/departures.h"
#include "member/endpoints.h"

enum
{
  INCARNATION = 1000,
  LEASE_MS = 6000,
  ANSWER_LEASE_MS = 4000,
  ENDED_KEPT_MS = 600000,
  TABLE_SIZE_MAX = 4096,
  ADDED = 5000
};

static struct rpc_endpoint
make_report (uint64_t incarnation, uint64_t sequence, bool leaving)
{
  return (struct rpc_endpoint){ .name = (char *)"e",
                                .incarnation = incarnation,
                                .sequence = sequence,
                                .leaving = leaving,
                                .address = (char *)"10.0.0.1:1",
                                .service = (char *)"s",
                                .role = (char *)"",
                                .zone = (char *)"z1",
                                .slots = 4,
                                .lease_ms = LEASE_MS };
}

static bool
is_usable (const struct jc_endpoints *endpoints, int64_t now_ms)
{
  const struct jc_endpoint *endpoint = jc_endpoints_find (endpoints, "e");

  return endpoint != NULL && jc_endpoint_is_usable (endpoint, now_ms);
}

/* Guards against an endpoint that left and is kept in use by its answers or by
   state instances that list it with the last sequence that is known here.  */
static void
test_known (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report (INCARNATION, 5, false);

  jc_endpoints_update (endpoints, &report, 0);
  g_assert_false (jc_endpoints_end (endpoints, "e", INCARNATION - 1, 100));
  g_assert_true (is_usable (endpoints, 100));
  g_assert_true (jc_endpoints_end (endpoints, "e", INCARNATION, 200));
  g_assert_false (jc_endpoints_end (endpoints, "e", INCARNATION, 300));
  for (int64_t now_ms = 300; now_ms < 20000; now_ms += 100)
    {
      struct jc_endpoint *endpoint = jc_endpoints_find (endpoints, "e");

      if (endpoint != NULL)
        jc_endpoint_extend_lease (endpoint, now_ms + ANSWER_LEASE_MS);
      report = make_report (INCARNATION, 5 + (uint64_t)now_ms, false);
      g_assert_cmpint (jc_endpoints_update (endpoints, &report, now_ms), ==,
                       JC_BEHIND);
      jc_endpoints_expire (endpoints, now_ms);
      g_assert_false (is_usable (endpoints, now_ms));
    }
  g_assert_null (jc_endpoints_find (endpoints, "e"));
  jc_endpoints_free (endpoints);
}

/* Guards against a leave that is lost since it came before the first report,
   and against one that keeps out the next process of that name.  */
static void
test_unknown (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report (INCARNATION, 5, false);

  g_assert_false (jc_endpoints_end (endpoints, "e", INCARNATION, 0));
  g_assert_cmpint (jc_endpoints_update (endpoints, &report, 100), ==,
                   JC_BEHIND);
  report = make_report (INCARNATION + 1, 1, false);
  g_assert_cmpint (jc_endpoints_update (endpoints, &report, 200), ==, JC_OK);
  g_assert_true (is_usable (endpoints, 200));
  g_assert_false (jc_endpoints_end (endpoints, "e", INCARNATION, 300));
  g_assert_true (is_usable (endpoints, 300));
  jc_endpoints_free (endpoints);
}

/* Guards against an endpoint that left and comes back by a late report once
   its lease is over.  */
static void
test_late_report (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report (INCARNATION, 5, false);

  jc_endpoints_update (endpoints, &report, 0);
  jc_endpoints_end (endpoints, "e", INCARNATION, 100);
  jc_endpoints_expire (endpoints, LEASE_MS + 1);
  g_assert_null (jc_endpoints_find (endpoints, "e"));
  report.sequence = 9;
  g_assert_cmpint (jc_endpoints_update (endpoints, &report, ENDED_KEPT_MS), ==,
                   JC_BEHIND);
  jc_endpoints_free (endpoints);
}

/* Guards against an endpoint that answers and loses its lease since its reports
   are late.  */
static void
test_answer_extends (void)
{
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  struct rpc_endpoint report = make_report (INCARNATION, 5, false);
  struct jc_endpoint *endpoint;

  jc_endpoints_update (endpoints, &report, 0);
  endpoint = jc_endpoints_find (endpoints, "e");
  jc_endpoint_extend_lease (endpoint, 1000 + ANSWER_LEASE_MS);
  g_assert_cmpint (endpoint->lease_until_ms, ==, LEASE_MS);
  jc_endpoint_extend_lease (endpoint, 5000 + ANSWER_LEASE_MS);
  g_assert_cmpint (endpoint->lease_until_ms, ==, 5000 + ANSWER_LEASE_MS);
  jc_endpoints_free (endpoints);
}

static const struct rpc_departure *
apply (struct jc_departures *departures, const char *endpoint,
       uint64_t incarnation)
{
  const struct rpc_departure row = { .endpoint = (char *)endpoint,
                                     .endpoint_incarnation = incarnation,
                                     .zone = (char *)"z1" };
  GString *data = jc_departures_encode (&row);
  const struct rpc_departure *added
      = jc_departures_apply (departures, jc_str_from_gstring (data));

  g_string_free (data, TRUE);
  return added;
}

/* Guards against a replica that starts again, or gets a snapshot, without the
   leaves that were acknowledged, and against a table without bound.  */
static void
test_table (void)
{
  struct jc_departures *departures = jc_departures_new ();
  struct jc_departures *restored = jc_departures_new ();
  GPtrArray *rows = g_ptr_array_new ();
  json_t *snapshot = json_object ();
  const struct rpc_departure *first;

  g_assert_null (jc_departures_apply (departures, JC_STR_LIT ("x")));
  g_assert_nonnull (apply (departures, "e", 1));
  g_assert_null (apply (departures, "e", 1));
  for (uint64_t i = 2; i <= ADDED; i++)
    g_assert_nonnull (apply (departures, "e", i));
  g_assert_false (
      jc_departures_contains (departures, "e", ADDED - TABLE_SIZE_MAX));
  g_assert_true (
      jc_departures_contains (departures, "e", ADDED - TABLE_SIZE_MAX + 1));
  g_assert_true (jc_departures_contains (departures, "e", ADDED));
  g_assert_false (jc_departures_contains (departures, "f", ADDED));

  jc_departures_snapshot (departures, snapshot);
  apply (restored, "f", 1);
  g_assert_cmpint (jc_departures_restore (restored, snapshot), ==, JC_OK);
  g_assert_false (jc_departures_contains (restored, "f", 1));
  jc_departures_list (restored, rows);
  g_assert_cmpuint (rows->len, ==, TABLE_SIZE_MAX);
  first = g_ptr_array_index (rows, 0);
  g_assert_cmpuint (first->endpoint_incarnation, ==,
                    ADDED - TABLE_SIZE_MAX + 1);
  g_assert_cmpstr (first->zone, ==, "z1");
  json_decref (snapshot);
  snapshot = json_pack ("{s:[[s]]}", "departures", "e");
  g_assert_cmpint (jc_departures_restore (restored, snapshot), ==, JC_CORRUPT);
  json_decref (snapshot);
  g_ptr_array_free (rows, TRUE);
  jc_departures_free (restored);
  jc_departures_free (departures);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/departures/known", test_known);
  g_test_add_func ("/departures/unknown", test_unknown);
  g_test_add_func ("/departures/late-report", test_late_report);
  g_test_add_func ("/departures/answer-extends", test_answer_extends);
  g_test_add_func ("/departures/table", test_table);
  return g_test_run ();
}
