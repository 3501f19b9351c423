/* HTTP client task.  */

#include <curl/curl.h>
#include <string.h>

#include "net/httpc.h"

enum
{
  POOL_IDLE_S = 10,
  POOL_AGE_S = 300,
  POOL_CONNECTIONS = 2000,
  MS_PER_S = 1000
};

struct jc_httpc
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  ev_timer reaper;
  GPtrArray *dead;
  GHashTable *calls;
};

struct jc_call
{
  struct jc_httpc *httpc;
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  const struct jc_call_ops *ops;
  void *ctx;
  ev_timer silence;
  long idle_ms;
  bool paused;
  char *content_type;
  int http;
  bool head_told;
  bool framed;
  bool cancelled;
  char error[CURL_ERROR_SIZE];
};

static void
call_free (struct jc_call *call)
{
  struct jc_httpc *httpc = call->httpc;

  ev_timer_stop (httpc->loop, &call->silence);
  curl_multi_remove_handle (httpc->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_hash_table_remove (httpc->calls, call);
  g_free (call->content_type);
  g_free (call->body);
  g_free (call);
}

static void
httpc_on_reaper (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_httpc *httpc = watcher->data;
  GPtrArray *dead = httpc->dead;

  (void)loop;
  (void)events;
  httpc->dead = g_ptr_array_new ();
  for (guint i = 0; i < dead->len; i++)
    call_free (g_ptr_array_index (dead, i));
  g_ptr_array_free (dead, TRUE);
}

/* Tell whether no byte of CALL's request can have left this process.  */
static bool
call_unsent (const struct jc_call *call, CURLcode code)
{
  long size = 0;

  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &size);
  if (code == CURLE_COULDNT_CONNECT)
    return true;
  return size == 0;
}

/* Take CALL out of use, tell its owner RESULT and free it later, when no
   callback of libcurl is on the stack.  */
static void
call_finish (struct jc_call *call, const struct jc_call_result *result)
{
  struct jc_httpc *httpc = call->httpc;

  if (call->cancelled)
    return;
  call->cancelled = true;
  ev_timer_stop (httpc->loop, &call->silence);
  g_ptr_array_add (httpc->dead, call);
  if (!ev_is_active (&httpc->reaper))
    ev_timer_start (httpc->loop, &httpc->reaper);
  if (result != NULL)
    call->ops->done (call->ctx, result);
}

static enum jc_status
call_status (CURLcode code)
{
  if (code == CURLE_OK)
    return JC_OK;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return JC_TIMEOUT;
  if (code == CURLE_COULDNT_CONNECT)
    return JC_UNREACHABLE;
  return JC_ENDPOINT_FAILED;
}

static void
call_tell_head (struct jc_call *call)
{
  long http = 0;

  if (call->head_told)
    return;
  call->head_told = true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &http);
  call->http = (int)http;
  if (call->ops->head != NULL)
    call->ops->head (call->ctx, call->http, call->content_type);
}

static void
call_done (struct jc_call *call, CURLcode code)
{
  struct jc_call_result result
      = { .status = call_status (code),
          .sent = !call_unsent (call, code),
          .framed = call->framed,
          .message
          = call->error[0] != '\0' ? call->error : curl_easy_strerror (code) };

  if (code == CURLE_OK && !call->cancelled)
    call_tell_head (call);
  result.http = call->http;
  call_finish (call, &result);
}

static void
httpc_reap (struct jc_httpc *httpc)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (httpc->multi, &left)) != NULL)
    {
      struct jc_call *call;

      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &call);
      call_done (call, msg->data.result);
    }
}

static void
httpc_action (struct jc_httpc *httpc, curl_socket_t fd, int mask)
{
  int running;

  curl_multi_socket_action (httpc->multi, fd, mask, &running);
  httpc_reap (httpc);
}

static void
httpc_on_io (struct ev_loop *loop, ev_io *watcher, int events)
{
  int mask = 0;

  (void)loop;
  if (events & EV_READ)
    mask |= CURL_CSELECT_IN;
  if (events & EV_WRITE)
    mask |= CURL_CSELECT_OUT;
  httpc_action (watcher->data, watcher->fd, mask);
}

