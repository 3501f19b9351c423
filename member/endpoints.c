/* Table of the endpoints of an availability zone.  */

#include <string.h>

#include "member/ended.h"
#include "member/endpoints.h"
#include "member/refused.h"

enum
{
  TOMBSTONE_LIFETIME_MS = 600000,
  TOMBSTONES_MAX = 4096,
  ENDPOINTS_MAX = 4096,
  /* Load reports pack two 16-bit numbers into one word.  */
  HALF_BITS = 16,
  HALF_MAX = 0xFFFF
};

static void endpoints_claim_address (struct jc_endpoints *endpoints,
                                     const struct rpc_endpoint *report,
                                     int64_t now_ms);
static void endpoints_release_address (struct jc_endpoints *endpoints,
                                       const struct jc_endpoint *endpoint);

#define FNV_OFFSET_BASIS 14695981039346656037U
#define FNV_PRIME 1099511628211U

/* What is known of the reports of a removed endpoint, so that a late report
   does not bring it back.  If the endpoint had announced its leave, all further
   reports of its incarnation are rejected.  UNTIL_MS is when the record is
   dropped.  */
struct tombstone
{
  char *name;
  struct jc_report_order order;
  int64_t until_ms;
};

/* BY_NAME owns the endpoints.  BY_ADDRESS is NULL unless addresses must be
   unique.  TOMBSTONES, by name, owns the records; TOMBSTONES_BY_AGE has them
   oldest first.  LEASE_MAX_MS is the longest lease that a report had left: that
   of a report which was just received.  REFUSED has the reports that may yet
   prove that their endpoint goes on, ENDED the incarnations that don't.  */
struct jc_endpoints
{
  GHashTable *by_name;
  GHashTable *by_tag;
  GHashTable *by_address;
  GHashTable *tombstones;
  GQueue *tombstones_by_age;
  uint32_t lease_max_ms;
  struct jc_refused *refused;
  struct jc_ended *ended;
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

/* Return an empty table, to be freed with jc_endpoints_free.  */
struct jc_endpoints *
jc_endpoints_new (void)
{
  struct jc_endpoints *endpoints = g_new0 (struct jc_endpoints, 1);

  endpoints->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, endpoint_free);
  endpoints->by_tag = g_hash_table_new (g_int64_hash, g_int64_equal);
  endpoints->tombstones
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, tombstone_free);
  endpoints->tombstones_by_age = g_queue_new ();
  endpoints->refused = jc_refused_new ();
  endpoints->ended = jc_ended_new ();
  return endpoints;
}

/* Assign each address to the endpoint with the latest incarnation that reports
   it, so that a delayed report does not bring back an endpoint whose address is
   now used by another.  To be called on an empty table.  Incarnations must then
   be start times, so that those of different endpoints can be compared.  */
void
jc_endpoints_require_unique_addresses (struct jc_endpoints *endpoints)
{
  endpoints->by_address = g_hash_table_new (g_str_hash, g_str_equal);
}

/* Tell ENDPOINTS that a report which was just received has LEASE_MS left of its
   lease, so that one with less is dated back even if the table has not seen a
   newer one.  */
void
jc_endpoints_expect_lease (struct jc_endpoints *endpoints, uint32_t lease_ms)
{
  endpoints->lease_max_ms = MAX (endpoints->lease_max_ms, lease_ms);
}

/* Free ENDPOINTS and every endpoint in it.  */
void
jc_endpoints_free (struct jc_endpoints *endpoints)
{
  if (endpoints->by_address != NULL)
    g_hash_table_destroy (endpoints->by_address);
  g_hash_table_destroy (endpoints->by_tag);
  g_hash_table_destroy (endpoints->by_name);
  g_queue_free (endpoints->tombstones_by_age);
  g_hash_table_destroy (endpoints->tombstones);
  jc_refused_free (endpoints->refused);
  jc_ended_free (endpoints->ended);
  g_free (endpoints);
}

static uint64_t
hash_bytes (uint64_t hash, const void *data, size_t size)
{
  const unsigned char *bytes = data;

  for (size_t i = 0; i < size; i++)
    hash = (hash ^ bytes[i]) * FNV_PRIME;
  return hash;
}

