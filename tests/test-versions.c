/* Tests of the table of software versions that may begin streams.  */

#include <stdint.h>
#include <stdlib.h>

#include "member/versions.h"

enum
{
  OLD = 100,
  NEW = 200,
  PER_SERVICE = 256,
  SERVICES = 16,
  NAME_BYTES = 24
};

static const uint64_t large = 0xFEDCBA9876543210U;

/* Apply the log entry at POSITION that adds SOFTWARE of SERVICE.  Return
   whether it did.  */
static bool
add (struct jc_versions *versions, uint64_t position, const char *service,
     uint64_t software)
{
  const struct rpc_service_version added
      = { .service = (char *)service, .software = software };
  GString *data = jc_versions_encode (&added);
  bool changed
      = jc_versions_apply (versions, position, jc_str_from_gstring (data));

  g_string_free (data, TRUE);
  return changed;
}

/* Guards against a service with two versions that passes for one with a single
   version, and against one service's versions counting for another.  */
static void
test_only_and_several (void)
{
  struct jc_versions *versions = jc_versions_new ();

  g_assert_cmpuint (jc_versions_only (versions, "a"), ==, 0);
  g_assert_false (jc_versions_has_several (versions, "a"));
  g_assert_true (add (versions, 1, "a", large));
  g_assert_cmpuint (jc_versions_only (versions, "a"), ==, large);
  g_assert_false (jc_versions_has_several (versions, "a"));
  g_assert_true (add (versions, 2, "b", OLD));
  g_assert_cmpuint (jc_versions_only (versions, "a"), ==, large);
  g_assert_true (add (versions, 3, "a", NEW));
  g_assert_cmpuint (jc_versions_only (versions, "a"), ==, 0);
  g_assert_true (jc_versions_has_several (versions, "a"));
  g_assert_cmpuint (jc_versions_only (versions, "b"), ==, OLD);
  g_assert_false (jc_versions_contains (versions, "b", NEW));
  g_assert_cmpuint (jc_versions_count (versions), ==, 3);
  jc_versions_free (versions);
}

/* Guards against entries that add a version twice, or version 0, which stands
   for none.  */
static void
test_apply (void)
{
  struct jc_versions *versions = jc_versions_new ();

  g_assert_true (add (versions, 1, "a", OLD));
  g_assert_false (add (versions, 2, "a", OLD));
  g_assert_false (add (versions, 3, "a", 0));
  g_assert_cmpuint (jc_versions_count (versions), ==, 1);
  g_assert_cmpuint (jc_versions_only (versions, "a"), ==, OLD);
  jc_versions_free (versions);
}

/* Guards against an entry that can't be read ending the replica or adding part
   of itself.  */
static void
test_malformed_entry (void)
{
  struct jc_versions *versions = jc_versions_new ();
  const struct rpc_service_version added
      = { .service = (char *)"service", .software = large };
  GString *data = jc_versions_encode (&added);
  struct jc_str part = jc_str_from_gstring (data);

  for (part.len = 0; part.len < data->len; part.len++)
    g_assert_false (jc_versions_apply (versions, 1, part));
  for (gsize i = 0; i < sizeof (uint32_t); i++)
    data->str[i] = (char)0xFF;
  g_assert_false (jc_versions_apply (versions, 1, jc_str_from_gstring (data)));
  g_assert_cmpuint (jc_versions_count (versions), ==, 0);
  g_string_free (data, TRUE);
  jc_versions_free (versions);
}

/* Guards against a service with ever new versions that takes the room of the
   others, and a table that outgrows its message.  */
static void
test_more_than_maximum (void)
{
  struct jc_versions *versions = jc_versions_new ();
  uint64_t position = 0;

  for (unsigned int s = 0; s < SERVICES; s++)
    {
      char service[NAME_BYTES];

      g_snprintf (service, sizeof service, "service-%u", s);
      for (unsigned int i = 1; i <= PER_SERVICE; i++)
        g_assert_true (add (versions, ++position, service, i));
      g_assert_false (add (versions, ++position, service, PER_SERVICE + 1));
      g_assert_cmpuint (jc_versions_count (versions), ==,
                        (s + 1) * PER_SERVICE);
    }
  g_assert_false (add (versions, ++position, "one-more", 1));
  g_assert_cmpuint (jc_versions_only (versions, "one-more"), ==, 0);
  jc_versions_free (versions);
}

/* Write VERSIONS into a snapshot, restore it in another table, and return
   that.  */
static struct jc_versions *
copy_by_snapshot (const struct jc_versions *versions)
{
  struct jc_versions *copy = jc_versions_new ();
  json_t *snapshot = json_object ();
  char *text;

  jc_versions_snapshot (versions, snapshot);
  text = json_dumps (snapshot, 0);
  json_decref (snapshot);
  snapshot = json_loads (text, 0, NULL);
  g_assert_true (add (copy, 1, "stale", OLD));
  g_assert_cmpint (jc_versions_restore (copy, snapshot), ==, JC_OK);
  json_decref (snapshot);
  free (text);
  return copy;
}

