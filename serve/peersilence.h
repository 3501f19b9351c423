/* Silence of a peer on a connection: how long it has owed an acknowledgement of
   what was sent.  A peer that is in touch acknowledges, whether or not it
   reads; one that is cut off does not.  */

#ifndef JC_PEERSILENCE_H
#define JC_PEERSILENCE_H

#include <stdbool.h>
#include <stdint.h>

/* SINCE_MS is when the peer was first seen to owe the acknowledgement that it
   still owes, 0 if it owes none.  */
struct jc_peersilence
{
  int64_t since_ms;
};

int64_t jc_peersilence_note (struct jc_peersilence *silence, bool owes,
                             int64_t ack_ms_ago, int64_t now_ms);
int64_t jc_peersilence_limit_ms (int64_t pause_ms);

#endif
