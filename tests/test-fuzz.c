/* Fuzz tests of the parsers of untrusted input: heads of requests, chunked
   bodies, events of streams, and the platform's prompts, configurations and
   reports.  For any input the result must not depend on how the bytes are
   split, the length of a body must not be ambiguous, since that allows request
   smuggling, and values must be within their limits.  */

#include <string.h>

#include "net/chunks.h"
#include "net/httphead.h"
#include "platform/platform.h"
#include "serve/sse.h"
#include "tests/fuzz.h"

enum
{
  PORT_MAX = 65535
};

static const char *const head_seeds[]
    = { "GET /a/b?c=d HTTP/1.1\r\nHost: a.example\r\nAccept: */*\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n"
        "X-Jaycove-Token-Count: 1460,80\r\n"
        "X-Jaycove-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
        "X-Jaycove-Deadline-Ms: 1200\r\nLast-Event-Id: 12\r\n\r\n",
        "POST /x HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: keep-alive, x\r\nX: \r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nServer-Limit: 1.25\r\nRetry-After: 6\r\n"
        "Server-Leaving: 1\r\nX-Jaycove-Warmup-Ms: 70\r\n\r\n",
        NULL };
static const char *const head_dictionary[]
    = { "\r\n",
        "\n",
        "\r",
        "\r\n ",
        "Content-Length: 5\r\n",
        "chunked",
        "0",
        "-1",
        ",",
        "Transfer-Encoding: gzip\r\n",
        ": ",
        "\t",
        " ",
        "18446744073709551616",
        "HTTP/1.1",
        "\r\n\r\n",
        "X-Jaycove-Prompt-Prefix: a:9,b:9\r\n",
        "99999999999",
        "Server-Limit: ",
        "Retry-After: ",
        "1e999",
        "nan",
        ".",
        NULL };

static int
append_target (http_parser *parser, const char *at, size_t len)
{
  jc_head_build_target (parser->data, at, len);
  return 0;
}

static int
append_name (http_parser *parser, const char *at, size_t len)
{
  jc_head_build_name (parser->data, at, len);
  return 0;
}

static int
append_value (http_parser *parser, const char *at, size_t len)
{
  jc_head_build_value (parser->data, at, len);
  return 0;
}

static int
end_head (http_parser *parser)
{
  jc_head_build_end (parser->data, parser);
  http_parser_pause (parser, 1);
  return 0;
}

/* Parse BYTES into HEAD.  Return true if they begin with a well-formed
   head.  */
static bool
parse_head (struct jc_str bytes, struct jc_head *head)
{
  static const http_parser_settings settings
      = { .on_url = append_target,
          .on_header_field = append_name,
          .on_header_value = append_value,
          .on_headers_complete = end_head };
  struct jc_head_build build = { .head = head };
  http_parser parser;
  size_t scanned = 0;
  ssize_t len = jc_head_find_end (bytes, &scanned);

  memset (head, 0, sizeof *head);
  if (len < 0)
    return false;
  bytes.len = (size_t)len;
  if (!jc_head_is_well_formed (bytes))
    return false;
  jc_head_init (head, bytes);
  http_parser_init (&parser, HTTP_REQUEST);
  parser.data = &build;
  http_parser_execute (&parser, &settings, head->bytes, bytes.len);
  return HTTP_PARSER_ERRNO (&parser) == HPE_PAUSED && !build.overflow;
}

/* Return how many lines of TEXT, the unparsed head, begin with NAME and a
   colon.  */
static unsigned int
count_lines_with (struct jc_str text, const char *name)
{
  unsigned int count = 0;
  struct jc_str line;

  while (jc_str_cut (&text, '\n', &line))
    if (line.len > strlen (name) && line.data[strlen (name)] == ':'
        && g_ascii_strncasecmp (line.data, name, strlen (name)) == 0)
      count++;
  return count;
}