static void
httpc_on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  httpc_action (watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
httpc_socket_cb (CURL *easy, curl_socket_t fd, int what, void *ctx, void *slot)
{
  struct jc_httpc *httpc = ctx;
  ev_io *watcher = slot;
  int events = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (watcher != NULL)
        ev_io_stop (httpc->loop, watcher);
      g_free (watcher);
      curl_multi_assign (httpc->multi, fd, NULL);
      return 0;
    }
  if (watcher == NULL)
    {
      watcher = g_new0 (ev_io, 1);
      ev_init (watcher, httpc_on_io);
      watcher->data = httpc;
      curl_multi_assign (httpc->multi, fd, watcher);
    }
  if (what & CURL_POLL_IN)
    events |= EV_READ;
  if (what & CURL_POLL_OUT)
    events |= EV_WRITE;
  ev_io_stop (httpc->loop, watcher);
  ev_io_set (watcher, fd, events);
  ev_io_start (httpc->loop, watcher);
  return 0;
}

static int
httpc_timer_cb (CURLM *multi, long ms, void *ctx)
{
  struct jc_httpc *httpc = ctx;

  (void)multi;
  ev_timer_stop (httpc->loop, &httpc->timer);
  if (ms < 0)
    return 0;
  ev_timer_set (&httpc->timer, (double)ms / MS_PER_S, 0);
  ev_timer_start (httpc->loop, &httpc->timer);
  return 0;
}

/* Return a client on LOOP.  */
struct jc_httpc *
jc_httpc_new (struct ev_loop *loop)
{
  struct jc_httpc *httpc = g_new0 (struct jc_httpc, 1);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  httpc->loop = loop;
  httpc->multi = curl_multi_init ();
  httpc->dead = g_ptr_array_new ();
  httpc->calls = g_hash_table_new (NULL, NULL);
  ev_init (&httpc->timer, httpc_on_timer);
  httpc->timer.data = httpc;
  ev_timer_init (&httpc->reaper, httpc_on_reaper, 0, 0);
  httpc->reaper.data = httpc;
  curl_multi_setopt (httpc->multi, CURLMOPT_SOCKETFUNCTION, httpc_socket_cb);
  curl_multi_setopt (httpc->multi, CURLMOPT_SOCKETDATA, httpc);
  curl_multi_setopt (httpc->multi, CURLMOPT_TIMERFUNCTION, httpc_timer_cb);
  curl_multi_setopt (httpc->multi, CURLMOPT_TIMERDATA, httpc);
  curl_multi_setopt (httpc->multi, CURLMOPT_MAXCONNECTS,
                     (long)POOL_CONNECTIONS);
  return httpc;
}

/* Free HTTPC and all of its calls, whose owners are not told.  */
void
jc_httpc_free (struct jc_httpc *httpc)
{
  GList *calls = g_hash_table_get_keys (httpc->calls);

  for (GList *item = calls; item != NULL; item = item->next)
    call_free (item->data);
  g_list_free (calls);
  ev_timer_stop (httpc->loop, &httpc->reaper);
  g_ptr_array_free (httpc->dead, TRUE);
  g_hash_table_destroy (httpc->calls);
  curl_multi_cleanup (httpc->multi);
  ev_timer_stop (httpc->loop, &httpc->timer);
  g_free (httpc);
}

static void
call_arm_silence (struct jc_call *call, long ms)
{
  ev_timer_stop (call->httpc->loop, &call->silence);
  if (ms <= 0 || call->paused)
    return;
  ev_timer_set (&call->silence, (double)ms / MS_PER_S, 0);
  ev_timer_start (call->httpc->loop, &call->silence);
}

static void
call_on_silence (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct jc_call *call = watcher->data;
  struct jc_call_result result
      = { .status = JC_TIMEOUT,
          .http = call->http,
          .sent = !call_unsent (call, CURLE_OPERATION_TIMEDOUT),
          .framed = call->framed,
          .message = "The endpoint went silent." };

  (void)loop;
  (void)events;
  call_finish (call, &result);
}

