/* Sharing of a zone's endpoints.

   New endpoints and leaves are sent at once; load goes in one batch each
   interval, which renews the leases too.  A receiver that misses a sequence
   asks for everything again.  Of several instances that hear an endpoint
   themselves, the one that ranks first for it relays its load.  */

#include <string.h>

#include "member/zonesync.h"

enum
{
  BATCH_MIN_MS = 500,
  BATCH_MAX_MS = 1500,
  BATCH_PER_PEER_MS = 120,
  FULL_INTERVAL_MS = 500,
  ASK_INTERVAL_MS = 500,
  PEER_FORGET_MS = 600000,
  URGENT_MAX = 64
};

/* Another instance of the zone.  SENT and HEARD are the last sequences.  */
struct peer
{
  char *name;
  uint64_t incarnation;
  bool up;
  uint64_t sent;
  uint64_t heard;
  bool wants_full;
  int64_t full_ms;
  bool missed;
  int64_t asked_ms;
  int64_t seen_ms;
  bool draining;
  char *callers_address;
};

/* How reports of one endpoint come here and go on.  RELAYER is the peer that
   relayed it last.  */
struct relay
{
  char *name;
  bool direct;
  bool fresh;
  bool whole;
  char *relayer;
  int64_t relayed_ms;
};

struct jc_zone_sync
{
  const struct jc_zone_sync_class *klass;
  void *ctx;
  char *name;
  char *region;
  char *zone;
  char *callers_address;
  uint64_t incarnation;
  struct jc_endpoints *members;
  struct jc_regions *regions;
  GHashTable *peers;
  GHashTable *relays;
  bool draining;
  unsigned int urgent;
  int64_t batch_ms;
};

/* Records on their way into a delta.  */
struct batch
{
  GArray *endpoints;
  GArray *loads;
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->name);
  g_free (peer->callers_address);
  g_free (peer);
}

static void
relay_free (gpointer data)
{
  struct relay *relay = data;

  g_free (relay->name);
  g_free (relay->relayer);
  g_free (relay);
}

/* Return the sharing of SELF, which is copied, over TABLES.  */
struct jc_zone_sync *
jc_zone_sync_new (const struct jc_local_instance *self,
                  const struct jc_member_tables *tables,
                  const struct jc_zone_sync_class *klass, void *ctx)
{
  struct jc_zone_sync *zone = g_new0 (struct jc_zone_sync, 1);

  zone->klass = klass;
  zone->ctx = ctx;
  zone->name = g_strdup (self->name);
  zone->region = g_strdup (self->region);
  zone->zone = g_strdup (self->zone);
  zone->callers_address = g_strdup (self->callers_address);
  zone->incarnation = self->incarnation;
  zone->members = tables->endpoints;
  zone->regions = tables->regions;
  zone->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  zone->relays
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, relay_free);
  zone->batch_ms = -BATCH_MAX_MS;
  return zone;
}

/* Free ZONE; its tables stay.  */
void
jc_zone_sync_free (struct jc_zone_sync *zone)
{
  g_hash_table_destroy (zone->peers);
  g_hash_table_destroy (zone->relays);
  g_free (zone->name);
  g_free (zone->region);
  g_free (zone->zone);
  g_free (zone->callers_address);
  g_free (zone);
}

static void
batch_init (struct batch *batch)
{
  batch->endpoints = g_array_new (FALSE, TRUE, sizeof (struct rpc_endpoint));
  batch->loads = g_array_new (FALSE, TRUE, sizeof (struct rpc_zone_load));
}

static void
batch_clear (struct batch *batch)
{
  g_array_free (batch->endpoints, TRUE);
  g_array_free (batch->loads, TRUE);
}

static void
batch_add_whole (struct batch *batch, const struct jc_endpoint *endpoint,
                 int64_t now_ms)
{
  struct rpc_endpoint said;

  jc_endpoint_to_rpc (endpoint, now_ms, &said);
  g_array_append_val (batch->endpoints, said);
}

static void
batch_add_load (struct batch *batch, const struct jc_endpoint *endpoint,
                int64_t now_ms)
{
  struct rpc_zone_load load = jc_endpoint_to_rpc_load (endpoint, now_ms);

  g_array_append_val (batch->loads, load);
}

