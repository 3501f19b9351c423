/* Tests of histograms, status codes and the parser of settings.  */

#include <glib.h>

#include <string.h>

#include "base/metrics.h"
#include "base/status.h"
#include "schema/gen/objects.h"

static void
test_histogram_quantiles (void)
{
  struct jc_hist hist = { 0 };

  for (uint64_t i = 1; i <= 1000; i++)
    jc_hist_add (&hist, i);
  g_assert_cmpuint (jc_hist_quantile (&hist, 0.5), >=, 500);
  g_assert_cmpuint (jc_hist_quantile (&hist, 0.5), <=, 500 + 500 / 16);
  g_assert_cmpuint (jc_hist_quantile (&hist, 1), ==, 1000);
}

static void
test_status_names (void)
{
  for (int i = 0; i < JC_STATUS_COUNT; i++)
    g_assert_cmpint (jc_status_by_name (jc_status_name ((enum jc_status)i)), ==,
                     i);
}

/* Guards against a status that callers take as a promise that their request has
   not run, for an error that leaves it open.  */
static void
test_status_promises (void)
{
  for (int i = 0; i < JC_STATUS_COUNT; i++)
    {
      const struct jc_status_info *row = jc_status_info ((enum jc_status)i);

      if (jc_http_status_promises_not_run (row->http_status))
        g_assert_cmpint (row->run, ==, JC_NOT_RUN);
    }
}

/* An unknown key, an invalid address, a number out of range and missing keys
   are all reported, not just the first of them.  */
static void
test_settings_errors (void)
{
  json_t *json = json_loads (
      "{\"group\":\"g\",\"nme\":1,\"rpc\":\"localhost:1\",\"lease_ms\":1}", 0,
      NULL);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  void *settings
      = jc_table_parse (&jc_entry_settings_table, json, "settings", faults);

  g_assert_cmpuint (faults->len, >=, 4);
  jc_table_unref (&jc_entry_settings_table, settings);
  g_ptr_array_free (faults, TRUE);
  json_decref (json);
}

/* Return whether the settings' RPC address TEXT is reported as an error.  */
static bool
is_bad_address (const char *text)
{
  json_t *json = json_pack ("{s:s}", "rpc", text);
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  void *settings
      = jc_table_parse (&jc_entry_settings_table, json, "settings", faults);
  bool bad = false;

  for (guint i = 0; i < faults->len; i++)
    bad = bad || strstr (g_ptr_array_index (faults, i), "IP number") != NULL;
  jc_table_unref (&jc_entry_settings_table, settings);
  g_ptr_array_free (faults, TRUE);
  json_decref (json);
  return bad;
}

/* Guards against ports that are no decimal number, which were taken for one. */
static void
test_addresses (void)
{
  static const char *const bad[]
      = { "127.0.0.1:+5", "127.0.0.1: 5",    "127.0.0.1:-0",
          "127.0.0.1:",   "127.0.0.1:70000", "127.0.0.1:5x",
          "127.0.0.1",    "localhost:5",     "127.0.0.1:99999999999999999999" };

  g_assert_false (is_bad_address ("127.0.0.1:5"));
  g_assert_false (is_bad_address ("127.0.0.1:65535"));
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_true (is_bad_address (bad[i]));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/histogram-quantiles", test_histogram_quantiles);
  g_test_add_func ("/status-names", test_status_names);
  g_test_add_func ("/status-promises", test_status_promises);
  g_test_add_func ("/settings-errors", test_settings_errors);
  g_test_add_func ("/addresses", test_addresses);
  return g_test_run ();
}
