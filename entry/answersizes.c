/* Sizes: how large the plain answers of each route are.  */

#include "entry/router.h"

enum
{
  /* An answer this many times as large as the largest so far is unusual.  */
  TIMES_USUAL = 16,
  /* Answers up to this size are always usual: six at once, each in a buffer
     that doubles, stay under a tenth of the smallest instance's memory.  */
  USUAL_LEAST_BYTES = 1024 * 1024,
  ROUTES_MAX = 4096
};

/* Return up to which size answers of ROUTE are usual, bytes.  */
size_t
answersizes_usual_max (const struct hosts *hosts, const char *route)
{
  size_t largest
      = GPOINTER_TO_SIZE (g_hash_table_lookup (hosts->answer_sizes, route));

  return MAX (TIMES_USUAL * largest, (size_t)USUAL_LEAST_BYTES);
}

/* A whole answer of ROUTE has SIZE bytes.  Only what raises the bound is kept;
   a full table, of routes that no configuration names any longer, is begun
   anew.  */
void
answersizes_record (struct hosts *hosts, const char *route, size_t size)
{
  if (size * TIMES_USUAL <= answersizes_usual_max (hosts, route))
    return;
  if (g_hash_table_size (hosts->answer_sizes) >= ROUTES_MAX)
    g_hash_table_remove_all (hosts->answer_sizes);
  g_hash_table_insert (hosts->answer_sizes, g_strdup (route),
                       GSIZE_TO_POINTER (size));
}
