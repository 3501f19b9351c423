/* A TCP relay on a libev loop that injects faults into the forwarded data, for
   tests of connections between processes.  */

#ifndef RELAY_H
#define RELAY_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* Faults of a relay.  STALL stops forwarding in both directions.  CORRUPT
   flips a bit, DUPLICATE sends a chunk twice and REFLECT sends it back to the
   client as well; these three affect only the next chunk from a client.  */
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
void relay_set_fault (struct relay *relay, enum relay_fault fault);
unsigned int relay_accepted_count (const struct relay *relay);
int relay_last_peer_port (const struct relay *relay);

#endif
