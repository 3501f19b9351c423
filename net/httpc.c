/* HTTP client: calls.  */

#include <string.h>

#include "net/deadline.h"
#include "net/httpcprivate.h"

enum
{
  MS_PER_S = 1000,
  US_PER_MS = 1000
};

/* Free ended calls and closed connections; none of their functions is on the
   stack.  */
static void
on_reap_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_httpc *httpc = watcher->data;
  GPtrArray *calls = httpc->dead_calls;
  GPtrArray *conns = httpc->dead_conns;

  (void)loop;
  (void)events;
  httpc->dead_calls = g_ptr_array_new ();
  httpc->dead_conns = g_ptr_array_new ();
  for (guint i = 0; i < calls->len; i++)
    {
      struct jc_httpc_call *call = g_ptr_array_index (calls, i);

      g_hash_table_remove (httpc->calls, call);
    }
  for (guint i = 0; i < conns->len; i++)
    httpc_conn_free (g_ptr_array_index (conns, i));
  g_ptr_array_free (calls, TRUE);
  g_ptr_array_free (conns, TRUE);
}

/* Free ended calls and closed connections of HTTPC in the next iteration of
   the loop.  */
void
httpc_schedule_reap (struct jc_httpc *httpc)
{
  if (!ev_is_active (&httpc->reaper))
    {
      ev_timer_set (&httpc->reaper, 0, 0);
      ev_timer_start (httpc->loop, &httpc->reaper);
    }
}

static void
call_free (gpointer data)
{
  struct jc_httpc_call *call = data;

  ev_timer_stop (call->httpc->loop, &call->timer);
  g_string_free (call->request, TRUE);
  g_free (call->address);
  g_free (call->method);
  g_free (call->echo_name);
  g_free (call->echo_value);
  g_free (call);
}

static void
idle_queue_free (gpointer data)
{
  GQueue *queue = data;
  struct httpc_conn *conn;

  while ((conn = g_queue_pop_head (queue)) != NULL)
    {
      conn->idle = false;
      httpc_conn_close (conn);
    }
  g_queue_free (queue);
}

/* Return a client on LOOP; free it with jc_httpc_free.  */
struct jc_httpc *
jc_httpc_new (struct ev_loop *loop)
{
  struct jc_httpc *httpc = g_new0 (struct jc_httpc, 1);

  httpc->loop = loop;
  httpc->idle_conns = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             idle_queue_free);
  httpc->used_addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  httpc->lost_addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  httpc->calls = g_hash_table_new_full (NULL, NULL, call_free, NULL);
  httpc->dead_calls = g_ptr_array_new ();
  httpc->dead_conns = g_ptr_array_new ();
  ev_init (&httpc->reaper, on_reap_timer);
  httpc->reaper.data = httpc;
  return httpc;
}

/* Free HTTPC and all of its calls without calling their callbacks.  */
void
jc_httpc_free (struct jc_httpc *httpc)
{
  GList *calls = g_hash_table_get_keys (httpc->calls);

  for (GList *item = calls; item != NULL; item = item->next)
    {
      struct jc_httpc_call *call = item->data;

      call->ended = true;
      if (call->conn != NULL)
        httpc_conn_abort (call->conn);
    }
  g_list_free (calls);
  g_hash_table_destroy (httpc->idle_conns);
  g_hash_table_destroy (httpc->used_addresses);
  g_hash_table_destroy (httpc->lost_addresses);
  ev_timer_stop (httpc->loop, &httpc->reaper);
  for (guint i = 0; i < httpc->dead_conns->len; i++)
    httpc_conn_free (g_ptr_array_index (httpc->dead_conns, i));
  g_ptr_array_free (httpc->dead_conns, TRUE);
  g_ptr_array_free (httpc->dead_calls, TRUE);
  g_hash_table_destroy (httpc->calls);
  g_free (httpc);
}

/* Close the idle connections to ADDRESS.  */
void
jc_httpc_close_idle (struct jc_httpc *httpc, const char *address)
{
  g_hash_table_remove (httpc->idle_conns, address);
}

