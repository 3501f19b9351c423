/* Tests of route tables and of orders of operators.  */

#include <glib.h>
#include <string.h>

#include "conf/orders.h"
#include "conf/routetable.h"

static struct jc_hostroute *
add_route (struct jc_routetable *table, const char *host, const char *prefix,
           const char *service)
{
  struct jc_hostroute *route = jc_hostroute_new ();

  route->name = g_strconcat (host, prefix, NULL);
  route->host = g_strdup (host);
  route->prefix = g_strdup (prefix);
  route->timeout_ms = 1000;
  route->endpoints_max = 1;
  jc_hostroute_add_split (route, service, 1);
  g_ptr_array_add (table->routes, route);
  return route;
}

static struct jc_routetable *
new_table (void)
{
  static const struct jc_hostservice service
      = { .name = (char *)"s", .health_path = (char *)"/" };
  struct jc_routetable *table = jc_routetable_new (1);

  jc_routetable_add_service (table, &service);
  return table;
}

static guint
count_faults (struct jc_routetable *table)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  guint count;

  jc_routetable_check (table, faults);
  count = faults->len;
  g_ptr_array_free (faults, TRUE);
  return count;
}

static void
test_longest_prefix (void)
{
  struct jc_routetable *table = new_table ();

  add_route (table, "a.example", "/x/", "s");
  add_route (table, "a.example", "/x/y/", "s");
  add_route (table, "b.example", "/", "s");
  g_assert_cmpuint (count_faults (table), ==, 0);
  g_assert_cmpstr (jc_routetable_find (table, "a.example", "/x/1")->prefix, ==,
                   "/x/");
  g_assert_cmpstr (jc_routetable_find (table, "A.example:80", "/x/y/1")->prefix,
                   ==, "/x/y/");
  g_assert_cmpstr (
      jc_routetable_find (table, "a.example", "/x/?q=/x/y/")->prefix, ==,
      "/x/");
  g_assert_cmpstr (jc_routetable_find (table, "b.example", "/z")->prefix, ==,
                   "/");
  g_assert_null (jc_routetable_find (table, "a.example", "/xy/"));
  g_assert_null (jc_routetable_find (table, "a.example", "/x"));
  g_assert_null (jc_routetable_find (table, "c.example", "/x/"));
  jc_routetable_unref (table);
}

static void
test_faults (void)
{
  struct jc_routetable *table = new_table ();

  add_route (table, "a.example", "/x/", "unknown");
  g_assert_cmpuint (count_faults (table), ==, 1);
  jc_routetable_unref (table);
  table = new_table ();
  add_route (table, "a.example", "/x/", "s");
  add_route (table, "a.example", "/x/", "s");
  g_assert_cmpuint (count_faults (table), ==, 1);
  jc_routetable_unref (table);
  table = new_table ();
  add_route (table, "a.example", "/x/", "s")->timeout_ms = 0;
  g_assert_cmpuint (count_faults (table), ==, 1);
  jc_routetable_unref (table);
  table = new_table ();
  g_array_index (add_route (table, "a.example", "/x/", "s")->splits,
                 struct jc_weighted_service, 0)
      .weight
      = 0;
  g_assert_cmpuint (count_faults (table), ==, 1);
  jc_routetable_unref (table);
  table = new_table ();
  add_route (table, "a.example", "x", "s");
  g_assert_cmpuint (count_faults (table), ==, 1);
  jc_routetable_unref (table);
}

static void
test_splits (void)
{
  struct jc_hostroute *route = jc_hostroute_new ();
  unsigned int b = 0;
  struct jc_routetable *table = jc_routetable_new (1);

  jc_hostroute_add_split (route, "a", 9);
  jc_hostroute_add_split (route, "b", 1);
  jc_hostroute_add_split (route, "c", 0);
  for (uint64_t draw = 0; draw < 1000; draw++)
    {
      const char *service = jc_hostroute_pick_service (route, draw);

      g_assert_cmpstr (service, !=, "c");
      b += strcmp (service, "b") == 0 ? 1 : 0;
    }
  g_assert_cmpuint (b, ==, 100);
  g_ptr_array_add (table->routes, route);
  jc_routetable_unref (table);
}

static void
test_home_regions (void)
{
  struct jc_routetable *table = new_table ();
  struct jc_hostroute *bound = add_route (table, "a.example", "/x/", "s");

  add_route (table, "a.example", "/y/", "s");
  add_route (table, "b.example", "/x/", "s");
  g_ptr_array_add (bound->home_regions, g_strdup ("north"));
  g_assert_true (jc_hostroute_allows (bound, "north"));
  g_assert_false (jc_hostroute_allows (bound, "south"));
  g_assert_true (jc_routetable_host_allows (table, "a.example", "north"));
  g_assert_false (jc_routetable_host_allows (table, "a.example", "south"));
  g_assert_true (jc_routetable_host_allows (table, "b.example", "south"));
  jc_routetable_unref (table);
}

