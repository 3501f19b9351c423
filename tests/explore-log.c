/* Explores the replicated log on virtual time: every single fault at every
   counted step, and pairs with a second fault at another replica, either while
   the first one lasts or right after it was repaired.  All faults are repaired
   at the end of a run.  The invariants of tests/logsim.c hold throughout,
   every answer must agree with the log, and the replicas must converge.

   JC_EXPLORE_STRIDE=1 explores each step of all runs; by default the larger
   sets take every n-th step, always the same ones.  */

#include <stdlib.h>
#include <string.h>

#include "tests/logsim.h"

enum
{
  OPERATORS = 2,
  CHANGES_EACH = 4,
  ANSWER_TIMEOUT_MS = 300,
  STEP_MS = 10,
  RUN_MAX_MS = 12000,
  BOOTSTRAP_MS = 4000,
  SECOND_FAULT_MS = 500,
  PAIR_KINDS = 6,
  SEED = 7
};

/* An answer to an operator, for the check at the end of the run.  */
struct recorded_answer
{
  char *change_id;
  enum jc_status status;
  uint64_t version;
};

/* An operator that races another one.  It submits on top of the latest version
   it knows, resubmits after a timeout, and after a conflict goes on from the
   version in the answer.  */
struct sim_operator
{
  struct exploration *run;
  int id;
  int target;
  int serial;
  int accepted_count;
  uint64_t known_version;
  int64_t sent_ms;
  bool waiting;
};

/* A second fault, injected once REPAIRED_TARGET has recovered from the
   first.  */
struct second_fault
{
  enum logsim_fault_kind kind;
  int target;
  int repaired_target;
  int64_t started_ms;
  int64_t repair_ms;
};

struct exploration
{
  struct logsim *sim;
  int replicas;
  struct sim_operator operators[OPERATORS];
  GArray *answers;
};

static char *
change_id (const struct sim_operator *op)
{
  return g_strdup_printf ("%c%d", 'a' + op->id, op->serial);
}

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  struct sim_operator *op = ctx;
  struct recorded_answer answer
      = { .change_id = g_strdup (id), .status = status, .version = version };
  char *current = change_id (op);

  g_array_append_val (op->run->answers, answer);
  if (strcmp (current, id) == 0)
    {
      if (status == JC_OK)
        op->accepted_count++;
      if (status == JC_OK || status == JC_VERSION_CONFLICT)
        {
          op->known_version = version;
          op->serial++;
        }
      else
        op->target++;
      op->waiting = false;
    }
  g_free (current);
}

static void
operator_step (struct sim_operator *op, int replicas)
{
  struct logsim *sim = op->run->sim;
  char *id;

  if (op->waiting && logsim_now (sim) - op->sent_ms >= ANSWER_TIMEOUT_MS)
    {
      op->waiting = false;
      op->target++;
    }
  if (op->waiting || op->accepted_count >= CHANGES_EACH)
    return;
  id = change_id (op);
  op->waiting = true;
  op->sent_ms = logsim_now (sim);
  logsim_submit (sim, op->target % replicas, id, op->known_version, id,
                 on_answer, op);
  g_free (id);
}

static bool
operators_done (const struct exploration *run)
{
  for (int i = 0; i < OPERATORS; i++)
    if (run->operators[i].accepted_count < CHANGES_EACH)
      return false;
  return true;
}

static void
run_second_fault (struct exploration *run, struct second_fault *second_fault)
{
  struct logsim *sim = run->sim;

  if (second_fault == NULL)
    return;
  if (second_fault->started_ms == 0
      && logsim_recovered (sim, second_fault->repaired_target))
    {
      second_fault->started_ms = logsim_now (sim);
      second_fault->repair_ms = second_fault->started_ms + SECOND_FAULT_MS;
      logsim_inject_fault (sim, second_fault->kind, second_fault->target);
    }
  else if (second_fault->started_ms > 0 && second_fault->repair_ms > 0
           && logsim_now (sim) >= second_fault->repair_ms)
    {
      second_fault->repair_ms = 0;
      logsim_clear_fault (sim, second_fault->kind, second_fault->target);
    }
}

