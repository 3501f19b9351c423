/* Tests of workspaces' quotas, on virtual time: what all instances run together
   is checked against the bound in every window.  */

#include <glib.h>

#include "member/quotaslots.h"
#include "serve/quotacredit.h"
#include "serve/quotaowner.h"
#include "tests/quotasim.h"

enum
{
  SEED = 20261206
};

static const struct quotasim_plan base = { .instances = 300,
                                           .per_s = 200000,
                                           .burst = 200000,
                                           .offered = 1.5,
                                           .units_min = 100,
                                           .units_max = 1000 };

/* Play PLAN and check the bound.  MIN_USED is the part of the limit that each
   workspace must be able to use.  */
static void
check_plan (const struct quotasim_plan *plan, const char *name, double min_used)
{
  struct quotasim *sim = quotasim_run (plan, SEED);
  double bound;
  double worst = quotasim_max_window (sim, &bound);
  double used
      = quotasim_used_share (sim, QUOTASIM_TRAFFIC_MS + 3000, QUOTASIM_RUN_MS);

  g_test_message ("%s: %u instances: largest window %.3f of rate and burst, "
                  "bound %.3f, %.3f of the limit used, %.0f messages a second",
                  name, plan->instances, worst, bound, used,
                  quotasim_messages_per_s (sim));
  g_assert_cmpfloat (worst, <=, bound);
  g_assert_cmpfloat (used, >=, min_used);
  quotasim_free (sim);
}

static void
test_steady (void)
{
  struct quotasim_plan plan = base;

  check_plan (&plan, "skewed", 0.9);
  plan.instances = 6;
  check_plan (&plan, "one instance a zone", 0.9);
  plan.instances = 60;
  check_plan (&plan, "ten a zone", 0.9);
}

static void
test_moving (void)
{
  struct quotasim_plan plan = base;
  struct quotasim *sim;
  double least;

  plan.move_ms = 6000;
  check_plan (&plan, "callers move", 0.5);
  sim = quotasim_run (&plan, SEED);
  least = quotasim_min_share_after_move (sim);
  g_test_message ("two seconds after a move at least %.3f of the limit", least);
  g_assert_cmpfloat (least, >=, 0.9);
  quotasim_free (sim);
}

static void
test_faults (void)
{
  struct quotasim_plan plan = base;

  plan.suspend_ms = 3000;
  check_plan (&plan, "suspended 3 s", 0.5);
  plan.suspend_ms = 15000;
  check_plan (&plan, "suspended 15 s", 0.5);
  plan = base;
  plan.cut_every_ms = 5000;
  plan.cut_ms = 6000;
  check_plan (&plan, "zones cut off 6 s", 0.5);
  plan.cut_ms = 16000;
  check_plan (&plan, "zones cut off 16 s", 0.1);
  plan = base;
  plan.replica_freeze_ms = 4000;
  check_plan (&plan, "replicas frozen", 0.5);
  plan = base;
  plan.leaderless_ms = 4000;
  check_plan (&plan, "no leader for 4 s", 0.5);
  plan = base;
  plan.restart_ms = 1000;
  check_plan (&plan, "instances end", 0.5);
}

static void
test_all_faults (void)
{
  struct quotasim_plan plan = base;

  plan.move_ms = 5000;
  plan.suspend_ms = 4000;
  plan.cut_ms = 5000;
  plan.cut_every_ms = 5000;
  plan.replica_freeze_ms = 5000;
  plan.leaderless_ms = 2000;
  plan.restart_ms = 2000;
  check_plan (&plan, "all faults", 0.1);
  plan.move_ms = 0;
  check_plan (&plan, "all faults, callers stay", 0.1);
}

static void
test_changed_limit (void)
{
  struct quotasim_plan plan = base;

  plan.change_ms = 30000;
  plan.later_per_s = 50000;
  check_plan (&plan, "lowered", 0.8);
  plan.later_per_s = 600000;
  check_plan (&plan, "raised", 0.8);
}

