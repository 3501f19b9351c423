/* Shares of endpoints that end if they refuse too many requests.  */

#include "serve/shares.h"

#include "member/slotowners.h"

enum
{
  /* A refusal limit that no endpoint of the service has named for this long has
     ended.  Longer than an endpoint takes to come back.  */
  HEARD_MS = 10000,
  /* An instance without slots may have one request at an endpoint until this
     long after the last answer that named no refusal limit, while slots are
     leased.  Endpoints let as many requests wait as before for longer than
     that.  */
  LEASING_MS = 2000,
  LEASING_REQUESTS = 1,
  /* Endpoints count refusals within this time.  */
  REFUSALS_MS = 1000,
  /* A request whose connection was closed has ended by then at most
     endpoints.  */
  ABANDONED_MS = 1000,
  /* A slot is leased anew when its lease ends sooner than this.  */
  RENEW_LEFT_MS = 3000,
  /* What is known of an endpoint without requests is dropped after this
     time.  */
  UNUSED_MS = 60000
};

/* The endpoints of a service.  HEARD_MS is when one of them last named a
   refusal limit, as far as any instance knows, SINCE_NUMBER the number of the
   last request that was sent before the first of a sequence of such answers.
   UNNAMED_MS is when an answer last named none before that, 0 for never, and
   slots are leased until LEASING_UNTIL_MS.  */
struct service
{
  int64_t heard_ms;
  uint64_t since_number;
  int64_t unnamed_ms;
  int64_t leasing_until_ms;
};

/* Requests of this instance at an incarnation of an endpoint of SERVICE.  The
   endpoint serves SLOTS requests at once.  REFUSALS_MAX is its limit as it was
   last named, HEARD_NUMBER the number of the last request sent before that, and
   UNNAMED_NUMBER that of the last request whose answer named none.  RUNNING
   counts requests that are there, ABANDONED and REFUSED hold the times until
   which others count.  SLOT_UNTIL_MS is when each leased slot ends,
   UNLEASED_UNTIL_MS until when each may be used without a lease, USED_MS when a
   request was last sent or a slot leased.  */
struct share
{
  char *endpoint;
  uint64_t incarnation;
  struct service *service;
  unsigned int slots;
  int refusals_max;
  uint64_t heard_number;
  uint64_t unnamed_number;
  unsigned int running;
  GArray *abandoned;
  GArray *refused;
  int64_t slot_until_ms[JC_LIMIT_SLOTS];
  int64_t unleased_until_ms[JC_LIMIT_SLOTS];
  int64_t used_ms;
};

/* SHARES maps names of endpoints to struct share, SERVICES names to struct
   service.  SEND_NUMBER is that of the last request sent to any endpoint.  */
struct jc_shares
{
  GHashTable *shares;
  GHashTable *services;
  uint64_t send_number;
};

static void
share_free (gpointer data)
{
  struct share *share = data;

  g_array_free (share->abandoned, TRUE);
  g_array_free (share->refused, TRUE);
  g_free (share->endpoint);
  g_free (share);
}

/* Return a table in which no endpoint has named a refusal limit, to be freed
   with jc_shares_free.  */
struct jc_shares *
jc_shares_new (void)
{
  struct jc_shares *shares = g_new0 (struct jc_shares, 1);

  shares->shares
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, share_free);
  shares->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return shares;
}

/* Free SHARES, which may be NULL.  */
void
jc_shares_free (struct jc_shares *shares)
{
  if (shares == NULL)
    return;
  g_hash_table_destroy (shares->shares);
  g_hash_table_destroy (shares->services);
  g_free (shares);
}

static struct service *
service_get (struct jc_shares *shares, const char *name)
{
  struct service *service = g_hash_table_lookup (shares->services, name);

  if (service == NULL)
    {
      service = g_new0 (struct service, 1);
      service->heard_ms = G_MININT64 / 2;
      g_hash_table_insert (shares->services, g_strdup (name), service);
    }
  return service;
}

static bool
service_is_heard (const struct service *service, int64_t now_ms)
{
  return service != NULL && now_ms - service->heard_ms < HEARD_MS;
}

