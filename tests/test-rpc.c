/* Tests of RPC connections on real sockets.  Each test runs the loop until a
   condition holds.  */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/rpc.h"
#include "tests/relay.h"

enum
{
  HEARTBEAT_MS = 40,
  SILENT_MS = 300,
  TEST_TIMEOUT_S = 20,
  CHECK_INTERVAL_MS = 5,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  GARBAGE_ROUNDS = 200,
  TRICKLE_BYTES = 1000,
  LONG_SILENT_MS = 60000,
  LARGE_BYTES = 1024 * 1024,
  SENT_MAX_BYTES = 64 * 1024 * 1024,
  /* Time-out of a call, well under SILENT_MS.  */
  CALL_MS = 20
};

#define KEY_A "0000000000000000000000000000000000000000000000000000000000000007"
#define KEY_B "0000000000000000000000000000000000000000000000000000000000000008"

/* A process of the group and counts of its callbacks.  */
struct node
{
  struct jc_rpc *rpc;
  unsigned int up_count;
  unsigned int down_count;
  unsigned int delta_count;
  unsigned int heartbeat_count;
  uint64_t version;
  unsigned int reply_count;
  enum jc_status reply_status;
};

typedef bool condition_fn (void *ctx);

struct wait_state
{
  condition_fn *condition;
  void *ctx;
  bool met;
  ev_tstamp until;
};

static struct ev_loop *loop;
static long silent_ms = SILENT_MS;

static void
on_check (struct ev_loop *l, ev_timer *watcher, int events)
{
  struct wait_state *wait_state = watcher->data;

  (void)events;
  wait_state->met = wait_state->condition (wait_state->ctx);
  if (wait_state->met || ev_now (l) > wait_state->until)
    ev_break (l, EVBREAK_ALL);
}

/* Run the loop until CONDITION holds for CTX; fail after TEST_TIMEOUT_S.  */
static void
run_until (condition_fn *condition, void *ctx)
{
  struct wait_state wait_state = { .condition = condition, .ctx = ctx };
  double interval_s = (double)CHECK_INTERVAL_MS / MS_PER_S;
  ev_timer timer;

  wait_state.until = ev_time () + TEST_TIMEOUT_S;
  ev_timer_init (&timer, on_check, 0, interval_s);
  timer.data = &wait_state;
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
  g_assert_true (wait_state.met);
}

static void
node_on_up (void *ctx, struct jc_rpc_conn *conn)
{
  struct node *node = ctx;

  (void)conn;
  node->up_count++;
}

static void
node_on_down (void *ctx, struct jc_rpc_conn *conn)
{
  struct node *node = ctx;

  (void)conn;
  node->down_count++;
}

static void
node_on_packet (void *ctx, struct jc_rpc_conn *conn,
                const struct rpc_packet *packet)
{
  struct node *node = ctx;

  g_assert_cmpstr (packet->head.sender, ==, jc_rpc_conn_name (conn));
  if (packet->body.type == RPC_CONFIG_DELTA)
    node->delta_count++;
  if (packet->body.type == RPC_HEARTBEAT)
    {
      node->heartbeat_count++;
      node->version = packet->head.config_version;
    }
}

static void
node_start (struct node *node, const char *name, const char *key,
            uint64_t incarnation)
{
  static const struct jc_rpc_class klass
      = { .up = node_on_up, .down = node_on_down, .packet = node_on_packet };
  struct jc_rpc_identity identity = { .group = "demo",
                                      .name = name,
                                      .role = "entry",
                                      .region = "ost",
                                      .zone = "ost-1",
                                      .key_hex = key,
                                      .incarnation = incarnation,
                                      .level = JC_RPC_LEVEL,
                                      .heartbeat_ms = HEARTBEAT_MS,
                                      .silent_ms = silent_ms };

  memset (node, 0, sizeof *node);
  node->rpc = jc_rpc_new (loop, &identity, &klass, node);
  g_assert_cmpint (jc_rpc_listen (node->rpc, "127.0.0.1:0"), ==, JC_OK);
}

static void
node_dial (struct node *node, const char *name, int port)
{
  char *address = g_strdup_printf ("127.0.0.1:%d", port);

  jc_rpc_dial (node->rpc, name, address);
  g_free (address);
}

