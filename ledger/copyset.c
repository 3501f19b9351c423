/* Copy set of the ledger: its members and its entry in the replicated log.

   The entry in the replicated log names the disk that is the ledger and the
   members that hold copies.  A member is identified by name and incarnation.
   A record is committed once it is acknowledged by every member of the entry
   in force and of every proposal that may have been committed, so each member
   of the last entry has every grant.  */

#include <string.h>

#include "ledger/private.h"

enum
{
  MEMBERS_MAX = 16,
  PROPOSE_RETRY_MS = 1000
};

/* Return the instance NAME, or NULL if it never connected.  */
struct peer *
ledger_find_peer (const struct jc_ledger *ledger, const char *name)
{
  return g_hash_table_lookup (ledger->peers, name);
}

/* Add the instance NAME with INCARNATION to the pending members, unless it is
   one already.  */
void
ledger_add_pending_member (struct jc_ledger *ledger, const char *name,
                           uint64_t incarnation)
{
  struct rpc_ledger_member *member;

  for (guint i = 0; i < ledger->pending_members->len; i++)
    {
      member = g_ptr_array_index (ledger->pending_members, i);
      if (member->incarnation == incarnation
          && strcmp (member->name, name) == 0)
        return;
    }
  member = g_new0 (struct rpc_ledger_member, 1);
  member->name = g_strdup (name);
  member->incarnation = incarnation;
  g_ptr_array_add (ledger->pending_members, member);
}

/* Call FN with each member that records must wait for: those of the copy set
   in force and the pending ones.  Stop and return false once FN returns
   false.  */
static bool
foreach_awaited_member (const struct jc_ledger *ledger,
                        bool (*fn) (const struct jc_ledger *ledger,
                                    const struct rpc_ledger_member *member,
                                    void *ctx),
                        void *ctx)
{
  const struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (!fn (ledger, &set->members.members_val[i], ctx))
      return false;
  for (guint i = 0; i < ledger->pending_members->len; i++)
    if (!fn (ledger, g_ptr_array_index (ledger->pending_members, i), ctx))
      return false;
  return true;
}

/* Return the instance of MEMBER if it is connected with that incarnation, else
   NULL.  */
const struct peer *
ledger_find_member_peer (const struct jc_ledger *ledger,
                         const struct rpc_ledger_member *member)
{
  const struct peer *peer = ledger_find_peer (ledger, member->name);

  return peer != NULL && peer->incarnation == member->incarnation ? peer : NULL;
}

static bool
lower_to_acked_sequence (const struct jc_ledger *ledger,
                         const struct rpc_ledger_member *member, void *ctx)
{
  const struct peer *peer = ledger_find_member_peer (ledger, member);
  uint64_t *least = ctx;

  *least = MIN (*least, peer != NULL ? peer->acked : 0);
  return true;
}

/* Return the sequence up to which all records are synced here and
   acknowledged by every member that records wait for.  */
uint64_t
ledger_committed_sequence (const struct jc_ledger *ledger)
{
  uint64_t least = ledger->synced_sequence;

  foreach_awaited_member (ledger, lower_to_acked_sequence, &least);
  return least;
}

static bool
is_member_synced (const struct jc_ledger *ledger,
                  const struct rpc_ledger_member *member, void *ctx)
{
  const struct peer *peer = ledger_find_member_peer (ledger, member);

  (void)ctx;
  return peer != NULL && peer->connected && peer->synced;
}

/* Return whether claims can be granted now.  They can't in the first
   NO_COPIES_WAIT_MS of serving while the copy set is empty, unless no copies
   are wanted, nor once members that records wait for have been unsynced for
   COPY_LOST_MS.  */
bool
ledger_can_grant (const struct jc_ledger *ledger)
{
  int64_t now = ledger->now_ms;

  if (ledger->set.members.members_len == 0 && ledger->options.copies > 0
      && now - ledger->serving_since_ms < ledger->options.no_copies_wait_ms)
    return false;
  return ledger->degraded_since_ms == 0
         || now - ledger->degraded_since_ms < ledger->options.copy_lost_ms;
}

/* Return whether PEER is a member of the copy set in force.  */
bool
ledger_is_member (const struct jc_ledger *ledger, const struct peer *peer)
{
  const struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (strcmp (set->members.members_val[i].name, peer->name) == 0
        && set->members.members_val[i].incarnation == peer->incarnation)
      return true;
  return false;
}

