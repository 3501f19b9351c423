/* What the stand-in endpoints share.  */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "net/address.h"
#include "net/program.h"
#include "tests/standin.h"

enum
{
  ANNOUNCE_S = 1,
  ANNOUNCE_TIMEOUT_MS = 800,
  BODY_MAX = 8 * 1024 * 1024,
  LEAVE_S = 1
};

static void
on_announced (void *ctx, const struct jc_call_result *result)
{
  (void)ctx;
  (void)result;
}

static void
standin_announce (struct standin *standin)
{
  static const struct jc_call_ops ops = { .done = on_announced };
  char *body = g_strdup_printf (
      "{\"name\":\"%s\",\"incarnation\":%" G_GUINT64_FORMAT
      ",\"sequence\":%" G_GUINT64_FORMAT
      ",\"leaving\":%s,\"address\":\"%s\",\"service\":\"%s\",\"models\":[\"%s"
      "\"],\"role\":\"any\",\"slots\":%u,\"running\":%u,\"queued\":%u}",
      standin->name, standin->incarnation, ++standin->sequence,
      standin->leaving ? "true" : "false", standin->address, standin->service,
      standin->model, standin->slots, standin->running, standin->queued);

  for (int i = 0; i < standin->entry_count; i++)
    {
      char *url
          = g_strdup_printf ("http://%s/v1/announce", standin->entries[i]);
      struct jc_call_spec spec = { .method = "POST",
                                   .url = url,
                                   .body = jc_str_from (body),
                                   .connect_ms = ANNOUNCE_TIMEOUT_MS,
                                   .total_ms = ANNOUNCE_TIMEOUT_MS };

      jc_call_start (standin->httpc, &spec, &ops, NULL);
      g_free (url);
    }
  g_free (body);
}

static void
on_announce (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  standin_announce (watcher->data);
}

static void
on_left (int revents, void *arg)
{
  struct standin *standin = arg;

  (void)revents;
  if (standin->running == 0)
    ev_break (standin->loop, EVBREAK_ALL);
  else
    ev_once (standin->loop, -1, 0, LEAVE_S, on_left, standin);
}

/* Leave: say so, then end once nothing runs any more.  */
static void
on_term (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct standin *standin = watcher->data;

  (void)events;
  standin->leaving = true;
  standin_announce (standin);
  ev_once (loop, -1, 0, LEAVE_S, on_left, standin);
}

/* Listen at LISTEN, announce STANDIN each second and run until it has left
   after SIGTERM.  */
void
standin_start (struct standin *standin, const char *listen,
               const struct jc_httpd_class *klass, void *ctx)
{
  struct timespec now;

  signal (SIGPIPE, SIG_IGN);
  clock_gettime (CLOCK_REALTIME, &now);
  standin->incarnation
      = (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
  standin->loop = ev_default_loop (0);
  standin->httpc = jc_httpc_new (standin->loop);
  standin->httpd = jc_httpd_new (standin->loop, listen, klass, ctx, BODY_MAX);
  if (standin->httpd == NULL)
    {
      fprintf (stderr, "%s\n", jc_last_message ());
      exit (JC_EXIT_FAILED);
    }
  standin->address
      = jc_address_with_port (listen, jc_httpd_port (standin->httpd));
  printf ("%s\n", standin->address);
  fflush (stdout);
  ev_timer_init (&standin->announce, on_announce, 0, ANNOUNCE_S);
  standin->announce.data = standin;
  ev_timer_start (standin->loop, &standin->announce);
  ev_signal_init (&standin->term, on_term, SIGTERM);
  standin->term.data = standin;
  ev_signal_start (standin->loop, &standin->term);
  ev_run (standin->loop, 0);
}