/* Guards against a restart that forgets versions or changes hashes of more than
   63 bits.  */
static void
test_snapshot (void)
{
  struct jc_versions *versions = jc_versions_new ();
  struct jc_versions *copy;
  struct rpc_versions message;

  add (versions, 5, "a", large);
  add (versions, 6, "b", UINT64_MAX);
  add (versions, 7, "b", NEW);
  copy = copy_by_snapshot (versions);
  g_assert_cmpuint (jc_versions_count (copy), ==, 3);
  g_assert_cmpuint (jc_versions_only (copy, "a"), ==, large);
  g_assert_true (jc_versions_contains (copy, "b", UINT64_MAX));
  g_assert_true (jc_versions_has_several (copy, "b"));
  g_assert_false (jc_versions_contains (copy, "stale", OLD));
  jc_versions_to_message (copy, &message);
  g_assert_cmpuint (message.position, ==, 7);
  g_free (message.list.list_val);
  jc_versions_free (copy);
  jc_versions_free (versions);
}

/* Return the status of restoring the snapshot TEXT; JC_OK must leave no
   version.  */
static enum jc_status
restore_text (const char *text)
{
  struct jc_versions *versions = jc_versions_new ();
  json_t *snapshot = json_loads (text, 0, NULL);
  enum jc_status status;

  g_assert_nonnull (snapshot);
  add (versions, 3, "a", OLD);
  status = jc_versions_restore (versions, snapshot);
  if (status == JC_OK)
    g_assert_cmpuint (jc_versions_count (versions), ==, 0);
  json_decref (snapshot);
  jc_versions_free (versions);
  return status;
}

/* Guards against a replica that can't read the snapshot of an earlier software
   version, which has no versions.  */
static void
test_snapshot_without_versions (void)
{
  g_assert_cmpint (restore_text ("{}"), ==, JC_OK);
  g_assert_cmpint (restore_text ("{\"versions\":{\"position\":0,\"rows\":[]}}"),
                   ==, JC_OK);
}

/* Guards against a damaged snapshot that is taken for a shorter one: a service
   would seem to have had one version only.  */
static void
test_malformed_snapshot (void)
{
  static const char *const rows[] = { "5",
                                      "{}",
                                      "[5]",
                                      "[[]]",
                                      "[[\"a\"]]",
                                      "[[\"a\",5]]",
                                      "[[5,\"5\"]]",
                                      "[[\"a\",\"0\"]]",
                                      "[[\"a\",\"x\"]]",
                                      "[[\"a\",\"5x\"]]",
                                      "[[\"a\",\"\"]]",
                                      "[[\"a\",\"99999999999999999999999\"]]",
                                      "[[\"a\",\"-5\"]]" };

  g_assert_cmpint (restore_text ("{\"versions\":5}"), ==, JC_CORRUPT);
  g_assert_cmpint (restore_text ("{\"versions\":{}}"), ==, JC_CORRUPT);
  g_assert_cmpint (restore_text ("{\"versions\":null}"), ==, JC_CORRUPT);
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"versions\":{\"position\":1,\"rows\":%s}}", rows[i]);

      g_test_message ("rows %s", rows[i]);
      g_assert_cmpint (restore_text (text), ==, JC_CORRUPT);
    }
}

/* Guards against an entry instance that goes back to an older table, which a
   state instance behind the log sent: two versions would become one.  */
static void
test_update_by_older (void)
{
  struct jc_versions *newer = jc_versions_new ();
  struct jc_versions *older = jc_versions_new ();
  struct jc_versions *entry = jc_versions_new ();
  struct rpc_versions message;

  add (older, 4, "a", OLD);
  add (newer, 4, "a", OLD);
  add (newer, 9, "a", NEW);
  jc_versions_to_message (newer, &message);
  g_assert_true (jc_versions_update (entry, &message));
  g_assert_false (jc_versions_update (entry, &message));
  g_free (message.list.list_val);
  jc_versions_to_message (older, &message);
  g_assert_false (jc_versions_update (entry, &message));
  g_free (message.list.list_val);
  g_assert_true (jc_versions_has_several (entry, "a"));
  g_assert_true (jc_versions_contains (entry, "a", NEW));
  jc_versions_free (newer);
  jc_versions_free (older);
  jc_versions_free (entry);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/only-and-several", test_only_and_several);
  g_test_add_func ("/apply", test_apply);
  g_test_add_func ("/malformed-entry", test_malformed_entry);
  g_test_add_func ("/more-than-maximum", test_more_than_maximum);
  g_test_add_func ("/snapshot", test_snapshot);
  g_test_add_func ("/snapshot-without-versions",
                   test_snapshot_without_versions);
  g_test_add_func ("/malformed-snapshot", test_malformed_snapshot);
  g_test_add_func ("/update-by-older", test_update_by_older);
  return g_test_run ();
}
