/* Exchange of capacity between zones.

   Who follows asks once on a connection and then gets a summary each
   interval: the numbers of each service and model that changed by more than
   a share, by tag once their names were sent, and the list of instances where
   it changed.  A source that goes
   silent is replaced by another connected instance of its region.  */

#include <string.h>

#include "member/summaries.h"

enum
{
  SUMMARY_MIN_MS = 1000,
  SUMMARY_MAX_MS = 3000,
  SUMMARY_PER_FOLLOWER_MS = 300,
  SOURCE_SILENT_MS = 7000,
  LISTED_PER_ZONE = 4,
  CLOSE_SHARE = 8,
  ASSUMED_SERVICE_MS = 1000
};

/* A connected instance of another zone.  GROUP_ZONE is empty where it is of
   another region.  FOLLOWS: it gets this instance's summaries; TOLD
   has the last numbers by tag.  */
struct peer
{
  char *name;
  char *region;
  char *zone;
  const char *group_zone;
  char *callers_address;
  uint64_t incarnation;
  bool draining;
  bool follows;
  uint64_t sent;
  GHashTable *told;
  uint64_t listed;
  bool source;
  int64_t heard_ms;
  int64_t silent_ms;
};

struct jc_summaries
{
  const struct jc_summaries_class *klass;
  void *ctx;
  struct jc_local_instance self;
  struct jc_endpoints *members;
  struct jc_regions *regions;
  GHashTable *peers;
  bool draining;
  int64_t sent_ms;
};

/* What followers get: rows by tag and the instances that callers elsewhere
   may use, with a hash of their list.  TABLE is NULL where only the list is
   offered.  */
struct offer
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
  g_hash_table_destroy (peer->told);
  g_free (peer);
}

/* Return the exchange of SELF, which is copied, over TABLES.  */
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
  summaries->members = tables->endpoints;
  summaries->regions = tables->regions;
  summaries->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  summaries->sent_ms = -SUMMARY_MAX_MS;
  return summaries;
}

/* Free SUMMARIES; its tables stay.  */
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

/* Tell PEER of this instance itself.  */
static void
peer_introduce (struct jc_summaries *summaries, const struct peer *peer)
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

static void
peer_ask (struct jc_summaries *summaries, const struct peer *peer, bool follow)
{
  struct rpc_region_summary summary
      = { .region = (char *)summaries->self.region,
          .zone = (char *)summaries->self.zone,
          .follow = follow,
          .unfollow = !follow };

  summaries->klass->send (summaries->ctx, peer->name, &summary);
}

/* The instance PEER of another zone has a connection and runs as
   INCARNATION.  */
void
jc_summaries_peer_up (struct jc_summaries *summaries, const char *peer_name,
                      const char *region, const char *zone,
                      uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = g_new0 (struct peer, 1);
  bool sibling = strcmp (region, summaries->self.region) == 0;

  peer->name = g_strdup (peer_name);
  peer->region = g_strdup (region);
  peer->zone = g_strdup (zone);
  peer->group_zone = sibling ? peer->zone : "";
  peer->callers_address = g_strdup ("");
  peer->incarnation = incarnation;
  peer->told
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peer->heard_ms = now_ms;
  g_hash_table_replace (summaries->peers, peer->name, peer);
  peer_introduce (summaries, peer);
}

/* The instance PEER has no connection any longer.  */
void
jc_summaries_peer_down (struct jc_summaries *summaries, const char *peer_name)
{
  g_hash_table_remove (summaries->peers, peer_name);
}

/* Add NUMBERS to the row of TABLE, which is by tag, that it belongs to.  */
static void
table_add (void *ctx, const struct rpc_summary_row *numbers)
{
  GHashTable *table = ctx;
  uint64_t tag = jc_summary_tag (numbers->service, numbers->model);
  struct rpc_summary_row *row = g_hash_table_lookup (table, &tag);

  if (row == NULL)
    {
      row = g_memdup2 (numbers, sizeof *numbers);
      g_hash_table_insert (table, g_memdup2 (&tag, sizeof tag), row);
      return;
    }
  row->endpoints += numbers->endpoints;
  row->free_slots += numbers->free_slots;
  row->expected_wait_ms
      = MIN (row->expected_wait_ms, numbers->expected_wait_ms);
}

