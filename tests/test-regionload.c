/* Tests of what goes to other regions where callers of one ask for too much, by
   the patterns of load that it answers.  */

#include <glib.h>
#include <string.h>

#include "serve/regionload.h"

enum
{
  DRAWS = 10000
};

/* Requests of a second that go from "a" to "b" and "c".  */
struct flow
{
  double to_b;
  double to_c;
};

static struct flow
flow_of (double a, double b, double c, double capacity_b)
{
  const struct jc_region_load all[]
      = { { .name = "a", .offered_per_s = a, .capacity_per_s = 100 },
          { .name = "b", .offered_per_s = b, .capacity_per_s = capacity_b },
          { .name = "c", .offered_per_s = c, .capacity_per_s = 100 } };
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct flow flow = { 0 };

  g_array_append_vals (regions, all, G_N_ELEMENTS (all));
  for (int i = 0; i < DRAWS; i++)
    {
      const char *to = jc_region_load_spill (regions, "a", (double)i / DRAWS);

      if (to != NULL && strcmp (to, "b") == 0)
        flow.to_b += a / DRAWS;
      else if (to != NULL)
        flow.to_c += a / DRAWS;
    }
  g_array_free (regions, TRUE);
  return flow;
}

/* A region's own peak: it keeps what it serves well, and the rest goes to the
   others by the room that each of them has.  */
static void
test_own_peak (void)
{
  struct flow flow = flow_of (155, 35, 55, 100);

  g_assert_cmpfloat_with_epsilon (flow.to_b + flow.to_c, 155 - 245 / 3.0, 1);
  g_assert_cmpfloat_with_epsilon (flow.to_b, 245 / 3.0 - 35, 1);
  flow = flow_of (70, 10, 10, 100);
  g_assert_cmpfloat (flow.to_b + flow.to_c, ==, 0);
  flow = flow_of (95, 10, 10, 100);
  g_assert_cmpfloat_with_epsilon (flow.to_b + flow.to_c, 20, 1);
}

/* A burst everywhere: no region sends on what the others can't serve
   either.  */
static void
test_burst_everywhere (void)
{
  struct flow flow = flow_of (150, 150, 150, 100);

  g_assert_cmpfloat (flow.to_b + flow.to_c, ==, 0);
}

/* Capacity that is taken away: nothing goes where none is left, and a region
   without any sends everything away.  */
static void
test_capacity_gone (void)
{
  const struct jc_region_load none
      = { .name = "a", .offered_per_s = 40, .capacity_per_s = 0 };
  const struct jc_region_load other
      = { .name = "b", .offered_per_s = 10, .capacity_per_s = 100 };
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct flow flow = flow_of (120, 0, 50, 0);

  g_assert_cmpfloat (flow.to_b, ==, 0);
  g_assert_cmpfloat_with_epsilon (flow.to_c, 35, 1);
  g_array_append_val (regions, none);
  g_array_append_val (regions, other);
  for (int i = 0; i < DRAWS; i++)
    g_assert_cmpstr (jc_region_load_spill (regions, "a", (double)i / DRAWS), ==,
                     "b");
  g_array_free (regions, TRUE);
}

/* The rate follows a burst within about a second, and forgets it as fast.  */
static void
test_rate (void)
{
  struct jc_request_rate rate = { 0 };

  for (int64_t ms = 0; ms < 5000; ms += 20)
    jc_request_rate_add (&rate, ms);
  g_assert_cmpfloat_with_epsilon (jc_request_rate_at (&rate, 5000), 50, 2);
  g_assert_cmpfloat (jc_request_rate_at (&rate, 8000), <, 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/offered/own-peak", test_own_peak);
  g_test_add_func ("/offered/burst-everywhere", test_burst_everywhere);
  g_test_add_func ("/offered/capacity-gone", test_capacity_gone);
  g_test_add_func ("/offered/rate", test_rate);
  return g_test_run ();
}
