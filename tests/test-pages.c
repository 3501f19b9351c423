/* Compares the documentation with the code: docs/INTERFACE.md must have a line
   for each status, with the values of jc_status_info.  */

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
      const struct jc_status_info *info = jc_status_info ((enum jc_status)i);
      char *line = g_strdup_printf (
          "\n| `%s` | %d | %s | %s |", info->name, info->http_status,
          jc_run_state_name (info->run), jc_retry_rule_name (info->retry));

      if (strstr (page, line) == NULL)
        g_test_message ("docs/INTERFACE.md has no line %s", line + 1);
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