/* Return the row of INCARNATION of ENDPOINT, or NULL.  */
static struct share *
share_find (const struct jc_shares *shares, const char *endpoint,
            uint64_t incarnation)
{
  struct share *share = g_hash_table_lookup (shares->shares, endpoint);

  return share != NULL && share->incarnation == incarnation ? share : NULL;
}

/* Return the row of ENDPOINT; one of another incarnation is replaced.  */
static struct share *
share_get (struct jc_shares *shares, const struct jc_endpoint *endpoint,
           int64_t now_ms)
{
  struct share *share
      = share_find (shares, endpoint->name, endpoint->incarnation);

  if (share != NULL)
    return share;
  share = g_new0 (struct share, 1);
  share->endpoint = g_strdup (endpoint->name);
  share->incarnation = endpoint->incarnation;
  share->service = service_get (shares, endpoint->service);
  share->slots = MAX (endpoint->slots, 1);
  share->abandoned = g_array_new (FALSE, FALSE, sizeof (int64_t));
  share->refused = g_array_new (FALSE, FALSE, sizeof (int64_t));
  share->used_ms = now_ms;
  g_hash_table_replace (shares->shares, share->endpoint, share);
  return share;
}

/* Remove the times before NOW_MS from UNTIL, which is in order, and return how
   many are left.  */
static unsigned int
count_until (GArray *until, int64_t now_ms)
{
  guint past = 0;

  while (past < until->len && g_array_index (until, int64_t, past) <= now_ms)
    past++;
  if (past > 0)
    g_array_remove_range (until, 0, past);
  return until->len;
}

/* Return the requests that may be at SHARE's endpoint by the slots that this
   instance may use.  */
static unsigned int
slots_held (const struct share *share, int64_t now_ms)
{
  unsigned int slots = 0;

  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    if (share->slot_until_ms[i] > now_ms
        || share->unleased_until_ms[i] > now_ms)
      slots += jc_slot_size (share->slots, i);
  return slots;
}

/* Return the requests that are, or may be, at SHARE's endpoint.  Those that
   were refused count too, for as long as the endpoint counts their refusal:
   there was no slot for them.  */
static unsigned int
slots_used (struct share *share, int64_t now_ms)
{
  return share->running + count_until (share->abandoned, now_ms)
         + count_until (share->refused, now_ms);
}

/* Return whether SHARE's part of the refusals that its endpoint bears is used
   up.  */
static bool
has_refused_enough (struct share *share, unsigned int held, int64_t now_ms)
{
  unsigned int refused = count_until (share->refused, now_ms);

  return refused > 0
         && (uint64_t)refused * share->slots
                > (uint64_t)held * (unsigned int)MAX (share->refusals_max, 0);
}

/* Return whether the endpoint of SHARE, NULL for one that got no request yet,
   has a refusal limit as one of SERVICE.  Its own answers to requests that were
   sent since the service has one tell; until then it counts as having one.  */
static bool
share_is_limited (const struct share *share, const struct service *service,
                  int64_t now_ms)
{
  return service_is_heard (service, now_ms)
         && (share == NULL
             || share->unnamed_number
                    <= MAX (share->heard_number, service->since_number));
}

/* Record that an endpoint of SERVICE named a refusal limit at HEARD_MS.  Return
   true if none was known to before.  */
static bool
service_note_heard (struct jc_shares *shares, struct service *service,
                    int64_t heard_ms, int64_t now_ms)
{
  bool is_new = !service_is_heard (service, now_ms);

  service->heard_ms = MAX (service->heard_ms, heard_ms);
  if (!is_new || !service_is_heard (service, now_ms))
    return false;
  service->since_number = shares->send_number;
  service->leasing_until_ms
      = service->unnamed_ms > 0 ? service->unnamed_ms + LEASING_MS : 0;
  return true;
}

/* Record that, as another instance says, an endpoint of SERVICE named a refusal
   limit at HEARD_MS.  Return true if none was known to before.  */
bool
jc_shares_note_heard (struct jc_shares *shares, const char *service,
                      int64_t heard_ms, int64_t now_ms)
{
  return service_note_heard (shares, service_get (shares, service),
                             MIN (heard_ms, now_ms), now_ms);
}

