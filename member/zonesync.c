/* Synchronization of the endpoint tables of a zone's entry instances.

   New endpoints and leaves are sent at once.  Load reports, which also renew
   the leases, are sent in one batch each interval.  A receiver that detects a
   gap in the sequence asks for a full resend.  If several instances receive the
   reports of an endpoint, the one that ranks first for it relays its load.  */

#include <string.h>

#include "member/zonesync.h"

enum
{
  BATCH_MIN_MS = 500,
  BATCH_MAX_MS = 1500,
  BATCH_PER_PEER_MS = 120,
  FULL_INTERVAL_MS = 500,
  RESEND_INTERVAL_MS = 500,
  PEER_EXPIRY_MS = 600000,
  URGENT_PER_BATCH_MAX = 64
};

/* Another instance of the zone.  SENT_SEQUENCE and RECEIVED_SEQUENCE are those
   of the last deltas.  FULL_REQUESTED: the peer is to get a full delta;
   FULL_SENT_MS is when it last got one.  NEEDS_RESEND: a delta of the peer was
   lost, so that a full one is asked for; RESEND_ASKED_MS is when that was last
   done.  */
struct peer
{
  char *name;
  uint64_t incarnation;
  bool up;
  uint64_t sent_sequence;
  uint64_t received_sequence;
  bool full_requested;
  int64_t full_sent_ms;
  bool needs_resend;
  int64_t resend_asked_ms;
  int64_t last_up_ms;
  bool draining;
  char *callers_address;
};

/* How reports of one endpoint are received and relayed.  REPORTED_HERE: the
   endpoint reports to this instance.  LOAD_PENDING: its load changed since the
   last batch.  RECORD_PENDING: its full record goes into the next batch.
   LAST_RELAYER is the peer that relayed it last, or NULL.  */
struct relay
{
  char *name;
  bool reported_here;
  bool load_pending;
  bool record_pending;
  char *last_relayer;
  int64_t last_relayed_ms;
};

/* PEERS and RELAYS are by name.  URGENT_SENT counts the endpoints sent at once
   since the last batch.  */
struct jc_zone_sync
{
  const struct jc_zone_sync_class *klass;
  void *ctx;
  char *name;
  char *region;
  char *zone;
  char *callers_address;
  uint64_t incarnation;
  struct jc_endpoints *endpoints;
  struct jc_regions *regions;
  GHashTable *peers;
  GHashTable *relays;
  bool draining;
  unsigned int urgent_sent;
  int64_t batch_sent_ms;
};

/* Contents of the next delta.  Its strings belong to the endpoint table.  */
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
  g_free (relay->last_relayer);
  g_free (relay);
}

/* Return the synchronization of TABLES for the instance SELF, which is copied.
   KLASS and TABLES must outlive it.  Free it with jc_zone_sync_free.  */
struct jc_zone_sync *
jc_zone_sync_new (const struct jc_local_instance *self,
                  const struct jc_member_tables *tables,
                  const struct jc_zone_sync_class *klass, void *ctx)
{
  struct jc_zone_sync *sync = g_new0 (struct jc_zone_sync, 1);

  sync->klass = klass;
  sync->ctx = ctx;
  sync->name = g_strdup (self->name);
  sync->region = g_strdup (self->region);
  sync->zone = g_strdup (self->zone);
  sync->callers_address = g_strdup (self->callers_address);
  sync->incarnation = self->incarnation;
  sync->endpoints = tables->endpoints;
  sync->regions = tables->regions;
  sync->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  sync->relays
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, relay_free);
  sync->batch_sent_ms = -BATCH_MAX_MS;
  return sync;
}

/* Free SYNC; the tables stay.  */
void
jc_zone_sync_free (struct jc_zone_sync *sync)
{
  g_hash_table_destroy (sync->peers);
  g_hash_table_destroy (sync->relays);
  g_free (sync->name);
  g_free (sync->region);
  g_free (sync->zone);
  g_free (sync->callers_address);
  g_free (sync);
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
batch_add_endpoint (struct batch *batch, const struct jc_endpoint *endpoint,
                    int64_t now_ms)
{
  struct rpc_endpoint report;

  jc_endpoint_to_rpc (endpoint, now_ms, &report);
  g_array_append_val (batch->endpoints, report);
}

static void
batch_add_load (struct batch *batch, const struct jc_endpoint *endpoint,
                int64_t now_ms)
{
  struct rpc_zone_load load = jc_endpoint_to_rpc_load (endpoint, now_ms);

  g_array_append_val (batch->loads, load);
}

/* Send BATCH to PEER with the next sequence, as a full delta if FULL.  It also
   asks PEER for a resend if one is needed.  */
static void
peer_send (struct jc_zone_sync *sync, struct peer *peer,
           const struct batch *batch, bool full, int64_t now_ms)
{
  struct rpc_zone_delta delta
      = { .instance = full ? sync->name : (char *)"",
          .incarnation = sync->incarnation,
          .sequence = ++peer->sent_sequence,
          .full = full,
          .draining = sync->draining,
          .callers_address = full ? sync->callers_address : (char *)"" };

  delta.endpoints.endpoints_val = (struct rpc_endpoint *)batch->endpoints->data;
  delta.endpoints.endpoints_len = batch->endpoints->len;
  delta.loads.loads_val = (struct rpc_zone_load *)batch->loads->data;
  delta.loads.loads_len = batch->loads->len;
  if (peer->needs_resend
      && now_ms - peer->resend_asked_ms >= RESEND_INTERVAL_MS)
    {
      delta.resend = true;
      peer->resend_asked_ms = now_ms;
    }
  sync->klass->send (sync->ctx, peer->name, &delta);
}

static void
sync_send_all (struct jc_zone_sync *sync, const struct batch *batch,
               int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sync->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct peer *)value)->up)
      peer_send (sync, value, batch, false, now_ms);
}

