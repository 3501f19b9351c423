/* Tests of elections of the log on virtual time: two replicas that stand at
   the same time don't take each other's votes.  */

#include <glib.h>

#include "tests/logsim.h"

enum
{
  REPLICAS = 3,
  SEEDS = 400,
  SETTLE_MS = 2000,
  /* The longest time without a leader that is drawn, 300 ms in the simulation,
     four messages of 4 ms each, and a tick of 10 ms before and after.  */
  ELECTED_MS = 336
};

/* Return how long two replicas need to elect one after the leader died, in
   ms, at most ELECTED_MS + 1.  */
static int
elect (uint64_t seed)
{
  struct logsim *sim = logsim_new (REPLICAS, seed);
  int old;
  int ms = 0;

  logsim_run (sim, SETTLE_MS);
  old = logsim_leader (sim);
  g_assert_cmpint (old, >=, 0);
  logsim_inject_fault (sim, LOGSIM_KILL, old);
  while (ms <= ELECTED_MS
         && (logsim_leader (sim) < 0 || logsim_leader (sim) == old))
    {
      logsim_run (sim, 1);
      ms++;
    }
  g_assert_null (logsim_violation (sim));
  logsim_free (sim);
  return ms;
}

static void
test_both_stand (void)
{
  int late = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    if (elect (seed) > ELECTED_MS)
      {
        g_test_message ("seed %d", (int)seed);
        late++;
      }
  g_assert_cmpint (late, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/election/both-stand", test_both_stand);
  return g_test_run ();
}