/* Return a hash of the names A and B that is the same in every process, so that
   all instances rank names alike.  */
uint64_t
jc_name_pair_hash (const char *a, const char *b)
{
  uint64_t hash = hash_bytes (FNV_OFFSET_BASIS, a, strlen (a) + 1);

  hash = hash_bytes (hash, b, strlen (b) + 1);
  hash ^= hash >> 32;
  return hash * FNV_PRIME;
}

static uint64_t
endpoint_tag (const char *name, uint64_t incarnation)
{
  uint64_t hash = hash_bytes (FNV_OFFSET_BASIS, name, strlen (name) + 1);

  for (int shift = 0; shift < 64; shift += 8)
    hash = (hash ^ ((incarnation >> shift) & 0xFF)) * FNV_PRIME;
  return hash;
}

static void
replace_string (char **slot, const char *text)
{
  if (g_strcmp0 (*slot, text) == 0)
    return;
  g_free (*slot);
  *slot = g_strdup (text);
}

static void
endpoint_update (struct jc_endpoint *endpoint,
                 const struct rpc_endpoint *report, int64_t now_ms)
{
  if (endpoint->incarnation != report->incarnation)
    endpoint->software = 0;
  endpoint->incarnation = report->incarnation;
  endpoint->sequence = report->sequence;
  endpoint->leaving = report->leaving;
  endpoint->slots = report->slots;
  endpoint->running = report->running;
  endpoint->queued = report->queued;
  endpoint->tokens_per_s = report->tokens_per_s;
  endpoint->lease_until_ms = now_ms + report->lease_ms;
  endpoint->warm_at_ms = now_ms + report->cold_ms;
  replace_string (&endpoint->zone, report->zone != NULL ? report->zone : "");
  replace_string (&endpoint->address, report->address);
  replace_string (&endpoint->service, report->service);
  replace_string (&endpoint->role, report->role);
  g_ptr_array_set_size (endpoint->models, 0);
  for (u_int i = 0; i < report->models.models_len; i++)
    g_ptr_array_add (endpoint->models, g_strdup (report->models.models_val[i]));
}

static struct jc_endpoint *
endpoints_add (struct jc_endpoints *endpoints, const char *name)
{
  struct jc_endpoint *endpoint = g_new0 (struct jc_endpoint, 1);

  endpoint->name = g_strdup (name);
  endpoint->models = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_insert (endpoints->by_name, endpoint->name, endpoint);
  return endpoint;
}

static void
endpoints_update_tag (struct jc_endpoints *endpoints,
                      struct jc_endpoint *endpoint)
{
  uint64_t tag = endpoint_tag (endpoint->name, endpoint->incarnation);

  if (g_hash_table_lookup (endpoints->by_tag, &endpoint->tag) == endpoint)
    g_hash_table_remove (endpoints->by_tag, &endpoint->tag);
  endpoint->tag = tag;
  g_hash_table_replace (endpoints->by_tag, &endpoint->tag, endpoint);
}

/* Return what is known of the reports of the endpoint NAME: all 0 if
   nothing.  */
static struct jc_report_order
find_order (const struct jc_endpoints *endpoints, const char *name)
{
  const struct jc_endpoint *endpoint
      = g_hash_table_lookup (endpoints->by_name, name);
  const struct tombstone *tombstone
      = g_hash_table_lookup (endpoints->tombstones, name);
  struct jc_report_order order = { 0 };

  if (endpoint != NULL)
    {
      order = endpoint->order;
      order.leaving = endpoint->leaving && order.replaced_ms == 0;
    }
  else if (tombstone != NULL)
    order = tombstone->order;
  return order;
}

static bool
is_known (const struct jc_endpoints *endpoints, const char *name)
{
  return g_hash_table_contains (endpoints->by_name, name)
         || g_hash_table_contains (endpoints->tombstones, name);
}

/* Return the endpoint with the address of REPORT but another name, or NULL if
   there is none.  */
static struct jc_endpoint *
find_address_holder (const struct jc_endpoints *endpoints,
                     const struct rpc_endpoint *report)
{
  struct jc_endpoint *other
      = endpoints->by_address != NULL
            ? g_hash_table_lookup (endpoints->by_address, report->address)
            : NULL;

  return other != NULL && strcmp (other->name, report->name) != 0 ? other
                                                                  : NULL;
}