/* Send BATCH to PEER as the next of its sequence.  */
static void
peer_send (struct jc_zone_sync *zone, struct peer *peer,
           const struct batch *batch, bool full, int64_t now_ms)
{
  struct rpc_zone_delta delta
      = { .instance = full ? zone->name : (char *)"",
          .incarnation = zone->incarnation,
          .sequence = ++peer->sent,
          .full = full,
          .draining = zone->draining,
          .callers_address = full ? zone->callers_address : (char *)"" };

  delta.endpoints.endpoints_val = (struct rpc_endpoint *)batch->endpoints->data;
  delta.endpoints.endpoints_len = batch->endpoints->len;
  delta.loads.loads_val = (struct rpc_zone_load *)batch->loads->data;
  delta.loads.loads_len = batch->loads->len;
  if (peer->missed && now_ms - peer->asked_ms >= ASK_INTERVAL_MS)
    {
      delta.resend = true;
      peer->asked_ms = now_ms;
    }
  zone->klass->send (zone->ctx, peer->name, &delta);
}

static void
zone_send_all (struct jc_zone_sync *zone, const struct batch *batch,
               int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, zone->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->up)
      peer_send (zone, value, batch, false, now_ms);
}

static void
zone_send_one (struct jc_zone_sync *zone, const struct jc_endpoint *endpoint,
               int64_t now_ms)
{
  struct batch batch;

  batch_init (&batch);
  if (endpoint != NULL)
    batch_add_whole (&batch, endpoint, now_ms);
  zone_send_all (zone, &batch, now_ms);
  batch_clear (&batch);
}

/* Send PEER every endpoint that this instance hears itself.  */
static void
peer_send_full (struct jc_zone_sync *zone, struct peer *peer, int64_t now_ms)
{
  struct batch batch;
  GHashTableIter iter;
  gpointer value;

  batch_init (&batch);
  g_hash_table_iter_init (&iter, zone->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct relay *relay = value;
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (zone->members, relay->name);

      if (relay->direct && endpoint != NULL
          && endpoint->lease_until_ms >= now_ms)
        batch_add_whole (&batch, endpoint, now_ms);
    }
  peer->wants_full = false;
  peer->full_ms = now_ms;
  peer_send (zone, peer, &batch, true, now_ms);
  batch_clear (&batch);
}

/* The instance PEER of this zone has a connection and runs as
   INCARNATION.  */
void
jc_zone_sync_peer_up (struct jc_zone_sync *zone, const char *peer_name,
                      uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (zone->peers, peer_name);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->name = g_strdup (peer_name);
      peer->callers_address = g_strdup ("");
      g_hash_table_insert (zone->peers, peer->name, peer);
    }
  if (peer->incarnation != incarnation)
    peer->draining = false;
  peer->incarnation = incarnation;
  peer->heard = 0;
  peer->missed = false;
  peer->up = true;
  peer_send_full (zone, peer, now_ms);
}

/* The instance PEER has no connection any longer.  */
void
jc_zone_sync_peer_down (struct jc_zone_sync *zone, const char *peer_name)
{
  struct peer *peer = g_hash_table_lookup (zone->peers, peer_name);

  if (peer != NULL)
    peer->up = false;
}

static struct relay *
zone_relay (struct jc_zone_sync *zone, const char *name)
{
  struct relay *relay = g_hash_table_lookup (zone->relays, name);

  if (relay != NULL)
    return relay;
  relay = g_new0 (struct relay, 1);
  relay->name = g_strdup (name);
  g_hash_table_insert (zone->relays, relay->name, relay);
  return relay;
}

static bool
same_models (const struct jc_endpoint *endpoint,
             const struct rpc_endpoint *said)
{
  if (endpoint->models->len != said->models.models_len)
    return false;
  for (guint i = 0; i < endpoint->models->len; i++)
    if (strcmp (g_ptr_array_index (endpoint->models, i),
                said->models.models_val[i])
        != 0)
      return false;
  return true;
}

/* Tell whether SAID changes no more than the load of ENDPOINT.  */
static bool
same_shape (const struct jc_endpoint *endpoint, const struct rpc_endpoint *said)
{
  return endpoint->slots == said->slots
         && strcmp (endpoint->address, said->address) == 0
         && strcmp (endpoint->service, said->service) == 0
         && strcmp (endpoint->role, said->role) == 0
         && same_models (endpoint, said);
}

/* Send an endpoint that is new or leaves at once, up to a bound for each
   interval; after that it waits for the batch.  */