static bool
apply_order (struct jc_orders *orders, uint64_t index, enum rpc_order_kind kind,
             uint64_t table_version, const char *text)
{
  struct rpc_order order = { .kind = kind, .table_version = table_version };
  GString *data;
  bool changed;

  order.data.rpc_bytes_val = (char *)text;
  order.data.rpc_bytes_len = (u_int)strlen (text);
  data = jc_orders_encode (&order);
  changed = jc_orders_apply (orders, index, jc_str_from_gstring (data));
  g_string_free (data, TRUE);
  return changed;
}

/* Apply an order for ZONE whose sender had applied the entries up to APPLIED.
   Return what became of it.  */
static enum jc_status
apply_zone_order (struct jc_orders *orders, uint64_t index, uint64_t applied,
                  enum rpc_order_kind kind, const char *zone)
{
  struct rpc_order order = { .kind = kind };
  enum jc_status outcome;
  GString *data;

  order.data.rpc_bytes_val = (char *)zone;
  order.data.rpc_bytes_len = (u_int)strlen (zone);
  data = jc_orders_encode_zone (&order, applied);
  jc_orders_apply_zone (orders, index, jc_str_from_gstring (data), &outcome);
  g_string_free (data, TRUE);
  return outcome;
}

/* As apply_zone_order; return whether the order was left out since it was
   overtaken.  */
static bool
is_overtaken (struct jc_orders *orders, uint64_t index, uint64_t applied,
              enum rpc_order_kind kind, const char *zone)
{
  enum jc_status outcome
      = apply_zone_order (orders, index, applied, kind, zone);

  g_assert_true (outcome == JC_OK || outcome == JC_BEHIND);
  return outcome == JC_BEHIND;
}

/* Guards against an evacuation for which there is no room and which is
   acknowledged, or refused by a copy that doesn't know of a readmission.  */
static void
test_no_room (void)
{
  struct jc_orders *orders = jc_orders_new ();
  uint64_t index = 1;

  for (; index <= 256; index++)
    {
      char *zone = g_strdup_printf ("zone-%u", (unsigned int)index);

      g_assert_false (
          is_overtaken (orders, index, index - 1, RPC_ORDER_EVACUATE, zone));
      g_free (zone);
    }
  g_assert_cmpint (
      apply_zone_order (orders, index, index - 1, RPC_ORDER_EVACUATE, "more"),
      ==, JC_BAD_REQUEST);
  g_assert_false (jc_orders_is_evacuated (orders, "more"));
  g_assert_false (
      is_overtaken (orders, 258, 257, RPC_ORDER_EVACUATE, "zone-1"));
  g_assert_false (is_overtaken (orders, 259, 258, RPC_ORDER_READMIT, "zone-2"));
  g_assert_false (is_overtaken (orders, 260, 257, RPC_ORDER_EVACUATE, "more"));
  g_assert_true (jc_orders_is_evacuated (orders, "more"));
  jc_orders_free (orders);
}

/* Guards against an order that waited somewhere and is applied after a later
   one for the same zone was acknowledged, also where that one changed nothing,
   and against one that is left out since another zone changed, or since it was
   sent twice.  */
static void
test_overtaken (void)
{
  struct jc_orders *orders = jc_orders_new ();
  struct jc_orders *copy = jc_orders_new ();
  json_t *json = json_object ();
  enum jc_status outcome;

  g_assert_false (is_overtaken (orders, 1, 0, RPC_ORDER_EVACUATE, "z1"));
  g_assert_false (is_overtaken (orders, 2, 1, RPC_ORDER_READMIT, "z1"));
  g_assert_false (is_overtaken (orders, 3, 2, RPC_ORDER_EVACUATE, "z1"));
  g_assert_true (is_overtaken (orders, 4, 1, RPC_ORDER_READMIT, "z1"));
  g_assert_true (jc_orders_is_evacuated (orders, "z1"));
  g_assert_false (is_overtaken (orders, 5, 1, RPC_ORDER_EVACUATE, "z1"));
  g_assert_false (is_overtaken (orders, 6, 5, RPC_ORDER_READMIT, "z2"));
  g_assert_true (is_overtaken (orders, 7, 5, RPC_ORDER_EVACUATE, "z2"));
  g_assert_false (jc_orders_is_evacuated (orders, "z2"));
  g_assert_false (is_overtaken (orders, 8, 1, RPC_ORDER_EVACUATE, "z3"));
  /* The orders of an earlier version count, too.  */
  g_assert_true (apply_order (orders, 9, RPC_ORDER_READMIT, 0, "z3"));
  jc_orders_snapshot (orders, json);
  g_assert_cmpint (jc_orders_restore (copy, json), ==, JC_OK);
  g_assert_true (is_overtaken (copy, 10, 8, RPC_ORDER_EVACUATE, "z3"));
  g_assert_true (is_overtaken (copy, 11, 4, RPC_ORDER_READMIT, "z1"));
  g_assert_false (is_overtaken (copy, 12, 9, RPC_ORDER_EVACUATE, "z3"));
  g_assert_false (
      jc_orders_apply_zone (copy, 13, JC_STR_LIT ("junk"), &outcome));
  g_assert_cmpint (outcome, ==, JC_BAD_REQUEST);
  json_decref (json);
  jc_orders_free (orders);
  jc_orders_free (copy);
}

