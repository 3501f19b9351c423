/* Order of the reports of an endpoint: which of them are earlier than what is
   known.  */

#ifndef JC_REPORTORDER_H
#define JC_REPORTORDER_H

#include <stdbool.h>
#include <stdint.h>

#include "schema/gen/messages.h"

/* Place of a report among those of its endpoint.  */
struct jc_report_place
{
  uint64_t incarnation;
  uint64_t sequence;
};

/* What is known of the reports of an endpoint: the last one, and whether it or
   a later message was a leave.  BEFORE is the one before it.  OVERRULED was
   dropped since the endpoint went on with earlier numbers.  HEARD_MS is when
   the last one came.  REPLACED_MS is when another endpoint took the address, 0
   if none did; LEAVING then counts only if the endpoint left before.  */
struct jc_report_order
{
  struct jc_report_place last;
  struct jc_report_place before;
  struct jc_report_place overruled;
  bool leaving;
  int64_t heard_ms;
  int64_t replaced_ms;
};

/* JC_REPORT_DISPUTED: earlier than what is known, or of an endpoint that was
   replaced; it counts if the endpoint goes on while the other is silent.  */
enum jc_report_verdict
{
  JC_REPORT_LATER,
  JC_REPORT_EARLIER,
  JC_REPORT_DISPUTED
};

enum jc_report_verdict
jc_report_order_judge (const struct jc_report_order *order,
                       const struct rpc_endpoint *report);
void jc_report_order_accept (struct jc_report_order *order,
                             const struct rpc_endpoint *report,
                             enum jc_report_verdict verdict, int64_t now_ms);
void jc_report_order_refresh (struct jc_report_order *order, uint64_t sequence,
                              int64_t now_ms);

#endif