static void
zone_send_urgent (struct jc_zone_sync *zone, struct relay *relay,
                  const struct jc_endpoint *endpoint, int64_t now_ms)
{
  relay->whole = true;
  if (zone->urgent >= URGENT_MAX)
    return;
  zone->urgent++;
  relay->whole = false;
  relay->fresh = false;
  zone_send_one (zone, endpoint, now_ms);
}

/* Take what the endpoint of SAID told this instance itself at NOW_MS.
   Return JC_BEHIND where later is known.  */
enum jc_status
jc_zone_sync_report (struct jc_zone_sync *zone, const struct rpc_endpoint *said,
                     int64_t now_ms)
{
  const struct jc_endpoint *known
      = jc_endpoints_find (zone->members, said->name);
  bool same = known != NULL && known->incarnation == said->incarnation;
  bool repeated = same && known->sequence == said->sequence;
  bool urgent = !same || (said->leaving && !known->leaving);
  bool reshaped = same && !same_shape (known, said);
  enum jc_status status = jc_endpoints_update (zone->members, said, now_ms);
  struct relay *relay;

  if (status != JC_OK && !repeated)
    return status;
  relay = zone_relay (zone, said->name);
  relay->direct = true;
  if (repeated)
    return JC_OK;
  relay->fresh = true;
  relay->whole = relay->whole || reshaped;
  if (urgent)
    zone_send_urgent (zone, relay,
                      jc_endpoints_find (zone->members, said->name), now_ms);
  return JC_OK;
}

static void
relay_heard (struct jc_zone_sync *zone, const char *endpoint, const char *peer,
             int64_t now_ms)
{
  struct relay *relay = zone_relay (zone, endpoint);

  if (g_strcmp0 (relay->relayer, peer) != 0)
    {
      g_free (relay->relayer);
      relay->relayer = g_strdup (peer);
    }
  relay->relayed_ms = now_ms;
}

static void
delta_take_endpoints (struct jc_zone_sync *zone, struct peer *peer,
                      const struct rpc_zone_delta *delta, int64_t now_ms)
{
  for (u_int i = 0; i < delta->endpoints.endpoints_len; i++)
    {
      const struct rpc_endpoint *said = &delta->endpoints.endpoints_val[i];

      if (jc_endpoints_update (zone->members, said, now_ms) == JC_OK
          || jc_endpoints_find (zone->members, said->name) != NULL)
        relay_heard (zone, said->name, peer->name, now_ms);
    }
  for (u_int i = 0; i < delta->loads.loads_len; i++)
    {
      const struct rpc_zone_load *load = &delta->loads.loads_val[i];
      const struct jc_endpoint *endpoint
          = jc_endpoints_find_by_tag (zone->members, load->tag);

      if (jc_endpoints_update_load (zone->members, load, now_ms)
          == JC_NOT_FOUND)
        peer->missed = true;
      else
        relay_heard (zone, endpoint->name, peer->name, now_ms);
    }
}

/* Take the sequence and the flags of DELTA.  */
static void
delta_take_head (struct jc_zone_sync *zone, struct peer *peer,
                 const struct rpc_zone_delta *delta, int64_t now_ms)
{
  bool late = delta->sequence <= peer->heard;

  if (delta->resend)
    peer->wants_full = true;
  if (late)
    return;
  if (delta->full)
    peer->missed = false;
  else if (delta->sequence != peer->heard + 1)
    peer->missed = true;
  peer->heard = delta->sequence;
  peer->draining = peer->draining || delta->draining;
  if (delta->full)
    {
      g_free (peer->callers_address);
      peer->callers_address = g_strdup (delta->callers_address);
    }
  jc_regions_update_instance (zone->regions, peer->name, zone->region,
                              zone->zone, peer->callers_address,
                              peer->incarnation, peer->draining, now_ms);
}

static void
peer_settle (struct jc_zone_sync *zone, struct peer *peer, int64_t now_ms)
{
  struct batch batch;

  if (peer->wants_full && now_ms - peer->full_ms >= FULL_INTERVAL_MS)
    peer_send_full (zone, peer, now_ms);
  else if (peer->missed && now_ms - peer->asked_ms >= ASK_INTERVAL_MS)
    {
      batch_init (&batch);
      peer_send (zone, peer, &batch, false, now_ms);
      batch_clear (&batch);
    }
}