/* Append the state of RUN to OUT.  */
static void
append_state (const struct exploration *run, GString *out)
{
  for (int i = 0; i < OPERATORS; i++)
    g_string_append_printf (out, " %c accepted %d;", 'a' + i,
                            run->operators[i].accepted_count);
  for (int i = 0; i < run->replicas; i++)
    {
      const struct jc_rlog *log = logsim_log (run->sim, i);

      if (log == NULL)
        continue;
      g_string_append_printf (out, " s%d %s term %lu applied %lu last %lu;",
                              i + 1, jc_rlog_role_name (jc_rlog_role (log)),
                              (unsigned long)jc_rlog_term (log),
                              (unsigned long)jc_rlog_applied_index (log),
                              (unsigned long)jc_rlog_last_index (log));
    }
}

static void
check_end (struct exploration *run, bool done, GString *failure)
{
  struct logsim *sim = run->sim;

  for (guint i = 0; i < run->answers->len; i++)
    {
      struct recorded_answer *answer
          = &g_array_index (run->answers, struct recorded_answer, i);

      logsim_check_accepted (sim, answer->change_id, answer->status,
                             answer->version);
      g_free (answer->change_id);
    }
  if (logsim_violation (sim) != NULL)
    g_string_append (failure, logsim_violation (sim));
  else if (!done)
    {
      g_string_append (failure, "replicas did not converge:");
      append_state (run, failure);
    }
}

/* Run the operators over REPLICAS with the COUNT FAULTS and, unless NULL,
   SECOND_FAULT after the first one was repaired.  Return the number of steps;
   what failed is appended to FAILURE.  */
static uint64_t
explore (int replicas, const struct logsim_fault *faults, size_t count,
         struct second_fault *second_fault, GString *failure)
{
  struct exploration run
      = { .sim = logsim_new (replicas, SEED), .replicas = replicas };
  uint64_t first_step;
  uint64_t steps;
  bool done = false;

  run.answers = g_array_new (FALSE, FALSE, sizeof (struct recorded_answer));
  for (int i = 0; i < OPERATORS; i++)
    run.operators[i]
        = (struct sim_operator){ .run = &run, .id = i, .target = i };
  while (!logsim_all_vote (run.sim) && logsim_now (run.sim) < BOOTSTRAP_MS)
    logsim_run (run.sim, STEP_MS);
  first_step = logsim_steps (run.sim);
  for (size_t i = 0; i < count; i++)
    {
      struct logsim_fault fault = faults[i];

      fault.step += first_step;
      logsim_schedule_fault (run.sim, &fault);
    }
  for (int64_t end = logsim_now (run.sim) + RUN_MAX_MS;
       !done && logsim_now (run.sim) < end;)
    {
      for (int i = 0; i < OPERATORS; i++)
        operator_step (&run.operators[i], replicas);
      logsim_run (run.sim, STEP_MS);
      run_second_fault (&run, second_fault);
      done = operators_done (&run) && logsim_converged (run.sim)
             && logsim_all_vote (run.sim)
             && (second_fault == NULL
                 || (second_fault->started_ms > 0
                     && second_fault->repair_ms == 0));
    }
  steps = logsim_steps (run.sim) - first_step;
  check_end (&run, done, failure);
  g_array_free (run.answers, TRUE);
  logsim_free (run.sim);
  return steps;
}

static unsigned int
stride (unsigned int default_stride)
{
  const char *text = g_getenv ("JC_EXPLORE_STRIDE");

  return text != NULL ? (unsigned int)strtoul (text, NULL, 10) : default_stride;
}

/* Count a run, and print LABEL and FAILURE if it is one of the first five that
   failed.  */
static void
count_run (GString *failure, unsigned long *runs, unsigned long *failed,
           const char *label)
{
  ++*runs;
  if (failure->len > 0 && ++*failed <= 5)
    g_test_message ("%s: %s", label, failure->str);
  g_string_truncate (failure, 0);
}

static void
explore_single_faults (int replicas, unsigned int interval)
{
  GString *failure = g_string_new (NULL);
  unsigned long runs = 0;
  unsigned long failed = 0;
  uint64_t steps = explore (replicas, NULL, 0, NULL, failure);

  g_assert_cmpstr (failure->str, ==, "");
  for (uint64_t step = 1; step <= steps; step += interval)
    for (int kind = 0; kind < LOGSIM_FAULT_KINDS; kind++)
      for (int target = 0; target < replicas; target++)
        {
          struct logsim_fault fault = { .step = step,
                                        .kind = (enum logsim_fault_kind)kind,
                                        .target = target };
          char *label;

          if (kind >= LOGSIM_DUPLICATE && target > 0)
            continue;
          label = g_strdup_printf ("%d replicas, step %lu, %s of s%d", replicas,
                                   (unsigned long)step,
                                   logsim_fault_name (fault.kind), target + 1);
          explore (replicas, &fault, 1, NULL, failure);
          count_run (failure, &runs, &failed, label);
          g_free (label);
        }
  g_test_message ("%d replicas: %lu steps, every %u-th, %lu runs with one "
                  "fault, %lu failed",
                  replicas, (unsigned long)steps, interval, runs, failed);
  g_assert_cmpuint (failed, ==, 0);
  g_string_free (failure, TRUE);
}

