/* Checks over the homes of routes.  */

#include <string.h>

#include "conf/config.h"
#include "conf/homes.h"

/* Add to FAULTS every route of CONFIG whose home differs from that in BASE:
   the keys that its ledger recorded would not be known at the new home, and
   could run there again.  */
void
jc_homes_check (const struct jc_config *base, const struct jc_config *config,
                GPtrArray *faults)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, base->by_name[JC_OBJECT_ROUTE]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_route *was = value;
      const struct jc_route *now
          = jc_config_find (config, JC_OBJECT_ROUTE, was->name);
      char *path;

      if (now == NULL || was->home[0] == '\0'
          || strcmp (was->home, now->home) == 0)
        continue;
      path = g_strdup_printf ("route/%s.home", was->name);
      jc_fault (faults, path, "can't change from %s: its keys are kept there",
                was->home);
      g_free (path);
    }
}
