/* jaycove-load: what its parts share.  */

#ifndef LOAD_H
#define LOAD_H

#include <ev.h>
#include <stdio.h>

#include "base/metrics.h"
#include "net/httpc.h"
#include "schema/gen/objects.h"

/* What was seen of one class.  Histograms are in microseconds, counted from
   the time at which the request was due.  OUTCOMES counts answers by error
   kind, "ok" for whole ones; AWAY counts whole answers of another region.  */
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

struct load;

/* A class and its arrivals.  */
struct load_source
{
  struct load *load;
  const struct jc_load_class *klass;
  GPtrArray *targets;
  GRand *rand;
  double rate_per_s;
  guint next_target;
  double next_arrival_s;
  ev_timer timer;
  struct load_stats stats;
};

/* A run.  Times in s are of the loop's clock.  */
struct load
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

/* run */
void load_run (struct load *load, double factor);
void load_sources_free (struct load *load);
void load_request_ended (struct load *load);
double load_now_s (void);

/* shot: one request */
void load_request_start (struct load_source *stream, double due_s);
void load_stats_count (struct load_stats *stats, const char *outcome);

/* answer: what a whole answer of a request's own looks like */
struct answer;

struct answer *answer_check_new (const struct jc_load_class *klass,
                                 const char *mark);
void answer_check_free (struct answer *answer);
unsigned int answer_check_add (struct answer *answer, struct jc_str data);
const char *answer_check_outcome (struct answer *answer, int http);

/* report */
void report_table (const struct load *load, FILE *out);
void report_csv (const struct load *load, FILE *out, bool head);
void report_json (const struct load *load, FILE *out);

#endif