/* Judge REPORT by ORDER, what is known of its endpoint, and by the endpoint
   that has its address.  A report that is disputed counts once its endpoint has
   gone on while the other was silent; it is then judged as JC_REPORT_DISPUTED,
   before that as JC_REPORT_EARLIER.  */
static enum jc_report_verdict
judge (const struct jc_endpoints *endpoints,
       const struct jc_report_order *order, const struct rpc_endpoint *report,
       int64_t now_ms)
{
  const struct jc_endpoint *other = find_address_holder (endpoints, report);
  bool later_holder = other != NULL && other->incarnation > report->incarnation;
  enum jc_report_verdict verdict = is_known (endpoints, report->name)
                                       ? jc_report_order_judge (order, report)
                                       : JC_REPORT_LATER;
  int64_t heard_ms = INT64_MIN;

  if (verdict == JC_REPORT_EARLIER
      || (verdict == JC_REPORT_LATER && !later_holder))
    return verdict;
  if (order->replaced_ms != 0)
    heard_ms = order->replaced_ms;
  else if (verdict == JC_REPORT_DISPUTED)
    heard_ms = order->heard_ms;
  if (other != NULL)
    heard_ms = MAX (heard_ms, other->order.heard_ms);
  if (!jc_refused_add (endpoints->refused, report, heard_ms, now_ms))
    return JC_REPORT_EARLIER;
  return verdict;
}

/* Return when a report was received from its endpoint that reaches this table
   at NOW_MS with LEASE_MS left of its lease.  */
static int64_t
report_time_ms (struct jc_endpoints *endpoints, uint32_t lease_ms,
                int64_t now_ms)
{
  endpoints->lease_max_ms = MAX (endpoints->lease_max_ms, lease_ms);
  return now_ms - (endpoints->lease_max_ms - lease_ms);
}

/* Update the table from REPORT, received at NOW_MS; its lease_ms is the time
   left of its lease.  Return JC_BEHIND if the table has the same or a later
   report or if REPORT's address belongs to a later endpoint, unless the
   endpoint of REPORT goes on while the other is silent, or if its incarnation
   has ended, and JC_OVERLOADED if the table is full.  */
enum jc_status
jc_endpoints_update (struct jc_endpoints *endpoints,
                     const struct rpc_endpoint *report, int64_t now_ms)
{
  struct jc_endpoint *endpoint
      = g_hash_table_lookup (endpoints->by_name, report->name);
  struct jc_report_order order = find_order (endpoints, report->name);
  enum jc_report_verdict verdict;
  bool new_incarnation;

  if (!report->leaving
      && jc_ended_contains (endpoints->ended,
                            endpoint_tag (report->name, report->incarnation)))
    return jc_fail (JC_BEHIND, "This process of %s has ended.", report->name);
  verdict = judge (endpoints, &order, report, now_ms);
  if (verdict == JC_REPORT_EARLIER)
    return jc_fail (JC_BEHIND, "A later report of %s or %s is known.",
                    report->name, report->address);
  endpoints_claim_address (endpoints, report, now_ms);
  if (endpoint == NULL && jc_endpoints_count (endpoints) >= ENDPOINTS_MAX)
    return jc_fail (JC_OVERLOADED, "The zone has too many endpoints.");
  if (endpoint == NULL)
    endpoint = endpoints_add (endpoints, report->name);
  new_incarnation = endpoint->incarnation != report->incarnation;
  endpoints_release_address (endpoints, endpoint);
  endpoint_update (endpoint, report, now_ms);
  endpoint->reported_ms = report_time_ms (endpoints, report->lease_ms, now_ms);
  endpoint->order = order;
  jc_report_order_accept (&endpoint->order, report, verdict, now_ms);
  jc_refused_remove (endpoints->refused, report->name);
  if (endpoints->by_address != NULL)
    g_hash_table_replace (endpoints->by_address, endpoint->address, endpoint);
  if (new_incarnation)
    {
      endpoint->known_ms = now_ms;
      endpoints_update_tag (endpoints, endpoint);
    }
  return JC_OK;
}

