/* GET /explain: how a request of a route would be routed now, and why.  */

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "entry/spillover.h"
#include "net/program.h"
#include "serve/admit.h"

enum
{
  TRANSFER_TYPICAL_BYTES = 4096
};

/* A hypothetical request of PRODUCT and ROUTE at NOW_MS.  POOL sums up the
   endpoints of this region that could serve it.  */
struct explanation
{
  struct entry *entry;
  const struct jc_product *product;
  const struct jc_route *route;
  int64_t now_ms;
  struct jc_endpoint_pool pool;
};

static json_t *
endpoint_json (const struct explanation *explanation,
               const struct jc_endpoint *endpoint)
{
  struct jc_predict *predict = explanation->entry->policy.predict;
  int64_t now = explanation->now_ms;

  return json_pack (
      "{s:s,s:i,s:i,s:i,s:I,s:I,s:b,s:b,s:b}", "name", endpoint->name, "slots",
      (int)endpoint->slots, "in_flight", (int)endpoint->in_flight, "ahead",
      (int)jc_predict_load (predict, endpoint, now), "service_ms",
      (json_int_t)jc_predict_service_ms (predict, endpoint, now), "cost_ms",
      (json_int_t)jc_predict_cost_ms (predict, endpoint, now), "room",
      jc_predict_has_room (predict, endpoint, now) ? 1 : 0, "slow",
      jc_predict_is_slow (predict, endpoint, now) ? 1 : 0, "avoided",
      jc_predict_is_avoided (predict, endpoint, now) ? 1 : 0);
}

/* Add each endpoint of this region to OUT, and the one that the policy would
   pick; set the pool of EXPLANATION.  */
static void
explain_local (struct explanation *explanation, json_t *out)
{
  struct entry *entry = explanation->entry;
  GPtrArray *endpoints = g_ptr_array_new ();
  json_t *list = json_array ();
  const struct jc_endpoint *pick;

  jc_endpoints_list_serving (entry->members, explanation->route->service,
                             explanation->route->model_version,
                             explanation->now_ms, endpoints);
  jc_admit_sum_pool (entry->policy.predict, endpoints, explanation->now_ms,
                     &explanation->pool);
  for (guint i = 0; i < endpoints->len; i++)
    json_array_append_new (
        list, endpoint_json (explanation, g_ptr_array_index (endpoints, i)));
  pick = jc_policy_pick (&entry->policy, endpoints, 0, explanation->now_ms);
  json_object_set_new (out, "endpoints", list);
  json_object_set_new (out, "endpoint",
                       pick != NULL ? json_string (pick->name) : json_null ());
  g_ptr_array_free (endpoints, TRUE);
}

static void
append_verdict (void *ctx, const char *region, enum jc_spillover verdict,
                int64_t finish_ms)
{
  json_array_append_new (ctx,
                         json_pack ("{s:s,s:s,s:I}", "region", region,
                                    "verdict", jc_spillover_reason (verdict),
                                    "done_ms", (json_int_t)finish_ms));
}

/* Add the wait here, the verdict on each other region and the region that the
   request would go to.  Needs the pool of EXPLANATION.  */
static void
explain_spillover (struct explanation *explanation, json_t *out)
{
  struct entry *entry = explanation->entry;
  struct jc_endpoint_pool *pool = &explanation->pool;
  struct spillover_target target = { 0 };
  json_t *regions = json_array ();
  int64_t wait_ms = jc_admit_wait_ms (pool, 0);
  struct spillover_request spillover
      = { .product = explanation->product,
          .route = explanation->route,
          .query
          = { .time_left_ms = explanation->route->deadline_ms,
              .local_finish_ms
              = pool->slots > 0 ? wait_ms + jc_admit_required_ms (pool) : -1,
              .service_ms = jc_predict_typical_ms (entry->policy.predict,
                                                   explanation->route->service),
              .transfer_bytes = TRANSFER_TYPICAL_BYTES } };
  bool leaves
      = spillover_choose (entry, &spillover, append_verdict, regions, &target);

  json_object_set_new (out, "wait_ms", json_integer (wait_ms));
  json_object_set_new (out, "done_ms",
                       json_integer (spillover.query.local_finish_ms));
  json_object_set_new (out, "other_regions", regions);
  json_object_set_new (
      out, "goes_to",
      json_string (leaves ? target.region : entry->settings->region));
}

static void
explain_reply (struct explanation *explanation, struct jc_http_req *req)
{
  struct entry *entry = explanation->entry;
  bool allowed = jc_config_allows (entry->config, explanation->product,
                                   explanation->route, entry->settings->region);
  json_t *out = json_pack (
      "{s:s,s:s,s:s,s:b,s:b,s:I}", "product", explanation->product->name,
      "route", explanation->route->name, "policy", entry->policy.klass->name,
      "idempotent", explanation->route->idempotent ? 1 : 0, "allowed_here",
      allowed ? 1 : 0, "deadline_ms",
      (json_int_t)explanation->route->deadline_ms);
  char *text;

  if (allowed)
    {
      explain_local (explanation, out);
      explain_spillover (explanation, out);
    }
  text = json_dumps (out, JSON_COMPACT);
  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
  json_decref (out);
}

/* Handle GET /explain of an operator for the product and the route that the
   query of REQ names.  */
void
explain_handle (struct entry *entry, struct jc_http_req *req)
{
  const char *product = jc_http_query (req, "product");
  const char *route = jc_http_query (req, "route");
  struct explanation explanation = { .entry = entry, .now_ms = jc_now_ms () };

  if (product == NULL || route == NULL)
    {
      jc_http_fail (req, JC_BAD_REQUEST, "product and route are needed.", 0);
      return;
    }
  explanation.product
      = jc_config_find (entry->config, JC_OBJECT_PRODUCT, product);
  explanation.route = jc_config_find (entry->config, JC_OBJECT_ROUTE, route);
  if (explanation.product == NULL || explanation.route == NULL
      || strcmp (explanation.route->product, product) != 0)
    {
      jc_http_fail (req, JC_UNKNOWN_ROUTE, "The product has no such route.", 0);
      return;
    }
  explain_reply (&explanation, req);
}
