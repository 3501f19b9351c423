/* Tests of the search for the software version of a stream, and of the choice
   of the state instances that hold its start.  */

#include "serve/resumption.h"
#include "serve/streamstarts.h"

enum
{
  OLD = 100,
  NEW = 200,
  QUESTIONS = JC_RESUMPTION_HOLDERS_MAX + 1,
  CANDIDATES_MAX = 26,
  REGIONS = 3,
  NAME_BYTES = 24,
  STREAMS = 4000,
  /* See REPORT_DELAY_MS.  */
  /* Reports come up to 3 s late.  */
  MARGIN_MS = 3250
};

/* What a state instance answers: that it has no record, one of a version, one
   that isn't certain, one of two versions, nothing in time.  */
enum answer
{
  ANSWER_NONE,
  ANSWER_OLD,
  ANSWER_NEW,
  ANSWER_CLAIM,
  ANSWER_CONFLICT,
  ANSWER_TIMEOUT,
  ANSWER_COUNT
};

/* What the log's leader answers: the only version, that there are several,
   nothing in time, where an older table known here has one version.  */
enum log_answer
{
  LOG_ONLY,
  LOG_SEVERAL,
  LOG_TIMEOUT,
  LOG_COUNT
};

/* All answers to one search; the last place of ORDER is that of the log.  */
struct answers
{
  enum answer holders[JC_RESUMPTION_HOLDERS_MAX];
  enum log_answer log;
  unsigned int order[QUESTIONS];
};

static void
note_holder (struct jc_resumption *resumption, enum answer answer)
{
  struct rpc_stream_found found = { .known = answer != ANSWER_NONE };

  if (answer == ANSWER_OLD || answer == ANSWER_CLAIM)
    found.claim.start.software = OLD;
  else if (answer == ANSWER_NEW)
    found.claim.start.software = NEW;
  found.certain = found.known && answer != ANSWER_CLAIM;
  jc_resumption_note_start (
      resumption, answer == ANSWER_TIMEOUT ? NULL : &found, found.certain);
}

static void
note_answer (struct jc_resumption *resumption, const struct answers *answers,
             unsigned int index)
{
  if (index < JC_RESUMPTION_HOLDERS_MAX)
    note_holder (resumption, answers->holders[index]);
  else
    jc_resumption_note_versions (resumption, answers->log != LOG_TIMEOUT,
                                 answers->log == LOG_SEVERAL ? 0 : OLD);
}

/* Return whether one of the first COUNT answers that came is ANSWER.  */
static bool
has_come (const struct answers *answers, unsigned int count, enum answer answer)
{
  for (unsigned int i = 0; i < count; i++)
    if (answers->order[i] < JC_RESUMPTION_HOLDERS_MAX
        && answers->holders[answers->order[i]] == answer)
      return true;
  return false;
}

/* Return what the first COUNT of ANSWERS allow.  */
static enum jc_resumption_outcome
expected_outcome (const struct answers *answers, unsigned int count)
{
  bool old = has_come (answers, count, ANSWER_OLD);
  bool new = has_come (answers, count, ANSWER_NEW);

  if (has_come (answers, count, ANSWER_CONFLICT) || (old && new))
    return JC_RESUMPTION_CONFLICT;
  if (old || new)
    return JC_RESUMPTION_KNOWN;
  if (count < QUESTIONS)
    return JC_RESUMPTION_WAIT;
  if (has_come (answers, count, ANSWER_CLAIM))
    return JC_RESUMPTION_UNCERTAIN;
  return answers->log == LOG_ONLY ? JC_RESUMPTION_ONLY : JC_RESUMPTION_UNKNOWN;
}

/* Check what is decided after each of ANSWERS.  */
static void
check_answers (const struct answers *answers)
{
  struct jc_resumption resumption = { .pending = QUESTIONS };

  for (unsigned int count = 1; count <= QUESTIONS; count++)
    {
      enum jc_resumption_outcome expected = expected_outcome (answers, count);
      uint64_t software;

      note_answer (&resumption, answers, answers->order[count - 1]);
      g_assert_cmpint (jc_resumption_outcome (&resumption, &software), ==,
                       expected);
      if (expected == JC_RESUMPTION_KNOWN)
        g_assert_cmpuint (software, ==,
                          has_come (answers, count, ANSWER_OLD) ? OLD : NEW);
      else
        g_assert_cmpuint (software, ==,
                          expected == JC_RESUMPTION_ONLY ? OLD : 0);
    }
}

