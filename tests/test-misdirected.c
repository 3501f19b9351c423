/* Tests of endpoints whose requests were misdirected, on virtual time.  */

#include <glib.h>
#include <string.h>

#include "serve/misdirected.h"

enum
{
  SEQUENCES = 1000,
  DURATION_MS = 30000,
  STEP_MS = 10,
  REPORT_MS = 1000,
  /* Reports are held up on their way for at most this long.  */
  REPORT_LATE_MAX_MS = 3000,
  /* A sound endpoint that says which process it is gets a request again within
     this time; one that doesn't, once a report comes that was sent later.  */
  BACK_MAX_MS = 5000,
  BACK_BY_REPORT_MAX_MS = 2 * REPORT_LATE_MAX_MS + 2 * REPORT_MS,
  /* An endpoint that is gone is asked at most so often.  */
  ASKED_EACH_MS = 1000,
  SEED = 56
};

/* Who is at the address of the endpoint: itself, itself while it turns all
   requests away, or a stranger.  */
enum occupant
{
  SOUND,
  CONFUSED,
  STRANGER,
  OCCUPANTS
};

/* One endpoint.  It is OCCUPANT until UNTIL_MS, and has been sound since
   SOUND_MS, -1 if it isn't.  TELLS is set if it answers which process it is.
   Its last report was sent at REPORTED_MS; ARRIVES has the steps at which
   reports come.  */
struct world
{
  GRand *rand;
  struct jc_misdirected *misdirected;
  enum occupant occupant;
  int64_t until_ms;
  int64_t sound_ms;
  bool tells;
  int64_t reported_ms;
  bool arrives[(DURATION_MS + REPORT_LATE_MAX_MS) / STEP_MS + 1];
  int64_t asked_ms;
};

static void
change_occupant (struct world *world, int64_t now_ms)
{
  if (now_ms < world->until_ms)
    return;
  world->occupant = (enum occupant)g_rand_int_range (world->rand, 0, OCCUPANTS);
  world->until_ms = now_ms + g_rand_int_range (world->rand, 100, 9000);
  world->sound_ms = world->occupant == SOUND ? now_ms : -1;
}

/* Let reports and answers of the process at the address come.  A stranger
   reports under another name.  */
static void
hear (struct world *world, int64_t now_ms)
{
  if (world->occupant != STRANGER && now_ms - world->reported_ms >= REPORT_MS)
    {
      world->reported_ms = now_ms;
      world->arrives[(now_ms
                      + g_rand_int_range (world->rand, 0, REPORT_LATE_MAX_MS))
                     / STEP_MS]
          = true;
    }
  if (world->arrives[now_ms / STEP_MS])
    jc_misdirected_note_report (world->misdirected, "e", 1, now_ms, now_ms);
  if (jc_misdirected_must_ask (world->misdirected, "e", 1, now_ms)
      && world->occupant != STRANGER && world->tells)
    jc_misdirected_note_named (world->misdirected, "e", 1, now_ms + 1, now_ms);
}

/* Send a request if that is allowed.  */
static void
try_request (struct world *world, int64_t now_ms)
{
  if (!jc_misdirected_may_send (world->misdirected, "e", 1, now_ms))
    {
      if (world->sound_ms >= 0)
        g_assert_cmpint (now_ms - world->sound_ms, <=,
                         world->tells ? BACK_MAX_MS : BACK_BY_REPORT_MAX_MS);
      return;
    }
  jc_misdirected_note_send (world->misdirected, "e", 1, now_ms);
  if (world->occupant == SOUND)
    {
      jc_misdirected_note_answer (world->misdirected, "e", 1);
      return;
    }
  if (world->asked_ms >= 0)
    g_assert_cmpint (now_ms - world->asked_ms, >=, ASKED_EACH_MS);
  world->asked_ms = now_ms;
  jc_misdirected_note (world->misdirected, "e", 1, now_ms);
}

/* Guards against a sound endpoint that stays set aside, and against one that is
   gone and gets request after request.  */
static void
test_random (void)
{
  struct world world = { .rand = g_rand_new_with_seed (SEED) };

  for (unsigned int i = 0; i < SEQUENCES; i++)
    {
      world.misdirected = jc_misdirected_new ();
      world.tells = i % 2 == 0;
      world.until_ms = 0;
      world.reported_ms = -REPORT_MS;
      world.asked_ms = -1;
      memset (world.arrives, 0, sizeof world.arrives);
      for (int64_t now = 0; now < DURATION_MS; now += STEP_MS)
        {
          enum occupant before = world.occupant;

          change_occupant (&world, now);
          /* Requests are sent freely again after a time as itself.  */
          if (before == SOUND && world.occupant != SOUND)
            world.asked_ms = -1;
          hear (&world, now);
          try_request (&world, now);
        }
      jc_misdirected_free (world.misdirected);
    }
  g_rand_free (world.rand);
}

/* Guards against a report that was on its way when the endpoint's address was
   taken over, and against one of another incarnation.  */
static void
test_old_report (void)
{
  struct jc_misdirected *misdirected = jc_misdirected_new ();

  jc_misdirected_note (misdirected, "e", 1, 10000);
  g_assert_false (
      jc_misdirected_note_report (misdirected, "e", 1, 13000, 13000));
  g_assert_false (
      jc_misdirected_note_report (misdirected, "e", 2, 20000, 20000));
  g_assert_false (jc_misdirected_may_send (misdirected, "e", 1, 20000));
  g_assert_true (jc_misdirected_may_send (misdirected, "e", 2, 20000));
  g_assert_false (jc_misdirected_note_named (misdirected, "e", 1, 9999, 20000));
  g_assert_true (
      jc_misdirected_note_report (misdirected, "e", 1, 13250, 20000));
  g_assert_true (jc_misdirected_may_send (misdirected, "e", 1, 20000));
  jc_misdirected_free (misdirected);
}

/* Guards against many requests at once at an endpoint that is only being
   tried.  */
static void
test_one_at_a_time (void)
{
  struct jc_misdirected *misdirected = jc_misdirected_new ();

  jc_misdirected_note (misdirected, "e", 1, 1000);
  g_assert_false (jc_misdirected_note_named (misdirected, "e", 1, 1001, 1001));
  g_assert_true (jc_misdirected_note_named (misdirected, "e", 1, 1001, 2000));
  jc_misdirected_note_send (misdirected, "e", 1, 2002);
  g_assert_false (jc_misdirected_may_send (misdirected, "e", 1, 2500));
  g_assert_true (jc_misdirected_may_send (misdirected, "e", 1, 3002));
  g_assert_true (jc_misdirected_note_answer (misdirected, "e", 1));
  g_assert_cmpuint (jc_misdirected_count (misdirected), ==, 0);
  jc_misdirected_free (misdirected);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/random", test_random);
  g_test_add_func ("/old-report", test_old_report);
  g_test_add_func ("/one-at-a-time", test_one_at_a_time);
  return g_test_run ();
}
