/* Network paths to other availability zones.  */

#include <string.h>

#include "serve/paths.h"

enum
{
  /* Consecutive failed attempts, at different instances of a zone, before its
     path is closed: a single one may be an instance that is down.  */
  FAILURES_TO_CLOSE = 2,
  /* Other instances of this region that must report a path as closed before
     this instance closes it: a single reporter may itself be cut off.  */
  REPORTERS_TO_CLOSE = 2,
  REPORTERS_MAX = 4,
  /* Reports of other instances older than this are ignored.  It is three times
     the interval at which they send full reports.  */
  REPORT_MAX_AGE_MS = 1500,
  /* Time from the closing to the first probe; it doubles after each failed
     probe.  The first allows for a round trip between regions and a lost
     packet, the longest is bounded by the time in which a recovered region must
     be used again.  */
  PROBE_FIRST_MS = 250,
  PROBE_MAX_MS = 1000,
  /* First and longest backoff of an instance that can't be reached.  */
  BACKOFF_MIN_MS = 500,
  BACKOFF_MAX_MS = 4000,
  INSTANCE_EXPIRE_MS = 30000
};

struct reporter
{
  char *name;
  int64_t closed_ms;
  int64_t reported_ms;
};

/* A zone.  LAST_FAILED is the instance of the last failure since ANSWERED_MS.
   CONNECTIONS_UP of the CONNECTIONS_KNOWN long-lived connections to processes
   there are up.  */
struct zone
{
  char *name;
  char *region;
  unsigned int failures;
  char *last_failed;
  int64_t answered_ms;
  unsigned int connections_known;
  unsigned int connections_up;
  struct reporter reporters[REPORTERS_MAX];
  bool closed;
  int64_t closed_ms;
  int64_t probe_ms;
  int64_t probe_wait_ms;
};

