/* Endpoints of an availability zone.  */

#include <string.h>

#include "member/endpoints.h"

enum
{
  TOMBSTONE_MS = 600000,
  TOMBSTONES_MAX = 4096,
  ENDPOINTS_MAX = 4096,
  PART_BITS = 16,
  PART_MAX = 0xFFFF
};

static bool members_free_address (struct jc_endpoints *members,
                                  const struct rpc_endpoint *said,
                                  int64_t now_ms);
static void members_give_up_address (struct jc_endpoints *members,
                                     const struct jc_endpoint *endpoint);

#define FNV_START 14695981039346656037U
#define FNV_PRIME 1099511628211U

/* The last of an endpoint that is gone.  LEFT tells that it took its leave,
   so that its incarnation never returns.  */
struct tombstone
{
  char *name;
  uint64_t incarnation;
  uint64_t sequence;
  bool left;
  int64_t until_ms;
};

struct jc_endpoints
{
  GHashTable *by_name;
  GHashTable *by_tag;
  GHashTable *by_address;
  GHashTable *tombstones;
  GQueue *tombstone_order;
};

static void
tombstone_free (gpointer data)
{
  struct tombstone *tombstone = data;

  g_free (tombstone->name);
  g_free (tombstone);
}

static void
endpoint_free (gpointer data)
{
  struct jc_endpoint *endpoint = data;

  g_free (endpoint->name);
  g_free (endpoint->address);
  g_free (endpoint->service);
  g_free (endpoint->zone);
  g_free (endpoint->role);
  g_ptr_array_free (endpoint->models, TRUE);
  g_free (endpoint);
}

/* Return an empty table.  */
struct jc_endpoints *
jc_endpoints_new (void)
{
  struct jc_endpoints *members = g_new0 (struct jc_endpoints, 1);

  members->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, endpoint_free);
  members->by_tag = g_hash_table_new (g_int64_hash, g_int64_equal);
  members->tombstones
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tombstone_free);
  members->tombstone_order = g_queue_new ();
  return members;
}

/* Have each address belong to the endpoint of the latest incarnation that
   reports it, so that a report that was held up does not bring back an
   endpoint whose address another one got.  Incarnations are then times.  */
void
jc_endpoints_require_unique_addresses (struct jc_endpoints *members)
{
  members->by_address = g_hash_table_new (g_str_hash, g_str_equal);
}

/* Free MEMBERS and its endpoints.  */
void
jc_endpoints_free (struct jc_endpoints *members)
{
  if (members->by_address != NULL)
    g_hash_table_destroy (members->by_address);
  g_hash_table_destroy (members->by_tag);
  g_hash_table_destroy (members->by_name);
  g_queue_free (members->tombstone_order);
  g_hash_table_destroy (members->tombstones);
  g_free (members);
}

static uint64_t
hash_bytes (uint64_t hash, const void *data, size_t size)
{
  const unsigned char *bytes = data;

  for (size_t i = 0; i < size; i++)
    hash = (hash ^ bytes[i]) * FNV_PRIME;
  return hash;
}

/* Return a hash of the names A and B that is the same in every process.  */
uint64_t
jc_name_pair_hash (const char *a, const char *b)
{
  uint64_t hash = hash_bytes (FNV_START, a, strlen (a) + 1);

  hash = hash_bytes (hash, b, strlen (b) + 1);
  hash ^= hash >> 32;
  return hash * FNV_PRIME;
}

static uint64_t
endpoint_tag (const char *name, uint64_t incarnation)
{
  uint64_t hash = hash_bytes (FNV_START, name, strlen (name) + 1);

  for (int shift = 0; shift < 64; shift += 8)
    hash = (hash ^ ((incarnation >> shift) & 0xFF)) * FNV_PRIME;
  return hash;
}

static void
set_text (char **slot, const char *text)
{
  if (g_strcmp0 (*slot, text) == 0)
    return;
  g_free (*slot);
  *slot = g_strdup (text);
}

static void
endpoint_update (struct jc_endpoint *endpoint, const struct rpc_endpoint *said,
                 int64_t now_ms)
{
  endpoint->incarnation = said->incarnation;
  endpoint->sequence = said->sequence;
  endpoint->leaving = said->leaving;
  endpoint->slots = said->slots;
  endpoint->running = said->running;
  endpoint->queued = said->queued;
  endpoint->tokens_per_s = said->tokens_per_s;
  endpoint->reported_ms = now_ms;
  endpoint->lease_until_ms = now_ms + said->lease_ms;
  endpoint->warm_at_ms = now_ms + said->cold_ms;
  set_text (&endpoint->zone, said->zone != NULL ? said->zone : "");
  set_text (&endpoint->address, said->address);
  set_text (&endpoint->service, said->service);
  set_text (&endpoint->role, said->role);
  g_ptr_array_set_size (endpoint->models, 0);
  for (u_int i = 0; i < said->models.models_len; i++)
    g_ptr_array_add (endpoint->models, g_strdup (said->models.models_val[i]));
}