/* Check ANSWERS in every order of those from place FIRST on.  */
static void
check_orders (struct answers *answers, unsigned int first)
{
  if (first == QUESTIONS)
    check_answers (answers);
  for (unsigned int i = first; i < QUESTIONS; i++)
    {
      unsigned int order = answers->order[first];

      answers->order[first] = answers->order[i];
      answers->order[i] = order;
      check_orders (answers, first + 1);
      answers->order[i] = answers->order[first];
      answers->order[first] = order;
    }
}

/* Set the answers of the state instances from the digits of NUMBER.  Return
   false if NUMBER is beyond the last combination.  */
static bool
set_holders (struct answers *answers, unsigned int number)
{
  for (unsigned int i = 0; i < JC_RESUMPTION_HOLDERS_MAX; i++)
    {
      answers->holders[i] = number % ANSWER_COUNT;
      number /= ANSWER_COUNT;
    }
  return number == 0;
}

/* Guards against a stream that goes on where it isn't known which version began
   it, whatever is answered in which order.  */
static void
test_answers (void)
{
  struct answers answers;

  for (unsigned int i = 0; i < QUESTIONS; i++)
    answers.order[i] = i;
  for (answers.log = 0; answers.log < LOG_COUNT; answers.log++)
    for (unsigned int number = 0; set_holders (&answers, number); number++)
      check_orders (&answers, 0);
}

/* Guards against going on where the log was not asked, and against waiting
   where nobody was.  */
static void
test_nobody_asked (void)
{
  struct jc_resumption resumption = { .pending = 1 };
  uint64_t software;

  note_holder (&resumption, ANSWER_NONE);
  g_assert_cmpint (jc_resumption_outcome (&resumption, &software), ==,
                   JC_RESUMPTION_UNKNOWN);
  g_assert_cmpuint (software, ==, 0);
  resumption = (struct jc_resumption){ .pending = 0 };
  g_assert_cmpint (jc_resumption_outcome (&resumption, &software), ==,
                   JC_RESUMPTION_UNKNOWN);
  g_assert_cmpuint (resumption.answered, ==, 0);
}

/* Guards against outcomes without a name in logs and metrics, or with the same
   one.  */
static void
test_names (void)
{
  for (int i = JC_RESUMPTION_WAIT; i <= JC_RESUMPTION_UNKNOWN; i++)
    {
      g_assert_nonnull (jc_resumption_outcome_name (i));
      for (int j = JC_RESUMPTION_WAIT; j < i; j++)
        g_assert_cmpstr (jc_resumption_outcome_name (i), !=,
                         jc_resumption_outcome_name (j));
    }
}

/* Guards against taking the process that answered for the endpoint that
   reported: a report that was sent before the stream began, or before the
   connection was opened, proves nothing.  */
static void
test_certainty (void)
{
  g_assert_true (jc_resumption_is_confirmed (MARGIN_MS, 0));
  g_assert_false (jc_resumption_is_confirmed (MARGIN_MS - 1, 0));
  g_assert_true (jc_resumption_is_confirmed (900 + MARGIN_MS, 900));
  g_assert_false (jc_resumption_is_confirmed (900 + MARGIN_MS - 1, 900));
  g_assert_false (jc_resumption_is_confirmed (900, 900));
  g_assert_false (jc_resumption_is_confirmed (0, 900));
  g_assert_false (jc_resumption_is_confirmed (0, MARGIN_MS));
  g_assert_false (jc_resumption_is_confirmed (-MARGIN_MS - 1, -1));
}

/* Guards against taking what an earlier or later process at an address said of
   itself for the word of the one that answered: the times for which both are
   known to have run must overlap.  */
static void
test_identity (void)
{
  const struct jc_process_identity identity
      = { .incarnation = 7, .since_us = 1000, .heard_us = 2000 };
  const struct jc_process_identity none = { .incarnation = 0 };

  g_assert_true (jc_resumption_is_identified (&identity, 1500, 1600));
  g_assert_true (jc_resumption_is_identified (&identity, 500, 2500));
  g_assert_true (jc_resumption_is_identified (&identity, 1999, 2500));
  g_assert_true (jc_resumption_is_identified (&identity, 500, 1001));
  g_assert_false (jc_resumption_is_identified (&identity, 2000, 2500));
  g_assert_false (jc_resumption_is_identified (&identity, 500, 1000));
  /* Nothing was heard yet of the process that is asked for, or of any.  */
  g_assert_false (jc_resumption_is_identified (&identity, 1500, 0));
  g_assert_false (jc_resumption_is_identified (&none, 1500, 1600));
}

