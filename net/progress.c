/* Detection of answers that make no progress.  */

#include "net/progress.h"

enum
{
  /* Bytes of a body that count as progress: about one TCP window of a slow
     connection.  A peer that sends single bytes to stay alive takes longer for
     a block than any working answer.  */
  BLOCK_BYTES = 16 * 1024,
  /* Limit on bytes without a step: the largest event of a stream and its
     framing.  */
  BYTES_WITHOUT_STEP_MAX = 1024 * 1024 + 64 * 1024,
  /* Limit on interim heads before the final one; servers send one or two.  */
  INTERIM_HEADS_MAX = 16
};

/* Make the next step due WAIT_MS after NOW_MS; 0 for no limit.  */
static void
set_due (struct jc_progress *progress, int64_t wait_ms, int64_t now_ms)
{
  progress->due_ms = wait_ms > 0 ? now_ms + wait_ms : 0;
}

/* Initialize PROGRESS for a request that is sent at NOW_MS.  */
void
jc_progress_start (struct jc_progress *progress,
                   const struct jc_progress_limits *limits, int64_t now_ms)
{
  *progress = (struct jc_progress){ .limits = *limits };
  set_due (progress, limits->first_ms, now_ms);
}

/* Record COUNT received bytes of any kind.  Return false if the answer is to
   be aborted since too many came without a step.  */
bool
jc_progress_count_bytes (struct jc_progress *progress, size_t count)
{
  progress->bytes_since_step += count;
  if (progress->bytes_since_step > BYTES_WITHOUT_STEP_MAX)
    progress->fault = JC_PROGRESS_ENDLESS;
  return progress->fault == JC_PROGRESS_NO_FAULT;
}

/* Record an interim head.  Return false if the answer is to be aborted since
   there were too many.  */
bool
jc_progress_interim (struct jc_progress *progress)
{
  if (++progress->interim_heads > INTERIM_HEADS_MAX)
    progress->fault = JC_PROGRESS_TOO_MANY_INTERIMS;
  return progress->fault == JC_PROGRESS_NO_FAULT;
}

/* Record that the final head is complete.  With JC_PROGRESS_STEPS the time for
   the first step goes on.  */
void
jc_progress_head (struct jc_progress *progress, int64_t now_ms)
{
  progress->head_received = true;
  progress->bytes_since_step = 0;
  if (progress->limits.kind != JC_PROGRESS_STEPS)
    set_due (progress, progress->limits.pause_ms, now_ms);
}

/* Record COUNT bytes of the body, which may be a step.  */
void
jc_progress_body (struct jc_progress *progress, size_t count, int64_t now_ms)
{
  progress->block_bytes += count;
  if (progress->limits.kind == JC_PROGRESS_BYTES
      || (progress->limits.kind == JC_PROGRESS_BLOCKS
          && progress->block_bytes >= BLOCK_BYTES))
    jc_progress_step (progress, now_ms);
}

/* Record a step of the answer; the time for the next one begins.  */
void
jc_progress_step (struct jc_progress *progress, int64_t now_ms)
{
  progress->first_step_made = true;
  progress->bytes_since_step = 0;
  progress->block_bytes = 0;
  set_due (progress, progress->limits.pause_ms, now_ms);
}

/* Allow the same time again for a step that was not made in time.  */
void
jc_progress_extend (struct jc_progress *progress, int64_t now_ms)
{
  bool first = !progress->head_received
               || (progress->limits.kind == JC_PROGRESS_STEPS
                   && !progress->first_step_made);

  set_due (progress,
           first ? progress->limits.first_ms : progress->limits.pause_ms,
           now_ms);
}

/* Return the name of FAULT in log lines and metrics.  */
const char *
jc_progress_fault_name (enum jc_progress_fault fault)
{
  static const char *const names[]
      = { [JC_PROGRESS_NO_FAULT] = "none",
          [JC_PROGRESS_SILENT] = "no_progress",
          [JC_PROGRESS_ENDLESS] = "endless",
          [JC_PROGRESS_TOO_MANY_INTERIMS] = "interim_heads",
          [JC_PROGRESS_UNNAMED] = "unnamed" };

  return names[fault];
}
