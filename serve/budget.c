/* Budgets that all entry instances share.  */

#include "serve/budget.h"
#include "serve/window.h"

enum
{
  /* Parts of the window in which retries are earned; each is forgotten as a
     whole.  */
  EARNED_CELLS = 20,
  /* A window may see retries of its own requests and of those of the window
     before it: each request earns half of the ratio.  */
  EARNING_WINDOWS = 2,
  /* Grants by which a cold endpoint may get requests at one time: it may have
     started again under its name, and each incarnation is granted apart.  */
  COLD_OWNERS = 2,
  COLD_WINDOW_MS = 1000,
  /* As many as the log keeps; dropped ones are sent nothing while cold.  */
  COLD_MAX = 4096
};

/* A whole retry, summed up of fractions.  */
static const double whole_retry = 1 - 1e-6;

/* Retries of a service that may be spent now, by the time in which requests
   earned them.  What is not spent within a window is forgotten but for KEPT,
   one at most, for services with few requests.  So any window holds at most one
   and what was earned in it and in the one before: half of the ratio of the
   requests of both.  That holds for each instance alone, whatever it knows of
   others, so that all of them stay within the ratio of one of the two windows
   and a slack of one an instance.  A process that starts anew begins with none.
 */
struct service
{
  double kept;
  int64_t cell[EARNED_CELLS];
  double earned[EARNED_CELLS];
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
  struct jc_budget_settings terms;
  GHashTable *services;
  GHashTable *cold;
};

/* Return budgets under TERMS, with no retry earned and nothing granted.  */
struct jc_budgets *
jc_budgets_new (const struct jc_budget_settings *terms)
{
  struct jc_budgets *budgets = g_new0 (struct jc_budgets, 1);

  budgets->terms = *terms;
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

static int64_t
cell_at (const struct jc_budgets *budgets, int64_t now_ms)
{
  return now_ms / (budgets->terms.retry_window_ms / EARNED_CELLS) + 1;
}

/* Forget what SERVICE earned longer ago than a window, all but one retry.  */
static void
expire (const struct jc_budgets *budgets, struct service *service,
        int64_t now_ms)
{
  int64_t now = cell_at (budgets, now_ms);

  for (unsigned int i = 0; i < EARNED_CELLS; i++)
    if (service->cell[i] <= now - EARNED_CELLS)
      {
        service->kept = MIN (service->kept + service->earned[i], 1);
        service->earned[i] = 0;
      }
}

static double
earned (const struct service *service)
{
  double sum = service->kept;

  for (unsigned int i = 0; i < EARNED_CELLS; i++)
    sum += service->earned[i];
  return sum;
}

/* A caller's request for SERVICE came.  */
void
jc_budgets_note_request (struct jc_budgets *budgets, const char *service,
                         int64_t now_ms)
{
  struct service *state = service_of (budgets, service);
  int64_t cell = cell_at (budgets, now_ms);
  unsigned int slot = (unsigned int)(cell % EARNED_CELLS);

  expire (budgets, state, now_ms);
  state->cell[slot] = cell;
  state->earned[slot] += budgets->terms.retry_ratio / EARNING_WINDOWS;
}

/* Return how many retries of SERVICE this instance may spend now.  */
double
jc_budgets_retries_left (struct jc_budgets *budgets, const char *service,
                         int64_t now_ms)
{
  struct service *state = service_of (budgets, service);

  expire (budgets, state, now_ms);
  return earned (state);
}

/* Tell whether this instance may spend a retry of SERVICE now.  */
bool
jc_budgets_may_retry (struct jc_budgets *budgets, const char *service,
                      int64_t now_ms)
{
  return jc_budgets_retries_left (budgets, service, now_ms) >= whole_retry;
}

/* Take one retry from the budget of SERVICE, what was earned first to begin
   with.  Return whether there was one.  */
bool
jc_budgets_take_retry (struct jc_budgets *budgets, const char *service,
                       int64_t now_ms)
{
  struct service *state = service_of (budgets, service);
  int64_t cell = cell_at (budgets, now_ms) + 1;
  double owed = 1;

  if (!jc_budgets_may_retry (budgets, service, now_ms))
    return false;
  owed -= state->kept;
  state->kept = 0;
  for (unsigned int i = 0; i < EARNED_CELLS; i++)
    {
      unsigned int slot = (unsigned int)((cell + i) % EARNED_CELLS);
      double part = MIN (state->earned[slot], owed);

      state->earned[slot] -= part;
      owed -= part;
    }
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
jc_budgets_may_send_cold (struct jc_budgets *budgets, const char *endpoint,
                          uint64_t incarnation, double per_s, int64_t now_ms)
{
  const struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);
  double allowed
      = (per_s * budgets->terms.cold_ratio + (double)budgets->terms.cold_slack)
        / COLD_OWNERS;

  return cold != NULL && cold->granted == incarnation
         && jc_window_upper_bound (&cold->sent, now_ms) + 1 <= allowed;
}

/* A request goes to ENDPOINT, of which this instance may hold a grant.  */
void
jc_budgets_note_cold_send (struct jc_budgets *budgets, const char *endpoint,
                           int64_t now_ms)
{
  struct cold *cold = g_hash_table_lookup (budgets->cold, endpoint);

  if (cold != NULL)
    jc_window_add (&cold->sent, now_ms);
}
