/* Tests of the adapter for the platform's protocol.  */

#include <glib.h>
#include <string.h>

#include "net/httphead.h"
#include "platform/platform.h"
#include "serve/statement.h"

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

/* Return the number of errors in the configuration TEXT.  */
static guint
count_faults (const char *text)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  guint count;

  jc_routetable_unref (
      platform_parse_routes (jc_str_from_cstr (text), NULL, faults));
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
      NULL, faults);
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

/* Guards against large numbers that are cut to other ones: a maximum of
   attempts of 0, or a timeout of none.  */
static void
test_large_numbers (void)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = platform_parse_routes (
      JC_STR_LIT (
          CONFIG (ROUTE (",\"max-attempts\":4294967296,\"priority\":1e300,"
                         "\"slo-ms\":1e300,\"service\":\"s\""))),
      NULL, faults);
  const struct jc_hostroute *route;

  g_assert_cmpuint (faults->len, ==, 0);
  route = jc_routetable_find (table, "a.example", "/x/1");
  g_assert_cmpuint (route->endpoints_max, ==, INT32_MAX);
  g_assert_cmpuint (route->priority, ==, INT32_MAX);
  g_assert_cmpint (route->objective_ms, >, INT32_MAX);
  jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
}

static void
test_invalid_configurations (void)
{
  const char *valid = CONFIG (ROUTE (",\"service\":\"s\""));
  char *truncated = g_strndup (valid, strlen (valid) - 1);

  g_assert_cmpuint (count_faults (valid), ==, 0);
  g_assert_cmpuint (count_faults (truncated), >, 0);
  g_assert_cmpuint (count_faults ("[]"), >, 0);
  g_assert_cmpuint (count_faults ("{\"version\":\"7\"}"), >, 0);
  g_assert_cmpuint (count_faults ("{\"version\":7}"), >, 0);
  g_assert_cmpuint (count_faults (CONFIG (ROUTE (""))), >, 0);
  g_assert_cmpuint (count_faults (CONFIG (ROUTE (",\"service\":\"t\""))), >, 0);
  g_assert_cmpuint (count_faults (CONFIG (ROUTE (",\"service\":3"))), >, 0);
  g_assert_cmpuint (count_faults (CONFIG (ROUTE (",\"split\":[]"))), >, 0);
  g_assert_cmpuint (
      count_faults (CONFIG (ROUTE (",\"service\":\"s\",\"max-attempts\":-1"))),
      >, 0);
  g_assert_cmpuint (count_faults (CONFIG (
                        ROUTE (",\"service\":\"s\",\"home-regions\":\"n\""))),
                    >, 0);
  g_assert_cmpuint (
      count_faults (CONFIG (
          ROUTE (",\"service\":\"s\"") "," ROUTE (",\"service\":\"s\""))),
      >, 0);
  g_free (truncated);
}

static enum jc_status
parse_report (const char *body, struct jc_endpoint_report *out)
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

  g_assert_cmpint (parse_report (REPORT (",\"state\":\"ready\",\"sequence\":4,"
                                         "\"born\":1700000000000,"
                                         "\"warmup-left-ms\":900"),
                                 &out),
                   ==, JC_OK);
  g_assert_cmpuint (out.endpoint.incarnation, ==, 1700000000000U);
  g_assert_cmpuint (out.endpoint.sequence, ==, 4);
  g_assert_cmpuint (out.endpoint.cold_ms, ==, 900);
  g_assert_false (out.endpoint.leaving);
  g_assert_cmpint (
      parse_report (REPORT (",\"state\":\"draining\",\"sequence\":5"), &out),
      ==, JC_OK);
  g_assert_true (out.endpoint.leaving);
}

/* Guards against an answer of an engine about its state that can't be read, or
   names no start, being taken for one that names it.  */
static void
test_states (void)
{
  static const char *const bad[] = { "",
                                     "{",
                                     "[]",
                                     "5",
                                     "{}",
                                     "{\"born\":-1}",
                                     "{\"born\":\"1\"}",
                                     "{\"born\":1.5}",
                                     "{\"born\":null}",
                                     "{\"state\":{\"born\":5}}" };
  uint64_t incarnation = 0;
  struct jc_str body = JC_STR_LIT (
      "{\"phase\":\"both\",\"sequence\":0,\"born\":1700000000000}");

  g_assert_true (platform_protocol.parse_state (body, &incarnation));
  g_assert_cmpuint (incarnation, ==, 1700000000000U);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      body = (struct jc_str){ .data = bad[i], .len = strlen (bad[i]) };
      g_assert_false (platform_protocol.parse_state (body, &incarnation));
    }
}

