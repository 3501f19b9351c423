/* Exchange of capacity summaries between zones.

   A follower subscribes once per connection and then gets a summary each
   interval.  It has the numbers of each service and model that changed by more
   than 1/SIMILAR_DIVISOR, identified by tag once their names were sent, and the
   list of instances if that changed.  A source that goes silent is replaced by
   another connected instance of its zone or region.  */

#include <string.h>

#include "member/summaries.h"

enum
{
  SUMMARY_MIN_MS = 1000,
  SUMMARY_MAX_MS = 3000,
  SUMMARY_PER_FOLLOWER_MS = 300,
  SOURCE_SILENT_MS = 7000,
  LISTED_INSTANCES_PER_ZONE = 4,
  SIMILAR_DIVISOR = 8,
  ASSUMED_SERVICE_TIME_MS = 1000
};

/* A connected instance of another zone.  SCOPE_ZONE is its zone, or empty if it
   is in another region: summaries then cover that whole region.  IS_FOLLOWER:
   it gets this instance's summaries; SENT_LOADS maps tags to the last numbers
   sent, SENT_LIST_HASH is the hash of the last list sent.  IS_SOURCE: this
   instance gets its summaries; RECEIVED_MS is when the last one came,
   FOUND_SILENT_MS when it was last given up as a source, 0 for never.  */
struct peer
{
  char *name;
  char *region;
  char *zone;
  const char *scope_zone;
  char *callers_address;
  uint64_t incarnation;
  bool draining;
  bool is_follower;
  uint64_t sent_sequence;
  GHashTable *sent_loads;
  uint64_t sent_list_hash;
  bool is_source;
  int64_t received_ms;
  int64_t found_silent_ms;
};

struct jc_summaries
{
  const struct jc_summaries_class *klass;
  void *ctx;
  struct jc_local_instance self;
  struct jc_endpoints *endpoints;
  struct jc_regions *regions;
  GHashTable *peers;
  bool draining;
  int64_t sent_ms;
};

/* What followers get: TABLE maps tags to rows, INSTANCES lists instances that
   callers elsewhere may use, HASH is a hash of that list.  ZONE is empty for
   the whole region.  TABLE is NULL if only the list is to be sent.  */
struct snapshot
{
  const char *zone;
  GHashTable *table;
  GArray *instances;
  uint64_t hash;
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->name);
  g_free (peer->region);
  g_free (peer->zone);
  g_free (peer->callers_address);
  g_hash_table_destroy (peer->sent_loads);
  g_free (peer);
}

/* Return the exchange of summaries of TABLES for the instance SELF, which is
   copied.  KLASS and the tables must outlive it.  Free it with
   jc_summaries_free.  */
struct jc_summaries *
jc_summaries_new (const struct jc_local_instance *self,
                  const struct jc_member_tables *tables,
                  const struct jc_summaries_class *klass, void *ctx)
{
  struct jc_summaries *summaries = g_new0 (struct jc_summaries, 1);

  summaries->klass = klass;
  summaries->ctx = ctx;
  summaries->self.name = g_strdup (self->name);
  summaries->self.region = g_strdup (self->region);
  summaries->self.zone = g_strdup (self->zone);
  summaries->self.callers_address = g_strdup (self->callers_address);
  summaries->self.incarnation = self->incarnation;
  summaries->endpoints = tables->endpoints;
  summaries->regions = tables->regions;
  summaries->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  summaries->sent_ms = -SUMMARY_MAX_MS;
  return summaries;
}

/* Free SUMMARIES; the tables stay.  */
void
jc_summaries_free (struct jc_summaries *summaries)
{
  g_hash_table_destroy (summaries->peers);
  g_free ((char *)summaries->self.name);
  g_free ((char *)summaries->self.region);
  g_free ((char *)summaries->self.zone);
  g_free ((char *)summaries->self.callers_address);
  g_free (summaries);
}

/* Send PEER the description of this instance.  */
static void
peer_send_self (struct jc_summaries *summaries, const struct peer *peer)
{
  struct rpc_instance self
      = { .name = (char *)summaries->self.name,
          .zone = (char *)summaries->self.zone,
          .callers_address = (char *)summaries->self.callers_address,
          .incarnation = summaries->self.incarnation,
          .draining = summaries->draining };
  struct rpc_region_summary summary
      = { .region = (char *)summaries->self.region,
          .zone = (char *)summaries->self.zone };

  summary.instances.instances_val = &self;
  summary.instances.instances_len = 1;
  summaries->klass->send (summaries->ctx, peer->name, &summary);
}

