/* Dialect: how callers, endpoints and operators speak with the gateway.  A
   dialect reads their messages into the types below and writes the
   gateway's; it decides nothing.  */

#ifndef JC_DIALECT_H
#define JC_DIALECT_H

#include <jansson.h>

#include "conf/routetable.h"
#include "base/status.h"
#include "base/str.h"
#include "schema/gen/messages.h"

enum
{
  JC_PROMPT_PARTS_MAX = 16
};

/* One part of a prompt; requests whose prompts begin with the same parts
   share what an engine has read of them.  ID is a hash of the part's name.  */
struct jc_prompt_part
{
  uint64_t id;
  unsigned int tokens;
};

/* What the head of a caller's request asks for.  Strings borrow from the
   head.  ID names this attempt of the caller, NULL where it has none; WAIT_MS
   is how long the caller waits, 0 where it does not say; RESUME_AFTER is the
   last event that it has, -1 where it begins anew.  ANSWER_TOKENS is the best
   guess at the answer's length.  */
struct jc_ask
{
  const char *id;
  int64_t wait_ms;
  int64_t resume_after;
  const char *model;
  unsigned int prompt_tokens;
  unsigned int answer_tokens;
  unsigned int parts_count;
  struct jc_prompt_part parts[JC_PROMPT_PARTS_MAX];
};

/* What an endpoint is told beside the caller's request.  LEFT_MS is the time
   that is left, PRIORITY -1 for the endpoint's own choice.  */
struct jc_terms
{
  const char *endpoint;
  int64_t left_ms;
  int64_t resume_after;
  int priority;
};

/* What the head of an endpoint's answer says beside its status.  GENUINE
   tells that it bears the endpoint's signature and a body as it was asked
   for, NOT_RUN that the endpoint promises that the request did not run.
   COLD_MS is -1 where nothing is said of it.  */
struct jc_signs
{
  bool genuine;
  bool not_run;
  bool has_load;
  unsigned int running;
  unsigned int queued;
  unsigned int slots;
  const char *endpoint;
  int64_t cold_ms;
};

/* What a call to a state instance asks for.  */
enum jc_control_kind
{
  JC_CONTROL_REPORT,
  JC_CONTROL_LEAVE,
  JC_CONTROL_ROUTES,
  JC_CONTROL_READ,
  JC_CONTROL_EVACUATE,
  JC_CONTROL_READMIT
};

/* SUBJECT is an endpoint's or an availability zone's name; it borrows from
   the path of the call.  */
struct jc_control
{
  enum jc_control_kind kind;
  const char *subject;
};

/* An endpoint's report.  SAID borrows from JSON, which json_decref frees.  */
struct jc_report
{
  struct rpc_endpoint said;
  json_t *json;
};

/* Where a caller that asks for entry instances stands.  */
struct jc_whereabouts
{
  const char *host;
  const char *region;
  const char *zone;
};

struct jc_head;
struct jc_http_req;

struct jc_dialect
{
  const char *name;
  const char *echo_header;

  enum jc_status (*ask) (const struct jc_head *head, struct jc_ask *out);
  bool (*to_endpoint) (const char *header);
  bool (*to_caller) (const char *header);
  void (*terms) (const struct jc_terms *terms, GPtrArray *lines);
  void (*signs) (const struct jc_head *head, struct jc_signs *out);
  void (*retry_after) (int64_t ms, char *out, size_t size);
  bool (*event_id) (struct jc_str event, int64_t *id);

  enum jc_status (*control) (const char *method, const char *path,
                             struct jc_control *out);
  enum jc_status (*report) (const char *name, struct jc_str body,
                            struct jc_report *out);
  char *(*report_answer) (const char *report_to);
  struct jc_routetable *(*routes) (struct jc_str text, GPtrArray *faults);

  bool (*directory) (const struct jc_http_req *req, struct jc_whereabouts *out);
  char *(*directory_answer) (const GPtrArray *addresses, int ttl_s);
  bool (*is_readiness) (const char *path);
};

#endif
