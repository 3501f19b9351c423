/* Leases of shares: requests for slots of endpoints with refusal limits, and
   what this instance does where it gets none.  */

#include <inttypes.h>
#include <string.h>

#include "base/event.h"
#include "entry/shares.h"
#include "member/slotowners.h"
#include "net/program.h"

enum
{
  /* Interval of the requests for slots.  */
  REQUEST_INTERVAL_MS = 500,
  /* Until this long after a refusal limit was first heard, all instances of the
     region count as knowing it; later those that say so.  */
  SPREAD_MS = 1500,
  /* Slots that were asked for in vain for this long can't be leased.  An
     instance asks so long before its leases end.  */
  UNANSWERED_MS = 3000
};

/* Return whether this instance can't lease slots of SERVICE: it has asked for
   some time, and got none.  */
bool
shares_is_unanswered (const struct router *router, const char *service)
{
  const struct shared_service *known
      = g_hash_table_lookup (router->shares->services, service);

  return known != NULL && known->unanswered_ms > 0
         && jc_boot_ms () - known->unanswered_ms >= UNANSWERED_MS;
}

/* Return whether this instance takes part in sharing out SERVICE's slots.  */
bool
shares_takes_part (const struct router *router, const char *service)
{
  return !router->entry->draining && !jc_reach_is_lost (router->reach, service);
}

/* Return whether no instance of the region can lease slots of SERVICE, as far
   as this one hears.  */
static bool
is_cut_off (const struct router *router, const char *service)
{
  return shares_is_unanswered (router, service)
         && !jc_share_peers_have_leases (router->shares->peers, service,
                                         jc_boot_ms ());
}

/* Return the instances that may own slots of SERVICE, names that belong to
   ROUTER: those that can lease slots, or all if none can, so that each goes on
   with those that it has leased before.  */
static GPtrArray *
list_instances (struct router *router, const char *service)
{
  GPtrArray *names = g_ptr_array_new ();
  const struct shared_service *known
      = g_hash_table_lookup (router->shares->services, service);
  int64_t now = jc_boot_ms ();

  if (now - known->since_ms < SPREAD_MS)
    remotes_list_in_region (router, service, names);
  else
    jc_share_peers_list_names (router->shares->peers, service,
                               is_cut_off (router, service), now, names);
  g_ptr_array_add (names, router->entry->settings->name);
  return names;
}

static unsigned int
count_slots (const GPtrArray *endpoints)
{
  unsigned int slots = 0;

  for (guint i = 0; i < endpoints->len; i++)
    slots += ((struct jc_endpoint *)g_ptr_array_index (endpoints, i))->slots;
  return slots;
}

/* Append to LIMITED, an array of struct rpc_limited, and WANTED the slots of
   SERVICE that are to be leased now.  Where no instance can lease any, each
   uses those that it owns, so that the region goes on serving: all that hear
   each other agree on them.  */
static void
collect_due (struct router *router, const char *service, GArray *limited,
             GArray *wanted)
{
  const char *own = router->entry->settings->name;
  GPtrArray *endpoints = shares_list_endpoints (router, service);
  GPtrArray *instances = list_instances (router, service);
  GPtrArray *owners
      = jc_slot_owners_choose (instances, service, count_slots (endpoints));
  bool cut_off = is_cut_off (router, service);
  int64_t now = jc_boot_ms ();

  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct jc_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      const struct rpc_limited row
          = { .endpoint = endpoint->name,
              .endpoint_incarnation = endpoint->incarnation,
              .named = true };
      unsigned int owned = jc_slot_owners_wanted (owners, own, endpoint->name,
                                                  MAX (endpoint->slots, 1));
      u_int due = jc_shares_due (router->shares->shares, endpoint, owned, now);

      if (cut_off)
        jc_shares_use_unleased (router->shares->shares, endpoint, owned,
                                now + 2 * REQUEST_INTERVAL_MS, now);
      if (due == 0)
        continue;
      g_array_append_val (limited, row);
      g_array_append_val (wanted, due);
    }
  g_ptr_array_free (owners, TRUE);
  g_ptr_array_free (instances, TRUE);
  g_ptr_array_free (endpoints, TRUE);
}

