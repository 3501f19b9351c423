/* Tests of the choice of the engine that prompt parts are copied from.  */

#include "serve/engine.h"

enum
{
  A,
  B,
  C,
  D,
  ENGINES
};

#define SHARED_TOKENS 4000
#define COPY_MS_PER_TOKEN 0.0024

/* Engines of one service: A and B in one zone, C and D in another.  */
struct fixture
{
  struct jc_engines *engines;
  struct jc_endpoint endpoints[ENGINES];
  GPtrArray *list;
  struct jc_demand demand;
};

static void
set_up (struct fixture *fixture, gconstpointer data)
{
  static const char *const names[] = { "a", "b", "c", "d" };
  static const struct jc_request_info info
      = { .prompt_tokens = SHARED_TOKENS + 1000,
          .answer_tokens = 9,
          .parts_count = 2,
          .parts = { { .id = 1, .tokens = SHARED_TOKENS },
                     { .id = 2, .tokens = 1000 } } };

  (void)data;
  fixture->engines = jc_engines_new ();
  fixture->list = g_ptr_array_new ();
  for (int i = 0; i < ENGINES; i++)
    {
      fixture->endpoints[i]
          = (struct jc_endpoint){ .name = (char *)names[i],
                                  .zone = (char *)(i < C ? "x" : "y"),
                                  .software = 7,
                                  .slots = 6 };
      g_ptr_array_add (fixture->list, &fixture->endpoints[i]);
    }
  jc_demand_init (&info, &fixture->demand);
  fixture->demand.copy_ms_per_token = COPY_MS_PER_TOKEN;
}

static void
tear_down (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  g_ptr_array_free (fixture->list, TRUE);
  jc_engines_free (fixture->engines);
}

/* Have the engine INDEX serve the prompt and end with OUTCOME.  */
static void
serve_at (struct fixture *fixture, int index, enum jc_engine_outcome outcome)
{
  jc_engine_run_end (jc_engines_start (fixture->engines,
                                       &fixture->endpoints[index],
                                       &fixture->demand, 0),
                     outcome, 0);
}

/* Return the engine that B copies from, NULL if it reads the prompt.  */
static const struct jc_endpoint *
source_of_b (struct fixture *fixture)
{
  jc_engines_find_kept (fixture->engines, fixture->list, &fixture->demand, 1);
  return jc_engines_copy_source (fixture->engines, fixture->list,
                                 &fixture->endpoints[B], &fixture->demand, 1);
}

/* An engine copies from one of its zone, from another zone if only engines
   there hold the parts, and from none if it holds them itself.  */
static void
test_nearest (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  g_assert_null (source_of_b (fixture));
  serve_at (fixture, C, JC_ENGINE_SERVED);
  g_assert_true (source_of_b (fixture) == &fixture->endpoints[C]);
  serve_at (fixture, A, JC_ENGINE_SERVED);
  g_assert_true (source_of_b (fixture) == &fixture->endpoints[A]);
  serve_at (fixture, B, JC_ENGINE_SERVED);
  g_assert_null (source_of_b (fixture));
}

/* A source that could not be reached is passed over, and the cost counts on no
   copy once there is none.  */
static void
test_source_gone (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  serve_at (fixture, A, JC_ENGINE_SERVED);
  serve_at (fixture, C, JC_ENGINE_SERVED);
  serve_at (fixture, A, JC_ENGINE_UNREACHABLE);
  g_assert_true (source_of_b (fixture) == &fixture->endpoints[C]);
  serve_at (fixture, C, JC_ENGINE_UNREACHABLE);
  g_assert_null (source_of_b (fixture));
  g_assert_cmpuint (fixture->demand.kept_tokens, ==, 0);
}

/* Engines of different software versions may keep caches in different forms:
   nothing is copied between them.  */
static void
test_other_software (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  serve_at (fixture, A, JC_ENGINE_SERVED);
  fixture->endpoints[A].software = 8;
  g_assert_null (source_of_b (fixture));
  serve_at (fixture, D, JC_ENGINE_SERVED);
  g_assert_true (source_of_b (fixture) == &fixture->endpoints[D]);
}

/* Nothing is copied where the configuration tells of no copies, or where a copy
   takes longer than reading.  */
static void
test_switched_off (struct fixture *fixture, gconstpointer data)
{
  (void)data;
  serve_at (fixture, A, JC_ENGINE_SERVED);
  fixture->demand.copy_ms_per_token = 0;
  g_assert_null (source_of_b (fixture));
  fixture->demand.copy_ms_per_token = 1;
  g_assert_null (source_of_b (fixture));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add ("/enginecopy/nearest", struct fixture, NULL, set_up, test_nearest,
              tear_down);
  g_test_add ("/enginecopy/source-gone", struct fixture, NULL, set_up,
              test_source_gone, tear_down);
  g_test_add ("/enginecopy/other-software", struct fixture, NULL, set_up,
              test_other_software, tear_down);
  g_test_add ("/enginecopy/switched-off", struct fixture, NULL, set_up,
              test_switched_off, tear_down);
  return g_test_run ();
}
