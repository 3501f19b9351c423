/* A ledger, its copies, owners and a service on virtual time, with faults.  */

#ifndef LEDGERSIM_H
#define LEDGERSIM_H

#include "ledger/copy.h"
#include "ledger/ledger.h"
#include "ledger/owner.h"

enum
{
  SIM_LEDGER,
  SIM_E1,
  SIM_E2,
  SIM_E3,
  SIM_LOG,
  SIM_SERVICE,
  SIM_NODES
};

/* Faults; those of a message strike the one that is delivered next.  */
enum sim_fault
{
  SIM_NONE,
  SIM_KILL,
  SIM_WIPE,
  SIM_FREEZE,
  SIM_FREEZE_LONG,
  SIM_CUT,
  SIM_DISK,
  SIM_DUPLICATE,
  SIM_DUPLICATE_LATE,
  SIM_DELAY,
  SIM_REORDER
};

struct sim_strike
{
  enum sim_fault fault;
  int node;
  guint step;
};

/* A caller's request and what became of it.  */
struct sim_request
{
  struct jc_owner owner;
  struct sim *sim;
  guint number;
  int node;
  uint64_t incarnation;
  char *key;
  char *claim_id;
  bool told;
  enum jc_status status;
  char *answer;
  guint runs;
};

struct sim;

struct sim *sim_new (const struct sim_strike *strikes, guint count);
void sim_free (struct sim *sim);
void sim_run (struct sim *sim, int64_t until_ms);
int64_t sim_now (const struct sim *sim);
guint sim_steps (const struct sim *sim);
void sim_strike (struct sim *sim, enum sim_fault fault, int node);
struct sim_request *sim_ask (struct sim *sim, int node, const char *key,
                             const char *body);
struct jc_ledger *sim_ledger (const struct sim *sim);
const char *sim_check (const struct sim *sim);
int sim_node (const char *name);

#endif