/* Return since when, in us of jc_now_us, the process that was heard last at
   ADDRESS has been the same, or -1 if no connection to it is established.  Set
   HEARD_US to when it was heard.  */
int64_t
jc_httpc_address_since_us (const struct jc_httpc *httpc, const char *address,
                           int64_t *heard_us)
{
  const struct httpc_address *used
      = g_hash_table_lookup (httpc->used_addresses, address);

  *heard_us = used != NULL ? used->heard_us : 0;
  return *heard_us > 0 ? used->since_us : -1;
}

/* Return the same in ms of jc_now_ms.  */
int64_t
jc_httpc_address_since_ms (const struct jc_httpc *httpc, const char *address)
{
  int64_t heard_us;
  int64_t since_us = jc_httpc_address_since_us (httpc, address, &heard_us);

  return since_us >= 0 ? since_us / US_PER_MS : -1;
}

/* Return when, in ms of jc_now_ms, the process at ADDRESS was last lost, or -1
   if it wasn't within the last minute: its last connection broke, or no new
   one came up while there was none.  The process may then be another one.  */
int64_t
jc_httpc_address_lost_ms (const struct jc_httpc *httpc, const char *address)
{
  const int64_t *lost_ms = g_hash_table_lookup (httpc->lost_addresses, address);

  return lost_ms != NULL ? *lost_ms : -1;
}

/* Return since when, in us of jc_now_us, the process at the other end of CALL's
   connection, which has been heard, has been the same: since the connection was
   established, or longer where an earlier one was heard after that.  */
int64_t
jc_httpc_call_since_us (const struct jc_httpc_call *call)
{
  return call->conn->since_us;
}

/* Return whether CALL waits for its connection to come up.  */
bool
jc_httpc_call_is_connecting (const struct jc_httpc_call *call)
{
  return !call->connected;
}

/* Return how many connections HTTPC has opened since its start.  */
uint64_t
jc_httpc_connections_opened (const struct jc_httpc *httpc)
{
  return httpc->connections_opened;
}

/* End CALL and schedule it to be freed.  RESULT goes to its DONE callback;
   NULL for a cancelled call, which gets no callback.  */
static void
call_finish (struct jc_httpc_call *call,
             const struct jc_httpc_call_result *result)
{
  struct jc_httpc *httpc = call->httpc;

  if (call->ended)
    return;
  call->ended = true;
  ev_timer_stop (httpc->loop, &call->timer);
  if (call->conn != NULL)
    {
      call->conn->call = NULL;
      if (!call->complete)
        httpc_conn_abort (call->conn);
      else if (!call->conn->idle)
        httpc_conn_close (call->conn);
      call->conn = NULL;
    }
  g_ptr_array_add (httpc->dead_calls, call);
  httpc_schedule_reap (httpc);
  if (result != NULL)
    call->ops->done (call->ctx, result);
}

/* Set the timer of CALL to the earlier of its end and its progress deadline.
   A paused call has no progress deadline.  */
static void
call_arm_timer (struct jc_httpc_call *call)
{
  ev_tstamp at = call->end_at;
  struct ev_loop *loop = call->httpc->loop;

  if (call->progress_due_at > 0 && !call->paused
      && (at == 0 || call->progress_due_at < at))
    at = call->progress_due_at;
  if (at == 0)
    {
      ev_timer_stop (loop, &call->timer);
      return;
    }
  /* Input comes before a timer that is due, which would never be called if each
     input set it anew.  */
  if (ev_is_pending (&call->timer))
    return;
  if (ev_is_active (&call->timer)
      && ev_timer_remaining (loop, &call->timer) <= at - ev_now (loop))
    return;
  ev_timer_stop (loop, &call->timer);
  ev_timer_set (&call->timer, MAX (at - ev_now (loop), 0), 0);
  ev_timer_start (loop, &call->timer);
}

static int64_t
call_now_ms (const struct jc_httpc_call *call)
{
  return (int64_t)(ev_now (call->httpc->loop) * MS_PER_S);
}

