/* One request of a load and what came of it.  */

#include <string.h>

#include "load/load.h"

enum
{
  CONNECT_MS = 5000,
  TOTAL_DEFAULT_MS = 60000,
  HEADERS_MAX = 6,
  US_PER_S = 1000000,
  US_PER_MS = 1000
};

/* A request in flight.  Times are in s.  */
struct shot
{
  struct load_source *stream;
  const struct jc_load_target *target;
  struct answer *answer;
  double due_s;
  double last_token_s;
  char *endpoint;
  bool away;
};

static uint64_t
us_since (double then_s)
{
  double us = (load_now_s () - then_s) * US_PER_S;

  return us > 0 ? (uint64_t)us : 0;
}

static void
count_in (GHashTable *table, const char *key)
{
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (table, key));

  g_hash_table_replace (table, g_strdup (key), GUINT_TO_POINTER (count + 1));
}

/* Count OUTCOME in STATS.  */
void
load_stats_count (struct load_stats *stats, const char *outcome)
{
  count_in (stats->outcomes, outcome);
}

static void
shot_on_header (void *ctx, struct jc_str name, struct jc_str value)
{
  struct shot *shot = ctx;
  const char *region = shot->target->region;

  if (name.len == 16
      && g_ascii_strncasecmp (name.data, "X-Jaycove-Region", 16) == 0)
    shot->away
        = region[0] != '\0' && !jc_str_equal (value, jc_str_from_cstr (region));
  if (name.len == 18
      && g_ascii_strncasecmp (name.data, "X-Jaycove-Endpoint", 18) == 0)
    {
      g_free (shot->endpoint);
      shot->endpoint = jc_str_dup (value);
    }
}

static void
shot_on_data (void *ctx, struct jc_str data)
{
  struct shot *shot = ctx;
  struct load_stats *stats = &shot->stream->stats;
  unsigned int tokens = answer_check_add (shot->answer, data);

  if (tokens == 0)
    return;
  stats->tokens += tokens;
  if (shot->last_token_s > 0)
    jc_hist_add (&stats->between_tokens,
                 us_since (shot->last_token_s) / tokens);
  else
    jc_hist_add (&stats->first_token, us_since (shot->due_s));
  shot->last_token_s = load_now_s ();
}

static void
shot_count_whole (const struct shot *shot)
{
  struct load_stats *stats = &shot->stream->stats;
  int64_t deadline_ms = shot->stream->klass->deadline_ms;
  uint64_t took_us = us_since (shot->due_s);

  stats->whole++;
  stats->away += shot->away;
  jc_hist_add (&stats->latency, took_us);
  if (deadline_ms == 0 || took_us <= (uint64_t)deadline_ms * US_PER_MS)
    stats->in_time++;
  if (shot->endpoint != NULL)
    count_in (stats->endpoints, shot->endpoint);
}

static void
shot_on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct shot *shot = ctx;
  struct load_source *stream = shot->stream;
  const char *verdict
      = answer_check_outcome (shot->answer, result->http_status);

  if (result->status != JC_OK && strcmp (verdict, "ok") == 0)
    verdict = "not_whole";
  if (result->status == JC_TIMEOUT)
    verdict = "no_answer";
  else if (result->status == JC_UNREACHABLE)
    verdict = "no_connection";
  if (strcmp (verdict, "ok") == 0)
    shot_count_whole (shot);
  load_stats_count (&stream->stats, verdict);
  answer_check_free (shot->answer);
  g_free (shot->endpoint);
  g_free (shot);
  load_request_ended (stream->load);
}

static char *
shot_body (const struct load_source *stream, const char *mark)
{
  const struct jc_load_class *klass = stream->klass;
  char *fill = g_strnfill ((gsize)klass->body_bytes, 'x');
  char *body;

  if (klass->engine)
    body = g_strdup_printf (
        "{\"user\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{"
        "\"role\":\"system\",\"content\":\"prefix %d\"},{\"role\":\"user\","
        "\"content\":\"%s\"}]}",
        mark, klass->stream ? "true" : "false", (int)klass->tokens,
        g_rand_int_range (stream->rand, 0, (gint32)klass->prefixes), fill);
  else
    body = g_strdup_printf ("{\"mark\":\"%s\",\"fill\":\"%s\"}", mark, fill);
  g_free (fill);
  return body;
}

static void
shot_send (struct shot *shot, const char *mark, const char *body)
{
  static const struct jc_httpc_call_ops ops = { .header = shot_on_header,
                                                .data = shot_on_data,
                                                .done = shot_on_done };
  const struct jc_load_class *klass = shot->stream->klass;
  struct load *load = shot->stream->load;
  char *url = g_strconcat ("http://", shot->target->address, klass->path, NULL);
  char *headers[HEADERS_MAX] = { g_strdup ("Content-Type: application/json") };
  int count = 1;
  struct jc_httpc_call_spec spec = { .method = "POST",
                                     .url = url,
                                     .headers = (const char *const *)headers,
                                     .body = jc_str_from_cstr (body),
                                     .connect_timeout_ms = CONNECT_MS,
                                     .total_timeout_ms = TOTAL_DEFAULT_MS };

  if (klass->key[0] != '\0')
    headers[count++] = g_strconcat ("Authorization: Bearer ", klass->key, NULL);
  if (klass->keyed)
    headers[count++] = g_strconcat ("Idempotency-Key: ", mark, NULL);
  if (klass->deadline_ms > 0)
    {
      headers[count++]
          = g_strdup_printf ("X-Deadline-Ms: %d", (int)klass->deadline_ms);
      spec.total_timeout_ms
          = (long)(klass->deadline_ms + load->profile->grace_ms);
    }
  jc_httpc_call_start (load->httpc, &spec, &ops, shot);
  while (count > 0)
    g_free (headers[--count]);
  g_free (url);
}

/* Send the next request of STREAM, which was due at DUE_S.  */
void
load_request_start (struct load_source *stream, double due_s)
{
  struct load *load = stream->load;
  struct shot *shot = g_new0 (struct shot, 1);
  char *mark = g_strdup_printf (
      "%s-%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, load->label,
      stream->klass->name, load->seed, load->sent++);
  char *body = shot_body (stream, mark);

  shot->stream = stream;
  shot->target = g_ptr_array_index (
      stream->targets, stream->next_target++ % stream->targets->len);
  shot->answer = answer_check_new (stream->klass, mark);
  shot->due_s = due_s;
  stream->stats.sent++;
  load->in_flight++;
  shot_send (shot, mark, body);
  g_free (mark);
  g_free (body);
}
