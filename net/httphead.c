/* Heads of HTTP/1.1 messages.  */

#include <string.h>

#include "net/httphead.h"

/* Return the length of the head at the start of BYTES including its blank
   line, or -1 if it is incomplete.  SCANNED bytes are known to hold no end; it
   is updated for the next call.  */
ssize_t
jc_head_find_end (struct jc_str bytes, size_t *scanned)
{
  size_t from = *scanned > 3 ? *scanned - 3 : 0;
  const char *end = memmem (bytes.data + from, bytes.len - from, "\r\n\r\n", 4);

  if (end == NULL)
    {
      *scanned = bytes.len;
      return -1;
    }
  *scanned = 0;
  return end - bytes.data + 4;
}

static bool
is_token_char (char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

/* Return whether LINE, without its CR LF, is "name:value".  */
static bool
is_field_line (struct jc_str line)
{
  size_t i = 0;

  while (i < line.len && is_token_char (line.data[i]))
    i++;
  return i > 0 && i < line.len && line.data[i] == ':';
}

/* Return whether every line of the head BYTES ends with CR LF, holds no other
   CR, LF or NUL, and, except for the first, starts with a name and a colon.
   Parsers differ in how they read anything else, which allows request
   smuggling.  */
bool
jc_head_is_well_formed (struct jc_str bytes)
{
  bool first = true;

  while (bytes.len > 2)
    {
      const char *end = memchr (bytes.data, '\n', bytes.len);
      struct jc_str line = { .data = bytes.data };

      if (end == NULL || end == bytes.data || end[-1] != '\r')
        return false;
      line.len = (size_t)(end - bytes.data) - 1;
      if (memchr (line.data, '\0', line.len) != NULL
          || memchr (line.data, '\r', line.len) != NULL)
        return false;
      if (!first && !is_field_line (line))
        return false;
      first = false;
      bytes.len -= line.len + 2;
      bytes.data += line.len + 2;
    }
  return !first;
}

/* Return whether TARGET is a path without blanks and control characters.
   http-parser, as built by Debian, accepts tabs and form feeds in it, which
   other parsers take for its end.  */
bool
jc_head_is_path_target (const char *target)
{
  if (target == NULL || target[0] != '/')
    return false;
  for (const char *c = target; *c != '\0'; c++)
    if (*c == ' ' || g_ascii_iscntrl (*c))
      return false;
  return true;
}

/* Return whether HEAD gives the length of its body at most once and
   unambiguously.  */
bool
jc_head_has_clear_length (const struct jc_head *head)
{
  unsigned int lengths = 0;
  unsigned int codings = 0;

  for (unsigned int i = 0; i < head->field_count; i++)
    {
      const struct jc_head_field *field = &head->fields[i];

      if (g_ascii_strcasecmp (field->name, "Content-Length") == 0)
        {
          lengths++;
          if (field->value[strspn (field->value, "0123456789")] != '\0')
            return false;
        }
      else if (g_ascii_strcasecmp (field->name, "Transfer-Encoding") == 0)
        {
          codings++;
          if (g_ascii_strcasecmp (field->value, "chunked") != 0)
            return false;
        }
    }
  return lengths + codings <= 1;
}

/* Return the value of the first field NAME of HEAD, or NULL.  Names are
   compared without regard to case.  */
const char *
jc_head_field (const struct jc_head *head, const char *name)
{
  for (unsigned int i = 0; i < head->field_count; i++)
    if (g_ascii_strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

/* Return how many fields of HEAD are called NAME.  */
unsigned int
jc_head_count (const struct jc_head *head, const char *name)
{
  unsigned int count = 0;

  for (unsigned int i = 0; i < head->field_count; i++)
    count += g_ascii_strcasecmp (head->fields[i].name, name) == 0 ? 1 : 0;
  return count;
}

/* Return whether WORD is in the comma-separated list of any field NAME of
   HEAD.  */
bool
jc_head_has_list_item (const struct jc_head *head, const char *name,
                       const char *word)
{
  for (unsigned int i = 0; i < head->field_count; i++)
    {
      struct jc_str rest;
      struct jc_str item;

      if (g_ascii_strcasecmp (head->fields[i].name, name) != 0)
        continue;
      rest = jc_str_from_cstr (head->fields[i].value);
      while (jc_str_cut (&rest, ',', &item))
        {
          char *text = g_strstrip (jc_str_dup (item));
          bool same = g_ascii_strcasecmp (text, word) == 0;

          g_free (text);
          if (same)
            return true;
        }
    }
  return false;
}

/* Return whether the field NAME of HEAD is hop-by-hop, which a proxy must not
   forward.  */
bool
jc_head_is_hop_by_hop (const struct jc_head *head, const char *name)
{
  static const char *const hop_by_hop[]
      = { "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
          "Trailer",    "Transfer-Encoding", "Upgrade",          "Expect" };

  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (name, hop_by_hop[i]) == 0)
      return true;
  return jc_head_field (head, "Connection") != NULL
         && jc_head_has_list_item (head, "Connection", name);
}

/* Initialize HEAD with a copy of BYTES and no fields.  Free it with
   jc_head_clear.  */
void
jc_head_init (struct jc_head *head, struct jc_str bytes)
{
  head->bytes = g_malloc (bytes.len + 1);
  memcpy (head->bytes, bytes.data, bytes.len);
  head->bytes[bytes.len] = '\0';
  head->len = bytes.len;
  head->field_count = 0;
  head->target = NULL;
  head->method = NULL;
  head->status = 0;
}

/* Initialize TO with a copy of FROM, whose fields are parsed.  TARGET is not
   copied.  */
void
jc_head_copy (struct jc_head *to, const struct jc_head *from)
{
  *to = *from;
  to->bytes = g_memdup2 (from->bytes, from->len + 1);
  to->target = NULL;
  for (unsigned int i = 0; i < from->field_count; i++)
    {
      const struct jc_head_field *field = &from->fields[i];

      to->fields[i].name = to->bytes + (field->name - from->bytes);
      to->fields[i].value = field->value[0] != '\0'
                                ? to->bytes + (field->value - from->bytes)
                                : "";
    }
}

/* Free the memory that HEAD holds, but not HEAD itself.  */
void
jc_head_clear (struct jc_head *head)
{
  g_free (head->bytes);
  head->bytes = NULL;
  head->field_count = 0;
}

/* Add LEN bytes at AT to the target of a request.  */
void
jc_head_build_target (struct jc_head_build *build, const char *at, size_t len)
{
  if (build->head->target == NULL)
    build->head->target = at;
  build->target_len += len;
}

/* End the value of the last field, without trailing blanks.  */
static void
terminate_value (struct jc_head_build *build)
{
  struct jc_head_field *field
      = &build->head->fields[build->head->field_count - 1];
  char *end = (char *)field->value + build->value_len;

  *end = '\0';
  while (end > field->value && (end[-1] == ' ' || end[-1] == '\t'))
    *--end = '\0';
  build->in_value = false;
}

/* Add a field with the name of LEN bytes at AT.  The parser gets the head in
   one piece, so names are never split.  Fields of a trailer are dropped.  */
void
jc_head_build_name (struct jc_head_build *build, const char *at, size_t len)
{
  struct jc_head *head = build->head;

  if (build->ended)
    return;
  if (build->in_value)
    terminate_value (build);
  if (head->field_count == JC_HEAD_FIELDS_MAX)
    {
      build->overflow = true;
      return;
    }
  head->fields[head->field_count].name = at;
  head->fields[head->field_count].value = "";
  head->field_count++;
  ((char *)at)[len] = '\0';
}

/* Set the value of the last field to LEN bytes at AT.  For an empty value AT
   is the start of the next line and must not be used.  */
void
jc_head_build_value (struct jc_head_build *build, const char *at, size_t len)
{
  if (build->overflow || build->ended || len == 0)
    return;
  build->head->fields[build->head->field_count - 1].value = at;
  build->value_len = len;
  build->in_value = true;
}

/* Complete the head that PARSER has read.  */
void
jc_head_build_end (struct jc_head_build *build, const http_parser *parser)
{
  struct jc_head *head = build->head;

  if (build->in_value)
    terminate_value (build);
  if (head->target != NULL)
    ((char *)head->target)[build->target_len] = '\0';
  head->method = http_method_str ((enum http_method)parser->method);
  head->status = (int)parser->status_code;
  head->before_http_1_1
      = parser->http_major < 1
        || (parser->http_major == 1 && parser->http_minor == 0);
  head->keep_alive = http_should_keep_alive (parser) != 0;
  build->ended = true;
}
