/* Tests of the ledger, its copies and the owner in the simulation.  */

#include <string.h>

#include "conf/config.h"
#include "tests/fakedisk.h"
#include "tests/ledgersim.h"

enum
{
  STARTUP_MS = 6000,
  REQUEST_MS = 500,
  JOIN_SPAN_MS = 2500,
  DAY_MS = 24 * 3600 * 1000
};

static const struct jc_key *
find_key (const struct ledgersim *sim, const char *name)
{
  unsigned char id[JC_KEY_ID_BYTES];

  jc_key_id (id, "p", "r", name);
  return jc_keytable_find (jc_ledger_keys (ledgersim_ledger (sim)), id);
}

static struct ledgersim *
start_sim (void)
{
  struct ledgersim *sim = ledgersim_new (NULL, 0);

  ledgersim_run_until (sim, STARTUP_MS);
  g_assert_cmpint (jc_ledger_state (ledgersim_ledger (sim)), ==,
                   JC_LEDGER_SERVING);
  g_assert_cmpuint (jc_ledger_count_members (ledgersim_ledger (sim)), ==, 2);
  return sim;
}

static void
advance (struct ledgersim *sim, int64_t ms)
{
  ledgersim_run_until (sim, ledgersim_now_ms (sim) + ms);
}

static enum jc_status
send_and_wait (struct ledgersim *sim, int node, const char *key,
               const char *body)
{
  const struct ledgersim_request *request
      = ledgersim_send_request (sim, node, key, body);

  advance (sim, REQUEST_MS);
  g_assert_true (request->answered);
  return request->status;
}

/* A claim and its result cost one sync each.  A repeated request gets the
   recorded answer without a sync, and a different request with the same key
   is a conflict.  */
static void
test_repeated_key (void)
{
  struct ledgersim *sim = start_sim ();
  const struct jc_ledger_counts *counts
      = jc_ledger_counts (ledgersim_ledger (sim));
  const struct ledgersim_request *first;
  const struct ledgersim_request *again;

  first = ledgersim_send_request (sim, LEDGERSIM_ENTRY1, "A", "x");
  advance (sim, REQUEST_MS);
  again = ledgersim_send_request (sim, LEDGERSIM_ENTRY2, "A", "x");
  advance (sim, REQUEST_MS);
  g_assert_cmpint (again->status, ==, JC_OK);
  g_assert_cmpstr (again->answer, ==, first->answer);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY3, "A", "y"), ==,
                   JC_KEY_CONFLICT);
  g_assert_cmpuint (counts->granted, ==, 1);
  g_assert_cmpuint (counts->syncs, ==, 2);
  ledgersim_free (sim);
}

/* Retention removes the answer first and the key later.  Until the key is
   removed a repeated request does not run.  */
static void
test_retention (void)
{
  struct ledgersim *sim = start_sim ();
  struct jc_ledger *ledger = ledgersim_ledger (sim);
  const int64_t keep_ms = jc_ledger_defaults.key_keep_ms;

  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY1, "A", "x"), ==, JC_OK);
  jc_ledger_tick (ledger, ledgersim_now_ms (sim) + DAY_MS,
                  ledgersim_now_ms (sim) + DAY_MS);
  g_assert_nonnull (find_key (sim, "A"));
  g_assert_null (find_key (sim, "A")->answer);
  g_assert_null (find_key (sim, "A")->key);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY2, "A", "x"), ==,
                   JC_ANSWER_GONE);
  jc_ledger_tick (ledger, ledgersim_now_ms (sim) + 2 * keep_ms,
                  ledgersim_now_ms (sim) + 2 * keep_ms);
  g_assert_null (find_key (sim, "A"));
  ledgersim_free (sim);
}

/* A grant that arrives after the deadline must not start a run; it is released
   and the key can be claimed again.  */
