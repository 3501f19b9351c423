/* What the files of the HTTP client task share; not for others.  */

#ifndef JC_HTTPC_PRIVATE_H
#define JC_HTTPC_PRIVATE_H

#include "net/chunks.h"
#include "net/httpc.h"
#include "net/progress.h"

/* IDLE maps an address to a GQueue of its kept connections, latest first.  */
struct jc_httpc
{
  struct ev_loop *loop;
  GHashTable *idle;
  GHashTable *calls;
  GPtrArray *dead_calls;
  GPtrArray *dead_links;
  ev_timer reaper;
  uint64_t opened;
};

/* A connection to ADDRESS, with the call that it carries or none.  KEEP_MS is
   how long the peer keeps it open while idle.  */
struct link
{
  struct jc_httpc *httpc;
  struct jc_call *call;
  char *address;
  int fd;
  bool connected;
  bool used;
  bool dead;
  bool idle;
  long keep_ms;
  ev_io reader;
  ev_io writer;
  ev_timer expiry;
  size_t out_pos;
  http_parser parser;
  struct jc_head head;
  struct jc_head_build build;
  struct jc_chunks chunks;
  GString *in;
  size_t scanned;
  bool head_done;
  bool skipping;
  bool message_done;
};

/* A call and the request that it sends.  END_AT and SILENT_AT are times on the
   loop's clock, in seconds, 0 for none.  */
struct jc_call
{
  struct jc_httpc *httpc;
  struct link *link;
  const struct jc_call_ops *ops;
  void *ctx;
  char *address;
  char *method;
  GString *request;
  char *echo_name;
  char *echo_value;
  long connect_ms;
  long ack_ms;
  struct jc_progress_limits limits;
  struct jc_progress progress;
  ev_timer timer;
  ev_tstamp end_at;
  ev_tstamp silent_at;
  bool fresh;
  bool once;
  bool paused;
  bool cancelled;
  bool sent;
  bool lost;
  bool reused;
  bool framed;
  int http;
};

/* In httplink.c.  */
struct link *link_idle (struct jc_httpc *httpc, const char *address);
struct link *link_open (struct jc_httpc *httpc, const char *address);
void link_carry (struct link *link, struct jc_call *call);
void link_close (struct link *link);
void link_free (struct link *link);
void link_pause (struct link *link, bool paused);
void link_expect (struct link *link);

/* In httpc.c.  */
void call_connected (struct jc_call *call);
void call_wrote (struct jc_call *call);
bool call_heard (struct jc_call *call, size_t count);
bool call_interim (struct jc_call *call);
void call_head (struct jc_call *call, const struct jc_head *head, bool framed);
void call_data (struct jc_call *call, struct jc_str data);
void call_whole (struct jc_call *call);
void call_failed (struct jc_call *call, enum jc_status status,
                  const char *message);
void httpc_wake_reaper (struct jc_httpc *httpc);

#endif
