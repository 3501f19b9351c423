/* Heads of HTTP/1.1 messages: a lexical check before parsing, and access to
   the start line and header fields.  */

#ifndef JC_HTTPHEAD_H
#define JC_HTTPHEAD_H

#include <http_parser.h>
#include <stdbool.h>

#include "base/str.h"

enum
{
  JC_HEAD_FIELDS_MAX = 100
};

/* A header field.  NAME and VALUE are NUL-terminated strings in the bytes of
   their head.  */
struct jc_head_field
{
  const char *name;
  const char *value;
};

/* The head of a message.  BYTES holds it with its parts separated by NULs.
   TARGET is the path and query of a request, STATUS the status code of a
   response.  BEFORE_HTTP_1_1 is set for HTTP/1.0 and earlier.  */
struct jc_head
{
  char *bytes;
  size_t len;
  struct jc_head_field fields[JC_HEAD_FIELDS_MAX];
  unsigned int field_count;
  const char *method;
  const char *target;
  int status;
  bool before_http_1_1;
  bool keep_alive;
};

/* State of a head while http-parser reads it.  OVERFLOW is set if it has more
   than JC_HEAD_FIELDS_MAX fields, ENDED once it is complete: fields that come
   then are those of a trailer.  */
struct jc_head_build
{
  struct jc_head *head;
  size_t target_len;
  size_t value_len;
  bool in_value;
  bool overflow;
  bool ended;
};

ssize_t jc_head_find_end (struct jc_str bytes, size_t *scanned);
bool jc_head_is_well_formed (struct jc_str bytes);
bool jc_head_is_path_target (const char *target);
bool jc_head_has_clear_length (const struct jc_head *head);
const char *jc_head_field (const struct jc_head *head, const char *name);
unsigned int jc_head_count (const struct jc_head *head, const char *name);
bool jc_head_has_list_item (const struct jc_head *head, const char *name,
                            const char *word);
bool jc_head_is_hop_by_hop (const struct jc_head *head, const char *name);
void jc_head_init (struct jc_head *head, struct jc_str bytes);
void jc_head_copy (struct jc_head *to, const struct jc_head *from);
void jc_head_clear (struct jc_head *head);

void jc_head_build_target (struct jc_head_build *build, const char *at,
                           size_t len);
void jc_head_build_name (struct jc_head_build *build, const char *at,
                         size_t len);
void jc_head_build_value (struct jc_head_build *build, const char *at,
                          size_t len);
void jc_head_build_end (struct jc_head_build *build, const http_parser *parser);

#endif
