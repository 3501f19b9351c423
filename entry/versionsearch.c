/* Version search: asks state instances which software version began a stream
   that a caller resumes.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/exchange.h"
#include "net/program.h"
#include "serve/resumption.h"

enum
{
  /* Time for an answer: the log is read in up to two round trips between
     regions of 160 ms each, and its leader may have to be found.  */
  ANSWER_TIMEOUT_MS = 800,
  /* A search without an outcome is made again for this long.  An instance that
        has lost its connections opens them again meanwhile, and an endpoint
     that is alive reports once more.  */
  SEARCH_MS = 1700,
  SEARCH_INTERVAL_MS = 200,
  /* A stream that no endpoint is known for waits for this long after its caller
     came: what other regions serve is reported each 0.5 s.  */
  PLACE_MS = 1000
};

/* A search for the version of EXCHANGE's stream; EXCHANGE is NULL once it has
   ended or was told the outcome.  */
struct search
{
  struct jc_resumption answers;
  struct router *router;
  struct exchange *exchange;
  char *service;
};

static void
search_unref (struct search *search)
{
  if (search->answers.pending > 0)
    return;
  if (search->exchange != NULL)
    search->exchange->search = NULL;
  g_free (search->service);
  g_free (search);
}

/* Count that a search, for a caller's request or within an answer, ended with
   OUTCOME.  */
static void
count_outcome (const struct router *router, enum jc_resumption_outcome outcome)
{
  char labels[64];

  g_snprintf (labels, sizeof labels, "outcome=\"%s\"",
              jc_resumption_outcome_name (outcome));
  jc_metrics_counter_add (router->entry->metrics, "jaycove_resumptions_total",
                          labels, 1);
}

/* Give EXCHANGE the OUTCOME of its search: SOFTWARE, or 0 if its stream can't
   go on.  */
static void
set_outcome (struct exchange *exchange, enum jc_resumption_outcome outcome,
             uint64_t software, int64_t ms)
{
  exchange->software = software;
  exchange->search_ended = true;
  count_outcome (exchange->router, outcome);
  jc_event (JC_EVENT_RESUME,
            "id=%s first_id=%s service=%s last_event=%" PRId64
            " software=%016" PRIx64 " ms=%" PRId64 " outcome=%s",
            exchange_id (exchange),
            exchange->request_info.resumes != NULL
                ? exchange->request_info.resumes
                : "-",
            exchange->service, exchange->relay.last_event, software, ms,
            jc_resumption_outcome_name (outcome));
}

/* Let the search for EXCHANGE's version be made again later, if SEARCH, which
   has    ended, lacks answers or got one that an endpoint's next report may
   make certain, and there is time.  */
static bool
search_again (const struct search *search, struct exchange *exchange)
{
  const struct jc_resumption *answers = &search->answers;

  if (answers->software != 0 || answers->conflict
      || jc_now_ms () - exchange->search_started_ms >= SEARCH_MS
      || (answers->answered > 0 && !answers->uncertain
          && (answers->only != 0 || answers->unanswered == 0)))
    return false;
  exchange->search_again_ms = jc_now_ms () + SEARCH_INTERVAL_MS;
  g_ptr_array_add (exchange->router->unsearched, exchange);
  return true;
}

/* Tell the exchange of SEARCH the outcome if there is one, and free SEARCH once
   all questions are answered.  */
static void
search_proceed (struct search *search)
{
  struct exchange *exchange = search->exchange;
  uint64_t software;
  enum jc_resumption_outcome outcome
      = jc_resumption_outcome (&search->answers, &software);

  if (exchange == NULL || outcome == JC_RESUMPTION_WAIT)
    {
      search_unref (search);
      return;
    }
  search->exchange = NULL;
  exchange->search = NULL;
  if (!search_again (search, exchange))
    {
      set_outcome (exchange, outcome, software,
                   jc_now_ms () - exchange->search_started_ms);
      exchange_attempt (exchange);
    }
  search_unref (search);
}

/* Return whether the endpoint of CLAIM has reported since the start, so that it
   was the process that began the stream.  */
static bool
confirms_claim (const struct router *router,
                const struct rpc_stream_claim *claim)
{
  const struct jc_endpoint *endpoint
      = jc_endpoints_find_by_tag (router->endpoints, claim->endpoint_tag);

  return endpoint != NULL
         && jc_resumption_is_confirmed (endpoint->reported_ms,
                                        jc_now_ms ()
                                            - (int64_t)claim->start.age_ms);
}

static void
on_found (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct search *search = ctx;
  const struct rpc_stream_found *found
      = status == JC_OK && reply->body.type == RPC_STREAM_FOUND
            ? &reply->body.rpc_body_u.stream_found
            : NULL;

  jc_resumption_note_start (
      &search->answers, found,
      found != NULL
          && (found->certain
              || confirms_claim (search->router, &found->claim)));
  search_proceed (search);
}

static void
on_versions (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct search *search = ctx;
  bool answered = status == JC_OK && reply->body.type == RPC_VERSIONS;

  if (answered)
    jc_versions_update (search->router->versions,
                        &reply->body.rpc_body_u.versions);
  jc_resumption_note_versions (
      &search->answers, answered,
      jc_versions_only (search->router->versions, search->service));
  search_proceed (search);
}

/* Ask CONN with PACKET; REPLY gets the answer for SEARCH.  */
static void
search_ask (struct search *search, struct jc_rpc_conn *conn,
            struct rpc_packet *packet, jc_rpc_reply_fn *reply)
{
  int64_t left = search->exchange->relay.deadline_ms - jc_now_ms ();