/* Ask PEER to send summaries, or to stop doing so unless SUBSCRIBE.  */
static void
peer_subscribe (struct jc_summaries *summaries, const struct peer *peer,
                bool subscribe)
{
  struct rpc_region_summary summary
      = { .region = (char *)summaries->self.region,
          .zone = (char *)summaries->self.zone,
          .follow = subscribe,
          .unfollow = !subscribe };

  summaries->klass->send (summaries->ctx, peer->name, &summary);
}

/* Handle a new connection to the instance PEER_NAME in ZONE of REGION, another
   zone than this instance's.  It runs as INCARNATION.  */
void
jc_summaries_peer_up (struct jc_summaries *summaries, const char *peer_name,
                      const char *region, const char *zone,
                      uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = g_new0 (struct peer, 1);
  bool same_region = strcmp (region, summaries->self.region) == 0;

  peer->name = g_strdup (peer_name);
  peer->region = g_strdup (region);
  peer->zone = g_strdup (zone);
  peer->scope_zone = same_region ? peer->zone : "";
  peer->callers_address = g_strdup ("");
  peer->incarnation = incarnation;
  peer->sent_loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peer->received_ms = now_ms;
  g_hash_table_replace (summaries->peers, peer->name, peer);
  peer_send_self (summaries, peer);
}

/* Handle the loss of the last connection to the instance PEER_NAME.  */
void
jc_summaries_peer_down (struct jc_summaries *summaries, const char *peer_name)
{
  g_hash_table_remove (summaries->peers, peer_name);
}

/* Add the row ADDED to the row of the hash table CTX with the same service and
   model.  */
static void
table_add_row (void *ctx, const struct rpc_summary_row *added)
{
  GHashTable *table = ctx;
  uint64_t tag = jc_summary_tag (added->service, added->model);
  struct rpc_summary_row *row = g_hash_table_lookup (table, &tag);

  if (row == NULL)
    {
      row = g_memdup2 (added, sizeof *added);
      g_hash_table_insert (table, g_memdup2 (&tag, sizeof tag), row);
      return;
    }
  row->endpoints += added->endpoints;
  row->free_slots += added->free_slots;
  row->expected_wait_ms = MIN (row->expected_wait_ms, added->expected_wait_ms);
}

static void
table_add_endpoint (GHashTable *table, const struct jc_endpoint *endpoint)
{
  struct rpc_summary_row row
      = { .service = endpoint->service, .model = (char *)"", .endpoints = 1 };

  if (endpoint->slots > endpoint->running)
    row.free_slots = endpoint->slots - endpoint->running;
  else
    row.expected_wait_ms = (endpoint->queued + 1) * ASSUMED_SERVICE_TIME_MS
                           / MAX (endpoint->slots, 1);
  table_add_row (table, &row);
  for (guint i = 0; i < endpoint->models->len; i++)
    {
      row.model = g_ptr_array_index (endpoint->models, i);
      if (row.model[0] != '\0')
        table_add_row (table, &row);
    }
}

/* Return a hash table from tags to struct rpc_summary_row for the own zone or,
   if WHOLE_REGION, for all zones of the own region.  */
static GHashTable *
capacity_table (const struct jc_summaries *summaries, bool whole_region,
                int64_t now_ms)
{
  GHashTable *table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list (summaries->endpoints, endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!endpoint->leaving && endpoint->lease_until_ms >= now_ms)
        table_add_endpoint (table, endpoint);
    }
  g_ptr_array_free (endpoints, TRUE);
  if (whole_region)
    jc_regions_foreach_row (summaries->regions, summaries->self.region, now_ms,
                            table_add_row, table);
  return table;
}

static unsigned int
count_instances_of_zone (const GArray *instances, const char *zone)
{
  unsigned int count = 0;

  for (guint i = 0; i < instances->len; i++)
    if (strcmp (g_array_index (instances, struct rpc_instance, i).zone, zone)
        == 0)
      count++;
  return count;
}

