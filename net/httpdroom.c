/* HTTP server: leaves file descriptors for what else the process needs them
   for.  */

#include <sys/resource.h>

#include "base/event.h"
#include "net/httpdprivate.h"

enum
{
  /* Part of all descriptors that connections of callers leave free: attempts at
     endpoints, connections between instances and files need some too.  */
  RESERVE_DIVISOR = 8,
  /* With fewer connections the limit of descriptors isn't asked for.  */
  CONNECTIONS_FEW = 64,
  MS_PER_S = 1000
};

/* The open connections of all listeners of the process.  */
static int connections_open;

/* Return whether CONN has no request and nothing to write, so that its close
   loses nothing.  */
static bool
is_waiting (const struct httpd_conn *conn)
{
  return !conn->closed && conn->req == NULL && conn->out_pos >= conn->out->len;
}

/* Return whether A should go before B: one that began a head and doesn't end
   it before one that is idle, else the one that has waited for longer.  */
static bool
goes_before (const struct httpd_conn *a, const struct httpd_conn *b)
{
  if (a->head_begun != b->head_begun)
    return a->head_begun;
  return a->idle_since < b->idle_since;
}

/* Return the connection of HTTPD that goes first, or NULL if all have a request
   or something to write.  */
static struct httpd_conn *
find_first (const struct jc_httpd *httpd)
{
  struct httpd_conn *first = NULL;

  for (guint i = 0; i < httpd->conns->len; i++)
    {
      struct httpd_conn *conn = g_ptr_array_index (httpd->conns, i);

      if (is_waiting (conn) && (first == NULL || goes_before (conn, first)))
        first = conn;
    }
  return first;
}

/* Return how many connections all listeners together may have.  */
static rlim_t
connections_max (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return RLIM_INFINITY;
  return limit.rlim_cur - limit.rlim_cur / RESERVE_DIVISOR;
}

/* Return how many connections all listeners have.  */
int
httpd_connections_open (void)
{
  return connections_open;
}

/* Record that a listener has COUNT more connections, or fewer.  */
void
httpd_count_connections (int count)
{
  connections_open += count;
}

/* A connection is about to be added to HTTPD: if few descriptors are left,
   close one that waits for a request in its place.  What it received is read
   first, so that no request that has come is lost.  */
void
httpd_make_room (struct jc_httpd *httpd)
{
  struct httpd_conn *first;

  if (connections_open < CONNECTIONS_FEW
      || (rlim_t)connections_open < connections_max ())
    return;
  first = find_first (httpd);
  if (first == NULL)
    return;
  ev_invoke (httpd->loop, &first->reader, EV_READ);
  if (!is_waiting (first))
    return;
  jc_event (JC_EVENT_DESCRIPTORS, "connections=%d waited_ms=%.0f begun=%d",
            connections_open,
            (ev_now (httpd->loop) - first->idle_since) * MS_PER_S,
            first->head_begun);
  httpd_conn_close (first, HTTPD_CROWDED);
}