static void
test_late_grant (void)
{
  struct ledgersim *sim = start_sim ();
  struct ledgersim_request *late
      = ledgersim_send_request (sim, LEDGERSIM_ENTRY1, "A", "x");

  late->owner.deadline_ms = ledgersim_now_ms (sim) + 1;
  advance (sim, REQUEST_MS);
  g_assert_true (late->answered);
  g_assert_cmpint (jc_status_info (late->status)->run, ==, JC_NOT_RUN);
  g_assert_cmpuint (late->runs, ==, 0);
  g_assert_cmpint (find_key (sim, "A")->state, ==, JC_KEY_FREE);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY2, "A", "x"), ==, JC_OK);
  ledgersim_free (sim);
}

/* Fences must increase over a restart and over the loss of the disk.  */
static void
test_fence_increases (void)
{
  struct ledgersim *sim = start_sim ();
  uint64_t first;
  uint64_t second;

  send_and_wait (sim, LEDGERSIM_ENTRY1, "A", "x");
  first = find_key (sim, "A")->fence;
  ledgersim_inject_fault (sim, LEDGERSIM_KILL, LEDGERSIM_LEDGER);
  advance (sim, STARTUP_MS);
  send_and_wait (sim, LEDGERSIM_ENTRY1, "B", "x");
  second = find_key (sim, "B")->fence;
  g_assert_cmpuint (second, >, first);
  ledgersim_inject_fault (sim, LEDGERSIM_WIPE, LEDGERSIM_LEDGER);
  advance (sim, STARTUP_MS);
  send_and_wait (sim, LEDGERSIM_ENTRY1, "C", "x");
  g_assert_nonnull (find_key (sim, "A"));
  g_assert_cmpuint (find_key (sim, "C")->fence, >, second);
  ledgersim_free (sim);
}

/* A ledger that lost its disk and all copies must not grant, since it can't
   know what ran, until an operator accepts the loss.  */
static void
test_accept_loss (void)
{
  struct ledgersim *sim = start_sim ();

  send_and_wait (sim, LEDGERSIM_ENTRY1, "A", "x");
  ledgersim_inject_fault (sim, LEDGERSIM_WIPE, LEDGERSIM_LEDGER);
  for (int node = LEDGERSIM_ENTRY1; node <= LEDGERSIM_ENTRY3; node++)
    ledgersim_inject_fault (sim, LEDGERSIM_KILL, node);
  advance (sim, 3 * STARTUP_MS);
  g_assert_cmpint (jc_ledger_state (ledgersim_ledger (sim)), ==,
                   JC_LEDGER_RECOVERING);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY1, "A", "x"), ==,
                   JC_HOME_RECOVERING);
  g_assert_cmpint (
      jc_ledger_accept_loss (ledgersim_ledger (sim), ledgersim_now_ms (sim)),
      ==, JC_OK);
  advance (sim, 2 * STARTUP_MS);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY1, "B", "x"), ==, JC_OK);
  g_assert_cmpint (
      jc_ledger_accept_loss (ledgersim_ledger (sim), ledgersim_now_ms (sim)),
      ==, JC_NOT_FOUND);
  ledgersim_free (sim);
}

/* A ledger whose copies are lost refuses claims while the replicated log is
   out of reach.  It grants again once the log has committed a copy set without
   them.  */
static void
test_lost_copies (void)
{
  struct ledgersim *sim = start_sim ();

  ledgersim_inject_fault (sim, LEDGERSIM_CUT, LEDGERSIM_LOG);
  ledgersim_inject_fault (sim, LEDGERSIM_FREEZE_LONG, LEDGERSIM_ENTRY1);
  ledgersim_inject_fault (sim, LEDGERSIM_FREEZE_LONG, LEDGERSIM_ENTRY2);
  advance (sim, 4000);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY3, "A", "x"), ==,
                   JC_HOME_RECOVERING);
  advance (sim, 4000);
  g_assert_cmpint (send_and_wait (sim, LEDGERSIM_ENTRY3, "A", "x"), ==, JC_OK);
  ledgersim_free (sim);
}

