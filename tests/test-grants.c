/* Tests of grants of cold endpoints: an incarnation of an endpoint is granted
   at most once, whatever the order of requests.  */

#include <glib.h>
#include <string.h>

#include "member/grants.h"

enum
{
  ENDPOINTS_ASKED = 5000,
  INCARNATIONS = 20,
  REQUESTS = 20000
};

static bool
request_grant (struct jc_grants *grants, const char *endpoint,
               uint64_t incarnation, const char *instance)
{
  const struct rpc_grant request = { .endpoint = (char *)endpoint,
                                     .endpoint_incarnation = incarnation,
                                     .instance = (char *)instance,
                                     .instance_incarnation = 7 };
  const struct rpc_grant *granted = NULL;
  GString *data = jc_grants_encode (&request);
  bool was_granted
      = jc_grants_apply (grants, jc_str_from_gstring (data), &granted);

  g_assert_true (!was_granted || strcmp (granted->instance, instance) == 0);
  g_string_free (data, TRUE);
  return was_granted;
}

/* Guards against granting a cold endpoint to a second instance.  */
static void
test_first_wins (void)
{
  struct jc_grants *grants = jc_grants_new ();
  GPtrArray *own = g_ptr_array_new ();

  g_assert_false (request_grant (grants, "e", 0, "a"));
  g_assert_true (request_grant (grants, "e", 5, "a"));
  g_assert_false (request_grant (grants, "e", 5, "b"));
  g_assert_false (request_grant (grants, "e", 5, "a"));
  g_assert_false (request_grant (grants, "e", 4, "b"));
  g_assert_true (request_grant (grants, "e", 6, "b"));
  g_assert_false (request_grant (grants, "e", 5, "a"));
  g_assert_true (request_grant (grants, "f", 1, "b"));
  jc_grants_list (grants, "b", 7, own);
  g_assert_cmpuint (own->len, ==, 2);
  jc_grants_list (grants, "b", 8, own);
  g_assert_cmpuint (own->len, ==, 2);
  g_ptr_array_free (own, TRUE);
  jc_grants_free (grants);
}

/* Guards against taking a malformed log entry for a grant.  */
static void
test_malformed_entry (void)
{
  struct jc_grants *grants = jc_grants_new ();
  const struct rpc_grant *granted;

  g_assert_false (jc_grants_apply (grants, JC_STR_LIT ("\0\0\0\1e"), &granted));
  g_assert_cmpuint (jc_grants_count (grants), ==, 0);
  jc_grants_free (grants);
}

/* Guards against granting an endpoint again after its row was dropped from a
   full table, or after a replica restored a snapshot.  */
static void
test_full_table (void)
{
  GRand *rand = g_rand_new_with_seed (19);
  GHashTable *all_granted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct jc_grants *grants = jc_grants_new ();

  for (int i = 0; i < REQUESTS; i++)
    {
      int endpoint = g_rand_int_range (rand, 0, ENDPOINTS_ASKED);
      uint64_t incarnation
          = 1 + (uint64_t)g_rand_int_range (rand, 0, INCARNATIONS);
      char *name = g_strdup_printf ("e%d", endpoint);
      char *key = g_strdup_printf ("%s %d", name, (int)incarnation);

      if (request_grant (grants, name, incarnation, "a"))
        g_assert_true (g_hash_table_add (all_granted, g_strdup (key)));
      if (i % 1000 == 0)
        {
          json_t *json = json_object ();

          jc_grants_snapshot (grants, json);
          jc_grants_free (grants);
          grants = jc_grants_new ();
          g_assert_cmpint (jc_grants_restore (grants, json), ==, JC_OK);
          json_decref (json);
        }
      g_free (name);
      g_free (key);
    }
  g_assert_cmpuint (jc_grants_count (grants), <=, 4096);
  g_assert_cmpuint (g_hash_table_size (all_granted), >, 4096);
  g_hash_table_destroy (all_granted);
  jc_grants_free (grants);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/grants/first-wins", test_first_wins);
  g_test_add_func ("/grants/malformed-entry", test_malformed_entry);
  g_test_add_func ("/grants/full-table", test_full_table);
  return g_test_run ();
}
