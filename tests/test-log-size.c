/* Tests of what a log takes in memory and on the disk.  Bounds are half of what
   a state instance has on the users' smallest machines.  */

#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "base/journal.h"
#include "conf/rlog.h"
#include "tests/fakedisk.h"

enum
{
  MB = 1024 * 1024,
  MEMORY_MAX = 256 * MB / 2,
  DISK_MAX = 128 * MB / 2,
  /* What is left of the disk beside the log of an earlier build.  */
  DISK_LEFT = 28 * MB,
  CHANGE_BYTES = 2060000,
  CHANGES = 130,
  EARLIER_CHANGES = 48,
  SNAPSHOT_ENTRIES = 64,
  CHANGE_KIND = 7,
  LOG_ID = 9,
  ELECTION_MS = 300,
  TICK_MS = 10
};

/* A replica whose state is the last change.  PEAK is the most memory that was
   in use, beyond BEFORE, at one of the measured moments.  */
struct replica
{
  struct jc_disk *disk;
  struct jc_rlog *log;
  GString *last;
  int64_t now_ms;
  size_t before;
  size_t peak;
};

static size_t
memory_in_use (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
measure (struct replica *replica)
{
  size_t used = memory_in_use ();

  if (used > replica->before)
    replica->peak = MAX (replica->peak, used - replica->before);
}

static void
on_send (void *ctx, const char *to, const struct rpc_body *body)
{
  (void)ctx;
  (void)to;
  (void)body;
}

static enum jc_status
on_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct replica *replica = ctx;

  (void)index;
  g_string_truncate (replica->last, 0);
  g_string_append_len (replica->last, snapshot.data, (gssize)snapshot.len);
  measure (replica);
  return JC_OK;
}

static void
on_apply (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  if (kind == CHANGE_KIND)
    on_restore (ctx, index, data);
}

static void
on_snapshot (void *ctx, GString *out)
{
  struct replica *replica = ctx;

  g_string_append_len (out, replica->last->str, (gssize)replica->last->len);
  measure (replica);
}

static void
on_role (void *ctx, enum jc_rlog_role role)
{
  (void)ctx;
  (void)role;
}

static const struct jc_rlog_class log_class = { .send = on_send,
                                                .restore = on_restore,
                                                .apply = on_apply,
                                                .snapshot = on_snapshot,
                                                .role_changed = on_role };

static void
replica_open (struct replica *replica)
{
  const struct jc_rlog_options options = { .name = "a",
                                           .seed = 1,
                                           .new_incarnation = 1,
                                           .election_ms = ELECTION_MS,
                                           .heartbeat_ms = ELECTION_MS / 3,
                                           .snapshot_entries = SNAPSHOT_ENTRIES,
                                           .snapshot_chunk_bytes = 1024 };
  enum jc_status status;

  replica->log = jc_rlog_open (replica->disk, &options, &log_class, replica,
                               replica->now_ms, &status);
  g_assert_cmpint (status, ==, JC_OK);
}

static struct replica
replica_new (void)
{
  struct replica replica
      = { .disk = fakedisk_new (), .last = g_string_new (NULL) };

  replica.before = memory_in_use ();
  return replica;
}

static void
replica_clear (struct replica *replica)
{
  jc_rlog_free (replica->log);
  g_string_free (replica->last, TRUE);
  replica->disk->klass->free (replica->disk);
}

static void
replica_run (struct replica *replica, int ms)
{
  for (int i = 0; i < ms; i += TICK_MS)
    {
      replica->now_ms += TICK_MS;
      jc_rlog_tick (replica->log, replica->now_ms);
      jc_rlog_flush (replica->log, replica->now_ms);
      measure (replica);
    }
}

static void
replica_lead (struct replica *replica)
{
  replica_open (replica);
  g_assert_cmpint (
      jc_rlog_bootstrap (replica->log, LOG_ID, &(struct rpc_replicas){ 0 }), ==,
      JC_OK);
  replica_run (replica, 3 * ELECTION_MS);
  g_assert_cmpint (jc_rlog_role (replica->log), ==, JC_RLOG_LEADER);
}

static void
on_done (void *ctx, enum jc_status status)
{
  *(enum jc_status *)ctx = status;
}

/* Return a change that tells NUMBER.  */
static GString *
change_new (int number)
{
  GString *data = g_string_sized_new (CHANGE_BYTES);

  g_string_set_size (data, CHANGE_BYTES);
  memset (data->str, 'x', CHANGE_BYTES);
  memcpy (data->str, &number, sizeof number);
  return data;
}

static void
check_last (const struct replica *replica, int number)
{
  int last;

  g_assert_cmpuint (replica->last->len, ==, CHANGE_BYTES);
  memcpy (&last, replica->last->str, sizeof last);
  g_assert_cmpint (last, ==, number);
}

/* Guards against a log that is compacted by the number of its entries alone:
   after 96 changes of 2 MB it took 100 MB on the disk, and opening it over 256
   MB of memory, so that no state instance could start again (review/7).  */