static void
test_invalid_reports (void)
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
    g_assert_cmpint (parse_report (bodies[i], &out), !=, JC_OK);
}

/* Return a head with COUNT headers, FIELDS.  */
static struct jc_head
make_head (const struct jc_head_field *fields, unsigned int count)
{
  struct jc_head head = { .field_count = count };

  memcpy (head.fields, fields, count * sizeof *fields);
  return head;
}

static void
test_request_headers (void)
{
  const struct jc_head_field fields[]
      = { { "X-Jaycove-Attempt-Id", "9c41" },
          { "X-Jaycove-Deadline-Ms", "12000" },
          { "Last-Event-Id", "12" },
          { "X-Jaycove-Token-Count", "1460, 80" },
          { "X-Jaycove-Length-Hint", "30" },
          { "X-Jaycove-Prompt-Prefix", "5c1e:800,91bd:410, e440:250" } };
  struct jc_head head = make_head (fields, G_N_ELEMENTS (fields));
  struct jc_request_info request;

  g_assert_cmpint (platform_parse_request (&head, &request), ==, JC_OK);
  g_assert_cmpstr (request.attempt_id, ==, "9c41");
  g_assert_cmpint (request.timeout_ms, ==, 12000);
  g_assert_cmpint (request.resume_after, ==, 12);
  g_assert_cmpuint (request.prompt_tokens, ==, 1460);
  g_assert_cmpuint (request.answer_tokens, ==, 30);
  g_assert_cmpuint (request.parts_count, ==, 3);
  g_assert_cmpuint (request.parts[1].tokens, ==, 410);
  g_assert_cmpuint (request.parts[0].id, !=, request.parts[1].id);
  head.fields[1].value = "soon";
  g_assert_cmpint (platform_parse_request (&head, &request), ==,
                   JC_BAD_REQUEST);
}

/* Parts of a prompt are counted up to the first malformed one.  */
static void
test_malformed_prompt_parts (void)
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
      struct jc_head head = make_head (fields, G_N_ELEMENTS (fields));
      struct jc_request_info request;

      g_assert_cmpint (platform_parse_request (&head, &request), ==, JC_OK);
      g_assert_cmpuint (request.parts_count, ==, rows[i].parts);
    }
}

/* Headers that only the gateway may set are not forwarded from callers.  */
static void
test_forwarded_headers (void)
{
  static const char *const not_forwarded[] = {
    "X-Jaycove-Hold", "x-jaycove-pin-ms",          "X-Jaycove-Kv-Backup",
    "Kv-From",        "X-Jaycove-Expect-Instance", "X-Jaycove-Deadline-Ms"
  };
  static const char *const forwarded[] = { "X-Jaycove-Attempt-Id",
                                           "X-Jaycove-Model",
                                           "X-Jaycove-Token-Count",
                                           "X-Jaycove-Prompt-Prefix",
                                           "Host",
                                           "X-Other" };

  for (size_t i = 0; i < G_N_ELEMENTS (not_forwarded); i++)
    g_assert_false (platform_forward_to_endpoint (not_forwarded[i]));
  for (size_t i = 0; i < G_N_ELEMENTS (forwarded); i++)
    g_assert_true (platform_forward_to_endpoint (forwarded[i]));
}

/* Return the header lines of an attempt that copies from the engine COPY_FROM,
   which may be NULL.  */
static GPtrArray *
attempt_lines (const char *copy_from)
{
  const struct jc_attempt_info info = { .copy_from = copy_from,
                                        .time_left_ms = 9,
                                        .resume_after = -1,
                                        .priority = -1 };
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  platform_add_attempt_headers (&info, lines);
  return lines;
}

/* An endpoint is told where to copy from only if there is such an engine, and
   never by the caller.  */
