/* Budgets shared by all entry instances.  */

#include "serve/budget.h"
#include "serve/window.h"

enum
{
  /* Time buckets of the window in which retries are earned; each expires as a
     whole.  */
  RETRY_BUCKETS = 20,
  /* A window may contain retries of its own requests and of those of the
     previous window, so each request earns half of the ratio.  */
  RETRY_WINDOWS = 2,
  /* Grants under which a cold endpoint may get requests at the same time: it
     may have restarted under its name, and each incarnation is granted
     separately.  */
  COLD_GRANTS_MAX = 2,
  COLD_WINDOW_MS = 1000,
  /* As many as the table of grants in the log keeps.  Beyond that the grants of
     the endpoints that started first are dropped; these get no requests from
     this instance while cold.  */
  COLD_ENDPOINTS_MAX = 4096
};

/* One retry, less the rounding error of adding fractions.  */
static const double whole_retry_min = 1 - 1e-6;

/* Retries of a service that may be spent now, by the time in which requests
   earned them.  Retries that are not spent within a window expire, except for
   CARRIED_OVER, at most one, for services with few requests.  So the retries of
   any window are at most one plus what was earned in it and in the window
   before: half of the ratio of the requests of both.  This holds for each
   instance alone, whatever it knows of others.  So all instances together stay
   within the ratio of one of the two windows plus one retry per instance.  A
   process that restarts begins with none.  BUCKET_EARNED[i] was earned in the
   time bucket BUCKET_NUMBER[i].  */
struct service
{
  double carried_over;
  int64_t bucket_number[RETRY_BUCKETS];
  double bucket_earned[RETRY_BUCKETS];
};

/* GRANTED_INCARNATION is the incarnation of the endpoint that this instance may
   send to while it is cold.  */
struct cold_endpoint
{
  struct jc_window sent_window;
  uint64_t granted_incarnation;
};

struct jc_budgets
{
  struct jc_budget_settings settings;
  GHashTable *services;
  GHashTable *cold_endpoints;
};

/* Return budgets with SETTINGS, with no retries earned and no grants.  */
struct jc_budgets *
jc_budgets_new (const struct jc_budget_settings *settings)
{
  struct jc_budgets *budgets = g_new0 (struct jc_budgets, 1);

  budgets->settings = *settings;
  budgets->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  budgets->cold_endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budgets;
}

/* Free BUDGETS, which may be NULL.  */
void
jc_budgets_free (struct jc_budgets *budgets)
{
  if (budgets == NULL)
    return;
  g_hash_table_destroy (budgets->services);
  g_hash_table_destroy (budgets->cold_endpoints);
  g_free (budgets);
}

static struct service *
service_get (struct jc_budgets *budgets, const char *name)
{
  struct service *service = g_hash_table_lookup (budgets->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  g_hash_table_insert (budgets->services, g_strdup (name), service);
  return service;
}

static int64_t
bucket_at (const struct jc_budgets *budgets, int64_t now_ms)
{
  return now_ms / (budgets->settings.retry_window_ms / RETRY_BUCKETS) + 1;
}

/* Expire what SERVICE earned longer than a window ago, except for one
   retry.  */
static void
service_expire (const struct jc_budgets *budgets, struct service *service,
                int64_t now_ms)
{
  int64_t now = bucket_at (budgets, now_ms);

  for (unsigned int i = 0; i < RETRY_BUCKETS; i++)
    if (service->bucket_number[i] <= now - RETRY_BUCKETS)
      {
        service->carried_over
            = MIN (service->carried_over + service->bucket_earned[i], 1);
        service->bucket_earned[i] = 0;
      }
}

static double
earned_total (const struct service *service)
{
  double sum = service->carried_over;

  for (unsigned int i = 0; i < RETRY_BUCKETS; i++)
    sum += service->bucket_earned[i];
  return sum;
}

/* Count a caller's request to SERVICE, which earns a part of a retry.  */
void
jc_budgets_note_request (struct jc_budgets *budgets, const char *service,
                         int64_t now_ms)
{
  struct service *state = service_get (budgets, service);
  int64_t number = bucket_at (budgets, now_ms);
  unsigned int slot = (unsigned int)(number % RETRY_BUCKETS);

  service_expire (budgets, state, now_ms);
  state->bucket_number[slot] = number;
  state->bucket_earned[slot] += budgets->settings.retry_ratio / RETRY_WINDOWS;
}

/* Return the number of retries of SERVICE that this instance may spend now,
   including fractions.  */
double
jc_budgets_retries_left (struct jc_budgets *budgets, const char *service,
                         int64_t now_ms)
{
  struct service *state = service_get (budgets, service);

  service_expire (budgets, state, now_ms);
  return earned_total (state);
}

/* Return true if this instance may spend a retry of SERVICE now.  */
bool
jc_budgets_may_retry (struct jc_budgets *budgets, const char *service,
                      int64_t now_ms)
{
  return jc_budgets_retries_left (budgets, service, now_ms) >= whole_retry_min;
}

/* Take one retry from the budget of SERVICE, oldest first.  Return false if
   there is none.  */
bool
jc_budgets_take_retry (struct jc_budgets *budgets, const char *service,
                       int64_t now_ms)
{
  struct service *state = service_get (budgets, service);
  int64_t oldest = bucket_at (budgets, now_ms) + 1;
  double remaining = 1;

  if (!jc_budgets_may_retry (budgets, service, now_ms))
    return false;
  remaining -= state->carried_over;
  state->carried_over = 0;
  for (unsigned int i = 0; i < RETRY_BUCKETS; i++)
    {
      unsigned int slot = (unsigned int)((oldest + i) % RETRY_BUCKETS);
      double taken = MIN (state->bucket_earned[slot], remaining);

      state->bucket_earned[slot] -= taken;
      remaining -= taken;
    }
  return true;
}

/* Drop the grant of the endpoint that started first: incarnations are start
   times.  */
static void
drop_oldest_grant (struct jc_budgets *budgets)
{
  uint64_t oldest_incarnation = UINT64_MAX;
  gpointer oldest = NULL;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, budgets->cold_endpoints);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct cold_endpoint *cold_endpoint = value;

      if (cold_endpoint->granted_incarnation >= oldest_incarnation)
        continue;
      oldest_incarnation = cold_endpoint->granted_incarnation;
      oldest = name;
    }
  if (oldest != NULL)
    g_hash_table_remove (budgets->cold_endpoints, oldest);
}

