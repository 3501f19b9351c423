/* Tests of the workspaces of configurations: how they are parsed, what is
   refused, and which workspace a key or its digest stands for.  */

#include <glib.h>
#include <string.h>

#include "platform/platform.h"

#define CONFIG(workspaces)                                                     \
  "{\"version\":7,\"services\":[{\"name\":\"s\",\"health-path\":\"/h\","       \
  "\"max-conns\":9}],\"routes\":[{\"name\":\"r\",\"host\":\"a.example\","      \
  "\"path-prefix\":\"/x/\",\"route-kind\":\"safe\",\"timeout-ms\":100,"        \
  "\"service\":\"s\",\"anonymous\":true},{\"name\":\"k\","                     \
  "\"host\":\"a.example\",\"path-prefix\":\"/k/\",\"route-kind\":\"safe\","    \
  "\"timeout-ms\":100,\"service\":\"s\"}],\"limits\":{}" workspaces "}"
#define LIST(items) ",\"tenants\":[" items "]"
#define ALPHA                                                                  \
  "{\"name\":\"alpha\",\"api-keys\":[\"a-1\",\"a-2\"],\"priority\":3,"         \
  "\"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":10.5,"              \
  "\"burst\":20,\"home-regions\":[\"n\"]}"
#define BETA "{\"name\":\"beta\",\"api-keys\":[\"b-1\"]}"

/* Parse TEXT and check that its only fault is FAULT, or that it has none if
   FAULT is NULL.  Return the table, which may be NULL.  */
static struct jc_routetable *
parse (const char *text, const char *fault)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_routetable *table
      = platform_parse_routes (jc_str_from_cstr (text), NULL, faults);

  g_assert_cmpuint (faults->len, ==, fault != NULL ? 1 : 0);
  if (fault != NULL)
    g_assert_cmpstr (g_ptr_array_index (faults, 0), ==, fault);
  g_ptr_array_free (faults, TRUE);
  return table;
}

static const char *
name_of (const struct jc_workspaces *workspaces, const char *key)
{
  const struct jc_workspace *workspace
      = jc_workspaces_find_key (workspaces, jc_str_from_cstr (key));

  return workspace != NULL ? workspace->name : NULL;
}

static void
test_fields (void)
{
  struct jc_routetable *table = parse (CONFIG (LIST (ALPHA "," BETA)), NULL);
  const struct jc_workspaces *workspaces = table->workspaces;
  const struct jc_workspace *alpha = jc_workspaces_find (workspaces, "alpha");
  const struct jc_workspace *beta = jc_workspaces_find (workspaces, "beta");

  g_assert_cmpuint (jc_workspaces_count (workspaces), ==, 2);
  g_assert_cmpint (alpha->priority, ==, 3);
  g_assert_cmpint (alpha->quota.unit, ==, JC_QUOTA_TOKENS);
  g_assert_cmpuint (alpha->quota.plain_tokens, ==, 200);
  g_assert_cmpfloat (alpha->quota.per_s, ==, 10.5);
  g_assert_cmpfloat (alpha->quota.burst, ==, 20);
  g_assert_true (jc_workspace_allows (alpha, "n"));
  g_assert_false (jc_workspace_allows (alpha, "m"));
  g_assert_cmpint (beta->priority, ==, JC_PRIORITY_OF_ROUTE);
  g_assert_cmpint (beta->quota.unit, ==, JC_QUOTA_REQUESTS);
  g_assert_cmpfloat (beta->quota.per_s, ==, 0);
  g_assert_true (jc_workspace_allows (beta, "m"));
  g_assert_true (jc_routetable_find (table, "a.example", "/x/")->anonymous);
  g_assert_false (jc_routetable_find (table, "a.example", "/k/")->anonymous);
  jc_routetable_unref (table);
}

static void
test_keys (void)
{
  struct jc_routetable *table = parse (CONFIG (LIST (ALPHA "," BETA)), NULL);
  const struct jc_workspaces *workspaces = table->workspaces;

  g_assert_cmpstr (name_of (workspaces, "a-1"), ==, "alpha");
  g_assert_cmpstr (name_of (workspaces, "a-2"), ==, "alpha");
  g_assert_cmpstr (name_of (workspaces, "b-1"), ==, "beta");
  g_assert_null (name_of (workspaces, "a-"));
  g_assert_null (name_of (workspaces, "a-11"));
  g_assert_null (name_of (workspaces, "A-1"));
  g_assert_null (name_of (workspaces, ""));
  g_assert_null (name_of (workspaces, "alpha"));
  jc_routetable_unref (table);
}

/* Digests of two processes are the same if they have the same secret.  */
static void
test_digests (void)
{
  static const unsigned char secrets[2][JC_KEY_SECRET_BYTES] = { "1", "2" };
  unsigned char digests[3][JC_KEY_DIGEST_BYTES];
  const struct jc_str key = JC_STR_LIT ("a-1");

  for (unsigned int i = 0; i < G_N_ELEMENTS (digests); i++)
    {
      struct jc_workspaces *workspaces = jc_workspaces_new ();
      const struct jc_workspace *workspace;

      jc_workspaces_set_secret (workspaces, secrets[i / 2]);
      workspace = jc_workspaces_add (workspaces, "alpha");
      jc_workspaces_add_key (workspaces, workspace, key);
      jc_workspaces_digest (workspaces, key, digests[i]);
      g_assert_true (jc_workspaces_find_digest (workspaces, digests[i])
                     == workspace);
      jc_workspaces_free (workspaces);
    }
  g_assert_cmpmem (digests[0], sizeof digests[0], digests[1],
                   sizeof digests[1]);
  g_assert_cmpint (memcmp (digests[0], digests[2], sizeof digests[0]), !=, 0);
}