/* Set the timer of CALL to when its answer must have made progress.  */
static void
call_arm_progress_timer (struct jc_httpc_call *call)
{
  call->progress_due_at = (double)call->progress.due_ms / MS_PER_S;
  call_arm_timer (call);
}

/* Return whether CALL continues although its peer made no progress in time: it
   is connected and its SILENT callback returns false.  */
static bool
call_tolerates_silence (struct jc_httpc_call *call)
{
  return call->conn != NULL && call->conn->connected
         && call->ops->silent != NULL && !call->ops->silent (call->ctx);
}

/* Return whether CALL made no progress in time at NOW.  */
static bool
call_is_silent (const struct jc_httpc_call *call, ev_tstamp now)
{
  return call->progress_due_at > 0 && !call->paused
         && call->progress_due_at <= now;
}

/* Fail CALL if its total time is over, if it did not connect in time, or if
   its peer is silent for too long.  What has come is read first.  */
static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_httpc_call *call = watcher->data;
  ev_tstamp now = ev_now (loop);
  bool expired = call->end_at > 0 && call->end_at <= now;
  bool silent = call_is_silent (call, now);

  (void)events;
  if ((expired || silent) && call->conn != NULL)
    {
      httpc_conn_take_input (call->conn);
      if (call->ended)
        return;
      silent = call_is_silent (call, now);
    }
  if (!expired && !silent)
    call_arm_timer (call);
  else if (call->conn != NULL && !call->conn->connected && !expired)
    {
      call->host_unreachable = true;
      httpc_conn_note_refused (call->conn);
      httpc_call_failed (call, JC_UNREACHABLE,
                         "No connection came up in time.");
    }
  else if (!expired && call_tolerates_silence (call))
    {
      jc_progress_extend (&call->progress, call_now_ms (call));
      call_arm_progress_timer (call);
    }
  else
    {
      if (!expired)
        call->progress.fault = JC_PROGRESS_SILENT;
      httpc_call_failed (call, JC_TIMEOUT,
                         expired ? "The time for the call is over."
                                 : "The endpoint went silent.");
    }
}

/* Handle that the connection of CALL is established: the time for the first
   progress begins.  */
void
httpc_call_connected (struct jc_httpc_call *call)
{
  call->connected = true;
  jc_progress_start (&call->progress, &call->limits, call_now_ms (call));
  call_arm_progress_timer (call);
}

/* Record that the first bytes of the request of CALL were handed over to its
   connection.  */
void
httpc_call_sent (struct jc_httpc_call *call)
{
  call->sent = true;
  call->sendings++;
  if (call->ops->sent != NULL)
    call->ops->sent (call->ctx);
}

/* Handle COUNT received bytes of any kind.  Return false if they ended CALL,
   since too many bytes came without progress.  */
bool
httpc_call_bytes_received (struct jc_httpc_call *call, size_t count)
{
  if (jc_progress_count_bytes (&call->progress, count))
    return true;
  httpc_call_failed (call, JC_ENDPOINT_FAILED, "The answer has no end.");
  return false;
}

/* Count a head that is skipped: that of an interim answer or of an answer to an
   earlier request.  Return false if there were too many of them.  */
bool
httpc_call_interim_head (struct jc_httpc_call *call)
{
  return jc_progress_interim (&call->progress);
}

/* Record a step of the answer of CALL.  With JC_PROGRESS_STEPS the owner of the
   call decides what counts as a step.  */
void
jc_httpc_call_progress (struct jc_httpc_call *call)
{
  jc_progress_step (&call->progress, call_now_ms (call));
  call_arm_progress_timer (call);
}

static void
report_fields (struct jc_httpc_call *call, const struct jc_head *head)
{
  for (unsigned int i = 0; i < head->field_count && !call->ended; i++)
    call->ops->header (call->ctx, jc_str_from_cstr (head->fields[i].name),
                       jc_str_from_cstr (head->fields[i].value));
}

/* Handle HEAD, the final head of the answer of CALL.  FRAMED is set if the
   body has a known length, is chunked, or is absent.  */