/* Send ENDPOINT to all connected peers, or an empty delta if it is NULL.  */
static void
sync_send_endpoint (struct jc_zone_sync *sync,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct batch batch;

  batch_init (&batch);
  if (endpoint != NULL)
    batch_add_endpoint (&batch, endpoint, now_ms);
  sync_send_all (sync, &batch, now_ms);
  batch_clear (&batch);
}

/* Send PEER a full delta: all endpoints that report to this instance.  */
static void
peer_send_full (struct jc_zone_sync *sync, struct peer *peer, int64_t now_ms)
{
  struct batch batch;
  GHashTableIter iter;
  gpointer value;

  batch_init (&batch);
  g_hash_table_iter_init (&iter, sync->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct relay *relay = value;
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (sync->endpoints, relay->name);

      if (relay->reported_here && endpoint != NULL
          && endpoint->lease_until_ms >= now_ms)
        batch_add_endpoint (&batch, endpoint, now_ms);
    }
  peer->full_requested = false;
  peer->full_sent_ms = now_ms;
  peer_send (sync, peer, &batch, true, now_ms);
  batch_clear (&batch);
}

/* Handle a new connection to the instance PEER_NAME of this zone, which runs as
   INCARNATION.  */
void
jc_zone_sync_peer_up (struct jc_zone_sync *sync, const char *peer_name,
                      uint64_t incarnation, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (sync->peers, peer_name);

  if (peer == NULL)
    {
      peer = g_new0 (struct peer, 1);
      peer->name = g_strdup (peer_name);
      peer->callers_address = g_strdup ("");
      g_hash_table_insert (sync->peers, peer->name, peer);
    }
  if (peer->incarnation != incarnation)
    peer->draining = false;
  peer->incarnation = incarnation;
  peer->received_sequence = 0;
  peer->needs_resend = false;
  peer->up = true;
  peer_send_full (sync, peer, now_ms);
}

/* Handle the loss of the last connection to the instance PEER_NAME.  */
void
jc_zone_sync_peer_down (struct jc_zone_sync *sync, const char *peer_name)
{
  struct peer *peer = g_hash_table_lookup (sync->peers, peer_name);

  if (peer != NULL)
    peer->up = false;
}

static struct relay *
sync_get_relay (struct jc_zone_sync *sync, const char *name)
{
  struct relay *relay = g_hash_table_lookup (sync->relays, name);

  if (relay != NULL)
    return relay;
  relay = g_new0 (struct relay, 1);
  relay->name = g_strdup (name);
  g_hash_table_insert (sync->relays, relay->name, relay);
  return relay;
}

static bool
same_models (const struct jc_endpoint *endpoint,
             const struct rpc_endpoint *report)
{
  if (endpoint->models->len != report->models.models_len)
    return false;
  for (guint i = 0; i < endpoint->models->len; i++)
    if (strcmp (g_ptr_array_index (endpoint->models, i),
                report->models.models_val[i])
        != 0)
      return false;
  return true;
}

/* Return whether REPORT differs from ENDPOINT in its load at most.  */
static bool
same_except_load (const struct jc_endpoint *endpoint,
                  const struct rpc_endpoint *report)
{
  return endpoint->slots == report->slots
         && strcmp (endpoint->address, report->address) == 0
         && strcmp (endpoint->service, report->service) == 0
         && strcmp (endpoint->role, report->role) == 0
         && same_models (endpoint, report);
}

/* Send ENDPOINT, which is new or leaving, at once.  After URGENT_PER_BATCH_MAX
   of them in an interval it waits for the batch instead.  */
