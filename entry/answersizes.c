/* Sizes: how large the plain answers of each route are.  */

#include "entry/router.h"

enum
{
  /* An answer this many times as large as the largest so far is unusual.  */
  UNUSUAL_FACTOR = 16,
  /* Answers up to this size are always usual: six at once, each in a buffer
     that doubles, stay under a tenth of the smallest instance's memory.  */
  USUAL_MIN_BYTES = 1024 * 1024,
  ROUTES_MAX = 4096
};

/* Return up to which size answers of ROUTE are usual, bytes.  */
size_t
answersizes_usual_max (const struct router *router, const char *route)
{
  size_t largest
      = GPOINTER_TO_SIZE (g_hash_table_lookup (router->answer_sizes, route));

  return MAX (UNUSUAL_FACTOR * largest, (size_t)USUAL_MIN_BYTES);
}

/* A whole answer of ROUTE has SIZE bytes.  Only what raises the bound is kept;
   a full table, of routes that no configuration names any longer, is begun
   anew.  */
void
answersizes_record (struct router *router, const char *route, size_t size)
{
  if (size * UNUSUAL_FACTOR <= answersizes_usual_max (router, route))
    return;
  if (g_hash_table_size (router->answer_sizes) >= ROUTES_MAX)
    g_hash_table_remove_all (router->answer_sizes);
  g_hash_table_insert (router->answer_sizes, g_strdup (route),
                       GSIZE_TO_POINTER (size));
}
