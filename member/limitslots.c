/* Slots of the rate limits that endpoints name.  */

#include <string.h>

#include "base/xdrencode.h"
#include "member/limitslotsprivate.h"
#include "member/quotaslots.h"

enum
{
  /* More than the 3,400 endpoints of docs/CAPACITY.md.  An endpoint without a
     row gets no requests from instances that know of its limit.  */
  ROWS_MAX = 4096,
  /* A lease is renewed once it is this old.  */
  RENEW_MS = 1000,
  /* A lease is taken to have ended this long after it was applied.  The excess
     over JC_LIMIT_LEASE_MS is for clocks that run at different speeds.  */
  LAPSE_MS = JC_LIMIT_LEASE_MS + 1000,
  /* An instance that has a slot leaves a free one to others for this long.  */
  SPREAD_MS = 1000
};

static void
row_free (gpointer data)
{
  struct limit_row *row = data;

  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    g_free (row->slots[i].instance);
  g_free (row->endpoint);
  g_free (row);
}

/* Return an empty table, to be freed with jc_limit_slots_free.  */
struct jc_limit_slots *
jc_limit_slots_new (void)
{
  struct jc_limit_slots *slots = g_new0 (struct jc_limit_slots, 1);

  slots->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  return slots;
}

/* Free SLOTS, which may be NULL.  */
void
jc_limit_slots_free (struct jc_limit_slots *slots)
{
  if (slots == NULL)
    return;
  g_hash_table_destroy (slots->by_key);
  g_free (slots);
}

/* Return the number of incarnations of endpoints that have slots.  */
unsigned int
jc_limit_slots_count (const struct jc_limit_slots *slots)
{
  return g_hash_table_size (slots->by_key);
}

static char *
row_key (const char *endpoint, uint64_t incarnation)
{
  return g_strdup_printf ("%s %" G_GUINT64_FORMAT, endpoint, incarnation);
}

/* Return the row of INCARNATION of ENDPOINT, or NULL.  */
struct limit_row *
limit_row_find (const struct jc_limit_slots *slots, const char *endpoint,
                uint64_t incarnation)
{
  char *key = row_key (endpoint, incarnation);
  struct limit_row *row = g_hash_table_lookup (slots->by_key, key);

  g_free (key);
  return row;
}

/* Add the row of INCARNATION of ENDPOINT, which has none yet.  */
struct limit_row *
limit_row_add (struct jc_limit_slots *slots, const char *endpoint,
               uint64_t incarnation, int64_t now_ms)
{
  struct limit_row *row = g_new0 (struct limit_row, 1);

  row->endpoint = g_strdup (endpoint);
  row->endpoint_incarnation = incarnation;
  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    row->slots[i].applied_ms = now_ms;
  g_hash_table_insert (slots->by_key, row_key (endpoint, incarnation), row);
  return row;
}

static bool
slot_is_held_by (const struct limit_slot *slot,
                 const struct jc_limit_holder *holder)
{
  return slot->instance != NULL
         && slot->instance_incarnation == holder->incarnation
         && strcmp (slot->instance, holder->instance) == 0;
}

/* Return since when SLOT can be given to any instance; later than now if it
   can't be yet.  */
static int64_t
slot_free_since_ms (const struct limit_slot *slot)
{
  return slot->instance != NULL ? slot->applied_ms + LAPSE_MS
                                : slot->applied_ms;
}

static void
add_change (GArray *changes, enum rpc_limit_op op,
            const struct rpc_limited *limited,
            const struct jc_limit_holder *holder, unsigned int slot,
            uint64_t revision, uint64_t requested_ms)
{
  const struct rpc_limit_change change
      = { .op = op,
          .endpoint = limited->endpoint,
          .endpoint_incarnation = limited->endpoint_incarnation,
          .slot = slot,
          .revision = revision,
          .instance = (char *)holder->instance,
          .instance_incarnation = holder->incarnation,
          .requested_ms = requested_ms };

  g_array_append_val (changes, change);
}

/* Add to CHANGES the renewals of HOLDER's slots of ROW, and the lease of one
   more slot if one is free.  ROW is NULL if the endpoint has none yet.  */
