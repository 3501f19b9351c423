/* Replicas of the log on virtual time.  */

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
  CHUNK_BYTES = 300,
  DELAY_MS = 500,
  REORDER_MS = 9,
  AGAIN_MS = 120,
  TORN_BYTES = 9,
  RESTART_MS = 400,
  HEAL_MS = 700
};

/* One replica: its process, its disk and what it handed out from it.  */
struct replica
{
  struct logsim *sim;
  int id;
  char name[8];
  struct jc_disk *disk;
  struct jc_rlog *log;
  struct jc_confstate *changes;
  uint64_t boots;
  uint64_t handed;
  bool frozen;
  bool dying;
  bool wiping;
  GQueue held;
};

/* A message on its way.  */
struct message
{
  int64_t at_ms;
  int from;
  int to;
  GByteArray *bytes;
};

/* A fault that heals later.  */
struct healing
{
  int64_t at_ms;
  enum logsim_fault_kind kind;
  int target;
};

/* A submission under way at a replica.  */
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
  int cuts[LOGSIM_REPLICAS_MAX][LOGSIM_REPLICAS_MAX];
  GQueue messages;
  GQueue healing;
  GArray *plan;
  guint fired;
  GPtrArray *committed;
  GHashTable *accepted;
  const struct jc_submit_result *applied_answer;
  uint64_t in_force;
  char *violation;
};

static void start_replica (struct replica *replica);
static void settle (struct replica *replica);

static void
violate (struct logsim *sim, const char *fmt, ...)
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
message_order (gconstpointer a, gconstpointer b, gpointer ctx)
{
  const struct message *first = a;
  const struct message *second = b;

  (void)ctx;
  return first->at_ms <= second->at_ms ? -1 : 1;
}

static void
put_message (struct logsim *sim, int from, int to, const GByteArray *bytes,
             int64_t at_ms)
{
  struct message *message = g_new0 (struct message, 1);

  message->from = from;
  message->to = to;
  message->at_ms = at_ms;
  message->bytes = g_byte_array_new ();
  g_byte_array_append (message->bytes, bytes->data, bytes->len);
  g_queue_insert_sorted (&sim->messages, message, message_order, NULL);
}

static void
kill_replica (struct replica *replica, size_t keep)
{
  if (replica->log == NULL)
    return;
  jc_rlog_free (replica->log);
  jc_confstate_free (replica->changes);
  replica->log = NULL;
  replica->changes = NULL;
  replica->dying = false;
  replica->frozen = false;
  g_queue_clear_full (&replica->held, message_free);
  fakedisk_crash (replica->disk, keep);
}

static void
cut (struct logsim *sim, int target, bool in, bool out, int by)
{
  for (int i = 0; i < sim->count; i++)
    {
      if (i == target)
        continue;
      sim->cuts[i][target] += in ? by : 0;
      sim->cuts[target][i] += out ? by : 0;
    }
}

/* Do the fault KIND to the replica TARGET.  It lasts until logsim_clear_fault.
 */
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
    cut (sim, target, kind != LOGSIM_CUT_OUT, kind != LOGSIM_CUT_IN, 1);
  if (kind == LOGSIM_KILL_WIPE)
    {
      fakedisk_wipe (replica->disk);
      replica->handed = 0;
    }
}

static void
wake (struct replica *replica)
{
  struct message *message;

  replica->frozen = false;
  while ((message = g_queue_pop_head (&replica->held)) != NULL)
    {
      put_message (replica->sim, message->from, message->to, message->bytes,
                   replica->sim->now_ms);
      message_free (message);
    }
}

