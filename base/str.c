/* Length-counted strings.  */

#include <string.h>

#include "base/str.h"

/* Return a view of the NUL-terminated TEXT; NULL reads as empty.  */
struct jc_str
jc_str_from_cstr (const char *text)
{
  return (struct jc_str){ .data = text != NULL ? text : "",
                          .len = text != NULL ? strlen (text) : 0 };
}

/* Return a view of TEXT, valid until TEXT changes.  */
struct jc_str
jc_str_from_gstring (const GString *text)
{
  return (struct jc_str){ .data = text->str, .len = text->len };
}

/* Tell whether A and B hold the same bytes.  */
bool
jc_str_equal (struct jc_str a, struct jc_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

/* Tell whether TEXT begins with PREFIX.  */
bool
jc_str_has_prefix (struct jc_str text, struct jc_str prefix)
{
  return text.len >= prefix.len
         && memcmp (text.data, prefix.data, prefix.len) == 0;
}

/* Cut the part of TEXT before SEP into WORD and move TEXT past SEP.  Without
   SEP, WORD is all of TEXT.  Return false once TEXT is empty.  */
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
