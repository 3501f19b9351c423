/* What the stand-in endpoints share: announcing themselves to the entry
   instances of a zone, counting executions and being told to misbehave.  */

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

/* What may go wrong with an answer.  */
enum standin_fault
{
  STANDIN_OK,
  STANDIN_DELAY,
  STANDIN_TRUNCATE,
  STANDIN_FAIL,
  STANDIN_SILENT,
  STANDIN_GARBAGE,
  STANDIN_REFUSE,
  STANDIN_FAULTS
};

/* A stand-in endpoint.  RUNNING and QUEUED are announced each second, as
   they were up to twice LAG_MS ago; COPIES endpoints are announced at the
   same address.  The next FAULT_LEFT requests meet FAULT, all where that is
   0.  RUNS counts executions by idempotency key.  */
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
  unsigned int fault_left;
  int fault_ms;
  unsigned long executions;
  unsigned long cancelled;
  GHashTable *runs;
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  ev_timer announce;
  ev_timer sample;
  ev_signal term;
};

bool standin_options (struct standin *standin, int argc, char **argv,
                      void **table, int count);
void standin_start (struct standin *standin, const struct jc_httpd_class *klass,
                    void *ctx);
bool standin_control (struct standin *standin, struct jc_http_req *req);
enum standin_fault standin_next_fault (struct standin *standin);
bool standin_fault_answer (enum standin_fault fault, struct jc_http_req *req);
unsigned int standin_executed (struct standin *standin,
                               const struct jc_http_req *req);
const char *standin_text (const json_t *json, const char *key);

#endif