/* End the fault KIND of the replica TARGET.  */
void
logsim_clear_fault (struct logsim *sim, enum logsim_fault_kind kind, int target)
{
  struct replica *replica = &sim->replicas[target];

  if (kind == LOGSIM_FREEZE)
    wake (replica);
  else if (kind >= LOGSIM_CUT_IN && kind <= LOGSIM_CUT_BOTH)
    cut (sim, target, kind != LOGSIM_CUT_OUT, kind != LOGSIM_CUT_IN, -1);
  else
    {
      kill_replica (replica, 0);
      fakedisk_fail_after (replica->disk, -1);
      start_replica (replica);
    }
}

static void
heal_later (struct logsim *sim, enum logsim_fault_kind kind, int target)
{
  bool restarts = kind < LOGSIM_FREEZE;
  struct healing *healing = g_new0 (struct healing, 1);

  healing->at_ms = sim->now_ms + (restarts ? RESTART_MS : HEAL_MS);
  healing->kind = kind;
  healing->target = target;
  g_queue_push_tail (&sim->healing, healing);
}

static void
run_fault (struct logsim *sim, const struct logsim_fault *fault, int actor)
{
  struct replica *replica = &sim->replicas[fault->target];

  heal_later (sim, fault->kind, fault->target);
  if (fault->target == actor && fault->kind <= LOGSIM_KILL_WIPE)
    {
      /* It runs just now; it dies when its input is done.  */
      replica->dying = true;
      fakedisk_fail_after (replica->disk, 0);
      replica->wiping = fault->kind == LOGSIM_KILL_WIPE;
    }
  else
    logsim_inject_fault (sim, fault->kind, fault->target);
}

/* Count a step of ACTOR and run the faults that are planned for it.  Return
   the message fault that hits it, or LOGSIM_FAULT_KINDS.  */
static enum logsim_fault_kind
count_step (struct logsim *sim, int actor, bool is_send)
{
  enum logsim_fault_kind hit = LOGSIM_FAULT_KINDS;

  sim->steps++;
  for (guint i = 0; i < sim->plan->len; i++)
    {
      const struct logsim_fault *fault
          = &g_array_index (sim->plan, struct logsim_fault, i);

      if (fault->step != sim->steps)
        continue;
      sim->fired++;
      if (fault->kind >= LOGSIM_DUPLICATE)
        hit = is_send ? fault->kind : hit;
      else
        run_fault (sim, fault, actor);
    }
  return hit;
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
  enum logsim_fault_kind hit;
  GByteArray *bytes;
  int64_t at = sim->now_ms + LATENCY_MS;
  XDR xdr;

  if (target < 0)
    return;
  hit = count_step (sim, replica->id, true);
  if (replica->dying || sim->cuts[replica->id][target] > 0)
    return;
  bytes = g_byte_array_new ();
  g_byte_array_set_size (
      bytes, (guint)xdr_sizeof ((xdrproc_t)xdr_rpc_body, (void *)body));
  xdrmem_create (&xdr, (char *)bytes->data, bytes->len, XDR_ENCODE);
  xdr_rpc_body (&xdr, (struct rpc_body *)body);
  xdr_destroy (&xdr);
  if (hit == LOGSIM_DUPLICATE)
    put_message (sim, replica->id, target, bytes, at + AGAIN_MS);
  if (hit == LOGSIM_REORDER)
    at += REORDER_MS;
  if (hit == LOGSIM_DELAY)
    at += DELAY_MS;
  put_message (sim, replica->id, target, bytes, at);
  g_byte_array_free (bytes, TRUE);
}

/* Check that every replica applies the same entry at INDEX.  */
static void
check_committed (struct logsim *sim, const struct replica *replica,
                 uint64_t index, uint32_t kind, struct jc_str data)
{
  GBytes *bytes = g_bytes_new (data.data, data.len);

  (void)kind;
  if (index == sim->committed->len + 1)
    g_ptr_array_add (sim->committed, g_bytes_ref (bytes));
  else if (index > sim->committed->len
           || !g_bytes_equal (bytes,
                              g_ptr_array_index (sim->committed, index - 1)))
    violate (sim, "%s applies another entry %lu", replica->name,
             (unsigned long)index);
  g_bytes_unref (bytes);
}

