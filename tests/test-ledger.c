/* Tests of the ledger, its copies and the owner on virtual time.  */

#include <string.h>

#include "conf/config.h"
#include "tests/fakedisk.h"
#include "tests/ledgersim.h"

enum
{
  BOOT_MS = 6000,
  CALL_MS = 500,
  JOIN_MS = 2500,
  DAY_MS = 24 * 3600 * 1000
};

static const struct jc_key *
key_of (const struct sim *sim, const char *name)
{
  unsigned char id[JC_KEY_ID_BYTES];

  jc_key_id (id, "p", "r", name);
  return jc_keytable_find (jc_ledger_keys (sim_ledger (sim)), id);
}

static struct sim *
sim_booted (void)
{
  struct sim *sim = sim_new (NULL, 0);

  sim_run (sim, BOOT_MS);
  g_assert_cmpint (jc_ledger_state (sim_ledger (sim)), ==, JC_LEDGER_SERVING);
  g_assert_cmpuint (jc_ledger_count_members (sim_ledger (sim)), ==, 2);
  return sim;
}

static void
sim_pass (struct sim *sim, int64_t ms)
{
  sim_run (sim, sim_now (sim) + ms);
}

static enum jc_status
asked (struct sim *sim, int node, const char *key, const char *body)
{
  const struct sim_request *request = sim_ask (sim, node, key, body);

  sim_pass (sim, CALL_MS);
  g_assert_true (request->told);
  return request->status;
}

/* Many claims of one turn share a sync; the same key again gets the recorded
   answer, and another request under it is refused.  */
static void
test_group_and_repeat (void)
{
  struct sim *sim = sim_booted ();
  const struct jc_ledger_counts *counts = jc_ledger_counts (sim_ledger (sim));
  const struct sim_request *first;
  const struct sim_request *again;

  first = sim_ask (sim, SIM_E1, "A", "x");
  sim_pass (sim, CALL_MS);
  again = sim_ask (sim, SIM_E2, "A", "x");
  sim_pass (sim, CALL_MS);
  g_assert_cmpint (again->status, ==, JC_OK);
  g_assert_cmpstr (again->answer, ==, first->answer);
  g_assert_cmpint (asked (sim, SIM_E3, "A", "y"), ==, JC_KEY_CONFLICT);
  g_assert_cmpuint (counts->granted, ==, 1);
  g_assert_cmpuint (counts->syncs, ==, 2);
  sim_free (sim);
}

/* The answer goes first, then the key; within both times a repeated key does
   not run.  */
static void
test_retention (void)
{
  struct sim *sim = sim_booted ();
  struct jc_ledger *ledger = sim_ledger (sim);
  const int64_t keep_ms = jc_ledger_defaults.key_keep_ms;

  g_assert_cmpint (asked (sim, SIM_E1, "A", "x"), ==, JC_OK);
  jc_ledger_tick (ledger, sim_now (sim) + DAY_MS, sim_now (sim) + DAY_MS);
  g_assert_nonnull (key_of (sim, "A"));
  g_assert_null (key_of (sim, "A")->answer);
  g_assert_null (key_of (sim, "A")->key);
  g_assert_cmpint (asked (sim, SIM_E2, "A", "x"), ==, JC_ANSWER_GONE);
  jc_ledger_tick (ledger, sim_now (sim) + 2 * keep_ms,
                  sim_now (sim) + 2 * keep_ms);
  g_assert_null (key_of (sim, "A"));
  sim_free (sim);
}

/* A grant that comes after the deadline is not used, and given back.  */
static void
test_late_grant (void)
{
  struct sim *sim = sim_booted ();
  struct sim_request *late = sim_ask (sim, SIM_E1, "A", "x");

  late->owner.deadline_ms = sim_now (sim) + 1;
  sim_pass (sim, CALL_MS);
  g_assert_true (late->told);
  g_assert_cmpint (jc_status_info (late->status)->run, ==, JC_NOT_RUN);
  g_assert_cmpuint (late->runs, ==, 0);
  g_assert_cmpint (key_of (sim, "A")->state, ==, JC_KEY_FREE);
  g_assert_cmpint (asked (sim, SIM_E2, "A", "x"), ==, JC_OK);
  sim_free (sim);
}

