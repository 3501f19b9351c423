/* Listener for callers and endpoints.  */

#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"
#include "net/program.h"

enum
{
  DEADLINE_MAX_MS = 86400000,
  RETRY_AFTER_MS = 1000
};

/* Return the bearer token of REQ, or NULL.  */
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
is_directory (const struct jc_http_req *req)
{
  return strcmp (jc_http_path (req), "/v1/instances") == 0;
}

/* Return the route that the path "/r/NAME/..." of REQ names, or NULL; REST
   becomes the endpoint's path.  */
static const struct jc_route *
route_of (const struct entry *entry, const struct jc_http_req *req,
          const char **rest)
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
  *rest = path + 3 + len;
  return route;
}

/* Fill ORDER for REQ, or say why it is refused.  */
static enum jc_status
order_fill (const struct entry *entry, struct jc_http_req *req,
            struct request_spec *order)
{
  const char *token = http_bearer_token (req);
  const char *deadline = jc_http_header (req, "X-Deadline-Ms");
  char *end = "";
  int64_t left;

  order->req = req;
  order->path = "";
  order->product
      = jc_config_product_of_key (entry->config, token != NULL ? token : "");
  if (order->product == NULL)
    return jc_fail (JC_UNAUTHORIZED, "No product has this key.");
  order->route = route_of (entry, req, &order->path);
  if (order->route == NULL
      || strcmp (order->route->product, order->product->name) != 0)
    return jc_fail (JC_UNKNOWN_ROUTE, "The product has no such route.");
  if (!jc_config_allows (entry->config, order->product, order->route,
                         entry->settings->region))
    return jc_fail (JC_RESIDENCY_DENIED,
                    "Requests of this route may not enter this region.");
  left = deadline != NULL ? strtoll (deadline, &end, 10)
                          : order->route->deadline_ms;
  if (left <= 0 || left > DEADLINE_MAX_MS || *end != '\0')
    return jc_fail (JC_BAD_REQUEST, "X-Deadline-Ms must be from 1 to %d.",
                    DEADLINE_MAX_MS);
  order->deadline_ms = jc_now_ms () + left;
  return JC_OK;
}

/* Check who asks, and what for, before the body is read.  */
static enum jc_status
callers_head (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  const char *token = http_bearer_token (req);
  struct request_spec order = { 0 };

  if (is_announcement (req))
    {
      const char *want = entry->settings->endpoint_token;

      if (want[0] != '\0' && (token == NULL || strcmp (token, want) != 0))
        return jc_fail (JC_UNAUTHORIZED, "The endpoint's token is wrong.");
      return JC_OK;
    }
  if (entry->config->version == 0)
    return jc_fail (JC_NOT_READY, "No configuration is in force yet.");
  if (is_directory (req))
    return token != NULL
                   && jc_config_product_of_key (entry->config, token) != NULL
               ? JC_OK
               : jc_fail (JC_UNAUTHORIZED, "No product has this key.");
  if (entry->draining)
    return jc_fail (JC_DRAINING, "This instance is draining.");
  return order_fill (entry, req, &order);
}

static void
callers_body (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  struct request_spec order = { 0 };

  if (is_announcement (req))
    announce_handle (entry, req);
  else if (is_directory (req))
    directory_handle (entry, req);
  else if (order_fill (entry, req, &order) != JC_OK || order.route == NULL)
    jc_http_fail (req, JC_BEHIND, "The configuration changed.", RETRY_AFTER_MS);
  else if (order.route->idempotent)
    request_start (entry, &order);
  else
    keyed_start (entry, &order);
}

static void
callers_gone (void *ctx, struct jc_http_req *req)
{
  const struct handler_class *const *work = jc_http_data (req);

  (void)ctx;
  if (work != NULL)
    (*work)->caller_closed ((void *)work);
}

static void
callers_room (void *ctx, struct jc_http_req *req)
{
  const struct handler_class *const *work = jc_http_data (req);

  (void)ctx;
  if (work != NULL && (*work)->caller_writable != NULL)
    (*work)->caller_writable ((void *)work);
}

/* Open the listener for callers and endpoints.  */
struct jc_httpd *
callers_listen (struct entry *entry)
{
  static const struct jc_httpd_class klass = { .head = callers_head,
                                               .body = callers_body,
                                               .gone = callers_gone,
                                               .room = callers_room };

  return jc_httpd_new (entry->loop, entry->settings->callers, &klass, entry,
                       (size_t)entry->settings->max_body_bytes);
}