/* Guards against streams that can't go on: a process told its incarnation while
   one ran, then again over a later connection, and the first answer was
   forgotten before the report of that incarnation came.  */
static void
test_identity_told_again (void)
{
  const struct jc_process_identity first
      = { .incarnation = 7, .since_us = 1000, .heard_us = 1100 };
  const struct jc_process_identity again
      = { .incarnation = 7, .since_us = 5000, .heard_us = 5100 };
  const struct jc_process_identity other
      = { .incarnation = 8, .since_us = 9000, .heard_us = 9100 };
  struct jc_process_identity known = { 0 };

  jc_resumption_note_identity (&known, &first);
  jc_resumption_note_identity (&known, &again);
  g_assert_true (jc_resumption_is_identified (&known, 1050, 1200));
  g_assert_true (jc_resumption_is_identified (&known, 3000, 3100));
  g_assert_false (jc_resumption_is_identified (&known, 500, 900));
  jc_resumption_note_identity (&known, &other);
  g_assert_false (jc_resumption_is_identified (&known, 1050, 1200));
  g_assert_false (jc_resumption_is_identified (&known, 5050, 5200));
  g_assert_true (jc_resumption_is_identified (&known, 9050, 9200));
}

/* State instances: COUNT of them, in turn in each region.  */
struct holders
{
  char names[CANDIDATES_MAX][NAME_BYTES];
  struct jc_stream_holder list[CANDIDATES_MAX];
  unsigned int count;
};

static const char *const regions[REGIONS] = { "north", "south", "west" };

static void
holders_init (struct holders *holders, unsigned int count)
{
  holders->count = count;
  for (unsigned int i = 0; i < count; i++)
    {
      g_snprintf (holders->names[i], sizeof holders->names[i], "state-%u",
                  i + 1);
      holders->list[i]
          = (struct jc_stream_holder){ .name = holders->names[i],
                                       .region = regions[i % REGIONS] };
    }
}

static uint64_t
stream_number (unsigned int number)
{
  char id[NAME_BYTES];

  g_snprintf (id, sizeof id, "request-%u", number);
  return jc_stream_hash (id);
}

/* Return the state instances that hold STREAM for REGION, a bit for the number
   in each name.  The one with the number LEFT_OUT is not there.  With REVERSED
   they are known in another order.  */
static uint32_t
picked_set (const struct holders *holders, const char *region, uint64_t stream,
            unsigned int left_out, bool reversed)
{
  struct jc_stream_holder candidates[CANDIDATES_MAX];
  unsigned int numbers[CANDIDATES_MAX];
  unsigned int picked[JC_RESUMPTION_HOLDERS_MAX];
  unsigned int count = 0;
  unsigned int picked_count;
  uint32_t set = 0;

  for (unsigned int i = 0; i < holders->count; i++)
    {
      unsigned int number = reversed ? holders->count - 1 - i : i;

      if (number == left_out)
        continue;
      numbers[count] = number;
      candidates[count++] = holders->list[number];
    }
  picked_count
      = jc_resumption_pick_holders (candidates, count, region, stream, picked);
  for (unsigned int i = 0; i < picked_count; i++)
    {
      g_assert_cmpuint (picked[i], <, count);
      set |= 1U << numbers[picked[i]];
    }
  g_assert_cmpint (__builtin_popcount (set), ==, (int)picked_count);
  return set;
}

static bool
has_region (uint32_t set, unsigned int region)
{
  for (unsigned int i = region; i < CANDIDATES_MAX; i += REGIONS)
    if ((set >> i & 1U) != 0)
      return true;
  return false;
}

static const unsigned int sizes[] = { 3, 6, 25 };

