/* Bridges: which instances keep connections between availability zones.  The
   first by name of each zone do, so that there are as many of them however many
   instances a zone has; the one that tells other zones of its own is the first
   that is there.  */

#ifndef JC_BRIDGES_H
#define JC_BRIDGES_H

#include <glib.h>
#include <stdbool.h>

enum
{
  /* Instances of a zone with connections to others: three may fail at once
     before the others know.  */
  JC_BRIDGES_PER_ZONE = 4
};

/* The first instances of a zone, in the order of their names.  */
struct jc_zone_bridges
{
  const char *names[JC_BRIDGES_PER_ZONE];
  unsigned int count;
};

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
