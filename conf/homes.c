/* Validation of the home regions of routes when a configuration changes.  */

#include <string.h>

#include "conf/config.h"
#include "conf/homes.h"

/* Add every route of CONFIG whose home region differs from that in BASE to
   FAULTS.  The keys recorded in the ledger of the old home would not be known
   at the new one, so their requests could run a second time there.  */
void
jc_homes_check (const struct jc_config *base, const struct jc_config *config,
                GPtrArray *faults)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, base->by_name[JC_OBJECT_ROUTE]);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_route *old_route = value;
      const struct jc_route *new_route
          = jc_config_find (config, JC_OBJECT_ROUTE, old_route->name);
      char *path;

      if (new_route == NULL || old_route->home[0] == '\0'
          || strcmp (old_route->home, new_route->home) == 0)
        continue;
      path = g_strdup_printf ("route/%s.home", old_route->name);
      jc_faults_add (faults, path,
                     "can't change from %s: its keys are kept there",
                     old_route->home);
      g_free (path);
    }
}