/* Return whether REPORT, which was just refused, may be one of an endpoint that
   goes on, so that others should hear it too.  */
bool
jc_endpoints_dispute (const struct jc_endpoints *endpoints,
                      const struct rpc_endpoint *report)
{
  return jc_refused_has (endpoints->refused, report);
}

/* Return the sequence closest to KNOWN whose low 32 bits are LOW.  */
static uint64_t
sequence_expand (uint64_t known, uint32_t low)
{
  return known + (uint64_t)(int64_t)(int32_t)(low - (uint32_t)known);
}

static unsigned int
lease_left_ms (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return (unsigned int)MAX (endpoint->lease_until_ms - now_ms, 0);
}

/* Return whether the sender of LOAD heard ENDPOINT much later than this process
   did, though with an earlier SEQUENCE: what is known here then is not of the
   endpoint.  */
static bool
load_contradicts (const struct jc_endpoint *endpoint,
                  const struct rpc_zone_load *load, uint64_t sequence,
                  int64_t now_ms)
{
  return sequence < endpoint->sequence
         && (load->pace >> HALF_BITS) / 2 > lease_left_ms (endpoint, now_ms);
}

/* Update the load and lease of the endpoint that LOAD identifies by its tag.
   Return JC_NOT_FOUND if no endpoint has the tag or what is known of it is not
   what the sender knows, and JC_BEHIND if the endpoint is leaving or the table
   has the same or a later report.  */
enum jc_status
jc_endpoints_update_load (struct jc_endpoints *endpoints,
                          const struct rpc_zone_load *load, int64_t now_ms)
{
  uint64_t tag = load->tag;
  struct jc_endpoint *endpoint = g_hash_table_lookup (endpoints->by_tag, &tag);
  uint64_t sequence;

  if (endpoint == NULL || endpoint->order.replaced_ms != 0)
    return jc_fail (JC_NOT_FOUND, "No endpoint has this tag.");
  sequence = sequence_expand (endpoint->sequence, load->sequence);
  if (!endpoint->leaving && load_contradicts (endpoint, load, sequence, now_ms))
    return jc_fail (JC_NOT_FOUND, "%s was heard with an earlier sequence.",
                    endpoint->name);
  if (endpoint->leaving || sequence <= endpoint->sequence
      || sequence - endpoint->sequence > INT32_MAX)
    return jc_fail (JC_BEHIND, "A later report of %s is known.",
                    endpoint->name);
  endpoint->sequence = sequence;
  jc_report_order_refresh (&endpoint->order, sequence, now_ms);
  endpoint->running = load->work >> HALF_BITS;
  endpoint->queued = load->work & HALF_MAX;
  endpoint->tokens_per_s = load->pace & HALF_MAX;
  endpoint->reported_ms
      = report_time_ms (endpoints, load->pace >> HALF_BITS, now_ms);
  endpoint->lease_until_ms = now_ms + (load->pace >> HALF_BITS);
  return JC_OK;
}

/* Record the software version of the incarnation that ENDPOINT_VERSION names;
   another one than the one known here is ignored.  */
void
jc_endpoints_set_software (struct jc_endpoints *endpoints,
                           const struct rpc_endpoint_version *endpoint_version)
{
  struct jc_endpoint *endpoint
      = g_hash_table_lookup (endpoints->by_name, endpoint_version->endpoint);

  if (endpoint != NULL
      && endpoint->incarnation == endpoint_version->endpoint_incarnation)
    endpoint->software = endpoint_version->software;
}

static unsigned int
cold_left_ms (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return (unsigned int)MAX (endpoint->warm_at_ms - now_ms, 0);
}

/* Set OUT to the report that describes ENDPOINT, with the lease and cold time
   left at NOW_MS.  OUT borrows its strings from ENDPOINT.  */
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
                                .lease_ms = lease_left_ms (endpoint, now_ms),
                                .cold_ms = cold_left_ms (endpoint, now_ms) };
  out->models.models_val = (rpc_name *)endpoint->models->pdata;
  out->models.models_len = endpoint->models->len;
}

/* Return the load report of ENDPOINT with the lease left at NOW_MS.  Numbers
   over 65535 are reported as 65535.  */
