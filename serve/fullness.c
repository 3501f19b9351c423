/* Fullness: how many requests a plain service's endpoint takes at once.  */

#include "serve/fullness.h"

#include <glib.h>

enum
{
  /* An endpoint that has refused nothing for this long has no bound.  */
  KNOWN_MS = 10000,
  MARGIN_STEP_MS = 1000,
  ENDPOINTS_MAX = 1024
};

/* What is known of INCARNATION of an endpoint: it took TAKES requests at once,
   and refused last at REFUSED_MS.  MARGIN was last changed at MARGIN_MS.  */
struct bound
{
  uint64_t incarnation;
  unsigned int takes;
  unsigned int margin;
  int64_t margin_ms;
  int64_t refused_ms;
};

/* BOUNDS maps names of endpoints to struct bound.  */
struct jc_fullness
{
  GHashTable *bounds;
};

struct jc_fullness *
jc_fullness_new (void)
{
  struct jc_fullness *fullness = g_new0 (struct jc_fullness, 1);

  fullness->bounds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return fullness;
}

/* Free FULLNESS, which may be NULL.  */
void
jc_fullness_free (struct jc_fullness *fullness)
{
  if (fullness == NULL)
    return;
  g_hash_table_destroy (fullness->bounds);
  g_free (fullness);
}

static gboolean
is_over (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(int64_t *)now_ms - ((const struct bound *)value)->refused_ms
         >= KNOWN_MS;
}

/* Return the bound of ENDPOINT at NOW_MS, NULL if it has none.  */
static struct bound *
find_bound (const struct jc_fullness *fullness,
            const struct jc_full_endpoint *endpoint, int64_t now_ms)
{
  struct bound *bound = g_hash_table_lookup (fullness->bounds, endpoint->name);

  return bound != NULL && bound->incarnation == endpoint->incarnation
                 && now_ms - bound->refused_ms < KNOWN_MS
             ? bound
             : NULL;
}

/* Shrink the margin of BOUND by what is due at NOW_MS.  */
static void
shrink_margin (struct bound *bound, int64_t now_ms)
{
  int64_t steps = (now_ms - bound->margin_ms) / MARGIN_STEP_MS;

  if (steps <= 0)
    return;
  bound->margin -= (unsigned int)MIN (steps, bound->margin);
  bound->margin_ms += steps * MARGIN_STEP_MS;
}

/* Record that ENDPOINT refused a request for want of room while it held HELD,
   0 if the refusal doesn't state that.  It takes its slots at least.  */
void
jc_fullness_note_refused (struct jc_fullness *fullness,
                          const struct jc_full_endpoint *endpoint,
                          unsigned int held, int64_t now_ms)
{
  struct bound *bound = find_bound (fullness, endpoint, now_ms);

  if (endpoint->slots == 0)
    return;
  if (bound == NULL)
    {
      if (g_hash_table_size (fullness->bounds) >= ENDPOINTS_MAX)
        g_hash_table_foreach_remove (fullness->bounds, is_over, &now_ms);
      bound = g_new0 (struct bound, 1);
      bound->incarnation = endpoint->incarnation;
      bound->margin_ms = now_ms;
      g_hash_table_replace (fullness->bounds, g_strdup (endpoint->name), bound);
    }
  else
    {
      shrink_margin (bound, now_ms);
      bound->margin++;
      bound->margin_ms = now_ms;
    }
  bound->refused_ms = now_ms;
  bound->takes = MAX (held > 0 ? held : bound->takes, endpoint->slots);
  bound->margin = MIN (bound->margin, bound->takes - endpoint->slots);
}

/* Return whether ENDPOINT refused requests lately, so that it has a bound.  */
bool
jc_fullness_is_known (const struct jc_fullness *fullness,
                      const struct jc_full_endpoint *endpoint, int64_t now_ms)
{
  return find_bound (fullness, endpoint, now_ms) != NULL;
}

/* Return whether ENDPOINT, at which all instances have RUNNING requests, may
   get one more.  */
bool
jc_fullness_allows (struct jc_fullness *fullness,
                    const struct jc_full_endpoint *endpoint,
                    unsigned int running, int64_t now_ms)
{
  struct bound *bound = find_bound (fullness, endpoint, now_ms);

  if (bound == NULL)
    return true;
  shrink_margin (bound, now_ms);
  return running < bound->takes - bound->margin;
}
