/* Tests that the transfer of a snapshot ends, on virtual time: replicas, a slow
   link as many round trips, and changes that go on meanwhile.  */

#include <glib.h>
#include <string.h>

#include "tests/logsim.h"

enum
{
  SEED = 11,
  REPLICAS = 3,
  /* Changes before the disk is lost: their snapshot takes over a hundred
     chunks, of 8 ms each, and a new one is made each 7 entries.  */
  CHANGES_BEFORE = 300,
  CHANGE_GAP_MS = 15,
  /* Of the simulation: bytes in a chunk, and time of a round trip.  */
  CHUNK_BYTES = 300,
  ROUND_TRIP_MS = 8,
  /* How far changes meanwhile may delay a transfer, and time to vote after.  */
  CATCH_UP_FACTOR = 2,
  VOTE_MS = 1000,
  SETTLE_MS = 1500,
  PADDING_KIND = 99,
  PADDING_BYTES = 1024 * 1024
};

static unsigned int accepted;

static void
on_answer (void *ctx, const char *id, enum jc_status status, uint64_t version)
{
  (void)ctx;
  (void)id;
  (void)version;
  accepted += status == JC_OK;
}

/* Submit changes to the leader for MS, one each CHANGE_GAP_MS, until the
   replica AWAITED votes; -1 for none.  Return how long that took.  */
static int64_t
run_changes (struct logsim *sim, int64_t ms, int awaited)
{
  static unsigned int number;
  int64_t begun_ms = logsim_now (sim);

  while (logsim_now (sim) - begun_ms < ms
         && (awaited < 0 || !logsim_recovered (sim, awaited)))
    {
      int leader = logsim_leader (sim);
      g_autofree char *name = g_strdup_printf (
          "region-with-a-name-of-some-length-%04u", ++number);

      if (leader >= 0)
        logsim_submit (sim, leader, name, logsim_version (sim, leader), name,
                       on_answer, NULL);
      logsim_run (sim, CHANGE_GAP_MS);
    }
  g_assert_cmpstr (logsim_violation (sim), ==, NULL);
  return logsim_now (sim) - begun_ms;
}

static void
on_padded (void *ctx, enum jc_status status)
{
  (void)ctx;
  g_assert_cmpint (status, ==, JC_OK);
}

/* Make the snapshot cheaper to send than all entries: commit one that is no
   part of the state.  */
static void
pad_log (struct logsim *sim)
{
  int leader = logsim_leader (sim);
  g_autofree char *data = g_strnfill (PADDING_BYTES, 'x');

  jc_rlog_propose (logsim_log (sim, leader), PADDING_KIND,
                   (struct jc_str){ .data = data, .len = PADDING_BYTES },
                   on_padded, NULL);
  logsim_flush (sim, leader);
  logsim_run (sim, SETTLE_MS);
}

/* Return by when a replica with an empty disk must vote again: what the
   snapshot takes without other changes, and some more.  */
static int64_t
catch_up_max_ms (const struct logsim *sim)
{
  struct jc_rlog_usage usage
      = jc_rlog_usage (logsim_log (sim, logsim_leader (sim)));

  return (int64_t)(usage.snapshot_bytes / CHUNK_BYTES) * ROUND_TRIP_MS
             * CATCH_UP_FACTOR
         + VOTE_MS;
}

/* Let the replica TARGET lose its disk and come back.  Return how long it takes
   until it votes again, at most MAX_MS.  */
static int64_t
lose_disk (struct logsim *sim, int target, int64_t max_ms)
{
  logsim_inject_fault (sim, LOGSIM_KILL_WIPE, target);
  run_changes (sim, SETTLE_MS, -1);
  logsim_clear_fault (sim, LOGSIM_KILL_WIPE, target);
  return run_changes (sim, max_ms, target);
}

/* Guards against a transfer that begins anew with each snapshot that the leader
   makes: a replica with an empty disk then never votes again, and the next
   disks that are lost take the quorum with them (review/6).  */
static void
test_changes_go_on (void)
{
  struct logsim *sim = logsim_new (REPLICAS, SEED);

  logsim_run (sim, SETTLE_MS);
  pad_log (sim);
  run_changes (sim, CHANGES_BEFORE * CHANGE_GAP_MS, -1);
  g_assert_cmpuint (accepted, >, CHANGES_BEFORE / 2);
  for (int target = 0; target < REPLICAS; target++)
    {
      int64_t max_ms = catch_up_max_ms (sim);
      int64_t took_ms = lose_disk (sim, target, max_ms);

      g_test_message ("replica %d votes again after %ld of %ld ms", target,
                      (long)took_ms, (long)max_ms);
      g_assert_cmpint (took_ms, <, max_ms);
    }
  logsim_free (sim);
}

/* Guards against a transfer that begins anew with each leader message that is
   lost, or that another replica's transfer takes over: the link to one replica
   is cut again and again while two disks are replaced.  */
static void
test_broken_off (void)
{
  struct logsim *sim = logsim_new (REPLICAS + 2, SEED);
  int64_t took_ms = 0;
  int64_t max_ms;

  logsim_run (sim, SETTLE_MS);
  pad_log (sim);
  run_changes (sim, CHANGES_BEFORE * CHANGE_GAP_MS, -1);
  max_ms = 2 * catch_up_max_ms (sim);
  logsim_inject_fault (sim, LOGSIM_KILL_WIPE, 3);
  logsim_inject_fault (sim, LOGSIM_KILL_WIPE, 4);
  run_changes (sim, SETTLE_MS, -1);
  logsim_clear_fault (sim, LOGSIM_KILL_WIPE, 3);
  run_changes (sim, SETTLE_MS / 10, -1);
  logsim_clear_fault (sim, LOGSIM_KILL_WIPE, 4);
  while (took_ms < max_ms && !logsim_recovered (sim, 4))
    {
      took_ms += run_changes (sim, SETTLE_MS / 5, 4);
      logsim_inject_fault (sim, LOGSIM_CUT_BOTH, 4);
      took_ms += run_changes (sim, SETTLE_MS / 15, 4);
      logsim_clear_fault (sim, LOGSIM_CUT_BOTH, 4);
    }
  g_assert_cmpint (took_ms, <, max_ms);
  run_changes (sim, max_ms, 3);
  g_assert_true (logsim_recovered (sim, 3));
  logsim_free (sim);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/changes-go-on", test_changes_go_on);
  g_test_add_func ("/broken-off", test_broken_off);
  return g_test_run ();
}
