/* Simulation of replicas of the log on virtual time.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "conf/replicas.h"
#include "tests/fakedisk.h"
#include "tests/logsim.h"

enum
{
  TICK_MS = 10,
  ELECTION_MS = 150,
  HEARTBEAT_MS = 40,
  LATENCY_MS = 4,
  SNAPSHOT_ENTRIES = 7,
  SNAPSHOT_CHUNK_BYTES = 300,
  DELAY_MS = 500,
  REORDER_MS = 9,
  DUPLICATE_MS = 120,
  TORN_BYTES = 9,
  RESTART_DELAY_MS = 400,
  REPAIR_DELAY_MS = 700,
  /* Kind of the log entries that hold a configuration change.  */
  CONFIG_CHANGE_KIND = 1
};

/* One replica: its process, its disk and the highest version that it
   published.  KILL_PENDING is set when it is to be killed once its current
   input is processed.  */
struct replica
{
  struct logsim *sim;
  int id;
  char name[8];
  struct jc_disk *disk;
  struct jc_rlog *log;
  struct jc_confstate *confstate;
  uint64_t starts;
  uint64_t published_version;
  bool frozen;
  bool kill_pending;
  bool wipe_pending;
  GQueue held_messages;
};

/* A message in transit.  */
struct message
{
  int64_t deliver_ms;
  int from;
  int to;
  GByteArray *bytes;
};

/* A fault that is repaired later.  */
struct repair
{
  int64_t due_ms;
  enum logsim_fault_kind kind;
  int target;
};

/* A submission awaiting its answer at a replica.  */
struct submission
{
  struct replica *replica;
  char *change_id;
  logsim_answer_fn *answer;
  void *ctx;
};

struct logsim
{
  int count;
  uint64_t seed;
  int64_t now_ms;
  uint64_t steps;
  struct replica replicas[LOGSIM_REPLICAS_MAX];
  int blocked_links[LOGSIM_REPLICAS_MAX][LOGSIM_REPLICAS_MAX];
  GQueue messages;
  GQueue repairs;
  GArray *faults;
  guint faults_started;
  GPtrArray *committed_entries;
  GHashTable *accepted_changes;
  const struct jc_submit_result *applied_result;
  uint64_t entry_version;
  char *violation;
};

static void start_replica (struct replica *replica);
static void flush_replica (struct replica *replica);

static void
record_violation (struct logsim *sim, const char *fmt, ...)
{
  va_list ap;

  if (sim->violation != NULL)
    return;
  va_start (ap, fmt);
  sim->violation = g_strdup_vprintf (fmt, ap);
  va_end (ap);
}

static void
message_free (gpointer data)
{
  struct message *message = data;

  g_byte_array_free (message->bytes, TRUE);
  g_free (message);
}

static gint
compare_messages (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct message *first = a;
  const struct message *second = b;

  (void)ctx;
  return first->deliver_ms <= second->deliver_ms ? -1 : 1;
}

static void
enqueue_message (struct logsim *sim, int from, int to, const GByteArray *bytes,
                 int64_t deliver_ms)
{
  struct message *message = g_new0 (struct message, 1);

  message->from = from;
  message->to = to;
  message->deliver_ms = deliver_ms;
  message->bytes = g_byte_array_new ();
  g_byte_array_append (message->bytes, bytes->data, bytes->len);
  g_queue_insert_sorted (&sim->messages, message, compare_messages, NULL);
}

/* Kill the process of REPLICA.  Of what its disk has not synced KEEP bytes
   survive, so that a record may be torn.  */
static void
kill_replica (struct replica *replica, size_t keep)
{
  if (replica->log == NULL)
    return;
  jc_rlog_free (replica->log);
  jc_confstate_free (replica->confstate);
  replica->log = NULL;
  replica->confstate = NULL;
  replica->kill_pending = false;
  replica->frozen = false;
  g_queue_clear_full (&replica->held_messages, message_free);
  fakedisk_crash (replica->disk, keep);
}

