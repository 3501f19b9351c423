/* Tests of the platform's dialect: what it reads and writes.  */

#include <glib.h>
#include <string.h>

#include "net/httphead.h"
#include "platform/platform.h"

#define SERVICES                                                               \
  "\"services\":[{\"name\":\"s\",\"health-path\":\"/h\",\"max-conns\":9,"      \
  "\"warmup-s\":3.0,\"warmup-per-s\":2.1,\"engine\":{\"slots\":64,"            \
  "\"kv-capacity\":1000}}]"
#define ROUTE(fields)                                                          \
  "{\"name\":\"r\",\"host\":\"A.example\",\"path-prefix\":\"/x/\","            \
  "\"route-kind\":\"safe\",\"timeout-ms\":100" fields "}"
#define CONFIG(routes)                                                         \
  "{\"version\":7,\"routes\":[" routes "]," SERVICES                           \
  ",\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,"              \
  "\"header-timeout-ms\":300,\"idle-timeout-ms\":400}}"

static guint
faults_in (const char *text)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  guint count;

  jc_routetable_unref (platform_parse_routes (jc_str_from_cstr (text), faults));
  count = faults->len;
  g_ptr_array_free (faults, TRUE);
  return count;
}

static void
test_configuration (void)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = platform_parse_routes (
      JC_STR_LIT (CONFIG (ROUTE (
          ",\"slo-ms\":50,\"priority\":2,\"max-attempts\":2,\"sticky\":true,"
          "\"resumable\":true,\"gap-slo-ms\":80,\"home-regions\":[\"n\"],"
          "\"split\":[{\"service\":\"s\",\"weight\":90}]"))),
      faults);
  const struct jc_hostroute *route;
  const struct jc_hostservice *service;

  g_assert_cmpuint (faults->len, ==, 0);
  g_assert_cmpuint (table->version, ==, 7);
  route = jc_routetable_find (table, "a.example", "/x/1");
  g_assert_cmpint (route->kind, ==, JC_ROUTE_IDEMPOTENT);
  g_assert_cmpint (route->objective_ms, ==, 50);
  g_assert_cmpint (route->gap_ms, ==, 80);
  g_assert_cmpuint (route->priority, ==, 2);
  g_assert_cmpuint (route->endpoints_max, ==, 2);
  g_assert_true (route->resumable);
  g_assert_false (jc_hostroute_allows (route, "m"));
  service = jc_routetable_find_service (table, "s");
  g_assert_cmpint (service->cold_ms, ==, 3000);
  g_assert_cmpuint (service->engine.slots, ==, 64);
  g_assert_cmpint (table->limits.idle_timeout_ms, ==, 400);
  jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
}

static void
test_bad_configurations (void)
{
  const char *whole = CONFIG (ROUTE (",\"service\":\"s\""));
  char *cut = g_strndup (whole, strlen (whole) - 1);

  g_assert_cmpuint (faults_in (whole), ==, 0);
  g_assert_cmpuint (faults_in (cut), >, 0);
  g_assert_cmpuint (faults_in ("[]"), >, 0);
  g_assert_cmpuint (faults_in ("{\"version\":\"7\"}"), >, 0);
  g_assert_cmpuint (faults_in ("{\"version\":7}"), >, 0);
  g_assert_cmpuint (faults_in (CONFIG (ROUTE (""))), >, 0);
  g_assert_cmpuint (faults_in (CONFIG (ROUTE (",\"service\":\"t\""))), >, 0);
  g_assert_cmpuint (faults_in (CONFIG (ROUTE (",\"service\":3"))), >, 0);
  g_assert_cmpuint (faults_in (CONFIG (ROUTE (",\"split\":[]"))), >, 0);
  g_assert_cmpuint (
      faults_in (CONFIG (ROUTE (",\"service\":\"s\",\"max-attempts\":-1"))), >,
      0);
  g_assert_cmpuint (
      faults_in (CONFIG (ROUTE (",\"service\":\"s\",\"home-regions\":\"n\""))),
      >, 0);
  g_assert_cmpuint (faults_in (CONFIG (ROUTE (",\"service\":\"s\"") "," ROUTE (
                        ",\"service\":\"s\""))),
                    >, 0);
  g_free (cut);
}