static struct jc_endpoint *
members_add (struct jc_endpoints *members, const char *name)
{
  struct jc_endpoint *endpoint = g_new0 (struct jc_endpoint, 1);

  endpoint->name = g_strdup (name);
  endpoint->models = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (members->by_name, endpoint->name, endpoint);
  return endpoint;
}

static void
members_retag (struct jc_endpoints *members, struct jc_endpoint *endpoint)
{
  uint64_t tag = endpoint_tag (endpoint->name, endpoint->incarnation);

  if (g_hash_table_lookup (members->by_tag, &endpoint->tag) == endpoint)
    g_hash_table_remove (members->by_tag, &endpoint->tag);
  endpoint->tag = tag;
  g_hash_table_replace (members->by_tag, &endpoint->tag, endpoint);
}

/* Tell whether SAID comes after INCARNATION and SEQUENCE.  A leave ends its
   incarnation, whatever comes after it.  */
static bool
report_is_later (const struct rpc_endpoint *said, uint64_t incarnation,
                 uint64_t sequence, bool left)
{
  if (said->incarnation != incarnation)
    return said->incarnation > incarnation;
  if (left && !said->leaving)
    return false;
  return said->sequence > sequence;
}

static bool
members_accept (const struct jc_endpoints *members,
                const struct rpc_endpoint *said)
{
  const struct jc_endpoint *endpoint
      = g_hash_table_lookup (members->by_name, said->name);
  const struct tombstone *tombstone
      = g_hash_table_lookup (members->tombstones, said->name);

  if (endpoint != NULL)
    return report_is_later (said, endpoint->incarnation, endpoint->sequence,
                            endpoint->leaving);
  return tombstone == NULL
         || report_is_later (said, tombstone->incarnation, tombstone->sequence,
                             tombstone->left);
}

/* Take what SAID reports at NOW_MS; its lease_ms is what is left of its
   lease.  Return JC_BEHIND where the table knows the same or later and
   JC_OVERLOADED where it is full.  */
enum jc_status
jc_endpoints_update (struct jc_endpoints *members,
                     const struct rpc_endpoint *said, int64_t now_ms)
{
  struct jc_endpoint *endpoint
      = g_hash_table_lookup (members->by_name, said->name);
  bool renewed;

  if (!members_accept (members, said))
    return jc_fail (JC_BEHIND, "A later report of %s is known.", said->name);
  if (!members_free_address (members, said, now_ms))
    return jc_fail (JC_BEHIND, "%s belongs to a later endpoint.",
                    said->address);
  if (endpoint == NULL && jc_endpoints_count (members) >= ENDPOINTS_MAX)
    return jc_fail (JC_OVERLOADED, "The zone has too many endpoints.");
  if (endpoint == NULL)
    endpoint = members_add (members, said->name);
  renewed = endpoint->incarnation != said->incarnation;
  members_give_up_address (members, endpoint);
  endpoint_update (endpoint, said, now_ms);
  if (members->by_address != NULL)
    g_hash_table_replace (members->by_address, endpoint->address, endpoint);
  if (renewed)
    {
      endpoint->ejected_until_ms = 0;
      members_retag (members, endpoint);
    }
  return JC_OK;
}

/* Return the sequence next to KNOWN whose low 32 bits are LOW.  */
static uint64_t
sequence_expand (uint64_t known, uint32_t low)
{
  return known + (uint64_t)(int64_t)(int32_t)(low - (uint32_t)known);
}

/* Take the LOAD of an endpoint that is known by its tag.  Return
   JC_NOT_FOUND where it is not, JC_BEHIND where the table knows the same or
   later.  */
