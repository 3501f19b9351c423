/* Pages against the code: the table of errors for callers is the one that
   answers are made from.  */

#include <string.h>

#include "base/status.h"
#include "base/str.h"

static void
test_error_table (void)
{
  char *page = NULL;

  g_assert_true (g_file_get_contents ("docs/INTERFACE.md", &page, NULL, NULL));
  for (int i = 0; i < JC_STATUS_COUNT; i++)
    {
      const struct jc_status_info *row = jc_status_info ((enum jc_status)i);
      char *line = g_strdup_printf (
          "\n| `%s` | %d | %s | %s |", row->name, row->http_status,
          jc_run_state_name (row->run), jc_retry_rule_name (row->retry));

      if (strstr (page, line) == NULL)
        g_test_message ("The page lacks: %s", line + 1);
      g_assert_nonnull (strstr (page, line));
      g_free (line);
    }
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pages/error-table", test_error_table);
  return g_test_run ();
}
