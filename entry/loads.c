/* Loads: entry instances of a region tell each other what they have at each
   endpoint, since each of them sends there.  */

#include <string.h>

#include "entry/hosts.h"
#include "net/address.h"
#include "net/program.h"

enum
{
  /* Interval of telling.  It grows with the instances of the region, so that
     what each has to read stays about the same.  */
  TELL_A_FELLOW_MS = 6,
  TELL_LEAST_MS = 20,
  TELL_MOST_MS = 100,
  FULL_MS = 500
};

static int64_t
interval_ms (const GPtrArray *conns)
{
  return CLAMP ((int64_t)conns->len * TELL_A_FELLOW_MS, TELL_LEAST_MS,
                TELL_MOST_MS);
}

static bool
is_fellow (const struct hosts *hosts, const struct jc_rpc_conn *conn)
{
  return strcmp (jc_rpc_conn_role (conn), "entry") == 0
         && strcmp (jc_rpc_conn_region (conn), hosts->entry->settings->region)
                == 0;
}

/* Keep a connection to NEIGHBOUR where it is of this region.  Of each pair
   the one with the lesser name dials.  */
void
loads_meet (struct hosts *hosts, const struct rpc_presence *neighbour)
{
  const struct jc_entry_settings *settings = hosts->entry->settings;
  char *address;

  if (strcmp (neighbour->region, settings->region) != 0
      || strcmp (settings->name, neighbour->name) >= 0
      || g_hash_table_contains (hosts->fellows, neighbour->name))
    return;
  g_hash_table_add (hosts->fellows, g_strdup (neighbour->name));
  address = jc_address_with_port (neighbour->handover_address,
                                  jc_rpc_port (hosts->entry->rpc));
  jc_rpc_dial (hosts->entry->rpc, neighbour->name, address);
  g_free (address);
}

/* Keep no connection to the instance NAME, which is gone.  */
void
loads_part (struct hosts *hosts, const char *name)
{
  if (g_hash_table_remove (hosts->fellows, name))
    jc_rpc_hang_up (hosts->entry->rpc, name);
}

/* Tell CONNS what changed; from time to time everything, since a message may
   be lost with its connection.  A part that was read comes with a request, and
   so with a changed row.  */
static void
tell (struct hosts *hosts, const GPtrArray *conns, int64_t now)
{
  struct rpc_packet packet = { .body.type = RPC_LOADS };
  struct rpc_loads *loads = &packet.body.rpc_body_u.loads;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_load));
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct rpc_part_read));
  GArray *paths = g_array_new (FALSE, FALSE, sizeof (struct rpc_path_closed));

  loads->full = now - hosts->loads_full_ms >= FULL_MS;
  jc_engines_loads (hosts->engines, loads->full, now, rows, parts);
  loads->rows.rows_val = (struct rpc_load *)rows->data;
  loads->rows.rows_len = rows->len;
  loads->parts.parts_val = (struct rpc_part_read *)parts->data;
  loads->parts.parts_len = parts->len;
  paths_list (hosts, paths);
  loads->paths.paths_val = (struct rpc_path_closed *)paths->data;
  loads->paths.paths_len = paths->len;
  if (loads->full)
    hosts->loads_full_ms = now;
  for (guint i = 0; i < conns->len && (rows->len > 0 || loads->full); i++)
    if (is_fellow (hosts, g_ptr_array_index (conns, i)))
      jc_rpc_send (g_ptr_array_index (conns, i), &packet);
  g_array_free (rows, TRUE);
  g_array_free (parts, TRUE);
  g_array_free (paths, TRUE);
}

/* Tell the other instances of the region, where it is time.  */
void
loads_tick (struct hosts *hosts)
{
  int64_t now = jc_now_ms ();
  GPtrArray *conns;

  if (now - hosts->loads_told_ms < TELL_LEAST_MS)
    return;
  conns = g_ptr_array_new ();
  jc_rpc_list (hosts->entry->rpc, "entry", conns);
  if (now - hosts->loads_told_ms >= interval_ms (conns))
    {
      hosts->loads_told_ms = now;
      tell (hosts, conns, now);
    }
  g_ptr_array_free (conns, TRUE);
}

/* Take what another instance told.  */
void
loads_packet (struct hosts *hosts, struct jc_rpc_conn *conn,
              const struct rpc_packet *packet)
{
  const struct rpc_loads *loads = &packet->body.rpc_body_u.loads;

  if (packet->body.type != RPC_LOADS || !is_fellow (hosts, conn))
    return;
  jc_engines_take (hosts->engines, jc_rpc_conn_name (conn), loads,
                   jc_now_ms ());
  paths_told (hosts, jc_rpc_conn_name (conn), loads);
}
