/* Runs a scenario of the claim protocol with every fault at every message, and
   with every pair of faults.  Under all of them no key may run twice, and the
   outcome of each key must become known in the end.  */

#include <string.h>

#include "tests/ledgersim.h"

enum
{
  STARTUP_MS = 6000,
  SCENARIO_MS = 45000,
  RETRY_INTERVAL_MS = 3500,
  RETRIES = 4
};

static const struct ledgersim_fault fault_cases[] = {
  { LEDGERSIM_KILL, LEDGERSIM_LEDGER, 0 },
  { LEDGERSIM_WIPE, LEDGERSIM_LEDGER, 0 },
  { LEDGERSIM_KILL, LEDGERSIM_ENTRY1, 0 },
  { LEDGERSIM_KILL, LEDGERSIM_ENTRY2, 0 },
  { LEDGERSIM_KILL, LEDGERSIM_ENTRY3, 0 },
  { LEDGERSIM_KILL, LEDGERSIM_SERVICE, 0 },
  { LEDGERSIM_FREEZE, LEDGERSIM_LEDGER, 0 },
  { LEDGERSIM_FREEZE, LEDGERSIM_ENTRY1, 0 },
  { LEDGERSIM_FREEZE, LEDGERSIM_ENTRY2, 0 },
  { LEDGERSIM_FREEZE_LONG, LEDGERSIM_ENTRY1, 0 },
  { LEDGERSIM_FREEZE, LEDGERSIM_SERVICE, 0 },
  { LEDGERSIM_CUT, LEDGERSIM_LEDGER, 0 },
  { LEDGERSIM_CUT, LEDGERSIM_ENTRY1, 0 },
  { LEDGERSIM_CUT, LEDGERSIM_ENTRY2, 0 },
  { LEDGERSIM_CUT, LEDGERSIM_LOG, 0 },
  { LEDGERSIM_DISK_FAIL, LEDGERSIM_LEDGER, 0 },
  { LEDGERSIM_DUPLICATE, 0, 0 },
  { LEDGERSIM_DUPLICATE_LATE, 0, 0 },
  { LEDGERSIM_DELAY, 0, 0 },
  { LEDGERSIM_REORDER, 0, 0 },
};

/* Result of one run of the scenario: the range of message numbers in which
   faults are injected, and the violation found, or NULL.  */
struct outcome
{
  guint first_step;
  guint last_step;
  const char *violation;
};

/* Runs in which the outcome of key A was known, and was unknown, in the
   end.  */
static guint done_count;
static guint unknown_count;

static bool
has_known_outcome (const struct ledgersim_request *request)
{
  return request->answered
         && (request->status == JC_OK || request->status == JC_OUTCOME_UNKNOWN);
}

/* Run the scenario with COUNT FAULTS: key A is requested through two instances
   at once and key B through one.  Both are then retried through either
   instance, B only until its outcome is known.  */
static void
run_scenario (const struct ledgersim_fault *faults, guint count,
              struct outcome *outcome)
{
  struct ledgersim *sim = ledgersim_new (faults, count);
  struct ledgersim_request *request_a;
  struct ledgersim_request *request_b;

  ledgersim_run_until (sim, STARTUP_MS);
  outcome->first_step = ledgersim_steps (sim);
  ledgersim_send_request (sim, LEDGERSIM_ENTRY1, "A", "x");
  ledgersim_run_until (sim, STARTUP_MS + 2);
  ledgersim_send_request (sim, LEDGERSIM_ENTRY2, "A", "x");
  request_b = ledgersim_send_request (sim, LEDGERSIM_ENTRY1, "B", "x");
  ledgersim_run_until (sim, STARTUP_MS + 1000);
  outcome->last_step = ledgersim_steps (sim);
  for (int i = 0; i < RETRIES; i++)
    {
      ledgersim_run_until (sim, ledgersim_now_ms (sim) + RETRY_INTERVAL_MS);
      ledgersim_send_request (
          sim, i % 2 == 0 ? LEDGERSIM_ENTRY2 : LEDGERSIM_ENTRY1, "A", "x");
      if (!has_known_outcome (request_b))
        request_b = ledgersim_send_request (
            sim, i % 2 == 0 ? LEDGERSIM_ENTRY2 : LEDGERSIM_ENTRY1, "B", "x");
    }
  ledgersim_run_until (sim, SCENARIO_MS - 8000);
  request_a = ledgersim_send_request (sim, LEDGERSIM_ENTRY2, "A", "x");
  request_b = ledgersim_send_request (sim, LEDGERSIM_ENTRY3, "B", "x");
  ledgersim_run_until (sim, SCENARIO_MS);
  outcome->violation = ledgersim_violation (sim);
  if (outcome->violation == NULL
      && (!has_known_outcome (request_a) || !has_known_outcome (request_b)))
    {
      const struct ledgersim_request *unresolved
          = has_known_outcome (request_a) ? request_b : request_a;

      outcome->violation = "a key has no known state";
      g_test_message ("key %s: %s", unresolved->key,
                      unresolved->answered ? jc_status_name (unresolved->status)
                                           : "unanswered");
    }
  done_count += request_a->status == JC_OK;
  unknown_count += request_a->status == JC_OUTCOME_UNKNOWN;
  ledgersim_free (sim);
}

static void
report_violation (const struct ledgersim_fault *faults, guint count,
                  const struct outcome *outcome)
{
  if (outcome->violation == NULL)
    return;
  for (guint i = 0; i < count; i++)
    g_test_message ("step %u fault %u node %d", faults[i].step, faults[i].kind,
                    faults[i].node);
  g_test_message ("%s", outcome->violation);
  g_test_fail ();
}

static void
test_single (void)
{
  struct outcome without_faults;
  struct outcome outcome;
  guint runs = 0;

  run_scenario (NULL, 0, &without_faults);
  report_violation (NULL, 0, &without_faults);
  for (guint step = without_faults.first_step; step < without_faults.last_step;
       step++)
    for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
      {
        struct ledgersim_fault fault = fault_cases[i];

        fault.step = step;
        run_scenario (&fault, 1, &outcome);
        report_violation (&fault, 1, &outcome);
        runs++;
      }
  g_test_message ("%u steps, %u faults, %u runs; key A: %u done, %u unknown",
                  without_faults.last_step - without_faults.first_step,
                  (guint)G_N_ELEMENTS (fault_cases), runs, done_count,
                  unknown_count);
}

/* Every pair of faults: the second one at every step of the run with the first
   one, from the step of the first one on.  */
static void
test_pairs (void)
{
  struct outcome without_faults;
  struct outcome with_first;
  struct outcome with_both;
  guint runs = 0;

  done_count = 0;
  unknown_count = 0;
  run_scenario (NULL, 0, &without_faults);
  for (guint step = without_faults.first_step; step < without_faults.last_step;
       step++)
    for (guint i = 0; i < G_N_ELEMENTS (fault_cases); i++)
      {
        struct ledgersim_fault pair[2] = { fault_cases[i], { 0 } };

        pair[0].step = step;
        run_scenario (pair, 1, &with_first);
        for (guint next = step; next < with_first.last_step; next++)
          for (guint j = 0; j < G_N_ELEMENTS (fault_cases); j++)
            {
              pair[1] = fault_cases[j];
              pair[1].step = next;
              run_scenario (pair, 2, &with_both);
              report_violation (pair, 2, &with_both);
              runs++;
            }
      }
  g_test_message ("%u runs of pairs; key A: %u done, %u unknown", runs,
                  done_count, unknown_count);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/single", test_single);
  g_test_add_func ("/pairs", test_pairs);
  return g_test_run ();
}