/* Check the state instances that hold one stream.  */
static void
check_holders (const struct holders *holders, uint64_t stream)
{
  const uint32_t heaviest
      = picked_set (holders, "nowhere", stream, CANDIDATES_MAX, false);

  g_assert_cmpint (__builtin_popcount (heaviest), ==, JC_RESUMPTION_HOLDERS);
  for (unsigned int r = 0; r < REGIONS; r++)
    {
      uint32_t set
          = picked_set (holders, regions[r], stream, CANDIDATES_MAX, false);

      g_assert_cmphex (
          picked_set (holders, regions[r], stream, CANDIDATES_MAX, true), ==,
          set);
      g_assert_cmphex (set & heaviest, ==, heaviest);
      g_assert_true (has_region (set, r));
    }
}

/* Guards against a start that is looked for where it was not sent: each process
   picks the same instances, and one of its own region.  */
static void
test_holders_same (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct holders holders;

      holders_init (&holders, sizes[i]);
      for (unsigned int n = 0; n < STREAMS; n++)
        check_holders (&holders, stream_number (n));
    }
}

/* Guards against too few state instances leaving none to ask.  */
static void
test_few_holders (void)
{
  struct holders holders;

  for (unsigned int count = 0; count <= JC_RESUMPTION_HOLDERS; count++)
    {
      holders_init (&holders, count);
      g_assert_cmphex (picked_set (&holders, regions[REGIONS - 1],
                                   stream_number (count), CANDIDATES_MAX,
                                   false),
                       ==, (1U << count) - 1);
    }
}

/* Guards against a lost or new state instance moving the starts of other
   instances, which would not be found there: one that held no start of the
   stream changes nothing, another one is replaced alone.  */
static void
test_holders_change (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct holders holders;
      unsigned int changed = 0;

      holders_init (&holders, sizes[i]);
      for (unsigned int n = 0; n < STREAMS; n++)
        {
          uint64_t stream = stream_number (n);
          unsigned int lost = n % holders.count;
          uint32_t with = picked_set (&holders, regions[0], stream,
                                      CANDIDATES_MAX, false);
          uint32_t without
              = picked_set (&holders, regions[0], stream, lost, false);
          uint32_t kept = with & ~(1U << lost);

          changed += kept != with;
          if (kept == with)
            g_assert_cmphex (without, ==, with);
          g_assert_cmpint (
              __builtin_popcount (kept & ~without), <=,
              (int)(__builtin_popcount (with) > JC_RESUMPTION_HOLDERS));
          g_assert_cmpint (__builtin_popcount (without & with), >=,
                           MIN (JC_RESUMPTION_HOLDERS, (int)holders.count) - 1);
        }
      g_test_message ("%u state instances: %.3f of the streams changed",
                      holders.count, (double)changed / STREAMS);
    }
}

/* Guards against a few state instances holding most starts: none holds more
   than one and a half times the mean, or less than half of it.  */
static void
test_holders_spread (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      struct holders holders;
      unsigned int held[CANDIDATES_MAX] = { 0 };
      unsigned int mean = STREAMS * JC_RESUMPTION_HOLDERS / sizes[i];
      unsigned int least = STREAMS;
      unsigned int most = 0;

      holders_init (&holders, sizes[i]);
      for (unsigned int n = 0; n < STREAMS; n++)
        {
          uint32_t set = picked_set (&holders, "nowhere", stream_number (n),
                                     CANDIDATES_MAX, false);

          for (unsigned int h = 0; h < holders.count; h++)
            held[h] += set >> h & 1U;
        }
      for (unsigned int h = 0; h < holders.count; h++)
        {
          least = MIN (least, held[h]);
          most = MAX (most, held[h]);
        }
      g_test_message ("%u state instances: %u to %u starts, mean %u",
                      holders.count, least, most, mean);
      g_assert_cmpuint (2 * most, <=, 3 * mean);
      g_assert_cmpuint (2 * least, >=, mean);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/answers", test_answers);
  g_test_add_func ("/nobody-asked", test_nobody_asked);
  g_test_add_func ("/names", test_names);
  g_test_add_func ("/certainty", test_certainty);
  g_test_add_func ("/identity", test_identity);
  g_test_add_func ("/identity-told-again", test_identity_told_again);
  g_test_add_func ("/holders-same", test_holders_same);
  g_test_add_func ("/few-holders", test_few_holders);
  g_test_add_func ("/holders-change", test_holders_change);
  g_test_add_func ("/holders-spread", test_holders_spread);
  return g_test_run ();
}
