/* Plan of the connections between entry instances.

   Of two instances of a zone the one whose name sorts first dials; the other
   dials too if no connection comes up within DIAL_TIMEOUT_MS.  In another zone
   or region, peers are dialled in the order of a hash of both names, which
   spreads the instances over them; a peer that doesn't answer is replaced by
   the next.  */

#include <string.h>

#include "member/links.h"
#include "member/endpoints.h"

enum
{
  LINKS_PER_GROUP_MAX = 2,
  REMOTE_LINKS_MAX = 12,
  DIAL_TIMEOUT_MS = 2000
};

/* An instance that may be dialled.  RANK orders the peers of a group, the
   lowest first.  DIALLED: the plan asked for an outbound connection, at the
   time DIALLED_MS.  FAILED_MS is when a dial last timed out, 0 for never.
   DISCONNECTED_SINCE_MS is -1 while a connection is up.  */
struct peer
{
  char *name;
  uint64_t rank;
  bool dialled;
  bool outbound_up;
  bool inbound_up;
  int64_t dialled_ms;
  int64_t failed_ms;
  int64_t disconnected_since_ms;
};

/* The peers of one zone of the own region, or of one other region, where ZONE
   is empty.  OWN_ZONE: it is the zone of this instance.  */
struct group
{
  char *zone;
  char *region;
  bool own_zone;
  GPtrArray *peers;
};

struct jc_links
{
  const struct jc_links_class *klass;
  void *ctx;
  char *name;
  char *region;
  char *zone;
  GPtrArray *groups;
  GHashTable *peers;
};

static void
peer_free (gpointer data)
{
  struct peer *peer = data;

  g_free (peer->name);
  g_free (peer);
}

static void
group_free (gpointer data)
{
  struct group *group = data;

  g_ptr_array_free (group->peers, TRUE);
  g_free (group->zone);
  g_free (group->region);
  g_free (group);
}

/* Return a plan without peers for the instance NAME in ZONE of REGION, to be
   freed with jc_links_free.  KLASS is borrowed.  */
struct jc_links *
jc_links_new (const char *name, const char *region, const char *zone,
              const struct jc_links_class *klass, void *ctx)
{
  struct jc_links *links = g_new0 (struct jc_links, 1);

  links->klass = klass;
  links->ctx = ctx;
  links->name = g_strdup (name);
  links->region = g_strdup (region);
  links->zone = g_strdup (zone);
  links->groups = g_ptr_array_new_with_free_func (group_free);
  links->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  return links;
}

/* Free LINKS.  It closes no connections.  */
void
jc_links_free (struct jc_links *links)
{
  g_ptr_array_free (links->groups, TRUE);
  g_hash_table_destroy (links->peers);
  g_free (links->name);
  g_free (links->region);
  g_free (links->zone);
  g_free (links);
}

static struct group *
links_get_group (struct jc_links *links, const char *region, const char *zone)
{
  bool same_region = strcmp (region, links->region) == 0;
  const char *group_zone = same_region ? zone : "";
  struct group *group;

  for (guint i = 0; i < links->groups->len; i++)
    {
      group = g_ptr_array_index (links->groups, i);
      if (strcmp (group->region, region) == 0
          && strcmp (group->zone, group_zone) == 0)
        return group;
    }
  group = g_new0 (struct group, 1);
  group->region = g_strdup (region);
  group->zone = g_strdup (group_zone);
  group->own_zone = same_region && strcmp (zone, links->zone) == 0;
  group->peers = g_ptr_array_new ();
  g_ptr_array_add (links->groups, group);
  return group;
}

/* Add the instance NAME in ZONE of REGION to the peers that may be dialled.
   The own name and names added before are ignored.  */
void
jc_links_add_peer (struct jc_links *links, const char *name, const char *region,
                   const char *zone)
{
  struct peer *peer;

  if (g_hash_table_contains (links->peers, name)
      || strcmp (name, links->name) == 0)
    return;
  peer = g_new0 (struct peer, 1);
  peer->name = g_strdup (name);
  peer->rank = jc_name_pair_hash (links->name, name);
  peer->disconnected_since_ms = -1;
  g_hash_table_insert (links->peers, peer->name, peer);
  g_ptr_array_add (links_get_group (links, region, zone)->peers, peer);
}

/* Record whether the connection that this instance dialled to NAME and the one
   accepted from NAME are up.  Unknown names are ignored.  */
