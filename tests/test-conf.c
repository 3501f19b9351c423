/* Tests of the configuration: validation of a change, which lists every fault
   with its path, and the state machine.  */

#include <stdlib.h>
#include <string.h>

#include "conf/confstate.h"
#include "conf/config.h"

enum
{
  PRODUCTS = 11000,
  CHANGES = 50
};

#define KEY_HASH_A                                                             \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

static const char base_text[]
    = "{\"put\":["
      "{\"kind\":\"region\",\"name\":\"ost\"},"
      "{\"kind\":\"region\",\"name\":\"west\"},"
      "{\"kind\":\"service\",\"name\":\"llm\",\"engine\":true},"
      "{\"kind\":\"service\",\"name\":\"desk\"},"
      "{\"kind\":\"model_version\",\"name\":\"m1\",\"service\":\"llm\"},"
      "{\"kind\":\"residency\",\"name\":\"both\",\"regions\":[\"ost\",\"west\"]"
      "},"
      "{\"kind\":\"residency\",\"name\":\"ost\",\"regions\":[\"ost\"]},"
      "{\"kind\":\"residency\",\"name\":\"west\",\"regions\":[\"west\"]},"
      "{\"kind\":\"priority\",\"name\":\"p\"},"
      "{\"kind\":\"limit\",\"name\":\"l\"},"
      "{\"kind\":\"product\",\"name\":\"a\",\"residency\":\"ost\","
      "\"limit\":\"l\",\"key_hashes\":[\"" KEY_HASH_A "\"]},"
      "{\"kind\":\"route\",\"name\":\"r\",\"product\":\"a\","
      "\"service\":\"llm\",\"model_version\":\"m1\",\"priority\":\"p\"}]}";

/* A change and the faults that it must list, one per line.  */
struct check_case
{
  const char *name;
  const char *change;
  const char *faults;
};

static const struct check_case cases[] = {
  { "valid", "{\"put\":[{\"kind\":\"region\",\"name\":\"sued\"}]}", "" },
  { "references",
    "{\"put\":[{\"kind\":\"route\",\"name\":\"x\",\"product\":\"none\","
    "\"service\":\"gone\",\"priority\":\"p\"}]}",
    "route/x.product: no product is called none\n"
    "route/x.service: no service is called gone\n" },
  { "deletion",
    "{\"delete\":[{\"kind\":\"model_version\",\"name\":\"m1\"},"
    "{\"kind\":\"region\",\"name\":\"west\"}]}",
    "residency/both.regions: no region is called west\n"
    "residency/west.regions: no region is called west\n"
    "route/r.model_version: no model_version is called m1\n" },
  { "home",
    "{\"put\":[{\"kind\":\"route\",\"name\":\"x\",\"product\":\"a\","
    "\"service\":\"desk\",\"priority\":\"p\",\"idempotent\":false},"
    "{\"kind\":\"route\",\"name\":\"y\",\"product\":\"a\","
    "\"service\":\"desk\",\"priority\":\"p\",\"idempotent\":false,"
    "\"home\":\"west\"}]}",
    "route/x.home: a route that is not idempotent needs a home\n"
    "route/y.home: residency does not allow region west\n" },
  { "residency",
    "{\"put\":[{\"kind\":\"route\",\"name\":\"x\",\"product\":\"a\","
    "\"service\":\"desk\",\"priority\":\"p\",\"residency\":\"west\"}]}",
    "route/x.residency: no region may serve it: ost and west have none in "
    "common\n" },
  { "model",
    "{\"put\":[{\"kind\":\"route\",\"name\":\"x\",\"product\":\"a\","
    "\"service\":\"desk\",\"priority\":\"p\",\"model_version\":\"m1\"}]}",
    "route/x.model_version: m1 is of service llm, not of desk\n" },
  { "link",
    "{\"put\":[{\"kind\":\"link\",\"name\":\"k\",\"a\":\"ost\",\"b\":\"ost\"},"
    "{\"kind\":\"link\",\"name\":\"l\",\"a\":\"ost\",\"b\":\"west\"},"
    "{\"kind\":\"link\",\"name\":\"m\",\"a\":\"west\",\"b\":\"ost\"}]}",
    "link/k.b: both ends are ost\n"
    "link/m.b: l joins the same regions\n" },
  { "keys",
    "{\"put\":[{\"kind\":\"product\",\"name\":\"b\",\"residency\":\"ost\","
    "\"limit\":\"l\",\"key_hashes\":[\"" KEY_HASH_A "\",\"short\"]}]}",
    "product/b.key_hashes[0]: is a key of product a already\n"
    "product/b.key_hashes[1]: must be 64 lower-case hex digits\n" },
  { "duplicate",
    "{\"put\":[{\"kind\":\"region\",\"name\":\"n\"},"
    "{\"kind\":\"region\",\"name\":\"n\"}],\"drop\":[],"
    "\"delete\":[{\"kind\":\"region\",\"name\":\"none\"},"
    "{\"kind\":\"thing\",\"name\":\"t\"}]}",
    "change: unknown key drop\n"
    "delete[0]: region/none does not exist\n"
    "delete[1]: needs a known kind and a name\n"
    "put[1]: region/n appears twice\n" },
};

