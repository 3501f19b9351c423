/* Connections of entry instances to endpoints, as a part of the simulation of
   software versions: what they tell of the process at an address is decided as
   in net/httpcconn.c.  */

#include "tests/versionworld.h"

enum
{
  /* Connections that are idle for longer are closed.  */
  IDLE_MS = 5000,
  /* Within the region.  */
  HOP_MS = 1
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

      if (conn->stream == NULL && !conn->is_question
          && world->now_ms - conn->used_ms > IDLE_MS)
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

      if (conn->stream == NULL && !conn->is_question
          && conn->process == stream->process
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
  stream->process_heard_ms = world->now_ms;
}

/* The endpoint's answer of what it says of itself has come, unless its process
   has ended meanwhile.  */
static void
on_identity (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  const struct world_endpoint *endpoint = &world->endpoints[event->endpoint];
  struct world_conn *conn = event->data;
  struct world_address *used = &entry->used[event->endpoint];

  if (!entries_is_current (world, event))
    return;
  entry->asking[event->endpoint] = false;
  if (!g_ptr_array_find (entry->http_conns[event->endpoint], conn, NULL))
    return;
  if (endpoint->up && endpoint->incarnation == conn->process)
    {
      if (used->heard_ms > conn->connected_ms)
        conn->since_ms = MIN (conn->since_ms, used->since_ms);
      used->since_ms = conn->since_ms;
      used->heard_ms = world->now_ms;
      entry->identities[event->endpoint] = (struct jc_process_identity){
        .incarnation = conn->process,
        .since_us = conn->since_ms * US_PER_MS,
        .heard_us = world->now_ms * US_PER_MS
      };
    }
  conn_close (entry, conn);
  entries_check (world, event->entry);
}

/* A question of what an endpoint says of itself arrives.  */
static void
on_identify (struct world *world, const struct world_event *event)
{
  struct world_entry *entry = &world->entries[event->entry];
  const struct world_endpoint *endpoint = &world->endpoints[event->endpoint];
  struct world_event answer = *event;
  struct world_conn *conn;

  if (!entries_is_current (world, event))
    return;
  if (!endpoint->up)
    {
      entry->asking[event->endpoint] = false;
      return;
    }
  conn = world_alloc (world, sizeof *conn);
  *conn = (struct world_conn){ .endpoint = event->endpoint,
                               .process = endpoint->incarnation,
                               .connected_ms = world->now_ms,
                               .since_ms = world->now_ms,
                               .used_ms = world->now_ms + IDLE_MS,
                               .is_question = true };
  entry->used[event->endpoint].open++;
  g_ptr_array_add (entry->http_conns[event->endpoint], conn);
  answer.run = on_identity;
  answer.data = conn;
  world_after (world, HOP_MS, answer);
}

/* Let ENTRY ask the process at ENDPOINT's address what it is.  */
void
conns_identify (struct world *world, unsigned int entry, unsigned int endpoint)
{
  if (world->entries[entry].asking[endpoint])
    return;
  world->entries[entry].asking[endpoint] = true;
  world_after (world, HOP_MS,
               (struct world_event){ .run = on_identify,
                                     .entry = entry,
                                     .endpoint = endpoint,
                                     .epoch = world->entries[entry].epoch });
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
