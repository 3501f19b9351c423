/* Settings that change while a daemon runs: on SIGHUP, or when their file
   does.  */

#ifndef JC_RELOAD_H
#define JC_RELOAD_H

#include <ev.h>

#include "net/program.h"

/* Gets the settings read anew; valid during the call only.  */
typedef void jc_reload_fn (void *ctx, const void *settings);

void jc_reload_start (struct ev_loop *loop, const struct jc_program *program,
                      jc_reload_fn *fn, void *ctx);
void jc_reload_stop (struct ev_loop *loop);

#endif