static void
test_copy_header (void)
{
  GPtrArray *without = attempt_lines (NULL);
  GPtrArray *with = attempt_lines ("10.0.0.2:80");

  g_assert_cmpuint (with->len, ==, without->len + 1);
  g_assert_cmpstr (g_ptr_array_index (with, with->len - 1), ==,
                   "Kv-Fetch: 10.0.0.2:80");
  g_assert_false (platform_forward_to_endpoint ("kv-fetch"));
  g_ptr_array_free (with, TRUE);
  g_ptr_array_free (without, TRUE);
}

/* Return the time of a copied token in a configuration whose engines have
   FIELDS, JSON.  */
static double
copy_ms (const char *fields)
{
  char *text = g_strconcat (
      "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"s\","
      "\"health-path\":\"/h\",\"engine\":{\"slots\":64",
      fields, "}}],\"limits\":{}}", NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table
      = platform_parse_routes (jc_str_from_cstr (text), NULL, faults);
  double ms;

  g_assert_cmpuint (faults->len, ==, 0);
  ms = jc_routetable_find_service (table, "s")->engine.copy_ms_per_token;
  jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
  g_free (text);
  return ms;
}

/* Engines copy from each other only if the configuration says that they move
   caches, how large those are and how fast the links.  What can't be read
   refuses no configuration, as no instance did before.  */
static void
test_copy_configuration (void)
{
  g_assert_cmpfloat (
      copy_ms (",\"moves\":true,\"kv-bytes\":125000,\"link-mbps\":1000.0"), ==,
      1);
  g_assert_cmpfloat (copy_ms (""), ==, 0);
  g_assert_cmpfloat (copy_ms (",\"kv-bytes\":125000,\"link-mbps\":1000.0"), ==,
                     0);
  g_assert_cmpfloat (copy_ms (",\"moves\":true,\"kv-bytes\":125000"), ==, 0);
  g_assert_cmpfloat (
      copy_ms (",\"moves\":true,\"kv-bytes\":\"x\",\"link-mbps\":1000.0"), ==,
      0);
}

static void
test_answer_headers (void)
{
  const struct jc_head_field fields[] = { { "X-Jaycove-Server-Stamp", "x" },
                                          { "X-Jaycove-Server-Load", "3,1,8" },
                                          { "X-Jaycove-Warmup-Ms", "70" } };
  struct jc_head head = make_head (fields, G_N_ELEMENTS (fields));
  struct jc_answer_info answer;

  head.status = 200;
  platform_parse_answer (&head, &answer);
  g_assert_true (answer.genuine);
  g_assert_true (answer.is_signed);
  g_assert_cmpuint (answer.not_run_fields, ==, 0);
  g_assert_true (answer.has_load);
  g_assert_cmpuint (answer.queued, ==, 1);
  g_assert_cmpint (answer.cold_ms, ==, 70);
  head.fields[2] = (struct jc_head_field){ "Content-Encoding", "gzip" };
  platform_parse_answer (&head, &answer);
  g_assert_false (answer.genuine);
  g_assert_true (answer.is_signed);
}

/* Guards against taking a success that says "not run" for a refusal: the
   request was sent to another endpoint, though it may have run.  */
static void
test_contradictory_refusal (void)
{
  static const struct
  {
    int status;
    bool not_run;
  } cases[] = { { 200, false }, { 204, false }, { 302, false },
                { 400, true },  { 429, true },  { 503, true } };
  const struct jc_head_field fields[] = { { "X-Jaycove-Not-Executed", "1" } };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct jc_head head = make_head (fields, G_N_ELEMENTS (fields));
      struct jc_answer_info answer;
      struct jc_statement_input input = { 0 };

      head.status = cases[i].status;
      platform_parse_answer (&head, &answer);
      input.http = head.status;
      input.not_run_fields = answer.not_run_fields;
      input.is_signed = answer.is_signed;
      g_assert_cmpint (jc_statement_is_not_run (jc_statement_of (&input)), ==,
                       cases[i].not_run);
    }
}

/* Guards against reading a rate limit from a malformed header, and against
   rejecting a legal one.  */