void
jc_links_set_connected (struct jc_links *links, const char *name,
                        bool outbound_up, bool inbound_up)
{
  struct peer *peer = g_hash_table_lookup (links->peers, name);

  if (peer == NULL)
    return;
  peer->outbound_up = outbound_up;
  peer->inbound_up = inbound_up;
}

static bool
peer_is_up (const struct peer *peer)
{
  return peer->outbound_up || peer->inbound_up;
}

static void
peer_dial (struct jc_links *links, struct peer *peer, int64_t now_ms)
{
  peer->dialled = true;
  peer->dialled_ms = now_ms;
  links->klass->dial (links->ctx, peer->name);
}

static void
peer_disconnect (struct jc_links *links, struct peer *peer)
{
  peer->dialled = false;
  peer->outbound_up = false;
  links->klass->disconnect (links->ctx, peer->name);
}

/* Return whether the outbound connection to PEER is to be closed because PEER's
   inbound one is up: the instance whose name sorts second closes its own.  */
static bool
peer_is_redundant (const struct jc_links *links, const struct peer *peer)
{
  return peer->dialled && peer->inbound_up
         && strcmp (links->name, peer->name) > 0;
}

/* Open or close the outbound connection to PEER, an instance of the own zone,
   so that one connection remains.  */
static void
zone_peer_update (struct jc_links *links, struct peer *peer, int64_t now_ms)
{
  bool dials_first = strcmp (links->name, peer->name) < 0;

  if (peer_is_up (peer))
    peer->disconnected_since_ms = -1;
  else if (peer->disconnected_since_ms < 0)
    peer->disconnected_since_ms = now_ms;
  if (peer_is_redundant (links, peer))
    peer_disconnect (links, peer);
  else if (!peer->dialled && !peer_is_up (peer)
           && (dials_first
               || now_ms - peer->disconnected_since_ms >= DIAL_TIMEOUT_MS))
    peer_dial (links, peer, now_ms);
}

static bool
peer_is_dialling (const struct peer *peer)
{
  return peer->dialled && !peer->outbound_up;
}

/* Close the outbound connections of GROUP that timed out or are redundant.
   Return the number of its connections that are up or being dialled.  */
static unsigned int
group_count_connections (struct jc_links *links, const struct group *group,
                         int64_t now_ms)
{
  unsigned int count = 0;

  for (guint i = 0; i < group->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (group->peers, i);

      if (peer_is_dialling (peer)
          && now_ms - peer->dialled_ms >= DIAL_TIMEOUT_MS)
        {
          peer_disconnect (links, peer);
          peer->failed_ms = now_ms;
        }
      else if (peer_is_redundant (links, peer))
        peer_disconnect (links, peer);
      if (peer_is_up (peer) || peer_is_dialling (peer))
        count++;
    }
  return count;
}

/* Return the peer of GROUP to dial next, or NULL if all are dialled or
   connected.  Peers whose last dial failed longest ago, or never failed, come
   first; ties go to the lowest rank.  */
static struct peer *
group_next_peer (const struct group *group)
{
  struct peer *best = NULL;

  for (guint i = 0; i < group->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (group->peers, i);

      if (peer->dialled || peer_is_up (peer))
        continue;
      if (best == NULL || peer->failed_ms < best->failed_ms
          || (peer->failed_ms == best->failed_ms && peer->rank < best->rank))
        best = peer;
    }
  return best;
}

/* Return the number of connections to each other zone or region: the more
   groups there are the fewer, but at least one.  */
static unsigned int
links_per_group (const struct jc_links *links)
{
  return CLAMP (REMOTE_LINKS_MAX / MAX (links->groups->len, 1), 1,
                LINKS_PER_GROUP_MAX);
}

static void
remote_group_update (struct jc_links *links, const struct group *group,
                     int64_t now_ms)
{
  unsigned int count = group_count_connections (links, group, now_ms);

  while (count < links_per_group (links))
    {
      struct peer *next = group_next_peer (group);

      if (next == NULL)
        return;
      peer_dial (links, next, now_ms);
      count++;
    }
}

/* Open and close connections as needed at NOW_MS; to be called several times in
   DIAL_TIMEOUT_MS.  */
void
jc_links_tick (struct jc_links *links, int64_t now_ms)
{
  for (guint i = 0; i < links->groups->len; i++)
    {
      const struct group *group = g_ptr_array_index (links->groups, i);

      if (!group->own_zone)
        remote_group_update (links, group, now_ms);
      for (guint k = 0; group->own_zone && k < group->peers->len; k++)
        zone_peer_update (links, g_ptr_array_index (group->peers, k), now_ms);
    }
}