static void
plan_leases (const struct limit_row *row, const struct rpc_limited *limited,
             const struct jc_limit_holder *holder, uint64_t requested_ms,
             int64_t now_ms, GArray *changes)
{
  unsigned int first = g_str_hash (holder->instance) % JC_LIMIT_SLOTS;
  const struct limit_slot *free_slot = NULL;
  unsigned int free_index = first;
  unsigned int held = 0;

  for (unsigned int i = 0; row != NULL && i < JC_LIMIT_SLOTS; i++)
    {
      unsigned int index = (first + i) % JC_LIMIT_SLOTS;
      const struct limit_slot *slot = &row->slots[index];

      if (slot_is_held_by (slot, holder))
        {
          held++;
          if (now_ms - slot->applied_ms >= RENEW_MS)
            add_change (changes, RPC_LIMIT_LEASE, limited, holder, index,
                        slot->revision, requested_ms);
        }
      else if (free_slot == NULL && slot_free_since_ms (slot) <= now_ms)
        {
          free_slot = slot;
          free_index = index;
        }
    }
  if (row == NULL
      || (free_slot != NULL
          && (held == 0
              || slot_free_since_ms (free_slot) <= now_ms - SPREAD_MS)))
    add_change (changes, RPC_LIMIT_LEASE, limited, holder, free_index,
                free_slot != NULL ? free_slot->revision : 0, requested_ms);
}

/* Add to CHANGES the leases and renewals of those slots of ROW that HOLDER has
   or that are free, of WANTED, a bit for each.  ROW is NULL if the endpoint has
   none yet.  */
static void
plan_wanted (const struct limit_row *row, const struct rpc_limited *limited,
             const struct jc_limit_holder *holder, unsigned int wanted,
             uint64_t requested_ms, int64_t now_ms, GArray *changes)
{
  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    {
      const struct limit_slot *slot = row != NULL ? &row->slots[i] : NULL;

      if ((wanted & (1U << i)) == 0)
        continue;
      if (slot == NULL
          || (slot_is_held_by (slot, holder)
                  ? now_ms - slot->applied_ms >= RENEW_MS
                  : slot_free_since_ms (slot) <= now_ms))
        add_change (changes, RPC_LIMIT_LEASE, limited, holder, i,
                    slot != NULL ? slot->revision : 0, requested_ms);
    }
}

/* Add to CHANGES, an array of struct rpc_limit_change, what should be proposed
   for REQUEST of HOLDER, and to ENDED, an array of struct rpc_limited, those of
   its endpoints whose limit has ended.  Their strings belong to REQUEST and
   HOLDER.  */
void
jc_limit_slots_plan (const struct jc_limit_slots *slots,
                     const struct jc_limit_holder *holder,
                     const struct rpc_limit_request *request, int64_t now_ms,
                     GArray *changes, GArray *ended)
{
  for (u_int i = 0; i < request->limited.limited_len; i++)
    {
      const struct rpc_limited *limited = &request->limited.limited_val[i];
      const struct limit_row *row = limit_row_find (
          slots, limited->endpoint, limited->endpoint_incarnation);

      if (limited->ended)
        {
          if (row != NULL && !row->ended)
            add_change (changes, RPC_LIMIT_END, limited, holder, 0, 0, 0);
        }
      else if (row != NULL && row->ended && !limited->named)
        g_array_append_val (ended, *limited);
      else
        {
          if (row != NULL && row->ended)
            add_change (changes, RPC_LIMIT_NAMED, limited, holder, 0, 0, 0);
          if (i < request->wanted.wanted_len)
            plan_wanted (row, limited, holder, request->wanted.wanted_val[i],
                         request->requested_ms, now_ms, changes);
          else
            plan_leases (row, limited, holder, request->requested_ms, now_ms,
                         changes);
        }
    }
}

/* Add to CHANGES the removal of endpoints' rows of which no slot can be in use.
   Their strings belong to SLOTS.  */
void
jc_limit_slots_plan_cleanup (const struct jc_limit_slots *slots, int64_t now_ms,
                             GArray *changes)
{
  const struct jc_limit_holder nobody = { .instance = "" };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, slots->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct limit_row *row = value;
      const struct rpc_limited limited
          = { .endpoint = row->endpoint,
              .endpoint_incarnation = row->endpoint_incarnation };
      bool unused = !jc_quota_slots_is_subject (row->endpoint)
                    && now_ms - row->applied_ms >= LAPSE_MS;

      for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
        unused = unused && slot_free_since_ms (&row->slots[i]) <= now_ms;
      if (unused)
        add_change (changes, RPC_LIMIT_DROP, &limited, &nobody, 0,
                    row->revision, 0);
    }
}