static void
check_fields (const struct jc_head *head)
{
  g_assert_cmpuint (head->field_count, <=, JC_HEAD_FIELDS_MAX);
  for (unsigned int i = 0; i < head->field_count; i++)
    {
      g_assert_cmpuint (strlen (head->fields[i].name), >, 0);
      g_assert_null (strpbrk (head->fields[i].name, " \t\r\n:"));
      g_assert_null (strpbrk (head->fields[i].value, "\r\n"));
    }
  if (jc_head_is_path_target (head->target))
    for (const char *c = head->target; *c != '\0'; c++)
      g_assert_true ((unsigned char)*c > ' ' && *c != 0x7f);
}

static void
check_prompt (const struct jc_head *head)
{
  struct jc_request_info request;

  if (platform_parse_request (head, &request) != JC_OK)
    return;
  g_assert_cmpuint (request.parts_count, <=, JC_PROMPT_PARTS_MAX);
  g_assert_cmpint (request.timeout_ms, >=, 0);
  g_assert_cmpint (request.resume_after, >=, -1);
}

/* What an endpoint asks for in an answer with these fields is within bounds,
   whatever their values.  */
static void
check_answer (struct jc_head *head)
{
  struct jc_answer_info answer;

  head->status = 503;
  platform_parse_answer (head, &answer);
  g_assert_true (answer.limit_per_s >= 0 ? answer.limit_per_s <= 1e6
                                         : answer.limit_per_s > -1.5);
  g_assert_cmpint (answer.pause_ms, >=, -1);
  g_assert_cmpint (answer.pause_ms, <=, 3600000);
  g_assert_cmpint (answer.cold_ms, >=, -1);
}

/* A head that is accepted gives the length of its body at most once, as counted
   in the unparsed bytes, and a copy of it has the same fields.  */
static void
fuzz_head (struct jc_str bytes, GRand *rand)
{
  struct jc_head head;
  struct jc_head copy;

  (void)rand;
  if (parse_head (bytes, &head))
    {
      check_fields (&head);
      check_prompt (&head);
      check_answer (&head);
      bytes.len = head.len;
      if (jc_head_has_clear_length (&head))
        g_assert_cmpuint (count_lines_with (bytes, "Content-Length")
                              + count_lines_with (bytes, "Transfer-Encoding"),
                          <=, 1);
      jc_head_copy (&copy, &head);
      g_assert_cmpuint (copy.field_count, ==, head.field_count);
      for (unsigned int i = 0; i < head.field_count; i++)
        g_assert_cmpstr (copy.fields[i].value, ==, head.fields[i].value);
      jc_head_clear (&copy);
    }
  jc_head_clear (&head);
}

static const char *const chunk_seeds[]
    = { "5\r\nhello\r\n0\r\n\r\n", "a;x=y\r\n0123456789\r\n0\r\nT: v\r\n\r\n",
        "1\r\na\r\n2 \r\nbc\r\n000\r\n\r\n", NULL };
static const char *const chunk_dictionary[]
    = { "\r\n", "\n", "\r", "0\r\n\r\n", ";",        "f", "fffffffffffffff",
        "-1",   " ",  "0x", "\r\n\r\n",  "T: v\r\n", "0", NULL };

static bool
feed_chunks (void *ctx, struct jc_str piece)
{
  return jc_chunks_feed (ctx, piece);
}

/* Reference parser.  Return the length of the chunked body at the start of
   TEXT, or -1 if it is incomplete or malformed.  */
static ssize_t
reference_chunked_length (const char *text, size_t len)
{
  const char *end = text + len;
  const char *at = text;

  for (;;)
    {
      size_t digits = 0;
      guint64 size = 0;
      const char *line = at;

      while (at < end && g_ascii_isxdigit (*at))
        {
          size = size * 16 + (guint64)g_ascii_xdigit_value (*at++);
          digits++;
        }
      at = memmem (at, (size_t)(end - at), "\r\n", 2);
      if (at == NULL || digits == 0 || digits > 15
          || memchr (line, '\n', (size_t)(at - line)) != NULL)
        return -1;
      at += 2;
      if (size == 0)
        break;
      if ((guint64)(end - at) < size + 2 || memcmp (at + size, "\r\n", 2) != 0)
        return -1;
      at += size + 2;
    }
  while (end - at >= 2 && memcmp (at, "\r\n", 2) != 0)
    {
      const char *next = memmem (at, (size_t)(end - at), "\r\n", 2);

      if (next == NULL)
        return -1;
      at = next + 2;
    }
  return end - at >= 2 ? at + 2 - text : -1;
}

