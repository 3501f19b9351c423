/* HTTP server: whether the peer of a connection is in touch.  */

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "net/httpdprivate.h"

enum
{
  /* Idle time after which a peer is probed, and the time between probes, if
     that is asked for and otherwise.  */
  PROBE_S = 1,
  KEEPALIVE_S = 5,
  /* TCP user timeout: a connection is closed if what was sent is unacknowledged
     for so long, or if data waits for so long since the peer takes none.  The
     second one is for answers that a slow peer doesn't take at once: the kernel
     counts a small window as none.  */
  USER_TIMEOUT_MS = 10000,
  USER_TIMEOUT_LARGE_MS = 60000,
  LARGE_BYTES = 64 * 1024,
  /* Unsent bytes that the kernel keeps for all peers together, if they connect
     at once, and at least for each; they are in no other sum.  */
  UNSENT_ALL_BYTES = 8 * 1024 * 1024,
  UNSENT_MIN_BYTES = 64 * 1024
};

/* Probe the peer of CONN each PROBE_S while nothing else is sent to it, or,
   with OFTEN false, each KEEPALIVE_S.  */
void
httpd_peer_set_probes (struct httpd_conn *conn, bool often)
{
  int seconds = often ? PROBE_S : KEEPALIVE_S;

  conn->probed = often;
  setsockopt (conn->fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds);
  setsockopt (conn->fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds);
}

static void
set_user_timeout (struct httpd_conn *conn, unsigned int ms)
{
  setsockopt (conn->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

/* Count BYTES of the answer written to the peer of CONN, which has more time to
   take a large one.  */
void
httpd_peer_count_written (struct httpd_conn *conn, size_t bytes)
{
  bool was_large = conn->written > LARGE_BYTES;

  conn->written += bytes;
  if (!was_large && conn->written > LARGE_BYTES)
    set_user_timeout (conn, USER_TIMEOUT_LARGE_MS);
}

/* Begin to count the next answer of CONN.  */
void
httpd_peer_reset_written (struct httpd_conn *conn)
{
  conn->written = 0;
  set_user_timeout (conn, USER_TIMEOUT_MS);
}

/* Limit what the kernel keeps for the peer of CONN beyond what is on its way,
   by the number of connections that there are now.  */
void
httpd_peer_limit_unsent (struct httpd_conn *conn)
{
  int bytes = MAX (UNSENT_ALL_BYTES / MAX (httpd_connections_open (), 1),
                   UNSENT_MIN_BYTES);

  setsockopt (conn->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof bytes);
}

/* Let the close of CONN send a TCP reset: an incomplete answer without a length
   must not look complete to the peer.  */
void
httpd_peer_reset_on_close (struct httpd_conn *conn)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Probe the peer of REQ often until REQ is answered, so that
   jc_http_peer_acks tells of a peer to which nothing is sent too.  */
void
jc_http_probe_peer (struct jc_http_req *req)
{
  if (req->conn != NULL)
    httpd_peer_set_probes (req->conn, true);
}

/* Set OWES to whether something was sent to the peer of REQ, data or a probe,
   that it hasn't acknowledged yet, and ACK_MS_AGO to the age of its last
   acknowledgement.  Return false if that can't be told.  */
bool
jc_http_peer_acks (const struct jc_http_req *req, bool *owes,
                   int64_t *ack_ms_ago)
{
  struct tcp_info info;
  socklen_t len = sizeof info;

  if (req->conn == NULL
      || getsockopt (req->conn->fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return false;
  *owes = info.tcpi_unacked > 0 || info.tcpi_probes > 0;
  *ack_ms_ago = info.tcpi_last_ack_recv;
  return true;
}

/* Close the connection of REQ, whose peer is cut off, as if the peer had closed
   it.  What it was sent and hasn't got is dropped.  */
void
jc_http_drop_silent (struct jc_http_req *req)
{
  struct httpd_conn *conn = req->conn;

  if (conn == NULL)
    return;
  httpd_peer_reset_on_close (conn);
  httpd_conn_close (conn, HTTPD_PEER_SILENT);
}
