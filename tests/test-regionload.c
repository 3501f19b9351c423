/* Tests of the balancing of load between regions.  */

#include <glib.h>
#include <string.h>

#include "serve/regionload.h"

enum
{
  DRAWS = 10000
};

/* Requests per second sent from "a" to "b" and "c".  */
struct spill
{
  double to_b;
  double to_c;
};

static struct spill
spilled (double a, double b, double c, double capacity_b)
{
  const struct jc_region_load all[]
      = { { .name = "a", .offered_per_s = a, .capacity_per_s = 100 },
          { .name = "b", .offered_per_s = b, .capacity_per_s = capacity_b },
          { .name = "c", .offered_per_s = c, .capacity_per_s = 100 } };
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct spill spill = { 0 };

  g_array_append_vals (regions, all, G_N_ELEMENTS (all));
  for (int i = 0; i < DRAWS; i++)
    {
      const char *to = jc_region_load_spill (regions, "a", (double)i / DRAWS);

      if (to != NULL && strcmp (to, "b") == 0)
        spill.to_b += a / DRAWS;
      else if (to != NULL)
        spill.to_c += a / DRAWS;
    }
  g_array_free (regions, TRUE);
  return spill;
}

/* During its peak a region keeps the load it can serve well and sends the rest
   to the others according to their free capacity.  */
static void
test_local_peak (void)
{
  struct spill spill = spilled (155, 35, 55, 100);

  g_assert_cmpfloat_with_epsilon (spill.to_b + spill.to_c, 155 - 245 / 3.0, 1);
  g_assert_cmpfloat_with_epsilon (spill.to_b, 245 / 3.0 - 35, 1);
  spill = spilled (70, 10, 10, 100);
  g_assert_cmpfloat (spill.to_b + spill.to_c, ==, 0);
  spill = spilled (95, 10, 10, 100);
  g_assert_cmpfloat_with_epsilon (spill.to_b + spill.to_c, 20, 1);
}

/* If all regions are overloaded, none sends requests that the others can't
   serve either.  */
static void
test_global_peak (void)
{
  struct spill spill = spilled (150, 150, 150, 100);

  g_assert_cmpfloat (spill.to_b + spill.to_c, ==, 0);
}

/* No requests are sent to a region without capacity, and a region without any
   sends all of its requests away.  */
static void
test_no_capacity (void)
{
  const struct jc_region_load none
      = { .name = "a", .offered_per_s = 40, .capacity_per_s = 0 };
  const struct jc_region_load other
      = { .name = "b", .offered_per_s = 10, .capacity_per_s = 100 };
  GArray *regions = g_array_new (FALSE, FALSE, sizeof (struct jc_region_load));
  struct spill spill = spilled (120, 0, 50, 0);

  g_assert_cmpfloat (spill.to_b, ==, 0);
  g_assert_cmpfloat_with_epsilon (spill.to_c, 35, 1);
  g_array_append_val (regions, none);
  g_array_append_val (regions, other);
  for (int i = 0; i < DRAWS; i++)
    g_assert_cmpstr (jc_region_load_spill (regions, "a", (double)i / DRAWS), ==,
                     "b");
  g_array_free (regions, TRUE);
}

/* The rate follows a burst within about a second and decays as fast.  */
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
  g_test_add_func ("/region-load/local-peak", test_local_peak);
  g_test_add_func ("/region-load/global-peak", test_global_peak);
  g_test_add_func ("/region-load/no-capacity", test_no_capacity);
  g_test_add_func ("/region-load/rate", test_rate);
  return g_test_run ();
}
