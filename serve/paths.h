/* Network paths: which other availability zones this instance can reach.  */

#ifndef JC_PATHS_H
#define JC_PATHS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_paths;

/* The target of an attempt: INSTANCE, an endpoint or another entry instance, in
   ZONE of REGION.  */
struct jc_path_target
{
  const char *instance;
  const char *zone;
  const char *region;
};

/* A closed path, as reported to other instances.  */
struct jc_closed_path
{
  const char *zone;
  const char *region;
  int64_t closed_ms;
};

struct jc_paths *jc_paths_new (void);
void jc_paths_free (struct jc_paths *paths);
bool jc_paths_failed (struct jc_paths *paths,
                      const struct jc_path_target *target, int64_t started_ms,
                      int64_t now_ms);
bool jc_paths_answered (struct jc_paths *paths,
                        const struct jc_path_target *target, int64_t now_ms);
void jc_paths_refused (struct jc_paths *paths,
                       const struct jc_path_target *target, int64_t now_ms);
bool jc_paths_connection_changed (struct jc_paths *paths,
                                  const struct jc_path_target *target, bool up,
                                  int64_t now_ms);
bool jc_paths_reported (struct jc_paths *paths, const char *reporter,
                        const struct jc_path_target *target, int64_t age_ms,
                        int64_t now_ms);
bool jc_paths_is_open (const struct jc_paths *paths, const char *zone);
bool jc_paths_in_backoff (const struct jc_paths *paths, const char *instance,
                          int64_t now_ms);
bool jc_paths_take_probe (struct jc_paths *paths, const char *zone,
                          int64_t now_ms);
void jc_paths_list_closed (const struct jc_paths *paths, GArray *list);
void jc_paths_expire (struct jc_paths *paths, int64_t now_ms);

#endif