enum jc_status
jc_endpoints_update_load (struct jc_endpoints *members,
                          const struct rpc_zone_load *load, int64_t now_ms)
{
  uint64_t tag = load->tag;
  struct jc_endpoint *endpoint = g_hash_table_lookup (members->by_tag, &tag);
  uint64_t sequence;

  if (endpoint == NULL)
    return jc_fail (JC_NOT_FOUND, "No endpoint has this tag.");
  sequence = sequence_expand (endpoint->sequence, load->sequence);
  if (endpoint->leaving || sequence <= endpoint->sequence)
    return jc_fail (JC_BEHIND, "A later report of %s is known.",
                    endpoint->name);
  endpoint->sequence = sequence;
  endpoint->running = load->work >> PART_BITS;
  endpoint->queued = load->work & PART_MAX;
  endpoint->tokens_per_s = load->pace & PART_MAX;
  endpoint->reported_ms = now_ms;
  endpoint->lease_until_ms = now_ms + (load->pace >> PART_BITS);
  return JC_OK;
}

static unsigned int
lease_left (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return (unsigned int)MAX (endpoint->lease_until_ms - now_ms, 0);
}

static unsigned int
cold_left (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return (unsigned int)MAX (endpoint->warm_at_ms - now_ms, 0);
}

/* Fill OUT, which borrows its strings from ENDPOINT, with the lease that is
   left at NOW_MS.  */
void
jc_endpoint_to_rpc (const struct jc_endpoint *endpoint, int64_t now_ms,
                    struct rpc_endpoint *out)
{
  *out = (struct rpc_endpoint){ .name = endpoint->name,
                                .incarnation = endpoint->incarnation,
                                .sequence = endpoint->sequence,
                                .leaving = endpoint->leaving,
                                .address = endpoint->address,
                                .service = endpoint->service,
                                .zone = endpoint->zone,
                                .role = endpoint->role,
                                .slots = endpoint->slots,
                                .running = endpoint->running,
                                .queued = endpoint->queued,
                                .tokens_per_s = endpoint->tokens_per_s,
                                .lease_ms = lease_left (endpoint, now_ms),
                                .cold_ms = cold_left (endpoint, now_ms) };
  out->models.models_val = (rpc_name *)endpoint->models->pdata;
  out->models.models_len = endpoint->models->len;
}

/* Return the load of ENDPOINT with the lease that is left at NOW_MS.  */
struct rpc_zone_load
jc_endpoint_to_rpc_load (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  unsigned int running = MIN (endpoint->running, PART_MAX);
  unsigned int queued = MIN (endpoint->queued, PART_MAX);
  unsigned int lease_ms = MIN (lease_left (endpoint, now_ms), PART_MAX);
  unsigned int tokens_per_s = MIN (endpoint->tokens_per_s, PART_MAX);

  return (struct rpc_zone_load){ .tag = endpoint->tag,
                                 .sequence = (u_int)endpoint->sequence,
                                 .work = running << PART_BITS | queued,
                                 .pace = lease_ms << PART_BITS | tokens_per_s };
}

static void
members_give_up_address (struct jc_endpoints *members,
                         const struct jc_endpoint *endpoint)
{
  if (members->by_address != NULL && endpoint->address != NULL
      && g_hash_table_lookup (members->by_address, endpoint->address)
             == endpoint)
    g_hash_table_remove (members->by_address, endpoint->address);
}

static void
tombstone_drop (struct jc_endpoints *members)
{
  const struct tombstone *oldest = g_queue_pop_head (members->tombstone_order);

  g_hash_table_remove (members->tombstones, oldest->name);
}

static void
tombstone_add (struct jc_endpoints *members, const struct jc_endpoint *endpoint,
               int64_t now_ms)
{
  struct tombstone *old
      = g_hash_table_lookup (members->tombstones, endpoint->name);
  struct tombstone *tombstone = g_new0 (struct tombstone, 1);

  if (old != NULL)
    {
      g_queue_remove (members->tombstone_order, old);
      g_hash_table_remove (members->tombstones, old->name);
    }
  tombstone->name = g_strdup (endpoint->name);
  tombstone->incarnation = endpoint->incarnation;
  tombstone->sequence = endpoint->sequence;
  tombstone->left = endpoint->leaving;
  tombstone->until_ms = now_ms + TOMBSTONE_MS;
  g_hash_table_insert (members->tombstones, tombstone->name, tombstone);
  g_queue_push_tail (members->tombstone_order, tombstone);
  if (g_hash_table_size (members->tombstones) > TOMBSTONES_MAX)
    tombstone_drop (members);
}

static void
tombstones_expire (struct jc_endpoints *members, int64_t now_ms)
{
  const struct tombstone *oldest;

  while ((oldest = g_queue_peek_head (members->tombstone_order)) != NULL
         && oldest->until_ms < now_ms)
    tombstone_drop (members);
}

