/* Plan of the connections between entry instances: one to each other instance
   of the own zone, and a few to each other zone of the region and to each other
   region.  */

#ifndef JC_LINKS_H
#define JC_LINKS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_links;

/* Callbacks by which a plan opens and closes the connection that this instance
   dials to PEER.  They get the CTX given to jc_links_new.  */
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
                             bool outbound_up, bool inbound_up);
void jc_links_tick (struct jc_links *links, int64_t now_ms);

#endif
