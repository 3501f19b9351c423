/* TCP probe.  */

#include <errno.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/deadline.h"
#include "net/tcpprobe.h"

enum
{
  MS_PER_S = 1000
};

struct jc_tcpprobe
{
  struct ev_loop *loop;
  int fd;
  ev_io connected;
  ev_timer timeout;
  jc_tcpprobe_done_fn *done;
  void *ctx;
};

/* End PROBE without a call of its function.  */
void
jc_tcpprobe_cancel (struct jc_tcpprobe *probe)
{
  ev_io_stop (probe->loop, &probe->connected);
  ev_timer_stop (probe->loop, &probe->timeout);
  close (probe->fd);
  g_free (probe);
}

static void
finish (struct jc_tcpprobe *probe, enum jc_tcpprobe_result result)
{
  probe->done (probe->ctx, probe, result);
  jc_tcpprobe_cancel (probe);
}

static void
on_connected (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct jc_tcpprobe *probe = watcher->data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)loop;
  (void)events;
  if (getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    error = errno;
  finish (probe, error == 0              ? JC_TCPPROBE_ACCEPTED
                 : error == ECONNREFUSED ? JC_TCPPROBE_REFUSED
                                         : JC_TCPPROBE_UNKNOWN);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  finish (watcher->data, JC_TCPPROBE_UNKNOWN);
}

/* Connect to ADDRESS, and call DONE with CTX and the result after TIMEOUT_MS at
   the latest.  Return NULL if no connection can be started.  */
struct jc_tcpprobe *
jc_tcpprobe_start (struct ev_loop *loop, const char *address, long timeout_ms,
                   jc_tcpprobe_done_fn *done, void *ctx)
{
  struct sockaddr_in addr;
  struct jc_tcpprobe *probe;
  int fd;

  if (jc_address_parse (address, &addr) != JC_OK)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  probe = g_new0 (struct jc_tcpprobe, 1);
  *probe = (struct jc_tcpprobe){
    .loop = loop, .fd = fd, .done = done, .ctx = ctx
  };
  /* A refusal that is known at once is reported by the loop, like a later
     one.  */
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      && errno != EINPROGRESS && errno != ECONNREFUSED)
    {
      close (fd);
      g_free (probe);
      return NULL;
    }
  ev_io_init (&probe->connected, on_connected, fd, EV_WRITE);
  probe->connected.data = probe;
  ev_io_start (loop, &probe->connected);
  jc_deadline_init (&probe->timeout, on_timeout);
  ev_timer_set (&probe->timeout, (double)timeout_ms / MS_PER_S, 0);
  probe->timeout.data = probe;
  ev_timer_start (loop, &probe->timeout);
  return probe;
}
