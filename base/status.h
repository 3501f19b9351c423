/* Status codes with a last message, and the table from error kind to
   answer.  */

#ifndef JC_STATUS_H
#define JC_STATUS_H

#include <stdbool.h>

/* The closed list of error kinds.  */
enum jc_status
{
  JC_OK,
  JC_BAD_REQUEST,
  JC_BAD_JSON,
  JC_TOO_LARGE,
  JC_UNAUTHORIZED,
  JC_UNKNOWN_ROUTE,
  JC_RESIDENCY_DENIED,
  JC_DEADLINE_UNMEETABLE,
  JC_DEADLINE_EXCEEDED,
  JC_OVERLOADED,
  JC_RATE_LIMITED,
  JC_NO_ENDPOINT,
  JC_NOT_READY,
  JC_DRAINING,
  JC_BEHIND,
  JC_ENDPOINT_REFUSED,
  JC_ENDPOINT_FAILED,
  JC_STREAM_BROKEN,
  JC_LINK_EXHAUSTED,
  JC_HOME_UNREACHABLE,
  JC_HOME_RECOVERING,
  JC_KEY_REQUIRED,
  JC_KEY_CONFLICT,
  JC_KEY_IN_PROGRESS,
  JC_OUTCOME_UNKNOWN,
  JC_VERSION_CONFLICT,
  JC_CHECK_FAILED,
  JC_NOT_LEADER,
  JC_STORAGE_FAILED,
  JC_CORRUPT,
  JC_TIMEOUT,
  JC_CANCELLED,
  JC_NOT_FOUND,
  JC_BAD_SETTINGS,
  JC_USAGE,
  JC_UNREACHABLE,
  JC_INTERNAL,
  JC_ANSWER_GONE,
  JC_HEAD_TOO_LARGE,
  JC_HEAD_TIMEOUT,
  JC_BODY_TIMEOUT,
  JC_CROWDED,
  JC_STATUS_COUNT
};

/* What is known of the execution of a request that failed.  */
enum jc_run_state
{
  JC_NOT_RUN,
  JC_RUN_UNKNOWN,
  JC_RUN
};

/* When the caller may come again.  */
enum jc_retry_rule
{
  JC_RETRY_NEVER,
  JC_RETRY_NOW,
  JC_RETRY_AFTER,
  JC_RETRY_SAME_KEY
};

/* One row of the table from kind to answer.  */
struct jc_status_info
{
  const char *name;
  int http_status;
  enum jc_run_state run;
  enum jc_retry_rule retry;
};

const struct jc_status_info *jc_status_info (enum jc_status status);
const char *jc_status_name (enum jc_status status);
enum jc_status jc_status_by_name (const char *name);
const char *jc_run_state_name (enum jc_run_state run);
const char *jc_retry_rule_name (enum jc_retry_rule rule);
enum jc_status jc_fail (enum jc_status status, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *jc_last_message (void);

#endif