/* Block (DELTA 1) or unblock (DELTA -1) the links to TARGET if IN is set and
   those from it if OUT is.  Blocks are counted, since several faults may
   affect a link.  */
static void
change_links (struct logsim *sim, int target, bool in, bool out, int delta)
{
  for (int i = 0; i < sim->count; i++)
    {
      if (i == target)
        continue;
      sim->blocked_links[i][target] += in ? delta : 0;
      sim->blocked_links[target][i] += out ? delta : 0;
    }
}

/* Inject the fault KIND at the replica TARGET.  It lasts until
   logsim_clear_fault.  */
void
logsim_inject_fault (struct logsim *sim, enum logsim_fault_kind kind,
                     int target)
{
  struct replica *replica = &sim->replicas[target];

  if (kind == LOGSIM_KILL || kind == LOGSIM_KILL_WIPE)
    kill_replica (replica, 0);
  else if (kind == LOGSIM_KILL_TORN)
    kill_replica (replica, TORN_BYTES);
  else if (kind == LOGSIM_FREEZE)
    replica->frozen = replica->log != NULL;
  else if (kind == LOGSIM_DISK_FAIL)
    fakedisk_fail_after (replica->disk, 0);
  else
    change_links (sim, target, kind != LOGSIM_CUT_OUT, kind != LOGSIM_CUT_IN,
                  1);
  if (kind == LOGSIM_KILL_WIPE)
    {
      fakedisk_wipe (replica->disk);
      replica->published_version = 0;
    }
}

static void
resume_replica (struct replica *replica)
{
  struct message *message;

  replica->frozen = false;
  while ((message = g_queue_pop_head (&replica->held_messages)) != NULL)
    {
      enqueue_message (replica->sim, message->from, message->to, message->bytes,
                       replica->sim->now_ms);
      message_free (message);
    }
}

/* Repair the fault KIND of the replica TARGET.  */
void
logsim_clear_fault (struct logsim *sim, enum logsim_fault_kind kind, int target)
{
  struct replica *replica = &sim->replicas[target];

  if (kind == LOGSIM_FREEZE)
    resume_replica (replica);
  else if (kind >= LOGSIM_CUT_IN && kind <= LOGSIM_CUT_BOTH)
    change_links (sim, target, kind != LOGSIM_CUT_OUT, kind != LOGSIM_CUT_IN,
                  -1);
  else
    {
      kill_replica (replica, 0);
      fakedisk_fail_after (replica->disk, -1);
      start_replica (replica);
    }
}

static void
schedule_repair (struct logsim *sim, enum logsim_fault_kind kind, int target)
{
  bool restarts = kind < LOGSIM_FREEZE;
  struct repair *repair = g_new0 (struct repair, 1);

  repair->due_ms
      = sim->now_ms + (restarts ? RESTART_DELAY_MS : REPAIR_DELAY_MS);
  repair->kind = kind;
  repair->target = target;
  g_queue_push_tail (&sim->repairs, repair);
}

static void
start_fault (struct logsim *sim, const struct logsim_fault *fault, int actor)
{
  struct replica *replica = &sim->replicas[fault->target];

  schedule_repair (sim, fault->kind, fault->target);
  if (fault->target == actor && fault->kind <= LOGSIM_KILL_WIPE)
    {
      /* It is running now, so it is killed once its input is processed.  */
      replica->kill_pending = true;
      fakedisk_fail_after (replica->disk, 0);
      replica->wipe_pending = fault->kind == LOGSIM_KILL_WIPE;
    }
  else
    logsim_inject_fault (sim, fault->kind, fault->target);
}

/* Count a step of the replica ACTOR and start the faults scheduled for it.
   Return the message fault that affects the message, if IS_SEND, or
   LOGSIM_FAULT_KINDS for none.  */