void
httpc_call_head (struct jc_httpc_call *call, const struct jc_head *head,
                 bool framed)
{
  call->http_status = head->status;
  call->framed = framed;
  jc_progress_head (&call->progress, call_now_ms (call));
  call_arm_progress_timer (call);
  if (call->ops->header != NULL)
    report_fields (call, head);
  if (call->ops->full_head != NULL && !call->ended)
    call->ops->full_head (call->ctx, head);
  if (call->ops->head != NULL && !call->ended)
    call->ops->head (call->ctx, call->http_status,
                     jc_head_field (head, "Content-Type"));
}

/* Handle DATA, bytes of the body of the answer of CALL.  */
void
httpc_call_data (struct jc_httpc_call *call, struct jc_str data)
{
  jc_progress_body (&call->progress, data.len, call_now_ms (call));
  call_arm_progress_timer (call);
  if (call->ops->data != NULL && !call->ended)
    call->ops->data (call->ctx, data);
}

/* End CALL, whose answer is complete, with JC_OK.  */
void
httpc_call_complete (struct jc_httpc_call *call)
{
  const struct jc_httpc_call_result result = { .status = JC_OK,
                                               .http_status = call->http_status,
                                               .sent = true,
                                               .sendings = call->sendings,
                                               .framed = call->framed,
                                               .reused = call->reused,
                                               .message = "" };

  call->complete = true;
  call_finish (call, &result);
}

/* Send CALL on an idle connection to its address, or on a new one if there is
   none or NEW_CONNECTION is set.  */
static void
call_dispatch (struct jc_httpc_call *call, bool new_connection)
{
  struct httpc_conn *conn
      = new_connection ? NULL
                       : httpc_conn_take_idle (call->httpc, call->address,
                                               call->echo_value);

  call->reused = conn != NULL;
  if (conn == NULL)
    conn = httpc_conn_open (call->httpc, call->address);
  call->conn = conn;
  call->connected = conn->connected;
  if (conn->connected)
    httpc_call_connected (call);
  else
    {
      call->progress_due_at
          = call->connect_timeout_ms > 0
                ? ev_now (call->httpc->loop)
                      + (double)call->connect_timeout_ms / MS_PER_S
                : 0;
      call_arm_timer (call);
    }
  httpc_conn_start_call (conn, call);
}

/* Return true if the request of CALL may be sent on another connection after
   its own one failed.  */
static bool
call_may_send_again (struct jc_httpc_call *call)
{
  if (!call->sent)
    return true;
  return !call->no_resend
         && (call->ops->may_send_again == NULL
             || call->ops->may_send_again (call->ctx));
}

/* Fail CALL with STATUS and MESSAGE.  If a reused connection failed before any
   byte of an answer came, the server may have closed it while it was idle, and
   the request is sent again on a new one.  */
void
httpc_call_failed (struct jc_httpc_call *call, enum jc_status status,
                   const char *message)
{
  const struct jc_httpc_call_result result
      = { .status = status,
          .http_status = call->http_status,
          .sent = call->sent,
          .sendings = call->sendings,
          .host_unreachable = call->host_unreachable,
          .connecting = !call->connected,
          .progress_fault = call->progress.fault,
          .framed = call->framed,
          .reused = call->reused,
          .message = message };
  struct httpc_conn *conn = call->conn;

  if (call->ended)
    return;
  if (call->reused && !call->host_unreachable && call->http_status == 0
      && status == JC_ENDPOINT_FAILED && (!call->sent || conn->unanswered))
    {
      call->conn = NULL;
      conn->call = NULL;
      httpc_conn_abort (conn);
      if (call_may_send_again (call))
        {
          call_dispatch (call, true);
          return;
        }
    }
  call_finish (call, &result);
}

/* Fail CALL, whose answer names no request: the request may have run, and it is
   not sent again here.  */
void
httpc_call_unnamed (struct jc_httpc_call *call)
{
  call->progress.fault = JC_PROGRESS_UNNAMED;
  httpc_call_failed (call, JC_ENDPOINT_FAILED,
                     "The answer doesn't name its request.");
}