/* Without the end of leases the bound breaks: the checks above would see it. */
static void
test_broken_expiry (void)
{
  struct quotasim_plan plan = base;
  struct quotasim *sim;
  double bound;
  double worst;

  plan.cut_ms = 25000;
  plan.cut_every_ms = 8000;
  plan.no_expiry = true;
  sim = quotasim_run (&plan, SEED);
  worst = quotasim_max_window (sim, &bound);
  g_test_message ("leases without end: largest window %.3f, bound %.3f", worst,
                  bound);
  g_assert_cmpfloat (worst, >, bound);
  quotasim_free (sim);
}

/* Lease COUNT slots to BUCKET.  */
static void
lease (struct jc_quotabucket *bucket, unsigned int count, int64_t now_ms)
{
  for (unsigned int i = 0; i < count; i++)
    {
      const struct rpc_quota_slot slot = { .slot = i, .revision = i + 1 };

      g_assert_true (jc_quotabucket_note_lease (bucket, &slot, now_ms,
                                                JC_QUOTA_LEASE_MS, now_ms));
    }
}

static double
take (struct jc_quotabucket *bucket, double units, int64_t now_ms,
      int64_t *retry_ms)
{
  struct jc_quota_decision decision;

  jc_quotabucket_take (bucket, units, 0, now_ms, &decision);
  *retry_ms = decision.retry_ms;
  return decision.granted;
}

static void
test_bucket (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  int64_t retry;
  int64_t earlier;

  jc_quotabucket_set_limit (bucket, 2000, 2000, 1000);
  g_assert_cmpfloat (take (bucket, 1, 1000, &retry), ==, 0);
  lease (bucket, 10, 1000);
  /* New slots have no credit, and fill at half of the rate.  */
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 1000), ==, 0);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 1500), ==, 500);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 9000), ==, 1000);
  /* A larger request than the bucket holds runs when that is full.  */
  g_assert_cmpfloat (take (bucket, 5000, 9000, &retry), ==, 5000);
  g_assert_cmpfloat (take (bucket, 100, 9000, &retry), ==, 0);
  g_assert_cmpint (retry, ==, 3550);
  /* Callers are told different times.  */
  g_assert_cmpfloat (take (bucket, 100, 9000, &earlier), ==, 0);
  g_assert_cmpint (earlier, >, retry);
  /* Nothing counts after the leases.  */
  g_assert_cmpuint (jc_quotabucket_slots (bucket, 12999), ==, 10);
  g_assert_cmpuint (jc_quotabucket_slots (bucket, 13000), ==, 0);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 20000), ==, 0);
  jc_quotabucket_free (bucket);
}

/* Guards against a told time that is too short where the bucket needs longer,
   and against one that is of no use to a caller.  */
static void
test_long_wait (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  int64_t retry;
  int64_t later;

  jc_quotabucket_set_limit (bucket, 1, 20, 1000);
  lease (bucket, 1, 1000);
  g_assert_cmpfloat (take (bucket, 1, 1000, &retry), ==, 0);
  g_assert_cmpint (retry, ==, 19450);
  g_assert_cmpfloat (take (bucket, 1, 1000, &later), ==, 0);
  g_assert_cmpint (later, ==, 39450);
  for (int64_t now = 9000; now < 1000 + retry; now += 8000)
    lease (bucket, 1, now);
  g_assert_cmpfloat (take (bucket, 1, 1000 + retry, &later), ==, 1);
  /* However many were told, others aren't told to wait for all of these.  */
  for (int i = 0; i < 100; i++)
    take (bucket, 1, 1000 + retry, &later);
  g_assert_cmpint (later, <=, 2 * 20000);
  jc_quotabucket_set_limit (bucket, 1, 1e12, 1000 + retry);
  take (bucket, 1e12, 1000 + retry, &later);
  g_assert_cmpint (later, ==, 3600 * 1000);
  jc_quotabucket_free (bucket);
}