/* Return the connected instances that may hold copies, ordered by name; the
   caller frees the list.  */
GList *
ledger_list_copy_candidates (const struct jc_ledger *ledger)
{
  GList *names = g_list_sort (g_hash_table_get_keys (ledger->peers),
                              (GCompareFunc)strcmp);
  GList *out = NULL;

  for (GList *at = names; at != NULL; at = at->next)
    {
      struct peer *peer = ledger_find_peer (ledger, at->data);

      if (peer->connected && peer->may_copy)
        out = g_list_append (out, peer);
    }
  g_list_free (names);
  return out;
}

/* Return whether MEMBER should stay in the copy set: it is connected and
   synced, or has been missing for less than COPY_LOST_MS.  */
static bool
should_keep_member (const struct jc_ledger *ledger,
                    const struct rpc_ledger_member *member)
{
  const struct peer *peer = ledger_find_peer (ledger, member->name);
  int64_t since = ledger->serving_since_ms;

  if (peer != NULL && peer->incarnation != member->incarnation)
    return false;
  if (peer != NULL && peer->connected && peer->synced)
    return true;
  if (ledger->degraded_since_ms != 0)
    since = MAX (since, ledger->degraded_since_ms);
  return ledger->now_ms - since < ledger->options.copy_lost_ms;
}

static void
add_member (struct rpc_ledger_set *set, const char *name, uint64_t incarnation)
{
  struct rpc_ledger_member *member
      = &set->members.members_val[set->members.members_len++];

  member->name = (char *)name;
  member->incarnation = incarnation;
}

/* Fill TARGET with the members that the copy set should have: those in force
   without the lost ones, and synced candidates up to the number wanted.
   Return whether they differ from those in force.  */
static bool
fill_target_set (const struct jc_ledger *ledger, struct rpc_ledger_set *target)
{
  const struct rpc_ledger_set *set = &ledger->set;
  GList *list = ledger_list_copy_candidates (ledger);
  uint64_t committed = ledger_committed_sequence (ledger);
  bool changed = false;

  for (u_int i = 0; i < set->members.members_len; i++)
    if (should_keep_member (ledger, &set->members.members_val[i]))
      add_member (target, set->members.members_val[i].name,
                  set->members.members_val[i].incarnation);
    else
      changed = true;
  for (GList *at = list; at != NULL; at = at->next)
    {
      const struct peer *peer = at->data;

      if (target->members.members_len >= ledger->options.copies
          || ledger_is_member (ledger, peer) || !peer->synced
          || peer->acked < committed)
        continue;
      add_member (target, peer->name, peer->incarnation);
      changed = true;
    }
  g_list_free (list);
  return changed;
}

/* Propose a copy set of this disk with the members and the epoch of TARGET.
   The pending members are saved before the proposal is sent, because it may
   commit without this instance ever learning of it.  */
static void
propose_members (struct jc_ledger *ledger, struct rpc_ledger_set *target)
{
  target->home = (char *)ledger->options.home;
  target->ledger = (char *)ledger->options.name;
  target->revision = ledger->set.revision + 1;
  target->ledger_incarnation = ledger->incarnation;
  for (u_int i = 0; i < target->members.members_len; i++)
    ledger_add_pending_member (ledger, target->members.members_val[i].name,
                               target->members.members_val[i].incarnation);
  ledger->pending_revision = ledger->set.revision;
  if (ledger->pending_members->len > MEMBERS_MAX
      || ledger_save_pending (ledger) != JC_OK)
    return;
  ledger->proposed_ms = ledger->now_ms;
  ledger->ops->propose_set (ledger->ctx, target);
}

static bool
is_proposal_due (const struct jc_ledger *ledger)
{
  return ledger->proposed_ms == 0
         || ledger->now_ms - ledger->proposed_ms >= PROPOSE_RETRY_MS;
}

