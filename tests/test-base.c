/* Tests of the base parts.  */

#include <glib.h>

#include "base/metrics.h"
#include "base/status.h"
#include "schema/gen/objects.h"

static void
test_hist (void)
{
  struct jc_hist hist = { 0 };

  for (uint64_t i = 1; i <= 1000; i++)
    jc_hist_add (&hist, i);
  g_assert_cmpuint (jc_hist_quantile (&hist, 0.5), >=, 500);
  g_assert_cmpuint (jc_hist_quantile (&hist, 0.5), <=, 500 + 500 / 16);
  g_assert_cmpuint (jc_hist_quantile (&hist, 1), ==, 1000);
}

static void
test_status_table (void)
{
  for (int i = 0; i < JC_STATUS_COUNT; i++)
    g_assert_cmpint (jc_status_by_name (jc_status_name ((enum jc_status)i)), ==,
                     i);
}

static void
test_settings_faults (void)
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/hist", test_hist);
  g_test_add_func ("/status-table", test_status_table);
  g_test_add_func ("/settings-faults", test_settings_faults);
  return g_test_run ();
}
