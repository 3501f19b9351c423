/* Checks that an answer is complete and belongs to its request.  The simulated
   endpoints in tests/ give predictable answers: a service returns the id of the
   request in "mark", an engine returns it in "id" and generates the words w0,
   w1 and so on, one for each token.  */

#include <string.h>

#include "load/load.h"

/* The check of one answer while it arrives.  UNPARSED is the body so far or, of
   a stream, its last unfinished line.  TOKENS counts the events of a stream;
   DONE_SEEN is set by its end marker, FOREIGN if an event belongs to another
   request or is out of order.  ERROR is the kind of the error in the answer, or
   NULL.  */
struct answer_check
{
  const struct jc_load_class *klass;
  char *request_id;
  GString *unparsed;
  int tokens;
  bool done_seen;
  bool foreign;
  char *error;
};

/* Return a new check of the answer to the request REQUEST_ID of KLASS, which
   must outlive it.  */
struct answer_check *
answer_check_new (const struct jc_load_class *klass, const char *request_id)
{
  struct answer_check *check = g_new0 (struct answer_check, 1);

  check->klass = klass;
  check->request_id = g_strdup (request_id);
  check->unparsed = g_string_new (NULL);
  return check;
}

void
answer_check_free (struct answer_check *check)
{
  g_free (check->request_id);
  g_free (check->error);
  g_string_free (check->unparsed, TRUE);
  g_free (check);
}

/* Return the string in member KEY of JSON, "" if there is none.  */
static const char *
text_member (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

/* If JSON is an error, store its kind in CHECK.  Return whether it is.  */
static bool
add_error (struct answer_check *check, const json_t *json)
{
  const char *kind = text_member (json_object_get (json, "error"), "kind");

  if (kind[0] == '\0')
    return false;
  g_free (check->error);
  check->error = g_strdup (kind);
  return true;
}

/* Check that the event JSON has the request's id and the next word.  */
static void
add_event (struct answer_check *check, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  char *expected
      = g_strdup_printf ("%sw%d", check->tokens > 0 ? " " : "", check->tokens);

  if (strcmp (text_member (json, "id"), check->request_id) != 0
      || strcmp (text_member (json_object_get (choice, "delta"), "content"),
                 expected)
             != 0)
    check->foreign = true;
  check->tokens++;
  g_free (expected);
}

/* Check LINE of a stream.  Return the number of tokens in it, 0 or 1.  */
static unsigned int
add_line (struct answer_check *check, struct jc_str line)
{
  json_t *json;
  unsigned int tokens = 0;

  if (!jc_str_has_prefix (line, JC_STR_LIT ("data: ")))
    return 0;
  line.data += 6;
  line.len -= 6;
  if (jc_str_equal (line, JC_STR_LIT ("[DONE]")))
    {
      check->done_seen = true;
      return 0;
    }
  json = json_loadb (line.data, line.len, 0, NULL);
  if (!add_error (check, json))
    {
      add_event (check, json);
      tokens = 1;
    }
  json_decref (json);
  return tokens;
}

/* Add DATA, the next bytes of the answer's body.  Return the number of tokens
   in the lines that it completes, always 0 if the answer is not a stream.  */
unsigned int
answer_check_add (struct answer_check *check, struct jc_str data)
{
  unsigned int tokens = 0;
  size_t used = 0;
  const char *end;

  g_string_append_len (check->unparsed, data.data, (gssize)data.len);
  if (!check->klass->stream)
    return 0;
  while ((end = memchr (check->unparsed->str + used, '\n',
                        check->unparsed->len - used))
         != NULL)
    {
      struct jc_str line = { .data = check->unparsed->str + used };

      line.len = (size_t)(end - line.data);
      used += line.len + 1;
      tokens += add_line (check, line);
    }
  g_string_erase (check->unparsed, 0, (gssize)used);
  return tokens;
}

/* Return whether the body JSON is the answer that the request must get.  */
static bool
body_matches (const struct answer_check *check, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  const char *content
      = text_member (json_object_get (choice, "message"), "content");
  GString *expected = g_string_new (NULL);
  bool matches;

  if (!check->klass->engine)
    matches = strcmp (text_member (json, "mark"), check->request_id) == 0;
  else
    {
      for (int i = 0; i < check->klass->tokens; i++)
        g_string_append_printf (expected, "%sw%d", i > 0 ? " " : "", i);
      matches = strcmp (text_member (json, "id"), check->request_id) == 0
                && strcmp (content, expected->str) == 0;
    }
  g_string_free (expected, TRUE);
  return matches;
}

/* Return the outcome for an answer that is not a stream.  */
static const char *
body_outcome (struct answer_check *check, int http_status)
{
  json_t *json
      = json_loadb (check->unparsed->str, check->unparsed->len, 0, NULL);
  const char *outcome = "ok";

  if (add_error (check, json))
    outcome = check->error;
  else if (http_status != 200)
    outcome = "http_error";
  else if (json == NULL)
    outcome = "not_whole";
  else if (!body_matches (check, json))
    outcome = "foreign";
  json_decref (json);
  return outcome;
}

/* Return the outcome of the answer, which ended with HTTP_STATUS: "ok", the
   kind of its error, "http_error" for another status than 200, "not_whole" if
   part of it is missing, or "foreign" if it does not belong to the request. The
   string is valid until CHECK is freed.  */
const char *
answer_check_outcome (struct answer_check *check, int http_status)
{
  if (check->error != NULL)
    return check->error;
  if (!check->klass->stream || http_status != 200)
    return body_outcome (check, http_status);
  if (check->foreign)
    return "foreign";
  if (!check->done_seen || check->tokens != check->klass->tokens)
    return "not_whole";
  return "ok";
}
