/* HTTP/1.1 client on a libev loop.  Connections are kept open for reuse;
   answers are parsed by http-parser.  */

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

/* A request and its limits.  Times are in ms, 0 for no limit.  HEADERS is a
   NULL-terminated list of "Name: value", or NULL.  ACK_TIMEOUT_MS is the TCP
   user timeout: the connection fails if the peer acknowledges no data for so
   long; 0 for the default.  FIRST_PROGRESS_MS, PROGRESS_PAUSE_MS and
   PROGRESS_KIND limit how long the answer may go without progress (see
   net/progress.h).  A request whose reused connection turns out to be closed
   is sent again on a new one, unless NO_RESEND is set and a byte was sent.
   OWN_CONNECTION opens a connection for this request alone and implies
   NO_RESEND.  The header ECHO_NAME of an answer names its request.  An answer
   with another value than ECHO_VALUE belongs to an earlier request and is
   skipped; one without a value may belong to any request, so the call fails. An
   empty ECHO_VALUE, of a request without an id, implies OWN_CONNECTION.
   ECHO_NAME may be NULL: then answers are told apart by their order alone.  */
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

/* The result of a call.  STATUS is JC_OK if the complete answer was received,
   whatever HTTP_STATUS is; HTTP_STATUS is 0 if no head was received.  SENT is
   false only if no byte of the request can have reached the peer.  SENDINGS is
   the number of connections that bytes of it were sent on: the answer tells
   only of the last one.
   HOST_UNREACHABLE is set if not even the peer's host answered, CONNECTING if
   no connection had come up when the time for the call was over, FRAMED if the
   answer had a known length or was chunked, REUSED if the connection had
   carried an earlier call.  */
struct jc_httpc_call_result
{
  enum jc_status status;
  int http_status;
  bool sent;
  unsigned int sendings;
  bool host_unreachable;
  bool connecting;
  bool framed;
  bool reused;
  enum jc_progress_fault progress_fault;
  const char *message;
};

/* Callbacks of a call.  All but DONE may be NULL.  SENT is called each time the
   request begins to be handed over to a connection: more than once if it is
   sent again.  MAY_SEND_AGAIN is asked before a request of which
   bytes were sent is sent again; NULL allows it.  Neither may end the call.
   HEADER is called for each field of the final head, then FULL_HEAD with the
   complete head, then HEAD. SILENT is called when FIRST_PROGRESS_MS or
   PROGRESS_PAUSE_MS passed without progress: if it returns true or is NULL the
   call fails with JC_TIMEOUT, otherwise it is called again after the same time.
   The call is freed after DONE.  */
struct jc_httpc_call_ops
{
  void (*sent) (void *ctx);
  bool (*may_send_again) (void *ctx);
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
int64_t jc_httpc_address_since_us (const struct jc_httpc *httpc,
                                   const char *address, int64_t *heard_us);
int64_t jc_httpc_address_since_ms (const struct jc_httpc *httpc,
                                   const char *address);
int64_t jc_httpc_address_lost_ms (const struct jc_httpc *httpc,
                                  const char *address);
int64_t jc_httpc_call_since_us (const struct jc_httpc_call *call);
uint64_t jc_httpc_connections_opened (const struct jc_httpc *httpc);
struct jc_httpc_call *
jc_httpc_call_start (struct jc_httpc *httpc,
                     const struct jc_httpc_call_spec *spec,
                     const struct jc_httpc_call_ops *ops, void *ctx);
bool jc_httpc_call_is_connecting (const struct jc_httpc_call *call);
void jc_httpc_call_cancel (struct jc_httpc_call *call);
void jc_httpc_call_progress (struct jc_httpc_call *call);
void jc_httpc_call_pause (struct jc_httpc_call *call, bool paused);

#endif
