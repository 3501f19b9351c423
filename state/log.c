/* Log task: the replicated log of the group, so far of one replica.  */

#include "base/journal.h"
#include "state/state.h"

/* The log of this instance.  */
struct log
{
  struct jc_journal *journal;
};

static void
log_apply (struct state *state, struct jc_str record)
{
  struct jc_str data = { .data = record.data + 1, .len = record.len - 1 };

  if (record.data[0] == LOG_LEDGER)
    ledger_applied (state, data);
}

static enum jc_status
on_record (void *ctx, struct jc_str record)
{
  if (record.len == 0)
    return jc_fail (JC_CORRUPT, "The log has an empty entry.");
  log_apply (ctx, record);
  return JC_OK;
}

/* Open the log and hand over its committed entries.  */
enum jc_status
log_start (struct state *state)
{
  enum jc_status status;

  state->log = g_new0 (struct log, 1);
  state->log->journal
      = jc_journal_open (state->disk, "log", on_record, state, &status);
  return status;
}

/* Close the log.  */
void
log_stop (struct state *state)
{
  if (state->log == NULL)
    return;
  jc_journal_free (state->log->journal);
  g_free (state->log);
  state->log = NULL;
}

/* Propose DATA as an entry of KIND; DONE gets CTX and what became of it.  */
void
log_propose (struct state *state, enum log_kind kind, struct jc_str data,
             log_done_fn *done, void *ctx)
{
  GString *record = g_string_new (NULL);
  enum jc_status status;

  g_string_append_c (record, (char)kind);
  g_string_append_len (record, data.data, (gssize)data.len);
  status = jc_journal_append (state->log->journal, jc_str_of (record));
  if (status == JC_OK)
    status = jc_journal_sync (state->log->journal);
  if (status == JC_OK)
    log_apply (state, jc_str_of (record));
  g_string_free (record, TRUE);
  done (ctx, status == JC_OK ? JC_OK : JC_OUTCOME_UNKNOWN);
}
