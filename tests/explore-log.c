/* Explores the replicated log on virtual time: every single fault at every
   counted step, and pairs with a second fault at another replica while the
   first lasts and right after it was repaired.  Each run ends healed; the
   checks of tests/logsim.c hold all along, every answer must be true, and the
   replicas must agree in the end.

   JC_EXPLORE_STRIDE=1 explores each step of all runs; by default the larger
   sets take every n-th step, always the same ones.  */

#include <stdlib.h>
#include <string.h>

#include "tests/logsim.h"

enum
{
  OPERATORS = 2,
  CHANGES_EACH = 4,
  PATIENCE_MS = 300,
  STEP_MS = 10,
  SETTLE_MS = 12000,
  FOUND_MS = 4000,
  SEED = 7
};

/* What an operator was told, for the check at the end.  */
struct told
{
  char *change_id;
  enum jc_status status;
  uint64_t version;
};

/* An operator that races another one: submits on top of the version that it
   knows, resends after silence, and builds on what a conflict tells it.  */
struct operator
{
  struct exploration *run;
  int id;
  int target;
  int serial;
  int accepted;
  uint64_t known;
  int64_t sent_ms;
  bool waiting;
};

/* A second fault that waits until the first was repaired.  */
struct second
{
  enum logsim_fault_kind kind;
  int target;
  int after;
  int64_t fired_ms;
  int64_t heal_ms;
};

struct exploration
{
  struct logsim *sim;
  int replicas;
  struct operator operators[OPERATORS];
  GArray *told;
};

static char *
change_id (const struct operator* operator)
{
  return g_strdup_printf ("%c%d", 'a' + operator->id, operator->serial);
}

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  struct operator* operator= ctx;
  struct told told
      = { .change_id = g_strdup (id), .status = status, .version = version };
  char *current = change_id (operator);

  g_array_append_val (operator->run->told, told);
  if (strcmp (current, id) == 0)
    {
      if (status == JC_OK)
        operator->accepted++;
      if (status == JC_OK || status == JC_VERSION_CONFLICT)
        {
          operator->known = version;
          operator->serial++;
        }
      else
        operator->target++;
      operator->waiting = false;
    }
  g_free (current);
}

static void
operate (struct operator* operator, int replicas)
{
  struct logsim *sim = operator->run->sim;
  char *id;

  if (operator->waiting && logsim_now (sim) - operator->sent_ms >= PATIENCE_MS)
    {
      operator->waiting = false;
      operator->target++;
    }
  if (operator->waiting || operator->accepted >= CHANGES_EACH)
    return;
  id = change_id (operator);
  operator->waiting = true;
  operator->sent_ms = logsim_now (sim);
  logsim_submit (sim, operator->target % replicas, id, operator->known, id,
                 on_answer, operator);
  g_free (id);
}

static bool
operators_done (const struct exploration *run)
{
  for (int i = 0; i < OPERATORS; i++)
    if (run->operators[i].accepted < CHANGES_EACH)
      return false;
  return true;
}

static void
fire_second (struct exploration *run, struct second *second)
{
  struct logsim *sim = run->sim;

  if (second == NULL)
    return;
  if (second->fired_ms == 0 && logsim_recovered (sim, second->after))
    {
      second->fired_ms = logsim_now (sim);
      second->heal_ms = second->fired_ms + 500;
      logsim_inject_fault (sim, second->kind, second->target);
    }
  else if (second->fired_ms > 0 && second->heal_ms > 0
           && logsim_now (sim) >= second->heal_ms)
    {
      second->heal_ms = 0;
      logsim_clear_fault (sim, second->kind, second->target);
    }
}

