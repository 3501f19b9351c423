/* Budgets shared by all entry instances: retries of a service, and requests to
   a cold endpoint.  Each instance computes its share of the retries from its
   own requests, and sends to a cold endpoint only with a grant, so the totals
   stay within their bounds even if instances can't communicate.  */

#ifndef JC_BUDGET_H
#define JC_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Bounds over all instances.  In each window of RETRY_WINDOW_MS, RETRY_RATIO of
   the requests may be retried, plus one per instance.  A cold endpoint may get
   COLD_RATIO of its rate plus COLD_SLACK requests in each second.  */
struct jc_budget_settings
{
  double retry_ratio;
  int64_t retry_window_ms;
  double cold_ratio;
  int64_t cold_slack;
};

struct jc_budgets;

struct jc_budgets *jc_budgets_new (const struct jc_budget_settings *settings);
void jc_budgets_free (struct jc_budgets *budgets);
void jc_budgets_note_request (struct jc_budgets *budgets, const char *service,
                              int64_t now_ms);
double jc_budgets_retries_left (struct jc_budgets *budgets, const char *service,
                                int64_t now_ms);
bool jc_budgets_may_retry (struct jc_budgets *budgets, const char *service,
                           int64_t now_ms);
bool jc_budgets_take_retry (struct jc_budgets *budgets, const char *service,
                            int64_t now_ms);
bool jc_budgets_grant (struct jc_budgets *budgets, const char *endpoint,
                       uint64_t incarnation);
double jc_budgets_cold_allowed (const struct jc_budgets *budgets, double per_s);
bool jc_budgets_may_send_cold (struct jc_budgets *budgets, const char *endpoint,
                               uint64_t incarnation, double per_s,
                               int64_t now_ms);
void jc_budgets_note_cold_send (struct jc_budgets *budgets,
                                const char *endpoint, int64_t now_ms);

#endif