static bool
has_header (const char *const *headers, const char *name)
{
  size_t len = strlen (name);

  for (; headers != NULL && *headers != NULL; headers++)
    if (g_ascii_strncasecmp (*headers, name, len) == 0
        && (*headers)[len] == ':')
      return true;
  return false;
}

static void
build_request (struct jc_httpc_call *call,
               const struct jc_httpc_call_spec *spec, const char *target)
{
  GString *out = call->request;
  bool bodiless = strcmp (spec->method, "GET") == 0
                  || strcmp (spec->method, "HEAD") == 0
                  || strcmp (spec->method, "DELETE") == 0;

  g_string_append_printf (out, "%s %s HTTP/1.1\r\n", spec->method,
                          target[0] != '\0' ? target : "/");
  if (!has_header (spec->headers, "Host"))
    g_string_append_printf (out, "Host: %s\r\n", call->address);
  for (const char *const *h = spec->headers; h != NULL && *h != NULL; h++)
    {
      g_string_append (out, *h);
      g_string_append (out, "\r\n");
    }
  if (spec->body.len > 0 || !bodiless)
    g_string_append_printf (out, "Content-Length: %zu\r\n", spec->body.len);
  if (call->own_connection)
    g_string_append (out, "Connection: close\r\n");
  g_string_append (out, "\r\n");
  g_string_append_len (out, spec->body.data, (gssize)spec->body.len);
}

/* Start a call to SPEC, which is copied.  Its events go to OPS with CTX, never
   before this function returns.  The call is freed after DONE or
   jc_httpc_call_cancel.  */
struct jc_httpc_call *
jc_httpc_call_start (struct jc_httpc *httpc,
                     const struct jc_httpc_call_spec *spec,
                     const struct jc_httpc_call_ops *ops, void *ctx)
{
  struct jc_httpc_call *call = g_new0 (struct jc_httpc_call, 1);
  bool unnamed = spec->echo_name != NULL && spec->echo_value[0] == '\0';
  const char *host = spec->url;
  size_t host_len;

  /* The time of the loop does not include the work of this iteration, which is
     not the call's.  */
  ev_now_update (httpc->loop);
  if (g_str_has_prefix (host, "http://"))
    host += strlen ("http://");
  host_len = strcspn (host, "/");
  call->httpc = httpc;
  call->ops = ops;
  call->ctx = ctx;
  call->address = g_strndup (host, host_len);
  call->method = g_strdup (spec->method);
  call->request = g_string_sized_new (512 + spec->body.len);
  call->echo_name = g_strdup (spec->echo_name);
  call->echo_value = g_strdup (spec->echo_value);
  call->connect_timeout_ms = spec->connect_timeout_ms;
  call->ack_timeout_ms = spec->ack_timeout_ms;
  call->limits
      = (struct jc_progress_limits){ .kind = spec->progress_kind,
                                     .first_ms = spec->first_progress_ms,
                                     .pause_ms = spec->progress_pause_ms };
  call->own_connection = spec->own_connection || unnamed;
  call->no_resend = spec->no_resend || call->own_connection;
  if (spec->total_timeout_ms > 0)
    call->end_at
        = ev_now (httpc->loop) + (double)spec->total_timeout_ms / MS_PER_S;
  jc_deadline_init (&call->timer, on_timer);
  call->timer.data = call;
  build_request (call, spec, host + host_len);
  g_hash_table_add (httpc->calls, call);
  call_dispatch (call, call->own_connection);
  return call;
}

/* End CALL without any further callback and close its connection.  */
void
jc_httpc_call_cancel (struct jc_httpc_call *call)
{
  call_finish (call, NULL);
}

/* Stop or resume reading the answer of CALL.  No progress is demanded of a
   paused call.  */
void
jc_httpc_call_pause (struct jc_httpc_call *call, bool paused)
{
  if (call->ended || call->paused == paused)
    return;
  call->paused = paused;
  if (!paused)
    {
      jc_progress_extend (&call->progress, call_now_ms (call));
      call_arm_progress_timer (call);
    }
  if (call->conn != NULL)
    httpc_conn_pause (call->conn, paused);
}
