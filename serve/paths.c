/* Paths.  */

#include <string.h>

#include "serve/paths.h"

enum
{
  /* Attempts in a row, at different instances of a zone, that reach nobody
     before the path counts as closed: one may be a single instance that is
     gone.  */
  FAILURES_CLOSE = 2,
  /* Other instances of this region that must tell of a closed path before this
     one believes it: a single one may itself be cut off.  */
  REPORTERS_CLOSE = 2,
  REPORTERS_MAX = 4,
  /* News of others older than this say nothing: three times the interval at
     which they tell of everything.  */
  REPORT_FRESH_MS = 1500,
  /* Time from the closing to the first probe, doubled with each that fails:
     one round trip between regions and a lost packet, up to the time in which
     a returned region is to be used again.  */
  PROBE_MS = 250,
  PROBE_MAX_MS = 1000,
  /* Rest of an instance that can't be reached: first and longest.  */
  REST_MS = 500,
  REST_MAX_MS = 4000,
  INSTANCE_KEPT_MS = 30000
};

struct reporter
{
  char *name;
  int64_t closed_ms;
  int64_t reported_ms;
};

/* A zone.  LAST_FAILED is the instance of the last failure since ANSWERED_MS;
   LINKS_UP of LINKS_KNOWN long-lived connections to processes there are up.  */
struct zone
{
  char *name;
  char *region;
  unsigned int failures;
  char *last_failed;
  int64_t answered_ms;
  unsigned int links_known;
  unsigned int links_up;
  struct reporter reporters[REPORTERS_MAX];
  bool closed;
  int64_t closed_ms;
  int64_t probe_ms;
  int64_t probe_wait_ms;
};

struct instance
{
  int64_t rest_ms;
  int64_t rest_until_ms;
};

struct jc_paths
{
  GHashTable *zones;
  GHashTable *instances;
};

static void
zone_free (gpointer data)
{
  struct zone *zone = data;

  for (unsigned int i = 0; i < REPORTERS_MAX; i++)
    g_free (zone->reporters[i].name);
  g_free (zone->last_failed);
  g_free (zone->region);
  g_free (zone->name);
  g_free (zone);
}

/* Return a table in which all paths are open.  */
struct jc_paths *
jc_paths_new (void)
{
  struct jc_paths *paths = g_new0 (struct jc_paths, 1);

  paths->zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, zone_free);
  paths->instances
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return paths;
}

/* Free PATHS, which may be NULL.  */
void
jc_paths_free (struct jc_paths *paths)
{
  if (paths == NULL)
    return;
  g_hash_table_destroy (paths->zones);
  g_hash_table_destroy (paths->instances);
  g_free (paths);
}

static struct zone *
zone_of (struct jc_paths *paths, const struct jc_path_target *end)
{
  struct zone *zone = g_hash_table_lookup (paths->zones, end->zone);

  if (zone != NULL)
    return zone;
  zone = g_new0 (struct zone, 1);
  zone->name = g_strdup (end->zone);
  zone->region = g_strdup (end->region);
  zone->answered_ms = INT64_MIN;
  g_hash_table_insert (paths->zones, zone->name, zone);
  return zone;
}

static bool
zone_close (struct zone *zone, int64_t now_ms)
{
  if (zone->closed)
    return false;
  zone->closed = true;
  zone->closed_ms = now_ms;
  zone->probe_wait_ms = PROBE_MS;
  zone->probe_ms = now_ms + PROBE_MS;
  return true;
}

static bool
zone_open (struct zone *zone, int64_t now_ms)
{
  bool was_closed = zone->closed;

  zone->closed = false;
  zone->failures = 0;
  zone->answered_ms = now_ms;
  return was_closed;
}

/* Tell whether one failure is enough to close ZONE: no connection to it is up
   either, or another zone of its region is closed.  */
static bool
is_suspect (const struct jc_paths *paths, const struct zone *zone)
{
  GHashTableIter iter;
  gpointer value;

  if (zone->links_known > 0 && zone->links_up == 0)
    return true;
  g_hash_table_iter_init (&iter, paths->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct zone *other = value;

      if (other != zone && other->closed
          && strcmp (other->region, zone->region) == 0)
        return true;
    }
  return false;
}

static void
instance_rest (struct jc_paths *paths, const char *name, int64_t now_ms)
{
  struct instance *instance = g_hash_table_lookup (paths->instances, name);

  if (instance == NULL)
    {
      instance = g_new0 (struct instance, 1);
      g_hash_table_insert (paths->instances, g_strdup (name), instance);
    }
  if (instance->rest_until_ms > now_ms)
    return;
  instance->rest_ms = CLAMP (2 * instance->rest_ms, REST_MS, REST_MAX_MS);
  instance->rest_until_ms = now_ms + instance->rest_ms;
}

/* An attempt at END, begun at BEGUN_MS, reached nobody.  Return whether that
   closes the path.  An answer that came since shows that only the instance is
   gone.  */
