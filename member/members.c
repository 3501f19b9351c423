/* Endpoints of an availability zone.  */

#include <string.h>

#include "member/members.h"

struct jc_members
{
  GHashTable *by_name;
};

static void
endpoint_free (gpointer data)
{
  struct jc_endpoint *endpoint = data;

  g_free (endpoint->name);
  g_free (endpoint->address);
  g_free (endpoint->service);
  g_free (endpoint->role);
  g_ptr_array_free (endpoint->models, TRUE);
  g_free (endpoint);
}

/* Return an empty table.  */
struct jc_members *
jc_members_new (void)
{
  struct jc_members *members = g_new0 (struct jc_members, 1);

  members->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, endpoint_free);
  return members;
}

/* Free MEMBERS and its endpoints.  */
void
jc_members_free (struct jc_members *members)
{
  g_hash_table_destroy (members->by_name);
  g_free (members);
}

static bool
endpoint_newer (const struct jc_endpoint *known,
                const struct rpc_endpoint *said)
{
  if (said->incarnation != known->incarnation)
    return said->incarnation > known->incarnation;
  return said->sequence > known->sequence;
}

static void
set_text (char **slot, const char *text)
{
  g_free (*slot);
  *slot = g_strdup (text);
}

static void
endpoint_update (struct jc_endpoint *endpoint, const struct rpc_endpoint *said,
                 int64_t now_ms)
{
  endpoint->incarnation = said->incarnation;
  endpoint->sequence = said->sequence;
  endpoint->leaving = said->leaving;
  endpoint->slots = said->slots;
  endpoint->running = said->running;
  endpoint->queued = said->queued;
  endpoint->tokens_per_s = said->tokens_per_s;
  endpoint->reported_ms = now_ms;
  endpoint->lease_until_ms = now_ms + said->lease_ms;
  set_text (&endpoint->address, said->address);
  set_text (&endpoint->service, said->service);
  set_text (&endpoint->role, said->role);
  g_ptr_array_set_size (endpoint->models, 0);
  for (u_int i = 0; i < said->models.models_len; i++)
    g_ptr_array_add (endpoint->models, g_strdup (said->models.models_val[i]));
}

/* Take what SAID reports at NOW_MS.  Return JC_BEHIND where the table knows
   the same or later.  */
enum jc_status
jc_members_announce (struct jc_members *members,
                     const struct rpc_endpoint *said, int64_t now_ms)
{
  struct jc_endpoint *endpoint
      = g_hash_table_lookup (members->by_name, said->name);

  if (endpoint != NULL && !endpoint_newer (endpoint, said))
    return jc_fail (JC_BEHIND, "A later report of %s is known.", said->name);
  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct jc_endpoint, 1);
      endpoint->name = g_strdup (said->name);
      endpoint->models = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (members->by_name, endpoint->name, endpoint);
    }
  endpoint_update (endpoint, said, now_ms);
  return JC_OK;
}

/* Forget the endpoints whose lease ended before NOW_MS and that have no
   attempt in flight.  */
void
jc_members_expire (struct jc_members *members, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct jc_endpoint *endpoint = value;

      if (endpoint->lease_until_ms < now_ms && endpoint->in_flight == 0)
        g_hash_table_iter_remove (&iter);
    }
}

/* Return the endpoint called NAME, or NULL.  */
struct jc_endpoint *
jc_members_find (const struct jc_members *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

/* Return the number of endpoints known.  */
guint
jc_members_count (const struct jc_members *members)
{
  return g_hash_table_size (members->by_name);
}

/* Tell whether ENDPOINT may get new work at NOW_MS.  */
bool
jc_endpoint_usable (const struct jc_endpoint *endpoint, int64_t now_ms)
{
  return !endpoint->leaving && endpoint->lease_until_ms >= now_ms
         && endpoint->shunned_until_ms <= now_ms;
}

static bool
endpoint_serves (const struct jc_endpoint *endpoint, const char *service,
                 const char *model)
{
  if (strcmp (endpoint->service, service) != 0)
    return false;
  if (model == NULL || model[0] == '\0')
    return true;
  for (guint i = 0; i < endpoint->models->len; i++)
    if (strcmp (g_ptr_array_index (endpoint->models, i), model) == 0)
      return true;
  return false;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  const struct jc_endpoint *left = *(struct jc_endpoint *const *)a;
  const struct jc_endpoint *right = *(struct jc_endpoint *const *)b;

  return strcmp (left->name, right->name);
}

/* Add to OUT, ordered by name, the usable endpoints of SERVICE that serve
   MODEL; an empty MODEL means any.  */
void
jc_members_serving (const struct jc_members *members, const char *service,
                    const char *model, int64_t now_ms, GPtrArray *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct jc_endpoint *endpoint = value;

      if (jc_endpoint_usable (endpoint, now_ms)
          && endpoint_serves (endpoint, service, model))
        g_ptr_array_add (out, endpoint);
    }
  g_ptr_array_sort (out, compare_names);
}
