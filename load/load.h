/* Types and functions of the load generator, jaycove-load.  */

#ifndef LOAD_H
#define LOAD_H

#include <ev.h>
#include <stdio.h>

#include "base/metrics.h"
#include "net/httpc.h"
#include "schema/gen/objects.h"

/* Results of one class.  The histograms are in microseconds.  LATENCY and
   FIRST_TOKEN count from the time at which the request was due, so that a late
   sender does not hide a delay.  WHOLE counts answers that are complete and
   correct, IN_TIME those of them within the class's deadline, AWAY those from
   another region than the target's.  OUTCOMES counts requests by outcome: "ok"
   for whole answers, else the kind of error.  ENDPOINTS counts whole answers by
   the endpoint that they name.  */
struct load_stats
{
  struct jc_hist latency;
  struct jc_hist first_token;
  struct jc_hist between_tokens;
  uint64_t sent;
  uint64_t whole;
  uint64_t in_time;
  uint64_t away;
  uint64_t tokens;
  GHashTable *outcomes;
  GHashTable *endpoints;
};

struct load_test;

/* The source of one class's requests: its arrival process, with the time of the
   next arrival, and its results.  Requests go to the TARGETS in turn.  */
struct load_source
{
  struct load_test *load;
  const struct jc_load_class *klass;
  GPtrArray *targets;
  GRand *rand;
  double rate_per_s;
  guint next_target;
  double next_arrival_s;
  ev_timer timer;
  struct load_stats stats;
};

/* One run of the load generator.  Requests due at END_S, a time of load_now_s,
   or later are not sent.  SENT counts the requests of all sources.  */
struct load_test
{
  struct ev_loop *loop;
  struct jc_httpc *httpc;
  const struct jc_load_profile *profile;
  GPtrArray *sources;
  const char *label;
  uint64_t seed;
  uint64_t sent;
  unsigned int in_flight;
  double end_s;
};

/* run.c: arrivals */
void load_run (struct load_test *load, double factor);
void load_sources_free (struct load_test *load);
void load_request_ended (struct load_test *load);
double load_now_s (void);

/* request.c: one request and its answer */
void load_request_start (struct load_source *source, double due_s);
void load_stats_count (struct load_stats *stats, const char *outcome);

/* answer.c: whether an answer is complete and belongs to its request */
struct answer_check;

struct answer_check *answer_check_new (const struct jc_load_class *klass,
                                       const char *request_id);
void answer_check_free (struct answer_check *check);
unsigned int answer_check_add (struct answer_check *check, struct jc_str data);
const char *answer_check_outcome (struct answer_check *check, int http_status);

/* report.c: results as a table, CSV or JSON */
void report_table (const struct load_test *load, FILE *out);
void report_csv (const struct load_test *load, FILE *out, bool write_header);
void report_json (const struct load_test *load, FILE *out);

#endif
