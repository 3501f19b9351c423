/* Bridges: the instances that keep connections between availability zones.  */

#include <string.h>

#include "member/bridges.h"

/* Return an empty set of bridges, to be freed with jc_bridges_free.  */
struct jc_bridges *
jc_bridges_new (void)
{
  struct jc_bridges *bridges = g_new0 (struct jc_bridges, 1);

  bridges->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return bridges;
}

/* Free BRIDGES; the names stay with their owner.  */
void
jc_bridges_free (struct jc_bridges *bridges)
{
  g_hash_table_destroy (bridges->zones);
  g_free (bridges);
}

/* Consider the instance NAME of ZONE, which becomes a bridge if its name is
   among the first JC_BRIDGES_PER_ZONE of ZONE.  NAME is borrowed and must
   outlive BRIDGES.  */
void
jc_bridges_add (struct jc_bridges *bridges, const char *zone, const char *name)
{
  struct jc_zone_bridges *zone_bridges
      = g_hash_table_lookup (bridges->zones, zone);
  unsigned int pos = 0;

  if (zone_bridges == NULL)
    {
      zone_bridges = g_new0 (struct jc_zone_bridges, 1);
      g_hash_table_insert (bridges->zones, g_strdup (zone), zone_bridges);
    }
  while (pos < zone_bridges->count
         && strcmp (zone_bridges->names[pos], name) < 0)
    pos++;
  if (pos == JC_BRIDGES_PER_ZONE)
    return;
  zone_bridges->count = MIN (zone_bridges->count + 1, JC_BRIDGES_PER_ZONE);
  memmove (&zone_bridges->names[pos + 1], &zone_bridges->names[pos],
           (zone_bridges->count - pos - 1) * sizeof zone_bridges->names[0]);
  zone_bridges->names[pos] = name;
}

/* Return whether the instance NAME is a bridge of ZONE.  */
bool
jc_bridges_contains (const struct jc_bridges *bridges, const char *zone,
                     const char *name)
{
  const struct jc_zone_bridges *zone_bridges
      = g_hash_table_lookup (bridges->zones, zone);

  for (unsigned int i = 0; zone_bridges != NULL && i < zone_bridges->count; i++)
    if (strcmp (zone_bridges->names[i], name) == 0)
      return true;
  return false;
}
