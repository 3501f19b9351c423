/* Example of a program that uses libjaycove: checks a configuration, records
   the reports of two endpoints and lets a routing policy pick one of them for a
   request.  Build it against an installed library:

     cc embed.c $(pkg-config --cflags --libs jaycove)  */

#include <stdio.h>

#include <conf/config.h>
#include <member/endpoints.h>
#include <serve/policy.h>

enum
{
  LEASE_MS = 3000
};

static const char objects[]
    = "[{\"kind\": \"region\", \"name\": \"at-ost\"},"
      " {\"kind\": \"service\", \"name\": \"assist-llm\", \"engine\": true}]";

/* Return version 1 of the configuration with the objects above, or NULL after
   printing their faults.  */
static struct jc_config *
load_config (void)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  json_t *put = json_loads (objects, 0, NULL);
  json_t *change = json_pack ("{s:o}", "put", put);
  struct jc_config *empty = jc_config_empty ();
  struct jc_config *config = jc_config_apply (empty, change, 1, faults);

  for (guint i = 0; i < faults->len; i++)
    printf ("%s\n", (const char *)g_ptr_array_index (faults, i));
  json_decref (change);
  jc_config_free (empty);
  g_ptr_array_free (faults, TRUE);
  return config;
}

/* Record in ENDPOINTS at NOW_MS a report of the endpoint NAME, which has
   RUNNING of its 8 slots in use.  */
static void
report_endpoint (struct jc_endpoints *endpoints, char *name, u_int running,
                 int64_t now_ms)
{
  struct rpc_endpoint report = { .name = name,
                                 .incarnation = 1,
                                 .sequence = 1,
                                 .address = "10.0.0.7:8000",
                                 .service = "assist-llm",
                                 .role = "any",
                                 .slots = 8,
                                 .running = running,
                                 .lease_ms = LEASE_MS };

  jc_endpoints_update (endpoints, &report, now_ms);
}

int
main (void)
{
  struct jc_config *config = load_config ();
  struct jc_endpoints *endpoints = jc_endpoints_new ();
  GPtrArray *serving = g_ptr_array_new ();
  struct jc_policy policy;
  int64_t now_ms = 1000;

  report_endpoint (endpoints, "engine-1", 8, now_ms);
  report_endpoint (endpoints, "engine-2", 1, now_ms);
  jc_endpoints_list_serving (endpoints, "assist-llm", "", now_ms, serving);
  jc_policy_init (&policy, "predicted");
  printf ("version %d, %u endpoints, picked %s\n", (int)config->version,
          serving->len, jc_policy_pick (&policy, serving, 0, now_ms)->name);
  jc_policy_clear (&policy);
  g_ptr_array_free (serving, TRUE);
  jc_endpoints_free (endpoints);
  jc_config_free (config);
  return 0;
}