static enum jc_status
node_send (struct node *node, const char *name, size_t size)
{
  struct rpc_packet packet = { .body.type = RPC_CONFIG_DELTA };
  struct rpc_config_delta *delta = &packet.body.rpc_body_u.config_delta;
  char *data = g_malloc0 (size);
  enum jc_status status;

  delta->json.rpc_bytes_val = data;
  delta->json.rpc_bytes_len = (u_int)size;
  status = jc_rpc_send (jc_rpc_find_conn (node->rpc, name), &packet);
  g_free (data);
  return status;
}

/* Two processes with a relay between them.  A dials B.  */
struct pair
{
  struct node a;
  struct node b;
  struct relay *relay;
};

static bool
pair_is_up (void *ctx)
{
  struct pair *pair = ctx;

  return jc_rpc_find_conn (pair->a.rpc, "b") != NULL
         && jc_rpc_find_conn (pair->b.rpc, "a") != NULL;
}

static bool
pair_is_renewed (void *ctx)
{
  struct pair *pair = ctx;

  return pair->a.up_count >= 2 && pair->b.up_count >= 2
         && pair->a.down_count >= 1 && pair->b.down_count >= 1
         && pair_is_up (ctx);
}

static void
pair_start (struct pair *pair)
{
  node_start (&pair->a, "a", KEY_A, 1);
  node_start (&pair->b, "b", KEY_A, 1);
  pair->relay = relay_new (loop, jc_rpc_port (pair->b.rpc));
  node_dial (&pair->a, "b", relay_port (pair->relay));
  run_until (pair_is_up, pair);
}

static void
pair_stop (struct pair *pair)
{
  jc_rpc_free (pair->a.rpc);
  jc_rpc_free (pair->b.rpc);
  relay_free (pair->relay);
}

static bool
b_got_delta (void *ctx)
{
  return ((struct pair *)ctx)->b.delta_count >= 1;
}

static bool
is_dialled_twice (void *ctx)
{
  return relay_accepted_count (ctx) >= 2;
}

/* Guards against a peer that accepts but never answers: it must be dialled
   again from a new port.  */
static void
test_never_answers (void)
{
  struct relay *silent_server = relay_new (loop, 0);
  struct node a;
  int first_port;

  node_start (&a, "a", KEY_A, 1);
  node_dial (&a, "b", relay_port (silent_server));
  while (relay_accepted_count (silent_server) == 0)
    ev_run (loop, EVRUN_ONCE);
  first_port = relay_last_peer_port (silent_server);
  run_until (is_dialled_twice, silent_server);
  g_assert_cmpint (relay_last_peer_port (silent_server), !=, first_port);
  g_assert_cmpuint (a.up_count, ==, 0);
  jc_rpc_free (a.rpc);
  relay_free (silent_server);
}

/* Guards against a silent connection that stays in use: it must be replaced by
   one from a new port.  */
static void
test_goes_silent (void)
{
  struct pair pair;
  int port;

  pair_start (&pair);
  port = relay_last_peer_port (pair.relay);
  relay_set_fault (pair.relay, RELAY_FAULT_STALL);
  while (pair.a.down_count == 0 || pair.b.down_count == 0)
    ev_run (loop, EVRUN_ONCE);
  relay_set_fault (pair.relay, RELAY_FAULT_NONE);
  run_until (pair_is_renewed, &pair);
  g_assert_cmpint (relay_last_peer_port (pair.relay), !=, port);
  g_assert_cmpint (node_send (&pair.a, "b", 10), ==, JC_OK);
  run_until (b_got_delta, &pair);
  pair_stop (&pair);
}

/* Apply HARM to one record of A.  The connection must be replaced, and B must
   receive EXPECTED deltas.  */
static void
check_harm (enum relay_fault harm, unsigned int expected)
{
  struct pair pair;

  pair_start (&pair);
  relay_set_fault (pair.relay, harm);
  g_assert_cmpint (node_send (&pair.a, "b", 10), ==, JC_OK);
  run_until (pair_is_renewed, &pair);
  g_assert_cmpuint (pair.b.delta_count, ==, expected);
  g_assert_cmpuint (pair.a.delta_count, ==, 0);
  pair_stop (&pair);
}

/* Guards against altered records that are accepted.  */
static void
test_altered (void)
{
  check_harm (RELAY_FAULT_CORRUPT, 0);
}