static void
members_unlink (struct jc_endpoints *members, struct jc_endpoint *endpoint,
                int64_t now_ms)
{
  tombstone_add (members, endpoint, now_ms);
  members_give_up_address (members, endpoint);
  if (g_hash_table_lookup (members->by_tag, &endpoint->tag) == endpoint)
    g_hash_table_remove (members->by_tag, &endpoint->tag);
}

/* Make way for SAID at its address.  Return false where an endpoint of a
   later incarnation has it.  One that had it before is gone.  */
static bool
members_free_address (struct jc_endpoints *members,
                      const struct rpc_endpoint *said, int64_t now_ms)
{
  struct jc_endpoint *other
      = members->by_address != NULL
            ? g_hash_table_lookup (members->by_address, said->address)
            : NULL;

  if (other == NULL || strcmp (other->name, said->name) == 0)
    return true;
  if (other->incarnation > said->incarnation)
    return false;
  other->leaving = true;
  other->lease_until_ms = now_ms - 1;
  members_give_up_address (members, other);
  return true;
}

/* Note that the endpoint NAME takes its leave; INCARNATION is 0 where it is
   not known which one does.  Return JC_NOT_FOUND where no such endpoint is
   known.  */
enum jc_status
jc_endpoints_mark_leaving (struct jc_endpoints *members, const char *name,
                           uint64_t incarnation)
{
  struct jc_endpoint *endpoint = g_hash_table_lookup (members->by_name, name);

  if (endpoint == NULL
      || (incarnation != 0 && endpoint->incarnation != incarnation))
    return jc_fail (JC_NOT_FOUND, "No endpoint %s is known.", name);
  endpoint->leaving = true;
  return JC_OK;
}

/* Forget the endpoints whose lease ended before NOW_MS and that have no
   attempt in flight; what must not return is remembered for a while.  */
void
jc_endpoints_expire (struct jc_endpoints *members, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  tombstones_expire (members, now_ms);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_endpoint *endpoint = value;

      if (endpoint->lease_until_ms >= now_ms || endpoint->in_flight > 0)
        continue;
      members_unlink (members, endpoint, now_ms);
      g_hash_table_iter_remove (&iter);
    }
}

/* Return the endpoint called NAME, or NULL.  */
struct jc_endpoint *
jc_endpoints_find (const struct jc_endpoints *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

/* Return the endpoint that TAG stands for, or NULL.  */
struct jc_endpoint *
jc_endpoints_find_by_tag (const struct jc_endpoints *members, uint64_t tag)
{
  return g_hash_table_lookup (members->by_tag, &tag);
}

/* Return the number of endpoints known.  */
guint
jc_endpoints_count (const struct jc_endpoints *members)
{
  return g_hash_table_size (members->by_name);
}

/* Return the number of endpoints that are gone and still remembered.  */
guint
jc_endpoints_count_tombstones (const struct jc_endpoints *members)
{
  return g_hash_table_size (members->tombstones);
}

/* Tell whether ENDPOINT may get new work at NOW_MS.  */
bool
jc_endpoint_is_usable (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return !endpoint->leaving && endpoint->lease_until_ms >= now_ms
         && endpoint->ejected_until_ms <= now_ms;
}

static bool
endpoint_serves (const struct jc_endpoint *endpoint, const char *service,
                 const char *model)
{
  if (strcmp (endpoint->service, service) != 0)
    return false;
  if (model == NULL || model[0] == '\0')
    return true;
  for (guint i = 0; i < endpoint->models->len; i++)
    if (strcmp (g_ptr_array_index (endpoint->models, i), model) == 0)
      return true;
  return false;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  const struct jc_endpoint *left = *(struct jc_endpoint *const *)a;
  const struct jc_endpoint *right = *(struct jc_endpoint *const *)b;

  return strcmp (left->name, right->name);
}

/* Add to OUT, ordered by name, every endpoint that is known.  */
void
jc_endpoints_list (const struct jc_endpoints *members, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (out, value);
  g_ptr_array_sort (out, compare_names);
}

/* Add to OUT, ordered by name, the usable endpoints of SERVICE that serve
   MODEL; an empty MODEL means any.  */
void
jc_endpoints_list_serving (const struct jc_endpoints *members,
                           const char *service, const char *model,
                           int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_endpoint *endpoint = value;

      if (jc_endpoint_is_usable (endpoint, now_ms)
          && endpoint_serves (endpoint, service, model))
        g_ptr_array_add (out, endpoint);
    }
  g_ptr_array_sort (out, compare_names);
}