static enum logsim_fault_kind
count_step (struct logsim *sim, int actor, bool is_send)
{
  enum logsim_fault_kind message_fault = LOGSIM_FAULT_KINDS;

  sim->steps++;
  for (guint i = 0; i < sim->faults->len; i++)
    {
      const struct logsim_fault *fault
          = &g_array_index (sim->faults, struct logsim_fault, i);

      if (fault->step != sim->steps)
        continue;
      sim->faults_started++;
      if (fault->kind >= LOGSIM_DUPLICATE)
        message_fault = is_send ? fault->kind : message_fault;
      else
        start_fault (sim, fault, actor);
    }
  return message_fault;
}

static int
replica_by_name (const struct logsim *sim, const char *name)
{
  for (int i = 0; i < sim->count; i++)
    if (strcmp (sim->replicas[i].name, name) == 0)
      return i;
  return -1;
}

static void
on_send (void *ctx, const char *to, const struct rpc_body *body)
{
  struct replica *replica = ctx;
  struct logsim *sim = replica->sim;
  int target = replica_by_name (sim, to);
  enum logsim_fault_kind message_fault;
  GByteArray *bytes;
  int64_t deliver_ms = sim->now_ms + LATENCY_MS;
  XDR xdr;

  if (target < 0)
    return;
  message_fault = count_step (sim, replica->id, true);
  if (replica->kill_pending || sim->blocked_links[replica->id][target] > 0)
    return;
  bytes = g_byte_array_new ();
  g_byte_array_set_size (
      bytes, (guint)xdr_sizeof ((xdrproc_t)xdr_rpc_body, (void *)body));
  xdrmem_create (&xdr, (char *)bytes->data, bytes->len, XDR_ENCODE);
  xdr_rpc_body (&xdr, (struct rpc_body *)body);
  xdr_destroy (&xdr);
  if (message_fault == LOGSIM_DUPLICATE)
    enqueue_message (sim, replica->id, target, bytes,
                     deliver_ms + DUPLICATE_MS);
  if (message_fault == LOGSIM_REORDER)
    deliver_ms += REORDER_MS;
  if (message_fault == LOGSIM_DELAY)
    deliver_ms += DELAY_MS;
  enqueue_message (sim, replica->id, target, bytes, deliver_ms);
  g_byte_array_free (bytes, TRUE);
}

/* Check that REPLICA applies the same entry at INDEX as the others.  */
static void
check_committed (struct logsim *sim, const struct replica *replica,
                 uint64_t index, uint32_t kind, struct jc_str data)
{
  GBytes *bytes = g_bytes_new (data.data, data.len);

  (void)kind;
  if (index == sim->committed_entries->len + 1)
    g_ptr_array_add (sim->committed_entries, g_bytes_ref (bytes));
  else if (index > sim->committed_entries->len
           || !g_bytes_equal (
               bytes, g_ptr_array_index (sim->committed_entries, index - 1)))
    record_violation (sim, "%s applies a different entry %lu", replica->name,
                      (unsigned long)index);
  g_bytes_unref (bytes);
}

/* Let an entry instance put the version of REPLICA in force.  */
static void
publish_version (struct replica *replica)
{
  uint64_t version = replica->confstate->config->version;

  if (replica->kill_pending)
    return;
  replica->published_version = MAX (replica->published_version, version);
  replica->sim->entry_version = MAX (replica->sim->entry_version, version);
}

/* Check that only one change was accepted as VERSION.  */
static void
check_single_change (struct logsim *sim, const char *change_id,
                     uint64_t version)
{
  const char *known_id
      = g_hash_table_lookup (sim->accepted_changes, GUINT_TO_POINTER (version));

  if (known_id == NULL)
    g_hash_table_insert (sim->accepted_changes, GUINT_TO_POINTER (version),
                         g_strdup (change_id));
  else if (strcmp (known_id, change_id) != 0)
    record_violation (sim, "version %lu was assigned to two changes",
                      (unsigned long)version);
}

