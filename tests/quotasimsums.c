/* Simulation of quotas: what was used, beside what may be.  */

#include "tests/quotasimprivate.h"

/* Return the limit of the first workspace that binds a window that begins at
   MS: a lower one binds once all instances have had it for QUOTASIM_APPLY_MS, a
   higher one at once.  */
static double
binding_limit (const struct quotasim *sim, int64_t from_ms)
{
  const struct quotasim_plan *plan = &sim->plan;

  if (plan->change_ms == 0 || from_ms + QUOTASIM_WINDOW_MS <= plan->change_ms)
    return plan->per_s;
  return from_ms >= plan->change_ms + QUOTASIM_APPLY_MS
             ? plan->later_per_s
             : MAX (plan->per_s, plan->later_per_s);
}

/* Return the largest sum of a window of any workspace, as a part of its rate
   and burst, and set BOUND to the part that may be reached: a tenth more.  */
double
quotasim_max_window (const struct quotasim *sim, double *bound)
{
  int64_t steps = QUOTASIM_WINDOW_MS / STEP_MS;
  double worst = 0;

  *bound = 1.1;
  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    for (int64_t from = 0; from + steps <= STEPS; from += 10)
      {
        double limit = quotasim_parts[w] * binding_limit (sim, from * STEP_MS);
        double allowed = limit * QUOTASIM_WINDOW_MS / MS_PER_S
                         + limit * sim->plan.burst / sim->plan.per_s;
        double sum = 0;

        for (int64_t i = from; i < from + steps; i++)
          sum += sim->ran[w][i];
        worst = MAX (worst, sum / allowed);
      }
  return worst;
}

static double
used_share (const struct quotasim *sim, unsigned int workspace, int64_t from_ms,
            int64_t to_ms)
{
  double sum = 0;
  double allowed = 0;

  for (int64_t i = from_ms / STEP_MS; i < to_ms / STEP_MS; i++)
    {
      bool later
          = sim->plan.change_ms > 0 && i * STEP_MS >= sim->plan.change_ms;

      sum += sim->ran[workspace][i];
      allowed += quotasim_limit_of (sim, workspace, later) * STEP_MS / MS_PER_S;
    }
  return sum / allowed;
}

/* Return the part of the limit that the workspace which got least of it could
   use from FROM_MS to TO_MS.  */
double
quotasim_used_share (const struct quotasim *sim, int64_t from_ms, int64_t to_ms)
{
  double least = 1e9;

  for (unsigned int w = 0; w < QUOTASIM_WORKSPACES; w++)
    least = MIN (least, used_share (sim, w, from_ms, to_ms));
  return least;
}

/* Return the least part of its limit that a workspace used from MOVED_MS after
   its callers moved until they moved again.  */
double
quotasim_min_share_after_move (const struct quotasim *sim)
{
  int64_t every = sim->plan.move_ms;
  double least = 1e9;

  for (int64_t at = every * (QUOTASIM_TRAFFIC_MS / every + 1);
       at + every <= QUOTASIM_RUN_MS; at += every)
    least = MIN (least, quotasim_used_share (sim, at + MOVED_MS, at + every));
  return least;
}

/* Return the messages that all instances sent and got in a second.  */
double
quotasim_messages_per_s (const struct quotasim *sim)
{
  return (double)sim->messages * MS_PER_S / QUOTASIM_RUN_MS;
}