/* Fencing numbers grow over restarts and over a lost disk.  */
static void
test_fences (void)
{
  struct sim *sim = sim_booted ();
  uint64_t first;
  uint64_t second;

  asked (sim, SIM_E1, "A", "x");
  first = key_of (sim, "A")->fence;
  sim_strike (sim, SIM_KILL, SIM_LEDGER);
  sim_pass (sim, BOOT_MS);
  asked (sim, SIM_E1, "B", "x");
  second = key_of (sim, "B")->fence;
  g_assert_cmpuint (second, >, first);
  sim_strike (sim, SIM_WIPE, SIM_LEDGER);
  sim_pass (sim, BOOT_MS);
  asked (sim, SIM_E1, "C", "x");
  g_assert_nonnull (key_of (sim, "A"));
  g_assert_cmpuint (key_of (sim, "C")->fence, >, second);
  sim_free (sim);
}

/* Without its disk and without any copy a ledger grants nothing until an
   operator accepts the loss.  */
static void
test_accept_loss (void)
{
  struct sim *sim = sim_booted ();

  asked (sim, SIM_E1, "A", "x");
  sim_strike (sim, SIM_WIPE, SIM_LEDGER);
  for (int node = SIM_E1; node <= SIM_E3; node++)
    sim_strike (sim, SIM_KILL, node);
  sim_pass (sim, 3 * BOOT_MS);
  g_assert_cmpint (jc_ledger_state (sim_ledger (sim)), ==,
                   JC_LEDGER_RECOVERING);
  g_assert_cmpint (asked (sim, SIM_E1, "A", "x"), ==, JC_HOME_RECOVERING);
  g_assert_cmpint (jc_ledger_accept_loss (sim_ledger (sim), sim_now (sim)), ==,
                   JC_OK);
  sim_pass (sim, 2 * BOOT_MS);
  g_assert_cmpint (asked (sim, SIM_E1, "B", "x"), ==, JC_OK);
  g_assert_cmpint (jc_ledger_accept_loss (sim_ledger (sim), sim_now (sim)), ==,
                   JC_NOT_FOUND);
  sim_free (sim);
}

/* With its copies gone and the log out of reach a ledger refuses; it goes on
   alone once the log has recorded that.  */
static void
test_alone (void)
{
  struct sim *sim = sim_booted ();

  sim_strike (sim, SIM_CUT, SIM_LOG);
  sim_strike (sim, SIM_FREEZE_LONG, SIM_E1);
  sim_strike (sim, SIM_FREEZE_LONG, SIM_E2);
  sim_pass (sim, 4000);
  g_assert_cmpint (asked (sim, SIM_E3, "A", "x"), ==, JC_HOME_RECOVERING);
  sim_pass (sim, 4000);
  g_assert_cmpint (asked (sim, SIM_E3, "A", "x"), ==, JC_OK);
  sim_free (sim);
}

/* A member that a proposal under way adds must have every grant already: it
   may be the only one left once the proposal has committed.  */
static void
test_pending (void)
{
  for (int64_t offset_ms = 0; offset_ms < JOIN_MS; offset_ms += 2)
    {
      struct sim *sim = sim_booted ();

      sim_strike (sim, SIM_KILL, SIM_E1);
      sim_pass (sim, offset_ms);
      sim_strike (sim, SIM_CUT, SIM_E1);
      sim_strike (sim, SIM_CUT, SIM_E3);
      sim_ask (sim, SIM_E2, "A", "x");
      sim_pass (sim, CALL_MS / 5);
      sim_strike (sim, SIM_WIPE, SIM_LEDGER);
      sim_strike (sim, SIM_KILL, SIM_E2);
      sim_pass (sim, 2 * BOOT_MS);
      sim_ask (sim, SIM_E3, "A", "x");
      sim_pass (sim, CALL_MS);
      g_assert_cmpstr (sim_check (sim), ==, NULL);
      sim_free (sim);
    }
}

