/* A snapshot on its way to replicas.  */

#ifndef JC_RLOGTRANSFER_H
#define JC_RLOGTRANSFER_H

#include <glib.h>
#include <stdint.h>

/* The snapshot of the entries up to INDEX, of TERM, in the encoding that is
   sent.  It stays the same however many snapshots the leader makes meanwhile,
   so that a transfer ends.  */
struct jc_rlog_transfer
{
  unsigned int refs;
  uint64_t index;
  uint64_t term;
  GString *bytes;
};

void jc_rlog_transfer_unref (struct jc_rlog_transfer *transfer);

#endif
