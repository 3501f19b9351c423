/* TCP probe: finds out whether anything listens at an address, by a connection
   that is closed at once.  */

#ifndef JC_TCPPROBE_H
#define JC_TCPPROBE_H

#include <ev.h>

/* UNKNOWN: there was no answer in time, or the connection failed in another
   way than by a refusal.  */
enum jc_tcpprobe_result
{
  JC_TCPPROBE_ACCEPTED,
  JC_TCPPROBE_REFUSED,
  JC_TCPPROBE_UNKNOWN
};

struct jc_tcpprobe;

/* Called once; the probe is freed after it.  */
typedef void jc_tcpprobe_done_fn (void *ctx, struct jc_tcpprobe *probe,
                                  enum jc_tcpprobe_result result);

struct jc_tcpprobe *jc_tcpprobe_start (struct ev_loop *loop,
                                       const char *address, long timeout_ms,
                                       jc_tcpprobe_done_fn *done, void *ctx);
void jc_tcpprobe_cancel (struct jc_tcpprobe *probe);

#endif