static void
tick_serving (struct jc_ledger *ledger)
{
  struct rpc_ledger_member members[MEMBERS_MAX];
  struct rpc_ledger_set target
      = { .epoch = ledger->set.epoch, .members.members_val = members };
  bool all_synced = foreach_awaited_member (ledger, is_member_synced, NULL);

  if (all_synced)
    ledger->degraded_since_ms = 0;
  else if (ledger->degraded_since_ms == 0)
    ledger->degraded_since_ms = ledger->now_ms;
  ledger_start_due_transfers (ledger);
  if (ledger->state == JC_LEDGER_SERVING && is_proposal_due (ledger)
      && (fill_target_set (ledger, &target)
          || ledger->pending_members->len > 0))
    propose_members (ledger, &target);
}

/* Propose this disk as the ledger in a new epoch.  WITH_MEMBERS keeps the
   members of the copy set in force; after a rebuild they hold all that was
   rebuilt.  */
void
ledger_propose_this_disk (struct jc_ledger *ledger, bool with_members)
{
  struct rpc_ledger_set target = { .epoch = ledger->set.epoch + 1 };

  if (!is_proposal_due (ledger))
    return;
  if (with_members)
    target.members = ledger->set.members;
  ledger->pending_revision = ledger->set.revision;
  ledger->disk = DISK_PROPOSED;
  if (ledger_rewrite (ledger) != JC_OK)
    return;
  propose_members (ledger, &target);
}

static void
reset_peers (struct jc_ledger *ledger)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, ledger->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      peer->acked = 0;
      peer->synced = false;
      peer->transfer_started_ms = 0;
      peer->lag_since_ms = 0;
    }
}

/* Start to serve, as the replicated log names this disk.  */
static void
start_serving (struct jc_ledger *ledger)
{
  ledger->disk = DISK_CURRENT;
  ledger->serving_since_ms = ledger->now_ms;
  ledger->last_sweep_ms = ledger->now_ms;
  ledger->degraded_since_ms = 0;
  ledger->state = JC_LEDGER_SERVING;
  reset_peers (ledger);
  ledger_index_granted (ledger);
  ledger_rewrite (ledger);
}

/* Enter recovery, as the replicated log names another disk.  If this disk was
   proposed and the entry has not changed since, it is proposed again; if the
   entry has changed, the records are pulled again under a new incarnation.  */
static void
enter_recovery (struct jc_ledger *ledger)
{
  ledger->state = JC_LEDGER_RECOVERING;
  if (ledger->disk == DISK_PROPOSED
      && ledger->pending_revision == ledger->set.revision)
    ledger->state = JC_LEDGER_REBUILT;
  else if (ledger->disk == DISK_PROPOSED)
    {
      ledger->disk = DISK_EMPTY;
      ledger->incarnation++;
      ledger_rewrite (ledger);
    }
}

/* Set the state according to the entry in the replicated log.  */
static void
update_state (struct jc_ledger *ledger)
{
  if (ledger->set.revision == 0)
    ledger->state = JC_LEDGER_STARTING;
  else if (ledger->set.ledger_incarnation == ledger->incarnation)
    start_serving (ledger);
  else
    enter_recovery (ledger);
}

/* Run the timers of the copy set in the current state.  */
void
ledger_copyset_tick (struct jc_ledger *ledger)
{
  if (ledger->state == JC_LEDGER_STARTING
      || ledger->state == JC_LEDGER_RECOVERING)
    update_state (ledger);
  if (ledger->state == JC_LEDGER_SERVING)
    tick_serving (ledger);
  else if (ledger->state == JC_LEDGER_STARTING)
    ledger_propose_this_disk (ledger, false);
  else if (ledger->state == JC_LEDGER_REBUILT)
    ledger_propose_this_disk (ledger, true);
  else if (ledger->state == JC_LEDGER_RECOVERING)
    ledger_tick_recovering (ledger);
}

/* Record that the instance NAME with INCARNATION connected.  MAY_COPY is set if
   records of the home region may be stored where it runs.  */
void
jc_ledger_peer_up (struct jc_ledger *ledger, const char *name,
                   uint64_t incarnation, bool may_copy, int64_t now_ms)
{
  struct peer *peer = ledger_find_peer (ledger, name);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->name = g_strdup (name);
      g_hash_table_insert (ledger->peers, peer->name, peer);
    }
  if (peer->incarnation != incarnation)
    peer->acked = 0;
  peer->incarnation = incarnation;
  peer->connected = true;
  peer->may_copy = may_copy;
  peer->conn_changed_ms = now_ms;
  peer->synced = false;
  peer->transfer_started_ms = 0;
}