/* Guards against a refusal that doesn't tell what was used.  */
static void
test_used (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  struct jc_quota_decision decision;
  int64_t retry;

  jc_quotabucket_set_limit (bucket, 2000, 2000, 1000);
  lease (bucket, 20, 1000);
  g_assert_cmpfloat (take (bucket, 600, 2000, &retry), ==, 600);
  g_assert_cmpfloat (take (bucket, 300, 3000, &retry), ==, 300);
  jc_quotabucket_take (bucket, 10000, 0, 3000, &decision);
  g_assert_cmpfloat (decision.granted, ==, 0);
  g_assert_cmpfloat (decision.used_per_s, ==, 300);
  jc_quotabucket_free (bucket);
}

static bool
send_waiting (struct jc_quotabucket *bucket, double units, int64_t now_ms)
{
  struct jc_quota_decision decision;

  jc_quotabucket_send (bucket, units, now_ms, &decision);
  g_assert_true (decision.granted == units || decision.retry_ms > 0);
  return decision.granted == units;
}

/* Guards against requests that were granted, waited for room and run later than
   they count: they are taken once more as they are sent, which never makes
   more than the burst, and are accepted only once.  */
static void
test_waiting (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  int64_t retry;

  jc_quotabucket_set_limit (bucket, 2000, 2000, 1000);
  lease (bucket, 10, 1000);
  g_assert_cmpfloat (take (bucket, 600, 2000, &retry), ==, 600);
  jc_quotabucket_note_waits (bucket, 600, 2000);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 2000), ==, 400);
  g_assert_true (send_waiting (bucket, 600, 2000));
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 2000), ==, 400);
  g_assert_cmpfloat (take (bucket, 400, 2000, &retry), ==, 400);
  /* The debt is smaller than that.  */
  g_assert_false (send_waiting (bucket, 600, 2000));
  g_assert_true (send_waiting (bucket, 600, 2520));
  jc_quotabucket_note_waits (bucket, 5000, 4000);
  g_assert_true (send_waiting (bucket, 1000, 4000));
  g_assert_false (send_waiting (bucket, 900, 4000));
  /* One whose slots have ended holds nothing.  */
  jc_quotabucket_note_waits (bucket, 600, 20000);
  g_assert_false (send_waiting (bucket, 600, 20000));
  jc_quotabucket_free (bucket);
}

/* Guards against more than the bound in a window after a time in which all
   requests waited: a service without room gets it all at once.  */
static void
test_waited_long (void)
{
  enum
  {
    PER_S = 1000,
    ROOM_MS = 6000,
    WINDOW_MS = 8000
  };
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  unsigned int waiting = 0;
  unsigned int sent = 0;
  int64_t retry;

  jc_quotabucket_set_limit (bucket, PER_S, 2 * PER_S, 1000);
  for (int64_t now = 1000; now < 1000 + ROOM_MS; now++)
    {
      lease (bucket, JC_QUOTABUCKET_SLOTS, now);
      if (take (bucket, 1, now, &retry) < 1)
        continue;
      jc_quotabucket_note_waits (bucket, 1, now);
      waiting++;
    }
  g_assert_cmpuint (waiting, >=, PER_S * (ROOM_MS - 100) / 1000);
  for (int64_t now = 1000 + ROOM_MS; now < 1000 + ROOM_MS + WINDOW_MS; now++)
    {
      lease (bucket, JC_QUOTABUCKET_SLOTS, now);
      for (; waiting > 0 && send_waiting (bucket, 1, now); waiting--)
        sent++;
      sent += take (bucket, 1, now, &retry) < 1 ? 0 : 1;
    }
  g_test_message ("%u sent in %d ms", sent, WINDOW_MS);
  /* The burst, the rate, and a tenth of that.  */
  g_assert_cmpuint (sent, <=, 2 * PER_S + PER_S * WINDOW_MS / 1000 * 11 / 10);
  g_assert_cmpuint (sent, >=, 2 * PER_S + PER_S * WINDOW_MS / 1000 * 9 / 10);
  jc_quotabucket_free (bucket);
}

