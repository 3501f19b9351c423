/* Misdirections: sets aside endpoints at whose address another process
   answered, and asks that process which one it is.  */

#include <inttypes.h>

#include "base/event.h"
#include "entry/router.h"
#include "net/program.h"
#include "serve/resumption.h"

enum
{
  US_PER_MS = 1000
};

static void
log_state (const struct jc_endpoint *endpoint, const char *state,
           const char *why)
{
  jc_event (JC_EVENT_MISDIRECTED,
            "endpoint=%s incarnation=%" PRIu64 " address=%s state=%s why=%s",
            endpoint->name, endpoint->incarnation, endpoint->address, state,
            why);
}

/* Let ENDPOINT be tried by a request if later evidence than what set it aside
   names it, or ask for that.  */
static void
check_endpoint (struct router *router, const struct jc_endpoint *endpoint)
{
  struct jc_misdirected *misdirected = router->misdirected;
  const struct jc_process_identity *identity
      = identities_find (router, endpoint->address);
  int64_t now = jc_now_ms ();

  if (identity != NULL && identity->incarnation == endpoint->incarnation
      && jc_misdirected_note_named (misdirected, endpoint->name,
                                    endpoint->incarnation,
                                    identity->heard_us / US_PER_MS, now))
    log_state (endpoint, "tried", "told");
  else if (jc_misdirected_note_report (misdirected, endpoint->name,
                                       endpoint->incarnation,
                                       endpoint->reported_ms, now))
    log_state (endpoint, "tried", "reported");
  else if (jc_misdirected_must_ask (misdirected, endpoint->name,
                                    endpoint->incarnation, now))
    identities_ask (router, endpoint->address);
}

/* Check all endpoints that are set aside.  */
void
misdirections_check (struct router *router)
{
  GPtrArray *names = g_ptr_array_new ();

  jc_misdirected_list (router->misdirected, names);
  for (guint i = 0; i < names->len; i++)
    {
      const struct jc_endpoint *endpoint
          = jc_endpoints_find (router->endpoints, g_ptr_array_index (names, i));

      if (endpoint != NULL)
        check_endpoint (router, endpoint);
    }
  g_ptr_array_free (names, TRUE);
  jc_misdirected_expire (router->misdirected, jc_now_ms ());
}

/* A request for ENDPOINT was misdirected: the process at its address is another
   one, or says so.  */
void
misdirections_note (struct router *router, const struct jc_endpoint *endpoint)
{
  jc_misdirected_note (router->misdirected, endpoint->name,
                       endpoint->incarnation, jc_now_ms ());
  log_state (endpoint, "set_aside", "answered");
  check_endpoint (router, endpoint);
}

/* ENDPOINT took a request for its own.  */
void
misdirections_note_answer (struct router *router,
                           const struct jc_endpoint *endpoint)
{
  if (jc_misdirected_note_answer (router->misdirected, endpoint->name,
                                  endpoint->incarnation))
    log_state (endpoint, "back", "answered");
}

/* Return true if a request may be sent to ENDPOINT now as far as misdirected
   ones are concerned.  */
bool
misdirections_may_send (const struct router *router,
                        const struct jc_endpoint *endpoint)
{
  return jc_misdirected_count (router->misdirected) == 0
         || jc_misdirected_may_send (router->misdirected, endpoint->name,
                                     endpoint->incarnation, jc_now_ms ());
}

/* A request is sent to ENDPOINT.  */
void
misdirections_note_send (struct router *router,
                         const struct jc_endpoint *endpoint)
{
  jc_misdirected_note_send (router->misdirected, endpoint->name,
                            endpoint->incarnation, jc_now_ms ());
}