/* The result does not depend on how the bytes are split, and a body that is
   accepted as complete is complete for the reference parser too.  */
static void
fuzz_chunks (struct jc_str bytes, GRand *rand)
{
  struct jc_chunks whole;
  struct jc_chunks pieces;
  bool valid;

  jc_chunks_init (&whole);
  jc_chunks_init (&pieces);
  valid = jc_chunks_feed (&whole, bytes);
  fuzz_in_pieces (bytes, rand, feed_chunks, &pieces);
  if (!valid)
    return;
  g_assert_cmpint (whole.state, ==, pieces.state);
  g_assert_cmpuint (whole.chunk_left, ==, pieces.chunk_left);
  if (whole.state == JC_CHUNKS_END)
    g_assert_cmpint (reference_chunked_length (bytes.data, bytes.len), ==,
                     (ssize_t)bytes.len);
}

static const char *const event_seeds[]
    = { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
        "id: 7\rdata: x\r\r: comment\n\ndata: [DONE]\n\n", NULL };
static const char *const event_dictionary[]
    = { "\n", "\r", "\r\n", "\n\n", "\r\n\r\n", "id: ", "data: ", ":", NULL };

/* The events that were parsed from a stream: EVENTS has the bytes of all COUNT
   of them, each followed by "|".  */
struct parsed_stream
{
  struct jc_sse sse;
  GString *events;
  unsigned int count;
};

static bool
append_event (void *ctx, struct jc_str event)
{
  struct parsed_stream *parsed_stream = ctx;
  int64_t id = -1;

  g_assert_cmpuint (event.len, >=, 2);
  if (platform_parse_event_id (event, &id))
    g_assert_cmpint (id, >=, 0);
  g_string_append_len (parsed_stream->events, event.data, (gssize)event.len);
  g_string_append_c (parsed_stream->events, '|');
  parsed_stream->count++;
  return true;
}

static bool
feed_stream (void *ctx, struct jc_str piece)
{
  struct parsed_stream *parsed_stream = ctx;

  return jc_sse_feed (&parsed_stream->sse, piece, append_event, parsed_stream)
         == JC_OK;
}

static void
parsed_stream_init (struct parsed_stream *parsed_stream)
{
  jc_sse_init (&parsed_stream->sse);
  parsed_stream->events = g_string_new (NULL);
  parsed_stream->count = 0;
}

static void
parsed_stream_clear (struct parsed_stream *parsed_stream)
{
  jc_sse_free (&parsed_stream->sse);
  g_string_free (parsed_stream->events, TRUE);
}

/* The events do not depend on how the bytes are split, and no byte is lost.  */
static void
fuzz_stream (struct jc_str bytes, GRand *rand)
{
  struct parsed_stream whole;
  struct parsed_stream pieces;

  parsed_stream_init (&whole);
  parsed_stream_init (&pieces);
  feed_stream (&whole, bytes);
  fuzz_in_pieces (bytes, rand, feed_stream, &pieces);
  g_assert_cmpmem (whole.events->str, whole.events->len, pieces.events->str,
                   pieces.events->len);
  g_assert_cmpuint (whole.events->len - whole.count + whole.sse.partial->len,
                    ==, bytes.len);
  parsed_stream_clear (&whole);
  parsed_stream_clear (&pieces);
}