/* Append the state of RUN to OUT.  */
static void
describe (const struct exploration *run, GString *out)
{
  for (int i = 0; i < OPERATORS; i++)
    g_string_append_printf (out, " %c accepted %d;", 'a' + i,
                            run->operators[i].accepted);
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
check_end (struct exploration *run, bool done, GString *verdict)
{
  struct logsim *sim = run->sim;

  for (guint i = 0; i < run->told->len; i++)
    {
      struct told *told = &g_array_index (run->told, struct told, i);

      logsim_check_accepted (sim, told->change_id, told->status, told->version);
      g_free (told->change_id);
    }
  if (logsim_violation (sim) != NULL)
    g_string_append (verdict, logsim_violation (sim));
  else if (!done)
    {
      g_string_append (verdict, "no agreement in the end:");
      describe (run, verdict);
    }
}

/* Run the race over REPLICAS with FAULTS and perhaps a SECOND one after the
   repair.  Return the steps counted; VERDICT gets what went wrong.  */
static uint64_t
explore (int replicas, const struct logsim_fault *faults, size_t count,
         struct second *second, GString *verdict)
{
  struct exploration run
      = { .sim = logsim_new (replicas, SEED), .replicas = replicas };
  uint64_t founded;
  uint64_t steps;
  bool done = false;

  run.told = g_array_new (FALSE, FALSE, sizeof (struct told));
  for (int i = 0; i < OPERATORS; i++)
    run.operators[i] = (struct operator){ .run = &run, .id = i, .target = i };
  while (!logsim_all_vote (run.sim) && logsim_now (run.sim) < FOUND_MS)
    logsim_run (run.sim, STEP_MS);
  founded = logsim_steps (run.sim);
  for (size_t i = 0; i < count; i++)
    {
      struct logsim_fault fault = faults[i];

      fault.step += founded;
      logsim_schedule_fault (run.sim, &fault);
    }
  for (int64_t end = logsim_now (run.sim) + SETTLE_MS;
       !done && logsim_now (run.sim) < end;)
    {
      for (int i = 0; i < OPERATORS; i++)
        operate (&run.operators[i], replicas);
      logsim_run (run.sim, STEP_MS);
      fire_second (&run, second);
      done = operators_done (&run) && logsim_converged (run.sim)
             && logsim_all_vote (run.sim)
             && (second == NULL
                 || (second->fired_ms > 0 && second->heal_ms == 0));
    }
  steps = logsim_steps (run.sim) - founded;
  check_end (&run, done, verdict);
  g_array_free (run.told, TRUE);
  logsim_free (run.sim);
  return steps;
}

static unsigned int
stride (unsigned int preset)
{
  const char *text = g_getenv ("JC_EXPLORE_STRIDE");

  return text != NULL ? (unsigned int)strtoul (text, NULL, 10) : preset;
}

/* Count a run; print it where it went wrong.  */
static void
judge (GString *verdict, unsigned long *runs, unsigned long *bad,
       const char *what)
{
  ++*runs;
  if (verdict->len > 0 && ++*bad <= 5)
    g_test_message ("%s: %s", what, verdict->str);
  g_string_truncate (verdict, 0);
}

static void
singles (int replicas, unsigned int by)
{
  GString *verdict = g_string_new (NULL);
  unsigned long runs = 0;
  unsigned long bad = 0;
  uint64_t steps = explore (replicas, NULL, 0, NULL, verdict);

  g_assert_cmpstr (verdict->str, ==, "");
  for (uint64_t step = 1; step <= steps; step += by)
    for (int kind = 0; kind < LOGSIM_FAULT_KINDS; kind++)
      for (int target = 0; target < replicas; target++)
        {
          struct logsim_fault fault = { .step = step,
                                        .kind = (enum logsim_fault_kind)kind,
                                        .target = target };
          char *what;

          if (kind >= LOGSIM_DUPLICATE && target > 0)
            continue;
          what = g_strdup_printf ("%d replicas, step %lu, %s of s%d", replicas,
                                  (unsigned long)step,
                                  logsim_fault_name (fault.kind), target + 1);
          explore (replicas, &fault, 1, NULL, verdict);
          judge (verdict, &runs, &bad, what);
          g_free (what);
        }
  g_test_message ("%d replicas: %lu steps, every %u-th, %lu runs with one "
                  "fault, %lu wrong",
                  replicas, (unsigned long)steps, by, runs, bad);
  g_assert_cmpuint (bad, ==, 0);
  g_string_free (verdict, TRUE);
}

static const enum logsim_fault_kind pair_kinds[]
    = { LOGSIM_KILL,   LOGSIM_KILL_WIPE, LOGSIM_FREEZE,
        LOGSIM_CUT_IN, LOGSIM_CUT_BOTH,  LOGSIM_DISK_FAIL };

static void
pair (int replicas, uint64_t step, int first, int second, bool after,
      unsigned long *runs, unsigned long *bad)
{
  GString *verdict = g_string_new (NULL);
  int other
      = (first / 6 + 1 + (int)(step % (uint64_t)(replicas - 1))) % replicas;
  struct logsim_fault faults[2]
      = { { .step = step, .kind = pair_kinds[first % 6], .target = first / 6 },
          { .step = step + 5, .kind = pair_kinds[second] } };
  struct second later = { .kind = pair_kinds[second], .after = first / 6 };
  char *what;

  faults[1].target = other;
  later.target = other;
  what = g_strdup_printf ("%d replicas, step %lu, %s of s%d, then %s of s%d %s",
                          replicas, (unsigned long)step,
                          logsim_fault_name (faults[0].kind),
                          faults[0].target + 1, logsim_fault_name (later.kind),
                          other + 1, after ? "after the repair" : "meanwhile");
  if (after)
    explore (replicas, faults, 1, &later, verdict);
  else
    explore (replicas, faults, 2, NULL, verdict);
  judge (verdict, runs, bad, what);
  g_free (what);
  g_string_free (verdict, TRUE);
}

/* Two of three disks lost at once can't be repaired by the log alone.  */
static bool
beyond_repair (int replicas, int first, int second, bool after)
{
  return !after && replicas == 3 && pair_kinds[first % 6] == LOGSIM_KILL_WIPE
         && pair_kinds[second] == LOGSIM_KILL_WIPE;
}

static void
pairs (int replicas, unsigned int by)
{
  GString *verdict = g_string_new (NULL);
  unsigned long runs = 0;
  unsigned long bad = 0;
  uint64_t steps = explore (replicas, NULL, 0, NULL, verdict);

  for (uint64_t step = 1; step <= steps; step += by)
    for (int first = 0; first < 6 * replicas; first++)
      for (int second = 0; second < 6; second++)
        for (int after = 0; after < 2; after++)
          if (!beyond_repair (replicas, first, second, after != 0))
            pair (replicas, step, first, second, after != 0, &runs, &bad);
  g_test_message ("%d replicas: %lu steps, every %u-th, %lu runs with two "
                  "faults, %lu wrong",
                  replicas, (unsigned long)steps, by, runs, bad);
  g_assert_cmpuint (bad, ==, 0);
  g_string_free (verdict, TRUE);
}

static void
test_three_single (void)
{
  singles (3, stride (1));
}

static void
test_five_single (void)
{
  singles (5, stride (9));
}

static void
test_three_pairs (void)
{
  pairs (3, stride (11));
}

static void
test_five_pairs (void)
{
  pairs (5, stride (67));
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
