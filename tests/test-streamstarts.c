/* Tests of the table of the software versions that began streams.  */

#include "serve/streamstarts.h"

enum
{
  STREAM = 7,
  OTHER_STREAM = 8,
  OLD = 100,
  NEW = 200,
  TAG = 1000,
  OTHER_TAG = 1001,
  STARTED_MS = 5000,
  TABLE_STARTS = 3
};

/* Record that SOFTWARE began STREAM at STARTED_MS, certainly if ENDPOINT_TAG is
   0.  */
static void
record (struct jc_stream_starts *starts, uint64_t stream, uint64_t software,
        uint64_t endpoint_tag, int64_t started_ms)
{
  const struct jc_stream_start start = { .stream = stream,
                                         .software = software,
                                         .endpoint_tag = endpoint_tag,
                                         .started_ms = started_ms,
                                         .certain = endpoint_tag == 0 };

  jc_stream_starts_record (starts, &start);
}

static const struct jc_stream_start *
find (struct jc_stream_starts *starts)
{
  const struct jc_stream_start *start
      = jc_stream_starts_find (starts, STREAM, STARTED_MS);

  g_assert_nonnull (start);
  return start;
}

/* Guards against a stream whose start is forgotten while its caller may still
   take it up, and against a table that is never emptied.  */
static void
test_expiry (void)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);
  const int64_t last_ms = STARTED_MS + JC_STREAM_START_KEEP_MS;

  record (starts, STREAM, OLD, 0, STARTED_MS);
  record (starts, OTHER_STREAM, NEW, 0, STARTED_MS + 1);
  g_assert_nonnull (jc_stream_starts_find (starts, STREAM, last_ms));
  g_assert_null (jc_stream_starts_find (starts, STREAM, last_ms + 1));
  g_assert_cmpuint (jc_stream_starts_count (starts), ==, 1);
  g_assert_nonnull (jc_stream_starts_find (starts, OTHER_STREAM, last_ms + 1));
  jc_stream_starts_expire (starts, last_ms + 2);
  g_assert_cmpuint (jc_stream_starts_count (starts), ==, 0);
  jc_stream_starts_free (starts);
}

/* Guards against a full table that refuses new streams or grows: the oldest
   start goes, and a start that is told again takes no second place.  */
static void
test_full_table (void)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);

  for (uint64_t stream = 1; stream <= TABLE_STARTS; stream++)
    record (starts, stream, OLD, 0, STARTED_MS);
  record (starts, 1, OLD, 0, STARTED_MS);
  g_assert_cmpuint (jc_stream_starts_count (starts), ==, TABLE_STARTS);
  record (starts, TABLE_STARTS + 1, OLD, 0, STARTED_MS);
  g_assert_cmpuint (jc_stream_starts_count (starts), ==, TABLE_STARTS);
  g_assert_null (jc_stream_starts_find (starts, 1, STARTED_MS));
  for (uint64_t stream = 2; stream <= TABLE_STARTS + 1; stream++)
    g_assert_nonnull (jc_stream_starts_find (starts, stream, STARTED_MS));
  jc_stream_starts_free (starts);
}

/* Guards against a stream with two recorded versions that goes on at the one
   which was told last.  */
static void
test_conflict_for_good (void)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);

  record (starts, STREAM, OLD, 0, STARTED_MS);
  record (starts, STREAM, OLD, 0, STARTED_MS);
  g_assert_false (find (starts)->conflict);
  record (starts, STREAM, NEW, 0, STARTED_MS);
  g_assert_true (find (starts)->conflict);
  record (starts, STREAM, OLD, 0, STARTED_MS);
  record (starts, STREAM, OLD, TAG, STARTED_MS);
  g_assert_true (find (starts)->conflict);
  g_assert_cmpuint (
      jc_stream_start_to_rpc (find (starts), STARTED_MS).start.software, ==, 0);
  jc_stream_starts_free (starts);
}