static struct cold_endpoint *
cold_endpoint_get (struct jc_budgets *budgets, const char *endpoint)
{
  struct cold_endpoint *cold_endpoint
      = g_hash_table_lookup (budgets->cold_endpoints, endpoint);

  if (cold_endpoint != NULL)
    return cold_endpoint;
  if (g_hash_table_size (budgets->cold_endpoints) >= COLD_ENDPOINTS_MAX)
    drop_oldest_grant (budgets);
  cold_endpoint = g_new0 (struct cold_endpoint, 1);
  jc_window_init (&cold_endpoint->sent_window, COLD_WINDOW_MS);
  g_hash_table_insert (budgets->cold_endpoints, g_strdup (endpoint),
                       cold_endpoint);
  return cold_endpoint;
}

/* Note that INCARNATION of ENDPOINT is granted to this instance.  Return true
   if it is newer than the grant known so far.  */
bool
jc_budgets_grant (struct jc_budgets *budgets, const char *endpoint,
                  uint64_t incarnation)
{
  struct cold_endpoint *cold_endpoint = cold_endpoint_get (budgets, endpoint);

  if (incarnation <= cold_endpoint->granted_incarnation)
    return false;
  cold_endpoint->granted_incarnation = incarnation;
  return true;
}

/* Return the number of requests that a cold endpoint which can serve PER_S may
   get in a second from all instances.  */
double
jc_budgets_cold_allowed (const struct jc_budgets *budgets, double per_s)
{
  return per_s * budgets->settings.cold_ratio
         + (double)budgets->settings.cold_slack;
}

/* Return true if INCARNATION of the cold ENDPOINT, which can serve PER_S
   requests per second, may get one more request from this instance: the
   incarnation is granted, and its share is not used up.  */
bool
jc_budgets_may_send_cold (struct jc_budgets *budgets, const char *endpoint,
                          uint64_t incarnation, double per_s, int64_t now_ms)
{
  const struct cold_endpoint *cold_endpoint
      = g_hash_table_lookup (budgets->cold_endpoints, endpoint);
  double allowed = jc_budgets_cold_allowed (budgets, per_s) / COLD_GRANTS_MAX;

  return cold_endpoint != NULL
         && cold_endpoint->granted_incarnation == incarnation
         && jc_window_upper_bound (&cold_endpoint->sent_window, now_ms) + 1
                <= allowed;
}

/* Count a request sent to ENDPOINT if this instance has a grant for it.  */
void
jc_budgets_note_cold_send (struct jc_budgets *budgets, const char *endpoint,
                           int64_t now_ms)
{
  struct cold_endpoint *cold_endpoint
      = g_hash_table_lookup (budgets->cold_endpoints, endpoint);

  if (cold_endpoint != NULL)
    jc_window_add (&cold_endpoint->sent_window, now_ms);
}
