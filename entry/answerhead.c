/* Head of an answer: what it states, and which fields of an endpoint's answer
   its caller gets.  */

#include <inttypes.h>

#include "entry/exchange.h"

/* Return true if the caller gets the field NAME of the answer.  Fields that
   entry instances set are dropped if an endpoint set them.  */
static bool
is_forwarded_header (const struct exchange *exchange, const char *name)
{
  return exchange->router->protocol->forward_to_caller (name)
         && !jc_head_is_hop_by_hop (&exchange->answer_head, name)
         && g_ascii_strcasecmp (name, HEADER_SOFTWARE) != 0
         && (exchange->remote
             || (g_ascii_strcasecmp (name, HEADER_ERROR) != 0
                 && g_ascii_strcasecmp (name, HEADER_RUN) != 0));
}

/* Fill HEADERS, of EXCHANGE_HEADERS_MAX, with those fields of the endpoint's
   head that the caller gets; a NULL name ends them.  The instance that handed
   the request over gets the version that began the stream too.  */
void
exchange_answer_headers (struct exchange *exchange,
                         struct jc_http_header *headers)
{
  const struct jc_head *head = &exchange->answer_head;
  unsigned int count = 0;

  for (unsigned int i = 0; i < head->field_count; i++)
    if (is_forwarded_header (exchange, head->fields[i].name))
      headers[count++] = (struct jc_http_header){ head->fields[i].name,
                                                  head->fields[i].value };
  if (exchange->handed_over && exchange->software != 0)
    {
      g_snprintf (exchange->software_text, sizeof exchange->software_text,
                  "%016" PRIx64, exchange->software);
      headers[count++]
          = (struct jc_http_header){ HEADER_SOFTWARE, exchange->software_text };
    }
  headers[count].name = NULL;
}

/* Return what HEAD, the answer to the current attempt, states about whether the
   request ran.  Its parts in the endpoint's words are in ANSWER_INFO.  */
enum jc_statement
exchange_answer_statement (const struct exchange *exchange,
                           const struct jc_head *head)
{
  const struct jc_statement_input input
      = { .http = head->status,
          .not_run_fields = exchange->answer_info.not_run_fields,
          .is_signed = exchange->answer_info.is_signed,
          .from_instance = exchange->remote,
          .error_fields = jc_head_count (head, HEADER_ERROR),
          .error = jc_head_field (head, HEADER_ERROR),
          .run_fields = jc_head_count (head, HEADER_RUN),
          .run = jc_head_field (head, HEADER_RUN) };

  return jc_statement_of (&input);
}
