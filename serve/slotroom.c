/* Slot room: which requests get a slot of an engine that has few left.  */

#include "serve/slotroom.h"

#include <glib.h>

/* Weight of one answer in the mean time of a service's answers.  */
#define ANSWER_WEIGHT (1.0 / 64)

enum
{
  /* Requests of this priority number or above leave slots free.  */
  YIELDING_PRIORITY = 2,
  /* Part of the slots that those requests may fill.  */
  YIELDING_PERCENT = 75,
  /* Part of the objective in which an urgent request has to get its slot: the
     rest is for its way and its prompt.  */
  WAIT_PERCENT = 50,
  PERCENT = 100,
  /* Services whose answers are measured.  */
  SERVICES_MAX = 64
};

/* MEANS_MS maps names of services to the mean time of their answers, a
   double.  */
struct jc_slot_room
{
  GHashTable *means_ms;
};

struct jc_slot_room *
jc_slot_room_new (void)
{
  struct jc_slot_room *room = g_new0 (struct jc_slot_room, 1);

  room->means_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return room;
}

/* Free ROOM, which may be NULL.  */
void
jc_slot_room_free (struct jc_slot_room *room)
{
  if (room == NULL)
    return;
  g_hash_table_destroy (room->means_ms);
  g_free (room);
}

/* Record that a request of SERVICE took MS at its endpoint, from when it was
   sent until its answer ended.  A full table, which can only hold services that
   no configuration names any longer, is cleared first.  */
void
jc_slot_room_note_answer (struct jc_slot_room *room, const char *service,
                          int64_t ms)
{
  double *mean = g_hash_table_lookup (room->means_ms, service);

  if (mean != NULL)
    {
      *mean += ((double)ms - *mean) * ANSWER_WEIGHT;
      return;
    }
  if (g_hash_table_size (room->means_ms) >= SERVICES_MAX)
    g_hash_table_remove_all (room->means_ms);
  mean = g_new (double, 1);
  *mean = (double)ms;
  g_hash_table_insert (room->means_ms, g_strdup (service), mean);
}

/* Return how many requests may wait at an engine so that the last of them gets
   a slot in time, as QUERY wants it.  */
static unsigned int
waiting_max (const struct jc_slot_room *room, const struct jc_slot_query *query)
{
  const double *mean = g_hash_table_lookup (room->means_ms, query->service);

  if (mean == NULL || *mean < 1)
    return 0;
  return (unsigned int)((double)query->objective_ms * WAIT_PERCENT / PERCENT
                        * query->slots / *mean);
}

/* Return whether QUERY's request may be sent now.  */
bool
jc_slot_room_allows (const struct jc_slot_room *room,
                     const struct jc_slot_query *query)
{
  if (query->slots == 0)
    return true;
  if (query->priority >= YIELDING_PRIORITY)
    return query->running * PERCENT < query->slots * YIELDING_PERCENT;
  return query->objective_ms <= 0 || query->running < query->slots
         || query->running - query->slots < waiting_max (room, query);
}
