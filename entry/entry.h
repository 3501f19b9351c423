/* An entry instance: what its tasks share.  */

#ifndef ENTRY_H
#define ENTRY_H

#include <ev.h>

#include "base/metrics.h"
#include "conf/config.h"
#include "member/members.h"
#include "net/httpc.h"
#include "net/httpd.h"
#include "net/rpc.h"
#include "serve/policy.h"

/* Everything of the process; each task is owned by one module.  */
struct entry
{
  struct ev_loop *loop;
  const struct jc_entry_settings *settings;
  struct jc_config *config;
  struct jc_members *members;
  struct jc_metrics *metrics;
  struct jc_policy policy;
  struct jc_httpc *httpc;
  struct jc_httpd *callers;
  struct jc_httpd *operators;
  struct jc_rpc *rpc;
  unsigned int in_flight;
  bool draining;
};

struct jc_httpd *callers_listen (struct entry *entry);
struct jc_httpd *operators_listen (struct entry *entry);
void request_start (struct entry *entry, struct jc_http_req *req);
void request_gone (struct jc_http_req *req);
void announce_handle (struct entry *entry, struct jc_http_req *req);
void directory_handle (struct entry *entry, struct jc_http_req *req);
void follower_up (struct entry *entry, struct jc_rpc_conn *conn);
void follower_packet (struct entry *entry, struct jc_rpc_conn *conn,
                      const struct rpc_packet *packet);
struct jc_rpc_conn *follower_state_conn (struct entry *entry);
const char *http_bearer (const struct jc_http_req *req);

#endif
