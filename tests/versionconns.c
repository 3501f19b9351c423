/* Connections of entry instances to endpoints, as a part of the simulation of
   software versions: what they tell of the process at an address is decided as
   in net/httpcconn.c.  */

#include "tests/versionworld.h"

enum
{
  /* Connections that are idle for longer are closed.  */
  IDLE_MS = 5000
};

static void
conn_close (struct world_entry *entry, struct world_conn *conn)
{
  struct world_address *used = &entry->used[conn->endpoint];

  g_ptr_array_remove (entry->http_conns[conn->endpoint], conn);
  if (--used->open == 0)
    *used = (struct world_address){ .open = 0 };
}

static void
close_idle (const struct world *world, struct world_entry *entry,
            unsigned int endpoint)
{
  GPtrArray *conns = entry->http_conns[endpoint];

  for (guint i = conns->len; i > 0; i--)
    {
      struct world_conn *conn = g_ptr_array_index (conns, i - 1);

      if (conn->stream == NULL && world->now_ms - conn->used_ms > IDLE_MS)
        conn_close (entry, conn);
    }
}

/* Give STREAM, whose request has arrived at its process, a connection: the idle
   one to this process that was used last, or a new one.  Idle connections to an
   ended process that look open stay so.  */
void
conns_take (struct world *world, struct stream *stream)
{
  struct world_entry *entry = &world->entries[stream->entry];
  GPtrArray *conns = entry->http_conns[stream->endpoint];
  struct world_conn *taken = NULL;

  close_idle (world, entry, stream->endpoint);
  for (guint i = 0; i < conns->len; i++)
    {
      struct world_conn *conn = g_ptr_array_index (conns, i);

      if (conn->stream == NULL && conn->process == stream->process
          && (taken == NULL || conn->used_ms >= taken->used_ms))
        taken = conn;
    }
  if (taken == NULL)
    {
      taken = world_alloc (world, sizeof *taken);
      taken->endpoint = stream->endpoint;
      taken->process = stream->process;
      taken->connected_ms = world->now_ms;
      taken->since_ms = world->now_ms;
      entry->used[stream->endpoint].open++;
      g_ptr_array_add (conns, taken);
    }
  taken->stream = stream;
  stream->conn = taken;
}

/* Bytes have come over STREAM's connection.  */
void
conns_note_heard (struct world *world, struct stream *stream)
{
  struct world_conn *conn = stream->conn;
  struct world_address *used
      = &world->entries[stream->entry].used[stream->endpoint];

  if (used->heard_ms > conn->connected_ms)
    conn->since_ms = MIN (conn->since_ms, used->since_ms);
  used->since_ms = conn->since_ms;
  used->heard_ms = world->now_ms;
  stream->process_since_ms = conn->since_ms;
}

/* STREAM's attempt needs its connection no more.  It stays open for others if
   the answer was WHOLE.  */
void
conns_leave (struct world *world, struct stream *stream, bool whole)
{
  struct world_conn *conn = stream->conn;

  stream->conn = NULL;
  if (conn == NULL || !world->entries[stream->entry].up)
    return;
  conn->stream = NULL;
  conn->used_ms = world->now_ms;
  if (!whole)
    conn_close (&world->entries[stream->entry], conn);
}

/* Return since when the process that ENTRY heard last at ENDPOINT's address has
   been the same, -1 if no connection to it is established.  */
int64_t
conns_since_ms (const struct world *world, struct world_entry *entry,
                unsigned int endpoint)
{
  close_idle (world, entry, endpoint);
  return entry->used[endpoint].heard_ms > 0 ? entry->used[endpoint].since_ms
                                            : -1;
}

/* An entry instance hears that the process that an endpoint was has closed its
   connections.  */
void
conns_on_closed (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  GPtrArray *conns;

  if (!entries_is_current (world, event))
    return;
  conns = g_ptr_array_copy (entry->http_conns[event->endpoint], NULL, NULL);
  for (guint i = 0; i < conns->len; i++)
    {
      struct world_conn *conn = g_ptr_array_index (conns, i);
      struct stream *stream = conn->stream;

      if (conn->process != event->number
          || !g_ptr_array_find (entry->http_conns[event->endpoint], conn, NULL))
        continue;
      conn_close (entry, conn);
      if (stream == NULL)
        continue;
      stream->conn = NULL;
      entries_broken (world, stream);
    }
  g_ptr_array_free (conns, TRUE);
}
