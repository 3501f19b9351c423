/* Checks that an answer is whole and belongs to its request.  */

#include <string.h>

#include "load/load.h"

/* An answer while it comes.  REST holds what is not checked yet: the body,
   or of a stream the last unfinished line.  */
struct answer
{
  const struct jc_load_class *klass;
  char *mark;
  GString *rest;
  int tokens;
  bool ended;
  bool foreign;
  char *error;
};

/* Return the check of an answer to a request of KLASS marked MARK.  */
struct answer *
answer_check_new (const struct jc_load_class *klass, const char *mark)
{
  struct answer *answer = g_new0 (struct answer, 1);

  answer->klass = klass;
  answer->mark = g_strdup (mark);
  answer->rest = g_string_new (NULL);
  return answer;
}

/* Free ANSWER.  */
void
answer_check_free (struct answer *answer)
{
  g_free (answer->mark);
  g_free (answer->error);
  g_string_free (answer->rest, TRUE);
  g_free (answer);
}

static const char *
text_at (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "";
}

/* Keep the kind of the error that JSON says, if it says one.  */
static bool
take_error (struct answer *answer, const json_t *json)
{
  const char *kind = text_at (json_object_get (json, "error"), "kind");

  if (kind[0] == '\0')
    return false;
  g_free (answer->error);
  answer->error = g_strdup (kind);
  return true;
}

/* Check that JSON is the next event of the stream.  */
static void
take_token (struct answer *answer, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  char *want = g_strdup_printf ("%sw%d", answer->tokens > 0 ? " " : "",
                                answer->tokens);

  if (strcmp (text_at (json, "id"), answer->mark) != 0
      || strcmp (text_at (json_object_get (choice, "delta"), "content"), want)
             != 0)
    answer->foreign = true;
  answer->tokens++;
  g_free (want);
}

static unsigned int
take_line (struct answer *answer, struct jc_str line)
{
  json_t *json;
  unsigned int tokens = 0;

  if (!jc_str_has_prefix (line, JC_STR_LIT ("data: ")))
    return 0;
  line.data += 6;
  line.len -= 6;
  if (jc_str_equal (line, JC_STR_LIT ("[DONE]")))
    {
      answer->ended = true;
      return 0;
    }
  json = json_loadb (line.data, line.len, 0, NULL);
  if (!take_error (answer, json))
    {
      take_token (answer, json);
      tokens = 1;
    }
  json_decref (json);
  return tokens;
}

/* Take DATA of the answer.  Return the number of tokens in it.  */
unsigned int
answer_check_add (struct answer *answer, struct jc_str data)
{
  unsigned int tokens = 0;
  size_t used = 0;
  const char *end;

  g_string_append_len (answer->rest, data.data, (gssize)data.len);
  if (!answer->klass->stream)
    return 0;
  while (
      (end = memchr (answer->rest->str + used, '\n', answer->rest->len - used))
      != NULL)
    {
      struct jc_str line = { .data = answer->rest->str + used };

      line.len = (size_t)(end - line.data);
      used += line.len + 1;
      tokens += take_line (answer, line);
    }
  g_string_erase (answer->rest, 0, (gssize)used);
  return tokens;
}

static bool
body_is_own (const struct answer *answer, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  const char *content
      = text_at (json_object_get (choice, "message"), "content");
  GString *want = g_string_new (NULL);
  bool own;

  if (!answer->klass->engine)
    own = strcmp (text_at (json, "mark"), answer->mark) == 0;
  else
    {
      for (int i = 0; i < answer->klass->tokens; i++)
        g_string_append_printf (want, "%sw%d", i > 0 ? " " : "", i);
      own = strcmp (text_at (json, "id"), answer->mark) == 0
            && strcmp (content, want->str) == 0;
    }
  g_string_free (want, TRUE);
  return own;
}

static const char *
body_verdict (struct answer *answer, int http)
{
  json_t *json = json_loadb (answer->rest->str, answer->rest->len, 0, NULL);
  const char *verdict = "ok";

  if (take_error (answer, json))
    verdict = answer->error;
  else if (http != 200)
    verdict = "http_error";
  else if (json == NULL)
    verdict = "not_whole";
  else if (!body_is_own (answer, json))
    verdict = "foreign";
  json_decref (json);
  return verdict;
}

/* Return "ok" where ANSWER came with HTTP and is whole and its request's
   own, else the error's kind or what is wrong with it.  */
const char *
answer_check_outcome (struct answer *answer, int http)
{
  if (answer->error != NULL)
    return answer->error;
  if (!answer->klass->stream || http != 200)
    return body_verdict (answer, http);
  if (answer->foreign)
    return "foreign";
  if (!answer->ended || answer->tokens != answer->klass->tokens)
    return "not_whole";
  return "ok";
}