/* Take a DELTA of the instance PEER.  One of a connection that is gone or of
   another incarnation has no effect.  */
void
jc_zone_sync_receive (struct jc_zone_sync *zone, const char *peer_name,
                      const struct rpc_zone_delta *delta, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (zone->peers, peer_name);

  if (peer == NULL || !peer->up || peer->incarnation != delta->incarnation)
    return;
  delta_take_head (zone, peer, delta, now_ms);
  delta_take_endpoints (zone, peer, delta, now_ms);
  peer_settle (zone, peer, now_ms);
}

/* Return the interval of batches: the more instances a zone has, the longer,
   so that what each of them sends stays bounded.  */
static int64_t
zone_interval_ms (const struct jc_zone_sync *zone)
{
  int64_t peers = g_hash_table_size (zone->peers);

  return CLAMP (peers * BATCH_PER_PEER_MS, BATCH_MIN_MS, BATCH_MAX_MS);
}

/* Tell whether a peer that ranks before this instance for the endpoint of
   RELAY relays it.  */
static bool
relay_is_covered (const struct jc_zone_sync *zone, const struct relay *relay,
                  int64_t now_ms)
{
  int64_t silent_ms = zone_interval_ms (zone) * 5 / 4;

  if (relay->relayer == NULL || now_ms - relay->relayed_ms > silent_ms)
    return false;
  return jc_name_pair_hash (relay->relayer, relay->name)
         < jc_name_pair_hash (zone->name, relay->name);
}

static void
relay_collect (const struct jc_zone_sync *zone, struct relay *relay,
               const struct jc_endpoint *endpoint, struct batch *batch,
               int64_t now_ms)
{
  if (relay->whole)
    batch_add_whole (batch, endpoint, now_ms);
  else if (relay->fresh && !endpoint->leaving
           && !relay_is_covered (zone, relay, now_ms))
    batch_add_load (batch, endpoint, now_ms);
  relay->whole = false;
  relay->fresh = false;
}

static void
zone_collect (struct jc_zone_sync *zone, struct batch *batch, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, zone->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay *relay = value;
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (zone->members, relay->name);

      if (endpoint == NULL)
        g_hash_table_iter_remove (&iter);
      else if (relay->direct)
        relay_collect (zone, relay, endpoint, batch, now_ms);
    }
}

/* Serve what peers wait for, and forget those long without a connection.  */
static void
zone_settle_all (struct jc_zone_sync *zone, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, zone->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer->up)
        {
          peer->seen_ms = now_ms;
          peer_settle (zone, peer, now_ms);
        }
      else if (now_ms - peer->seen_ms > PEER_FORGET_MS)
        g_hash_table_iter_remove (&iter);
    }
}

/* Keep this instance in its own table.  */
static void
zone_show_self (const struct jc_zone_sync *zone, int64_t now_ms)
{
  jc_regions_update_instance (zone->regions, zone->name, zone->region,
                              zone->zone, zone->callers_address,
                              zone->incarnation, zone->draining, now_ms);
}

/* Do what is due at NOW_MS; to be called several times an interval.  */
void
jc_zone_sync_tick (struct jc_zone_sync *zone, int64_t now_ms)
{
  struct batch batch;

  zone_show_self (zone, now_ms);
  zone_settle_all (zone, now_ms);
  if (now_ms - zone->batch_ms < zone_interval_ms (zone))
    return;
  zone->batch_ms = now_ms;
  zone->urgent = 0;
  batch_init (&batch);
  zone_collect (zone, &batch, now_ms);
  zone_send_all (zone, &batch, now_ms);
  batch_clear (&batch);
}

/* Tell the peers that callers may come to CALLERS_ADDRESS from now on.  */
void
jc_zone_sync_accept_callers (struct jc_zone_sync *zone,
                             const char *callers_address, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_free (zone->callers_address);
  zone->callers_address = g_strdup (callers_address);
  zone_show_self (zone, now_ms);
  g_hash_table_iter_init (&iter, zone->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->wants_full = true;
  zone_settle_all (zone, now_ms);
}

/* Tell the peers at once that this instance takes no new work.  */
void
jc_zone_sync_drain (struct jc_zone_sync *zone, int64_t now_ms)
{
  if (zone->draining)
    return;
  zone->draining = true;
  zone_show_self (zone, now_ms);
  zone_send_one (zone, NULL, now_ms);
}
