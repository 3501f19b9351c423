/* Orders of operators.  */

#include <stdint.h>
#include <string.h>

#include "base/xdrencode.h"
#include "conf/orders.h"

enum
{
  /* As many as rpc_orders has room for.  */
  ZONES_MAX = 256,
  /* Zones whose last order is known.  */
  ZONE_CHANGES_MAX = 1024
};

/* Return the initial state, with no route table and no evacuated zone.  */
struct jc_orders *
jc_orders_new (void)
{
  struct jc_orders *orders = g_new0 (struct jc_orders, 1);

  orders->table_text = g_string_new (NULL);
  orders->evacuated_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  orders->zone_changes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  orders->readmitted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return orders;
}

/* Free ORDERS; NULL is allowed.  */
void
jc_orders_free (struct jc_orders *orders)
{
  if (orders == NULL)
    return;
  g_string_free (orders->table_text, TRUE);
  g_hash_table_destroy (orders->evacuated_zones);
  g_hash_table_destroy (orders->zone_changes);
  g_hash_table_destroy (orders->readmitted);
  g_free (orders);
}

/* Return ORDER in the encoding of a log entry.  */
GString *
jc_orders_encode (const struct rpc_order *order)
{
  return jc_xdr_encode ((xdrproc_t)xdr_rpc_order, order);
}

/* Return ORDER, for a zone, in the encoding of a log entry.  Its sender had
   applied all entries up to APPLIED.  */
GString *
jc_orders_encode_zone (const struct rpc_order *order, uint64_t applied)
{
  const struct rpc_zone_order zone_order
      = { .applied = applied, .order = *order };

  return jc_xdr_encode ((xdrproc_t)xdr_rpc_zone_order, &zone_order);
}

static char *
order_zone (const struct rpc_order *order)
{
  return g_strndup (order->data.rpc_bytes_val, order->data.rpc_bytes_len);
}

/* Return whether ZONE fits in the message that tells the receivers of ORDERS of
   the evacuated zones.  One that doesn't would keep all orders from them.  */
bool
jc_orders_can_evacuate (const struct jc_orders *orders, const char *zone)
{
  if (g_hash_table_contains (orders->evacuated_zones, zone))
    return true;
  return strlen (zone) <= RPC_NAME_MAX && g_utf8_validate (zone, -1, NULL)
         && g_hash_table_size (orders->evacuated_zones) < ZONES_MAX;
}

/* Return whether ORDER would have no effect now: its route table is not newer,
   its zone is already in the requested state, or the name of its zone fits in
   no message, which an earlier version accepted.  */
bool
jc_orders_is_noop (const struct jc_orders *orders,
                   const struct rpc_order *order)
{
  char *zone;
  bool evacuated;
  bool noop;

  if (order->kind == RPC_ORDER_ROUTES)
    return order->table_version <= orders->table_version;
  zone = order_zone (order);
  evacuated = jc_orders_is_evacuated (orders, zone);
  noop = evacuated == (order->kind == RPC_ORDER_EVACUATE)
         || (order->kind == RPC_ORDER_EVACUATE
             && !jc_orders_can_evacuate (orders, zone));
  g_free (zone);
  return noop;
}

static void
set_index (GHashTable *table, const char *zone, uint64_t index)
{
  g_hash_table_replace (table, g_strdup (zone),
                        g_memdup2 (&index, sizeof index));
}

static void
execute_order (struct jc_orders *orders, uint64_t index,
               const struct rpc_order *order)
{
  char *zone;

  if (order->kind == RPC_ORDER_ROUTES)
    {
      orders->table_version = order->table_version;
      g_string_truncate (orders->table_text, 0);
      g_string_append_len (orders->table_text, order->data.rpc_bytes_val,
                           (gssize)order->data.rpc_bytes_len);
      return;
    }
  zone = order_zone (order);
  if (order->kind == RPC_ORDER_EVACUATE)
    {
      g_hash_table_add (orders->evacuated_zones, g_strdup (zone));
      g_hash_table_remove (orders->readmitted, zone);
    }
  else
    {
      g_hash_table_remove (orders->evacuated_zones, zone);
      set_index (orders->readmitted, zone, index);
    }
  g_free (zone);
}

/* Drop the zone whose last order is the oldest, and raise the floor to that. */
static void
drop_zone_change (struct jc_orders *orders)
{
  const char *oldest = NULL;
  uint64_t oldest_index = UINT64_MAX;
  GHashTableIter iter;
  gpointer zone;
  gpointer index;

  g_hash_table_iter_init (&iter, orders->zone_changes);
  while (g_hash_table_iter_next (&iter, &zone, &index))
    if (*(const uint64_t *)index < oldest_index)
      {
        oldest = zone;
        oldest_index = *(const uint64_t *)index;
      }
  orders->zone_floor = MAX (orders->zone_floor, oldest_index);
  g_hash_table_remove (orders->readmitted, oldest);
  g_hash_table_remove (orders->zone_changes, oldest);
}