static const char *const configuration_seeds[]
    = { "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","
        "\"path-prefix\":\"/x/\",\"route-kind\":\"safe\",\"timeout-ms\":100,"
        "\"service\":\"s\",\"max-attempts\":2,\"home-regions\":[\"n\"]}],"
        "\"services\":[{\"name\":\"s\",\"health-path\":\"/h\","
        "\"max-conns\":9,\"warmup-s\":3.0,\"warmup-per-s\":2.1,"
        "\"engine\":{\"slots\":64,\"kv-capacity\":1000}}],"
        "\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,"
        "\"header-timeout-ms\":300,\"idle-timeout-ms\":400}}",
        "{\"version\":8,\"routes\":[{\"name\":\"q\",\"host\":\"b.example\","
        "\"path-prefix\":\"/\",\"route-kind\":\"stream\",\"timeout-ms\":9,"
        "\"resumable\":true,\"gap-slo-ms\":80,\"slo-ms\":5,\"priority\":1,"
        "\"split\":[{\"service\":\"s\",\"weight\":90}]}],"
        "\"services\":[{\"name\":\"s\",\"health-path\":\"/h\","
        "\"max-conns\":9}],\"limits\":{\"max-header-bytes\":100,"
        "\"max-body-bytes\":200,\"header-timeout-ms\":300,"
        "\"idle-timeout-ms\":400}}",
        "{\"version\":9,\"routes\":[],\"services\":[],\"limits\":{},"
        "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"k\",\"l\"],"
        "\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":2,"
        "\"rate-per-s\":3.5,\"burst\":4,\"home-regions\":[\"n\"]},"
        "{\"name\":\"v\",\"api-keys\":[]}]}",
        NULL };
static const char *const json_dictionary[] = { "{",
                                               "}",
                                               "[",
                                               "]",
                                               "\"",
                                               ",",
                                               ":",
                                               "null",
                                               "-1",
                                               "1e99",
                                               "0",
                                               "0.5",
                                               "\"\"",
                                               "true",
                                               "\\u0000",
                                               "9223372036854775808",
                                               "\"service\":\"s\"",
                                               "[]",
                                               "{}",
                                               NULL };

static void
check_route (const struct jc_hostroute *route)
{
  g_assert_nonnull (route->host);
  g_assert_nonnull (route->prefix);
  g_assert_cmpint (route->timeout_ms, >, 0);
}

/* If a configuration has no errors, the values of its table are within their
   limits.  */
static void
fuzz_configurations (struct jc_str bytes, GRand *rand)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table = platform_parse_routes (bytes, NULL, faults);

  (void)rand;
  if (faults->len == 0)
    {
      g_assert_nonnull (table);
      for (guint i = 0; i < table->routes->len; i++)
        check_route (g_ptr_array_index (table->routes, i));
      g_assert_cmpint (table->limits.head_timeout_ms, >=, 0);
      g_assert_cmpint (table->limits.idle_timeout_ms, >=, 0);
    }
  if (table != NULL)
    jc_routetable_unref (table);
  g_ptr_array_free (faults, TRUE);
}

static const char *const report_seeds[]
    = { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":6,\"state\":\"ready\",\"sequence\":4,"
        "\"born\":1700000000000,\"warmup-left-ms\":900}",
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":6,\"state\":\"draining\",\"sequence\":5}",
        NULL };

/* A report that is accepted has a service, an address and a zone.  */
static void
fuzz_reports (struct jc_str bytes, GRand *rand)
{
  struct jc_endpoint_report report;

  (void)rand;
  if (platform_parse_report ("i-1", bytes, &report) != JC_OK)
    return;
  g_assert_cmpuint (strlen (report.endpoint.service), >, 0);
  g_assert_cmpuint (strlen (report.endpoint.zone), >, 0);
  g_assert_cmpuint (strlen (report.endpoint.address), >, 0);
  json_decref (report.json);
}

static const struct fuzz_target targets[]
    = { { "/fuzz/heads", fuzz_head, head_seeds, head_dictionary },
        { "/fuzz/chunks", fuzz_chunks, chunk_seeds, chunk_dictionary },
        { "/fuzz/events", fuzz_stream, event_seeds, event_dictionary },
        { "/fuzz/configurations", fuzz_configurations, configuration_seeds,
          json_dictionary },
        { "/fuzz/reports", fuzz_reports, report_seeds, json_dictionary } };

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (targets); i++)
    fuzz_add (&targets[i]);
  return g_test_run ();
}
