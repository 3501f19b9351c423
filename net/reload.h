/* Reload of the settings of a running daemon on SIGHUP or when their file
   changes.  */

#ifndef JC_RELOAD_H
#define JC_RELOAD_H

#include <ev.h>

#include "net/program.h"

/* Gets the reloaded SETTINGS, which are valid only during the call.  */
typedef void jc_reload_fn (void *ctx, const void *settings);

void jc_reload_start (struct ev_loop *loop, const struct jc_program *program,
                      jc_reload_fn *fn, void *ctx);
void jc_reload_stop (struct ev_loop *loop);

#endif