static void
test_lowered_bucket (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  int64_t retry;

  jc_quotabucket_set_limit (bucket, 2000, 2000, 1000);
  lease (bucket, 20, 1000);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 3000), ==, 2000);
  jc_quotabucket_set_limit (bucket, 200, 200, 3000);
  g_assert_cmpfloat (jc_quotabucket_credit (bucket, 3000), ==, 200);
  g_assert_cmpfloat (take (bucket, 200, 3000, &retry), ==, 200);
  g_assert_cmpfloat (take (bucket, 200, 3000, &retry), ==, 0);
  jc_quotabucket_free (bucket);
}

/* A lease for a request from before the slot was given back is of no use.  */
static void
test_given_back (void)
{
  struct jc_quotabucket *bucket = jc_quotabucket_new (1000);
  const struct rpc_quota_slot slot = { .slot = 1, .revision = 7 };
  GArray *released = g_array_new (FALSE, FALSE, sizeof (struct rpc_quota_slot));

  jc_quotabucket_set_limit (bucket, 2000, 2000, 1000);
  lease (bucket, 2, 1000);
  jc_quotabucket_keep (bucket, 1, 2000);
  g_assert_cmpuint (jc_quotabucket_slots (bucket, 2000), ==, 1);
  g_assert_false (
      jc_quotabucket_note_lease (bucket, &slot, 1900, JC_QUOTA_LEASE_MS, 2100));
  g_assert_cmpuint (jc_quotabucket_slots (bucket, 2100), ==, 1);
  jc_quotabucket_list_released (bucket, 2100, released);
  g_assert_cmpuint (released->len, ==, 1);
  g_assert_cmpuint (g_array_index (released, struct rpc_quota_slot, 0).slot, ==,
                    1);
  g_assert_cmpuint (g_array_index (released, struct rpc_quota_slot, 0).revision,
                    ==, 7);
  g_assert_true (
      jc_quotabucket_note_lease (bucket, &slot, 2001, JC_QUOTA_LEASE_MS, 2100));
  g_assert_cmpuint (jc_quotabucket_slots (bucket, 2100), ==, 2);
  g_array_free (released, TRUE);
  jc_quotabucket_free (bucket);
}

static void
test_credit (void)
{
  struct jc_quotacredit *credit = jc_quotacredit_new ();
  int64_t asked_ms;

  jc_quotacredit_add (credit, 100, 1000);
  jc_quotacredit_add (credit, 50, 1100);
  g_assert_false (jc_quotacredit_take (credit, 151, 1200, &asked_ms));
  g_assert_true (jc_quotacredit_take (credit, 120, 1200, &asked_ms));
  g_assert_cmpint (asked_ms, ==, 1000);
  /* What was asked for 250 ms ago is gone.  */
  g_assert_true (jc_quotacredit_take (credit, 10, 1349, &asked_ms));
  g_assert_false (jc_quotacredit_take (credit, 20, 1350, &asked_ms));
  jc_quotacredit_add (credit, 30, 1700);
  jc_quotacredit_clear (credit);
  g_assert_false (jc_quotacredit_take (credit, 1, 1700, &asked_ms));
  jc_quotacredit_free (credit);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quotas/bucket", test_bucket);
  g_test_add_func ("/quotas/used", test_used);
  g_test_add_func ("/quotas/long-wait", test_long_wait);
  g_test_add_func ("/quotas/lowered-bucket", test_lowered_bucket);
  g_test_add_func ("/quotas/given-back", test_given_back);
  g_test_add_func ("/quotas/credit", test_credit);
  g_test_add_func ("/quotas/steady", test_steady);
  g_test_add_func ("/quotas/moving", test_moving);
  g_test_add_func ("/quotas/faults", test_faults);
  g_test_add_func ("/quotas/all-faults", test_all_faults);
  g_test_add_func ("/quotas/waiting", test_waiting);
  g_test_add_func ("/quotas/waited-long", test_waited_long);
  g_test_add_func ("/quotas/changed-limit", test_changed_limit);
  g_test_add_func ("/quotas/broken-expiry", test_broken_expiry);
  return g_test_run ();
}