static void
on_applied (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  struct replica *replica = ctx;
  struct logsim *sim = replica->sim;

  check_committed (sim, replica, index, kind, data);
  if (kind != CONFIG_CHANGE_KIND)
    return;
  sim->applied_result = jc_confstate_apply (replica->confstate, data);
  if (sim->applied_result->status == JC_OK)
    check_single_change (sim, sim->applied_result->change_id,
                         sim->applied_result->version);
  publish_version (replica);
}

static enum jc_status
on_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct replica *replica = ctx;
  json_t *json = json_loadb (snapshot.data, snapshot.len, 0, NULL);

  (void)index;
  if (jc_confstate_restore (replica->confstate, json) != JC_OK)
    record_violation (replica->sim, "%s can't read its snapshot",
                      replica->name);
  json_decref (json);
  publish_version (replica);
  return JC_OK;
}

static void
on_snapshot (void *ctx, GString *out)
{
  struct replica *replica = ctx;
  json_t *json = json_object ();
  char *text;

  jc_confstate_snapshot (replica->confstate, json);
  text = json_dumps (json, JSON_COMPACT);
  g_string_append (out, text);
  free (text);
  json_decref (json);
}

static void
on_role (void *ctx, enum jc_rlog_role role)
{
  (void)ctx;
  (void)role;
}

static const struct jc_rlog_class sim_class = { .send = on_send,
                                                .restore = on_restore,
                                                .apply = on_applied,
                                                .snapshot = on_snapshot,
                                                .role_changed = on_role };

static void
start_replica (struct replica *replica)
{
  struct logsim *sim = replica->sim;
  uint64_t salt = sim->seed + (uint64_t)replica->id * 100 + ++replica->starts;
  struct jc_rlog_options options
      = { .name = replica->name,
          .seed = salt,
          .new_incarnation = salt,
          .election_ms = ELECTION_MS,
          .heartbeat_ms = HEARTBEAT_MS,
          .snapshot_entries = SNAPSHOT_ENTRIES,
          .snapshot_chunk_bytes = SNAPSHOT_CHUNK_BYTES };
  enum jc_status status;

  replica->confstate = jc_confstate_new ();
  replica->log = jc_rlog_open (replica->disk, &options, &sim_class, replica,
                               sim->now_ms, &status);
  if (replica->log == NULL)
    {
      record_violation (sim, "%s can't start: %s", replica->name,
                        jc_last_message ());
      jc_confstate_free (replica->confstate);
      replica->confstate = NULL;
    }
  else if (replica->confstate->config->version < replica->published_version)
    record_violation (sim, "%s restarted with version %lu after publishing %lu",
                      replica->name,
                      (unsigned long)replica->confstate->config->version,
                      (unsigned long)replica->published_version);
}

/* Return a simulation of REPLICAS replicas of which the first has bootstrapped
   the log, with the others in the replica set unless SINGLE is set.  */
static struct logsim *
sim_new (int replicas, uint64_t seed, bool single)
{
  struct logsim *sim = g_new0 (struct logsim, 1);
  struct rpc_replicas others = { 0 };

  jc_log_setup (JC_LOG_ERROR + 1, false);
  sim->count = replicas;
  sim->seed = seed;
  sim->faults = g_array_new (FALSE, FALSE, sizeof (struct logsim_fault));
  sim->committed_entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim->accepted_changes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_queue_init (&sim->messages);
  g_queue_init (&sim->repairs);
  for (int i = 0; i < replicas; i++)
    {
      struct replica *replica = &sim->replicas[i];
      struct rpc_replica row = { .name = replica->name, .standing = true };

      replica->sim = sim;
      replica->id = i;
      g_snprintf (replica->name, sizeof replica->name, "s%d", i + 1);
      replica->disk = fakedisk_new ();
      g_queue_init (&replica->held_messages);
      start_replica (replica);
      if (i > 0 && !single)
        jc_replicas_put (&others, &row);
    }
  jc_rlog_bootstrap (sim->replicas[0].log, seed + 1, &others);
  jc_replicas_clear (&others);
  return sim;
}