static const enum logsim_fault_kind pair_kinds[PAIR_KINDS]
    = { LOGSIM_KILL,   LOGSIM_KILL_WIPE, LOGSIM_FREEZE,
        LOGSIM_CUT_IN, LOGSIM_CUT_BOTH,  LOGSIM_DISK_FAIL };

/* Explore one pair of faults.  FIRST is the target of the first one times
   PAIR_KINDS plus the index of its kind in pair_kinds, SECOND_KIND the index of
   the kind of the second one.  AFTER injects the second one after the repair of
   the first.  */
static void
explore_fault_pair (int replicas, uint64_t step, int first, int second_kind,
                    bool after, unsigned long *runs, unsigned long *failed)
{
  GString *failure = g_string_new (NULL);
  int other = (first / PAIR_KINDS + 1 + (int)(step % (uint64_t)(replicas - 1)))
              % replicas;
  struct logsim_fault faults[2]
      = { { .step = step,
            .kind = pair_kinds[first % PAIR_KINDS],
            .target = first / PAIR_KINDS },
          { .step = step + 5, .kind = pair_kinds[second_kind] } };
  struct second_fault later = { .kind = pair_kinds[second_kind],
                                .repaired_target = first / PAIR_KINDS };
  char *label;

  faults[1].target = other;
  later.target = other;
  label = g_strdup_printf (
      "%d replicas, step %lu, %s of s%d, then %s of s%d %s", replicas,
      (unsigned long)step, logsim_fault_name (faults[0].kind),
      faults[0].target + 1, logsim_fault_name (later.kind), other + 1,
      after ? "after the repair" : "meanwhile");
  if (after)
    explore (replicas, faults, 1, &later, failure);
  else
    explore (replicas, faults, 2, NULL, failure);
  count_run (failure, runs, failed, label);
  g_free (label);
  g_string_free (failure, TRUE);
}

/* Return whether the pair loses two of three disks at once, which the log
   cannot recover from.  */
static bool
is_unrecoverable (int replicas, int first, int second_kind, bool after)
{
  return !after && replicas == 3
         && pair_kinds[first % PAIR_KINDS] == LOGSIM_KILL_WIPE
         && pair_kinds[second_kind] == LOGSIM_KILL_WIPE;
}

static void
explore_fault_pairs (int replicas, unsigned int interval)
{
  GString *failure = g_string_new (NULL);
  unsigned long runs = 0;
  unsigned long failed = 0;
  uint64_t steps = explore (replicas, NULL, 0, NULL, failure);

  for (uint64_t step = 1; step <= steps; step += interval)
    for (int first = 0; first < PAIR_KINDS * replicas; first++)
      for (int second_kind = 0; second_kind < PAIR_KINDS; second_kind++)
        for (int after = 0; after < 2; after++)
          if (!is_unrecoverable (replicas, first, second_kind, after != 0))
            explore_fault_pair (replicas, step, first, second_kind, after != 0,
                                &runs, &failed);
  g_test_message ("%d replicas: %lu steps, every %u-th, %lu runs with two "
                  "faults, %lu failed",
                  replicas, (unsigned long)steps, interval, runs, failed);
  g_assert_cmpuint (failed, ==, 0);
  g_string_free (failure, TRUE);
}

static void
test_three_single (void)
{
  explore_single_faults (3, stride (1));
}

static void
test_five_single (void)
{
  explore_single_faults (5, stride (9));
}

static void
test_three_pairs (void)
{
  explore_fault_pairs (3, stride (11));
}

static void
test_five_pairs (void)
{
  explore_fault_pairs (5, stride (67));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/log/three/single", test_three_single);
  g_test_add_func ("/log/five/single", test_five_single);
  g_test_add_func ("/log/three/pairs", test_three_pairs);
  g_test_add_func ("/log/five/pairs", test_five_pairs);
  return g_test_run ();
}
