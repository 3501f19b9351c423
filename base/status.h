/* Status codes, the message of the last error, and the table that maps a status
   to the answer that callers get.  */

#ifndef JC_STATUS_H
#define JC_STATUS_H

#include <stdbool.h>

/* All kinds of errors.  Their names are part of the interface for callers.
   JC_BEHIND: one side has an older configuration or report than the other.
   JC_CROWDED: the request should wait, since the chosen endpoint has too much
   unread input.  JC_ANSWER_GONE: the request has run, but its answer is no
   longer stored.  JC_REQUEST_BLOCKED: requests like it crashed endpoints.
   JC_VERSION_UNKNOWN: which software version began the stream is not known.
   JC_OUT_OF_REACH: this instance has lost its links to the endpoints.
   JC_API_KEY_REFUSED: no workspace has the caller's key.  */
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
  JC_REQUEST_BLOCKED,
  JC_VERSION_UNKNOWN,
  JC_OUT_OF_REACH,
  JC_API_KEY_REFUSED,
  JC_STATUS_COUNT
};

/* Whether a failed request has run, as far as it is known.  */
enum jc_run_state
{
  JC_NOT_RUN,
  JC_RUN_UNKNOWN,
  JC_RUN
};

/* Whether a caller may send the request again: never, at once, after the time
   in Retry-After, or only with the same idempotency key.  */
enum jc_retry_rule
{
  JC_RETRY_NEVER,
  JC_RETRY_NOW,
  JC_RETRY_AFTER,
  JC_RETRY_SAME_KEY
};

/* What callers are told about a status: its name, the status code of HTTP,
   whether the request ran and whether it may be sent again.  */
struct jc_status_info
{
  const char *name;
  int http_status;
  enum jc_run_state run;
  enum jc_retry_rule retry;
};

bool jc_http_status_promises_not_run (int http);
const struct jc_status_info *jc_status_info (enum jc_status status);
const char *jc_status_name (enum jc_status status);
enum jc_status jc_status_by_name (const char *name);
const char *jc_run_state_name (enum jc_run_state run);
const char *jc_retry_rule_name (enum jc_retry_rule rule);
enum jc_status jc_fail (enum jc_status status, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
const char *jc_last_message (void);

#endif
