/* Plan of connections between entry instances: all within a zone, a few to
   each other zone of the region and to each other region.  */

#ifndef JC_LINKS_H
#define JC_LINKS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_links;

/* What a plan asks for.  */
struct jc_links_class
{
  void (*dial) (void *ctx, const char *peer);
  void (*disconnect) (void *ctx, const char *peer);
};

struct jc_links *jc_links_new (const char *name, const char *region,
                               const char *zone,
                               const struct jc_links_class *klass, void *ctx);
void jc_links_free (struct jc_links *links);
void jc_links_add_peer (struct jc_links *links, const char *name,
                        const char *region, const char *zone);
void jc_links_set_connected (struct jc_links *links, const char *name,
                             bool dialled_up, bool accepted_up);
void jc_links_tick (struct jc_links *links, int64_t now_ms);

#endif