static void
table_add_endpoint (GHashTable *table, const struct jc_endpoint *endpoint)
{
  struct rpc_summary_row row
      = { .service = endpoint->service, .model = (char *)"", .endpoints = 1 };

  if (endpoint->slots > endpoint->running)
    row.free_slots = endpoint->slots - endpoint->running;
  else
    row.expected_wait_ms = (endpoint->queued + 1) * ASSUMED_SERVICE_MS
                           / MAX (endpoint->slots, 1);
  table_add (table, &row);
  for (guint i = 0; i < endpoint->models->len; i++)
    {
      row.model = g_ptr_array_index (endpoint->models, i);
      if (row.model[0] != '\0')
        table_add (table, &row);
    }
}

/* Return the rows, by tag, of the own zone or, where WHOLE_REGION, of all
   zones of the own region.  */
static GHashTable *
capacity_table (const struct jc_summaries *summaries, bool whole_region,
                int64_t now_ms)
{
  GHashTable *table
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list (summaries->members, endpoints);
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);

      if (!endpoint->leaving && endpoint->lease_until_ms >= now_ms)
        table_add_endpoint (table, endpoint);
    }
  g_ptr_array_free (endpoints, TRUE);
  if (whole_region)
    jc_regions_foreach_row (summaries->regions, summaries->self.region, now_ms,
                            table_add, table);
  return table;
}

static unsigned int
count_zone (const GArray *instances, const char *zone)
{
  unsigned int count = 0;

  for (guint i = 0; i < instances->len; i++)
    if (strcmp (g_array_index (instances, struct rpc_instance, i).zone, zone)
        == 0)
      count++;
  return count;
}

static void
offer_add_instances (const struct jc_summaries *summaries, struct offer *offer,
                     int64_t now_ms)
{
  GPtrArray *views = g_ptr_array_new ();

  jc_regions_list_instances (summaries->regions, summaries->self.region, now_ms,
                             views);
  for (guint i = 0; i < views->len; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (views, i);
      struct rpc_instance said = { .name = view->name,
                                   .zone = view->zone,
                                   .callers_address = view->callers_address,
                                   .incarnation = view->incarnation };

      if (view->callers_address[0] == '\0'
          || (offer->zone[0] != '\0' && strcmp (view->zone, offer->zone) != 0)
          || count_zone (offer->instances, view->zone) >= LISTED_PER_ZONE)
        continue;
      g_array_append_val (offer->instances, said);
      offer->hash = offer->hash * 31
                    + jc_name_pair_hash (view->name, view->callers_address)
                    + view->incarnation;
    }
  g_ptr_array_free (views, TRUE);
}

/* Make the offer of ZONE, or of the whole region where it is empty.  It
   borrows names from the tables.  */
static void
offer_init (const struct jc_summaries *summaries, struct offer *offer,
            const char *zone, bool with_table, int64_t now_ms)
{
  offer->zone = zone;
  offer->hash = 1;
  offer->instances = g_array_new (FALSE, TRUE, sizeof (struct rpc_instance));
  offer_add_instances (summaries, offer, now_ms);
  offer->table = NULL;
  if (with_table)
    offer->table = capacity_table (summaries, zone[0] == '\0', now_ms);
}

static void
offer_clear (struct offer *offer)
{
  g_array_free (offer->instances, TRUE);
  if (offer->table != NULL)
    g_hash_table_destroy (offer->table);
}

static bool
numbers_close (unsigned int a, unsigned int b)
{
  unsigned int more = MAX (a, b);
  unsigned int less = MIN (a, b);

  return (less > 0 || more == 0) && more - less <= more / CLOSE_SHARE;
}

/* Tell whether a follower that was last told LAST needs no other numbers.  */
static bool
loads_close (const struct rpc_summary_load *last,
             const struct rpc_summary_load *load)
{
  return last->endpoints == load->endpoints
         && numbers_close (last->free_slots, load->free_slots)
         && numbers_close (last->expected_wait_ms, load->expected_wait_ms);
}

/* Add what changed of the row of TAG to ROWS, where PEER does not know its
   names, or to LOADS.  */
static void
peer_add_row (struct peer *peer, uint64_t tag,
              const struct rpc_summary_row *row, GArray *rows, GArray *loads)
{
  struct rpc_summary_load load = { .tag = tag,
                                   .endpoints = row->endpoints,
                                   .free_slots = row->free_slots,
                                   .expected_wait_ms = row->expected_wait_ms };
  struct rpc_summary_load *last = g_hash_table_lookup (peer->told, &tag);

  if (last == NULL)
    {
      g_hash_table_insert (peer->told, g_memdup2 (&tag, sizeof tag),
                           g_memdup2 (&load, sizeof load));
      g_array_append_val (rows, *row);
    }
  else if (!loads_close (last, &load))
    {
      *last = load;
      g_array_append_val (loads, load);
    }
}