static void
snapshot_add_instances (const struct jc_summaries *summaries,
                        struct snapshot *snapshot, int64_t now_ms)
{
  GPtrArray *views = g_ptr_array_new ();

  jc_regions_list_instances (summaries->regions, summaries->self.region, now_ms,
                             views);
  for (guint i = 0; i < views->len; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (views, i);
      struct rpc_instance listed = { .name = view->name,
                                     .zone = view->zone,
                                     .callers_address = view->callers_address,
                                     .incarnation = view->incarnation };

      if (view->callers_address[0] == '\0'
          || (snapshot->zone[0] != '\0'
              && strcmp (view->zone, snapshot->zone) != 0)
          || count_instances_of_zone (snapshot->instances, view->zone)
                 >= LISTED_INSTANCES_PER_ZONE)
        continue;
      g_array_append_val (snapshot->instances, listed);
      snapshot->hash = snapshot->hash * 31
                       + jc_name_pair_hash (view->name, view->callers_address)
                       + view->incarnation;
    }
  g_ptr_array_free (views, TRUE);
}

/* Set SNAPSHOT to the instances of ZONE, or of the whole region if ZONE is
   empty, with the capacity table if WITH_TABLE.  It borrows names from the
   tables.  */
static void
snapshot_init (const struct jc_summaries *summaries, struct snapshot *snapshot,
               const char *zone, bool with_table, int64_t now_ms)
{
  snapshot->zone = zone;
  snapshot->hash = 1;
  snapshot->instances = g_array_new (FALSE, TRUE, sizeof (struct rpc_instance));
  snapshot_add_instances (summaries, snapshot, now_ms);
  snapshot->table = NULL;
  if (with_table)
    snapshot->table = capacity_table (summaries, zone[0] == '\0', now_ms);
}

static void
snapshot_clear (struct snapshot *snapshot)
{
  g_array_free (snapshot->instances, TRUE);
  if (snapshot->table != NULL)
    g_hash_table_destroy (snapshot->table);
}

/* Return whether A and B differ by at most 1/SIMILAR_DIVISOR.  Zero is similar
   to zero only.  */
static bool
is_similar (unsigned int a, unsigned int b)
{
  unsigned int more = MAX (a, b);
  unsigned int less = MIN (a, b);

  return (less > 0 || more == 0) && more - less <= more / SIMILAR_DIVISOR;
}

/* Return whether LOAD is so similar to LAST, the numbers last sent, that it
   need not be sent.  */
static bool
loads_similar (const struct rpc_summary_load *last,
               const struct rpc_summary_load *load)
{
  return last->endpoints == load->endpoints
         && is_similar (last->free_slots, load->free_slots)
         && is_similar (last->expected_wait_ms, load->expected_wait_ms);
}

/* Add ROW, of TAG, to ROWS if it was never sent to PEER, or its numbers to
   LOADS if they changed.  */
static void
peer_add_row (struct peer *peer, uint64_t tag,
              const struct rpc_summary_row *row, GArray *rows, GArray *loads)
{
  struct rpc_summary_load load = { .tag = tag,
                                   .endpoints = row->endpoints,
                                   .free_slots = row->free_slots,
                                   .expected_wait_ms = row->expected_wait_ms };
  struct rpc_summary_load *last = g_hash_table_lookup (peer->sent_loads, &tag);

  if (last == NULL)
    {
      g_hash_table_insert (peer->sent_loads, g_memdup2 (&tag, sizeof tag),
                           g_memdup2 (&load, sizeof load));
      g_array_append_val (rows, *row);
    }
  else if (!loads_similar (last, &load))
    {
      *last = load;
      g_array_append_val (loads, load);
    }
}

/* Add to LOADS an entry without endpoints for each tag sent to PEER that TABLE
   no longer has.  */
static void
peer_add_removed (struct peer *peer, GHashTable *table, GArray *loads)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->sent_loads);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct rpc_summary_load *last = value;

      if (last->endpoints == 0 || g_hash_table_contains (table, key))
        continue;
      *last = (struct rpc_summary_load){ .tag = *(uint64_t *)key };
      g_array_append_val (loads, *last);
    }
}

/* Add to ROWS and LOADS what changed in TABLE since PEER's last summary.  */
static void
peer_add_changes (struct peer *peer, GHashTable *table, GArray *rows,
                  GArray *loads)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    peer_add_row (peer, *(uint64_t *)key, value, rows, loads);
  peer_add_removed (peer, table, loads);
}

