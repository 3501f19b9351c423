/* How long input that a process reads now may have waited for it.  */

#ifndef JC_INPUTAGE_H
#define JC_INPUTAGE_H

#include <ev.h>
#include <stdint.h>

struct jc_inputage;

struct jc_inputage *jc_inputage_new (struct ev_loop *loop);
void jc_inputage_free (struct jc_inputage *age);
int64_t jc_inputage_ms (const struct jc_inputage *age);

#endif