/* Guards against replayed records that are accepted.  */
static void
test_repeated (void)
{
  check_harm (RELAY_FAULT_DUPLICATE, 1);
}

/* Guards against records that are accepted by their own sender.  */
static void
test_reflected (void)
{
  check_harm (RELAY_FAULT_REFLECT, 1);
}

/* Start A with KEY and let it dial B as NAME.  The connection must come up on
   neither side.  */
static void
check_rejected (const char *key, const char *name)
{
  struct pair pair;

  node_start (&pair.a, "a", key, 1);
  node_start (&pair.b, "b", KEY_A, 1);
  pair.relay = relay_new (loop, jc_rpc_port (pair.b.rpc));
  node_dial (&pair.a, name, relay_port (pair.relay));
  run_until (is_dialled_twice, pair.relay);
  g_assert_cmpuint (pair.a.up_count, ==, 0);
  g_assert_cmpuint (pair.b.up_count, ==, 0);
  pair_stop (&pair);
}

static void
test_wrong_key (void)
{
  check_rejected (KEY_B, "b");
}

static void
test_wrong_name (void)
{
  check_rejected (KEY_A, "c");
}

static int
raw_connect (const struct node *node)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  addr.sin_port = htons ((uint16_t)jc_rpc_port (node->rpc));
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&addr, sizeof addr), ==, 0);
  return fd;
}

/* Return whether the other side has closed the socket that CTX points to.  */
static bool
raw_is_closed (void *ctx)
{
  int fd = *(int *)ctx;
  char data[1024];
  ssize_t received = recv (fd, data, sizeof data, MSG_DONTWAIT);

  return received == 0 || (received < 0 && errno == ECONNRESET);
}

static bool
has_no_conns (void *ctx)
{
  return jc_rpc_count_conns (((struct node *)ctx)->rpc) == 0;
}

/* Send DATA to a node that waits for a handshake.  It must close the
   connection.  */
static void
check_garbage (struct node *node, const void *data, size_t size)
{
  int fd = raw_connect (node);

  g_assert_cmpint (send (fd, data, size, MSG_NOSIGNAL), ==, (ssize_t)size);
  run_until (raw_is_closed, &fd);
  close (fd);
  run_until (has_no_conns, node);
}

/* Encode PACKET as a record into OUT, which has ROOM bytes.  Return its
   size.  */
static size_t
record_encode (struct rpc_packet *packet, unsigned char *out, size_t room)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_packet, packet);
  uint32_t mark = htonl ((uint32_t)size | 0x80000000U);
  XDR xdr;

  g_assert_cmpuint (size + sizeof mark, <=, room);
  memcpy (out, &mark, sizeof mark);
  xdrmem_create (&xdr, (char *)out + sizeof mark, (u_int)size, XDR_ENCODE);
  g_assert_true (xdr_rpc_packet (&xdr, packet));
  xdr_destroy (&xdr);
  return size + sizeof mark;
}

/* Guards against input without a handshake that is acted on or leaves a
   connection open.  */
static void
test_garbage (void)
{
  static const char text[] = "GET / HTTP/1.1\r\nHost: here\r\n\r\n";
  static const unsigned char large[] = { 0x80, 0x00, 0x10, 0x00 };
  static const unsigned char noise[]
      = { 0x80, 0x00, 0x00, 0x08, 1, 2, 3, 4, 5, 6, 7, 8 };
  struct rpc_packet heartbeat = { .body.type = RPC_HEARTBEAT };
  unsigned char record[256];
  size_t size;
  struct node node;

  node_start (&node, "b", KEY_A, 1);
  heartbeat.head.group = (char *)"demo";
  heartbeat.head.sender = (char *)"a";
  size = record_encode (&heartbeat, record, sizeof record);
  for (int i = 0; i < GARBAGE_ROUNDS; i++)
    {
      check_garbage (&node, text, sizeof text);
      check_garbage (&node, large, sizeof large);
      check_garbage (&node, noise, sizeof noise);
      check_garbage (&node, record, size);
    }
  g_assert_cmpuint (node.up_count, ==, 0);
  g_assert_cmpuint (node.heartbeat_count, ==, 0);
  jc_rpc_free (node.rpc);
}

/* A peer that sends its handshake one byte at a time and never completes
   it.  */
struct trickle
{
  int fd;
  unsigned int sent;
};