static void
call_tell_header (struct jc_call *call, struct jc_str line)
{
  struct jc_str name;

  if (call->ops->header == NULL || call->cancelled
      || memchr (line.data, ':', line.len) == NULL)
    return;
  jc_str_cut (&line, ':', &name);
  while (line.len > 0 && g_ascii_isspace (line.data[0]))
    line = (struct jc_str){ .data = line.data + 1, .len = line.len - 1 };
  while (line.len > 0 && g_ascii_isspace (line.data[line.len - 1]))
    line.len--;
  call->ops->header (call->ctx, name, line);
}

static size_t
call_on_header (char *data, size_t size, size_t count, void *ctx)
{
  struct jc_call *call = ctx;
  size_t len = size * count;

  if (len > 15 && g_ascii_strncasecmp (data, "Content-Length:", 15) == 0)
    call->framed = true;
  if (len > 18 && g_ascii_strncasecmp (data, "Transfer-Encoding:", 18) == 0)
    call->framed = true;
  if (len > 13 && g_ascii_strncasecmp (data, "Content-Type:", 13) == 0)
    {
      g_free (call->content_type);
      call->content_type = g_strstrip (g_strndup (data + 13, len - 13));
    }
  call_tell_header (call, (struct jc_str){ .data = data, .len = len });
  return len;
}

static size_t
call_on_data (char *data, size_t size, size_t count, void *ctx)
{
  struct jc_call *call = ctx;
  size_t len = size * count;

  if (call->cancelled)
    return 0;
  call_arm_silence (call, call->idle_ms);
  call_tell_head (call);
  if (call->ops->data != NULL && !call->cancelled)
    call->ops->data (call->ctx, (struct jc_str){ .data = data, .len = len });
  return call->cancelled ? 0 : len;
}

static void
call_setup (struct jc_call *call, const struct jc_call_spec *spec)
{
  CURL *easy = call->easy;

  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_URL, spec->url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, call->error);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, call_on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, call_on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, spec->connect_ms);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, spec->total_ms);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)POOL_IDLE_S);
  curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN, (long)POOL_AGE_S);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  if (spec->fresh)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void
call_setup_method (struct jc_call *call, const struct jc_call_spec *spec)
{
  if (strcmp (spec->method, "GET") == 0)
    return;
  call->body = g_memdup2 (spec->body.data, spec->body.len);
  curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, spec->method);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE, (long)spec->body.len);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS,
                    call->body != NULL ? call->body : "");
}

/* Start the call of SPEC, which is copied; its events go to OPS with CTX,
   never before this returns.  */
struct jc_call *
jc_call_start (struct jc_httpc *httpc, const struct jc_call_spec *spec,
               const struct jc_call_ops *ops, void *ctx)
{
  struct jc_call *call = g_new0 (struct jc_call, 1);

  call->httpc = httpc;
  call->ops = ops;
  call->ctx = ctx;
  call->idle_ms = spec->idle_ms;
  call->easy = curl_easy_init ();
  call->headers = curl_slist_append (NULL, "Expect:");
  for (const char *const *h = spec->headers; h != NULL && *h != NULL; h++)
    call->headers = curl_slist_append (call->headers, *h);
  ev_init (&call->silence, call_on_silence);
  call->silence.data = call;
  call_setup (call, spec);
  call_setup_method (call, spec);
  g_hash_table_add (httpc->calls, call);
  call_arm_silence (call, spec->first_byte_ms);
  curl_multi_add_handle (httpc->multi, call->easy);
  return call;
}

/* End CALL without a further event; its connection is closed.  */
void
jc_call_cancel (struct jc_call *call)
{
  call_finish (call, NULL);
}

/* Stop or go on reading the answer of CALL; a paused call is never taken for
   silent.  Must not be called from within its events to unpause.  */
void
jc_call_pause (struct jc_call *call, bool paused)
{
  if (call->cancelled || call->paused == paused)
    return;
  call->paused = paused;
  call_arm_silence (call, call->idle_ms);
  curl_easy_pause (call->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}
