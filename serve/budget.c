/* Budgets that all entry instances share.  */

#include "serve/budget.h"
#include "serve/window.h"

enum
{
  /* An instance that is not seen any longer may be cut off and still spend
     its share.  */
  INSTANCES_KEPT_MS = 60000,
  /* Grants by which a cold endpoint may get requests at one time: it may have
     started again under its name, and each incarnation is granted apart.  */
  COLD_OWNERS = 2,
  COLD_WINDOW_MS = 1000,
  /* As many as the log keeps; dropped ones are sent nothing while cold.  */
  COLD_MAX = 4096
};

/* Retries of a service that may be spent now.  Each request adds the ratio,
   and no more is kept than this instance's share of the slack: then any window
   holds at most the ratio of its own requests and the slack, whatever each
   instance did before it, and a process that starts anew begins with none.  */
struct service
{
  double retries;
};

/* GRANTED is the incarnation of the endpoint that this instance may send to
   while it is cold.  */
struct cold
{
  struct jc_window sent;
  uint64_t granted;
};

struct jc_budgets
{
  struct jc_budget_terms terms;
  GHashTable *services;
  GHashTable *cold;
  unsigned int instances;
  int64_t instances_ms;
  int64_t started_ms;
};

/* Return budgets under TERMS of an instance that starts at NOW_MS.  */
struct jc_budgets *
jc_budgets_new (const struct jc_budget_terms *terms, int64_t now_ms)
{
  struct jc_budgets *budgets = g_new0 (struct jc_budgets, 1);

  budgets->terms = *terms;
  budgets->started_ms = now_ms;
  budgets->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  budgets->cold
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budgets;
}

/* Free BUDGETS.  */
void
jc_budgets_free (struct jc_budgets *budgets)
{
  if (budgets == NULL)
    return;
  g_hash_table_destroy (budgets->services);
  g_hash_table_destroy (budgets->cold);
  g_free (budgets);
}

/* COUNT instances are seen.  Fewer than before count only once those that are
   missing have been so for long.  */
void
jc_budgets_set_instances (struct jc_budgets *budgets, unsigned int count,
                          int64_t now_ms)
{
  if (count >= budgets->instances
      || now_ms - budgets->instances_ms > INSTANCES_KEPT_MS)
    {
      budgets->instances = MAX (count, 1);
      budgets->instances_ms = now_ms;
    }
}

static struct service *
service_of (struct jc_budgets *budgets, const char *name)
{
  struct service *service = g_hash_table_lookup (budgets->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct service, 1);
  g_hash_table_insert (budgets->services, g_strdup (name), service);
  return service;
}

/* Return how many retries of a service this instance may keep: its share of
   the slack, none before it is known how many instances there are.  An
   instance that has just started knows but some of them and keeps one.  Where
   there are more instances than the slack has retries, none is kept.  */
static double
keeps (const struct jc_budgets *budgets, int64_t now_ms)
{
  double share;

  if (budgets->instances == 0)
    return 0;
  share = (double)budgets->terms.retry_slack / budgets->instances;
  return now_ms - budgets->started_ms < budgets->terms.retry_window_ms
             ? MIN (share, 1)
             : share;
}

/* A caller's request for SERVICE came.  */
void
jc_budgets_request (struct jc_budgets *budgets, const char *service,
                    int64_t now_ms)
{
  struct service *state = service_of (budgets, service);

  state->retries = MIN (state->retries + budgets->terms.retry_ratio,
                        keeps (budgets, now_ms));
}

/* Return how many retries of SERVICE this instance may spend now.  */
double
jc_budgets_retries_left (struct jc_budgets *budgets, const char *service,
                         int64_t now_ms)
{
  return MIN (service_of (budgets, service)->retries, keeps (budgets, now_ms));
}

/* Take one retry from the budget of SERVICE.  Return whether there was
   one.  */
bool
jc_budgets_retry (struct jc_budgets *budgets, const char *service,
                  int64_t now_ms)
{
  struct service *state = service_of (budgets, service);

  state->retries = MIN (state->retries, keeps (budgets, now_ms));
  if (state->retries < 1)
    return false;
  state->retries--;
  return true;
}

static struct cold *
cold_of (struct jc_budgets *budgets, const char *endpoint)
{
  struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);

  if (cold != NULL)
    return cold;
  if (g_hash_table_size (budgets->cold) >= COLD_MAX)
    g_hash_table_remove_all (budgets->cold);
  cold = g_new0 (struct cold, 1);
  jc_window_init (&cold->sent, COLD_WINDOW_MS);
  g_hash_table_insert (budgets->cold, g_strdup (endpoint), cold);
  return cold;
}

/* INCARNATION of ENDPOINT is granted to this instance.  Return whether that is
   news.  */
bool
jc_budgets_grant (struct jc_budgets *budgets, const char *endpoint,
                  uint64_t incarnation)
{
  struct cold *cold = cold_of (budgets, endpoint);

  if (incarnation <= cold->granted)
    return false;
  cold->granted = incarnation;
  return true;
}

/* Tell whether INCARNATION of the cold ENDPOINT, which bears PER_S requests a
   second, may get one more from this instance: it is granted, and the share of
   its incarnation is not spent.  */
bool
jc_budgets_cold (struct jc_budgets *budgets, const char *endpoint,
                 uint64_t incarnation, double per_s, int64_t now_ms)
{
  const struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);
  double allowed
      = (per_s * budgets->terms.cold_ratio + (double)budgets->terms.cold_slack)
        / COLD_OWNERS;

  return cold != NULL && cold->granted == incarnation
         && jc_window_most (&cold->sent, now_ms) + 1 <= allowed;
}

/* A request goes to ENDPOINT, of which this instance may hold a grant.  */
void
jc_budgets_cold_sent (struct jc_budgets *budgets, const char *endpoint,
                      int64_t now_ms)
{
  struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);

  if (cold != NULL)
    jc_window_add (&cold->sent, now_ms);
}