/* An entry instance takes what the replica hands out.  */
static void
hand_out (struct replica *replica)
{
  uint64_t version = replica->changes->config->version;

  if (replica->dying)
    return;
  replica->handed = MAX (replica->handed, version);
  replica->sim->in_force = MAX (replica->sim->in_force, version);
}

/* Check that VERSION has one change only.  */
static void
check_winner (struct logsim *sim, const char *change_id, uint64_t version)
{
  const char *winner
      = g_hash_table_lookup (sim->accepted, GUINT_TO_POINTER (version));

  if (winner == NULL)
    g_hash_table_insert (sim->accepted, GUINT_TO_POINTER (version),
                         g_strdup (change_id));
  else if (strcmp (winner, change_id) != 0)
    violate (sim, "version %lu has two winners", (unsigned long)version);
}

static void
on_applied (void *ctx, uint64_t index, uint32_t kind, struct jc_str data)
{
  struct replica *replica = ctx;
  struct logsim *sim = replica->sim;

  check_committed (sim, replica, index, kind, data);
  if (kind != 1)
    return;
  sim->applied_answer = jc_confstate_apply (replica->changes, data);
  if (sim->applied_answer->status == JC_OK)
    check_winner (sim, sim->applied_answer->change_id,
                  sim->applied_answer->version);
  hand_out (replica);
}

static void
on_restore (void *ctx, uint64_t index, struct jc_str snapshot)
{
  struct replica *replica = ctx;
  json_t *json = json_loadb (snapshot.data, snapshot.len, 0, NULL);

  (void)index;
  if (jc_confstate_restore (replica->changes, json) != JC_OK)
    violate (replica->sim, "%s can't read its snapshot", replica->name);
  json_decref (json);
  hand_out (replica);
}

static void
on_snapshot (void *ctx, GString *out)
{
  struct replica *replica = ctx;
  json_t *json = json_object ();
  char *text;

  jc_confstate_snapshot (replica->changes, json);
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
  uint64_t salt = sim->seed + (uint64_t)replica->id * 100 + ++replica->boots;
  struct jc_rlog_options options = { .name = replica->name,
                                     .seed = salt,
                                     .new_incarnation = salt,
                                     .election_ms = ELECTION_MS,
                                     .heartbeat_ms = HEARTBEAT_MS,
                                     .snapshot_entries = SNAPSHOT_ENTRIES,
                                     .snapshot_chunk_bytes = CHUNK_BYTES };
  enum jc_status status;

  replica->changes = jc_confstate_new ();
  replica->log = jc_rlog_open (replica->disk, &options, &sim_class, replica,
                               sim->now_ms, &status);
  if (replica->log == NULL)
    {
      violate (sim, "%s can't start: %s", replica->name, jc_last_message ());
      jc_confstate_free (replica->changes);
      replica->changes = NULL;
    }
  else if (replica->changes->config->version < replica->handed)
    violate (sim, "%s is back with version %lu after handing out %lu",
             replica->name, (unsigned long)replica->changes->config->version,
             (unsigned long)replica->handed);
}

/* Return REPLICAS replicas of which the first has founded the log, with the
   others in it or ALONE.  */
static struct logsim *
sim_new (int replicas, uint64_t seed, bool alone)
{
  struct logsim *sim = g_new0 (struct logsim, 1);
  struct rpc_replicas others = { 0 };

  jc_log_setup (JC_LOG_ERROR + 1, false);
  sim->count = replicas;
  sim->seed = seed;
  sim->plan = g_array_new (FALSE, FALSE, sizeof (struct logsim_fault));
  sim->committed
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  sim->accepted = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_queue_init (&sim->messages);
  g_queue_init (&sim->healing);
  for (int i = 0; i < replicas; i++)
    {
      struct replica *replica = &sim->replicas[i];
      struct rpc_replica row = { .name = replica->name, .standing = true };

      replica->sim = sim;
      replica->id = i;
      g_snprintf (replica->name, sizeof replica->name, "s%d", i + 1);
      replica->disk = fakedisk_new ();
      g_queue_init (&replica->held);
      start_replica (replica);
      if (i > 0 && !alone)
        jc_replicas_put (&others, &row);
    }
  jc_rlog_bootstrap (sim->replicas[0].log, seed + 1, &others);
  jc_replicas_clear (&others);
  return sim;
}

