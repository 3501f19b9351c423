/* Identities: asks the processes at endpoints' addresses for the incarnation
   that their reports name, so that what a report says is known to be true of
   the process behind a connection, however late the report is.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"
#include "serve/resumption.h"

enum
{
  HTTP_OK = 200,
  ANSWER_TIMEOUT_MS = 1000,
  BODY_BYTES_MAX = 64 * 1024,
  /* An endpoint that answered without its incarnation is not asked again for
     this long.  */
  UNTOLD_MS = 2000,
  /* Identities of processes that were not heard for longer are dropped.  */
  KEEP_MS = 60000
};

/* What is known of the process at an address.  QUESTION is the one that is on
   its way, or NULL.  It is not asked before ASK_AGAIN_MS.  */
struct identity
{
  struct jc_process_identity process;
  struct question *question;
  int64_t asked_ms;
  int64_t ask_again_ms;
};

/* A question to the process at ADDRESS.  SINCE_US and HEARD_US are those of the
   process that answers, 0 before the head of the answer.  */
struct question
{
  struct router *router;
  struct jc_httpc_call *call;
  char *address;
  GString *body;
  int status;
  int64_t since_us;
  int64_t heard_us;
};

static void
question_free (struct question *question)
{
  g_free (question->address);
  g_string_free (question->body, TRUE);
  g_free (question);
}

static void
on_head (void *ctx, int status, const char *content_type)
{
  struct question *question = ctx;

  (void)content_type;
  question->status = status;
  question->since_us = jc_httpc_call_since_us (question->call);
  question->heard_us = jc_now_us ();
}

static void
on_data (void *ctx, struct jc_str data)
{
  struct question *question = ctx;

  if (question->body->len + data.len <= BODY_BYTES_MAX)
    g_string_append_len (question->body, data.data, (gssize)data.len);
}

static void
on_done (void *ctx, const struct jc_httpc_call_result *result)
{
  struct question *question = ctx;
  struct router *router = question->router;
  struct identity *identity
      = g_hash_table_lookup (router->identities, question->address);
  struct jc_process_identity process
      = { .since_us = question->since_us, .heard_us = question->heard_us };
  bool told = result->status == JC_OK && question->status == HTTP_OK
              && router->protocol->parse_state (
                  jc_str_from_gstring (question->body), &process.incarnation);

  identity->question = NULL;
  if (told)
    jc_resumption_note_identity (&identity->process, &process);
  else if (question->heard_us > 0)
    identity->ask_again_ms = jc_now_ms () + UNTOLD_MS;
  jc_event (JC_EVENT_IDENTITY,
            "address=%s incarnation=%" PRIu64 " status=%d ms=%" PRId64
            " outcome=%s",
            question->address, process.incarnation, question->status,
            jc_now_ms () - identity->asked_ms,
            told                     ? "told"
            : question->heard_us > 0 ? "untold"
                                     : "unreached");
  question_free (question);
  if (told)
    {
      resumptions_check (router);
      misdirections_check (router);
    }
}

static const struct jc_httpc_call_ops question_ops
    = { .head = on_head, .data = on_data, .done = on_done };

/* Ask the process at ADDRESS for its incarnation, unless that is being done or
   it does not tell it.  */
void
identities_ask (struct router *router, const char *address)
{
  struct identity *identity = g_hash_table_lookup (router->identities, address);
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", address, router->protocol->state_path);
  const struct jc_httpc_call_spec spec
      = { .method = "GET",
          .url = url,
          .connect_timeout_ms = ANSWER_TIMEOUT_MS,
          .total_timeout_ms = ANSWER_TIMEOUT_MS,
          .own_connection = true };

  if (identity == NULL)
    {
      identity = g_new0 (struct identity, 1);
      g_hash_table_insert (router->identities, g_strdup (address), identity);
    }
  if (identity->question != NULL || jc_now_ms () < identity->ask_again_ms)
    return;
  identity->asked_ms = jc_now_ms ();
  identity->question = g_new0 (struct question, 1);
  identity->question->router = router;
  identity->question->address = g_strdup (address);
  identity->question->body = g_string_new (NULL);
  identity->question->call = jc_httpc_call_start (
      router->entry->httpc, &spec, &question_ops, identity->question);
}

/* Return what the process at ADDRESS said of itself, or NULL.  */
const struct jc_process_identity *
identities_find (const struct router *router, const char *address)
{
  const struct identity *identity
      = g_hash_table_lookup (router->identities, address);

  return identity != NULL && identity->process.heard_us > 0 ? &identity->process
                                                            : NULL;
}

static gboolean
is_old (gpointer address, gpointer value, gpointer now_ms)
{
  const struct identity *identity = value;

  (void)address;
  return identity->question == NULL
         && *(const int64_t *)now_ms - identity->asked_ms > KEEP_MS;
}

/* Drop what is old.  */
void
identities_tick (struct router *router)
{
  int64_t now_ms = jc_now_ms ();

  g_hash_table_foreach_remove (router->identities, is_old, &now_ms);
}

/* Start the module.  */
void
identities_start (struct router *router)
{
  router->identities
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

/* Stop the module.  */
void
identities_stop (struct router *router)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->identities);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct question *question = ((struct identity *)value)->question;

      if (question == NULL)
        continue;
      jc_httpc_call_cancel (question->call);
      question_free (question);
    }
  g_hash_table_destroy (router->identities);
}