struct instance
{
  int64_t backoff_ms;
  int64_t backoff_until_ms;
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
zone_get (struct jc_paths *paths, const struct jc_path_target *target)
{
  struct zone *zone = g_hash_table_lookup (paths->zones, target->zone);

  if (zone != NULL)
    return zone;
  zone = g_new0 (struct zone, 1);
  zone->name = g_strdup (target->zone);
  zone->region = g_strdup (target->region);
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
  zone->probe_wait_ms = PROBE_FIRST_MS;
  zone->probe_ms = now_ms + PROBE_FIRST_MS;
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

/* Return true if one failure is enough to close the path to ZONE: all
   connections to it are down, or another zone of its region is closed.  */
static bool
is_suspect (const struct jc_paths *paths, const struct zone *zone)
{
  GHashTableIter iter;
  gpointer value;

  if (zone->connections_known > 0 && zone->connections_up == 0)
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
instance_back_off (struct jc_paths *paths, const char *name, int64_t now_ms)
{
  struct instance *instance = g_hash_table_lookup (paths->instances, name);

  if (instance == NULL)
    {
      instance = g_new0 (struct instance, 1);
      g_hash_table_insert (paths->instances, g_strdup (name), instance);
    }
  if (instance->backoff_until_ms > now_ms)
    return;
  instance->backoff_ms
      = CLAMP (2 * instance->backoff_ms, BACKOFF_MIN_MS, BACKOFF_MAX_MS);
  instance->backoff_until_ms = now_ms + instance->backoff_ms;
}

/* Note that an attempt at TARGET, started at STARTED_MS, did not reach it.
   Return true if that closes the path.  If the zone answered since the attempt
   started, only the instance is down.  */
bool
jc_paths_failed (struct jc_paths *paths, const struct jc_path_target *target,
                 int64_t started_ms, int64_t now_ms)
{
  struct zone *zone = zone_get (paths, target);

  instance_back_off (paths, target->instance, now_ms);
  if (zone->closed || zone->answered_ms >= started_ms)
    return false;
  if (zone->failures == 0 || strcmp (zone->last_failed, target->instance) != 0)
    {
      zone->failures++;
      g_free (zone->last_failed);
      zone->last_failed = g_strdup (target->instance);
    }
  if (zone->failures < FAILURES_TO_CLOSE && !is_suspect (paths, zone))
    return false;
  return zone_close (zone, now_ms);
}

/* Note that TARGET answered.  Return true if that opens the path.  */
bool
jc_paths_answered (struct jc_paths *paths, const struct jc_path_target *target,
                   int64_t now_ms)
{
  g_hash_table_remove (paths->instances, target->instance);
  return zone_open (zone_get (paths, target), now_ms);
}

/* Note that the host of TARGET refused the connection: the path is open, but
   the instance is down.  */
void
jc_paths_refused (struct jc_paths *paths, const struct jc_path_target *target,
                  int64_t now_ms)
{
  zone_open (zone_get (paths, target), now_ms);
  instance_back_off (paths, target->instance, now_ms);
}

/* Note that a long-lived connection to TARGET came UP or went down.  Return
   true if that opens the path.  */
bool
jc_paths_connection_changed (struct jc_paths *paths,
                             const struct jc_path_target *target, bool up,
                             int64_t now_ms)
{
  struct zone *zone = zone_get (paths, target);

  if (up)
    {
      zone->connections_up++;
      zone->connections_known
          = MAX (zone->connections_known, zone->connections_up);
      return zone_open (zone, now_ms);
    }
  if (zone->connections_up > 0)
    zone->connections_up--;
  return false;
}

/* Return the entry for reports on ZONE by the instance NAME.  When all are in
   use, the oldest one is reused.  */
static struct reporter *
reporter_slot (struct zone *zone, const char *name)
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

/* Note that REPORTER, another instance of this region, has had its path to
   TARGET's zone closed for AGE_MS.  Return true if that closes the path here.
   An answer that this instance received since then overrides the report.  */
bool
jc_paths_reported (struct jc_paths *paths, const char *reporter,
                   const struct jc_path_target *target, int64_t age_ms,
                   int64_t now_ms)
{
  struct zone *zone = zone_get (paths, target);
  struct reporter *slot = reporter_slot (zone, reporter);
  unsigned int reporters = 0;

  slot->reported_ms = now_ms;
  slot->closed_ms = now_ms - age_ms;
  for (unsigned int i = 0; i < REPORTERS_MAX; i++)
    if (zone->reporters[i].name != NULL
        && now_ms - zone->reporters[i].reported_ms < REPORT_MAX_AGE_MS
        && zone->reporters[i].closed_ms > zone->answered_ms)
      reporters++;
  return reporters >= REPORTERS_TO_CLOSE && zone_close (zone, now_ms);
}

/* Return true if the path to ZONE is open.  Paths to unknown zones are.  */
bool
jc_paths_is_open (const struct jc_paths *paths, const char *zone)
{
  const struct zone *known = g_hash_table_lookup (paths->zones, zone);

  return known == NULL || !known->closed;
}

/* Return true if INSTANCE could not be reached and must not be tried again
   yet.  */
bool
jc_paths_in_backoff (const struct jc_paths *paths, const char *instance,
                     int64_t now_ms)
{
  const struct instance *known
      = g_hash_table_lookup (paths->instances, instance);

  return known != NULL && known->backoff_until_ms > now_ms;
}

/* Return true if a probe of the closed path to ZONE is due, and schedule the
   next one.  */
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

/* Append the closed paths to LIST, of struct jc_closed_path.  The strings
   remain owned by PATHS.  */
void
jc_paths_list_closed (const struct jc_paths *paths, GArray *list)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, paths->zones);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct zone *zone = value;
      const struct jc_closed_path path = { .zone = zone->name,
                                           .region = zone->region,
                                           .closed_ms = zone->closed_ms };

      if (zone->closed)
        g_array_append_val (list, path);
    }
}

/* Remove instances whose backoff ended INSTANCE_EXPIRE_MS ago.  */
void
jc_paths_expire (struct jc_paths *paths, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, paths->instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((const struct instance *)value)->backoff_until_ms
        > INSTANCE_EXPIRE_MS)
      g_hash_table_iter_remove (&iter);
}
