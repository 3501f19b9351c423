/* Quota credit: what an instance was granted of a workspace's quota and has not
   used yet.  A grant counts as used from when its owner gave it, so it may be
   used only for JC_QUOTACREDIT_MS.  */

#ifndef JC_QUOTACREDIT_H
#define JC_QUOTACREDIT_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Counted from when the grant was asked for, by the clock of the
     instance.  */
  JC_QUOTACREDIT_MS = 250
};

struct jc_quotacredit;

struct jc_quotacredit *jc_quotacredit_new (void);
void jc_quotacredit_free (struct jc_quotacredit *credit);
void jc_quotacredit_add (struct jc_quotacredit *credit, double units,
                         int64_t asked_ms);
bool jc_quotacredit_take (struct jc_quotacredit *credit, double units,
                          int64_t now_ms, int64_t *asked_ms);
void jc_quotacredit_clear (struct jc_quotacredit *credit);
double jc_quotacredit_ahead (struct jc_quotacredit *credit, double units,
                             int64_t now_ms);

#endif
