/* A relay of TCP connections on a libev loop that harms what passes, for
   tests of connections between processes.  */

#ifndef RELAY_H
#define RELAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* What a relay does to what passes.  */
enum relay_fault
{
  RELAY_FAULT_NONE,
  RELAY_FAULT_STALL,
  RELAY_FAULT_CORRUPT,
  RELAY_FAULT_DUPLICATE,
  RELAY_FAULT_REFLECT
};

struct relay;

struct relay *relay_new (struct ev_loop *loop, int target_port);
void relay_free (struct relay *relay);
int relay_port (const struct relay *relay);
void relay_set_fault (struct relay *relay, enum relay_fault harm);
unsigned int relay_accepted_count (const struct relay *relay);
int relay_last_peer_port (const struct relay *relay);

#endif
