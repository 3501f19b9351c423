/* Sizes of plain answers: tracks the largest answer of each route, to tell
   usual sizes from those of an answer that may never end.  */

#include "entry/router.h"

enum
{
  /* An answer more than this many times as large as the largest one so far is
     unusual.  */
  UNUSUAL_FACTOR = 16,
  /* Answers up to this size are always usual: six at once, each in a buffer
     that doubles as it grows, stay under a tenth of the smallest instance's
     memory.  */
  USUAL_MIN_BYTES = 1024 * 1024,
  ROUTES_MAX = 4096
};

/* Return the size, in bytes, up to which an answer of ROUTE is usual.  */
size_t
answersizes_usual_max (const struct router *router, const char *route)
{
  size_t largest
      = GPOINTER_TO_SIZE (g_hash_table_lookup (router->answer_sizes, route));

  return MAX (UNUSUAL_FACTOR * largest, (size_t)USUAL_MIN_BYTES);
}

/* Record that a complete answer of ROUTE had SIZE bytes.  Only a size that
   raises the bound is stored.  A full table, which can only hold routes that no
   configuration names any longer, is cleared first.  */
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
