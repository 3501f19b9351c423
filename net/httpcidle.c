/* HTTP client: the choice of an idle connection.  */

#include "net/httpcprivate.h"

/* Return a hash of VALUE, the id of a request, that is never 0.  */
static uint32_t
echo_hash (const char *value)
{
  return MAX (g_str_hash (value), 1);
}

/* Record that a request with the id VALUE, NULL or empty for none, goes over
   the connection of ECHOES.  */
void
httpc_echoes_note (struct httpc_echoes *echoes, const char *value)
{
  if (value == NULL || value[0] == '\0')
    return;
  echoes->hashes[echoes->next] = echo_hash (value);
  echoes->next = (echoes->next + 1) % HTTPC_ECHOES;
}

/* Return whether one of the last requests over the connection of ECHOES may
   have had the id VALUE.  */
static bool
echoes_contain (const struct httpc_echoes *echoes, const char *value)
{
  if (value == NULL || value[0] == '\0')
    return false;
  for (unsigned int i = 0; i < HTTPC_ECHOES; i++)
    if (echoes->hashes[i] == echo_hash (value))
      return true;
  return false;
}

/* Return the idle connection to ADDRESS that was used last, no longer idle, or
   NULL.  One that a request with the id ECHO went over is left out: its peer
   may write the answer to that once more, and the id wouldn't tell.  */
struct httpc_conn *
httpc_conn_take_idle (struct jc_httpc *httpc, const char *address,
                      const char *echo)
{
  GQueue *queue = g_hash_table_lookup (httpc->idle_conns, address);
  GList *link = queue != NULL ? queue->head : NULL;
  struct httpc_conn *conn;

  while (link != NULL
         && echoes_contain (&((struct httpc_conn *)link->data)->echoes, echo))
    link = link->next;
  if (link == NULL)
    return NULL;
  conn = link->data;
  g_queue_delete_link (queue, link);
  conn->idle = false;
  ev_timer_stop (httpc->loop, &conn->idle_timer);
  return conn;
}
