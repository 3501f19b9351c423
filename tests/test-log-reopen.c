/* Tests of a log that is opened again in a running process, after its disk
   failed: what the process has applied already must not count twice.  */

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf/rlog.h"
#include "member/limitslots.h"
#include "tests/fakedisk.h"

enum
{
  LIMITS_KIND = 7,
  LOG_ID = 9,
  ELECTION_MS = 300,
  TICK_MS = 10,
  MANY_ENTRIES = 1000
};

/* A replica whose state are the slots of limits.  */
struct replica
{
  struct jc_disk *disk;
  struct jc_rlog *log;
  struct jc_limit_slots *slots;
  int64_t now_ms;
};

static void
on_send (void *ctx, const char *to, const struct rpc_body *body)
{
  (void)ctx;
  (void)to;
  (void)body;
}

static void
on_reset (void *ctx)
{
  struct replica *replica = ctx;
  json_t *none = json_object ();

  g_assert_cmpint (
      jc_limit_slots_restore (replica->slots, none, replica->now_ms), ==,
      JC_OK);
  json_decref (none);
}

static enum jc_status
on_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct replica *replica = ctx;
  json_t *json = json_loadb (snapshot.data, snapshot.len, 0, NULL);

  (void)index;
  g_assert_cmpint (
      jc_limit_slots_restore (replica->slots, json, replica->now_ms), ==,
      JC_OK);
  json_decref (json);
  return JC_OK;
}

static void
on_apply (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  struct replica *replica = ctx;
  struct rpc_limit_changes changes;

  (void)index;
  if (kind != LIMITS_KIND)
    return;
  g_assert_true (jc_limit_changes_decode (data, &changes));
  for (u_int i = 0; i < changes.list.list_len; i++)
    jc_limit_slots_apply (replica->slots, &changes.list.list_val[i],
                          replica->now_ms);
  xdr_free ((xdrproc_t)xdr_rpc_limit_changes, (char *)&changes);
}

static char *
slots_text (const struct replica *replica)
{
  json_t *json = json_object ();
  char *text;

  jc_limit_slots_snapshot (replica->slots, json);
  text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  json_decref (json);
  return text;
}

static void
on_snapshot (void *ctx, GString *out)
{
  char *text = slots_text (ctx);

  g_string_append (out, text);
  free (text);
}

static void
on_role (void *ctx, enum jc_rlog_role role)
{
  (void)ctx;
  (void)role;
}

static const struct jc_rlog_class log_class = { .send = on_send,
                                                .reset = on_reset,
                                                .restore = on_restore,
                                                .apply = on_apply,
                                                .snapshot = on_snapshot,
                                                .role_changed = on_role };

static void
replica_open (struct replica *replica, uint64_t snapshot_entries)
{
  const struct jc_rlog_options options = { .name = "a",
                                           .seed = 1,
                                           .new_incarnation = 1,
                                           .election_ms = ELECTION_MS,
                                           .heartbeat_ms = ELECTION_MS / 3,
                                           .snapshot_entries = snapshot_entries,
                                           .snapshot_chunk_bytes = 1024 };
  enum jc_status status;

  replica->log = jc_rlog_open (replica->disk, &options, &log_class, replica,
                               replica->now_ms, &status);
  g_assert_cmpint (status, ==, JC_OK);
}

static void
replica_run (struct replica *replica, int ms)
{
  for (int i = 0; i < ms; i += TICK_MS)
    {
      replica->now_ms += TICK_MS;
      jc_rlog_tick (replica->log, replica->now_ms);
      jc_rlog_flush (replica->log, replica->now_ms);
    }
}

static void
on_done (void *ctx, enum jc_status status)
{
  *(enum jc_status *)ctx = status;
}

/* Commit OP for the endpoint "x".  */
static void
replica_change (struct replica *replica, enum rpc_limit_op op,
                uint64_t revision)
{
  const struct rpc_limit_change change = { .op = op,
                                           .endpoint = "x",
                                           .endpoint_incarnation = 5,
                                           .revision = revision,
                                           .instance = "e1",
                                           .instance_incarnation = 3 };
  GArray *changes = g_array_new (FALSE, FALSE, sizeof change);
  enum jc_status status = JC_INTERNAL;
  GString *data;

  g_array_append_val (changes, change);
  data = jc_limit_changes_encode (changes);
  jc_rlog_propose (replica->log, LIMITS_KIND, jc_str_from_gstring (data),
                   on_done, &status);
  replica_run (replica, TICK_MS);
  g_assert_cmpint (status, ==, JC_OK);
  g_string_free (data, TRUE);
  g_array_free (changes, TRUE);
}

/* Guards against a replica that applies its log once more to the state that it
   has already when it opens the log again after a full disk: its revisions of
   limits were then others than those of the rest of the group, with a snapshot
   after SNAPSHOT_ENTRIES or none.  */
static void
check_reopen (uint64_t snapshot_entries)
{
  struct replica replica
      = { .disk = fakedisk_new (), .slots = jc_limit_slots_new () };
  char *before;
  char *after;

  replica_open (&replica, snapshot_entries);
  g_assert_cmpint (
      jc_rlog_bootstrap (replica.log, LOG_ID, &(struct rpc_replicas){ 0 }), ==,
      JC_OK);
  replica_run (&replica, 3 * ELECTION_MS);
  g_assert_cmpint (jc_rlog_role (replica.log), ==, JC_RLOG_LEADER);
  replica_change (&replica, RPC_LIMIT_LEASE, 0);
  replica_change (&replica, RPC_LIMIT_END, 0);
  replica_change (&replica, RPC_LIMIT_NAMED, 0);
  replica_change (&replica, RPC_LIMIT_LEASE, 2);
  before = slots_text (&replica);
  jc_rlog_free (replica.log);
  replica_open (&replica, snapshot_entries);
  after = slots_text (&replica);
  g_assert_cmpstr (before, ==, after);
  free (before);
  free (after);
  jc_rlog_free (replica.log);
  jc_limit_slots_free (replica.slots);
  replica.disk->klass->free (replica.disk);
}

static void
test_without_snapshot (void)
{
  check_reopen (MANY_ENTRIES);
}

static void
test_with_snapshot (void)
{
  check_reopen (2);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/without-snapshot", test_without_snapshot);
  g_test_add_func ("/with-snapshot", test_with_snapshot);
  return g_test_run ();
}