/* Record that the instance NAME with INCARNATION disconnected.  This is ignored
   if a later incarnation has connected since.  */
void
jc_ledger_peer_down (struct jc_ledger *ledger, const char *name,
                     uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = ledger_find_peer (ledger, name);

  if (peer == NULL || peer->incarnation != incarnation)
    return;
  peer->connected = false;
  peer->synced = false;
  peer->conn_changed_ms = now_ms;
}

/* Free the members of the copy set in force and zero it.  */
void
ledger_clear_set (struct jc_ledger *ledger)
{
  struct rpc_ledger_set *set = &ledger->set;

  for (u_int i = 0; i < set->members.members_len; i++)
    g_free (set->members.members_val[i].name);
  g_free (set->members.members_val);
  memset (set, 0, sizeof *set);
}

static void
replace_set (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  u_int len = set->members.members_len;

  ledger_clear_set (ledger);
  ledger->set.revision = set->revision;
  ledger->set.epoch = set->epoch;
  ledger->set.ledger_incarnation = set->ledger_incarnation;
  ledger->set.members.members_len = len;
  ledger->set.members.members_val = g_new0 (struct rpc_ledger_member, len + 1);
  for (u_int i = 0; i < len; i++)
    {
      ledger->set.members.members_val[i].name
          = g_strdup (set->members.members_val[i].name);
      ledger->set.members.members_val[i].incarnation
          = set->members.members_val[i].incarnation;
    }
}

static void
adopt_set (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  bool own = set->ledger_incarnation == ledger->incarnation;

  replace_set (ledger, set);
  if (set->revision > ledger->pending_revision)
    g_ptr_array_set_size (ledger->pending_members, 0);
  ledger->proposed_ms = 0;
  if (ledger->state == JC_LEDGER_FAILED)
    return;
  if (!own || ledger->state != JC_LEDGER_SERVING)
    {
      ledger_drop_calls (ledger);
      ledger->state = JC_LEDGER_RECOVERING;
    }
  ledger_send_replies (ledger);
}

/* Adopt SET, which the replicated log committed.  It is ignored unless its
   revision follows that of the set in force: a proposal that was based on an
   older set has no effect.  */
void
jc_ledger_apply_set (struct jc_ledger *ledger, const struct rpc_ledger_set *set)
{
  if (strcmp (set->home, ledger->options.home) == 0
      && set->revision == ledger->set.revision + 1)
    adopt_set (ledger, set);
}

/* Adopt SET from a snapshot of the replicated log, unless it is older than the
   set in force.  */
void
jc_ledger_restore_set (struct jc_ledger *ledger,
                       const struct rpc_ledger_set *set)
{
  if (strcmp (set->home, ledger->options.home) == 0
      && set->revision > ledger->set.revision)
    adopt_set (ledger, set);
}

/* Propose this disk with the records that it has although some may be lost, for
   an operator's use when no copy is left.  Return JC_NOT_FOUND if the ledger is
   not recovering, JC_STORAGE_FAILED if the disk fails.  */
enum jc_status
jc_ledger_accept_loss (struct jc_ledger *ledger, int64_t now_ms)
{
  ledger->now_ms = now_ms;
  if (ledger->state != JC_LEDGER_RECOVERING)
    return jc_fail (JC_NOT_FOUND, "The ledger is %s; no loss to accept.",
                    jc_ledger_state_name (ledger->state));
  ledger->proposed_ms = 0;
  ledger->state = JC_LEDGER_REBUILT;
  ledger_propose_this_disk (ledger, true);
  return ledger->state == JC_LEDGER_FAILED ? JC_STORAGE_FAILED : JC_OK;
}

/* Return the number of members of the copy set in force.  */
guint
jc_ledger_count_members (const struct jc_ledger *ledger)
{
  return ledger->set.members.members_len;
}

/* Return how many members of the copy set in force are connected and
   synced.  */
guint
jc_ledger_count_synced_members (const struct jc_ledger *ledger)
{
  const struct rpc_ledger_set *set = &ledger->set;
  guint count = 0;

  for (u_int i = 0; i < set->members.members_len; i++)
    count += is_member_synced (ledger, &set->members.members_val[i], NULL);
  return count;
}
