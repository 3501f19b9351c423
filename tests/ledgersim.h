/* Simulation of a ledger, its copies, the owners of requests and a service on
   virtual time, with faults.  */

#ifndef LEDGERSIM_H
#define LEDGERSIM_H

#include "ledger/copy.h"
#include "ledger/ledger.h"
#include "ledger/owner.h"

enum
{
  LEDGERSIM_LEDGER,
  LEDGERSIM_ENTRY1,
  LEDGERSIM_ENTRY2,
  LEDGERSIM_ENTRY3,
  LEDGERSIM_LOG,
  LEDGERSIM_SERVICE,
  LEDGERSIM_NODES
};

/* Kinds of faults.  From LEDGERSIM_DUPLICATE on they affect the message that
   is delivered at their step, and the node is ignored.  */
enum ledgersim_fault_kind
{
  LEDGERSIM_NO_FAULT,
  LEDGERSIM_KILL,
  LEDGERSIM_WIPE,
  LEDGERSIM_FREEZE,
  LEDGERSIM_FREEZE_LONG,
  LEDGERSIM_CUT,
  LEDGERSIM_DISK_FAIL,
  LEDGERSIM_DUPLICATE,
  LEDGERSIM_DUPLICATE_LATE,
  LEDGERSIM_DELAY,
  LEDGERSIM_REORDER
};

/* A fault of NODE that is injected before message number STEP is
   delivered.  */
struct ledgersim_fault
{
  enum ledgersim_fault_kind kind;
  int node;
  guint step;
};

/* A caller's request.  INCARNATION is that of the entry instance NODE when it
   was sent.  ANSWER is the body of the request, which serves as its digest,
   until the caller is answered with STATUS; then it is the body of the answer.
   RUNS counts the runs at the service.  */
struct ledgersim_request
{
  struct jc_owner owner;
  struct ledgersim *sim;
  guint number;
  int node;
  uint64_t incarnation;
  char *key;
  char *claim_id;
  bool answered;
  enum jc_status status;
  char *answer;
  guint runs;
};

struct ledgersim;

struct ledgersim *ledgersim_new (const struct ledgersim_fault *faults,
                                 guint count);
void ledgersim_free (struct ledgersim *sim);
void ledgersim_run_until (struct ledgersim *sim, int64_t until_ms);
int64_t ledgersim_now_ms (const struct ledgersim *sim);
guint ledgersim_steps (const struct ledgersim *sim);
void ledgersim_inject_fault (struct ledgersim *sim,
                             enum ledgersim_fault_kind kind, int index);
struct ledgersim_request *ledgersim_send_request (struct ledgersim *sim,
                                                  int node, const char *key,
                                                  const char *body);
struct jc_ledger *ledgersim_ledger (const struct ledgersim *sim);
const char *ledgersim_violation (const struct ledgersim *sim);
int ledgersim_find_node (const char *name);

#endif
