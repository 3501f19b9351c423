/* HTTP client task: kept connections on a libev loop, answers read by
   http-parser.  */

#ifndef JC_HTTPC_H
#define JC_HTTPC_H

#include <ev.h>
#include <stdbool.h>

#include "base/status.h"
#include "base/str.h"
#include "net/httphead.h"
#include "net/progress.h"

struct jc_httpc;
struct jc_httpc_call;

/* What to ask.  Times are in ms, 0 for no limit; HEADERS is a NULL-ended
   list of "Name: value" or NULL.  A peer that acknowledges nothing for ACK_MS,
   0 for a usual time, is given up.  FIRST_MS, PAUSE_MS and STEPS limit how long
   the answer may go without progress.  A request that finds its kept connection
   closed is sent again on a new one, but for ONCE.  FRESH asks for a
   connection of its own that is not kept.  Answers whose header ECHO_NAME has
   another value than ECHO_VALUE belong to earlier requests and are skipped;
   ECHO_NAME may be NULL.  */
struct jc_httpc_call_spec
{
  const char *method;
  const char *url;
  const char *const *headers;
  struct jc_str body;
  long connect_timeout_ms;
  long ack_timeout_ms;
  long first_progress_ms;
  long progress_pause_ms;
  enum jc_progress_kind progress_kind;
  long total_timeout_ms;
  bool own_connection;
  bool no_resend;
  const char *echo_name;
  const char *echo_value;
};

/* How a call ended.  STATUS is JC_OK where the whole answer came, whatever
   HTTP says; SENT is false only where no byte of the request can have reached
   the peer; LOST that not even its host answered; FRAMED tells that the
   answer's length was known or chunked; REUSED that the connection had served
   before.  */
struct jc_httpc_call_result
{
  enum jc_status status;
  int http_status;
  bool sent;
  bool host_unreachable;
  bool framed;
  bool reused;
  enum jc_progress_fault progress_fault;
  const char *message;
};

/* Where a call's events go.  All but DONE may be NULL; HEADS gets the whole
   head right before HEAD.  SILENT is asked where the peer lets FIRST_MS or
   PAUSE_MS pass without progress: the call ends if it returns true, else it is
   asked again after as long.  After DONE the call is gone.  */
struct jc_httpc_call_ops
{
  void (*header) (void *ctx, struct jc_str name, struct jc_str value);
  void (*full_head) (void *ctx, const struct jc_head *head);
  void (*head) (void *ctx, int http, const char *content_type);
  void (*data) (void *ctx, struct jc_str data);
  bool (*silent) (void *ctx);
  void (*done) (void *ctx, const struct jc_httpc_call_result *result);
};

struct jc_httpc *jc_httpc_new (struct ev_loop *loop);
void jc_httpc_free (struct jc_httpc *httpc);
void jc_httpc_close_idle (struct jc_httpc *httpc, const char *address);
uint64_t jc_httpc_connections_opened (const struct jc_httpc *httpc);
struct jc_httpc_call *
jc_httpc_call_start (struct jc_httpc *httpc,
                     const struct jc_httpc_call_spec *spec,
                     const struct jc_httpc_call_ops *ops, void *ctx);
void jc_httpc_call_cancel (struct jc_httpc_call *call);
void jc_httpc_call_progress (struct jc_httpc_call *call);
void jc_httpc_call_pause (struct jc_httpc_call *call, bool paused);

#endif