/* Add to LOADS what PEER was told of and TABLE no longer has.  */
static void
peer_add_gone (struct peer *peer, GHashTable *table, GArray *loads)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, peer->told);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct rpc_summary_load *last = value;

      if (last->endpoints == 0 || g_hash_table_contains (table, key))
        continue;
      *last = (struct rpc_summary_load){ .tag = *(uint64_t *)key };
      g_array_append_val (loads, *last);
    }
}

static void
peer_divide (struct peer *peer, GHashTable *table, GArray *rows, GArray *loads)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &value))
    peer_add_row (peer, *(uint64_t *)key, value, rows, loads);
  peer_add_gone (peer, table, loads);
}

/* Send PEER the OFFER; its list goes only where PEER has another.  */
static void
peer_send (struct jc_summaries *summaries, struct peer *peer,
           const struct offer *offer)
{
  struct rpc_region_summary summary
      = { .region = (char *)summaries->self.region,
          .zone = (char *)offer->zone,
          .listed = offer->hash != peer->listed };
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (struct rpc_summary_row));
  GArray *loads = g_array_new (FALSE, TRUE, sizeof (struct rpc_summary_load));

  if (summary.listed)
    {
      summary.instances.instances_val
          = (struct rpc_instance *)offer->instances->data;
      summary.instances.instances_len = offer->instances->len;
    }
  if (offer->table != NULL)
    peer_divide (peer, offer->table, rows, loads);
  summary.rows.rows_val = (struct rpc_summary_row *)rows->data;
  summary.rows.rows_len = rows->len;
  summary.loads.loads_val = (struct rpc_summary_load *)loads->data;
  summary.loads.loads_len = loads->len;
  if (summary.listed || offer->table != NULL)
    {
      peer->listed = offer->hash;
      summary.sequence = ++peer->sent;
      summaries->klass->send (summaries->ctx, peer->name, &summary);
    }
  g_array_free (rows, TRUE);
  g_array_free (loads, TRUE);
}

static const char *
offer_zone (const struct jc_summaries *summaries, const struct peer *peer)
{
  return peer->group_zone[0] == '\0' ? "" : summaries->self.zone;
}

static void
peer_follow (struct jc_summaries *summaries, struct peer *peer, int64_t now_ms)
{
  struct offer offer;

  peer->follows = true;
  peer->listed = 0;
  g_hash_table_remove_all (peer->told);
  offer_init (summaries, &offer, offer_zone (summaries, peer), true, now_ms);
  peer_send (summaries, peer, &offer);
  offer_clear (&offer);
}

/* Take what PEER tells of itself.  */
static void
peer_describe (struct peer *peer, const struct rpc_region_summary *summary)
{
  for (u_int i = 0; i < summary->instances.instances_len; i++)
    {
      const struct rpc_instance *said = &summary->instances.instances_val[i];

      if (strcmp (said->name, peer->name) != 0)
        continue;
      peer->draining = said->draining;
      g_free (peer->callers_address);
      peer->callers_address = g_strdup (said->callers_address);
    }
}

static void
peer_show (struct jc_summaries *summaries, const struct peer *peer,
           int64_t now_ms)
{
  jc_regions_update_instance (summaries->regions, peer->name, peer->region,
                              peer->zone, peer->callers_address,
                              peer->incarnation, peer->draining, now_ms);
}

/* Take a SUMMARY from PEER.  Capacity counts only from the source that is
   followed, and only of the sender's own region or zone.  */
void
jc_summaries_receive (struct jc_summaries *summaries, const char *peer_name,
                      const struct rpc_region_summary *summary, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (summaries->peers, peer_name);

  if (peer == NULL || strcmp (summary->region, peer->region) != 0)
    return;
  if (summary->unfollow)
    peer->follows = false;
  if (summary->follow)
    peer_follow (summaries, peer, now_ms);
  if (summary->sequence == 0)
    {
      if (!summary->follow && !summary->unfollow)
        peer_describe (peer, summary);
      peer_show (summaries, peer, now_ms);
      return;
    }
  if (!peer->source || strcmp (summary->zone, peer->group_zone) != 0)
    return;
  peer->heard_ms = now_ms;
  if (!jc_regions_apply_summary (summaries->regions, summary, now_ms))
    peer_ask (summaries, peer, true);
}