/* An entry of the log that does not follow the one in force is void.  */
static void
test_void_entries (void)
{
  struct sim *sim = sim_booted ();
  struct rpc_ledger_set stale = {
    .home = "home", .revision = 1, .ledger = "s1", .ledger_incarnation = 77
  };

  jc_ledger_apply_set (sim_ledger (sim), &stale);
  stale.revision = 1000;
  jc_ledger_apply_set (sim_ledger (sim), &stale);
  g_assert_cmpint (jc_ledger_state (sim_ledger (sim)), ==, JC_LEDGER_SERVING);
  g_assert_cmpuint (jc_ledger_count_members (sim_ledger (sim)), ==, 2);
  sim_free (sim);
}

static struct jc_config *
with_home (const struct jc_config *base, const char *home, GPtrArray *faults)
{
  char *text = g_strdup_printf (
      "{\"put\":[{\"kind\":\"region\",\"name\":\"a\"},"
      "{\"kind\":\"region\",\"name\":\"b\"},"
      "{\"kind\":\"service\",\"name\":\"s\"},"
      "{\"kind\":\"priority\",\"name\":\"p\"},"
      "{\"kind\":\"limit\",\"name\":\"l\"},"
      "{\"kind\":\"residency\",\"name\":\"ab\",\"regions\":[\"a\",\"b\"]},"
      "{\"kind\":\"product\",\"name\":\"x\",\"residency\":\"ab\","
      "\"limit\":\"l\"},{\"kind\":\"route\",\"name\":\"r\",\"product\":\"x\","
      "\"service\":\"s\",\"priority\":\"p\",\"idempotent\":false,"
      "\"home\":\"%s\"}]}",
      home);
  json_t *change = json_loads (text, 0, NULL);
  struct jc_config *config
      = jc_config_apply (base, change, base->version + 1, faults);

  json_decref (change);
  g_free (text);
  return config;
}

/* The home of a route can't be changed: its keys would run again.  */
static void
test_home_stays (void)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *first = with_home (empty, "a", faults);
  struct jc_config *same;

  g_assert_nonnull (first);
  same = with_home (first, "a", faults);
  g_assert_nonnull (same);
  g_assert_null (with_home (first, "b", faults));
  g_assert_cmpuint (faults->len, ==, 1);
  g_assert_true (strstr (g_ptr_array_index (faults, 0), "route/r.home")
                 != NULL);
  jc_config_free (same);
  jc_config_free (first);
  jc_config_free (empty);
  g_ptr_array_free (faults, TRUE);
}

/* A copy takes no records of a ledger that another one pulled from.  */
static void
test_copy_fence (void)
{
  struct jc_copies *copies = jc_copies_new ();
  struct rpc_ledger_copy_reply reply;
  struct rpc_ledger_copy old = { .home = "home",
                                 .ledger_incarnation = 1,
                                 .full = TRUE,
                                 .last = TRUE,
                                 .fence = 4,
                                 .transfer = 1 };
  struct rpc_ledger_copy pull
      = { .home = "home", .ledger_incarnation = 2, .pull = TRUE, .fence = 5 };

  jc_copies_handle_message (copies, &pull, &reply);
  g_assert_false (reply.complete);
  pull.fence = 3;
  old.fence = 2;
  jc_copies_free (copies);
  copies = jc_copies_new ();
  jc_copies_handle_message (copies, &old, &reply);
  g_assert_true (reply.complete);
  jc_copies_handle_message (copies, &pull, &reply);
  g_assert_true (reply.complete);
  jc_copies_handle_message (copies, &old, &reply);
  g_assert_false (reply.complete);
  jc_copies_free (copies);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/group-and-repeat", test_group_and_repeat);
  g_test_add_func ("/retention", test_retention);
  g_test_add_func ("/late-grant", test_late_grant);
  g_test_add_func ("/fences", test_fences);
  g_test_add_func ("/accept-loss", test_accept_loss);
  g_test_add_func ("/alone", test_alone);
  g_test_add_func ("/pending", test_pending);
  g_test_add_func ("/void-entries", test_void_entries);
  g_test_add_func ("/home-stays", test_home_stays);
  g_test_add_func ("/copy-fence", test_copy_fence);
  return g_test_run ();
}