/* Return CHANGES encoded (XDR) as the data of a log entry.  */
GString *
jc_limit_changes_encode (const GArray *changes)
{
  const struct rpc_limit_changes message
      = { .list = { .list_len = changes->len,
                    .list_val = (struct rpc_limit_change *)changes->data } };

  return jc_xdr_encode ((xdrproc_t)xdr_rpc_limit_changes, &message);
}

/* Decode DATA, a log entry, into OUT, to be freed with xdr_free in any case.
   Return false if it is malformed.  */
bool
jc_limit_changes_decode (struct jc_str data, struct rpc_limit_changes *out)
{
  XDR xdr;
  bool ok;

  memset (out, 0, sizeof *out);
  xdrmem_create (&xdr, (char *)data.data, (u_int)data.len, XDR_DECODE);
  ok = xdr_rpc_limit_changes (&xdr, out);
  xdr_destroy (&xdr);
  return ok;
}

static bool
apply_lease (struct jc_limit_slots *slots,
             const struct rpc_limit_change *change, int64_t now_ms)
{
  struct limit_row *row
      = limit_row_find (slots, change->endpoint, change->endpoint_incarnation);
  struct limit_slot *slot;

  if (change->slot >= JC_LIMIT_SLOTS
      || (row == NULL
          && (change->revision != 0
              || jc_limit_slots_count (slots) >= ROWS_MAX)))
    return false;
  if (row == NULL)
    row = limit_row_add (slots, change->endpoint, change->endpoint_incarnation,
                         now_ms);
  slot = &row->slots[change->slot];
  if (slot->revision != change->revision)
    return false;
  g_free (slot->instance);
  slot->instance = g_strdup (change->instance);
  slot->instance_incarnation = change->instance_incarnation;
  slot->revision = row->revision = ++slots->revision;
  slot->applied_ms = row->applied_ms = now_ms;
  return true;
}

/* Mark the row of CHANGE as ended and free the slots of the instance that got
   an answer without a limit, since it has stopped to use them.  */
static bool
apply_end (struct jc_limit_slots *slots, const struct rpc_limit_change *change,
           int64_t now_ms)
{
  const struct jc_limit_holder holder
      = { .instance = change->instance,
          .incarnation = change->instance_incarnation };
  struct limit_row *row
      = limit_row_find (slots, change->endpoint, change->endpoint_incarnation);

  if (row == NULL)
    return false;
  row->ended = true;
  row->revision = ++slots->revision;
  row->applied_ms = now_ms;
  for (unsigned int i = 0; i < JC_LIMIT_SLOTS; i++)
    {
      struct limit_slot *slot = &row->slots[i];

      if (!slot_is_held_by (slot, &holder))
        continue;
      g_clear_pointer (&slot->instance, g_free);
      slot->revision = row->revision;
      slot->applied_ms = now_ms;
    }
  return true;
}

static bool
apply_named (struct jc_limit_slots *slots,
             const struct rpc_limit_change *change, int64_t now_ms)
{
  struct limit_row *row
      = limit_row_find (slots, change->endpoint, change->endpoint_incarnation);

  if (row == NULL)
    return false;
  row->ended = false;
  row->revision = ++slots->revision;
  row->applied_ms = now_ms;
  return true;
}

static bool
apply_drop (struct jc_limit_slots *slots, const struct rpc_limit_change *change)
{
  const struct limit_row *row
      = limit_row_find (slots, change->endpoint, change->endpoint_incarnation);
  char *key;

  if (row == NULL || row->revision != change->revision)
    return false;
  key = row_key (change->endpoint, change->endpoint_incarnation);
  g_hash_table_remove (slots->by_key, key);
  g_free (key);
  return true;
}

/* Apply CHANGE, a part of a committed log entry.  Return false if it is void:
   what it is based on has changed.  */
bool
jc_limit_slots_apply (struct jc_limit_slots *slots,
                      const struct rpc_limit_change *change, int64_t now_ms)
{
  switch (change->op)
    {
    case RPC_LIMIT_LEASE:
      return apply_lease (slots, change, now_ms);
    case RPC_LIMIT_END:
      return apply_end (slots, change, now_ms);
    case RPC_LIMIT_NAMED:
      return apply_named (slots, change, now_ms);
    case RPC_LIMIT_DROP:
      return apply_drop (slots, change);
    }
  return false;
}
