/* Length-counted strings.  Builders are GLib's GString; struct jc_str is a
   view that owns nothing.  */

#ifndef JC_STR_H
#define JC_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* A view of LEN bytes; DATA need not end in a NUL.  */
struct jc_str
{
  const char *data;
  size_t len;
};

#define JC_STR_LIT(s) ((struct jc_str){ .data = (s), .len = sizeof (s) - 1 })
#define JC_STR_ARG(s) (int)(s).len, (s).data

struct jc_str jc_str_from_cstr (const char *text);
struct jc_str jc_str_from_gstring (const GString *text);
bool jc_str_equal (struct jc_str a, struct jc_str b);
bool jc_str_has_prefix (struct jc_str text, struct jc_str prefix);
bool jc_str_cut (struct jc_str *text, char sep, struct jc_str *word);
char *jc_str_dup (struct jc_str text);

#endif