static enum jc_status
report (const char *body, struct jc_endpoint_report *out)
{
  enum jc_status status
      = platform_parse_report ("i-1", jc_str_from_cstr (body), out);

  if (status == JC_OK)
    json_decref (out->json);
  return status;
}

#define REPORT(fields)                                                         \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":"   \
  "6" fields "}"

static void
test_reports (void)
{
  struct jc_endpoint_report out;

  g_assert_cmpint (report (REPORT (",\"state\":\"ready\",\"sequence\":4,"
                                   "\"born\":1700000000000,"
                                   "\"warmup-left-ms\":900"),
                           &out),
                   ==, JC_OK);
  g_assert_cmpuint (out.endpoint.incarnation, ==, 1700000000000U);
  g_assert_cmpuint (out.endpoint.sequence, ==, 4);
  g_assert_cmpuint (out.endpoint.cold_ms, ==, 900);
  g_assert_false (out.endpoint.leaving);
  g_assert_cmpint (
      report (REPORT (",\"state\":\"draining\",\"sequence\":5"), &out), ==,
      JC_OK);
  g_assert_true (out.endpoint.leaving);
}

static void
test_garbled_reports (void)
{
  static const char *const bodies[]
      = { "",
          "{",
          "[]",
          "{}",
          REPORT (""),
          REPORT (",\"state\":\"resting\",\"sequence\":4"),
          REPORT (",\"state\":\"ready\",\"sequence\":\"4\""),
          REPORT (",\"state\":\"ready\",\"sequence\":-4"),
          REPORT (",\"state\":\"ready\",\"sequence\":4,\"born\":\"x\""),
          REPORT (",\"state\":\"ready\",\"sequence\":4,\"born\":1.5"),
          REPORT (",\"state\":\"ready\",\"sequence\":4,"
                  "\"warmup-left-ms\":\"x\""),
          "{\"service\":5,\"address\":\"a:1\",\"zone\":\"z\",\"slots\":6,"
          "\"state\":\"ready\",\"sequence\":4}",
          "{\"service\":\"s\",\"address\":\"a:1\",\"zone\":\"z\","
          "\"state\":\"ready\",\"sequence\":4}" };
  struct jc_endpoint_report out;

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    g_assert_cmpint (report (bodies[i], &out), !=, JC_OK);
}

/* Return the head of a request with LINES.  */
static struct jc_head
head_of (const struct jc_head_field *fields, unsigned int count)
{
  struct jc_head head = { .field_count = count };

  memcpy (head.fields, fields, count * sizeof *fields);
  return head;
}

static void
test_ask (void)
{
  const struct jc_head_field fields[]
      = { { "X-Jaycove-Attempt-Id", "9c41" },
          { "X-Jaycove-Deadline-Ms", "12000" },
          { "Last-Event-Id", "12" },
          { "X-Jaycove-Token-Count", "1460, 80" },
          { "X-Jaycove-Length-Hint", "30" },
          { "X-Jaycove-Prompt-Prefix", "5c1e:800,91bd:410, e440:250" } };
  struct jc_head head = head_of (fields, G_N_ELEMENTS (fields));
  struct jc_request_info ask;

  g_assert_cmpint (platform_parse_request (&head, &ask), ==, JC_OK);
  g_assert_cmpstr (ask.attempt_id, ==, "9c41");
  g_assert_cmpint (ask.timeout_ms, ==, 12000);
  g_assert_cmpint (ask.resume_after, ==, 12);
  g_assert_cmpuint (ask.prompt_tokens, ==, 1460);
  g_assert_cmpuint (ask.answer_tokens, ==, 30);
  g_assert_cmpuint (ask.parts_count, ==, 3);
  g_assert_cmpuint (ask.parts[1].tokens, ==, 410);
  g_assert_cmpuint (ask.parts[0].id, !=, ask.parts[1].id);
  head.fields[1].value = "soon";
  g_assert_cmpint (platform_parse_request (&head, &ask), ==, JC_BAD_REQUEST);
}

