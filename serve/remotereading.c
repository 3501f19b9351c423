/* Reading that was handed over to another region.

   The room that a region reports is up to a second old, and all instances of
   this region see the same one.  When all of them have many requests at once,
   as after a restart, each would send to the region that was idle when it
   reported.  So an instance adds to the reported time what the engines there
   need to read what was sent since: its own requests, times the number of
   instances of this region, as callers choose among these at random.  */

#include "serve/engineprivate.h"
#include "serve/remote.h"
#include "serve/remotereading.h"

/* Largest part of the engines' time that is taken to be used by others: some is
   always left.  */
#define BUSY_MAX 0.9

enum
{
  PERMILLE = 1000
};

/* Return how many tokens the engines of a region with ROOM read in a
   millisecond, besides what is sent to them from elsewhere.  */
static double
tokens_per_ms (const struct rpc_service_room *room)
{
  double busy = MIN ((double)room->busy_permille / PERMILLE, BUSY_MAX);

  return room->endpoints * PREFILL_TOKENS_PER_MS * (1 - busy);
}

static double
tokens_left (const struct jc_remote_reading *reading,
             const struct rpc_service_room *room, int64_t now_ms)
{
  double age_ms = (double)(now_ms - reading->updated_ms);

  return MAX (reading->tokens - age_ms * tokens_per_ms (room), 0);
}

/* Return the tokens of DEMAND's prompt without its shared parts, which the
   region is taken to have read before.  */
static double
own_tokens (const struct jc_demand *demand)
{
  unsigned int shared = demand->parts_count < 2
                            ? 0
                            : demand->prefix_tokens[demand->parts_count - 2];

  return demand->prompt_tokens > shared ? demand->prompt_tokens - shared : 0;
}

/* Count in READING that one of INSTANCES of this region handed a request with
   DEMAND over to a region with ROOM; the others are taken to do as much.  */
void
jc_remote_reading_add (struct jc_remote_reading *reading,
                       const struct rpc_service_room *room,
                       const struct jc_demand *demand, unsigned int instances,
                       int64_t now_ms)
{
  reading->tokens = tokens_left (reading, room, now_ms)
                    + own_tokens (demand) * MAX (instances, 1);
  reading->updated_ms = now_ms;
}

/* Return the time that the engines of a region with ROOM need for READING at
   NOW_MS, ms, 0 if it has none.  */
int64_t
jc_remote_reading_ms (const struct jc_remote_reading *reading,
                      const struct rpc_service_room *room, int64_t now_ms)
{
  double rate = tokens_per_ms (room);

  return rate > 0 ? (int64_t)(tokens_left (reading, room, now_ms) / rate) : 0;
}

/* Return true if an instance of a region with ROOM would accept a request with
   DEMAND.  READING takes as much of the engines' time there as it would count
   for in the prefill rate that the region reports.  */
bool
jc_remote_reading_has_room (const struct jc_remote_reading *reading,
                            const struct rpc_service_room *room,
                            const struct jc_demand *demand, int64_t now_ms)
{
  struct rpc_service_room filled = *room;

  if (room->endpoints > 0)
    filled.busy_permille += (u_int)(tokens_left (reading, room, now_ms)
                                    / (room->endpoints * PREFILL_TOKENS_PER_MS)
                                    / PREFILL_RATE_WINDOW_MS * PERMILLE);
  return jc_remote_has_room (&filled, demand);
}
