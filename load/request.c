/* Sends one request and counts its outcome.  */

#include <string.h>

#include "load/load.h"

enum
{
  CONNECT_TIMEOUT_MS = 5000,
  TOTAL_TIMEOUT_DEFAULT_MS = 60000,
  HEADERS_MAX = 6,
  US_PER_S = 1000000,
  US_PER_MS = 1000
};

/* A request in flight.  Times are those of load_now_s; LAST_TOKEN_S is 0 before
   the first token.  AWAY is set if another region than the target's answered;
   ENDPOINT is the endpoint that the answer names, or NULL.  */
struct request
{
  struct load_source *source;
  const struct jc_load_target *target;
  struct answer_check *check;
  double due_s;
  double last_token_s;
  char *endpoint;
  bool away;
};

/* Return the microseconds since THEN_S, 0 if it is in the future.  */
static uint64_t
us_since (double then_s)
{
  double us = (load_now_s () - then_s) * US_PER_S;

  return us > 0 ? (uint64_t)us : 0;
}

/* Add 1 to the count of KEY in TABLE.  */
static void
counts_add (GHashTable *table, const char *key)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, key));

  g_hash_table_replace (table, g_strdup (key), GUINT_TO_POINTER (count + 1));
}

/* Count one request with OUTCOME in STATS.  */
void
load_stats_count (struct load_stats *stats, const char *outcome)
{
  counts_add (stats->outcomes, outcome);
}

static void
request_on_header (void *ctx, struct jc_str name, struct jc_str value)
{
  struct request *request = ctx;
  const char *region = request->target->region;

  if (name.len == 16
      && g_ascii_strncasecmp (name.data, "X-Jaycove-Region", 16) == 0)
    request->away
        = region[0] != '\0' && !jc_str_equal (value, jc_str_from_cstr (region));
  if (name.len == 18
      && g_ascii_strncasecmp (name.data, "X-Jaycove-Endpoint", 18) == 0)
    {
      g_free (request->endpoint);
      request->endpoint = jc_str_dup (value);
    }
}

/* Check DATA of the answer and record its tokens.  Of tokens that
   arrive together, the mean interval is recorded once.  */
static void
request_on_data (void *ctx, struct jc_str data)
{
  struct request *request = ctx;
  struct load_stats *stats = &request->source->stats;
  unsigned int tokens = answer_check_add (request->check, data);

  if (tokens == 0)
    return;
  stats->tokens += tokens;
  if (request->last_token_s > 0)
    jc_hist_add (&stats->between_tokens,
                 us_since (request->last_token_s) / tokens);
  else
    jc_hist_add (&stats->first_token, us_since (request->due_s));
  request->last_token_s = load_now_s ();
}

/* Count the complete and correct answer to REQUEST.  */
static void
request_count_whole (const struct request *request)
{
  struct load_stats *stats = &request->source->stats;
  int64_t deadline_ms = request->source->klass->deadline_ms;
  uint64_t took_us = us_since (request->due_s);

  stats->whole++;
  stats->away += request->away;
  jc_hist_add (&stats->latency, took_us);
  if (deadline_ms == 0 || took_us <= (uint64_t)deadline_ms * US_PER_MS)
    stats->in_time++;
  if (request->endpoint != NULL)
    counts_add (stats->endpoints, request->endpoint);
}

static void
request_on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct request *request = ctx;
  struct load_source *source = request->source;
  const char *outcome
      = answer_check_outcome (request->check, result->http_status);

  if (result->status != JC_OK && strcmp (outcome, "ok") == 0)
    outcome = "not_whole";
  if (result->status == JC_TIMEOUT)
    outcome = "no_answer";
  else if (result->status == JC_UNREACHABLE)
    outcome = "no_connection";
  if (strcmp (outcome, "ok") == 0)
    request_count_whole (request);
  load_stats_count (&source->stats, outcome);
  answer_check_free (request->check);
  g_free (request->endpoint);
  g_free (request);
  load_request_ended (source->load);
}

/* Return the JSON body of the request REQUEST_ID, free with g_free.  A request
   to an engine begins with one of the class's prompt prefixes.  */
static char *
request_body (const struct load_source *source, const char *request_id)
{
  const struct jc_load_class *klass = source->klass;
  char *fill = g_strnfill ((gsize)klass->body_bytes, 'x');
  char *body;

  if (klass->engine)
    body = g_strdup_printf (
        "{\"user\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{"
        "\"role\":\"system\",\"content\":\"prefix %d\"},{\"role\":\"user\","
        "\"content\":\"%s\"}]}",
        request_id, klass->stream ? "true" : "false", (int)klass->tokens,
        g_rand_int_range (source->rand, 0, (gint32)klass->prefixes), fill);
  else
    body = g_strdup_printf ("{\"mark\":\"%s\",\"fill\":\"%s\"}", request_id,
                            fill);
  g_free (fill);
  return body;
}

/* Send REQUEST with BODY.  A keyed class has REQUEST_ID as its
   idempotency key.  */
static void
request_post (struct request *request, const char *request_id, const char *body)
{
  static const struct jc_httpc_call_ops ops = { .header = request_on_header,
                                                .data = request_on_data,
                                                .done = request_on_done };
  const struct jc_load_class *klass = request->source->klass;
  struct load_test *load = request->source->load;
  char *url
      = g_strconcat ("http://", request->target->address, klass->path, NULL);
  char *headers[HEADERS_MAX] = { g_strdup ("Content-Type: application/json") };
  int count = 1;
  struct jc_httpc_call_spec spec
      = { .method = "POST",
          .url = url,
          .headers = (const char *const *)headers,
          .body = jc_str_from_cstr (body),
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .total_timeout_ms = TOTAL_TIMEOUT_DEFAULT_MS };

  if (klass->key[0] != '\0')
    headers[count++] = g_strconcat ("Authorization: Bearer ", klass->key, NULL);
  if (klass->keyed)
    headers[count++] = g_strconcat ("Idempotency-Key: ", request_id, NULL);
  if (klass->deadline_ms > 0)
    {
      headers[count++]
          = g_strdup_printf ("X-Deadline-Ms: %d", (int)klass->deadline_ms);
      spec.total_timeout_ms
          = (long)(klass->deadline_ms + load->profile->grace_ms);
    }
  jc_httpc_call_start (load->httpc, &spec, &ops, request);
  while (count > 0)
    g_free (headers[--count]);
  g_free (url);
}

/* Send the next request of SOURCE, which was due at DUE_S, to the next of its
   targets.  */
void
load_request_start (struct load_source *source, double due_s)
{
  struct load_test *load = source->load;
  struct request *request = g_new0 (struct request, 1);
  char *request_id = g_strdup_printf (
      "%s-%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, load->label,
      source->klass->name, load->seed, load->sent++);
  char *body = request_body (source, request_id);

  request->source = source;
  request->target = g_ptr_array_index (
      source->targets, source->next_target++ % source->targets->len);
  request->check = answer_check_new (source->klass, request_id);
  request->due_s = due_s;
  source->stats.sent++;
  load->in_flight++;
  request_post (request, request_id, body);
  g_free (request_id);
  g_free (body);
}
