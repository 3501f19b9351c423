/* Budgets that all entry instances share.  */

#include "serve/budget.h"
#include "serve/window.h"

enum
{
  /* An instance that is not seen any longer may be cut off and still spend
     its share.  */
  INSTANCES_KEPT_MS = 60000,
  /* Views of who owns a cold endpoint that may differ at one time.  */
  COLD_OWNERS = 2,
  COLD_WINDOW_MS = 1000,
  COLD_KEPT_MS = 60000,
  /* Nothing is sent to cold endpoints until the group has been the same for so
     long: instances hear of a new one within 1 s, from its report each 0.5 s
     and what state instances tell each 0.5 s; twice that.  */
  GROUP_SETTLE_MS = 2000
};

/* Retries of a service that may be spent now.  Each request adds the ratio,
   and no more is kept than this instance's share of the slack: then any window
   holds at most the ratio of its own requests and the slack, whatever each
   instance did before it, and a process that starts anew begins with none.  */
struct service
{
  double retries;
};

struct cold
{
  struct jc_window sent;
  int64_t used_ms;
};

struct jc_budgets
{
  struct jc_budget_terms terms;
  GHashTable *services;
  GHashTable *cold;
  unsigned int instances;
  int64_t instances_ms;
  int64_t started_ms;
  uint64_t group;
  int64_t group_ms;
};

/* Return budgets under TERMS of an instance that starts at NOW_MS.  */
struct jc_budgets *
jc_budgets_new (const struct jc_budget_terms *terms, int64_t now_ms)
{
  struct jc_budgets *budgets = g_new0 (struct jc_budgets, 1);

  budgets->terms = *terms;
  budgets->started_ms = now_ms;
  budgets->group_ms = now_ms - GROUP_SETTLE_MS;
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

/* GROUP is a sum over those that may own cold endpoints, as they are seen at
   NOW_MS.  While they come and go the views of who owns what differ, and more
   than COLD_OWNERS could take one for their own.  */
void
jc_budgets_note_group (struct jc_budgets *budgets, uint64_t group,
                       int64_t now_ms)
{
  if (group == budgets->group)
    return;
  budgets->group = group;
  budgets->group_ms = now_ms;
}

static void
cold_expire (struct jc_budgets *budgets, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, budgets->cold);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((struct cold *)value)->used_ms > COLD_KEPT_MS)
      g_hash_table_iter_remove (&iter);
}

/* Tell whether the cold ENDPOINT, which bears PER_S requests a second, may
   get one more from this instance; with SPEND it does.  */
bool
jc_budgets_cold (struct jc_budgets *budgets, const char *endpoint, double per_s,
                 bool spend, int64_t now_ms)
{
  struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);
  double allowed
      = (per_s * budgets->terms.cold_ratio + (double)budgets->terms.cold_slack)
        / COLD_OWNERS;

  /* An instance that knows no other could take each endpoint for its own.  */
  if ((budgets->instances == 0 || now_ms - budgets->group_ms < GROUP_SETTLE_MS)
      && !spend)
    return false;
  if (cold == NULL)
    {
      cold_expire (budgets, now_ms);
      cold = g_new0 (struct cold, 1);
      jc_window_init (&cold->sent, COLD_WINDOW_MS);
      g_hash_table_insert (budgets->cold, g_strdup (endpoint), cold);
    }
  if (jc_window_most (&cold->sent, now_ms) + 1 > allowed)
    return false;
  cold->used_ms = now_ms;
  if (spend)
    jc_window_add (&cold->sent, now_ms);
  return true;
}