static void
sync_send_urgent (struct jc_zone_sync *sync, struct relay *relay,
                  const struct jc_endpoint *endpoint, int64_t now_ms)
{
  relay->record_pending = true;
  if (sync->urgent_sent >= URGENT_PER_BATCH_MAX)
    return;
  sync->urgent_sent++;
  relay->record_pending = false;
  relay->load_pending = false;
  sync_send_endpoint (sync, endpoint, now_ms);
}

/* Apply REPORT, which an endpoint sent to this instance at NOW_MS.  The same
   report may come again.  Return JC_BEHIND or JC_OVERLOADED as
   jc_endpoints_update does.  */
enum jc_status
jc_zone_sync_report (struct jc_zone_sync *sync,
                     const struct rpc_endpoint *report, int64_t now_ms)
{
  const struct jc_endpoint *known
      = jc_endpoints_find (sync->endpoints, report->name);
  bool same_incarnation
      = known != NULL && known->incarnation == report->incarnation;
  bool repeated = same_incarnation && known->sequence == report->sequence;
  bool urgent = !same_incarnation || (report->leaving && !known->leaving);
  bool record_changed = same_incarnation && !same_except_load (known, report);
  enum jc_status status = jc_endpoints_update (sync->endpoints, report, now_ms);
  struct relay *relay;

  if (status != JC_OK && !repeated)
    return status;
  relay = sync_get_relay (sync, report->name);
  relay->reported_here = true;
  if (repeated)
    return JC_OK;
  relay->load_pending = true;
  relay->record_pending = relay->record_pending || record_changed;
  if (urgent)
    sync_send_urgent (
        sync, relay, jc_endpoints_find (sync->endpoints, report->name), now_ms);
  return JC_OK;
}

static void
relay_set_relayer (struct jc_zone_sync *sync, const char *endpoint,
                   const char *peer, int64_t now_ms)
{
  struct relay *relay = sync_get_relay (sync, endpoint);

  if (g_strcmp0 (relay->last_relayer, peer) != 0)
    {
      g_free (relay->last_relayer);
      relay->last_relayer = g_strdup (peer);
    }
  relay->last_relayed_ms = now_ms;
}

static void
delta_apply_endpoints (struct jc_zone_sync *sync, struct peer *peer,
                       const struct rpc_zone_delta *delta, int64_t now_ms)
{
  for (u_int i = 0; i < delta->endpoints.endpoints_len; i++)
    {
      const struct rpc_endpoint *report = &delta->endpoints.endpoints_val[i];

      if (jc_endpoints_update (sync->endpoints, report, now_ms) == JC_OK
          || jc_endpoints_find (sync->endpoints, report->name) != NULL)
        relay_set_relayer (sync, report->name, peer->name, now_ms);
    }
  for (u_int i = 0; i < delta->loads.loads_len; i++)
    {
      const struct rpc_zone_load *load = &delta->loads.loads_val[i];
      const struct jc_endpoint *endpoint
          = jc_endpoints_find_by_tag (sync->endpoints, load->tag);

      if (jc_endpoints_update_load (sync->endpoints, load, now_ms)
          == JC_NOT_FOUND)
        peer->needs_resend = true;
      else
        relay_set_relayer (sync, endpoint->name, peer->name, now_ms);
    }
}

/* Apply the sequence, flags and callers' address of DELTA.  */
static void
delta_apply_header (struct jc_zone_sync *sync, struct peer *peer,
                    const struct rpc_zone_delta *delta, int64_t now_ms)
{
  bool late = delta->sequence <= peer->received_sequence;

  if (delta->resend)
    peer->full_requested = true;
  if (late)
    return;
  if (delta->full)
    peer->needs_resend = false;
  else if (delta->sequence != peer->received_sequence + 1)
    peer->needs_resend = true;
  peer->received_sequence = delta->sequence;
  peer->draining = peer->draining || delta->draining;
  if (delta->full)
    {
      g_free (peer->callers_address);
      peer->callers_address = g_strdup (delta->callers_address);
    }
  jc_regions_update_instance (sync->regions, peer->name, sync->region,
                              sync->zone, peer->callers_address,
                              peer->incarnation, peer->draining, now_ms);
}

/* Send PEER a full delta if it asked for one, or ask it for one, unless that
   was done less than FULL_INTERVAL_MS or RESEND_INTERVAL_MS ago.  */
static void
peer_resync (struct jc_zone_sync *sync, struct peer *peer, int64_t now_ms)
{
  struct batch batch;

  if (peer->full_requested && now_ms - peer->full_sent_ms >= FULL_INTERVAL_MS)
    peer_send_full (sync, peer, now_ms);
  else if (peer->needs_resend
           && now_ms - peer->resend_asked_ms >= RESEND_INTERVAL_MS)
    {
      batch_init (&batch);
      peer_send (sync, peer, &batch, false, now_ms);
      batch_clear (&batch);
    }
}

