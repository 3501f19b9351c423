/* Leaves that endpoints said in answers to this instance.  It tells state
   instances of each again for some time: one that has just started, or that has
   no leader to record the leave, may forget it.  */

#ifndef JC_LEAVES_H
#define JC_LEAVES_H

#include <glib.h>
#include <stdint.h>

struct jc_leaves;

/* The leave of an incarnation of ENDPOINT, which was read in an answer at
   READ_MS and last told at TOLD_MS.  */
struct jc_leave
{
  char *endpoint;
  uint64_t incarnation;
  int64_t read_ms;
  int64_t told_ms;
};

struct jc_leaves *jc_leaves_new (void);
void jc_leaves_free (struct jc_leaves *leaves);
void jc_leaves_add (struct jc_leaves *leaves, const char *endpoint,
                    uint64_t incarnation, int64_t now_ms);
void jc_leaves_list_due (struct jc_leaves *leaves, int64_t now_ms,
                         GPtrArray *out);

#endif
