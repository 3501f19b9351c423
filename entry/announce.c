/* Announcements of endpoints and the directory for callers.  */

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "entry/entry.h"
#include "member/directory.h"
#include "net/program.h"

enum
{
  MODELS_MAX = 64,
  DIRECTORY_TTL_S = 5
};

static char *
text_of (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return (char *)(text != NULL ? text : "");
}

static uint64_t
number_of (const json_t *json, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (json, key));

  return value > 0 ? (uint64_t)value : 0;
}

/* Fill SAID from JSON, whose strings it borrows; MODELS has room for
   MODELS_MAX names.  */
static enum jc_status
announcement_parse (const json_t *json, struct rpc_endpoint *said,
                    rpc_name *models)
{
  const json_t *list = json_object_get (json, "models");
  size_t i;
  const json_t *item;

  said->name = text_of (json, "name");
  said->address = text_of (json, "address");
  said->service = text_of (json, "service");
  said->role = text_of (json, "role");
  said->incarnation = number_of (json, "incarnation");
  said->sequence = number_of (json, "sequence");
  said->leaving = json_is_true (json_object_get (json, "leaving"));
  said->slots = (u_int)number_of (json, "slots");
  said->running = (u_int)number_of (json, "running");
  said->queued = (u_int)number_of (json, "queued");
  said->tokens_per_s = (u_int)number_of (json, "tokens_per_s");
  said->models.models_val = models;
  json_array_foreach ((json_t *)list, i, item)
  {
    if (i < MODELS_MAX && json_is_string (item))
      models[said->models.models_len++] = (char *)json_string_value (item);
  }
  if (said->name[0] == '\0' || said->address[0] == '\0'
      || said->service[0] == '\0' || said->incarnation == 0)
    return jc_fail (JC_BAD_REQUEST,
                    "An announcement needs name, address, service and "
                    "incarnation.");
  return JC_OK;
}

/* Handle POST /v1/announce of an endpoint.  */
void
announce_handle (struct entry *entry, struct jc_http_req *req)
{
  struct jc_str body = jc_http_body (req);
  json_t *json = json_loadb (body.data, body.len, 0, NULL);
  struct rpc_endpoint said = { 0 };
  rpc_name models[MODELS_MAX];
  enum jc_status status;
  char *answer;

  if (json == NULL)
    {
      jc_http_fail (req, JC_BAD_JSON, "The announcement is not JSON.", 0);
      return;
    }
  status = announcement_parse (json, &said, models);
  said.lease_ms = (u_int)entry->settings->lease_ms;
  if (status == JC_OK)
    status = membership_apply_announcement (entry, &said);
  if (status != JC_OK)
    jc_http_fail (req, status, jc_last_message (), 0);
  else
    {
      answer = g_strdup_printf ("{\"lease_ms\":%" PRId64 "}",
                                entry->settings->lease_ms);
      jc_http_reply (req, 200, "application/json", jc_str_from (answer), NULL);
      g_free (answer);
    }
  json_decref (json);
}

static json_t *
directory_json (const struct jc_directory_row *row)
{
  const struct jc_instance_view *view = row->view;

  return json_pack ("{s:s,s:s,s:s,s:s,s:I}", "name", view->name, "address",
                    view->callers_address, "availability_zone", view->zone,
                    "region", view->region, "weight", (json_int_t)row->weight);
}

/* Fill QUERY for the caller of REQ: its zone is the one that it names, else
   this instance's.  */
static void
directory_query (const struct entry *entry, const struct jc_http_req *req,
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

/* Handle GET /v1/instances: the entry instances that the caller may use.  */
void
directory_handle (struct entry *entry, struct jc_http_req *req)
{
  json_t *list = json_array ();
  struct jc_directory_query query;
  GArray *rows;
  json_t *answer;
  char *text;

  directory_query (entry, req, &query);
  if (query.product == NULL)
    {
      jc_http_fail (req, JC_UNAUTHORIZED, "No product has this key.", 0);
      json_decref (list);
      return;
    }
  rows = jc_directory_list (entry->regions, &query, jc_now_ms ());
  for (guint i = 0; i < rows->len; i++)
    json_array_append_new (list, directory_json (&g_array_index (
                                     rows, struct jc_directory_row, i)));
  g_array_free (rows, TRUE);
  answer = json_pack ("{s:i,s:o}", "ttl_s", DIRECTORY_TTL_S, "instances", list);
  text = json_dumps (answer, JSON_COMPACT);
  jc_http_reply (req, 200, "application/json", jc_str_from (text), NULL);
  free (text);
  json_decref (answer);
}
