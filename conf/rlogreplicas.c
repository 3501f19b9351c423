/* Replicated log: proposals to change the set of replicas.  */

#include "conf/rlogprivate.h"

static void
propose_replicas (struct jc_rlog *log, const struct rpc_replicas *replicas,
                  jc_rlog_done_fn *done, void *ctx)
{
  GString *data = g_string_new (NULL);

  jc_replicas_encode (replicas, data);
  jc_rlog_propose (log, JC_RLOG_REPLICAS, jc_str_from_gstring (data), done,
                   ctx);
  g_string_free (data, TRUE);
}

/* Return whether the replica set may be changed now.  A leader makes one change
   at a time, and none before an entry of its own term is committed.  */
bool
jc_rlog_may_change_replicas (const struct jc_rlog *log)
{
  return log->role == JC_RLOG_LEADER && log->replicas_index <= log->commit_index
         && log->commit_index >= log->term_start_index;
}

static void
change_replicas (struct jc_rlog *log, const struct rpc_replica *put,
                 const char *remove, jc_rlog_done_fn *done, void *ctx)
{
  struct rpc_replicas next;
  enum jc_status status = JC_OK;

  if (!jc_rlog_may_change_replicas (log))
    {
      done (ctx, JC_NOT_LEADER);
      return;
    }
  jc_replicas_copy (&next, &log->replicas);
  if (put != NULL)
    jc_replicas_put (&next, put);
  else if (!jc_replicas_remove (&next, remove))
    status = JC_NOT_FOUND;
  if (status == JC_OK && jc_replicas_count_voters (&next) == 0)
    status = JC_BAD_REQUEST;
  if (status == JC_OK)
    propose_replicas (log, &next, done, ctx);
  else
    done (ctx, status);
  jc_replicas_clear (&next);
}

/* Propose to add REPLICA to the replica set or to replace the entry of its
   name.  */
void
jc_rlog_propose_replica (struct jc_rlog *log, const struct rpc_replica *replica,
                         jc_rlog_done_fn *done, void *ctx)
{
  change_replicas (log, replica, NULL, done, ctx);
}

/* Propose to add the replica NAME, or to change whether it is STANDING, that
   is, designated to become a voter.  A replica that is in the set already
   keeps its disk incarnation, and its vote if it stays designated.  Refused
   with JC_NOT_LEADER while jc_rlog_may_change_replicas is false.  */
void
jc_rlog_put_replica (struct jc_rlog *log, const char *name, bool standing,
                     jc_rlog_done_fn *done, void *ctx)
{
  const struct rpc_replica *known = jc_replicas_find (&log->replicas, name);
  struct rpc_replica next = { .name = (char *)name, .standing = standing };

  if (known != NULL)
    {
      next.incarnation = known->incarnation;
      next.voter = known->voter && standing;
    }
  change_replicas (log, &next, NULL, done, ctx);
}

/* Propose to remove the replica NAME.  Refused with JC_NOT_LEADER while
   jc_rlog_may_change_replicas is false, with JC_NOT_FOUND if NAME is not in
   the set, and with JC_BAD_REQUEST if no voter would be left.  */
void
jc_rlog_remove_replica (struct jc_rlog *log, const char *name,
                        jc_rlog_done_fn *done, void *ctx)
{
  change_replicas (log, NULL, name, done, ctx);
}