static struct jc_config *
apply (const struct jc_config *base, const char *text, GString *fault_text)
{
  json_t *change = json_loads (text, 0, NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *config
      = jc_config_apply (base, change, base->version + 1, faults);

  for (guint i = 0; i < faults->len; i++)
    g_string_append_printf (fault_text, "%s\n",
                            (char *)g_ptr_array_index (faults, i));
  g_ptr_array_free (faults, TRUE);
  json_decref (change);
  return config;
}

static void
test_check (gconstpointer data)
{
  const struct check_case *row = data;
  struct jc_config *empty = jc_config_empty ();
  GString *fault_text = g_string_new (NULL);
  struct jc_config *base = apply (empty, base_text, fault_text);
  struct jc_config *config;

  g_assert_cmpstr (fault_text->str, ==, "");
  config = apply (base, row->change, fault_text);
  g_assert_cmpstr (fault_text->str, ==, row->faults);
  g_assert_true ((config != NULL) == (row->faults[0] == '\0'));
  jc_config_free (config);
  jc_config_free (base);
  jc_config_free (empty);
  g_string_free (fault_text, TRUE);
}

static enum jc_status
submit (struct jc_confstate *confstate, const char *id, uint64_t expected,
        const char *region)
{
  char *json = g_strdup_printf (
      "{\"put\":[{\"kind\":\"region\",\"name\":\"%s\"}]}", region);
  struct rpc_submit submission
      = { .change_id = (char *)id,
          .expected_version = expected,
          .author = "operator",
          .json
          = { .rpc_bytes_val = json, .rpc_bytes_len = (u_int)strlen (json) } };
  GString *data = jc_confstate_encode_submit (&submission);
  enum jc_status status
      = jc_confstate_apply (confstate, jc_str_from_gstring (data))->status;

  g_string_free (data, TRUE);
  g_free (json);
  return status;
}

/* The result of the first submission with a change id survives a snapshot, and
   a delta applied to the old version yields the new one.  */
static void
test_confstate (void)
{
  struct jc_confstate *first = jc_confstate_new ();
  struct jc_confstate *second = jc_confstate_new ();
  json_t *snapshot = json_object ();
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *patched;
  uint64_t from;
  json_t *delta;

  g_assert_cmpint (submit (first, "one", 0, "a"), ==, JC_OK);
  g_assert_cmpint (submit (first, "two", 0, "b"), ==, JC_VERSION_CONFLICT);
  g_assert_cmpint (submit (first, "three", 1, "b"), ==, JC_OK);
  jc_confstate_snapshot (first, snapshot);
  g_assert_cmpint (jc_confstate_restore (second, snapshot), ==, JC_OK);
  g_assert_cmpint (submit (second, "one", 0, "a"), ==, JC_OK);
  g_assert_cmpint (submit (second, "one", 0, "other"), ==, JC_KEY_CONFLICT);
  g_assert_cmpint (submit (second, "two", 0, "b"), ==, JC_VERSION_CONFLICT);
  g_assert_cmpuint (second->config->version, ==, 2);
  delta = jc_confstate_delta (second, 1, &from);
  g_assert_cmpuint (from, ==, 1);
  g_assert_cmpuint (json_object_size (delta), ==, 1);
  json_decref (delta);
  delta = jc_confstate_delta (second, 0, &from);
  patched = jc_config_patch (empty, delta, 2);
  g_assert_true (json_equal (patched->json, first->config->json));
  json_decref (delta);
  json_decref (snapshot);
  jc_config_free (patched);
  jc_config_free (empty);
  jc_confstate_free (first);
  jc_confstate_free (second);
}

/* Return a change with the base objects and PRODUCTS products with one route
   each.  */
static char *
large_change (int products)
{
  GString *text = g_string_new (base_text);

  g_string_truncate (text, text->len - 2);
  for (int i = 0; i < products; i++)
    g_string_append_printf (
        text,
        ",{\"kind\":\"product\",\"name\":\"product-%05d\","
        "\"residency\":\"both\",\"limit\":\"l\",\"key_hashes\":"
        "[\"%064x\"]},{\"kind\":\"route\",\"name\":\"route-%05d\","
        "\"product\":\"product-%05d\",\"service\":\"llm\","
        "\"model_version\":\"m1\",\"priority\":\"p\"}",
        i, (unsigned int)i, i, i);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

/* Print the cost of a change at the target size of a configuration.  Run with
   -m perf.  */
static void
test_cost (void)
{
  struct jc_confstate *confstate = jc_confstate_new ();
  struct jc_config *follower = jc_config_empty ();
  char *text = large_change (PRODUCTS);
  struct rpc_submit submission
      = { .change_id = (char *)"base",
          .author = "operator",
          .json
          = { .rpc_bytes_val = text, .rpc_bytes_len = (u_int)strlen (text) } };
  GString *data = jc_confstate_encode_submit (&submission);
  json_t *snapshot = json_object ();
  double apply_s = 0;
  double patch_s = 0;
  size_t delta_bytes = 0;
  char *dumped;

  g_assert_cmpint (
      jc_confstate_apply (confstate, jc_str_from_gstring (data))->status, ==,
      JC_OK);
  for (int i = 0; i < CHANGES; i++)
    {
      char *name = g_strdup_printf ("region-%d", i);
      struct jc_config *next;
      json_t *delta;
      uint64_t from;

      g_test_timer_start ();
      g_assert_cmpint (
          submit (confstate, name, confstate->config->version, name), ==,
          JC_OK);
      apply_s += g_test_timer_elapsed ();
      delta = jc_confstate_delta (confstate, follower->version, &from);
      if (i > 0)
        delta_bytes += json_dumpb (delta, NULL, 0, JSON_COMPACT);
      g_test_timer_start ();
      next = jc_config_patch (follower, delta, confstate->config->version);
      patch_s += i > 0 ? g_test_timer_elapsed () : 0;
      jc_config_free (follower);
      follower = next;
      json_decref (delta);
    }
  jc_confstate_snapshot (confstate, snapshot);
  dumped = json_dumps (snapshot, JSON_COMPACT);
  g_test_message ("%d products: snapshot %zu bytes, apply %.2f ms, follower's "
                  "patch %.2f ms and delta %zu bytes a change",
                  PRODUCTS, strlen (dumped), apply_s * 1000 / CHANGES,
                  patch_s * 1000 / (CHANGES - 1), delta_bytes / (CHANGES - 1));
  free (dumped);
  json_decref (snapshot);
  g_string_free (data, TRUE);
  g_free (text);
  jc_config_free (follower);
  jc_confstate_free (confstate);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/conf/check/", cases[i].name, NULL);

      g_test_add_data_func (path, &cases[i], test_check);
      g_free (path);
    }
  g_test_add_func ("/conf/state", test_confstate);
  if (g_test_perf ())
    g_test_add_func ("/conf/cost", test_cost);
  return g_test_run ();
}
