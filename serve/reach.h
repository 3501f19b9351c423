/* Reach: which services' endpoints this instance has lost its links to.  */

#ifndef JC_REACH_H
#define JC_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct jc_reach;

/* An attempt at ENDPOINT of SERVICE that began at STARTED_MS.  */
struct jc_reach_attempt
{
  const char *service;
  const char *endpoint;
  int64_t started_ms;
};

struct jc_reach *jc_reach_new (void);
void jc_reach_free (struct jc_reach *reach);
bool jc_reach_failed (struct jc_reach *reach,
                      const struct jc_reach_attempt *attempt,
                      unsigned int endpoints, int64_t now_ms);
bool jc_reach_answered (struct jc_reach *reach,
                        const struct jc_reach_attempt *attempt, int64_t now_ms);
bool jc_reach_is_lost (const struct jc_reach *reach, const char *service);
int64_t jc_reach_lost_ms (const struct jc_reach *reach, const char *service);
bool jc_reach_take_probe (struct jc_reach *reach, const char *service,
                          int64_t now_ms);
void jc_reach_list_lost (const struct jc_reach *reach, GPtrArray *services);
void jc_reach_forget (struct jc_reach *reach, const char *service);

#endif