/* Parts of a prompt count up to the first one that can't be read.  */
static void
test_garbled_parts (void)
{
  static const struct
  {
    const char *text;
    unsigned int parts;
  } rows[] = { { "", 0 },         { ",", 0 },        { "a:1,", 1 },
               { "a:1, ", 1 },    { "a:1,,b:2", 1 }, { ":1", 0 },
               { "a", 0 },        { "a:", 0 },       { "a:-5", 0 },
               { "a:1,b:2x", 1 }, { "a:1,b:2 ", 2 } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      const struct jc_head_field fields[]
          = { { "X-Jaycove-Prompt-Prefix", rows[i].text } };
      struct jc_head head = head_of (fields, G_N_ELEMENTS (fields));
      struct jc_request_info ask;

      g_assert_cmpint (platform_parse_request (&head, &ask), ==, JC_OK);
      g_assert_cmpuint (ask.parts_count, ==, rows[i].parts);
    }
}

/* What only the gateway may say never comes from a caller.  */
static void
test_headers_of_callers (void)
{
  static const char *const dropped[] = {
    "X-Jaycove-Hold", "x-jaycove-pin-ms",          "X-Jaycove-Kv-Backup",
    "Kv-From",        "X-Jaycove-Expect-Instance", "X-Jaycove-Deadline-Ms"
  };
  static const char *const kept[] = { "X-Jaycove-Attempt-Id",
                                      "X-Jaycove-Model",
                                      "X-Jaycove-Token-Count",
                                      "X-Jaycove-Prompt-Prefix",
                                      "Host",
                                      "X-Other" };

  for (size_t i = 0; i < G_N_ELEMENTS (dropped); i++)
    g_assert_false (platform_forward_to_endpoint (dropped[i]));
  for (size_t i = 0; i < G_N_ELEMENTS (kept); i++)
    g_assert_true (platform_forward_to_endpoint (kept[i]));
}

static void
test_signs (void)
{
  const struct jc_head_field fields[] = { { "X-Jaycove-Server-Stamp", "x" },
                                          { "X-Jaycove-Server-Load", "3,1,8" },
                                          { "X-Jaycove-Warmup-Ms", "70" } };
  struct jc_head head = head_of (fields, G_N_ELEMENTS (fields));
  struct jc_answer_info signs;

  head.status = 200;
  platform_parse_answer (&head, &signs);
  g_assert_true (signs.genuine);
  g_assert_false (signs.not_run);
  g_assert_true (signs.has_load);
  g_assert_cmpuint (signs.queued, ==, 1);
  g_assert_cmpint (signs.cold_ms, ==, 70);
  head.fields[2] = (struct jc_head_field){ "Content-Encoding", "gzip" };
  platform_parse_answer (&head, &signs);
  g_assert_false (signs.genuine);
  head.status = 421;
  platform_parse_answer (&head, &signs);
  g_assert_true (signs.not_run);
}

static void
test_events (void)
{
  int64_t id = -1;

  g_assert_true (
      platform_parse_event_id (JC_STR_LIT ("id: 14\ndata: x\n\n"), &id));
  g_assert_cmpint (id, ==, 14);
  g_assert_true (
      platform_parse_event_id (JC_STR_LIT ("data: x\nid:15\n\n"), &id));
  g_assert_cmpint (id, ==, 15);
  g_assert_false (
      platform_parse_event_id (JC_STR_LIT ("data: id: 3\n\n"), &id));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform/configuration", test_configuration);
  g_test_add_func ("/platform/bad-configurations", test_bad_configurations);
  g_test_add_func ("/platform/reports", test_reports);
  g_test_add_func ("/platform/garbled-reports", test_garbled_reports);
  g_test_add_func ("/platform/ask", test_ask);
  g_test_add_func ("/platform/garbled-parts", test_garbled_parts);
  g_test_add_func ("/platform/headers-of-callers", test_headers_of_callers);
  g_test_add_func ("/platform/signs", test_signs);
  g_test_add_func ("/platform/events", test_events);
  return g_test_run ();
}
