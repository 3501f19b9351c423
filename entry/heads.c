/* Heads: what is checked of a request by its head, before its body is read and
   once more before it is sent on.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/exchange.h"

/* Return the route of REQ, or NULL.  STATUS is set to JC_OK or to the
   reason.  */
static const struct jc_hostroute *
find_route (const struct router *router, const struct jc_http_req *req,
            enum jc_status *status)
{
  const char *host = jc_http_header (req, "Host");
  const struct jc_hostroute *route = NULL;

  if (router->routes == NULL)
    {
      *status = jc_fail (JC_NOT_READY, "No configuration is in force yet.");
      return NULL;
    }
  route = jc_routetable_find (router->routes, host != NULL ? host : "",
                              jc_http_path (req));
  *status = route != NULL ? JC_OK
                          : jc_fail (JC_UNKNOWN_ROUTE,
                                     "No route has this host and path.");
  return route;
}

/* Like find_route, and store in VERDICT which workspace REQ belongs to.  */
const struct jc_hostroute *
heads_find_route (const struct router *router, const struct jc_http_req *req,
                  bool handed_over, struct jc_key_verdict *verdict,
                  enum jc_status *status)
{
  const struct jc_hostroute *route = find_route (router, req, status);

  if (*status == JC_OK)
    *status = callerkeys_check (router, req, route, handed_over, verdict);
  return route;
}

/* Log that REQ is refused with STATUS because of its head.  Refused keys are
   logged where they are checked.  */
void
heads_log_refused (const struct router *router, const struct jc_http_req *req,
                   enum jc_status status)
{
  const char *host = jc_http_header (req, "Host");

  if (status == JC_API_KEY_REFUSED)
    return;
  jc_event (JC_EVENT_REFUSED,
            "id=- method=%s path=%.80s host=%.60s outcome=%s version=%" PRIu64,
            jc_http_method (req), jc_http_path (req), host != NULL ? host : "-",
            jc_status_name (status), router->orders->table_version);
}

/* Return a number that spreads a route's requests over its services.  It
   depends on the attempt id only, for a resumed stream on that of its first
   attempt, so that each instance that the request passes picks the same
   service; without an id it is random.  */
uint64_t
heads_split_number (const struct jc_request_info *info)
{
  const char *id = info->resumes != NULL ? info->resumes : info->attempt_id;

  return id != NULL ? jc_name_pair_hash (id, "split")
                    : (uint64_t)g_random_int ();
}

/* Return the time that a request of ROUTE with INFO may take, ms.  */
int64_t
heads_limit_ms (const struct jc_hostroute *route,
                const struct jc_request_info *info)
{
  return info->timeout_ms > 0 ? MIN (info->timeout_ms, route->timeout_ms)
                              : route->timeout_ms;
}

/* Check that this instance has time for a request of ROUTE with INFO.  */
static enum jc_status
check_time (struct router *router, const struct jc_hostroute *route,
            const struct jc_request_info *info)
{
  struct jc_demand demand;

  jc_demand_init (info, &demand);
  return stopping_check (
      router, route,
      jc_hostroute_pick_service (route, heads_split_number (info)), &demand,
      heads_limit_ms (route, info));
}

/* Check the head of REQ before its body is read: it must have a route, a key if
   that needs one, and a stopping instance must have time for it.  With
   HANDED_OVER another entry instance sent it.  */
enum jc_status
heads_check (struct router *router, struct jc_http_req *req, bool handed_over)
{
  struct jc_request_info info;
  struct jc_key_verdict verdict;
  enum jc_status status;
  const struct jc_hostroute *route
      = heads_find_route (router, req, handed_over, &verdict, &status);

  if (status == JC_OK)
    status = router->protocol->parse_request (jc_http_head (req), &info);
  if (status == JC_OK)
    status = check_time (router, route, &info);
  if (status != JC_OK)
    {
      heads_log_refused (router, req, status);
      refusal_prepare (router, req, status);
    }
  return status;
}
