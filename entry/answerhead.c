/* Head of an answer: which fields of an endpoint's answer its caller gets.  */

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