/* Apply ANSWER of ENDPOINT.  An answer that names no refusal limit tells that
   the endpoint has none only if its request was sent after the limit was last
   heard.  Return true if the limit changed.  */
bool
jc_shares_note_answer (struct jc_shares *shares,
                       const struct jc_endpoint *endpoint,
                       const struct jc_share_answer *answer)
{
  const struct jc_answer_info *info = answer->info;
  struct share *share = share_get (shares, endpoint, answer->now_ms);
  struct service *service = share->service;
  bool was_limited = share_is_limited (share, service, answer->now_ms);
  int before = share->refusals_max;

  if (info->has_load && info->slots > 0)
    share->slots = MIN (share->slots, info->slots);
  if (info->refusals_max_per_s >= 0)
    {
      share->refusals_max = info->refusals_max_per_s;
      service_note_heard (shares, service, answer->now_ms, answer->now_ms);
      share->heard_number = shares->send_number;
      return !was_limited || before != share->refusals_max;
    }
  if (info->malformed != NULL || !(info->genuine || info->not_run))
    return false;
  if (answer->send_number > share->heard_number)
    share->unnamed_number = MAX (share->unnamed_number, answer->send_number);
  if (!service_is_heard (service, answer->now_ms))
    service->unnamed_ms = answer->now_ms;
  return was_limited != share_is_limited (share, service, answer->now_ms);
}

/* Return when an endpoint of SERVICE last named a refusal limit, or -1 if that
   has ended.  */
int64_t
jc_shares_heard_ms (const struct jc_shares *shares, const char *service,
                    int64_t now_ms)
{
  const struct service *known = g_hash_table_lookup (shares->services, service);

  return service_is_heard (known, now_ms) ? known->heard_ms : -1;
}

/* Return whether the slots of SERVICE's endpoints are shared out.  */
bool
jc_shares_is_service_shared (const struct jc_shares *shares,
                             const char *service, int64_t now_ms)
{
  return service_is_heard (g_hash_table_lookup (shares->services, service),
                           now_ms);
}

/* Return whether the slots of ENDPOINT are shared out.  */
bool
jc_shares_is_shared (const struct jc_shares *shares,
                     const struct jc_endpoint *endpoint, int64_t now_ms)
{
  const struct service *service
      = g_hash_table_lookup (shares->services, endpoint->service);

  return service_is_heard (service, now_ms)
         && share_is_limited (
             share_find (shares, endpoint->name, endpoint->incarnation),
             service, now_ms);
}

/* Return whether a request may be sent to ENDPOINT now as far as its refusal
   limit is concerned.  */
bool
jc_shares_may_send (struct jc_shares *shares,
                    const struct jc_endpoint *endpoint, int64_t now_ms)
{
  struct share *share;
  unsigned int held;

  if (!jc_shares_is_shared (shares, endpoint, now_ms))
    return true;
  share = share_get (shares, endpoint, now_ms);
  held = slots_held (share, now_ms);
  if (now_ms < share->service->leasing_until_ms)
    held = MAX (held, LEASING_REQUESTS);
  return slots_used (share, now_ms) < held
         && !has_refused_enough (share, held, now_ms);
}

/* Count the request SEND_NUMBER, which is sent to ENDPOINT now.  */
void
jc_shares_note_send (struct jc_shares *shares,
                     const struct jc_endpoint *endpoint, uint64_t send_number,
                     int64_t now_ms)
{
  struct share *share = share_get (shares, endpoint, now_ms);

  share->running++;
  share->used_ms = now_ms;
  shares->send_number = send_number;
}

/* Record that a request that was sent to INCARNATION of ENDPOINT ended by
   END.  */