struct rpc_zone_load
jc_endpoint_to_rpc_load (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  unsigned int running = MIN (endpoint->running, HALF_MAX);
  unsigned int queued = MIN (endpoint->queued, HALF_MAX);
  unsigned int lease_ms = MIN (lease_left_ms (endpoint, now_ms), HALF_MAX);
  unsigned int tokens_per_s = MIN (endpoint->tokens_per_s, HALF_MAX);

  return (struct rpc_zone_load){ .tag = endpoint->tag,
                                 .sequence = (u_int)endpoint->sequence,
                                 .work = running << HALF_BITS | queued,
                                 .pace = lease_ms << HALF_BITS | tokens_per_s };
}

static void
endpoints_release_address (struct jc_endpoints *endpoints,
                           const struct jc_endpoint *endpoint)
{
  if (endpoints->by_address != NULL && endpoint->address != NULL
      && g_hash_table_lookup (endpoints->by_address, endpoint->address)
             == endpoint)
    g_hash_table_remove (endpoints->by_address, endpoint->address);
}

static void
tombstones_drop_oldest (struct jc_endpoints *endpoints)
{
  const struct tombstone *oldest
      = g_queue_pop_head (endpoints->tombstones_by_age);

  g_hash_table_remove (endpoints->tombstones, oldest->name);
}

static void
tombstone_add (struct jc_endpoints *endpoints,
               const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct tombstone *old
      = g_hash_table_lookup (endpoints->tombstones, endpoint->name);
  struct tombstone *tombstone = g_new0 (struct tombstone, 1);

  if (old != NULL)
    {
      g_queue_remove (endpoints->tombstones_by_age, old);
      g_hash_table_remove (endpoints->tombstones, old->name);
    }
  tombstone->name = g_strdup (endpoint->name);
  tombstone->order = endpoint->order;
  tombstone->order.leaving
      = endpoint->leaving && endpoint->order.replaced_ms == 0;
  tombstone->until_ms = now_ms + TOMBSTONE_LIFETIME_MS;
  g_hash_table_insert (endpoints->tombstones, tombstone->name, tombstone);
  g_queue_push_tail (endpoints->tombstones_by_age, tombstone);
  if (g_hash_table_size (endpoints->tombstones) > TOMBSTONES_MAX)
    tombstones_drop_oldest (endpoints);
}

static void
tombstones_expire (struct jc_endpoints *endpoints, int64_t now_ms)
{
  const struct tombstone *oldest;

  while ((oldest = g_queue_peek_head (endpoints->tombstones_by_age)) != NULL
         && oldest->until_ms < now_ms)
    tombstones_drop_oldest (endpoints);
}

static void
endpoints_retire (struct jc_endpoints *endpoints, struct jc_endpoint *endpoint,
                  int64_t now_ms)
{
  tombstone_add (endpoints, endpoint, now_ms);
  endpoints_release_address (endpoints, endpoint);
  if (g_hash_table_lookup (endpoints->by_tag, &endpoint->tag) == endpoint)
    g_hash_table_remove (endpoints->by_tag, &endpoint->tag);
}

/* Release the address of REPORT from any other endpoint that has it, whose
   lease ends with that.  */
static void
endpoints_claim_address (struct jc_endpoints *endpoints,
                         const struct rpc_endpoint *report, int64_t now_ms)
{
  struct jc_endpoint *other = find_address_holder (endpoints, report);

  if (other == NULL)
    return;
  if (!other->leaving)
    other->order.replaced_ms = now_ms;
  other->leaving = true;
  other->lease_until_ms = now_ms - 1;
  endpoints_release_address (endpoints, other);
}

/* Mark the endpoint NAME as leaving, so that it gets no new work.  INCARNATION
   0 matches any.  Return JC_NOT_FOUND if the table has no such endpoint.  */
enum jc_status
jc_endpoints_mark_leaving (struct jc_endpoints *endpoints, const char *name,
                           uint64_t incarnation)
{
  struct jc_endpoint *endpoint = g_hash_table_lookup (endpoints->by_name, name);

  if (endpoint == NULL
      || (incarnation != 0 && endpoint->incarnation != incarnation))
    return jc_fail (JC_NOT_FOUND, "No endpoint %s is known.", name);
  endpoint->leaving = true;
  endpoint->order.replaced_ms = 0;
  return JC_OK;
}

