/* Quotas as operators see them: gauges, and the quota of one workspace.  */

#include <jansson.h>
#include <stdlib.h>

#include "entry/quotas.h"
#include "net/program.h"

enum
{
  /* Workspaces that have gauges of their own; the rest are counted.  */
  GAUGES_MAX = 64
};

/* Set the gauges of the workspaces that this instance owns in its zone.  */
void
quotas_set_gauges (struct router *router)
{
  struct jc_metrics *metrics = router->entry->metrics;
  int64_t now = jc_boot_ms ();
  unsigned int owned = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->quotas->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct workspace_quota *quota = value;
      g_autofree char *labels
          = g_strdup_printf ("workspace=\"%s\"", quota->name);

      if (quota->owner != NULL && ++owned <= GAUGES_MAX)
        jc_metrics_gauge_set (
            metrics, "jaycove_quota_slots", labels,
            jc_quotabucket_slots (jc_quotaowner_bucket (quota->owner), now));
    }
  jc_metrics_gauge_set (metrics, "jaycove_quota_workspaces_owned", "", owned);
}

/* Handle GET /quotas of an operator: what this instance knows of the quota of
   the workspace that the query of REQ names.  */
void
quotas_handle_show (struct entry *entry, struct jc_http_req *req)
{
  const char *name = jc_http_query (req, "workspace");
  struct router *router = entry->router;
  const struct jc_workspace *workspace
      = router != NULL && router->routes != NULL
                && router->routes->workspaces != NULL && name != NULL
            ? jc_workspaces_find (router->routes->workspaces, name)
            : NULL;
  struct workspace_quota *quota
      = workspace != NULL ? quotas_find (router, name) : NULL;
  struct jc_quotabucket *bucket;
  int64_t now = jc_boot_ms ();
  json_t *row;
  char *text;

  if (quota == NULL)
    {
      jc_http_fail (req, JC_NOT_FOUND, "This workspace has no limit.", 0);
      return;
    }
  bucket = quota->owner != NULL ? jc_quotaowner_bucket (quota->owner) : NULL;
  row = json_pack (
      "{s:s,s:s,s:f,s:f,s:i,s:f,s:f}", "workspace", name, "unit",
      workspace->quota.unit == JC_QUOTA_TOKENS ? "tokens" : "requests", "per_s",
      quota->per_s, "burst", quota->burst, "slots",
      bucket != NULL ? (int)jc_quotabucket_slots (bucket, now) : 0, "credit",
      bucket != NULL ? jc_quotabucket_credit (bucket, now) : 0.0, "used_per_s",
      bucket != NULL ? jc_quotabucket_used_per_s (bucket, now) : 0.0);
  text = json_dumps (row, JSON_COMPACT);
  jc_http_reply (req, 200, "application/json", jc_str_from_cstr (text), NULL);
  free (text);
  json_decref (row);
}