/* Return REPLICAS replicas of which the first has founded the log.  */
struct logsim *
logsim_new (int replicas, uint64_t seed)
{
  return sim_new (replicas, seed, false);
}

/* Return REPLICAS replicas of which the first has founded the log alone; the
   others are in it once they are put there.  */
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

/* Tell whether messages pass between ONE and ANOTHER, both ways.  */
bool
logsim_connected (const struct logsim *sim, int one, int another)
{
  return sim->replicas[one].log != NULL && sim->replicas[another].log != NULL
         && sim->cuts[one][another] == 0 && sim->cuts[another][one] == 0;
}

/* Take what was just done at REPLICA to its disk and its peers.  */
void
logsim_flush (struct logsim *sim, int replica)
{
  settle (&sim->replicas[replica]);
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
  g_queue_clear_full (&sim->healing, g_free);
  g_array_free (sim->plan, TRUE);
  g_ptr_array_free (sim->committed, TRUE);
  g_hash_table_destroy (sim->accepted);
  g_free (sim->violation);
  g_free (sim);
}

/* Let FAULT happen at its step, and heal some time after.  */
void
logsim_schedule_fault (struct logsim *sim, const struct logsim_fault *fault)
{
  g_array_append_val (sim->plan, *fault);
}

static void
settle (struct replica *replica)
{
  jc_rlog_flush (replica->log, replica->sim->now_ms);
  if (!replica->dying)
    return;
  kill_replica (replica, TORN_BYTES);
  if (!replica->wiping)
    return;
  replica->wiping = false;
  replica->handed = 0;
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
  if (replica->log == NULL || sim->cuts[message->from][message->to] > 0)
    {
      message_free (message);
      return;
    }
  if (replica->frozen)
    {
      g_queue_push_tail (&replica->held, message);
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
  settle (replica);
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
      settle (replica);
    }
}

static void
heal (struct logsim *sim)
{
  GList *next;

  for (GList *at = sim->healing.head; at != NULL; at = next)
    {
      struct healing *healing = at->data;

      next = at->next;
      if (healing->at_ms > sim->now_ms)
        continue;
      logsim_clear_fault (sim, healing->kind, healing->target);
      g_queue_delete_link (&sim->healing, at);
      g_free (healing);
    }
}

/* Let MS pass.  */
void
logsim_run (struct logsim *sim, int64_t ms)
{
  for (int64_t end = sim->now_ms + ms; sim->now_ms < end; sim->now_ms++)
    {
      struct message *message;

      heal (sim);
      if (sim->now_ms % TICK_MS == 0)
        tick_all (sim);
      while ((message = g_queue_peek_head (&sim->messages)) != NULL
             && message->at_ms <= sim->now_ms)
        deliver (sim, g_queue_pop_head (&sim->messages));
    }
}

static void
on_done (void *ctx, enum jc_status status)
{
  struct submission *submission = ctx;
  struct logsim *sim = submission->replica->sim;
  const struct jc_submit_result *answer = sim->applied_answer;

  if (submission->replica->dying)
    status = JC_OUTCOME_UNKNOWN;
  if (status == JC_OK)
    submission->answer (submission->ctx, submission->change_id, answer->status,
                        answer->version);
  else
    submission->answer (submission->ctx, submission->change_id, status, 0);
  g_free (submission->change_id);
  g_free (submission);
}