/* Guards against a table of zones that grows without bound, and against an
   order that counts although a later one for its zone was dropped from it.  */
static void
test_many_zones_ordered (void)
{
  struct jc_orders *orders = jc_orders_new ();
  uint64_t index = 1;

  for (; index <= 3000; index++)
    {
      char *zone = g_strdup_printf ("zone-%u", (unsigned int)index);

      is_overtaken (orders, index, index - 1, RPC_ORDER_READMIT, zone);
      g_free (zone);
    }
  g_assert_cmpuint (g_hash_table_size (orders->zone_changes), ==, 1024);
  g_assert_true (is_overtaken (orders, index, 4, RPC_ORDER_EVACUATE, "zone-5"));
  g_assert_false (
      is_overtaken (orders, index + 1, 2000, RPC_ORDER_EVACUATE, "zone-5"));
  jc_orders_free (orders);
}

static void
test_highest_version (void)
{
  struct jc_orders *orders = jc_orders_new ();

  g_assert_true (apply_order (orders, 1, RPC_ORDER_ROUTES, 7, "seven"));
  g_assert_false (apply_order (orders, 2, RPC_ORDER_ROUTES, 5, "five"));
  g_assert_false (apply_order (orders, 3, RPC_ORDER_ROUTES, 7, "other seven"));
  g_assert_cmpstr (orders->table_text->str, ==, "seven");
  g_assert_cmpuint (orders->position, ==, 1);
  g_assert_true (apply_order (orders, 4, RPC_ORDER_ROUTES, 9, "nine"));
  g_assert_cmpstr (orders->table_text->str, ==, "nine");
  g_assert_cmpuint (orders->position, ==, 4);
  g_assert_false (jc_orders_apply (orders, 5, JC_STR_LIT ("junk")));
  jc_orders_free (orders);
}

static void
test_evacuation (void)
{
  struct jc_orders *orders = jc_orders_new ();

  g_assert_true (apply_order (orders, 1, RPC_ORDER_EVACUATE, 0, "z1"));
  g_assert_false (apply_order (orders, 2, RPC_ORDER_EVACUATE, 0, "z1"));
  g_assert_true (jc_orders_is_evacuated (orders, "z1"));
  g_assert_true (apply_order (orders, 3, RPC_ORDER_READMIT, 0, "z1"));
  g_assert_false (jc_orders_is_evacuated (orders, "z1"));
  g_assert_cmpuint (orders->position, ==, 3);
  jc_orders_free (orders);
}

static void
test_snapshot (void)
{
  struct jc_orders *orders = jc_orders_new ();
  struct jc_orders *copy = jc_orders_new ();
  json_t *json = json_object ();
  json_t *bad = json_pack ("{s:{s:i}}", "orders", "position", 1);

  apply_order (orders, 3, RPC_ORDER_ROUTES, 7, "{\"x\":\"\\u00e4\"}");
  apply_order (orders, 4, RPC_ORDER_EVACUATE, 0, "z1");
  jc_orders_snapshot (orders, json);
  apply_order (copy, 1, RPC_ORDER_EVACUATE, 0, "z2");
  g_assert_cmpint (jc_orders_restore (copy, json), ==, JC_OK);
  g_assert_cmpuint (copy->position, ==, 4);
  g_assert_cmpuint (copy->table_version, ==, 7);
  g_assert_cmpstr (copy->table_text->str, ==, orders->table_text->str);
  g_assert_true (jc_orders_is_evacuated (copy, "z1"));
  g_assert_false (jc_orders_is_evacuated (copy, "z2"));
  g_assert_cmpint (jc_orders_restore (copy, bad), ==, JC_CORRUPT);
  json_decref (json);
  json_decref (bad);
  jc_orders_free (orders);
  jc_orders_free (copy);
}

