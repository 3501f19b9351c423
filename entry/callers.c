/* Listener for callers and endpoints: authenticates a request, finds its route
   and deadline, and starts the work on it.  */

#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"
#include "net/program.h"

enum
{
  DEADLINE_MAX_MS = 86400000,
  RETRY_AFTER_MS = 1000
};

/* Return the bearer token of REQ's Authorization header, or NULL if it has
   none.  Valid as long as REQ.  */
const char *
http_bearer_token (const struct jc_http_req *req)
{
  static const char prefix[] = "Bearer ";
  const char *value = jc_http_header (req, "Authorization");

  if (value == NULL || strncmp (value, prefix, sizeof prefix - 1) != 0)
    return NULL;
  return value + sizeof prefix - 1;
}

static bool
is_announcement (const struct jc_http_req *req)
{
  return strcmp (jc_http_path (req), "/v1/announce") == 0;
}

static bool
is_directory_request (const struct jc_http_req *req)
{
  return strcmp (jc_http_path (req), "/v1/instances") == 0;
}

/* Return the route that the path "/r/NAME/..." of REQ names, or NULL.  Set
   ENDPOINT_PATH to what follows NAME, query included; it is left unchanged if
   the path has another form.  */
static const struct jc_route *
find_route (const struct entry *entry, const struct jc_http_req *req,
            const char **endpoint_path)
{
  const char *path = jc_http_target (req);
  const struct jc_route *route;
  size_t len;
  char *name;

  if (strncmp (path, "/r/", 3) != 0)
    return NULL;
  len = strcspn (path + 3, "/?");
  name = g_strndup (path + 3, len);
  route = jc_config_find (entry->config, JC_OBJECT_ROUTE, name);
  g_free (name);
  *endpoint_path = path + 3 + len;
  return route;
}

/* Fill SPEC for REQ: its product by the bearer token, its route by the path,
   its deadline by X-Deadline-Ms, else by the route.  Return another status than
   JC_OK if REQ is refused.  */
static enum jc_status
resolve_request (const struct entry *entry, struct jc_http_req *req,
                 struct request_spec *spec)
{
  const char *token = http_bearer_token (req);
  const char *deadline = jc_http_header (req, "X-Deadline-Ms");
  char *end = "";
  int64_t left_ms;

  spec->req = req;
  spec->path = "";
  spec->product
      = jc_config_product_of_key (entry->config, token != NULL ? token : "");
  if (spec->product == NULL)
    return jc_fail (JC_UNAUTHORIZED, "No product has this key.");
  spec->route = find_route (entry, req, &spec->path);
  if (spec->route == NULL
      || strcmp (spec->route->product, spec->product->name) != 0)
    return jc_fail (JC_UNKNOWN_ROUTE, "The product has no such route.");
  if (!jc_config_allows (entry->config, spec->product, spec->route,
                         entry->settings->region))
    return jc_fail (JC_RESIDENCY_DENIED,
                    "Requests of this route may not enter this region.");
  left_ms = deadline != NULL ? strtoll (deadline, &end, 10)
                             : spec->route->deadline_ms;
  if (left_ms <= 0 || left_ms > DEADLINE_MAX_MS || *end != '\0')
    return jc_fail (JC_BAD_REQUEST, "X-Deadline-Ms must be from 1 to %d.",
                    DEADLINE_MAX_MS);
  spec->deadline_ms = jc_now_ms () + left_ms;
  return JC_OK;
}

/* Authenticate REQ and check its target by the head alone, so that the body of
   a refused request is not read.  */
static enum jc_status
callers_head (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  const char *token = http_bearer_token (req);
  struct request_spec spec = { 0 };

  if (is_announcement (req))
    {
      const char *expected_token = entry->settings->endpoint_token;

      if (expected_token[0] != '\0'
          && (token == NULL || strcmp (token, expected_token) != 0))
        return jc_fail (JC_UNAUTHORIZED, "The endpoint's token is wrong.");
      return JC_OK;
    }
  if (entry->config->version == 0)
    return jc_fail (JC_NOT_READY, "No configuration is in force yet.");
  if (is_directory_request (req))
    return token != NULL
                   && jc_config_product_of_key (entry->config, token) != NULL
               ? JC_OK
               : jc_fail (JC_UNAUTHORIZED, "No product has this key.");
  if (entry->draining)
    return jc_fail (JC_DRAINING, "This instance is draining.");
  return resolve_request (entry, req, &spec);
}

/* Serve REQ, whose body was read.  Its route is resolved again, since the
   configuration may have changed in the meantime.  */
static void
callers_body (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  struct request_spec spec = { 0 };

  if (is_announcement (req))
    announce_handle (entry, req);
  else if (is_directory_request (req))
    directory_handle (entry, req);
  else if (resolve_request (entry, req, &spec) != JC_OK || spec.route == NULL)
    jc_http_fail (req, JC_BEHIND, "The configuration changed.", RETRY_AFTER_MS);
  else if (spec.route->idempotent)
    request_start (entry, &spec);
  else
    keyed_start (entry, &spec);
}

/* The caller closed its connection: notify the handler of REQ, if any.  */
static void
callers_closed (void *ctx, struct jc_http_req *req)
{
  const struct handler_class *const *work = jc_http_data (req);

  (void)ctx;
  if (work != NULL)
    (*work)->caller_closed ((void *)work);
}

/* The caller has read what was buffered for it: notify the handler of REQ, if
   it has a callback for that.  */
static void
callers_writable (void *ctx, struct jc_http_req *req)
{
  const struct handler_class *const *work = jc_http_data (req);

  (void)ctx;
  if (work != NULL && (*work)->caller_writable != NULL)
    (*work)->caller_writable ((void *)work);
}

/* Open the listener for callers and endpoints at the address of the settings.
   Return NULL if that fails, with the reason in jc_last_message.  */
struct jc_httpd *
callers_listen (struct entry *entry)
{
  static const struct jc_httpd_class listener_class
      = { .head = callers_head,
          .body = callers_body,
          .peer_closed = callers_closed,
          .writable = callers_writable };

  return jc_httpd_new (entry->loop, entry->settings->callers, &listener_class,
                       entry, (size_t)entry->settings->max_body_bytes);
}