/* Without a list no key is needed; with an empty one none is valid, and so if
   the last key of a workspace was taken away.  */
static void
test_empty (void)
{
  struct jc_routetable *table = parse (CONFIG (""), NULL);

  g_assert_null (table->workspaces);
  jc_routetable_unref (table);
  table = parse (CONFIG (LIST ("")), NULL);
  g_assert_nonnull (table->workspaces);
  g_assert_cmpuint (jc_workspaces_count (table->workspaces), ==, 0);
  g_assert_null (name_of (table->workspaces, "a-1"));
  jc_routetable_unref (table);
  table = parse (CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[]}")), NULL);
  g_assert_cmpuint (jc_workspaces_count (table->workspaces), ==, 1);
  jc_routetable_unref (table);
}

/* Each malformed workspace is a fault that names it, and no fault holds a
   key.  */
static void
test_faults (void)
{
  static const struct
  {
    const char *text;
    const char *fault;
  } cases[] = {
    { CONFIG (",\"tenants\":{}"), "tenants: must be a list" },
    { CONFIG (",\"tenants\":null"), "tenants: must be a list" },
    { CONFIG (LIST ("3")), "tenants 0: must be an object" },
    { CONFIG (LIST (BETA ",[]")), "tenants 1: must be an object" },
    { CONFIG (LIST ("{\"api-keys\":[]}")), "tenants 0: name must be a string" },
    { CONFIG (LIST ("{\"name\":\"\",\"api-keys\":[]}")),
      "tenants 0: name must be a string" },
    { CONFIG (LIST ("{\"name\":4,\"api-keys\":[]}")),
      "tenants 0: name must be a string" },
    { CONFIG (LIST ("{\"name\":\"a\\r\\nB: c\",\"api-keys\":[]}")),
      "tenants 0: name has a control character" },
    { CONFIG (LIST (BETA ",{\"name\":\"beta\",\"api-keys\":[\"k\"]}")),
      "beta: two of tenants have this name" },
    { CONFIG (LIST ("{\"name\":\"a\"}")), "a: api-keys must be a list" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":\"secret\"}")),
      "a: api-keys must be a list" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"\"]}")),
      "a: api-keys must hold strings that are not empty" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"secret\",7]}")),
      "a: api-keys must hold strings that are not empty" },
    { CONFIG (LIST (BETA ",{\"name\":\"a\",\"api-keys\":[\"b-1\"]}")),
      "a: it shares a key with beta" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"rate-per-s\":-1}")),
      "a: rate-per-s must be a number of 0 or more" },
    { CONFIG (
          LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"rate-per-s\":\"9\"}")),
      "a: rate-per-s must be a number of 0 or more" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"burst\":-0.5}")),
      "a: burst must be a number of 0 or more" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"burst\":null}")),
      "a: burst must be a number of 0 or more" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"priority\":-1}")),
      "a: priority must be a number of 0 or more" },
    { CONFIG (
          LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"priority\":\"x\"}")),
      "a: priority must be a number of 0 or more" },
    { CONFIG (
          LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"plain-tokens\":-2}")),
      "a: plain-tokens must be a number of 0 or more" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"unit\":\"b\"}")),
      "a: unit is not known" },
    { CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"unit\":1}")),
      "a: unit is not known" },
    { CONFIG (
          LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"home-regions\":1}")),
      "a: home-regions must be a list" },
    { CONFIG (
          LIST ("{\"name\":\"a\",\"api-keys\":[\"k\"],\"home-regions\":[1]}")),
      "a: home-regions must hold strings" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    jc_routetable_unref (parse (cases[i].text, cases[i].fault));
}

/* Wherever a configuration is cut off, the fault doesn't tell a part of a key.
 */
static void
test_cut (void)
{
  const char *text
      = CONFIG (LIST ("{\"name\":\"a\",\"api-keys\":[\"zzzz\",\"zzzz\"]}"));

  for (size_t len = 0; len < strlen (text); len++)
    {
      GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
      struct jc_routetable *table = platform_parse_routes (
          (struct jc_str){ .data = text, .len = len }, NULL, faults);

      g_assert_null (table);
      g_assert_cmpuint (faults->len, ==, 1);
      g_assert_null (strchr (g_ptr_array_index (faults, 0), 'z'));
      g_ptr_array_free (faults, TRUE);
    }
}

/* A key is what follows the scheme, whose case doesn't count.  */
static void
test_key_header (void)
{
  static const char *const malformed[]
      = { "",        "Bearer", "Bearer ",   "Bearer   ", "Bearerk",
          "Basic k", "k",      " Bearer k", "Bearer\tk" };
  static const char *const valid[]
      = { "Bearer k", "bearer k", "BEARER  k", "Bearer k \t" };
  struct jc_str key;

  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    g_assert_false (platform_parse_api_key (malformed[i], &key));
  for (size_t i = 0; i < G_N_ELEMENTS (valid); i++)
    {
      g_assert_true (platform_parse_api_key (valid[i], &key));
      g_assert_cmpmem (key.data, key.len, "k", 1);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/workspaces/fields", test_fields);
  g_test_add_func ("/workspaces/keys", test_keys);
  g_test_add_func ("/workspaces/digests", test_digests);
  g_test_add_func ("/workspaces/empty", test_empty);
  g_test_add_func ("/workspaces/faults", test_faults);
  g_test_add_func ("/workspaces/cut", test_cut);
  g_test_add_func ("/workspaces/key-header", test_key_header);
  return g_test_run ();
}
