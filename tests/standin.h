/* What the stand-in endpoints share: announcing themselves to the entry
   instances of a zone.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  STANDIN_ENTRIES_MAX = 16
};

/* A stand-in endpoint.  RUNNING and QUEUED are what it announces, at most
   every ANNOUNCE_MS.  */
struct standin
{
  struct ev_loop *loop;
  struct jc_httpc *httpc;
  struct jc_httpd *httpd;
  const char *name;
  const char *service;
  const char *model;
  const char *entries[STANDIN_ENTRIES_MAX];
  int entry_count;
  char *address;
  unsigned int slots;
  unsigned int running;
  unsigned int queued;
  unsigned long executions;
  uint64_t incarnation;
  uint64_t sequence;
  bool leaving;
  ev_timer announce;
  ev_signal term;
};

void standin_start (struct standin *standin, const char *listen,
                    const struct jc_httpd_class *klass, void *ctx);

#endif