/* Handle DELTA, received from the instance PEER_NAME at NOW_MS.  It is ignored
   if no connection to PEER_NAME is up or if it is of another incarnation.  */
void
jc_zone_sync_receive (struct jc_zone_sync *sync, const char *peer_name,
                      const struct rpc_zone_delta *delta, int64_t now_ms)
{
  struct peer *peer = g_hash_table_lookup (sync->peers, peer_name);

  if (peer == NULL || !peer->up || peer->incarnation != delta->incarnation)
    return;
  delta_apply_header (sync, peer, delta, now_ms);
  delta_apply_endpoints (sync, peer, delta, now_ms);
  peer_resync (sync, peer, now_ms);
}

/* Return the interval of batches in ms.  It grows with the number of peers, so
   that the traffic that each instance sends stays bounded.  */
static int64_t
sync_interval_ms (const struct jc_zone_sync *sync)
{
  int64_t peers = g_hash_table_size (sync->peers);

  return CLAMP (peers * BATCH_PER_PEER_MS, BATCH_MIN_MS, BATCH_MAX_MS);
}

/* Return whether a peer that ranks before this instance for the endpoint of
   RELAY has relayed it recently, so that this instance need not.  */
static bool
relay_is_covered (const struct jc_zone_sync *sync, const struct relay *relay,
                  int64_t now_ms)
{
  int64_t silent_ms = sync_interval_ms (sync) * 5 / 4;

  if (relay->last_relayer == NULL
      || now_ms - relay->last_relayed_ms > silent_ms)
    return false;
  return jc_name_pair_hash (relay->last_relayer, relay->name)
         < jc_name_pair_hash (sync->name, relay->name);
}

static void
relay_collect (const struct jc_zone_sync *sync, struct relay *relay,
               const struct jc_endpoint *endpoint, struct batch *batch,
               int64_t now_ms)
{
  if (relay->record_pending)
    batch_add_endpoint (batch, endpoint, now_ms);
  else if (relay->load_pending && !endpoint->leaving
           && !relay_is_covered (sync, relay, now_ms))
    batch_add_load (batch, endpoint, now_ms);
  relay->record_pending = false;
  relay->load_pending = false;
}

static void
sync_collect (struct jc_zone_sync *sync, struct batch *batch, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sync->relays);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay *relay = value;
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (sync->endpoints, relay->name);

      if (endpoint == NULL)
        g_hash_table_iter_remove (&iter);
      else if (relay->reported_here)
        relay_collect (sync, relay, endpoint, batch, now_ms);
    }
}

/* Resync the connected peers, and remove those long without a connection.  */
static void
sync_serve_peers (struct jc_zone_sync *sync, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, sync->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct peer *peer = value;

      if (peer->up)
        {
          peer->last_up_ms = now_ms;
          peer_resync (sync, peer, now_ms);
        }
      else if (now_ms - peer->last_up_ms > PEER_EXPIRY_MS)
        g_hash_table_iter_remove (&iter);
    }
}

/* Record this instance in its own table.  */
static void
sync_update_own_instance (const struct jc_zone_sync *sync, int64_t now_ms)
{
  jc_regions_update_instance (sync->regions, sync->name, sync->region,
                              sync->zone, sync->callers_address,
                              sync->incarnation, sync->draining, now_ms);
}

/* Send the batch if it is due at NOW_MS, and resync peers.  To be called
   several times in BATCH_MIN_MS.  */
void
jc_zone_sync_tick (struct jc_zone_sync *sync, int64_t now_ms)
{
  struct batch batch;

  sync_update_own_instance (sync, now_ms);
  sync_serve_peers (sync, now_ms);
  if (now_ms - sync->batch_sent_ms < sync_interval_ms (sync))
    return;
  sync->batch_sent_ms = now_ms;
  sync->urgent_sent = 0;
  batch_init (&batch);
  sync_collect (sync, &batch, now_ms);
  sync_send_all (sync, &batch, now_ms);
  batch_clear (&batch);
}

/* Tell the peers that this instance accepts callers at CALLERS_ADDRESS.  */
void
jc_zone_sync_accept_callers (struct jc_zone_sync *sync,
                             const char *callers_address, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_free (sync->callers_address);
  sync->callers_address = g_strdup (callers_address);
  sync_update_own_instance (sync, now_ms);
  g_hash_table_iter_init (&iter, sync->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct peer *)value)->full_requested = true;
  sync_serve_peers (sync, now_ms);
}

/* Tell the peers at once that this instance is draining.  */
void
jc_zone_sync_drain (struct jc_zone_sync *sync, int64_t now_ms)
{
  if (sync->draining)
    return;
  sync->draining = true;
  sync_update_own_instance (sync, now_ms);
  sync_send_endpoint (sync, NULL, now_ms);
}
