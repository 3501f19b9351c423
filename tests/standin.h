/* Common part of the stand-in endpoints used by tests: announcements to the
   entry instances of a zone, execution counts and injected faults.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  STANDIN_ENTRIES_MAX = 16
};

/* Faults that a test injects through /fault or --fault: a delayed answer, an
   answer that breaks off, status 500, an answer that never comes or stops
   halfway, status 200 with an invalid body, and a refusal to execute.  */
enum standin_fault
{
  STANDIN_FAULT_NONE,
  STANDIN_FAULT_DELAY,
  STANDIN_FAULT_TRUNCATE,
  STANDIN_FAULT_FAIL,
  STANDIN_FAULT_SILENT,
  STANDIN_FAULT_GARBAGE,
  STANDIN_FAULT_REFUSE,
  STANDIN_FAULT_COUNT
};

/* A stand-in endpoint.

   RUNNING and QUEUED are announced each second.  With LAG_MS > 0 the values
   announced are those of the last sample, which is taken every LAG_MS, so they
   are up to LAG_MS old.  COPIES
   endpoints are announced at the same address.  FAULT applies to the next
   FAULT_REQUESTS_LEFT requests, or to all requests if that is 0.
   RUNS_BY_KEY maps an idempotency key to its number of executions.
   INCARNATION is the start time in microseconds since the epoch.  */
struct standin
{
  struct ev_loop *loop;
  struct jc_httpc *httpc;
  struct jc_httpd *httpd;
  const char *name;
  const char *service;
  const char *model;
  const char *listen;
  const char *entries[STANDIN_ENTRIES_MAX];
  int entry_count;
  char *address;
  unsigned int copies;
  unsigned int slots;
  unsigned int running;
  unsigned int queued;
  unsigned int reported_running;
  unsigned int reported_queued;
  int lag_ms;
  enum standin_fault fault;
  unsigned int fault_requests_left;
  int fault_delay_ms;
  unsigned long executions;
  unsigned long cancelled;
  GHashTable *runs_by_key;
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  ev_timer announce_timer;
  ev_timer sample_timer;
  ev_signal sigterm_watcher;
};

bool standin_parse_options (struct standin *standin, int argc, char **argv,
                            void **table, int count);
void standin_run (struct standin *standin, const struct jc_httpd_class *klass,
                  void *ctx);
bool standin_handle_control (struct standin *standin, struct jc_http_req *req);
enum standin_fault standin_take_fault (struct standin *standin);
bool standin_apply_fault (enum standin_fault fault, struct jc_http_req *req);
unsigned int standin_count_execution (struct standin *standin,
                                      const struct jc_http_req *req);
const char *standin_json_string (const json_t *json, const char *key);

#endif