/* An entry instance never goes back to older orders, even if it follows a
   state instance that is behind another one.  */
static void
test_no_rollback (void)
{
  struct jc_orders *ahead = jc_orders_new ();
  struct jc_orders *behind = jc_orders_new ();
  struct jc_orders *entry = jc_orders_new ();
  struct rpc_orders message;

  apply_order (behind, 1, RPC_ORDER_ROUTES, 7, "seven");
  apply_order (ahead, 1, RPC_ORDER_ROUTES, 7, "seven");
  apply_order (ahead, 2, RPC_ORDER_ROUTES, 9, "nine");
  jc_orders_to_message (ahead, 0, &message);
  g_assert_true (jc_orders_update (entry, &message));
  g_free (message.evacuated.evacuated_val);
  jc_orders_to_message (behind, 0, &message);
  g_assert_false (jc_orders_update (entry, &message));
  g_free (message.evacuated.evacuated_val);
  g_assert_cmpstr (entry->table_text->str, ==, "nine");
  apply_order (ahead, 3, RPC_ORDER_EVACUATE, 0, "z1");
  jc_orders_to_message (ahead, 9, &message);
  g_assert_cmpuint (message.text.rpc_bytes_len, ==, 0);
  g_assert_true (jc_orders_update (entry, &message));
  g_free (message.evacuated.evacuated_val);
  g_assert_cmpstr (entry->table_text->str, ==, "nine");
  g_assert_true (jc_orders_is_evacuated (entry, "z1"));
  /* Without its text a version that is not held here is not accepted.  */
  apply_order (ahead, 4, RPC_ORDER_ROUTES, 11, "eleven");
  jc_orders_to_message (ahead, 11, &message);
  g_assert_false (jc_orders_update (entry, &message));
  g_free (message.evacuated.evacuated_val);
  jc_orders_free (ahead);
  jc_orders_free (behind);
  jc_orders_free (entry);
}

/* Guards against a zone whose name fits in no message, or one zone more than
   there is room for: entry instances would then get no orders at all.  An
   earlier version accepted them into logs and snapshots.  */
static void
test_odd_zones (void)
{
  struct jc_orders *orders = jc_orders_new ();
  struct jc_orders *copy = jc_orders_new ();
  char *name = g_strnfill (RPC_NAME_MAX + 1, 'z');
  json_t *saved
      = json_pack ("{s:{s:i,s:i,s:s,s:[s,s,i]}}", "orders", "position", 1,
                   "version", 1, "text", "{}", "evacuated", name, "z1", 3);
  struct rpc_orders message;

  apply_order (orders, 1, RPC_ORDER_EVACUATE, 0, name);
  apply_order (orders, 2, RPC_ORDER_EVACUATE, 0, "\xff");
  g_assert_cmpuint (g_hash_table_size (orders->evacuated_zones), ==, 0);
  for (unsigned int i = 0; i < 300; i++)
    {
      char *zone = g_strdup_printf ("zone-%u", i);

      apply_order (orders, 3 + i, RPC_ORDER_EVACUATE, 0, zone);
      g_free (zone);
    }
  jc_orders_to_message (orders, 0, &message);
  g_assert_cmpuint (xdr_sizeof ((xdrproc_t)xdr_rpc_orders, &message), >, 0);
  g_free (message.evacuated.evacuated_val);
  g_assert_cmpint (jc_orders_restore (copy, saved), ==, JC_OK);
  g_assert_true (jc_orders_is_evacuated (copy, "z1"));
  g_assert_cmpuint (g_hash_table_size (copy->evacuated_zones), ==, 1);
  json_decref (saved);
  jc_orders_free (orders);
  jc_orders_free (copy);
  g_free (name);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/routetable/longest-prefix", test_longest_prefix);
  g_test_add_func ("/routetable/faults", test_faults);
  g_test_add_func ("/routetable/splits", test_splits);
  g_test_add_func ("/routetable/home-regions", test_home_regions);
  g_test_add_func ("/orders/highest-version", test_highest_version);
  g_test_add_func ("/orders/evacuation", test_evacuation);
  g_test_add_func ("/orders/snapshot", test_snapshot);
  g_test_add_func ("/orders/overtaken", test_overtaken);
  g_test_add_func ("/orders/no-room", test_no_room);
  g_test_add_func ("/orders/many-zones-ordered", test_many_zones_ordered);
  g_test_add_func ("/orders/odd-zones", test_odd_zones);
  g_test_add_func ("/orders/no-rollback", test_no_rollback);
  return g_test_run ();
}
