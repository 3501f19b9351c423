/* Plan of connections between entry instances.

   Of two instances of a zone the one whose name comes first dials; the other
   does where no connection comes up for a while.  Of another zone or region
   the instances that rank first by a hash of both names are dialled, and the
   next ones where these don't answer.  */

#include <string.h>

#include "member/links.h"
#include "member/endpoints.h"

enum
{
  GROUP_LINKS_MAX = 2,
  FAR_LINKS = 12,
  DIAL_MS = 2000
};

/* A listed instance.  */
struct peer
{
  char *name;
  uint64_t rank;
  bool dialled;
  bool dialled_up;
  bool accepted_up;
  int64_t dialled_ms;
  int64_t failed_ms;
  int64_t lonely_ms;
};

/* The instances of one zone of the own region, or of one other region.  */
struct group
{
  char *zone;
  char *region;
  bool near;
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

/* Return the plan of the instance NAME of REGION and ZONE.  */
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

/* Free LINKS.  */
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
links_group (struct jc_links *links, const char *region, const char *zone)
{
  bool sibling = strcmp (region, links->region) == 0;
  const char *group_zone = sibling ? zone : "";
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
  group->near = sibling && strcmp (zone, links->zone) == 0;
  group->peers = g_ptr_array_new ();
  g_ptr_array_add (links->groups, group);
  return group;
}

/* Add the instance NAME of REGION and ZONE to those that may be dialled,
   unless it is one of them.  */
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
  peer->lonely_ms = -1;
  g_hash_table_insert (links->peers, peer->name, peer);
  g_ptr_array_add (links_group (links, region, zone)->peers, peer);
}

/* Note which connections to NAME are up.  */
void
jc_links_set_connected (struct jc_links *links, const char *name,
                        bool dialled_up, bool accepted_up)
{
  struct peer *peer = g_hash_table_lookup (links->peers, name);

  if (peer == NULL)
    return;
  peer->dialled_up = dialled_up;
  peer->accepted_up = accepted_up;
}

static bool
peer_is_up (const struct peer *peer)
{
  return peer->dialled_up || peer->accepted_up;
}

static void
peer_dial (struct jc_links *links, struct peer *peer, int64_t now_ms)
{
  peer->dialled = true;
  peer->dialled_ms = now_ms;
  links->klass->dial (links->ctx, peer->name);
}

static void
peer_hang_up (struct jc_links *links, struct peer *peer)
{
  peer->dialled = false;
  peer->dialled_up = false;
  links->klass->disconnect (links->ctx, peer->name);
}

/* Tell whether PEER's own connection serves as well, so that the one from
   here, which comes second by name, is to go.  */
static bool
peer_is_double (const struct jc_links *links, const struct peer *peer)
{
  return peer->dialled && peer->accepted_up
         && strcmp (links->name, peer->name) > 0;
}

/* Settle the connection to an instance of the own zone: one is enough.  */
static void
near_settle (struct jc_links *links, struct peer *peer, int64_t now_ms)
{
  bool first = strcmp (links->name, peer->name) < 0;

  if (peer_is_up (peer))
    peer->lonely_ms = -1;
  else if (peer->lonely_ms < 0)
    peer->lonely_ms = now_ms;
  if (peer_is_double (links, peer))
    peer_hang_up (links, peer);
  else if (!peer->dialled && !peer_is_up (peer)
           && (first || now_ms - peer->lonely_ms >= DIAL_MS))
    peer_dial (links, peer, now_ms);
}

static bool
peer_is_dialling (const struct peer *peer)
{
  return peer->dialled && !peer->dialled_up;
}

/* Give up dials of GROUP that don't come up.  Return the connections that
   the group has or may soon have.  */
static unsigned int
group_count (struct jc_links *links, const struct group *group, int64_t now_ms)
{
  unsigned int count = 0;

  for (guint i = 0; i < group->peers->len; i++)
    {
      struct peer *peer = g_ptr_array_index (group->peers, i);

      if (peer_is_dialling (peer) && now_ms - peer->dialled_ms >= DIAL_MS)
        {
          peer_hang_up (links, peer);
          peer->failed_ms = now_ms;
        }
      else if (peer_is_double (links, peer))
        peer_hang_up (links, peer);
      if (peer_is_up (peer) || peer_is_dialling (peer))
        count++;
    }
  return count;
}

/* Return the instance of GROUP to dial next, or NULL: the one that failed
   longest ago, and of these the one that ranks first.  */
static struct peer *
group_next (const struct group *group)
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

/* Return how many connections each other zone or region gets: where there
   are many, one.  */
static unsigned int
links_per_group (const struct jc_links *links)
{
  return CLAMP (FAR_LINKS / MAX (links->groups->len, 1), 1, GROUP_LINKS_MAX);
}

static void
far_settle (struct jc_links *links, const struct group *group, int64_t now_ms)
{
  unsigned int count = group_count (links, group, now_ms);

  while (count < links_per_group (links))
    {
      struct peer *next = group_next (group);

      if (next == NULL)
        return;
      peer_dial (links, next, now_ms);
      count++;
    }
}

/* Dial and hang up as is due at NOW_MS.  */
void
jc_links_tick (struct jc_links *links, int64_t now_ms)
{
  for (guint i = 0; i < links->groups->len; i++)
    {
      const struct group *group = g_ptr_array_index (links->groups, i);

      if (!group->near)
        far_settle (links, group, now_ms);
      for (guint k = 0; group->near && k < group->peers->len; k++)
        near_settle (links, g_ptr_array_index (group->peers, k), now_ms);
    }
}