/* A member that an outstanding proposal adds must have every grant before it
   is replied to: once the proposal commits, that member may be the only one
   left.  A ledger that waits only for the members in force would lose the
   grant and run the key again.  */
static void
test_pending_members (void)
{
  for (int64_t offset_ms = 0; offset_ms < JOIN_SPAN_MS; offset_ms += 2)
    {
      struct ledgersim *sim = start_sim ();

      ledgersim_inject_fault (sim, LEDGERSIM_KILL, LEDGERSIM_ENTRY1);
      advance (sim, offset_ms);
      ledgersim_inject_fault (sim, LEDGERSIM_CUT, LEDGERSIM_ENTRY1);
      ledgersim_inject_fault (sim, LEDGERSIM_CUT, LEDGERSIM_ENTRY3);
      ledgersim_send_request (sim, LEDGERSIM_ENTRY2, "A", "x");
      advance (sim, REQUEST_MS / 5);
      ledgersim_inject_fault (sim, LEDGERSIM_WIPE, LEDGERSIM_LEDGER);
      ledgersim_inject_fault (sim, LEDGERSIM_KILL, LEDGERSIM_ENTRY2);
      advance (sim, 2 * STARTUP_MS);
      ledgersim_send_request (sim, LEDGERSIM_ENTRY3, "A", "x");
      advance (sim, REQUEST_MS);
      g_assert_cmpstr (ledgersim_violation (sim), ==, NULL);
      ledgersim_free (sim);
    }
}

/* A committed copy set that does not follow the one in force is ignored.  */
static void
test_stale_entries (void)
{
  struct ledgersim *sim = start_sim ();
  struct rpc_ledger_set stale = {
    .home = "home", .revision = 1, .ledger = "s1", .ledger_incarnation = 77
  };

  jc_ledger_apply_set (ledgersim_ledger (sim), &stale);
  stale.revision = 1000;
  jc_ledger_apply_set (ledgersim_ledger (sim), &stale);
  g_assert_cmpint (jc_ledger_state (ledgersim_ledger (sim)), ==,
                   JC_LEDGER_SERVING);
  g_assert_cmpuint (jc_ledger_count_members (ledgersim_ledger (sim)), ==, 2);
  ledgersim_free (sim);
}

static struct jc_config *
config_with_home (const struct jc_config *base, const char *home,
                  GPtrArray *faults)
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

/* The home region of a route can't be changed: the ledger of the new one would
   not know the keys and run them again.  */
static void
test_home_change_rejected (void)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *first = config_with_home (empty, "a", faults);
  struct jc_config *same;

  g_assert_nonnull (first);
  same = config_with_home (first, "a", faults);
  g_assert_nonnull (same);
  g_assert_null (config_with_home (first, "b", faults));
  g_assert_cmpuint (faults->len, ==, 1);
  g_assert_true (strstr (g_ptr_array_index (faults, 0), "route/r.home")
                 != NULL);
  jc_config_free (same);
  jc_config_free (first);
  jc_config_free (empty);
  g_ptr_array_free (faults, TRUE);
}

/* A copy must reject the records of a replaced ledger after its successor has
   pulled from the copy.  */
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
  g_test_add_func ("/repeated-key", test_repeated_key);
  g_test_add_func ("/retention", test_retention);
  g_test_add_func ("/late-grant", test_late_grant);
  g_test_add_func ("/fence-increases", test_fence_increases);
  g_test_add_func ("/accept-loss", test_accept_loss);
  g_test_add_func ("/lost-copies", test_lost_copies);
  g_test_add_func ("/pending-members", test_pending_members);
  g_test_add_func ("/stale-entries", test_stale_entries);
  g_test_add_func ("/home-change-rejected", test_home_change_rejected);
  g_test_add_func ("/copy-fence", test_copy_fence);
  return g_test_run ();
}
