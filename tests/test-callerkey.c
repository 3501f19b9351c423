/* Tests of the decision which workspace a request belongs to, also where two
   instances have different versions of the configuration.  */

#include <glib.h>
#include <string.h>

#include "serve/callerkey.h"

#define GROUP_KEY                                                              \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define OTHER_KEY                                                              \
  "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static struct jc_key_secrets secrets;

/* Return a configuration of VERSION in which the workspace NAME has KEY; NAME
   NULL stands for one without workspaces, KEY NULL for no key.  */
static struct jc_routetable *
new_table (uint64_t version, const char *name, const char *key)
{
  struct jc_routetable *table = jc_routetable_new (version);
  struct jc_workspace *workspace;

  if (name == NULL)
    return table;
  table->workspaces = jc_workspaces_new ();
  jc_workspaces_set_secret (table->workspaces, secrets.digest);
  workspace = jc_workspaces_add (table->workspaces, name);
  if (key != NULL)
    jc_workspaces_add_key (table->workspaces, workspace,
                           jc_str_from_cstr (key));
  return table;
}

/* Check a request at TABLE.  KEY is the caller's, NULL for a
   request without one.  */
static void
check (struct jc_routetable *table, bool anonymous, const char *key,
       const struct jc_key_note *note, struct jc_key_verdict *verdict)
{
  struct jc_hostroute *route = jc_hostroute_new ();
  struct jc_key_query query
      = { .routes = table,
          .route = route,
          .fault = key != NULL ? JC_KEY_FAULT_NONE : JC_KEY_FAULT_MISSING,
          .note = note };

  if (key != NULL)
    query.key = jc_str_from_cstr (key);
  route->anonymous = anonymous;
  g_ptr_array_add (table->routes, route);
  jc_key_check (&query, verdict);
}

/* Check a request with the key "k" at an instance that has SENDER, then at one
   that has RECEIVER; both tables are freed.  Return the name that endpoints get
   from the second one, "-" for none, or "refused".  */
static const char *
handed_over (struct jc_routetable *sender, struct jc_routetable *receiver)
{
  struct jc_key_verdict first;
  struct jc_key_verdict second;
  struct jc_key_note note;
  char *text;
  const char *name;

  check (sender, false, "k", NULL, &first);
  g_assert_cmpint (first.fault, ==, JC_KEY_FAULT_NONE);
  text = jc_key_note_format (&first.note, &secrets);
  g_assert_true (jc_key_note_parse (text, first.note.name, &secrets, &note));
  g_free (text);
  check (receiver, false, NULL, &note, &second);
  name = second.fault != JC_KEY_FAULT_NONE ? "refused"
         : second.note.name != NULL        ? g_intern_string (second.note.name)
                                           : "-";
  jc_routetable_unref (sender);
  jc_routetable_unref (receiver);
  return name;
}

static void
test_caller (void)
{
  struct jc_routetable *table = new_table (5, "alpha", "k");
  struct jc_key_verdict verdict;

  check (table, false, "k", NULL, &verdict);
  g_assert_cmpint (verdict.fault, ==, JC_KEY_FAULT_NONE);
  g_assert_cmpstr (verdict.workspace->name, ==, "alpha");
  g_assert_cmpstr (verdict.note.name, ==, "alpha");
  g_assert_cmpuint (verdict.note.version, ==, 5);
  check (table, false, "other", NULL, &verdict);
  g_assert_cmpint (verdict.fault, ==, JC_KEY_FAULT_UNKNOWN);
  g_assert_null (verdict.workspace);
  check (table, false, NULL, NULL, &verdict);
  g_assert_cmpint (verdict.fault, ==, JC_KEY_FAULT_MISSING);
  jc_routetable_unref (table);
}

/* On an anonymous route any key will do, and endpoints are told of no
   workspace; the key is hidden all the same.  */
static void
test_anonymous (void)
{
  static const char *const keys[] = { NULL, "k", "other" };
  struct jc_routetable *table = new_table (5, "alpha", "k");

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      struct jc_key_verdict verdict;

      check (table, true, keys[i], NULL, &verdict);
      g_assert_cmpint (verdict.fault, ==, JC_KEY_FAULT_NONE);
      g_assert_null (verdict.workspace);
      g_assert_null (verdict.note.name);
      g_assert_cmpuint (verdict.note.version, ==, 5);
    }
  jc_routetable_unref (table);
}

/* Without workspaces nothing is asked, told or hidden.  */
static void
test_no_workspaces (void)
{
  struct jc_routetable *table = new_table (5, NULL, NULL);
  struct jc_key_verdict verdict;

  check (table, false, "k", NULL, &verdict);
  g_assert_cmpint (verdict.fault, ==, JC_KEY_FAULT_NONE);
  g_assert_null (verdict.note.name);
  g_assert_cmpuint (verdict.note.version, ==, 0);
  jc_routetable_unref (table);
}

