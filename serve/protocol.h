/* Protocol adapter: translates between the messages of callers, endpoints and
   operators and the types below.  It makes no decisions.  */

#ifndef JC_PROTOCOL_H
#define JC_PROTOCOL_H

#include <jansson.h>

#include "conf/routetable.h"
#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

enum
{
  JC_PROMPT_PARTS_MAX = 16
};

/* One part of a prompt.  Prompts that begin with the same parts share what an
   engine has cached of them.  ID is a hash of the part's name.  */
struct jc_prompt_part
{
  uint64_t id;
  unsigned int tokens;
};

/* A caller's request, as parsed from its head, which owns the strings.
   ATTEMPT_ID identifies this attempt of the caller, NULL if it has none.
   TIMEOUT_MS is how long the caller waits, 0 if unknown.  RESUME_AFTER is the
   last event that the caller has, -1 to start at the first; RESUMES, NULL if
   not given, is the id of the caller's attempt that brought the first event of
   the stream that the caller resumes.  ANSWER_TOKENS is an estimate of the
   answer's length.  COUNTED_TOKENS are those of the prompt and the longest
   answer as the caller counts them, 0 if it doesn't say.  */
struct jc_request_info
{
  const char *attempt_id;
  int64_t timeout_ms;
  int64_t resume_after;
  const char *resumes;
  const char *model;
  unsigned int prompt_tokens;
  unsigned int answer_tokens;
  uint64_t counted_tokens;
  unsigned int parts_count;
  struct jc_prompt_part parts[JC_PROMPT_PARTS_MAX];
};

/* What is sent to an endpoint in addition to the caller's request.
   TIME_LEFT_MS is the time until the deadline; PRIORITY -1 leaves the choice to
   the endpoint.  WORKSPACE is the name of the caller's, or NULL.  COPY_FROM is
   the address of the engine that the KV cache of the prompt's first parts is
   copied from, or NULL.  */
struct jc_attempt_info
{
  const char *endpoint;
  const char *copy_from;
  const char *workspace;
  int64_t time_left_ms;
  int64_t resume_after;
  int priority;
};

/* What the head of an endpoint's answer contains besides its status.  GENUINE
   is true if it has the endpoint's signature and a body of the requested type.
   NOT_RUN_FIELDS is how often it says that the request did not run, IS_SIGNED
   whether the signature is there, whatever the body.  NOT_RUN, which the reader
   of the answer sets from jc_statement_of, is true if that is a promise.
   COLD_MS is -1 if not given, and so is LIMIT_PER_S, the requests per second
   that the endpoint accepts from all entry instances together, and
   REFUSALS_MAX_PER_S, the refusals in a second beyond which it ends.  LEAVING
   tells that the endpoint is about to end.  PAUSE_MS is the time for which an
   endpoint that refused the request wants no other one, -1 if not given.
   WORK_PERCENT is how long work takes at the endpoint now, in percent of the
   usual, 0 if not given.  MALFORMED is the name of a header that was ignored
   because it can't be read, or NULL; MALFORMED_LOAD is that of the load if the
   load or WORK_PERCENT was.  */
struct jc_answer_info
{
  bool genuine;
  bool not_run;
  unsigned int not_run_fields;
  bool is_signed;
  bool has_load;
  unsigned int running;
  unsigned int queued;
  unsigned int slots;
  unsigned int work_percent;
  const char *endpoint;
  int64_t cold_ms;
  double limit_per_s;
  int refusals_max_per_s;
  bool leaving;
  int64_t pause_ms;
  const char *malformed;
  const char *malformed_load;
};

/* Calls to a state instance.  */
enum jc_control_kind
{
  JC_CONTROL_REPORT,
  JC_CONTROL_LEAVE,
  JC_CONTROL_ROUTES,
  JC_CONTROL_READ,
  JC_CONTROL_EVACUATE,
  JC_CONTROL_READMIT
};

/* SUBJECT is the name of an endpoint or availability zone; it points into the
   path of the call.  */
struct jc_control_call
{
  enum jc_control_kind kind;
  const char *subject;
};

/* An endpoint's report.  ENDPOINT and SOFTWARE, the version of the endpoint's
   software, point into JSON, which json_decref frees.  */
struct jc_endpoint_report
{
  struct rpc_endpoint endpoint;
  const char *software;
  json_t *json;
};

/* Location of a caller that asks for entry instances.  */
struct jc_caller_location
{
  const char *host;
  const char *region;
  const char *zone;
};

struct jc_head;
struct jc_http_req;

/* A protocol.  ECHO_HEADER is the header that an answer repeats from its
   request, so that an answer to an earlier attempt is recognized.  An engine
   answers a GET of STATE_PATH with its state, which parse_state reads.
   API_KEY_HEADER is where a caller sends its key, which parse_api_key reads,
   and WORKSPACE_HEADER where endpoints get the name of the caller's workspace;
   both are as any other header while the configuration has no workspaces.
   parse_routes has the digests of keys depend on SECRET, or on a random secret
   if that is NULL.  */
struct jc_protocol
{
  const char *name;
  const char *echo_header;
  const char *state_path;
  const char *api_key_header;
  const char *workspace_header;

  enum jc_status (*parse_request) (const struct jc_head *head,
                                   struct jc_request_info *out);
  bool (*parse_api_key) (const char *text, struct jc_str *key);
  bool (*forward_to_endpoint) (const char *header);
  bool (*forward_to_caller) (const char *header);
  void (*add_attempt_headers) (const struct jc_attempt_info *info,
                               GPtrArray *lines);
  void (*parse_answer) (const struct jc_head *head, struct jc_answer_info *out);
  void (*format_retry_after) (int64_t ms, char *out, size_t size);
  bool (*parse_event_id) (struct jc_str event, int64_t *id);

  enum jc_status (*parse_control) (const char *method, const char *path,
                                   struct jc_control_call *out);
  enum jc_status (*parse_report) (const char *name, struct jc_str body,
                                  struct jc_endpoint_report *out);
  char *(*format_report_answer) (const char *report_to);
  bool (*parse_state) (struct jc_str body, uint64_t *incarnation);
  struct jc_routetable *(*parse_routes) (struct jc_str text,
                                         const unsigned char *secret,
                                         GPtrArray *faults);

  bool (*parse_discovery) (const struct jc_http_req *req,
                           struct jc_caller_location *out);
  char *(*format_discovery) (const GPtrArray *addresses, int ttl_s);
  bool (*is_readiness_path) (const char *path);
};

#endif