/* Send one more byte, and return whether the node has closed the
   connection.  */
static bool
trickle_is_closed (void *ctx)
{
  struct trickle *trickle = ctx;
  static const unsigned char mark[] = { 0x80, 0x00, 0x07, 0x00 };
  unsigned char byte = trickle->sent < sizeof mark ? mark[trickle->sent] : 0x00;

  if (raw_is_closed (&trickle->fd))
    return true;
  if (trickle->sent < TRICKLE_BYTES
      && send (trickle->fd, &byte, 1, MSG_NOSIGNAL | MSG_DONTWAIT) == 1)
    trickle->sent++;
  return false;
}

/* Guards against a peer that keeps its connection open by sending its
   handshake without end.  */
static void
test_trickle (void)
{
  struct node node;
  struct trickle trickle = { 0 };

  node_start (&node, "b", KEY_A, 1);
  trickle.fd = raw_connect (&node);
  run_until (trickle_is_closed, &trickle);
  g_assert_cmpuint (trickle.sent, <, TRICKLE_BYTES);
  run_until (has_no_conns, &node);
  close (trickle.fd);
  jc_rpc_free (node.rpc);
}

/* Guards against unbounded memory for messages that a peer does not read.  */
static void
test_backlog (void)
{
  struct pair pair;
  size_t sent = 0;

  pair_start (&pair);
  relay_set_fault (pair.relay, RELAY_FAULT_STALL);
  while (node_send (&pair.a, "b", LARGE_BYTES) == JC_OK)
    {
      sent += LARGE_BYTES;
      g_assert_cmpuint (sent, <=, SENT_MAX_BYTES);
    }
  g_assert_cmpuint (pair.a.down_count, ==, 0);
  relay_set_fault (pair.relay, RELAY_FAULT_NONE);
  run_until (pair_is_renewed, &pair);
  pair_stop (&pair);
}

/* Guards against a process that was suspended and acts on messages received
   meanwhile: its connections are dropped before they are read.  */
static void
test_suspended (void)
{
  struct pair pair;

  pair_start (&pair);
  g_assert_cmpint (node_send (&pair.a, "b", 10), ==, JC_OK);
  ev_run (loop, EVRUN_NOWAIT);
  g_assert_cmpint (node_send (&pair.a, "b", 10), ==, JC_OK);
  pair.b.delta_count = 0;
  g_usleep ((SILENT_MS + HEARTBEAT_MS + 50) * US_PER_MS);
  run_until (pair_is_renewed, &pair);
  g_assert_cmpuint (pair.b.delta_count, ==, 0);
  pair_stop (&pair);
}

static bool
a_is_incarnation_2 (void *ctx)
{
  const struct pair *pair = ctx;
  const struct jc_rpc_conn *conn = jc_rpc_find_conn (pair->b.rpc, "a");

  return conn != NULL && jc_rpc_conn_incarnation (conn) == 2
         && pair->b.down_count == 1;
}

/* Guards against a connection of an earlier incarnation that stays in use
   until it is silent for too long: that of a later one must replace it.  */
static void
test_restarted (void)
{
  struct pair pair;
  struct node later;

  silent_ms = LONG_SILENT_MS;
  pair_start (&pair);
  silent_ms = SILENT_MS;
  relay_set_fault (pair.relay, RELAY_FAULT_STALL);
  node_start (&later, "a", KEY_A, 2);
  node_dial (&later, "b", jc_rpc_port (pair.b.rpc));
  run_until (a_is_incarnation_2, &pair);
  jc_rpc_free (later.rpc);
  pair_stop (&pair);
}

static bool
b_knows_version (void *ctx)
{
  struct pair *pair = ctx;

  node_send (&pair->a, "b", 10);
  return pair->b.version == 7;
}

/* Guards against a configuration version that is not reported while other
   messages replace heartbeats.  */
static void
test_version (void)
{
  struct pair pair;

  pair_start (&pair);
  jc_rpc_set_config_version (pair.a.rpc, 7);
  run_until (b_knows_version, &pair);
  pair_stop (&pair);
}

static void
node_on_reply (void *ctx, enum jc_status status, const struct rpc_packet *reply)
{
  struct node *node = ctx;

  (void)reply;
  node->reply_count++;
  node->reply_status = status;
}

static bool
a_has_reply (void *ctx)
{
  return ((struct pair *)ctx)->a.reply_count > 0;
}