/* End INCARNATION, not 0, of the endpoint NAME for good, as of NOW_MS: it gets
   no new work, whether it is known already or reports or answers later.  Return
   whether it was in use until now.  */
bool
jc_endpoints_end (struct jc_endpoints *endpoints, const char *name,
                  uint64_t incarnation, int64_t now_ms)
{
  const struct jc_endpoint *known
      = g_hash_table_lookup (endpoints->by_name, name);
  bool was_used = known != NULL && known->incarnation == incarnation
                  && jc_endpoint_is_usable (known, now_ms);

  jc_ended_add (endpoints->ended, endpoint_tag (name, incarnation), now_ms);
  if (known != NULL && known->incarnation == incarnation)
    jc_endpoints_mark_leaving (endpoints, name, incarnation);
  return was_used;
}

/* Extend the lease of ENDPOINT to UNTIL_MS at least, since it answered.  That
   of one which is leaving stays as it is.  */
void
jc_endpoint_extend_lease (struct jc_endpoint *endpoint, int64_t until_ms)
{
  if (!endpoint->leaving)
    endpoint->lease_until_ms = MAX (endpoint->lease_until_ms, until_ms);
}

/* Remove the endpoints whose lease ended before NOW_MS and that have no attempt
   in flight.  Each leaves a tombstone for a while, which keeps late reports
   from adding it again.  */
void
jc_endpoints_expire (struct jc_endpoints *endpoints, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  tombstones_expire (endpoints, now_ms);
  jc_refused_expire (endpoints->refused, now_ms);
  jc_ended_expire (endpoints->ended, now_ms);
  g_hash_table_iter_init (&iter, endpoints->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_endpoint *endpoint = value;

      if (endpoint->lease_until_ms >= now_ms || endpoint->in_flight > 0)
        continue;
      endpoints_retire (endpoints, endpoint, now_ms);
      g_hash_table_iter_remove (&iter);
    }
}

/* Return the endpoint NAME, or NULL if the table has none.  */
struct jc_endpoint *
jc_endpoints_find (const struct jc_endpoints *endpoints, const char *name)
{
  return g_hash_table_lookup (endpoints->by_name, name);
}

/* Return the endpoint that TAG identifies, or NULL if the table has none.  */
struct jc_endpoint *
jc_endpoints_find_by_tag (const struct jc_endpoints *endpoints, uint64_t tag)
{
  return g_hash_table_lookup (endpoints->by_tag, &tag);
}

/* Return the number of endpoints, leaving ones included.  */
guint
jc_endpoints_count (const struct jc_endpoints *endpoints)
{
  return g_hash_table_size (endpoints->by_name);
}

/* Return the number of tombstones of removed endpoints.  */
guint
jc_endpoints_count_tombstones (const struct jc_endpoints *endpoints)
{
  return g_hash_table_size (endpoints->tombstones);
}

/* Return whether ENDPOINT may get new work at NOW_MS: it is not leaving and its
   lease is valid.  */
bool
jc_endpoint_is_usable (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return !endpoint->leaving && endpoint->lease_until_ms >= now_ms;
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

/* Add every endpoint to OUT and sort OUT by name.  The endpoints stay owned by
   ENDPOINTS.  */
void
jc_endpoints_list (const struct jc_endpoints *endpoints, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, endpoints->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (out, value);
  g_ptr_array_sort (out, compare_names);
}

/* Add the endpoints of SERVICE that may get new work at NOW_MS and serve MODEL
   to OUT and sort OUT by name.  A MODEL that is NULL or empty matches any.  The
   endpoints stay owned by ENDPOINTS.  */
void
jc_endpoints_list_serving (const struct jc_endpoints *endpoints,
                           const char *service, const char *model,
                           int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, endpoints->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_endpoint *endpoint = value;

      if (jc_endpoint_is_usable (endpoint, now_ms)
          && endpoint_serves (endpoint, service, model))
        g_ptr_array_add (out, endpoint);
    }
  g_ptr_array_sort (out, compare_names);
}