static void
test_changes (void)
{
  struct replica replica = replica_new ();

  replica_lead (&replica);
  for (int i = 0; i < CHANGES; i++)
    {
      GString *data = change_new (i);
      enum jc_status status = JC_INTERNAL;
      struct jc_rlog_usage usage;

      jc_rlog_propose (replica.log, CHANGE_KIND, jc_str_from_gstring (data),
                       on_done, &status);
      replica_run (&replica, TICK_MS);
      g_assert_cmpint (status, ==, JC_OK);
      usage = jc_rlog_usage (replica.log);
      g_assert_cmpuint (usage.file_bytes, <, DISK_MAX);
      g_string_free (data, TRUE);
    }
  g_assert_cmpuint (replica.peak, <, MEMORY_MAX);
  jc_rlog_free (replica.log);
  replica_open (&replica);
  check_last (&replica, CHANGES - 1);
  g_assert_cmpuint (replica.peak, <, MEMORY_MAX);
  replica_clear (&replica);
}

static void
append_record (struct jc_journal *journal, struct rpc_record *record)
{
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_rpc_record, record);
  char *bytes = g_malloc (size);
  XDR xdr;

  xdrmem_create (&xdr, bytes, (u_int)size, XDR_ENCODE);
  g_assert_true (xdr_rpc_record (&xdr, record));
  xdr_destroy (&xdr);
  g_assert_cmpint (jc_journal_append (
                       journal, (struct jc_str){ .data = bytes, .len = size }),
                   ==, JC_OK);
  g_free (bytes);
}

static enum jc_status
ignore_record (void *ctx, uint64_t position, struct jc_str record)
{
  (void)ctx;
  (void)position;
  (void)record;
  return JC_OK;
}

static void
append_change (struct jc_journal *journal, int number)
{
  struct rpc_record record = { .type = RPC_RECORD_ENTRY };
  struct rpc_record commit = { .type = RPC_RECORD_COMMIT };
  GString *data = change_new (number);

  record.rpc_record_u.entry.index = (uint64_t)number + 1;
  record.rpc_record_u.entry.entry
      = (struct rpc_log_entry){ .term = 1,
                                .kind = CHANGE_KIND,
                                .data = { .rpc_bytes_val = data->str,
                                          .rpc_bytes_len = CHANGE_BYTES } };
  append_record (journal, &record);
  commit.rpc_record_u.commit = (uint64_t)number + 1;
  append_record (journal, &commit);
  g_string_free (data, TRUE);
}

/* Write to DISK the log of a build that compacts it by the number of its
   entries.  */
static void
write_earlier_log (struct jc_disk *disk)
{
  struct rpc_record meta = { .type = RPC_RECORD_META };
  struct rpc_record hard = { .type = RPC_RECORD_HARD };
  enum jc_status status;
  struct jc_journal *journal
      = jc_journal_open (disk, "log", ignore_record, NULL, &status);

  g_assert_cmpint (status, ==, JC_OK);
  meta.rpc_record_u.meta.incarnation = 1;
  meta.rpc_record_u.meta.log_id = LOG_ID;
  append_record (journal, &meta);
  hard.rpc_record_u.hard.term = 1;
  hard.rpc_record_u.hard.vote = "";
  append_record (journal, &hard);
  for (int i = 0; i < EARLIER_CHANGES; i++)
    append_change (journal, i);
  g_assert_cmpint (jc_journal_sync (journal), ==, JC_OK);
  jc_journal_free (journal);
}

/* Guards against a start that needs a multiple of the log of an earlier build
   in memory, or its size once more on the disk (review/7).  */
static void
test_earlier_log (void)
{
  struct replica replica = replica_new ();
  struct jc_rlog_usage usage;

  write_earlier_log (replica.disk);
  replica.before = memory_in_use ();
  replica_open (&replica);
  check_last (&replica, EARLIER_CHANGES - 1);
  usage = jc_rlog_usage (replica.log);
  g_assert_cmpuint (usage.file_bytes, <, DISK_LEFT);
  g_assert_cmpuint (replica.peak, <, MEMORY_MAX);
  replica_clear (&replica);
}

/* Guards against proposals without bound while no replica answers: each is in
   memory until it is committed.  */
static void
test_proposals (void)
{
  struct replica replica = replica_new ();
  enum jc_status status = JC_INTERNAL;
  int refused = 0;

  replica_lead (&replica);
  for (int i = 0; i < SNAPSHOT_ENTRIES; i++)
    {
      GString *data = change_new (i);

      jc_rlog_propose (replica.log, CHANGE_KIND, jc_str_from_gstring (data),
                       on_done, &status);
      refused += status == JC_OVERLOADED;
      g_string_free (data, TRUE);
    }
  measure (&replica);
  g_assert_cmpint (refused, >, 0);
  g_assert_cmpuint (replica.peak, <, MEMORY_MAX);
  replica_run (&replica, TICK_MS);
  check_last (&replica, SNAPSHOT_ENTRIES - 1 - refused);
  replica_clear (&replica);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/changes", test_changes);
  g_test_add_func ("/earlier-log", test_earlier_log);
  g_test_add_func ("/proposals", test_proposals);
  return g_test_run ();
}
