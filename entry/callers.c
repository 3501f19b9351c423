/* Listener for callers and endpoints.  */

#include <string.h>

#include "entry/entry.h"

const char *
http_bearer (const struct jc_http_req *req)
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

/* Check who asks before the body is read.  */
static enum jc_status
callers_head (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;
  const char *token = http_bearer (req);

  if (is_announcement (req))
    {
      const char *want = entry->settings->endpoint_token;

      if (want[0] != '\0' && (token == NULL || strcmp (token, want) != 0))
        return jc_fail (JC_UNAUTHORIZED, "The endpoint's token is wrong.");
      return JC_OK;
    }
  if (entry->config->version == 0)
    return jc_fail (JC_NOT_READY, "No configuration is in force yet.");
  if (token == NULL || jc_config_product_of_key (entry->config, token) == NULL)
    return jc_fail (JC_UNAUTHORIZED, "No product has this key.");
  return JC_OK;
}

static void
callers_body (void *ctx, struct jc_http_req *req)
{
  struct entry *entry = ctx;

  if (is_announcement (req))
    announce_handle (entry, req);
  else if (strcmp (jc_http_path (req), "/v1/instances") == 0)
    directory_handle (entry, req);
  else
    request_start (entry, req);
}

static void
callers_gone (void *ctx, struct jc_http_req *req)
{
  (void)ctx;
  request_gone (req);
}

/* Open the listener for callers and endpoints.  */
struct jc_httpd *
callers_listen (struct entry *entry)
{
  static const struct jc_httpd_class klass
      = { .head = callers_head, .body = callers_body, .gone = callers_gone };

  return jc_httpd_new (entry->loop, entry->settings->callers, &klass, entry,
                       (size_t)entry->settings->max_body_bytes);
}
