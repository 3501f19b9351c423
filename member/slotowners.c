/* Slot owners: which entry instance asks for which slot.  */

#include <stdint.h>
#include <string.h>

#include "member/endpoints.h"
#include "member/slotowners.h"

enum
{
  /* Requests that an owner can have at endpoints, at least.  With fewer, some
     owners have callers waiting while others have nothing to do.  */
  OWNER_REQUESTS_MIN = 6
};

/* Return how many of the ENDPOINT_SLOTS requests that an endpoint serves at
   once the lease of SLOT stands for.  Over all JC_LIMIT_SLOTS they add up to
   ENDPOINT_SLOTS.  */
unsigned int
jc_slot_size (unsigned int endpoint_slots, unsigned int slot)
{
  uint64_t slots = endpoint_slots;

  return (unsigned int)((slot + 1) * slots / JC_LIMIT_SLOTS
                        - slot * slots / JC_LIMIT_SLOTS);
}

/* Order names by their hash for the service SERVICE, then by name.  */
static int
compare_rank (gconstpointer a, gconstpointer b, gpointer service)
{
  const char *left = *(const char *const *)a;
  const char *right = *(const char *const *)b;
  uint64_t left_hash = jc_name_pair_hash (left, service);
  uint64_t right_hash = jc_name_pair_hash (right, service);

  if (left_hash != right_hash)
    return left_hash < right_hash ? -1 : 1;
  return strcmp (left, right);
}

/* Return those of INSTANCES, names, that own slots of SERVICE, whose endpoints
   serve SLOTS requests at once.  The caller frees the array, not the names.  */
GPtrArray *
jc_slot_owners_choose (const GPtrArray *instances, const char *service,
                       unsigned int slots)
{
  GPtrArray *owners = g_ptr_array_copy ((GPtrArray *)instances, NULL, NULL);
  guint count = MAX (slots / OWNER_REQUESTS_MIN, 1);

  g_ptr_array_sort_with_data (owners, compare_rank, (gpointer)service);
  if (owners->len > count)
    g_ptr_array_set_size (owners, (gint)count);
  return owners;
}

/* Return the one of OWNERS that owns SLOT of ENDPOINT.  */
static const char *
owner_of (const GPtrArray *owners, const char *endpoint, unsigned int slot)
{
  char *key = g_strdup_printf ("%u %s", slot, endpoint);
  const char *best = NULL;
  uint64_t heaviest = 0;

  for (guint i = 0; i < owners->len; i++)
    {
      const char *owner = g_ptr_array_index (owners, i);
      uint64_t weight = jc_name_pair_hash (owner, key);

      if (best == NULL || weight > heaviest)
        {
          best = owner;
          heaviest = weight;
        }
    }
  g_free (key);
  return best;
}

/* Return a bit for each slot of ENDPOINT, which serves ENDPOINT_SLOTS requests
   at once, that INSTANCE owns as one of OWNERS.  */
unsigned int
jc_slot_owners_wanted (const GPtrArray *owners, const char *instance,
                       const char *endpoint, unsigned int endpoint_slots)
{
  unsigned int wanted = 0;

  for (unsigned int slot = 0; slot < JC_LIMIT_SLOTS; slot++)
    {
      const char *owner = owner_of (owners, endpoint, slot);

      if (jc_slot_size (endpoint_slots, slot) > 0 && owner != NULL
          && strcmp (owner, instance) == 0)
        wanted |= 1U << slot;
    }
  return wanted;
}