/* Send PEER what changed in SNAPSHOT.  The list of instances is left out if
   PEER has it already.  */
static void
peer_send (struct jc_summaries *summaries, struct peer *peer,
           const struct snapshot *snapshot)
{
  struct rpc_region_summary summary
      = { .region = (char *)summaries->self.region,
          .zone = (char *)snapshot->zone,
          .listed = snapshot->hash != peer->sent_list_hash };
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct rpc_summary_row));
  GArray *loads = g_array_new (FALSE, TRUE, sizeof (struct rpc_summary_load));

  if (summary.listed)
    {
      summary.instances.instances_val
          = (struct rpc_instance *)snapshot->instances->data;
      summary.instances.instances_len = snapshot->instances->len;
    }
  if (snapshot->table != NULL)
    peer_add_changes (peer, snapshot->table, rows, loads);
  summary.rows.rows_val = (struct rpc_summary_row *)rows->data;
  summary.rows.rows_len = rows->len;
  summary.loads.loads_val = (struct rpc_summary_load *)loads->data;
  summary.loads.loads_len = loads->len;
  if (summary.listed || snapshot->table != NULL)
    {
      peer->sent_list_hash = snapshot->hash;
      summary.sequence = ++peer->sent_sequence;
      summaries->klass->send (summaries->ctx, peer->name, &summary);
    }
  g_array_free (rows, TRUE);
  g_array_free (loads, TRUE);
}

static const char *
peer_snapshot_zone (const struct jc_summaries *summaries,
                    const struct peer *peer)
{
  return peer->scope_zone[0] == '\0' ? "" : summaries->self.zone;
}

static void
peer_add_follower (struct jc_summaries *summaries, struct peer *peer,
                   int64_t now_ms)
{
  struct snapshot snapshot;

  peer->is_follower = true;
  peer->sent_list_hash = 0;
  g_hash_table_remove_all (peer->sent_loads);
  snapshot_init (summaries, &snapshot, peer_snapshot_zone (summaries, peer),
                 true, now_ms);
  peer_send (summaries, peer, &snapshot);
  snapshot_clear (&snapshot);
}

/* Apply the description of PEER itself in SUMMARY.  */
static void
peer_update_description (struct peer *peer,
                         const struct rpc_region_summary *summary)
{
  for (u_int i = 0; i < summary->instances.instances_len; i++)
    {
      const struct rpc_instance *instance
          = &summary->instances.instances_val[i];

      if (strcmp (instance->name, peer->name) != 0)
        continue;
      peer->draining = instance->draining;
      g_free (peer->callers_address);
      peer->callers_address = g_strdup (instance->callers_address);
    }
}

static void
peer_update_regions (struct jc_summaries *summaries, const struct peer *peer,
                     int64_t now_ms)
{
  jc_regions_update_instance (summaries->regions, peer->name, peer->region,
                              peer->zone, peer->callers_address,
                              peer->incarnation, peer->draining, now_ms);
}

/* Handle SUMMARY, received from the instance PEER_NAME at NOW_MS.  Capacity is
   accepted only from a source, and only for the sender's region or zone.  */
void
jc_summaries_receive (struct jc_summaries *summaries, const char *peer_name,
                      const struct rpc_region_summary *summary, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (summaries->peers, peer_name);

  if (peer == NULL || strcmp (summary->region, peer->region) != 0)
    return;
  if (summary->unfollow)
    peer->is_follower = false;
  if (summary->follow)
    peer_add_follower (summaries, peer, now_ms);
  if (summary->sequence == 0)
    {
      if (!summary->follow && !summary->unfollow)
        peer_update_description (peer, summary);
      peer_update_regions (summaries, peer, now_ms);
      return;
    }
  if (!peer->is_source || strcmp (summary->zone, peer->scope_zone) != 0)
    return;
  peer->received_ms = now_ms;
  if (!jc_regions_apply_summary (summaries->regions, summary, now_ms))
    peer_subscribe (summaries, peer, true);
}

static bool
same_scope (const struct peer *a, const struct peer *b)
{
  return strcmp (a->region, b->region) == 0
         && strcmp (a->scope_zone, b->scope_zone) == 0;
}

