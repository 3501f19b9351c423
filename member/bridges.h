/* Bridges: the instances that keep connections between availability zones.
   They are the first instances of each zone in name order, so that the number
   of connections between two zones does not grow with the number of their
   instances.  Of these, only the first that is up reports to other zones.  */

#ifndef JC_BRIDGES_H
#define JC_BRIDGES_H

#include <glib.h>
#include <stdbool.h>

enum
{
  /* Number of bridges of a zone.  With 4, a zone stays connected when three of
     them fail at once, before the other instances have noticed.  */
  JC_BRIDGES_PER_ZONE = 4
};

/* The bridges of one zone, in name order.  NAMES are borrowed.  */
struct jc_zone_bridges
{
  const char *names[JC_BRIDGES_PER_ZONE];
  unsigned int count;
};

/* ZONES maps names of zones to struct jc_zone_bridges.  */
struct jc_bridges
{
  GHashTable *zones;
};

struct jc_bridges *jc_bridges_new (void);
void jc_bridges_free (struct jc_bridges *bridges);
void jc_bridges_add (struct jc_bridges *bridges, const char *zone,
                     const char *name);
bool jc_bridges_contains (const struct jc_bridges *bridges, const char *zone,
                          const char *name);

#endif
