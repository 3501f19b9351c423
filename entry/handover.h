/* Hand-over of attempts to an entry instance of another region.  */

#ifndef ENTRY_HANDOVER_H
#define ENTRY_HANDOVER_H

#include "entry/entry.h"
#include "serve/request.h"

struct handover;

/* Events of a handed-over attempt: the HEAD of the answer, parts of its body
   as DATA, and its end.  DONE comes last; the hand-over is freed after it.  */
struct handover_ops
{
  void (*head) (void *ctx, const struct rpc_handover_head *head);
  void (*data) (void *ctx, struct jc_str data);
  void (*done) (void *ctx, const struct jc_attempt_end *end);
};

/* The request of an attempt to hand over.  PATH is the endpoint's and includes
   the query.  Nothing of it is kept after handover_send.  */
struct handover_spec
{
  const char *product;
  const char *route;
  const char *method;
  const char *path;
  const char *content_type;
  struct jc_str body;
  const struct jc_attempt *attempt;
};

struct handover *handover_send (struct entry *entry, struct jc_rpc_conn *conn,
                                const struct handover_spec *spec,
                                const struct handover_ops *ops, void *ctx);
void handover_cancel (struct handover *handover);

#endif
