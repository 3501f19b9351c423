/* Strings with a length.  */

#include <string.h>

#include "base/str.h"

/* Return a view of the NUL-terminated TEXT, or an empty view if it is NULL.  */
struct jc_str
jc_str_from_cstr (const char *text)
{
  return (struct jc_str){ .data = text != NULL ? text : "",
                          .len = text != NULL ? strlen (text) : 0 };
}

/* Return a view of TEXT, which is valid until TEXT is changed or freed.  */
struct jc_str
jc_str_from_gstring (const GString *text)
{
  return (struct jc_str){ .data = text->str, .len = text->len };
}

/* Return true if A and B contain the same bytes.  */
bool
jc_str_equal (struct jc_str a, struct jc_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Return true if TEXT begins with PREFIX.  */
bool
jc_str_has_prefix (struct jc_str text, struct jc_str prefix)
{
  return text.len >= prefix.len
         && memcmp (text.data, prefix.data, prefix.len) == 0;
}

/* Split TEXT at the first SEP: set WORD to the part before it and TEXT to the
   part after it.  If TEXT does not contain SEP, WORD is all of TEXT and TEXT
   becomes empty.  Return false, without setting WORD, if TEXT is empty.  */
bool
jc_str_cut (struct jc_str *text, char sep, struct jc_str *word)
{
  const char *end;

  if (text->len == 0)
    return false;
  end = memchr (text->data, sep, text->len);
  if (end == NULL)
    {
      *word = *text;
      *text = (struct jc_str){ .data = text->data + text->len, .len = 0 };
      return true;
    }
  *word = (struct jc_str){ .data = text->data,
                           .len = (size_t)(end - text->data) };
  text->len -= word->len + 1;
  text->data = end + 1;
  return true;
}

/* Return a NUL-terminated copy of TEXT; the caller frees it with g_free.  */
char *
jc_str_dup (struct jc_str text)
{
  return g_strndup (text.data, text.len);
}