/* Return a simulation of REPLICAS replicas of which the first has bootstrapped
   the log with all others in the replica set.  */
struct logsim *
logsim_new (int replicas, uint64_t seed)
{
  return sim_new (replicas, seed, false);
}

/* Return a simulation of REPLICAS replicas of which the first has bootstrapped
   the log with itself as the only replica.  The others have to be added with
   jc_rlog_put_replica.  */
struct logsim *
logsim_new_single (int replicas, uint64_t seed)
{
  return sim_new (replicas, seed, true);
}

/* Return the name of REPLICA.  */
const char *
logsim_name (const struct logsim *sim, int replica)
{
  return sim->replicas[replica].name;
}

/* Return whether ONE and ANOTHER are up and messages pass between them in both
   directions.  */
bool
logsim_connected (const struct logsim *sim, int one, int another)
{
  return sim->replicas[one].log != NULL && sim->replicas[another].log != NULL
         && sim->blocked_links[one][another] == 0
         && sim->blocked_links[another][one] == 0;
}

/* Flush REPLICA: write what is pending to its disk and send its messages.  */
void
logsim_flush (struct logsim *sim, int replica)
{
  flush_replica (&sim->replicas[replica]);
}

/* Free SIM.  */
void
logsim_free (struct logsim *sim)
{
  for (int i = 0; i < sim->count; i++)
    {
      kill_replica (&sim->replicas[i], 0);
      sim->replicas[i].disk->klass->free (sim->replicas[i].disk);
    }
  g_queue_clear_full (&sim->messages, message_free);
  g_queue_clear_full (&sim->repairs, g_free);
  g_array_free (sim->faults, TRUE);
  g_ptr_array_free (sim->committed_entries, TRUE);
  g_hash_table_destroy (sim->accepted_changes);
  g_free (sim->violation);
  g_free (sim);
}

/* Schedule FAULT for its step; it is repaired some time later.  */
void
logsim_schedule_fault (struct logsim *sim, const struct logsim_fault *fault)
{
  g_array_append_val (sim->faults, *fault);
}

static void
flush_replica (struct replica *replica)
{
  jc_rlog_flush (replica->log, replica->sim->now_ms);
  if (!replica->kill_pending)
    return;
  kill_replica (replica, TORN_BYTES);
  if (!replica->wipe_pending)
    return;
  replica->wipe_pending = false;
  replica->published_version = 0;
  fakedisk_wipe (replica->disk);
}

static void
deliver (struct logsim *sim, struct message *message)
{
  struct replica *replica = &sim->replicas[message->to];
  struct rpc_body body = { 0 };
  XDR xdr;

  if (replica->log != NULL && !replica->frozen)
    count_step (sim, replica->id, false);
  if (replica->log == NULL
      || sim->blocked_links[message->from][message->to] > 0)
    {
      message_free (message);
      return;
    }
  if (replica->frozen)
    {
      g_queue_push_tail (&replica->held_messages, message);
      return;
    }
  xdrmem_create (&xdr, (char *)message->bytes->data, message->bytes->len,
                 XDR_DECODE);
  xdr_rpc_body (&xdr, &body);
  xdr_destroy (&xdr);
  jc_rlog_receive (replica->log, sim->replicas[message->from].name, &body,
                   sim->now_ms);
  xdr_free ((xdrproc_t)xdr_rpc_body, (char *)&body);
  message_free (message);
  flush_replica (replica);
}

static void
tick_all (struct logsim *sim)
{
  for (int i = 0; i < sim->count; i++)
    {
      struct replica *replica = &sim->replicas[i];

      if (replica->log == NULL || replica->frozen)
        continue;
      jc_rlog_tick (replica->log, sim->now_ms);
      flush_replica (replica);
    }
}

