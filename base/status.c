/* Status codes and the message of the last error.  */

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/status.h"

enum
{
  MESSAGE_BYTES_MAX = 512
};

static char last_message[MESSAGE_BYTES_MAX];

static const struct jc_status_info status_table[JC_STATUS_COUNT] = {
  [JC_OK] = { "ok", 200, JC_RUN, JC_RETRY_NEVER },
  [JC_BAD_REQUEST] = { "bad_request", 400, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_BAD_JSON] = { "bad_json", 400, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_TOO_LARGE] = { "too_large", 413, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_UNAUTHORIZED] = { "unauthorized", 401, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_UNKNOWN_ROUTE] = { "unknown_route", 404, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_RESIDENCY_DENIED]
  = { "residency_denied", 403, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_DEADLINE_UNMEETABLE]
  = { "deadline_unmeetable", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_DEADLINE_EXCEEDED]
  = { "deadline_exceeded", 504, JC_RUN_UNKNOWN, JC_RETRY_NOW },
  [JC_OVERLOADED] = { "overloaded", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_RATE_LIMITED] = { "rate_limited", 429, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_NO_ENDPOINT] = { "no_endpoint", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_NOT_READY] = { "not_ready", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_DRAINING] = { "draining", 503, JC_NOT_RUN, JC_RETRY_NOW },
  [JC_BEHIND] = { "behind", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_ENDPOINT_REFUSED]
  = { "endpoint_refused", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_ENDPOINT_FAILED]
  = { "endpoint_failed", 502, JC_RUN_UNKNOWN, JC_RETRY_NOW },
  [JC_STREAM_BROKEN] = { "stream_broken", 502, JC_RUN_UNKNOWN, JC_RETRY_NOW },
  [JC_LINK_EXHAUSTED] = { "link_exhausted", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_HOME_UNREACHABLE]
  = { "home_unreachable", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_HOME_RECOVERING] = { "home_recovering", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_KEY_REQUIRED] = { "key_required", 400, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_KEY_CONFLICT] = { "key_conflict", 409, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_KEY_IN_PROGRESS]
  = { "key_in_progress", 409, JC_RUN_UNKNOWN, JC_RETRY_SAME_KEY },
  [JC_OUTCOME_UNKNOWN]
  = { "outcome_unknown", 502, JC_RUN_UNKNOWN, JC_RETRY_SAME_KEY },
  [JC_VERSION_CONFLICT]
  = { "version_conflict", 409, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_CHECK_FAILED] = { "check_failed", 422, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_NOT_LEADER] = { "not_leader", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_STORAGE_FAILED]
  = { "storage_failed", 500, JC_RUN_UNKNOWN, JC_RETRY_SAME_KEY },
  [JC_CORRUPT] = { "corrupt", 500, JC_RUN_UNKNOWN, JC_RETRY_NEVER },
  [JC_TIMEOUT] = { "timeout", 504, JC_RUN_UNKNOWN, JC_RETRY_NOW },
  [JC_CANCELLED] = { "cancelled", 499, JC_RUN_UNKNOWN, JC_RETRY_NEVER },
  [JC_NOT_FOUND] = { "not_found", 404, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_BAD_SETTINGS] = { "bad_settings", 500, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_USAGE] = { "usage", 400, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_UNREACHABLE] = { "unreachable", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_INTERNAL] = { "internal", 500, JC_RUN_UNKNOWN, JC_RETRY_NEVER },
  [JC_ANSWER_GONE] = { "answer_gone", 410, JC_RUN, JC_RETRY_NEVER },
  [JC_HEAD_TOO_LARGE] = { "head_too_large", 431, JC_NOT_RUN, JC_RETRY_NEVER },
  [JC_HEAD_TIMEOUT] = { "head_timeout", 408, JC_NOT_RUN, JC_RETRY_NOW },
  [JC_BODY_TIMEOUT] = { "body_timeout", 408, JC_NOT_RUN, JC_RETRY_NOW },
  [JC_CROWDED] = { "crowded", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_REQUEST_BLOCKED] = { "request_blocked", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_VERSION_UNKNOWN] = { "version_unknown", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_OUT_OF_REACH] = { "out_of_reach", 503, JC_NOT_RUN, JC_RETRY_AFTER },
  [JC_API_KEY_REFUSED] = { "api_key_refused", 401, JC_NOT_RUN, JC_RETRY_NEVER },
};

/* Return true if callers take the HTTP status HTTP as a promise that their
   request has not run and never will.  */
bool
jc_http_status_promises_not_run (int http)
{
  static const int promises[] = { 408, 421, 429, 503 };

  for (size_t i = 0; i < sizeof promises / sizeof promises[0]; i++)
    if (promises[i] == http)
      return true;
  return false;
}

/* Return the entry of STATUS, or that of JC_INTERNAL if the value is unknown,
   as it may be in a message of a peer.  */
const struct jc_status_info *
jc_status_info (enum jc_status status)
{
  if ((unsigned int)status >= JC_STATUS_COUNT)
    return &status_table[JC_INTERNAL];
  return &status_table[status];
}

/* Return the name of STATUS in answers and logs.  */
const char *
jc_status_name (enum jc_status status)
{
  return jc_status_info (status)->name;
}

/* Return the status called NAME, or JC_INTERNAL for an unknown name.  */
enum jc_status
jc_status_by_name (const char *name)
{
  for (int i = 0; i < JC_STATUS_COUNT; i++)
    if (strcmp (status_table[i].name, name) == 0)
      return (enum jc_status)i;
  return JC_INTERNAL;
}

/* Return the name of RUN in answers.  */
const char *
jc_run_state_name (enum jc_run_state run)
{
  static const char *const names[] = {
    [JC_NOT_RUN] = "not_run", [JC_RUN_UNKNOWN] = "unknown", [JC_RUN] = "run"
  };
  return names[run];
}

/* Return the name of RULE in answers.  */
const char *
jc_retry_rule_name (enum jc_retry_rule rule)
{
  static const char *const names[] = { [JC_RETRY_NEVER] = "never",
                                       [JC_RETRY_NOW] = "now",
                                       [JC_RETRY_AFTER] = "after",
                                       [JC_RETRY_SAME_KEY] = "same_key" };
  return names[rule];
}

/* Set the last message to the text of FMT and return STATUS, so that a function
   can end with `return jc_fail (...)`.  The message is truncated to 511
   bytes.  */
enum jc_status
jc_fail (enum jc_status status, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (last_message, sizeof last_message, fmt, ap);
  va_end (ap);
  return status;
}

/* Return the message of the last jc_fail in this process, "" if there was none.
   The next jc_fail overwrites it.  */
const char *
jc_last_message (void)
{
  return last_message;
}
