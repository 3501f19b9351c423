/* Tests of elections on virtual time.  Two replicas that become candidates at
   the same time must not split the votes.  */

#include <glib.h>

#include "tests/logsim.h"

enum
{
  REPLICAS = 3,
  SEEDS = 400,
  SETTLE_MS = 2000,
  /* The longest election timeout that can be drawn, 300 ms in the simulation,
     plus four messages of 4 ms each and a tick of 10 ms before and after.  */
  ELECTION_LIMIT_MS = 336
};

/* Kill the leader and return how long the other two replicas take to elect a
   new one, in ms, at most ELECTION_LIMIT_MS + 1.  */
static int
measure_election (uint64_t seed)
{
  struct logsim *sim = logsim_new (REPLICAS, seed);
  int old_leader;
  int ms = 0;

  logsim_run (sim, SETTLE_MS);
  old_leader = logsim_leader (sim);
  g_assert_cmpint (old_leader, >=, 0);
  logsim_inject_fault (sim, LOGSIM_KILL, old_leader);
  while (ms <= ELECTION_LIMIT_MS
         && (logsim_leader (sim) < 0 || logsim_leader (sim) == old_leader))
    {
      logsim_run (sim, 1);
      ms++;
    }
  g_assert_null (logsim_violation (sim));
  logsim_free (sim);
  return ms;
}

static void
test_simultaneous_candidates (void)
{
  int slow_elections = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    if (measure_election (seed) > ELECTION_LIMIT_MS)
      {
        g_test_message ("seed %d", (int)seed);
        slow_elections++;
      }
  g_assert_cmpint (slow_elections, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/election/simultaneous-candidates",
                   test_simultaneous_candidates);
  return g_test_run ();
}