static void
run_repairs (struct logsim *sim)
{
  GList *next;

  for (GList *at = sim->repairs.head; at != NULL; at = next)
    {
      struct repair *repair = at->data;

      next = at->next;
      if (repair->due_ms > sim->now_ms)
        continue;
      logsim_clear_fault (sim, repair->kind, repair->target);
      g_queue_delete_link (&sim->repairs, at);
      g_free (repair);
    }
}

/* Advance the time by MS.  */
void
logsim_run (struct logsim *sim, int64_t ms)
{
  for (int64_t end = sim->now_ms + ms; sim->now_ms < end; sim->now_ms++)
    {
      struct message *message;

      run_repairs (sim);
      if (sim->now_ms % TICK_MS == 0)
        tick_all (sim);
      while ((message = g_queue_peek_head (&sim->messages)) != NULL
             && message->deliver_ms <= sim->now_ms)
        deliver (sim, g_queue_pop_head (&sim->messages));
    }
}

static void
on_done (void *ctx, enum jc_status status)
{
  struct submission *submission = ctx;
  struct logsim *sim = submission->replica->sim;
  const struct jc_submit_result *result = sim->applied_result;

  if (submission->replica->kill_pending)
    status = JC_OUTCOME_UNKNOWN;
  if (status == JC_OK)
    submission->answer (submission->ctx, submission->change_id, result->status,
                        result->version);
  else
    submission->answer (submission->ctx, submission->change_id, status, 0);
  g_free (submission->change_id);
  g_free (submission);
}

/* Submit a change that puts the region OBJECT, on top of version EXPECTED, at
   REPLICA.  ANSWER is called once with CTX, possibly from within this call.  A
   replica that is down or frozen answers JC_UNREACHABLE.  */
void
logsim_submit (struct logsim *sim, int replica, const char *change_id,
               uint64_t expected, const char *object, logsim_answer_fn *answer,
               void *ctx)
{
  char *json = g_strdup_printf (
      "{\"put\":[{\"kind\":\"region\",\"name\":\"%s\"}]}", object);
  struct rpc_submit submit
      = { .change_id = (char *)change_id,
          .expected_version = expected,
          .author = "operator",
          .json
          = { .rpc_bytes_val = json, .rpc_bytes_len = (u_int)strlen (json) } };
  struct submission *submission;
  GString *data;

  if (sim->replicas[replica].log == NULL || sim->replicas[replica].frozen)
    {
      answer (ctx, change_id, JC_UNREACHABLE, 0);
      g_free (json);
      return;
    }
  submission = g_new0 (struct submission, 1);
  submission->replica = &sim->replicas[replica];
  submission->change_id = g_strdup (change_id);
  submission->answer = answer;
  submission->ctx = ctx;
  data = jc_confstate_encode_submit (&submit);
  jc_rlog_propose (sim->replicas[replica].log, CONFIG_CHANGE_KIND,
                   jc_str_from_gstring (data), on_done, submission);
  flush_replica (&sim->replicas[replica]);
  g_string_free (data, TRUE);
  g_free (json);
}

/* Return the log of REPLICA, or NULL while it is down.  */
struct jc_rlog *
logsim_log (const struct logsim *sim, int replica)
{
  return sim->replicas[replica].log;
}

/* Return the configuration version of REPLICA, 0 while it is down.  */
uint64_t
logsim_version (const struct logsim *sim, int replica)
{
  const struct jc_confstate *confstate = sim->replicas[replica].confstate;

  return confstate != NULL ? confstate->config->version : 0;
}

/* Return the highest version that was published to an entry instance.  */
uint64_t
logsim_entry_version (const struct logsim *sim)
{
  return sim->entry_version;
}