/* Submit the region OBJECT at REPLICA.  ANSWER hears once, perhaps at once,
   perhaps late.  */
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
  jc_rlog_propose (sim->replicas[replica].log, 1, jc_str_of (data), on_done,
                   submission);
  settle (&sim->replicas[replica]);
  g_string_free (data, TRUE);
  g_free (json);
}

/* Return the log of REPLICA, NULL while it is down.  */
struct jc_rlog *
logsim_log (const struct logsim *sim, int replica)
{
  return sim->replicas[replica].log;
}

/* Return the version that REPLICA holds, 0 while it is down.  */
uint64_t
logsim_version (const struct logsim *sim, int replica)
{
  const struct jc_confstate *changes = sim->replicas[replica].changes;

  return changes != NULL ? changes->config->version : 0;
}

/* Return the highest version that any entry instance has in force.  */
uint64_t
logsim_entry_version (const struct logsim *sim)
{
  return sim->in_force;
}

/* Return the replica that leads in the highest term, or -1.  */
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

/* Return the time, ms.  */
int64_t
logsim_now (const struct logsim *sim)
{
  return sim->now_ms;
}

/* Return how many steps were counted.  */
uint64_t
logsim_steps (const struct logsim *sim)
{
  return sim->steps;
}

/* Return what was violated, or NULL.  */
const char *
logsim_violation (const struct logsim *sim)
{
  return sim->violation;
}

/* Tell whether all replicas are up and hold the same.  */
bool
logsim_converged (const struct logsim *sim)
{
  int leader = logsim_leader (sim);

  if (leader < 0 || sim->healing.length > 0)
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

/* Tell whether all planned faults are over and a leader counts TARGET as a
   voter that holds everything.  */
bool
logsim_recovered (const struct logsim *sim, int target)
{
  int leader = logsim_leader (sim);
  const struct jc_rlog *log = sim->replicas[target].log;
  const struct rpc_replica *row;

  if (leader < 0 || log == NULL || sim->healing.length > 0
      || sim->fired < sim->plan->len)
    return false;
  row = jc_replicas_find (jc_rlog_replicas (sim->replicas[leader].log),
                          sim->replicas[target].name);
  return row != NULL && row->voter
         && row->incarnation == jc_rlog_incarnation (log)
         && jc_rlog_applied_index (log)
                == jc_rlog_applied_index (sim->replicas[leader].log);
}

/* Tell whether all replicas vote.  */
bool
logsim_all_vote (const struct logsim *sim)
{
  int leader = logsim_leader (sim);

  return leader >= 0
         && jc_replicas_count_voters (
                jc_rlog_replicas (sim->replicas[leader].log))
                == (unsigned int)sim->count;
}

/* Return the name of the fault KIND.  */
const char *
logsim_fault_name (enum logsim_fault_kind kind)
{
  static const char *const names[]
      = { "kill",     "kill-torn", "kill-wipe", "freeze",  "cut-in", "cut-out",
          "cut-both", "disk-fail", "duplicate", "reorder", "delay" };

  return names[kind];
}

/* Check the answer to CHANGE_ID against what the log came to: an accepted
   one has its version, a refused one has none.  */
void
logsim_check_accepted (struct logsim *sim, const char *change_id,
                       enum jc_status status, uint64_t version)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  uint64_t got = 0;

  g_hash_table_iter_init (&iter, sim->accepted);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (strcmp (value, change_id) == 0)
      {
        if (got != 0)
          violate (sim, "%s was accepted twice", change_id);
        got = GPOINTER_TO_UINT (key);
      }
  if (status == JC_OK && got != version)
    violate (sim, "%s was told %lu, the log says %lu", change_id,
             (unsigned long)version, (unsigned long)got);
  if (status == JC_VERSION_CONFLICT && got != 0)
    violate (sim, "%s was told a conflict, but is accepted", change_id);
}