/* At a hand-over the newer configuration counts, whoever has it.  */
static void
test_versions (void)
{
  struct jc_routetable *(*const t) (uint64_t, const char *, const char *)
      = new_table;

  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (5, "a", "k")), ==, "a");
  /* The receiver knows more: the key moved, is gone, or is gone with the
     workspace.  */
  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (6, "b", "k")), ==, "b");
  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (6, "a", "l")), ==,
                   "refused");
  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (6, "a", NULL)), ==,
                   "refused");
  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (6, "b", NULL)), ==,
                   "refused");
  g_assert_cmpstr (handed_over (t (5, "a", "k"), t (6, NULL, NULL)), ==, "-");
  /* The sender knows more.  */
  g_assert_cmpstr (handed_over (t (6, "a", "k"), t (5, "b", "k")), ==, "a");
  g_assert_cmpstr (handed_over (t (6, "a", "k"), t (5, "a", NULL)), ==, "a");
  g_assert_cmpstr (handed_over (t (6, "a", "k"), t (5, "b", "l")), ==, "a");
  g_assert_cmpstr (handed_over (t (6, "a", "k"), t (5, NULL, NULL)), ==, "a");
}

/* A route that is anonymous for the sender alone: the digest goes along, so
   that a receiver with a newer configuration can still accept the key.  */
static void
test_anonymous_versions (void)
{
  struct jc_routetable *sender = new_table (5, "alpha", "k");
  struct jc_routetable *receiver = new_table (6, "alpha", "k");
  struct jc_key_verdict first;
  struct jc_key_verdict second;

  check (sender, true, "k", NULL, &first);
  check (receiver, false, NULL, &first.note, &second);
  g_assert_cmpint (second.fault, ==, JC_KEY_FAULT_NONE);
  g_assert_cmpstr (second.note.name, ==, "alpha");
  check (sender, true, NULL, NULL, &first);
  check (receiver, false, NULL, &first.note, &second);
  g_assert_cmpint (second.fault, ==, JC_KEY_FAULT_MISSING);
  /* The other way round no name is passed on.  */
  check (sender, false, "k", NULL, &first);
  check (receiver, true, NULL, &first.note, &second);
  g_assert_cmpint (second.fault, ==, JC_KEY_FAULT_NONE);
  g_assert_null (second.note.name);
  jc_routetable_unref (sender);
  jc_routetable_unref (receiver);
}

/* A request that is handed over twice carries what the newest of the first two
   instances knows.  */
static void
test_second_handover (void)
{
  struct jc_routetable *tables[]
      = { new_table (6, "a", "k"), new_table (5, "b", "k"),
          new_table (6, "a", "k"), new_table (7, "c", "k") };
  static const char *const names[] = { "a", "a", "a", "c" };
  struct jc_key_note note;

  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    {
      struct jc_key_verdict verdict;

      check (tables[i], false, i == 0 ? "k" : NULL, i == 0 ? NULL : &note,
             &verdict);
      g_assert_cmpstr (verdict.note.name, ==, names[i]);
      note = verdict.note;
    }
  g_assert_cmpuint (note.version, ==, 7);
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    jc_routetable_unref (tables[i]);
}

/* Only an instance of the group can write a note: a caller might know names,
   versions and its own key, but not the key of the group.  */
static void
test_forged (void)
{
  struct jc_key_note note
      = { .name = "alpha", .version = 5, .has_digest = true };
  struct jc_key_note read;
  struct jc_key_secrets other;
  char *text = jc_key_note_format (&note, &secrets);
  char *forged;

  jc_key_secrets_derive (&other, OTHER_KEY);
  g_assert_true (jc_key_note_parse (text, "alpha", &secrets, &read));
  g_assert_cmpuint (read.version, ==, 5);
  g_assert_true (read.has_digest);
  g_assert_false (jc_key_note_parse (text, "beta", &secrets, &read));
  g_assert_false (jc_key_note_parse (text, NULL, &secrets, &read));
  g_assert_false (jc_key_note_parse (text, "alpha", &other, &read));
  for (size_t i = 0; i < strlen (text); i++)
    {
      forged = g_strdup (text);
      forged[i] = forged[i] == '7' ? '8' : '7';
      g_assert_false (jc_key_note_parse (forged, "alpha", &secrets, &read));
      forged[i] = '\0';
      g_assert_false (jc_key_note_parse (forged, "alpha", &secrets, &read));
      g_free (forged);
    }
  forged = g_strconcat (text, "0", NULL);
  g_assert_false (jc_key_note_parse (forged, "alpha", &secrets, &read));
  g_free (forged);
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  jc_key_secrets_derive (&secrets, GROUP_KEY);
  g_test_add_func ("/callerkey/caller", test_caller);
  g_test_add_func ("/callerkey/anonymous", test_anonymous);
  g_test_add_func ("/callerkey/no-workspaces", test_no_workspaces);
  g_test_add_func ("/callerkey/versions", test_versions);
  g_test_add_func ("/callerkey/anonymous-versions", test_anonymous_versions);
  g_test_add_func ("/callerkey/second-handover", test_second_handover);
  g_test_add_func ("/callerkey/forged", test_forged);
  return g_test_run ();
}