/* Return the number of the running leader with the highest term, or -1.  */
int
logsim_leader (const struct logsim *sim)
{
  int leader = -1;

  for (int i = 0; i < sim->count; i++)
    {
      const struct jc_rlog *log = sim->replicas[i].log;

      if (log == NULL || sim->replicas[i].frozen
          || jc_rlog_role (log) != JC_RLOG_LEADER)
        continue;
      if (leader < 0
          || jc_rlog_term (log) > jc_rlog_term (sim->replicas[leader].log))
        leader = i;
    }
  return leader;
}

/* Return the virtual time in ms.  */
int64_t
logsim_now (const struct logsim *sim)
{
  return sim->now_ms;
}

/* Return the number of steps counted so far.  */
uint64_t
logsim_steps (const struct logsim *sim)
{
  return sim->steps;
}

/* Return the first violated invariant, or NULL.  */
const char *
logsim_violation (const struct logsim *sim)
{
  return sim->violation;
}

/* Return whether all faults are repaired, all replicas are up, and all have
   applied the log up to the same last entry.  */
bool
logsim_converged (const struct logsim *sim)
{
  int leader = logsim_leader (sim);

  if (leader < 0 || sim->repairs.length > 0)
    return false;
  for (int i = 0; i < sim->count; i++)
    {
      const struct jc_rlog *log = sim->replicas[i].log;

      if (log == NULL || sim->replicas[i].frozen
          || jc_rlog_applied_index (log) != jc_rlog_last_index (log)
          || jc_rlog_last_index (log)
                 != jc_rlog_last_index (sim->replicas[leader].log))
        return false;
    }
  return true;
}

/* Return whether all scheduled faults are repaired and the leader has TARGET
   as a voter, on its current disk, that has applied as much as the leader.  */
bool
logsim_recovered (const struct logsim *sim, int target)
{
  int leader = logsim_leader (sim);
  const struct jc_rlog *log = sim->replicas[target].log;
  const struct rpc_replica *row;

  if (leader < 0 || log == NULL || sim->repairs.length > 0
      || sim->faults_started < sim->faults->len)
    return false;
  row = jc_replicas_find (jc_rlog_replicas (sim->replicas[leader].log),
                          sim->replicas[target].name);
  return row != NULL && row->voter
         && row->incarnation == jc_rlog_incarnation (log)
         && jc_rlog_applied_index (log)
                == jc_rlog_applied_index (sim->replicas[leader].log);
}

/* Return whether all replicas are voters.  */
bool
logsim_all_vote (const struct logsim *sim)
{
  int leader = logsim_leader (sim);

  return leader >= 0
         && jc_replicas_count_voters (
                jc_rlog_replicas (sim->replicas[leader].log))
                == (unsigned int)sim->count;
}

/* Return the name of the fault KIND, as scripts use it.  */
const char *
logsim_fault_name (enum logsim_fault_kind kind)
{
  static const char *const names[]
      = { "kill",     "kill-torn", "kill-wipe", "freeze",  "cut-in", "cut-out",
          "cut-both", "disk-fail", "duplicate", "reorder", "delay" };

  return names[kind];
}

/* Check the answer to CHANGE_ID against the log: an accepted change has
   VERSION there, and a rejected one is not accepted in it.  */
void
logsim_check_accepted (struct logsim *sim, const char *change_id,
                       enum jc_status status, uint64_t version)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t got = 0;

  g_hash_table_iter_init (&iter, sim->accepted_changes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (strcmp (value, change_id) == 0)
      {
        if (got != 0)
          record_violation (sim, "%s was accepted twice", change_id);
        got = GPOINTER_TO_UINT (key);
      }
  if (status == JC_OK && got != version)
    record_violation (sim, "%s was answered %lu, but the log has %lu",
                      change_id, (unsigned long)version, (unsigned long)got);
  if (status == JC_VERSION_CONFLICT && got != 0)
    record_violation (sim, "%s was answered with a conflict, but was accepted",
                      change_id);
}
