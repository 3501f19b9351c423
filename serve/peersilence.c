/* Silence of a peer on a connection.  */

#include <glib.h>

#include "serve/peersilence.h"

enum
{
  LIMIT_MIN_MS = 4000,
  /* What is lost is sent again at intervals that double, so that a link which
     is back after a time is seen to be after twice that time.  */
  BACKOFF = 2,
  ROUND_TRIP_MS = 500
};

/* Note at NOW_MS that the peer OWES an acknowledgement and that its last one
   came ACK_MS_AGO.  Return how long it has been silent, ms.  */
int64_t
jc_peersilence_note (struct jc_peersilence *silence, bool owes,
                     int64_t ack_ms_ago, int64_t now_ms)
{
  if (!owes)
    {
      silence->since_ms = 0;
      return 0;
    }
  /* The peer may be busy on a connection that always has something on its
     way: what it acknowledged was older.  */
  if (silence->since_ms == 0)
    silence->since_ms = now_ms;
  else
    silence->since_ms = MAX (silence->since_ms, now_ms - ack_ms_ago);
  return now_ms - silence->since_ms;
}

/* Return after which silence, ms, the requests of a peer are ended that would
   wait for PAUSE_MS of a pause of their answers.  */
int64_t
jc_peersilence_limit_ms (int64_t pause_ms)
{
  return MAX (BACKOFF * pause_ms + ROUND_TRIP_MS, (int64_t)LIMIT_MIN_MS);
}
