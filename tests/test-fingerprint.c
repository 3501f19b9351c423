/* Tests of the fingerprints of requests.  */

#include <string.h>

#include "serve/fingerprint.h"

static struct jc_request_info
request_with_parts (uint64_t first, uint64_t second, uint64_t own)
{
  return (struct jc_request_info){ .parts_count = 3,
                                   .parts = { { .id = first, .tokens = 1 },
                                              { .id = second, .tokens = 1 },
                                              { .id = own, .tokens = 1 } } };
}

static struct jc_fingerprints
fingerprints_of (const char *service, const struct jc_request_info *info,
                 const char *body)
{
  const struct jc_request_identity identity
      = { .method = "POST",
          .host = "site.example",
          .target = "/a/b",
          .body = jc_str_from_cstr (body) };
  struct jc_fingerprints out;

  jc_fingerprints_init (&out, service, info, &identity);
  return out;
}

/* Guards against refusing sound requests for what is theirs alone, and against
   missing what they share: all parts but the last count.  */
static void
test_shared_parts (void)
{
  const struct jc_request_info one = request_with_parts (1, 2, 3);
  const struct jc_request_info other = request_with_parts (1, 4, 3);
  struct jc_fingerprints a = fingerprints_of ("s", &one, "x");
  struct jc_fingerprints b = fingerprints_of ("s", &other, "y");

  g_assert_cmpuint (a.count, ==, 3);
  g_assert_true (a.values[0] == b.values[0]);
  g_assert_true (a.values[1] != b.values[1]);
  g_assert_true (a.values[2] != b.values[2]);
}

/* Guards against missing a request that comes again at another instance, and
   against taking a request of another service, path or body for it.  */
static void
test_same_request (void)
{
  const struct jc_request_info info = { 0 };
  struct jc_fingerprints a = fingerprints_of ("s", &info, "x");
  struct jc_fingerprints again = fingerprints_of ("s", &info, "x");
  struct jc_fingerprints other_body = fingerprints_of ("s", &info, "y");
  struct jc_fingerprints other_service = fingerprints_of ("t", &info, "x");

  g_assert_cmpuint (a.count, ==, 1);
  g_assert_true (a.values[0] == again.values[0]);
  g_assert_true (a.values[0] != other_body.values[0]);
  g_assert_true (a.values[0] != other_service.values[0]);
}

/* Guards against writing past the fingerprints of a request with as many parts
   as can be read.  */
static void
test_many_parts (void)
{
  struct jc_request_info info = { .parts_count = JC_PROMPT_PARTS_MAX };

  g_assert_cmpuint (fingerprints_of ("s", &info, "").count, ==,
                    JC_FINGERPRINTS_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shared-parts", test_shared_parts);
  g_test_add_func ("/same-request", test_same_request);
  g_test_add_func ("/many-parts", test_many_parts);
  return g_test_run ();
}