/* Record that entry INDEX has an order for ZONE.  */
static void
note_zone_change (struct jc_orders *orders, const char *zone, uint64_t index)
{
  set_index (orders->zone_changes, zone, index);
  if (g_hash_table_size (orders->zone_changes) > ZONE_CHANGES_MAX)
    drop_zone_change (orders);
}

static uint64_t
last_zone_change (const struct jc_orders *orders, const char *zone)
{
  const uint64_t *index = g_hash_table_lookup (orders->zone_changes, zone);

  return index != NULL ? *index : orders->zone_floor;
}

/* Apply ORDER, entry INDEX of the log.  Return whether anything changed.  */
static bool
apply_order (struct jc_orders *orders, uint64_t index,
             const struct rpc_order *order)
{
  bool changed = !jc_orders_is_noop (orders, order);

  if (changed)
    {
      execute_order (orders, index, order);
      orders->position = index;
    }
  if (order->kind != RPC_ORDER_ROUTES)
    {
      char *zone = order_zone (order);

      note_zone_change (orders, zone, index);
      g_free (zone);
    }
  return changed;
}

/* Return JC_OK if ORDER, for ZONE, whose sender had applied the entries up to
   APPLIED, counts, JC_BEHIND if a later one has overtaken it, and
   JC_BAD_REQUEST if there is no room for one more evacuated zone.  */
static enum jc_status
judge_zone_order (const struct jc_orders *orders, const struct rpc_order *order,
                  const char *zone, uint64_t applied)
{
  if (order->kind == RPC_ORDER_EVACUATE
      && !jc_orders_can_evacuate (orders, zone))
    return JC_BAD_REQUEST;
  if (!jc_orders_is_noop (orders, order)
      && last_zone_change (orders, zone) > applied)
    return JC_BEHIND;
  return JC_OK;
}

/* Execute the order for a zone encoded in DATA, entry INDEX of the log.  Return
   whether anything changed, and set OUTCOME: JC_OK if the order is in force,
   JC_BEHIND if it was left out because its sender hadn't applied a later one
   for the zone, JC_BAD_REQUEST if there is no room for its zone or DATA cannot
   be decoded, which changes nothing.  */
bool
jc_orders_apply_zone (struct jc_orders *orders, uint64_t index,
                      struct jc_str data, enum jc_status *outcome)
{
  struct rpc_zone_order row;
  bool changed = false;
  char *zone;
  XDR xdr;

  *outcome = JC_BAD_REQUEST;
  memset (&row, 0, sizeof row);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  if (xdr_rpc_zone_order (&xdr, &row) && row.order.kind != RPC_ORDER_ROUTES)
    {
      zone = order_zone (&row.order);
      *outcome = judge_zone_order (orders, &row.order, zone, row.applied);
      g_free (zone);
      if (*outcome == JC_OK)
        changed = apply_order (orders, index, &row.order);
    }
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_zone_order, (char *)&row);
  return changed;
}

/* Execute the order encoded in DATA, entry INDEX of the log.  A route table
   takes effect only if its version is higher than the one in force.  Return
   whether anything changed; DATA that cannot be decoded changes nothing.  */
bool
jc_orders_apply (struct jc_orders *orders, uint64_t index, struct jc_str data)
{
  struct rpc_order order;
  bool changed;
  XDR xdr;

  memset (&order, 0, sizeof order);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  changed = xdr_rpc_order (&xdr, &order) && apply_order (orders, index, &order);
  xdr_destroy (&xdr);
  xdr_free ((xdrproc_t)xdr_rpc_order, (char *)&order);
  return changed;
}

/* Return whether the availability zone ZONE is evacuated.  */
bool
jc_orders_is_evacuated (const struct jc_orders *orders, const char *zone)
{
  return g_hash_table_contains (orders->evacuated_zones, zone);
}

/* Replace ORDERS by those in MESSAGE, which a state instance sent, if they are
   newer.  Return whether they were.  A message without the text of the table
   is accepted only if its table version is the one held here, whose text is
   kept.  */
bool
jc_orders_update (struct jc_orders *orders, const struct rpc_orders *message)
{
  if (message->position <= orders->position
      || message->table_version < orders->table_version)
    return false;
  if (message->text.rpc_bytes_len == 0
      && message->table_version != orders->table_version)
    return false;
  orders->position = message->position;
  if (message->text.rpc_bytes_len > 0)
    {
      orders->table_version = message->table_version;
      g_string_truncate (orders->table_text, 0);
      g_string_append_len (orders->table_text, message->text.rpc_bytes_val,
                           (gssize)message->text.rpc_bytes_len);
    }
  g_hash_table_remove_all (orders->evacuated_zones);
  for (u_int i = 0; i < message->evacuated.evacuated_len; i++)
    g_hash_table_add (orders->evacuated_zones,
                      g_strdup (message->evacuated.evacuated_val[i]));
  return true;
}

