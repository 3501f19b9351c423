/* Bridges: which instances keep connections between availability zones.  */

#include <string.h>

#include "member/bridges.h"

/* Return an empty set of instances.  */
struct jc_bridges *
jc_bridges_new (void)
{
  struct jc_bridges *bridges = g_new0 (struct jc_bridges, 1);

  bridges->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return bridges;
}

/* Free LINKS.  */
void
jc_bridges_free (struct jc_bridges *bridges)
{
  g_hash_table_destroy (bridges->zones);
  g_free (bridges);
}

/* Note that the instance NAME is in ZONE.  NAME must stay as long as LINKS.  */
void
jc_bridges_add (struct jc_bridges *bridges, const char *zone, const char *name)
{
  struct jc_zone_bridges *firsts = g_hash_table_lookup (bridges->zones, zone);
  unsigned int at = 0;

  if (firsts == NULL)
    {
      firsts = g_new0 (struct jc_zone_bridges, 1);
      g_hash_table_insert (bridges->zones, g_strdup (zone), firsts);
    }
  while (at < firsts->count && strcmp (firsts->names[at], name) < 0)
    at++;
  if (at == JC_BRIDGES_PER_ZONE)
    return;
  firsts->count = MIN (firsts->count + 1, JC_BRIDGES_PER_ZONE);
  memmove (&firsts->names[at + 1], &firsts->names[at],
           (firsts->count - at - 1) * sizeof firsts->names[0]);
  firsts->names[at] = name;
}

/* Tell whether the instance NAME is among those of ZONE that keep connections
   to other zones.  */
bool
jc_bridges_contains (const struct jc_bridges *bridges, const char *zone,
                     const char *name)
{
  const struct jc_zone_bridges *firsts
      = g_hash_table_lookup (bridges->zones, zone);

  for (unsigned int i = 0; firsts != NULL && i < firsts->count; i++)
    if (strcmp (firsts->names[i], name) == 0)
      return true;
  return false;
}
