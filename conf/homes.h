/* Validation of the home regions of routes when a configuration changes.  */

#ifndef JC_HOMES_H
#define JC_HOMES_H

#include <glib.h>

struct jc_config;

void jc_homes_check (const struct jc_config *base,
                     const struct jc_config *config, GPtrArray *faults);

#endif