/* Fill OUT for a receiver that has HAVE_VERSION of the route table; the text
   is left out if that is the current one.  OUT points into ORDERS, except for
   the array of zones, which the caller must free.  */
void
jc_orders_to_message (const struct jc_orders *orders, uint64_t have_version,
                      struct rpc_orders *out)
{
  GHashTableIter iter;
  gpointer zone;
  u_int i = 0;

  memset (out, 0, sizeof *out);
  out->position = orders->position;
  out->table_version = orders->table_version;
  if (have_version != orders->table_version)
    {
      out->text.rpc_bytes_val = orders->table_text->str;
      out->text.rpc_bytes_len = (u_int)orders->table_text->len;
    }
  out->evacuated.evacuated_len = g_hash_table_size (orders->evacuated_zones);
  out->evacuated.evacuated_val
      = g_new0 (rpc_name, out->evacuated.evacuated_len + 1);
  g_hash_table_iter_init (&iter, orders->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    out->evacuated.evacuated_val[i++] = zone;
}

/* Return TABLE, of zones and indices, as an object.  */
static json_t *
indices_json (GHashTable *table)
{
  json_t *changes = json_object ();
  GHashTableIter iter;
  gpointer zone;
  gpointer index;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &zone, &index))
    json_object_set_new (changes, zone,
                         json_integer ((json_int_t) * (uint64_t *)index));
  return changes;
}

/* Write ORDERS into the snapshot OUT.  */
void
jc_orders_snapshot (const struct jc_orders *orders, json_t *out)
{
  json_t *zones = json_array ();
  GHashTableIter iter;
  gpointer zone;

  g_hash_table_iter_init (&iter, orders->evacuated_zones);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    json_array_append_new (zones, json_string (zone));
  json_object_set_new (
      out, "orders",
      json_pack ("{s:I,s:I,s:s%,s:o,s:o,s:I,s:o}", "position",
                 (json_int_t)orders->position, "version",
                 (json_int_t)orders->table_version, "text",
                 orders->table_text->str, orders->table_text->len, "evacuated",
                 zones, "changes", indices_json (orders->zone_changes), "floor",
                 (json_int_t)orders->zone_floor, "readmitted",
                 indices_json (orders->readmitted)));
}

/* Replace the last orders for zones by those of SAVED, the orders of a
   snapshot, which has none if an earlier version wrote it.  */
static void
restore_zone_changes (struct jc_orders *orders, const json_t *saved)
{
  const char *zone;
  json_t *index;

  g_hash_table_remove_all (orders->zone_changes);
  orders->zone_floor
      = (uint64_t)json_integer_value (json_object_get (saved, "floor"));
  json_object_foreach (json_object_get (saved, "changes"), zone, index)
  {
    note_zone_change (orders, zone, (uint64_t)json_integer_value (index));
  }
}

/* Replace the zones that were readmitted by those of SAVED, the orders of a
   snapshot.  One of an earlier version doesn't tell them: then each zone whose
   last order left it open counts.  */
static void
restore_readmitted (struct jc_orders *orders, const json_t *saved)
{
  json_t *readmitted = json_object_get (saved, "readmitted");
  const char *zone;
  json_t *index;

  g_hash_table_remove_all (orders->readmitted);
  if (readmitted == NULL)
    readmitted = json_object_get (saved, "changes");
  json_object_foreach (readmitted, zone, index)
  {
    if (g_hash_table_contains (orders->zone_changes, zone)
        && !jc_orders_is_evacuated (orders, zone))
      set_index (orders->readmitted, zone,
                 (uint64_t)json_integer_value (index));
  }
}

/* Replace ORDERS by those in the snapshot IN, or by the initial state if IN
   has none.  Zones that fit in no message, which an earlier version accepted,
   are left out.  Return JC_CORRUPT if they are invalid.  */
enum jc_status
jc_orders_restore (struct jc_orders *orders, const json_t *in)
{
  const json_t *saved = json_object_get (in, "orders");
  const json_t *zones = json_object_get (saved, "evacuated");
  const json_t *zone;
  size_t i;

  if (saved != NULL && !json_is_string (json_object_get (saved, "text")))
    return jc_fail (JC_CORRUPT, "The orders can't be read.");
  orders->position
      = (uint64_t)json_integer_value (json_object_get (saved, "position"));
  orders->table_version
      = (uint64_t)json_integer_value (json_object_get (saved, "version"));
  g_string_assign (
      orders->table_text,
      saved != NULL ? json_string_value (json_object_get (saved, "text")) : "");
  restore_zone_changes (orders, saved);
  g_hash_table_remove_all (orders->evacuated_zones);
  json_array_foreach ((json_t *)zones, i, zone)
  {
    if (json_is_string (zone)
        && jc_orders_can_evacuate (orders, json_string_value (zone)))
      g_hash_table_add (orders->evacuated_zones,
                        g_strdup (json_string_value (zone)));
  }
  restore_readmitted (orders, saved);
  return JC_OK;
}
