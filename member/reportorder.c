/* Order of the reports of an endpoint.  */

#include "member/reportorder.h"

/* Return whether REPORT is later than the last one of ORDER.  Once an endpoint
   is leaving, only another report of the leave or a later incarnation counts as
   later.  */
static bool
report_is_later (const struct jc_report_order *order,
                 const struct rpc_endpoint *report)
{
  if (report->incarnation != order->last.incarnation)
    return report->incarnation > order->last.incarnation;
  if (order->leaving && !report->leaving)
    return false;
  return report->sequence > order->last.sequence;
}

/* Return whether REPORT is one that was overruled, or one before that.  Where
   the endpoint goes on with the same incarnation, those before are its own.  */
static bool
report_is_overruled (const struct jc_report_order *order,
                     const struct rpc_endpoint *report)
{
  const struct jc_report_place *overruled = &order->overruled;

  if (overruled->incarnation == 0
      || report->incarnation != overruled->incarnation)
    return false;
  return overruled->incarnation == order->last.incarnation
             ? report->sequence == overruled->sequence
             : report->sequence <= overruled->sequence;
}

/* Return whether REPORT is part of an incarnation that goes on for sure no
   more: it left, or REPORT was sent before one that is known.  */
static bool
report_is_over (const struct jc_report_order *order,
                const struct rpc_endpoint *report)
{
  if (report->incarnation == order->last.incarnation
      && (order->leaving || report->sequence == order->last.sequence))
    return true;
  return report->incarnation == order->before.incarnation
         && report->sequence <= order->before.sequence;
}

/* Judge REPORT by ORDER, what is known of its endpoint.  No counter advances by
   2^31 between two reports.  */
enum jc_report_verdict
jc_report_order_judge (const struct jc_report_order *order,
                       const struct rpc_endpoint *report)
{
  if (report_is_overruled (order, report))
    return JC_REPORT_EARLIER;
  if (!report_is_later (order, report))
    return report_is_over (order, report) ? JC_REPORT_EARLIER
                                          : JC_REPORT_DISPUTED;
  if (report->incarnation != order->last.incarnation)
    return JC_REPORT_LATER;
  if (report->sequence - order->last.sequence > INT32_MAX)
    return JC_REPORT_EARLIER;
  return order->replaced_ms != 0 ? JC_REPORT_DISPUTED : JC_REPORT_LATER;
}

/* Set ORDER to REPORT, which was accepted with VERDICT at NOW_MS.  */
void
jc_report_order_accept (struct jc_report_order *order,
                        const struct rpc_endpoint *report,
                        enum jc_report_verdict verdict, int64_t now_ms)
{
  struct jc_report_place place
      = { .incarnation = report->incarnation, .sequence = report->sequence };

  if (verdict == JC_REPORT_LATER)
    {
      order->before = order->last;
      if (order->leaving)
        order->before.sequence = UINT64_MAX;
    }
  else
    {
      if (!report_is_later (order, report))
        order->overruled = order->last;
      order->before = place;
    }
  order->last = place;
  order->leaving = report->leaving;
  order->heard_ms = now_ms;
  order->replaced_ms = 0;
}

/* Set ORDER to a later report of the same incarnation with SEQUENCE, heard at
   NOW_MS.  */
void
jc_report_order_refresh (struct jc_report_order *order, uint64_t sequence,
                         int64_t now_ms)
{
  order->before = order->last;
  order->last.sequence = sequence;
  order->heard_ms = now_ms;
}