/* Note whether slots of SERVICE are being asked for, HAS_DUE.  */
static void
note_asked (struct router *router, const char *service, bool has_due)
{
  struct shared_service *known
      = g_hash_table_lookup (router->shares->services, service);
  bool was_unanswered = shares_is_unanswered (router, service);

  if (!has_due)
    known->unanswered_ms = 0;
  else if (known->unanswered_ms == 0)
    known->unanswered_ms = jc_boot_ms ();
  else if (!was_unanswered && shares_is_unanswered (router, service))
    jc_event (JC_EVENT_SHARE, "service=%s outcome=unanswered", service);
}

/* Request the slots that are due from the state instance that this instance
   gets its orders from.  */
static void
request_slots (struct router *router, const GPtrArray *services)
{
  struct rpc_packet packet = { .body.type = RPC_LIMIT_REQUEST };
  struct rpc_limit_request *request = &packet.body.rpc_body_u.limit_request;
  GArray *limited = g_array_new (FALSE, FALSE, sizeof (struct rpc_limited));
  GArray *wanted = g_array_new (FALSE, FALSE, sizeof (u_int));

  for (guint i = 0; i < services->len; i++)
    {
      const char *service = g_ptr_array_index (services, i);
      guint before = limited->len;

      if (shares_takes_part (router, service))
        collect_due (router, service, limited, wanted);
      note_asked (router, service, limited->len > before);
    }
  request->requested_ms = (uint64_t)jc_boot_ms ();
  request->limited.limited_val = (struct rpc_limited *)limited->data;
  request->limited.limited_len = MIN (limited->len, JC_LIMIT_REQUEST_MAX);
  request->wanted.wanted_val = (u_int *)wanted->data;
  request->wanted.wanted_len = request->limited.limited_len;
  if (limited->len > 0 && router->orders_source != NULL)
    jc_rpc_send (router->orders_source, &packet);
  g_array_free (limited, TRUE);
  g_array_free (wanted, TRUE);
}

/* Note when each of SERVICES was first heard to have a refusal limit, and
   forget those whose limit has ended.  */
static void
update_services (struct router *router, const GPtrArray *services)
{
  GHashTable *known = router->shares->services;
  int64_t now = jc_boot_ms ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, known);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (jc_shares_heard_ms (router->shares->shares, name, now) < 0)
      {
        jc_event (JC_EVENT_SHARE, "service=%s refusals_max=-1", (char *)name);
        g_hash_table_iter_remove (&iter);
      }
  for (guint i = 0; i < services->len; i++)
    {
      struct shared_service *added;

      name = g_ptr_array_index (services, i);
      if (g_hash_table_contains (known, name))
        continue;
      added = g_new0 (struct shared_service, 1);
      added->since_ms = now;
      g_hash_table_insert (known, g_strdup (name), added);
      router->shares->requested_ms = 0;
    }
}

/* Request slots if that is due, and forget what is old.  */
void
shares_tick (struct router *router)
{
  struct entry_shares *shares = router->shares;
  int64_t now = jc_boot_ms ();
  GPtrArray *services = g_ptr_array_new ();

  jc_shares_list_services (shares->shares, now, services);
  update_services (router, services);
  if (now - shares->requested_ms >= REQUEST_INTERVAL_MS)
    {
      shares->requested_ms = now;
      jc_shares_expire (shares->shares, now);
      jc_share_peers_expire (shares->peers, now);
      if (services->len > 0)
        request_slots (router, services);
    }
  g_ptr_array_free (services, TRUE);
}

/* Apply LEASE of a slot.  */
static void
apply_lease (struct router *router, const struct rpc_limit_lease *lease)
{
  const struct jc_endpoint *endpoint
      = jc_endpoints_find (router->endpoints, lease->endpoint);
  struct shared_service *known
      = endpoint != NULL
            ? g_hash_table_lookup (router->shares->services, endpoint->service)
            : NULL;

  if (known != NULL)
    known->unanswered_ms = 0;
  jc_shares_note_lease (router->shares->shares, lease, jc_boot_ms ());
}

/* Apply REPLY of a state instance to a request for slots.  */
void
shares_handle_reply (struct router *router, const struct rpc_limit_reply *reply)
{
  for (u_int i = 0; i < reply->leases.leases_len; i++)
    apply_lease (router, &reply->leases.leases_val[i]);
  if (jc_waiting_length (waitqueue_waiting (router->wait_queue)) > 0)
    shares_schedule_dispatch (router);
}