static bool
same_group (const struct peer *a, const struct peer *b)
{
  return strcmp (a->region, b->region) == 0
         && strcmp (a->group_zone, b->group_zone) == 0;
}

/* Return the source of PEER's group, or NULL.  */
static struct peer *
group_source (const struct jc_summaries *summaries, const struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->source && same_group (value, peer))
      return value;
  return NULL;
}

/* Return whom to follow in PEER's group: the one that was found silent
   longest ago or never, and of these the one that ranks first here.  */
static struct peer *
group_best (const struct jc_summaries *summaries, const struct peer *peer)
{
  GHashTableIter iter;
  gpointer value;
  struct peer *best = NULL;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *other = value;

      if (!same_group (other, peer))
        continue;
      if (best == NULL || other->silent_ms < best->silent_ms
          || (other->silent_ms == best->silent_ms
              && jc_name_pair_hash (summaries->self.name, other->name)
                     < jc_name_pair_hash (summaries->self.name, best->name)))
        best = other;
    }
  return best;
}

static void
source_drop (struct jc_summaries *summaries, struct peer *peer, int64_t now_ms)
{
  peer->source = false;
  peer->silent_ms = now_ms;
  peer_ask (summaries, peer, false);
}

/* Follow another instance of PEER's group where none is followed or the one
   that is went silent.  One that drains still tells what is so.  */
static void
group_settle (struct jc_summaries *summaries, const struct peer *peer,
              int64_t now_ms)
{
  struct peer *source = group_source (summaries, peer);

  if (source != NULL && now_ms - source->heard_ms <= SOURCE_SILENT_MS)
    return;
  if (source != NULL)
    source_drop (summaries, source, now_ms);
  source = group_best (summaries, peer);
  if (source == NULL)
    return;
  source->source = true;
  source->heard_ms = now_ms;
  jc_regions_reset_sequence (summaries->regions, source->region,
                             source->group_zone);
  peer_ask (summaries, source, true);
}

static void
followers_send (struct jc_summaries *summaries, bool due, int64_t now_ms)
{
  struct offer region;
  struct offer zone;
  GHashTableIter iter;
  gpointer value;

  offer_init (summaries, &region, "", due, now_ms);
  offer_init (summaries, &zone, summaries->self.zone, due, now_ms);
  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;
      bool whole_region = peer->group_zone[0] == '\0';

      if (peer->follows)
        peer_send (summaries, peer, whole_region ? &region : &zone);
    }
  offer_clear (&region);
  offer_clear (&zone);
}

/* Return the interval of summaries: the more followers, the longer.  */
static int64_t
summaries_interval_ms (const struct jc_summaries *summaries)
{
  GHashTableIter iter;
  gpointer value;
  int64_t followers = 0;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    followers += ((struct peer *)value)->follows;
  return CLAMP (followers * SUMMARY_PER_FOLLOWER_MS, SUMMARY_MIN_MS,
                SUMMARY_MAX_MS);
}

/* Do what is due at NOW_MS; to be called several times an interval.  */
void
jc_summaries_tick (struct jc_summaries *summaries, int64_t now_ms)
{
  bool due = now_ms - summaries->sent_ms >= summaries_interval_ms (summaries);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      group_settle (summaries, value, now_ms);
      peer_show (summaries, value, now_ms);
    }
  followers_send (summaries, due, now_ms);
  if (!due)
    return;
  summaries->sent_ms = now_ms;
  jc_regions_expire (summaries->regions, now_ms);
}

static void
introduce_all (struct jc_summaries *summaries)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, summaries->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    peer_introduce (summaries, value);
}

/* Tell all connected instances that callers may come to CALLERS_ADDRESS from
   now on.  */
void
jc_summaries_accept_callers (struct jc_summaries *summaries,
                             const char *callers_address)
{
  g_free ((char *)summaries->self.callers_address);
  summaries->self.callers_address = g_strdup (callers_address);
  introduce_all (summaries);
}

/* Tell all connected instances at once that this one takes no new work.  */
void
jc_summaries_drain (struct jc_summaries *summaries)
{
  summaries->draining = true;
  introduce_all (summaries);
}
