/* Embeds libjaycove: endpoints of a zone announce themselves, and a policy
   picks one for a request of a checked configuration.  Build it against an
   installed library:

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

static void
announce (struct jc_endpoints *members, char *name, u_int running,
          int64_t now_ms)
{
  struct rpc_endpoint said = { .name = name,
                               .incarnation = 1,
                               .sequence = 1,
                               .address = "10.0.0.7:8000",
                               .service = "assist-llm",
                               .role = "any",
                               .slots = 8,
                               .running = running,
                               .lease_ms = LEASE_MS };

  jc_endpoints_update (members, &said, now_ms);
}

int
main (void)
{
  struct jc_config *config = load_config ();
  struct jc_endpoints *members = jc_endpoints_new ();
  GPtrArray *serving = g_ptr_array_new ();
  struct jc_policy policy;
  int64_t now_ms = 1000;

  announce (members, "engine-1", 8, now_ms);
  announce (members, "engine-2", 1, now_ms);
  jc_endpoints_list_serving (members, "assist-llm", "", now_ms, serving);
  jc_policy_init (&policy, "predicted");
  printf ("version %d, %u endpoints, picked %s\n", (int)config->version,
          serving->len, jc_policy_pick (&policy, serving, 0, now_ms)->name);
  jc_policy_clear (&policy);
  g_ptr_array_free (serving, TRUE);
  jc_endpoints_free (members);
  jc_config_free (config);
  return 0;
}
