/* Announcements of endpoints, and the directory of entry instances for
   callers.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "base/event.h"
#include "entry/entry.h"
#include "member/directory.h"
#include "member/reportcheck.h"
#include "net/program.h"

enum
{
  MODELS_MAX = 64,
  DIRECTORY_TTL_S = 5
};

/* Return the string member KEY of JSON, borrowed from it, or "" if it has
   none.  It is not const since messages have plain pointers.  */
static char *
get_string (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return (char *)(text != NULL ? text : "");
}

/* Return the integer member KEY of JSON, or 0 if it has none or a negative
   one.  */
static uint64_t
get_unsigned (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value > 0 ? (uint64_t)value : 0;
}

/* Fill ANNOUNCED from JSON, whose strings it borrows.  MODELS has room for
   MODELS_MAX names; further ones are left out.  Return JC_BAD_REQUEST if a
   required member is missing.  */
static enum jc_status
announcement_parse (const json_t *json, struct rpc_endpoint *announced,
                    rpc_name *models)
{
  const json_t *list = json_object_get (json, "models");
  size_t i;
  const json_t *item;

  announced->name = get_string (json, "name");
  announced->address = get_string (json, "address");
  announced->service = get_string (json, "service");
  announced->role = get_string (json, "role");
  announced->incarnation = get_unsigned (json, "incarnation");
  announced->sequence = get_unsigned (json, "sequence");
  announced->leaving = json_is_true (json_object_get (json, "leaving"));
  announced->slots = (u_int)get_unsigned (json, "slots");
  announced->running = (u_int)get_unsigned (json, "running");
  announced->queued = (u_int)get_unsigned (json, "queued");
  announced->tokens_per_s = (u_int)get_unsigned (json, "tokens_per_s");
  announced->models.models_val = models;
  json_array_foreach ((json_t *)list, i, item)
  {
    if (i < MODELS_MAX && json_is_string (item))
      models[announced->models.models_len++] = (char *)json_string_value (item);
  }
  if (announced->name[0] == '\0' || announced->address[0] == '\0'
      || announced->service[0] == '\0' || announced->incarnation == 0)
    return jc_fail (JC_BAD_REQUEST,
                    "An announcement needs name, address, service and "
                    "incarnation.");
  return JC_OK;
}

/* Handle POST /v1/announce of an endpoint.  The answer has the lease, within
   which the endpoint must announce itself again.  */
void
announce_handle (struct entry *entry, struct jc_http_req *req)
{
  struct jc_str body = jc_http_body (req);
  json_t *json = json_loadb (body.data, body.len, 0, NULL);
  struct rpc_endpoint announced = { 0 };
  rpc_name models[MODELS_MAX];
  enum jc_status status;
  char *answer;

  if (json == NULL)
    {
      jc_http_fail (req, JC_BAD_JSON, "The announcement is not JSON.", 0);
      return;
    }
  status = announcement_parse (json, &announced, models);
  announced.lease_ms = (u_int)entry->settings->lease_ms;
  if (status == JC_OK)
    status = jc_report_check (&announced, 0);
  if (status == JC_BAD_REQUEST)
    jc_event (JC_EVENT_BAD_INPUT, "from=endpoint name=%.60s why=\"%s\"",
              announced.name, jc_last_message ());
  if (status == JC_OK)
    status = membership_apply_announcement (entry, &announced);
  if (status != JC_OK)
    jc_http_fail (req, status, jc_last_message (), 0);
  else
    {
      answer = g_strdup_printf ("{\"lease_ms\":%" PRId64 "}",
                                entry->settings->lease_ms);
      jc_http_reply (req, 200, "application/json", jc_str_from_cstr (answer),
                     NULL);
      g_free (answer);
    }
  json_decref (json);
}

static json_t *
instance_json (const struct jc_directory_row *row)
{
  const struct jc_instance_view *view = row->view;

  return json_pack ("{s:s,s:s,s:s,s:s,s:I}", "name", view->name, "address",
                    view->callers_address, "availability_zone", view->zone,
                    "region", view->region, "weight", (json_int_t)row->weight);
}

/* Fill QUERY for the caller of REQ.  Its availability zone is the one that it
   names, if the configuration has that, else the zone of this instance.  */
static void
init_directory_query (const struct entry *entry, const struct jc_http_req *req,
                      struct jc_directory_query *query)
{
  const char *zone = jc_http_query (req, "availability_zone");
  const char *region = NULL;

  query->config = entry->config;
  query->product
      = jc_config_product_of_key (entry->config, http_bearer_token (req));
  if (zone != NULL)
    region = jc_config_region_of_zone (entry->config, zone);
  query->zone = region != NULL ? zone : entry->settings->availability_zone;
  query->region = region != NULL ? region : entry->settings->region;
}

/* Handle GET /v1/instances: list the entry instances that the product of the
   caller's key may use.  */
void
directory_handle (struct entry *entry, struct jc_http_req *req)
{
  json_t *list = json_array ();
  struct jc_directory_query query;
  GArray *rows;
  json_t *answer;
  char *text;

  init_directory_query (entry, req, &query);
  if (query.product == NULL)
    {
      jc_http_fail (req, JC_UNAUTHORIZED, "No product has this key.", 0);
      json_decref (list);
      return;
    }
  rows = jc_directory_list (entry->regions, &query, jc_now_ms ());
  for (guint i = 0; i < rows->len; i++)
    json_array_append_new (list, instance_json (&g_array_index (
                                     rows, struct jc_directory_row, i)));
  g_array_free (rows, TRUE);
  answer = json_pack ("{s:i,s:o}", "ttl_s", DIRECTORY_TTL_S, "instances", list);
  text = json_dumps (answer, JSON_COMPACT);
  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
  json_decref (answer);
}
