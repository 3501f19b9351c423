/* Reach.  A service is lost once attempts at several of its endpoints in a row
   failed to reach them and none of its endpoints answered meanwhile: a single
   endpoint may be down.  It stays lost until an attempt or a probe that began
   later reaches an endpoint.  */

#include <string.h>

#include "serve/reach.h"

enum
{
  /* Different endpoints that must fail in a row, if there are so many.  */
  FAILURES_TO_LOSE = 2,
  /* Time from the loss to the first probe; it doubles with each probe.  The
     longest is the delay with which a healed link is used again.  */
  PROBE_FIRST_MS = 250,
  PROBE_MAX_MS = 1000
};

/* FAILED holds the names of the endpoints that failed since ANSWERED_MS, when
   one of them answered last.  */
struct service
{
  GPtrArray *failed;
  int64_t answered_ms;
  bool lost;
  int64_t lost_ms;
  int64_t probe_ms;
  int64_t probe_wait_ms;
};

struct jc_reach
{
  GHashTable *services;
};

static void
service_free (gpointer data)
{
  struct service *service = data;

  g_ptr_array_free (service->failed, TRUE);
  g_free (service);
}

/* Return a table in which no service is lost.  */
struct jc_reach *
jc_reach_new (void)
{
  struct jc_reach *reach = g_new0 (struct jc_reach, 1);

  reach->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, service_free);
  return reach;
}

/* Free REACH, which may be NULL.  */
void
jc_reach_free (struct jc_reach *reach)
{
  if (reach == NULL)
    return;
  g_hash_table_destroy (reach->services);
  g_free (reach);
}

static struct service *
service_get (struct jc_reach *reach, const char *name)
{
  struct service *service = g_hash_table_lookup (reach->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  service->failed = g_ptr_array_new_with_free_func (g_free);
  service->answered_ms = INT64_MIN;
  g_hash_table_insert (reach->services, g_strdup (name), service);
  return service;
}

/* Return true if a service other than SERVICE is lost, by failures of several
   endpoints: a single one may be down.  */
static bool
is_other_lost (const struct jc_reach *reach, const struct service *service)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, reach->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct service *other = value;

      if (other != service && other->lost
          && other->failed->len >= FAILURES_TO_LOSE)
        return true;
    }
  return false;
}

/* Note that ATTEMPT did not reach its endpoint, one of ENDPOINTS of the service
   in this region.  Return true if the service is lost by that.  Where another
   service is lost already, one failure is enough.  */
bool
jc_reach_failed (struct jc_reach *reach, const struct jc_reach_attempt *attempt,
                 unsigned int endpoints, int64_t now_ms)
{
  struct service *service = service_get (reach, attempt->service);
  unsigned int needed = is_other_lost (reach, service)
                            ? 1
                            : MIN (FAILURES_TO_LOSE, MAX (endpoints, 1));

  if (service->lost || service->answered_ms >= attempt->started_ms)
    return false;
  if (!g_ptr_array_find_with_equal_func (service->failed, attempt->endpoint,
                                         g_str_equal, NULL))
    g_ptr_array_add (service->failed, g_strdup (attempt->endpoint));
  if (service->failed->len < needed)
    return false;
  service->lost = true;
  service->lost_ms = now_ms;
  service->probe_wait_ms = PROBE_FIRST_MS;
  service->probe_ms = now_ms + PROBE_FIRST_MS;
  return true;
}

/* Note that ATTEMPT, or a probe, reached its endpoint.  Return true if the
   service was lost until now.  What was sent before the loss tells nothing: its
   connection may live on while new ones fail.  */
bool
jc_reach_answered (struct jc_reach *reach,
                   const struct jc_reach_attempt *attempt, int64_t now_ms)
{
  struct service *service = service_get (reach, attempt->service);
  bool was_lost = service->lost;

  if (was_lost && attempt->started_ms < service->lost_ms)
    return false;
  service->lost = false;
  service->answered_ms = now_ms;
  g_ptr_array_set_size (service->failed, 0);
  return was_lost;
}

/* Return true if the endpoints of SERVICE can't be reached.  */
bool
jc_reach_is_lost (const struct jc_reach *reach, const char *service)
{
  const struct service *known = g_hash_table_lookup (reach->services, service);

  return known != NULL && known->lost;
}

/* Return when SERVICE, which is lost, was lost.  */
int64_t
jc_reach_lost_ms (const struct jc_reach *reach, const char *service)
{
  const struct service *known = g_hash_table_lookup (reach->services, service);

  return known->lost_ms;
}

/* Return true if a probe of an endpoint of SERVICE is due, and schedule the
   next one.  */
bool
jc_reach_take_probe (struct jc_reach *reach, const char *service,
                     int64_t now_ms)
{
  struct service *known = g_hash_table_lookup (reach->services, service);

  if (known == NULL || !known->lost || now_ms < known->probe_ms)
    return false;
  known->probe_wait_ms = MIN (2 * known->probe_wait_ms, PROBE_MAX_MS);
  known->probe_ms = now_ms + known->probe_wait_ms;
  return true;
}

/* Append the names of the services that are lost to SERVICES.  They remain
   owned by REACH.  */
void
jc_reach_list_lost (const struct jc_reach *reach, GPtrArray *services)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, reach->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const struct service *)value)->lost)
      g_ptr_array_add (services, name);
}

/* Forget what is known of SERVICE: it has no endpoints any more.  */
void
jc_reach_forget (struct jc_reach *reach, const char *service)
{
  g_hash_table_remove (reach->services, service);
}
