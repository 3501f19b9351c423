/* Slot owners: which entry instance of a region asks for which slot of an
   endpoint whose slots are shared out.  It is the same in each instance that
   knows of the same others, without communication.  Where two think that they
   own a slot, the log decides (member/limitslots); the sum of what is held
   doesn't depend on it.  */

#ifndef JC_SLOTOWNERS_H
#define JC_SLOTOWNERS_H

#include <glib.h>
#include <stdbool.h>

#include "member/limitslots.h"

unsigned int jc_slot_size (unsigned int endpoint_slots, unsigned int slot);
GPtrArray *jc_slot_owners_choose (const GPtrArray *instances,
                                  const char *service, unsigned int slots);
unsigned int jc_slot_owners_wanted (const GPtrArray *owners,
                                    const char *instance, const char *endpoint,
                                    unsigned int endpoint_slots);

#endif
