/* Returns: when refused callers come back.  */

#include "serve/returns.h"

#include <glib.h>

#include "serve/regionload.h"

/* Part of a caller's limit from which on those are spread who get no time of
   the rate.  */
#define LATE_PART 0.5
/* The share of requests that are not refused is at least this, so that times go
   on being told when nothing is served.  */
#define TAKEN_SHARE_MIN 0.05

enum
{
  /* Services whose rates are kept.  */
  SERVICES_MAX = 64,
  /* Callers who are told the least time are spread over this part of it, and
     over SPREAD_MIN_MS at least.  */
  SPREAD_DIVISOR = 4,
  SPREAD_MIN_MS = 400,
  MS_PER_S = 1000
};

/* The requests of a service that end, and those that are refused, at this
   instance.  NEXT_MS is the first time that no caller has been told.  */
struct service
{
  struct jc_request_rate ended;
  struct jc_request_rate refused;
  double next_ms;
};

struct jc_returns
{
  GHashTable *services;
};

struct jc_returns *
jc_returns_new (void)
{
  struct jc_returns *returns = g_new0 (struct jc_returns, 1);

  returns->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return returns;
}

/* Free RETURNS, which may be NULL.  */
void
jc_returns_free (struct jc_returns *returns)
{
  if (returns == NULL)
    return;
  g_hash_table_destroy (returns->services);
  g_free (returns);
}

/* Return the row of the service NAME.  A full table, which can only hold
   services that no configuration names any longer, is cleared first.  */
static struct service *
service_get (struct jc_returns *returns, const char *name)
{
  struct service *service = g_hash_table_lookup (returns->services, name);

  if (service != NULL)
    return service;
  if (g_hash_table_size (returns->services) >= SERVICES_MAX)
    g_hash_table_remove_all (returns->services);
  service = g_new0 (struct service, 1);
  g_hash_table_insert (returns->services, g_strdup (name), service);
  return service;
}

/* Record that a request of SERVICE that was not refused ended at NOW_MS, so
   that there is room for another one.  */
void
jc_returns_note_end (struct jc_returns *returns, const char *service,
                     int64_t now_ms)
{
  jc_request_rate_add (&service_get (returns, service)->ended, now_ms);
}

/* Return the rate at which SERVICE takes callers who come back, per s.  */
static double
taken_per_s (const struct service *service, int64_t now_ms)
{
  double ended = jc_request_rate_at (&service->ended, now_ms);
  double refused = jc_request_rate_at (&service->refused, now_ms);
  double share = ended / MAX (ended + refused, 1);

  return ended * MAX (share, TAKEN_SHARE_MIN);
}

/* Count CALLER, who is refused at NOW_MS, and return after which time it should
   come back, ms: at most its limit, unless its least time is later.  */
int64_t
jc_returns_book (struct jc_returns *returns, const struct jc_returning *caller,
                 int64_t now_ms)
{
  struct service *service = service_get (returns, caller->service);
  double spread = MAX (caller->least_ms / SPREAD_DIVISOR, SPREAD_MIN_MS);
  double least = (double)caller->least_ms + caller->draw * spread;
  double limit = (double)caller->limit_ms;
  double rate;
  double wait;

  jc_request_rate_add (&service->refused, now_ms);
  if (limit <= least)
    return (int64_t)least;
  rate = taken_per_s (service, now_ms);
  service->next_ms
      = MAX (service->next_ms, (double)(now_ms + caller->least_ms));
  wait = service->next_ms - (double)now_ms;
  if (rate <= 0 || wait > limit)
    return (int64_t)MAX (least,
                         limit * (LATE_PART + (1 - LATE_PART) * caller->draw));
  service->next_ms += MS_PER_S / rate;
  return (int64_t)MIN (MAX (wait, least), limit);
}