void
jc_shares_note_end (struct jc_shares *shares, const char *endpoint,
                    uint64_t incarnation, enum jc_share_end end, int64_t now_ms)
{
  struct share *share = share_find (shares, endpoint, incarnation);
  int64_t until_ms
      = now_ms + (end == JC_SHARE_REFUSED ? REFUSALS_MS : ABANDONED_MS);

  if (share == NULL || share->running == 0)
    return;
  share->running--;
  if (end == JC_SHARE_REFUSED)
    g_array_append_val (share->refused, until_ms);
  else if (end == JC_SHARE_ABANDONED)
    g_array_append_val (share->abandoned, until_ms);
}

/* Apply LEASE.  A lease of an incarnation that is not known here is of no
   use.  */
void
jc_shares_note_lease (struct jc_shares *shares,
                      const struct rpc_limit_lease *lease, int64_t now_ms)
{
  struct share *share
      = share_find (shares, lease->endpoint, lease->endpoint_incarnation);
  int64_t requested_ms = (int64_t)lease->requested_ms;

  if (share == NULL || lease->slot >= JC_LIMIT_SLOTS || requested_ms > now_ms)
    return;
  share->slot_until_ms[lease->slot] = MAX (share->slot_until_ms[lease->slot],
                                           requested_ms + JC_LIMIT_LEASE_MS);
  share->used_ms = now_ms;
}

/* Have this instance use SLOTS, a bit for each slot of ENDPOINT, until UNTIL_MS
   although it leases none of them: there is nothing to lease them from.  */
void
jc_shares_use_unleased (struct jc_shares *shares,
                        const struct jc_endpoint *endpoint, unsigned int slots,
                        int64_t until_ms, int64_t now_ms)
{
  struct share *share = share_get (shares, endpoint, now_ms);

  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    if ((slots & (1U << i)) != 0)
      share->unleased_until_ms[i] = until_ms;
  share->used_ms = now_ms;
}

/* Return those of WANTED, a bit for each slot of ENDPOINT, that are to be
 * leased or renewed now.  */
unsigned int
jc_shares_due (struct jc_shares *shares, const struct jc_endpoint *endpoint,
               unsigned int wanted, int64_t now_ms)
{
  const struct share *share = share_get (shares, endpoint, now_ms);
  unsigned int due = 0;

  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    if ((wanted & (1U << i)) != 0
        && share->slot_until_ms[i] - now_ms < RENEW_LEFT_MS)
      due |= 1U << i;
  return due;
}

/* Return what this instance holds of ENDPOINT.  */
struct jc_share_load
jc_shares_load (struct jc_shares *shares, const struct jc_endpoint *endpoint,
                int64_t now_ms)
{
  struct share *share
      = share_find (shares, endpoint->name, endpoint->incarnation);
  struct jc_share_load load = { 0 };

  if (share == NULL)
    return load;
  load.slots = slots_held (share, now_ms);
  load.used = slots_used (share, now_ms);
  return load;
}

/* Return whether INCARNATION of ENDPOINT has a refusal limit and refused
   requests of this instance within the time in which it counts them.  */
bool
jc_shares_refused_lately (struct jc_shares *shares, const char *endpoint,
                          uint64_t incarnation, int64_t now_ms)
{
  struct share *share = share_find (shares, endpoint, incarnation);

  return share != NULL && share_is_limited (share, share->service, now_ms)
         && count_until (share->refused, now_ms) > 0;
}

/* Append to OUT the names, which belong to SHARES, of services whose endpoints
   have refusal limits.  */
void
jc_shares_list_services (const struct jc_shares *shares, int64_t now_ms,
                         GPtrArray *out)
{
  GHashTableIter iter;
  gpointer name;
  gpointer service;

  g_hash_table_iter_init (&iter, shares->services);
  while (g_hash_table_iter_next (&iter, &name, &service))
    if (service_is_heard (service, now_ms))
      g_ptr_array_add (out, name);
}

static gboolean
is_unused (gpointer key, gpointer value, gpointer now_ms)
{
  const struct share *share = value;

  (void)key;
  return share->running == 0 && *(int64_t *)now_ms - share->used_ms > UNUSED_MS;
}

/* Forget endpoints that got no request and no lease for a long time.  */
void
jc_shares_expire (struct jc_shares *shares, int64_t now_ms)
{
  g_hash_table_foreach_remove (shares->shares, is_unused, &now_ms);
}
