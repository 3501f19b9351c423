/* Tests of the evidence of crashes.  */

#include <string.h>

#include "member/crashes.h"

enum
{
  FIRST = 1,
  OTHER_FIRST = 2,
  BAD = 10,
  SOUND = 20,
  REQUESTS_MAX = 8
};

/* A change of the log under construction.  */
struct change
{
  GPtrArray *rows;
  GArray *answered;
};

static struct change *
change_new (void)
{
  struct change *change = g_new0 (struct change, 1);

  change->rows = g_ptr_array_new ();
  change->answered = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return change;
}

static struct rpc_crash *
change_add_crash (struct change *change, const char *endpoint,
                  uint64_t incarnation)
{
  struct rpc_crash *crash = g_new0 (struct rpc_crash, 1);

  crash->endpoint = g_strdup (endpoint);
  crash->endpoint_incarnation = incarnation;
  crash->requests.requests_val
      = g_new0 (struct rpc_crash_request, REQUESTS_MAX);
  g_ptr_array_add (change->rows, crash);
  return crash;
}

static void
crash_add (struct rpc_crash *crash, bool starting, uint64_t first,
           uint64_t second)
{
  struct rpc_crash_request *request
      = &crash->requests.requests_val[crash->requests.requests_len++];

  request->starting = starting;
  request->fingerprints.fingerprints_len = second != 0 ? 2 : 1;
  request->fingerprints.fingerprints_val = g_new0 (u_quad_t, 2);
  request->fingerprints.fingerprints_val[0] = first;
  request->fingerprints.fingerprints_val[1] = second;
}

static void
change_add_answered (struct change *change, uint64_t fingerprint)
{
  g_array_append_val (change->answered, fingerprint);
}

/* Encode CHANGE, apply it to CRASHES as a log entry, and free it.  */
static void
change_apply (struct change *change, struct jc_crashes *crashes)
{
  struct rpc_crash_changes message = { 0 };
  struct rpc_crash_changes decoded;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct rpc_crash));
  struct jc_str data;
  GString *encoded;

  for (guint i = 0; i < change->rows->len; i++)
    g_array_append_vals (rows, g_ptr_array_index (change->rows, i), 1);
  message.crashes.crashes_len = rows->len;
  message.crashes.crashes_val = (struct rpc_crash *)rows->data;
  message.answered.answered_len = change->answered->len;
  message.answered.answered_val = (u_quad_t *)change->answered->data;
  encoded = jc_crashes_encode (&message);
  data = jc_str_from_gstring (encoded);
  g_assert_true (jc_crashes_next (&data, &decoded));
  g_assert_cmpuint (data.len, ==, 0);
  jc_crashes_apply (crashes, &decoded, 0);
  xdr_free ((xdrproc_t)xdr_rpc_crash_changes, (char *)&decoded);
  for (guint i = 0; i < change->rows->len; i++)
    {
      xdr_free ((xdrproc_t)xdr_rpc_crash, g_ptr_array_index (change->rows, i));
      g_free (g_ptr_array_index (change->rows, i));
    }
  g_string_free (encoded, TRUE);
  g_array_free (rows, TRUE);
  g_ptr_array_free (change->rows, TRUE);
  g_array_free (change->answered, TRUE);
  g_free (change);
}

/* Report one crash, number N, under a request with BAD and a sound one.  */
static void
crash_with_bad (struct jc_crashes *crashes, unsigned int n)
{
  struct change *change = change_new ();
  struct rpc_crash *crash = change_add_crash (change, "e", n);

  crash_add (crash, true, FIRST, BAD);
  crash_add (crash, false, FIRST, SOUND + n);
  change_apply (change, crashes);
}

static void
answer (struct jc_crashes *crashes, uint64_t fingerprint)
{
  struct change *change = change_new ();

  change_add_answered (change, fingerprint);
  change_apply (change, crashes);
}

/* Guards against requests with a part that crashes endpoints being sent on, and
   against blaming the part that they share with sound ones.  */
static void
test_third_crash (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      g_assert_false (jc_crashes_is_blocked (crashes, BAD));
      crash_with_bad (crashes, n);
      answer (crashes, FIRST);
    }
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_false (jc_crashes_is_blocked (crashes, FIRST));
  for (unsigned int n = 1; n <= 3; n++)
    g_assert_cmpuint (jc_crashes_score (crashes, SOUND + n), ==, 0);
  /* Sound requests beside a further crash are not suspected.  */
  crash_with_bad (crashes, 4);
  g_assert_cmpuint (jc_crashes_score (crashes, FIRST), ==, 0);
  jc_crashes_free (crashes);
}

