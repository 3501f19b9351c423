/* Tests of the TCP probe.  */

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/tcpprobe.h"

enum
{
  TIMEOUT_MS = 60000
};

static void
on_done (void *ctx, struct jc_tcpprobe *probe, enum jc_tcpprobe_result result)
{
  (void)probe;
  *(int *)ctx = (int)result;
}

/* Bind a socket to a free port of the loopback and write its address to
   ADDRESS.  */
static int
bind_free_port (char *address, size_t size)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_assert_cmpint (fd, >=, 0);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&addr, len), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&addr, &len), ==, 0);
  g_snprintf (address, size, "127.0.0.1:%u", ntohs (addr.sin_port));
  return fd;
}

static int
probe_result (const char *address)
{
  struct ev_loop *loop = ev_loop_new (0);
  int result = -1;

  g_assert_nonnull (
      jc_tcpprobe_start (loop, address, TIMEOUT_MS, on_done, &result));
  ev_run (loop, 0);
  ev_loop_destroy (loop);
  return result;
}

/* Guards against taking an endpoint that still listens for one that has
   crashed, and the other way round.  */
static void
test_listens (void)
{
  char address[32];
  int fd = bind_free_port (address, sizeof address);

  /* The port is taken, but nothing listens.  */
  g_assert_cmpint (probe_result (address), ==, JC_TCPPROBE_REFUSED);
  g_assert_cmpint (listen (fd, 1), ==, 0);
  g_assert_cmpint (probe_result (address), ==, JC_TCPPROBE_ACCEPTED);
  close (fd);
}

/* Guards against a probe that stays behind where no connection can begin.  */
static void
test_bad_address (void)
{
  struct ev_loop *loop = ev_loop_new (0);
  int result = -1;

  g_assert_null (
      jc_tcpprobe_start (loop, "nowhere", TIMEOUT_MS, on_done, &result));
  ev_run (loop, 0);
  g_assert_cmpint (result, ==, -1);
  ev_loop_destroy (loop);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listens", test_listens);
  g_test_add_func ("/bad-address", test_bad_address);
  return g_test_run ();
}
