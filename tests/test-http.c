/* Tests of the HTTP tasks against each other on one loop.  */

#include <glib.h>
#include <string.h>

#include "net/address.h"
#include "net/httpc.h"
#include "net/httpd.h"

enum
{
  BODY_MAX = 1000,
  GIVE_UP_S = 20
};

/* A listener and a client, and what they saw.  */
struct fixture
{
  struct ev_loop *loop;
  struct jc_httpd *httpd;
  struct jc_httpc *httpc;
  struct jc_http_req *held;
  char *address;
  GString *got;
  struct jc_httpc_call_result result;
  int done;
  int gone;
  ev_timer give_up;
};

static void
on_give_up (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_error ("gave up waiting");
}

static enum jc_status
on_head (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  if (strcmp (jc_http_path (req), "/refused") == 0)
    return jc_fail (JC_UNAUTHORIZED, "No.");
  return JC_OK;
}

static void
on_body (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;
  const char *path = jc_http_path (req);

  if (strcmp (path, "/echo") == 0)
    jc_http_reply (req, 200, "text/plain", jc_http_body (req), NULL);
  else if (g_str_has_prefix (path, "/target"))
    jc_http_reply (req, 200, "text/plain",
                   jc_str_from_cstr (jc_http_target (req)), NULL);
  else if (strcmp (path, "/query") == 0)
    jc_http_reply (req, 200, "text/plain",
                   jc_str_from_cstr (jc_http_query (req, "x")), NULL);
  else if (strcmp (path, "/hold") == 0)
    f->held = req;
  else
    {
      jc_http_stream_begin (req, 200, "text/plain", NULL);
      jc_http_stream_write (req, JC_STR_LIT ("half"));
      jc_http_stream_end (req, strcmp (path, "/whole") == 0);
    }
}

static void
on_gone (void *ctx, struct jc_http_req *req)
{
  struct fixture *f = ctx;

  g_assert_true (req == f->held);
  f->held = NULL;
  f->gone++;
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct fixture *f = ctx;

  g_string_append_len (f->got, data.data, (gssize)data.len);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct fixture *f = ctx;

  f->result = *result;
  f->done++;
}

static const struct jc_httpd_class server_class
    = { .head = on_head, .body = on_body, .peer_closed = on_gone };
static const struct jc_httpc_call_ops client_ops
    = { .data = on_data, .done = on_done };

static void
setup (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  f->loop = ev_loop_new (0);
  f->httpd = jc_httpd_new (f->loop, "127.0.0.1:0", &server_class, f, BODY_MAX);
  f->httpc = jc_httpc_new (f->loop);
  f->address = jc_address_with_port ("127.0.0.1:0", jc_httpd_port (f->httpd));
  f->got = g_string_new (NULL);
  ev_timer_init (&f->give_up, on_give_up, GIVE_UP_S, 0);
  ev_timer_start (f->loop, &f->give_up);
}

static void
teardown (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  jc_httpc_free (f->httpc);
  jc_httpd_free (f->httpd);
  ev_timer_stop (f->loop, &f->give_up);
  ev_loop_destroy (f->loop);
  g_string_free (f->got, TRUE);
  g_free (f->address);
}

static struct jc_httpc_call *
post (struct fixture *f, const char *path, struct jc_str body, bool fresh)
{
  char *url = g_strconcat ("http://", f->address, path, NULL);
  struct jc_httpc_call_spec spec
      = { .method = "POST", .url = url, .body = body, .own_connection = fresh };
  struct jc_httpc_call *call
      = jc_httpc_call_start (f->httpc, &spec, &client_ops, f);

  g_free (url);
  return call;
}

static void
run_until_done (struct fixture *f, int done)
{
  while (f->done < done)
    ev_run (f->loop, EVRUN_ONCE);
}

static void
test_echo (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  post (f, "/echo", JC_STR_LIT ("hello"), false);
  run_until_done (f, 1);
  g_assert_cmpint (f->result.status, ==, JC_OK);
  g_assert_true (f->result.framed);
  g_assert_cmpstr (f->got->str, ==, "hello");
}

/* A path and its query can be passed on as they came.  */
static void
test_target (struct fixture *f, gconstpointer unused)
{
  static const char target[] = "/target/a%20b%2Fc?x=1%262&y=a+b&flag";

  (void)unused;
  post (f, target, JC_STR_LIT (""), false);
  run_until_done (f, 1);
  g_assert_cmpstr (f->got->str, ==, target);
  g_string_truncate (f->got, 0);
  post (f, "/query?x=1%262", JC_STR_LIT (""), false);
  run_until_done (f, 2);
  g_assert_cmpstr (f->got->str, ==, "1&2");
}

static void
test_refused_and_too_large (struct fixture *f, gconstpointer unused)
{
  char *big = g_strnfill (BODY_MAX + 1, 'x');

  (void)unused;
  post (f, "/refused", JC_STR_LIT ("hello"), false);
  run_until_done (f, 1);
  g_assert_cmpint (f->result.http_status, ==, 401);
  post (f, "/echo", jc_str_from_cstr (big), false);
  run_until_done (f, 2);
  g_assert_cmpint (f->result.http_status, ==, 413);
  g_free (big);
}

static void
test_streams (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  post (f, "/whole", JC_STR_LIT (""), false);
  run_until_done (f, 1);
  g_assert_cmpint (f->result.status, ==, JC_OK);
  post (f, "/broken", JC_STR_LIT (""), false);
  run_until_done (f, 2);
  g_assert_cmpint (f->result.status, !=, JC_OK);
  g_assert_true (f->result.sent);
}

static void
test_caller_gone (struct fixture *f, gconstpointer unused)
{
  struct jc_httpc_call *call = post (f, "/hold", JC_STR_LIT ("x"), true);

  (void)unused;
  while (f->held == NULL)
    ev_run (f->loop, EVRUN_ONCE);
  jc_httpc_call_cancel (call);
  while (f->gone == 0)
    ev_run (f->loop, EVRUN_ONCE);
  g_assert_cmpint (f->done, ==, 0);
}

static void
test_stop_while_held (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  post (f, "/hold", JC_STR_LIT ("x"), true);
  while (f->held == NULL)
    ev_run (f->loop, EVRUN_ONCE);
  jc_httpd_free (f->httpd);
  f->httpd = NULL;
  g_assert_cmpint (f->gone, ==, 1);
}

static void
test_unreachable_is_unsent (struct fixture *f, gconstpointer unused)
{
  (void)unused;
  jc_httpd_free (f->httpd);
  f->httpd = NULL;
  post (f, "/echo", JC_STR_LIT ("x"), true);
  run_until_done (f, 1);
  g_assert_cmpint (f->result.status, ==, JC_UNREACHABLE);
  g_assert_false (f->result.sent);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
#define CASE(path, fn)                                                         \
  g_test_add (path, struct fixture, NULL, setup, fn, teardown)
  CASE ("/echo", test_echo);
  CASE ("/refused-and-too-large", test_refused_and_too_large);
  CASE ("/target", test_target);
  CASE ("/streams", test_streams);
  CASE ("/caller-gone", test_caller_gone);
  CASE ("/stop-while-held", test_stop_while_held);
  CASE ("/unreachable-is-unsent", test_unreachable_is_unsent);
  return g_test_run ();
}