/* Guards against a part that many requests share hiding the one to blame.  */
static void
test_late_answer (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      struct change *change = change_new ();
      struct rpc_crash *crash = change_add_crash (change, "e", n);

      crash_add (crash, true, FIRST, BAD);
      crash_add (crash, true, FIRST, SOUND + n);
      change_apply (change, crashes);
    }
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 0);
  answer (crashes, FIRST);
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 1);
  jc_crashes_free (crashes);
}

/* Guards against refusing all that shares a first part where the parts after it
   are never answered: the rarest part is blamed first.  */
static void
test_rarest_part_first (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      struct change *change = change_new ();

      crash_add (change_add_crash (change, "e", n), true, FIRST, BAD);
      change_apply (change, crashes);
    }
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_false (jc_crashes_is_blocked (crashes, FIRST));
  jc_crashes_free (crashes);
}

/* Guards against missing a first part that crashes endpoints, whatever follows
   it.  */
static void
test_first_part_bad (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      struct change *change = change_new ();
      struct rpc_crash *crash = change_add_crash (change, "e", n);

      crash_add (crash, true, BAD, SOUND + n);
      crash_add (crash, false, FIRST, SOUND);
      change_apply (change, crashes);
      answer (crashes, FIRST);
      answer (crashes, SOUND);
    }
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 1);
  jc_crashes_free (crashes);
}

/* Guards against blaming requests that ran where a zone or region was lost:
   many endpoints at once, each reported by many instances.  */
static void
test_many_at_once (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int loss = 0; loss < 2; loss++)
    for (unsigned int instance = 0; instance < 3; instance++)
      {
        struct change *change = change_new ();

        for (unsigned int n = 0; n < 50; n++)
          crash_add (change_add_crash (change, "e", loss * 100 + n), true,
                     FIRST, SOUND);
        change_apply (change, crashes);
      }
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 0);
  g_assert_cmpuint (jc_crashes_score (crashes, SOUND), ==,
                    2 * JC_CRASH_SCORE_STARTING);
  jc_crashes_free (crashes);
}

/* Guards against needing more crashes where a request is repeated: its two
   crashes come one after the other, however close they are, but count once for
   each endpoint.  */
static void
test_repeated_request (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);
  struct change *change = change_new ();

  for (unsigned int n = 1; n <= 2; n++)
    for (unsigned int id = 7; id <= 8; id++)
      {
        struct rpc_crash *crash = change_add_crash (change, "e", n);

        crash_add (crash, true, FIRST, BAD);
        crash->requests.requests_val[0].request = id;
      }
  change_apply (change, crashes);
  g_assert_cmpuint (jc_crashes_score (crashes, BAD), ==,
                    2 * JC_CRASH_SCORE_STARTING);
  jc_crashes_free (crashes);
}

/* Guards against counting a crash once for each instance that saw it.  */
static void
test_counted_once (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int instance = 0; instance < 300; instance++)
    crash_with_bad (crashes, 1);
  g_assert_cmpuint (jc_crashes_score (crashes, BAD), ==,
                    JC_CRASH_SCORE_STARTING);
  jc_crashes_free (crashes);
}

/* Guards against a block that stays though such requests are answered whole
   again.  */
static void
test_answer_ends_block (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      crash_with_bad (crashes, n);
      answer (crashes, FIRST);
    }
  answer (crashes, BAD);
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 0);
  g_assert_cmpuint (jc_crashes_score (crashes, BAD), ==, 0);
  jc_crashes_free (crashes);
}

/* Guards against a block that never ends, and against three more crashes after
   its end: the next one blocks again, for twice as long.  */
