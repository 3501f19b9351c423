/* Limits of products at one instance: rate, concurrency, retries and their
   share of links between regions.  */

#ifndef JC_LIMIT_H
#define JC_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "schema/gen/objects.h"

struct jc_limits;

struct jc_limits *jc_limits_new (void);
void jc_limits_free (struct jc_limits *limits);
enum jc_status jc_limits_admit (struct jc_limits *limits, const char *product,
                                const struct jc_limit *limit, int64_t now_ms,
                                int64_t *retry_after_ms);
bool jc_limits_has_room (struct jc_limits *limits, const char *product,
                         const struct jc_limit *limit);
void jc_limits_start (struct jc_limits *limits, const char *product);
void jc_limits_finish (struct jc_limits *limits, const char *product);
bool jc_limits_take_retry (struct jc_limits *limits, const char *product,
                           const struct jc_limit *limit, int64_t now_ms);
bool jc_limits_link_has_room (struct jc_limits *limits, const char *product,
                              const struct jc_limit *limit,
                              const struct jc_link *link, int64_t now_ms);
void jc_limits_link_spend (struct jc_limits *limits, const char *product,
                           const struct jc_link *link, uint64_t bytes);

#endif