/* Guards against a call that waits for its time-out after its connection is
   lost, or that ends twice.  */
static void
test_call_connection_lost (void)
{
  struct pair pair;
  struct rpc_packet packet = { .body.type = RPC_CONFIG_FOLLOW };

  pair_start (&pair);
  relay_set_fault (pair.relay, RELAY_FAULT_STALL);
  g_assert_cmpuint (jc_rpc_call (jc_rpc_find_conn (pair.a.rpc, "b"), &packet,
                                 TEST_TIMEOUT_S * MS_PER_S, node_on_reply,
                                 &pair.a),
                    !=, 0);
  run_until (a_has_reply, &pair);
  g_assert_cmpint (pair.a.reply_status, ==, JC_UNREACHABLE);
  relay_set_fault (pair.relay, RELAY_FAULT_NONE);
  run_until (pair_is_renewed, &pair);
  g_assert_cmpuint (pair.a.reply_count, ==, 1);
  pair_stop (&pair);
}

/* Answers each call, and keeps the loop busy for longer than the caller waits.
 */
static void
slow_on_packet (void *ctx, struct jc_rpc_conn *conn,
                const struct rpc_packet *packet)
{
  struct rpc_packet reply = { .body.type = RPC_HEARTBEAT };

  (void)ctx;
  if (packet->body.type != RPC_CONFIG_FOLLOW)
    return;
  jc_rpc_reply (conn, packet, &reply);
  g_usleep (2 * CALL_MS * US_PER_MS);
}

/* Guards against a reply that came in time and counts as late, since the
   process was busy when the time-out passed.  */
static void
test_reply_before_timeout (void)
{
  static const struct jc_rpc_class klass = { .packet = slow_on_packet };
  const struct jc_rpc_identity identity = { .group = "demo",
                                            .name = "b",
                                            .role = "entry",
                                            .region = "ost",
                                            .zone = "ost-1",
                                            .key_hex = KEY_A,
                                            .incarnation = 1,
                                            .heartbeat_ms = HEARTBEAT_MS,
                                            .silent_ms = SILENT_MS };
  struct rpc_packet packet = { .body.type = RPC_CONFIG_FOLLOW };
  struct pair pair;

  memset (&pair, 0, sizeof pair);
  node_start (&pair.a, "a", KEY_A, 1);
  pair.b.rpc = jc_rpc_new (loop, &identity, &klass, &pair.b);
  g_assert_cmpint (jc_rpc_listen (pair.b.rpc, "127.0.0.1:0"), ==, JC_OK);
  node_dial (&pair.a, "b", jc_rpc_port (pair.b.rpc));
  run_until (pair_is_up, &pair);
  g_assert_cmpuint (jc_rpc_call (jc_rpc_find_conn (pair.a.rpc, "b"), &packet,
                                 CALL_MS, node_on_reply, &pair.a),
                    !=, 0);
  run_until (a_has_reply, &pair);
  g_assert_cmpint (pair.a.reply_status, ==, JC_OK);
  jc_rpc_free (pair.a.rpc);
  jc_rpc_free (pair.b.rpc);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_assert_cmpint (sodium_init (), >=, 0);
  loop = ev_default_loop (0);
  g_test_add_func ("/rpc/never-answers", test_never_answers);
  g_test_add_func ("/rpc/goes-silent", test_goes_silent);
  g_test_add_func ("/rpc/altered", test_altered);
  g_test_add_func ("/rpc/repeated", test_repeated);
  g_test_add_func ("/rpc/reflected", test_reflected);
  g_test_add_func ("/rpc/wrong-key", test_wrong_key);
  g_test_add_func ("/rpc/wrong-name", test_wrong_name);
  g_test_add_func ("/rpc/garbage", test_garbage);
  g_test_add_func ("/rpc/trickle", test_trickle);
  g_test_add_func ("/rpc/backlog", test_backlog);
  g_test_add_func ("/rpc/suspended", test_suspended);
  g_test_add_func ("/rpc/restarted", test_restarted);
  g_test_add_func ("/rpc/version", test_version);
  g_test_add_func ("/rpc/reply-before-timeout", test_reply_before_timeout);
  g_test_add_func ("/rpc/call-connection-lost", test_call_connection_lost);
  return g_test_run ();
}