static void
test_expiry (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);
  GArray *expired = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct rpc_crash_changes changes = { 0 };

  for (unsigned int n = 1; n <= 3; n++)
    {
      crash_with_bad (crashes, n);
      answer (crashes, FIRST);
    }
  jc_crashes_plan_expiry (crashes, JC_CRASH_BLOCK_MS - 1, expired);
  g_assert_cmpuint (expired->len, ==, 0);
  jc_crashes_plan_expiry (crashes, JC_CRASH_BLOCK_MS, expired);
  g_assert_cmpuint (expired->len, ==, 1);
  changes.expired.expired_len = expired->len;
  changes.expired.expired_val = (u_quad_t *)expired->data;
  jc_crashes_apply (crashes, &changes, 0);
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 0);
  answer (crashes, FIRST);
  crash_with_bad (crashes, 4);
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 1);
  g_array_set_size (expired, 0);
  jc_crashes_plan_expiry (crashes, 2 * JC_CRASH_BLOCK_MS - 1, expired);
  g_assert_cmpuint (expired->len, ==, 0);
  jc_crashes_plan_expiry (crashes, 2 * JC_CRASH_BLOCK_MS, expired);
  g_assert_cmpuint (expired->len, ==, 1);
  g_array_free (expired, TRUE);
  jc_crashes_free (crashes);
}

/* Guards against a caller who invents parts pushing blocks out of the table or
   getting requests of others refused.  */
static void
test_invented_parts (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);

  for (unsigned int n = 1; n <= 3; n++)
    {
      crash_with_bad (crashes, n);
      answer (crashes, FIRST);
    }
  for (unsigned int n = 0; n < 500; n++)
    {
      struct change *change = change_new ();
      struct rpc_crash *crash = change_add_crash (change, "f", n);

      crash_add (crash, true, 1000 + n, 100000 + n);
      crash_add (crash, false, FIRST, SOUND);
      change_apply (change, crashes);
      answer (crashes, FIRST);
      answer (crashes, SOUND);
    }
  g_assert_true (jc_crashes_is_blocked (crashes, BAD));
  g_assert_cmpuint (jc_crashes_count_blocked (crashes), ==, 1);
  jc_crashes_free (crashes);
}

/* Guards against replicas that differ after one of them was restored.  */
static void
test_snapshot (void)
{
  struct jc_crashes *crashes = jc_crashes_new (JC_CRASH_BLOCK_SCORE);
  struct jc_crashes *copy = jc_crashes_new (JC_CRASH_BLOCK_SCORE);
  json_t *snapshot = json_object ();
  GArray *rows[2];

  for (unsigned int n = 1; n <= 3; n++)
    {
      crash_with_bad (crashes, n);
      answer (crashes, FIRST);
    }
  for (unsigned int n = 10; n < 12; n++)
    {
      struct change *change = change_new ();

      crash_add (change_add_crash (change, "g", n), true, OTHER_FIRST, 0);
      change_apply (change, crashes);
    }
  jc_crashes_snapshot (crashes, snapshot);
  g_assert_cmpint (jc_crashes_restore (copy, snapshot, 0), ==, JC_OK);
  crash_with_bad (crashes, 12);
  crash_with_bad (copy, 12);
  for (unsigned int i = 0; i < 2; i++)
    {
      rows[i] = g_array_new (FALSE, FALSE, sizeof (struct rpc_suspect));
      jc_crashes_list (i == 0 ? crashes : copy, rows[i]);
    }
  g_assert_cmpuint (rows[0]->len, ==, 2);
  g_assert_cmpuint (rows[0]->len, ==, rows[1]->len);
  g_assert_cmpmem (rows[0]->data, rows[0]->len * sizeof (struct rpc_suspect),
                   rows[1]->data, rows[1]->len * sizeof (struct rpc_suspect));
  g_array_free (rows[0], TRUE);
  g_array_free (rows[1], TRUE);
  json_decref (snapshot);
  jc_crashes_free (crashes);
  jc_crashes_free (copy);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/third-crash", test_third_crash);
  g_test_add_func ("/late-answer", test_late_answer);
  g_test_add_func ("/rarest-part-first", test_rarest_part_first);
  g_test_add_func ("/first-part-bad", test_first_part_bad);
  g_test_add_func ("/many-at-once", test_many_at_once);
  g_test_add_func ("/repeated-request", test_repeated_request);
  g_test_add_func ("/counted-once", test_counted_once);
  g_test_add_func ("/answer-ends-block", test_answer_ends_block);
  g_test_add_func ("/expiry", test_expiry);
  g_test_add_func ("/invented-parts", test_invented_parts);
  g_test_add_func ("/snapshot", test_snapshot);
  return g_test_run ();
}