/* Guards against a belief that outlives the certain version, or replaces it. */
static void
test_certain_replaces_claim (void)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);

  record (starts, STREAM, OLD, TAG, STARTED_MS);
  g_assert_false (find (starts)->certain);
  record (starts, STREAM, NEW, 0, STARTED_MS);
  g_assert_true (find (starts)->certain);
  g_assert_false (find (starts)->conflict);
  g_assert_cmpuint (find (starts)->software, ==, NEW);
  g_assert_cmpuint (find (starts)->endpoint_tag, ==, 0);
  record (starts, STREAM, OLD, TAG, STARTED_MS);
  g_assert_true (find (starts)->certain);
  g_assert_false (find (starts)->conflict);
  g_assert_cmpuint (find (starts)->software, ==, NEW);
  jc_stream_starts_free (starts);
}

/* Record that TAG and OLD are believed to have begun a stream, then that
   SOFTWARE and ENDPOINT_TAG are, and return whether they conflict, after which
   a certain version must not hide it.  */
static bool
claims_conflict (uint64_t software, uint64_t endpoint_tag)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);
  bool conflict;

  record (starts, STREAM, OLD, TAG, STARTED_MS);
  record (starts, STREAM, software, endpoint_tag, STARTED_MS);
  conflict = find (starts)->conflict;
  record (starts, STREAM, OLD, 0, STARTED_MS);
  g_assert_true (find (starts)->conflict == conflict);
  jc_stream_starts_free (starts);
  return conflict;
}

/* Guards against two beliefs of one stream of which the wrong one is confirmed,
   also where they name one version by two incarnations.  */
static void
test_claims_that_differ (void)
{
  g_assert_false (claims_conflict (OLD, TAG));
  g_assert_true (claims_conflict (NEW, TAG));
  g_assert_true (claims_conflict (OLD, OTHER_TAG));
  g_assert_true (claims_conflict (NEW, OTHER_TAG));
}

/* Guards against a stream whose route names another service by the time at
   which it is resumed: its start must be found there too, with a version that
   no endpoint of that service has.  One id at two services is a conflict.  */
static void
test_two_services (void)
{
  struct jc_stream_starts *starts = jc_stream_starts_new (TABLE_STARTS);
  const uint64_t stream = jc_stream_hash ("id");
  const uint64_t a = jc_version_hash ("a", "1");
  const uint64_t b = jc_version_hash ("b", "1");

  g_assert_cmpuint (stream, ==, jc_stream_hash ("id"));
  g_assert_cmpuint (stream, !=, jc_stream_hash ("id2"));
  g_assert_cmpuint (a, !=, b);
  g_assert_cmpuint (jc_version_hash ("a", "bc"), !=,
                    jc_version_hash ("ab", "c"));
  g_assert_cmpuint (jc_version_hash ("a", ""), !=, 0);
  record (starts, stream, a, 0, STARTED_MS);
  g_assert_cmpuint (
      jc_stream_starts_find (starts, stream, STARTED_MS)->software, ==, a);
  record (starts, stream, b, 0, STARTED_MS);
  g_assert_true (jc_stream_starts_find (starts, stream, STARTED_MS)->conflict);
  jc_stream_starts_free (starts);
}

/* Guards against a message that makes a start look older than it is: a claim
   would be confirmed by a report from before it.  */
static void
test_message_age (void)
{
  const struct jc_stream_start start = { .stream = STREAM,
                                         .software = OLD,
                                         .endpoint_tag = TAG,
                                         .started_ms = STARTED_MS };
  struct rpc_stream_claim row = jc_stream_start_to_rpc (&start, STARTED_MS + 9);

  g_assert_cmpuint (row.start.age_ms, ==, 9);
  g_assert_cmpuint (row.start.stream, ==, STREAM);
  g_assert_cmpuint (row.start.software, ==, OLD);
  g_assert_cmpuint (row.endpoint_tag, ==, TAG);
  row = jc_stream_start_to_rpc (&start, STARTED_MS - 1);
  g_assert_cmpuint (row.start.age_ms, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/expiry", test_expiry);
  g_test_add_func ("/full-table", test_full_table);
  g_test_add_func ("/conflict-for-good", test_conflict_for_good);
  g_test_add_func ("/certain-replaces-claim", test_certain_replaces_claim);
  g_test_add_func ("/claims-that-differ", test_claims_that_differ);
  g_test_add_func ("/two-services", test_two_services);
  g_test_add_func ("/message-age", test_message_age);
  return g_test_run ();
}
