/* Caller keys: which workspace the requests of callers belong to.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/callerkeys.h"
#include "entry/router.h"

/* Set FAULT and KEY of QUERY from the head of REQ.  */
static void
read_key (const struct router *router, const struct jc_http_req *req,
          struct jc_key_query *query)
{
  const char *name = router->protocol->api_key_header;
  const char *value = jc_http_header (req, name);
  unsigned int count = jc_head_count (jc_http_head (req), name);

  if (value == NULL)
    query->fault = JC_KEY_FAULT_MISSING;
  else if (count > 1 || !router->protocol->parse_api_key (value, &query->key))
    query->fault = JC_KEY_FAULT_MALFORMED;
  else
    query->fault = JC_KEY_FAULT_NONE;
}

/* Read the note of the instance that handed REQ over into NOTE.  Return false
   if there is none.  */
static bool
read_note (const struct router *router, const struct jc_http_req *req,
           struct jc_key_note *note)
{
  const char *text = jc_http_header (req, HEADER_KEY_NOTE);

  return text != NULL
         && jc_key_note_parse (
             text, jc_http_header (req, router->protocol->workspace_header),
             &router->key_secrets, note);
}

/* Log that REQ is refused because of FAULT of its key, and count it unless
   another instance answers the caller.  */
static void
note_refusal (const struct router *router, const struct jc_http_req *req,
              const struct jc_hostroute *route, bool handed_over,
              enum jc_key_fault fault)
{
  const char *id = jc_http_header (req, router->protocol->echo_header);
  const char *reason = jc_key_fault_name (fault);

  jc_event (
      JC_EVENT_REFUSED,
      "id=%.60s route=%s outcome=%s reason=%s version=%" PRIu64 " guest=%d",
      id != NULL ? id : "-", route->name, jc_status_name (JC_API_KEY_REFUSED),
      reason, router->routes->version, handed_over);
  if (!handed_over)
    callerkeys_count_refusal (router, reason);
}

/* Count a caller who is refused for REASON.  */
void
callerkeys_count_refusal (const struct router *router, const char *reason)
{
  char labels[32];

  g_snprintf (labels, sizeof labels, "reason=\"%s\"", reason);
  jc_metrics_counter_add (router->entry->metrics, "jaycove_refused_keys_total",
                          labels, 1);
}

/* Find out which workspace REQ, a request for ROUTE of the current
   configuration, belongs to, and store it in VERDICT.  Return
   JC_API_KEY_REFUSED if it needs a key and has none that is valid.  */
enum jc_status
callerkeys_check (const struct router *router, const struct jc_http_req *req,
                  const struct jc_hostroute *route, bool handed_over,
                  struct jc_key_verdict *verdict)
{
  struct jc_key_query query = { .routes = router->routes, .route = route };
  struct jc_key_note note;

  read_key (router, req, &query);
  if (handed_over && read_note (router, req, &note))
    query.note = &note;
  jc_key_check (&query, verdict);
  if (verdict->fault == JC_KEY_FAULT_NONE)
    return JC_OK;
  note_refusal (router, req, route, handed_over, verdict->fault);
  return jc_fail (JC_API_KEY_REFUSED, "No workspace has the request's key.");
}

/* Return whether the header NAME of a request with NOTE must not be sent on as
   its caller set it.  */
bool
callerkeys_hide (const struct router *router, const struct jc_key_note *note,
                 const char *name)
{
  if (g_ascii_strcasecmp (name, HEADER_KEY_NOTE) == 0)
    return true;
  return note->version != 0
         && (g_ascii_strcasecmp (name, router->protocol->api_key_header) == 0
             || g_ascii_strcasecmp (name, router->protocol->workspace_header)
                    == 0);
}

/* Append to LINES the header of a request that is handed over with NOTE, if any
   workspaces are in force.  It goes to the next instance only, also where that
   is of a build that doesn't know it.  */
void
callerkeys_append_note (const struct router *router,
                        const struct jc_key_note *note, GPtrArray *lines)
{
  char *text;

  if (note->version == 0)
    return;
  text = jc_key_note_format (note, &router->key_secrets);
  g_ptr_array_add (lines, g_strconcat (HEADER_KEY_NOTE ": ", text, NULL));
  g_ptr_array_add (lines, g_strdup ("Connection: " HEADER_KEY_NOTE));
  g_free (text);
}