  search->answers.pending++;
  if (jc_rpc_call (conn, packet, (long)CLAMP (left, 1, ANSWER_TIMEOUT_MS),
                   reply, search)
      != 0)
    return;
  search->answers.pending--;
  search->answers.unanswered++;
}

/* Add what this instance recorded itself of the stream of SEARCH's exchange,
   whose version isn't certain here.  */
static void
note_own_start (struct search *search)
{
  const struct exchange *exchange = search->exchange;
  const struct jc_stream_start *start = jc_stream_starts_find (
      exchange->router->starts, exchange->stream, jc_now_ms ());

  if (start == NULL)
    return;
  search->answers.uncertain = true;
  search->answers.conflict = start->conflict;
}

/* Start to look for the version that began EXCHANGE's stream.  */
static void
search_start (struct exchange *exchange)
{
  struct router *router = exchange->router;
  struct search *search = g_new0 (struct search, 1);
  GPtrArray *holders = starts_list_holders (router, exchange->stream);

  search->router = router;
  search->exchange = exchange;
  search->service = g_strdup (exchange->service);
  exchange->search = search;
  note_own_start (search);
  if (exchange->search_started_ms == 0)
    exchange->search_started_ms = jc_now_ms ();
  for (guint i = 0; i < holders->len && exchange->stream != 0; i++)
    {
      struct rpc_packet packet = { .body.type = RPC_STREAM_FIND };

      packet.body.rpc_body_u.stream_find.stream = exchange->stream;
      search_ask (search, g_ptr_array_index (holders, i), &packet, on_found);
    }
  /* Versions are never removed, so that several remain several.  Without an id
     it isn't known which of several services began the stream.  */
  if (router->orders_source != NULL
      && (exchange->stream != 0 || exchange->route->splits->len <= 1)
      && !jc_versions_has_several (router->versions, exchange->service))
    {
      struct rpc_packet packet = { .body.type = RPC_VERSIONS_READ };

      search_ask (search, router->orders_source, &packet, on_versions);
    }
  g_ptr_array_free (holders, TRUE);
}

/* Return whether START's endpoint has reported since the start.  */
static bool
confirms_own_start (const struct router *router,
                    const struct jc_stream_start *start)
{
  const struct rpc_stream_claim claim
      = jc_stream_start_to_rpc (start, jc_now_ms ());

  return confirms_claim (router, &claim);
}

/* Look for the version of EXCHANGE's stream among the starts that this instance
   recorded itself.  Return whether it is there.  */
static bool
find_own_start (struct exchange *exchange)
{
  const struct jc_stream_start *start = jc_stream_starts_find (
      exchange->router->starts, exchange->stream, jc_now_ms ());

  if (start == NULL || start->conflict
      || !(start->certain || confirms_own_start (exchange->router, start)))
    return false;
  set_outcome (exchange, JC_RESUMPTION_KNOWN, start->software, 0);
  return true;
}

/* Look for the version that began EXCHANGE's stream.  Return JC_OK if it is
   known, JC_CROWDED if others were asked, after which exchange_attempt is
   called, and JC_VERSION_UNKNOWN if it was not found.  */
enum jc_status
versionsearch_run (struct exchange *exchange)
{
  if (exchange->search != NULL)
    return jc_fail (JC_CROWDED, "The stream's version is looked for.");
  if (exchange->search_ended)
    return jc_fail (JC_VERSION_UNKNOWN,
                    "Which software version began the stream is not known.");
  if (exchange->stream != 0 && find_own_start (exchange))
    return JC_OK;
  search_start (exchange);
  if (exchange->search->answers.pending > 0)
    return jc_fail (JC_CROWDED, "The stream's version is looked for.");
  if (search_again (exchange->search, exchange))
    {
      search_unref (exchange->search);
      return jc_fail (JC_CROWDED, "No state instance is connected.");
    }
  search_unref (exchange->search);
  set_outcome (exchange, JC_RESUMPTION_UNKNOWN, 0,
               jc_now_ms () - exchange->search_started_ms);
  return jc_fail (JC_VERSION_UNKNOWN, "No state instance is connected.");
}

/* No endpoint of the version that began EXCHANGE's stream is known.  Return
   whether the next attempt is made later, since another region may serve the
   version and be heard of meanwhile.  */
bool
versionsearch_wait (struct exchange *exchange)
{
  int64_t now = jc_now_ms ();

  if (exchange->software == 0 || exchange->handed_over
      || exchange->tried->len > 0 || now - exchange->started_ms >= PLACE_MS)
    return false;
  exchange->search_again_ms = now + SEARCH_INTERVAL_MS;
  g_ptr_array_add (exchange->router->unsearched, exchange);
  return true;
}

/* EXCHANGE ends: forget its search.  */
void
versionsearch_forget (struct exchange *exchange)
{
  if (exchange->search != NULL)
    exchange->search->exchange = NULL;
  exchange->search = NULL;
  g_ptr_array_remove (exchange->router->unsearched, exchange);
}

/* Search again for the versions of those streams whose search got no answer. */
void
versionsearch_tick (struct router *router)
{
  GPtrArray *unsearched = router->unsearched;
  int64_t now = jc_now_ms ();

  router->unsearched = g_ptr_array_new ();
  for (guint i = 0; i < unsearched->len; i++)
    {
      struct exchange *exchange = g_ptr_array_index (unsearched, i);

      if (exchange->search_again_ms > now)
        g_ptr_array_add (router->unsearched, exchange);
      else
        exchange_attempt (exchange);
    }
  g_ptr_array_free (unsearched, TRUE);
}