bool
jc_paths_failed (struct jc_paths *paths, const struct jc_path_target *end,
                 int64_t begun_ms, int64_t now_ms)
{
  struct zone *zone = zone_of (paths, end);

  instance_rest (paths, end->instance, now_ms);
  if (zone->closed || zone->answered_ms >= begun_ms)
    return false;
  if (zone->failures == 0 || strcmp (zone->last_failed, end->instance) != 0)
    {
      zone->failures++;
      g_free (zone->last_failed);
      zone->last_failed = g_strdup (end->instance);
    }
  if (zone->failures < FAILURES_CLOSE && !is_suspect (paths, zone))
    return false;
  return zone_close (zone, now_ms);
}

/* END answered.  Return whether that opens the path.  */
bool
jc_paths_answered (struct jc_paths *paths, const struct jc_path_target *end,
                   int64_t now_ms)
{
  g_hash_table_remove (paths->instances, end->instance);
  return zone_open (zone_of (paths, end), now_ms);
}

/* The host of END refused the connection: the path is open, the instance
   gone.  */
void
jc_paths_refused (struct jc_paths *paths, const struct jc_path_target *end,
                  int64_t now_ms)
{
  zone_open (zone_of (paths, end), now_ms);
  instance_rest (paths, end->instance, now_ms);
}

/* A long-lived connection to END came up or went down.  Return whether that
   opens the path.  */
bool
jc_paths_connection_changed (struct jc_paths *paths,
                             const struct jc_path_target *end, bool up,
                             int64_t now_ms)
{
  struct zone *zone = zone_of (paths, end);

  if (up)
    {
      zone->links_up++;
      zone->links_known = MAX (zone->links_known, zone->links_up);
      return zone_open (zone, now_ms);
    }
  if (zone->links_up > 0)
    zone->links_up--;
  return false;
}

/* Return the place for what REPORTER says of ZONE; where there is none left,
   the oldest.  */
static struct reporter *
reporter_of (struct zone *zone, const char *name)
{
  struct reporter *oldest = &zone->reporters[0];

  for (unsigned int i = 0; i < REPORTERS_MAX; i++)
    {
      struct reporter *reporter = &zone->reporters[i];

      if (g_strcmp0 (reporter->name, name) == 0)
        return reporter;
      if (reporter->name == NULL
          || (oldest->name != NULL
              && reporter->reported_ms < oldest->reported_ms))
        oldest = reporter;
    }
  g_free (oldest->name);
  oldest->name = g_strdup (name);
  return oldest;
}

/* REPORTER, another instance of this region, has had its path to END's zone
   closed for AGE_MS.  Return whether that closes this one's.  What this
   instance was answered since goes first.  */
bool
jc_paths_reported (struct jc_paths *paths, const char *reporter,
                   const struct jc_path_target *end, int64_t age_ms,
                   int64_t now_ms)
{
  struct zone *zone = zone_of (paths, end);
  struct reporter *said = reporter_of (zone, reporter);
  unsigned int reporters = 0;

  said->reported_ms = now_ms;
  said->closed_ms = now_ms - age_ms;
  for (unsigned int i = 0; i < REPORTERS_MAX; i++)
    if (zone->reporters[i].name != NULL
        && now_ms - zone->reporters[i].reported_ms < REPORT_FRESH_MS
        && zone->reporters[i].closed_ms > zone->answered_ms)
      reporters++;
  return reporters >= REPORTERS_CLOSE && zone_close (zone, now_ms);
}

/* Tell whether the path to ZONE is taken for open.  */
bool
jc_paths_is_open (const struct jc_paths *paths, const char *zone)
{
  const struct zone *known = g_hash_table_lookup (paths->zones, zone);

  return known == NULL || !known->closed;
}

/* Tell whether INSTANCE, which could not be reached, is to get nothing yet.  */
bool
jc_paths_in_backoff (const struct jc_paths *paths, const char *instance,
                     int64_t now_ms)
{
  const struct instance *known
      = g_hash_table_lookup (paths->instances, instance);

  return known != NULL && known->rest_until_ms > now_ms;
}

/* Tell whether it is time for a probe of the closed path to ZONE, and take the
   turn.  */
bool
jc_paths_take_probe (struct jc_paths *paths, const char *zone, int64_t now_ms)
{
  struct zone *known = g_hash_table_lookup (paths->zones, zone);

  if (known == NULL || !known->closed || now_ms < known->probe_ms)
    return false;
  known->probe_wait_ms = MIN (2 * known->probe_wait_ms, PROBE_MAX_MS);
  known->probe_ms = now_ms + known->probe_wait_ms;
  return true;
}

/* Append the closed paths to VIEWS, of struct jc_closed_path; they borrow.  */
void
jc_paths_list_closed (const struct jc_paths *paths, GArray *views)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, paths->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct zone *zone = value;
      const struct jc_closed_path view = { .zone = zone->name,
                                           .region = zone->region,
                                           .closed_ms = zone->closed_ms };

      if (zone->closed)
        g_array_append_val (views, view);
    }
}

/* Forget instances that nothing was sent to for long.  */
void
jc_paths_expire (struct jc_paths *paths, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, paths->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((const struct instance *)value)->rest_until_ms
        > INSTANCE_KEPT_MS)
      g_hash_table_iter_remove (&iter);
}
