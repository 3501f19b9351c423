/* Every step of the claim protocol with every fault, and every pair.  */

#include <string.h>

#include "tests/ledgersim.h"

enum
{
  BOOT_MS = 6000,
  HORIZON_MS = 45000,
  RETRY_MS = 3500,
  TRIES = 4
};

static const struct sim_strike faults[] = {
  { SIM_KILL, SIM_LEDGER, 0 },
  { SIM_WIPE, SIM_LEDGER, 0 },
  { SIM_KILL, SIM_E1, 0 },
  { SIM_KILL, SIM_E2, 0 },
  { SIM_KILL, SIM_E3, 0 },
  { SIM_KILL, SIM_SERVICE, 0 },
  { SIM_FREEZE, SIM_LEDGER, 0 },
  { SIM_FREEZE, SIM_E1, 0 },
  { SIM_FREEZE, SIM_E2, 0 },
  { SIM_FREEZE_LONG, SIM_E1, 0 },
  { SIM_FREEZE, SIM_SERVICE, 0 },
  { SIM_CUT, SIM_LEDGER, 0 },
  { SIM_CUT, SIM_E1, 0 },
  { SIM_CUT, SIM_E2, 0 },
  { SIM_CUT, SIM_LOG, 0 },
  { SIM_DISK, SIM_LEDGER, 0 },
  { SIM_DUPLICATE, 0, 0 },
  { SIM_DUPLICATE_LATE, 0, 0 },
  { SIM_DELAY, 0, 0 },
  { SIM_REORDER, 0, 0 },
};

/* What a run of the scenario showed.  */
struct outcome
{
  guint first;
  guint last;
  const char *fault;
};

static guint done;
static guint unknown;

static bool
settled (const struct sim_request *request)
{
  return request->told
         && (request->status == JC_OK || request->status == JC_OUTCOME_UNKNOWN);
}

/* Ask for key A through two instances at once and for B through one; ask
   again elsewhere until an outcome is known.  */
static void
run (const struct sim_strike *strikes, guint count, struct outcome *outcome)
{
  struct sim *sim = sim_new (strikes, count);
  struct sim_request *a;
  struct sim_request *b;

  sim_run (sim, BOOT_MS);
  outcome->first = sim_steps (sim);
  sim_ask (sim, SIM_E1, "A", "x");
  sim_run (sim, BOOT_MS + 2);
  sim_ask (sim, SIM_E2, "A", "x");
  b = sim_ask (sim, SIM_E1, "B", "x");
  sim_run (sim, BOOT_MS + 1000);
  outcome->last = sim_steps (sim);
  for (int i = 0; i < TRIES; i++)
    {
      sim_run (sim, sim_now (sim) + RETRY_MS);
      sim_ask (sim, i % 2 == 0 ? SIM_E2 : SIM_E1, "A", "x");
      if (!settled (b))
        b = sim_ask (sim, i % 2 == 0 ? SIM_E2 : SIM_E1, "B", "x");
    }
  sim_run (sim, HORIZON_MS - 8000);
  a = sim_ask (sim, SIM_E2, "A", "x");
  b = sim_ask (sim, SIM_E3, "B", "x");
  sim_run (sim, HORIZON_MS);
  outcome->fault = sim_check (sim);
  if (outcome->fault == NULL && (!settled (a) || !settled (b)))
    {
      const struct sim_request *lost = settled (a) ? b : a;

      outcome->fault = "a key has no known state";
      g_test_message ("key %s: %s", lost->key,
                      lost->told ? jc_status_name (lost->status) : "untold");
    }
  done += a->status == JC_OK;
  unknown += a->status == JC_OUTCOME_UNKNOWN;
  sim_free (sim);
}

static void
report (const struct sim_strike *strikes, guint count,
        const struct outcome *outcome)
{
  if (outcome->fault == NULL)
    return;
  for (guint i = 0; i < count; i++)
    g_test_message ("step %u fault %u node %d", strikes[i].step,
                    strikes[i].fault, strikes[i].node);
  g_test_message ("%s", outcome->fault);
  g_test_fail ();
}

static void
test_single (void)
{
  struct outcome plain;
  struct outcome outcome;
  guint runs = 0;

  run (NULL, 0, &plain);
  report (NULL, 0, &plain);
  for (guint step = plain.first; step < plain.last; step++)
    for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
      {
        struct sim_strike strike = faults[i];

        strike.step = step;
        run (&strike, 1, &outcome);
        report (&strike, 1, &outcome);
        runs++;
      }
  g_test_message ("%u steps, %u faults, %u runs; key A: %u done, %u unknown",
                  plain.last - plain.first, (guint)G_N_ELEMENTS (faults), runs,
                  done, unknown);
}

/* Every pair: the second fault at every step that the run with the first one
   has left.  */
static void
test_pairs (void)
{
  struct outcome plain;
  struct outcome one;
  struct outcome two;
  guint runs = 0;

  done = 0;
  unknown = 0;
  run (NULL, 0, &plain);
  for (guint step = plain.first; step < plain.last; step++)
    for (guint i = 0; i < G_N_ELEMENTS (faults); i++)
      {
        struct sim_strike pair[2] = { faults[i], { 0 } };

        pair[0].step = step;
        run (pair, 1, &one);
        for (guint next = step; next < one.last; next++)
          for (guint j = 0; j < G_N_ELEMENTS (faults); j++)
            {
              pair[1] = faults[j];
              pair[1].step = next;
              run (pair, 2, &two);
              report (pair, 2, &two);
              runs++;
            }
      }
  g_test_message ("%u runs of pairs; key A: %u done, %u unknown", runs, done,
                  unknown);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/single", test_single);
  g_test_add_func ("/pairs", test_pairs);
  return g_test_run ();
}
