/* Starts: records which software version began each stream of this instance,
   and sends that to the state instances that hold it.  */

#include "entry/router.h"
#include "net/program.h"
#include "serve/resumption.h"

enum
{
  /* Starts of a minute at 1,000 streams per second.  */
  STARTS_MAX = 60000,
  /* Starts are collected for this long before they are sent.  */
  SEND_INTERVAL_MS = 10,
  MS_PER_S = 1000
};

/* Return the connected state instances that hold the start of STREAM, an array
   of connections that the caller frees.  */
GPtrArray *
starts_list_holders (const struct router *router, uint64_t stream)
{
  GPtrArray *conns = g_ptr_array_new ();
  GPtrArray *holders = g_ptr_array_new ();
  struct jc_stream_holder *candidates;
  unsigned int picked[JC_RESUMPTION_HOLDERS_MAX];
  unsigned int count;

  jc_rpc_list_conns (router->entry->rpc, "state", conns);
  candidates = g_new0 (struct jc_stream_holder, conns->len + 1);
  for (guint i = 0; i < conns->len; i++)
    {
      const struct jc_rpc_conn *conn = g_ptr_array_index (conns, i);

      candidates[i]
          = (struct jc_stream_holder){ .name = jc_rpc_conn_name (conn),
                                       .region = jc_rpc_conn_region (conn) };
    }
  count = jc_resumption_pick_holders (
      candidates, conns->len, router->entry->settings->region, stream, picked);
  for (unsigned int i = 0; i < count; i++)
    g_ptr_array_add (holders, g_ptr_array_index (conns, picked[i]));
  g_free (candidates);
  g_ptr_array_free (conns, TRUE);
  return holders;
}

/* Record START, which is of a stream of this instance, and send it to its
   holders.  */
void
starts_record (struct router *router, const struct jc_stream_start *start)
{
  jc_stream_starts_record (router->starts, start);
  g_array_append_val (router->unsent_starts, start->stream);
  if (ev_is_active (&router->starts_timer))
    return;
  ev_timer_set (&router->starts_timer, (double)SEND_INTERVAL_MS / MS_PER_S, 0);
  ev_timer_start (router->entry->loop, &router->starts_timer);
}

/* Starts to send to the state instance CONN.  */
struct starts_message
{
  struct jc_rpc_conn *conn;
  GArray *certain;
  GArray *claims;
};

static struct starts_message *
starts_message_new (struct jc_rpc_conn *conn)
{
  struct starts_message *message = g_new0 (struct starts_message, 1);

  message->conn = conn;
  message->certain
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_stream_start));
  message->claims
      = g_array_new (FALSE, FALSE, sizeof (struct rpc_stream_claim));
  return message;
}

static void
starts_message_add (struct starts_message *message,
                    const struct jc_stream_start *start)
{
  struct rpc_stream_claim row = jc_stream_start_to_rpc (start, jc_now_ms ());

  if (start->certain)
    g_array_append_val (message->certain, row.start);
  else
    g_array_append_val (message->claims, row);
}

/* Send MESSAGE, unless it is empty, and free it.  */
static void
starts_message_send (gpointer data)
{
  struct starts_message *message = data;
  struct rpc_packet packet = { .body.type = RPC_STREAM_STARTS };
  struct rpc_stream_starts *starts = &packet.body.rpc_body_u.stream_starts;

  starts->list.list_val = (struct rpc_stream_start *)message->certain->data;
  starts->list.list_len = message->certain->len;
  starts->claims.claims_val = (struct rpc_stream_claim *)message->claims->data;
  starts->claims.claims_len = message->claims->len;
  if (starts->list.list_len > 0 || starts->claims.claims_len > 0)
    jc_rpc_send (message->conn, &packet);
  g_array_free (message->certain, TRUE);
  g_array_free (message->claims, TRUE);
  g_free (message);
}

/* Add START to the message in MESSAGES of each state instance that holds it. */
static void
add_to_messages (const struct router *router, GHashTable *messages,
                 const struct jc_stream_start *start)
{
  GPtrArray *holders = starts_list_holders (router, start->stream);

  for (guint i = 0; i < holders->len; i++)
    {
      struct jc_rpc_conn *conn = g_ptr_array_index (holders, i);
      struct starts_message *message = g_hash_table_lookup (messages, conn);

      if (message == NULL)
        {
          message = starts_message_new (conn);
          g_hash_table_insert (messages, conn, message);
        }
      starts_message_add (message, start);
    }
  g_ptr_array_free (holders, TRUE);
}

/* Send the starts that were recorded since the last time to their holders.  */
static void
on_starts_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct router *router = watcher->data;
  GHashTable *messages
      = g_hash_table_new_full (NULL, NULL, NULL, starts_message_send);

  (void)loop;
  (void)events;
  for (guint i = 0; i < router->unsent_starts->len; i++)
    {
      const struct jc_stream_start *start = jc_stream_starts_find (
          router->starts, g_array_index (router->unsent_starts, uint64_t, i),
          jc_now_ms ());

      if (start != NULL)
        add_to_messages (router, messages, start);
    }
  g_array_set_size (router->unsent_starts, 0);
  g_hash_table_destroy (messages);
}

/* The message to a state instance that connects.  */
struct resend
{
  const struct router *router;
  struct starts_message *message;
};

static void
add_resent (void *ctx, const struct jc_stream_start *start)
{
  struct resend *resend = ctx;
  GPtrArray *holders = starts_list_holders (resend->router, start->stream);

  if (g_ptr_array_find (holders, resend->message->conn, NULL))
    starts_message_add (resend->message, start);
  g_ptr_array_free (holders, TRUE);
}
/* Send the state instance CONN, which has connected, the starts that it holds:
   it may have lost them or never got them.  */
void
starts_conn_up (struct router *router, struct jc_rpc_conn *conn)
{
  struct resend resend
      = { .router = router, .message = starts_message_new (conn) };

  jc_stream_starts_expire (router->starts, jc_now_ms ());
  jc_stream_starts_foreach (router->starts, add_resent, &resend);
  starts_message_send (resend.message);
}

/* Start the module, with no start recorded.  */
void
starts_start (struct router *router)
{
  router->starts = jc_stream_starts_new (STARTS_MAX);
  router->unsent_starts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ev_timer_init (&router->starts_timer, on_starts_timer, 0, 0);
  router->starts_timer.data = router;
}

/* Stop the module.  */
void
starts_stop (struct router *router)
{
  ev_timer_stop (router->entry->loop, &router->starts_timer);
  jc_stream_starts_free (router->starts);
  g_array_free (router->unsent_starts, TRUE);
}