/* Return the source of PEER's region or zone, or NULL.  */
static struct peer *
scope_get_source (const struct jc_summaries *summaries, const struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->is_source && same_scope (value, peer))
      return value;
  return NULL;
}

/* Return the best source of PEER's region or zone: the instance that was found
   silent longest ago or never; ties go to the first by a hash of the names, so
   that followers spread over the instances.  */
static struct peer *
scope_choose_source (const struct jc_summaries *summaries,
                     const struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;
  struct peer *best = NULL;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *other = value;

      if (!same_scope (other, peer))
        continue;
      if (best == NULL || other->found_silent_ms < best->found_silent_ms
          || (other->found_silent_ms == best->found_silent_ms
              && jc_name_pair_hash (summaries->self.name, other->name)
                     < jc_name_pair_hash (summaries->self.name, best->name)))
        best = other;
    }
  return best;
}

static void
peer_unsubscribe (struct jc_summaries *summaries, struct peer *peer,
                  int64_t now_ms)
{
  peer->is_source = false;
  peer->found_silent_ms = now_ms;
  peer_subscribe (summaries, peer, false);
}

/* Choose another source of PEER's region or zone if there is none or the
   present one has been silent for SOURCE_SILENT_MS.  A draining source is kept,
   since its summaries are still correct.  */
static void
scope_update_source (struct jc_summaries *summaries, const struct peer *peer,
                     int64_t now_ms)
{
  struct peer *source = scope_get_source (summaries, peer);

  if (source != NULL && now_ms - source->received_ms <= SOURCE_SILENT_MS)
    return;
  if (source != NULL)
    peer_unsubscribe (summaries, source, now_ms);
  source = scope_choose_source (summaries, peer);
  if (source == NULL)
    return;
  source->is_source = true;
  source->received_ms = now_ms;
  jc_regions_reset_sequence (summaries->regions, source->region,
                             source->scope_zone);
  peer_subscribe (summaries, source, true);
}

/* Send each follower its summary, with capacity if DUE.  */
static void
followers_send (struct jc_summaries *summaries, bool due, int64_t now_ms)
{
  struct snapshot region;
  struct snapshot zone;
  GHashTableIter iter;
  gpointer value;

  snapshot_init (summaries, &region, "", due, now_ms);
  snapshot_init (summaries, &zone, summaries->self.zone, due, now_ms);
  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      bool whole_region = peer->scope_zone[0] == '\0';

      if (peer->is_follower)
        peer_send (summaries, peer, whole_region ? &region : &zone);
    }
  snapshot_clear (&region);
  snapshot_clear (&zone);
}

/* Return the interval of summaries in ms.  It grows with the number of
   followers.  */
static int64_t
summaries_interval_ms (const struct jc_summaries *summaries)
{
  GHashTableIter iter;
  gpointer value;
  int64_t followers = 0;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    followers += ((struct peer *)value)->is_follower;
  return CLAMP (followers * SUMMARY_PER_FOLLOWER_MS, SUMMARY_MIN_MS,
                SUMMARY_MAX_MS);
}

/* Choose sources and send the summaries that are due at NOW_MS.  To be called
   several times in SUMMARY_MIN_MS.  */
void
jc_summaries_tick (struct jc_summaries *summaries, int64_t now_ms)
{
  bool due = now_ms - summaries->sent_ms >= summaries_interval_ms (summaries);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      scope_update_source (summaries, value, now_ms);
      peer_update_regions (summaries, value, now_ms);
    }
  followers_send (summaries, due, now_ms);
  if (!due)
    return;
  summaries->sent_ms = now_ms;
  jc_regions_expire (summaries->regions, now_ms);
}

static void
send_self_to_all (struct jc_summaries *summaries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    peer_send_self (summaries, value);
}

/* Tell all connected instances that this one accepts callers at
   CALLERS_ADDRESS.  */
void
jc_summaries_accept_callers (struct jc_summaries *summaries,
                             const char *callers_address)
{
  g_free ((char *)summaries->self.callers_address);
  summaries->self.callers_address = g_strdup (callers_address);
  send_self_to_all (summaries);
}

/* Tell all connected instances at once that this one is draining.  */
void
jc_summaries_drain (struct jc_summaries *summaries)
{
  summaries->draining = true;
  send_self_to_all (summaries);
}