static void
test_answer_limits (void)
{
  static const struct
  {
    const char *value;
    double per_s;
  } cases[]
      = { { "1", 1 },    { "1.2", 1.2 }, { ".5", 0.5 },
          { "0", 0 },    { "", -1 },     { "99999999999999999999", 1000000 },
          { ".", -1 },   { "-1", -1 },   { "+1", -1 },
          { "nan", -1 }, { "inf", -1 },  { "1e999", -1 },
          { "1,5", -1 }, { "1.2.3", -1 } };
  struct jc_head_field fields[]
      = { { "server-limit", NULL }, { "Server-Limit", "2" } };
  struct jc_answer_info answer;
  struct jc_head head = make_head (fields, 0);

  platform_parse_answer (&head, &answer);
  g_assert_cmpfloat (answer.limit_per_s, ==, -1);
  g_assert_null (answer.malformed);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fields[0].value = cases[i].value;
      head = make_head (fields, 1);
      platform_parse_answer (&head, &answer);
      g_assert_cmpfloat (answer.limit_per_s, ==, cases[i].per_s);
      g_assert_true ((answer.malformed != NULL) == (cases[i].per_s < 0));
    }
  head = make_head (fields, 2);
  platform_parse_answer (&head, &answer);
  g_assert_cmpfloat (answer.limit_per_s, ==, -1);
  g_assert_nonnull (answer.malformed);
}

/* Guards against reading a pause or a leave from a malformed header, or a pause
   from an answer that is no refusal.  */
static void
test_answer_pauses_and_leaves (void)
{
  static const struct
  {
    const char *value;
    int64_t pause_ms;
    bool leaving;
  } cases[] = { { "6", 6000, false },
                { "1.25", 1250, false },
                { "0", 0, false },
                { "1", 1000, true },
                { "99999999999999999999", 3600000, false },
                { "", -1, false },
                { "-1", -1, false },
                { "nan", -1, false },
                { "1e999", -1, false },
                { "1,5", -1, false },
                { "Fri, 04 Dec 2026 16:00:00 GMT", -1, false } };
  struct jc_head_field fields[]
      = { { "Retry-After", NULL }, { "Server-Leaving", NULL } };
  struct jc_answer_info answer;

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct jc_head head;

      fields[0].value = cases[i].value;
      fields[1].value = cases[i].value;
      head = make_head (fields, 1);
      head.status = 200;
      platform_parse_answer (&head, &answer);
      g_assert_cmpint (answer.pause_ms, ==, -1);
      head.status = 503;
      platform_parse_answer (&head, &answer);
      g_assert_cmpint (answer.pause_ms, ==, cases[i].pause_ms);
      g_assert_true ((answer.malformed != NULL) == (cases[i].pause_ms < 0));
      head = make_head (fields, 2);
      platform_parse_answer (&head, &answer);
      g_assert_true (answer.leaving == cases[i].leaving);
    }
}

/* Guards against a refusal limit that is misread, so that an endpoint ends
   under what it has to refuse, or a sound one gets less than it serves.  */
static void
test_answer_refusal_limits (void)
{
  static const struct
  {
    const char *value;
    int refusals_max;
  } cases[] = { { "3", 3 },
                { "0", 0 },
                { "0.9", 0 },
                { "2.5", 2 },
                { "99999999999999999999", 1000000 },
                { "", -1 },
                { "-1", -1 },
                { "nan", -1 },
                { "1e3", -1 },
                { "3,4", -1 } };
  struct jc_head_field fields[]
      = { { "server-brittle", NULL }, { "Server-Brittle", "2" } };
  struct jc_answer_info answer;
  struct jc_head head = make_head (fields, 0);

  platform_parse_answer (&head, &answer);
  g_assert_cmpint (answer.refusals_max_per_s, ==, -1);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fields[0].value = cases[i].value;
      head = make_head (fields, 1);
      platform_parse_answer (&head, &answer);
      g_assert_cmpint (answer.refusals_max_per_s, ==, cases[i].refusals_max);
      g_assert_true ((answer.malformed != NULL) == (cases[i].refusals_max < 0));
    }
  head = make_head (fields, 2);
  platform_parse_answer (&head, &answer);
  g_assert_cmpint (answer.refusals_max_per_s, ==, -1);
  g_assert_nonnull (answer.malformed);
}

/* Guards against a load header with signs, exponents or leftovers that makes an
   endpoint look full for ever.  */
