/* Where an engine copies the cached first parts of a prompt from.  */

#include "entry/exchange.h"
#include "entry/router.h"

/* Return the engines of EXCHANGE's service in this region, which the caller
   frees.  */
static GPtrArray *
list_engines (const struct exchange *exchange, int64_t now_ms)
{
  GPtrArray *endpoints = g_ptr_array_new ();

  jc_endpoints_list_serving (exchange->router->endpoints, exchange->service,
                             NULL, now_ms, endpoints);
  return endpoints;
}

/* Set how much of EXCHANGE's prompt can be copied from an engine.  */
void
copies_find (struct exchange *exchange, int64_t now_ms)
{
  GPtrArray *endpoints;

  if (exchange->demand.copy_ms_per_token <= 0)
    return;
  endpoints = list_engines (exchange, now_ms);
  jc_engines_find_kept (exchange->router->engines, endpoints, &exchange->demand,
                        now_ms);
  g_ptr_array_free (endpoints, TRUE);
}

/* Return the address of the engine that ENDPOINT is to copy the first parts of
   EXCHANGE's prompt from, NULL if it is to copy none.  The demand of EXCHANGE
   then counts on no copy.  */
const char *
copies_source (struct exchange *exchange, const struct jc_endpoint *endpoint,
               int64_t now_ms)
{
  const struct jc_endpoint *source;
  GPtrArray *endpoints;

  if (exchange->demand.kept_tokens == 0)
    return NULL;
  endpoints = list_engines (exchange, now_ms);
  source = jc_engines_copy_source (exchange->router->engines, endpoints,
                                   endpoint, &exchange->demand, now_ms);
  g_ptr_array_free (endpoints, TRUE);
  if (source == NULL)
    exchange->demand.kept_tokens = 0;
  return source != NULL ? source->address : NULL;
}
