/* Validation of a whole configuration.  */

#ifndef JC_CHECK_H
#define JC_CHECK_H

#include <glib.h>

struct jc_config;

void jc_config_check (const struct jc_config *config, GPtrArray *faults);

#endif