static void
test_malformed_loads (void)
{
  static const char *const values[]
      = { "",       "3",      "3,1",    "-1,0,8", "3,-1,8", "+3,1,8",
          "3,1,8x", "3,1,8,", " 3,1,8", "a,b,c",  "3;1;8",  "1e9,0,8" };
  struct jc_head_field field = { "X-Jaycove-Server-Load", "3, 1, 8" };
  struct jc_head head = make_head (&field, 1);
  struct jc_answer_info answer;

  platform_parse_answer (&head, &answer);
  g_assert_true (answer.has_load);
  g_assert_cmpuint (answer.slots, ==, 8);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      field.value = values[i];
      head = make_head (&field, 1);
      platform_parse_answer (&head, &answer);
      g_assert_false (answer.has_load);
      g_assert_cmpstr (answer.malformed_load, ==, "X-Jaycove-Server-Load");
    }
  field.value = "99999999999999999999,0,8";
  head = make_head (&field, 1);
  platform_parse_answer (&head, &answer);
  g_assert_true (answer.has_load);
  g_assert_cmpuint (answer.running, ==, UINT32_MAX);
}

/* Guards against a fourth figure, or further ones that aren't known, that lose
   the load; and against a fourth one that is misread.  */
static void
test_further_loads (void)
{
  static const struct
  {
    const char *text;
    unsigned int percent;
    bool readable;
  } rows[] = {
    { "3,1,8", 0, true },           { "3,1,8,100", 100, true },
    { "3, 1, 8, 250", 250, true },  { "3,1,8,87,5", 87, true },
    { "3,1,8,87,x;y,,", 87, true }, { "3,1,8,87 ,-4.5", 87, true },
    { "3,1,8,0", 0, false },        { "3,1,8,-5", 0, false },
    { "3,1,8,1e2", 0, false },      { "3,1,8,12.5", 0, false },
    { "3,1,8,,7", 0, false },       { "3,1,8,fast,7", 0, false },
    { "3,1,8, ", 0, false },        { "3,1,8,99999999999", 100000, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct jc_head_field field = { "X-Jaycove-Server-Load", rows[i].text };
      struct jc_head head = make_head (&field, 1);
      struct jc_answer_info answer;

      platform_parse_answer (&head, &answer);
      g_assert_true (answer.has_load);
      g_assert_cmpuint (answer.running, ==, 3);
      g_assert_cmpuint (answer.queued, ==, 1);
      g_assert_cmpuint (answer.slots, ==, 8);
      g_assert_cmpuint (answer.work_percent, ==, rows[i].percent);
      g_assert_true ((answer.malformed_load == NULL) == rows[i].readable);
    }
}

static void
test_event_ids (void)
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
  g_test_add_func ("/platform/copy-header", test_copy_header);
  g_test_add_func ("/platform/copy-configuration", test_copy_configuration);
  g_test_add_func ("/platform/configuration", test_configuration);
  g_test_add_func ("/platform/large-numbers", test_large_numbers);
  g_test_add_func ("/platform/invalid-configurations",
                   test_invalid_configurations);
  g_test_add_func ("/platform/reports", test_reports);
  g_test_add_func ("/platform/states", test_states);
  g_test_add_func ("/platform/invalid-reports", test_invalid_reports);
  g_test_add_func ("/platform/request-headers", test_request_headers);
  g_test_add_func ("/platform/malformed-prompt-parts",
                   test_malformed_prompt_parts);
  g_test_add_func ("/platform/forwarded-headers", test_forwarded_headers);
  g_test_add_func ("/platform/answer-headers", test_answer_headers);
  g_test_add_func ("/platform/contradictory-refusal",
                   test_contradictory_refusal);
  g_test_add_func ("/platform/answer-limits", test_answer_limits);
  g_test_add_func ("/platform/answer-pauses-and-leaves",
                   test_answer_pauses_and_leaves);
  g_test_add_func ("/platform/answer-refusal-limits",
                   test_answer_refusal_limits);
  g_test_add_func ("/platform/malformed-loads", test_malformed_loads);
  g_test_add_func ("/platform/further-loads", test_further_loads);
  g_test_add_func ("/platform/event-ids", test_event_ids);
  return g_test_run ();
}
