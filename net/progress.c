/* Progress.  */

#include "net/progress.h"

enum
{
  /* Bytes of a body that bring it forward: a window of a slow connection.
     What drips takes longer for them than for any honest answer.  */
  BLOCK_BYTES = 16 * 1024,
  /* Bytes that may come without a step: the largest event of a stream and its
     framing.  */
  STALE_BYTES_MAX = 1024 * 1024 + 64 * 1024,
  /* Interim heads before the final one; servers send one or two.  */
  INTERIMS_MAX = 16
};

static void
set_due (struct jc_progress *progress, int64_t wait_ms, int64_t now_ms)
{
  progress->due_ms = wait_ms > 0 ? now_ms + wait_ms : 0;
}

/* The request of PROGRESS goes out at NOW_MS.  */
void
jc_progress_start (struct jc_progress *progress,
                   const struct jc_progress_limits *limits, int64_t now_ms)
{
  *progress = (struct jc_progress){ .limits = *limits };
  set_due (progress, limits->first_ms, now_ms);
}

/* COUNT bytes came, whatever they are.  Return false where too many have come
   without a step.  */
bool
jc_progress_count_bytes (struct jc_progress *progress, size_t count)
{
  progress->bytes_since_step += count;
  if (progress->bytes_since_step > STALE_BYTES_MAX)
    progress->fault = JC_PROGRESS_ENDLESS;
  return progress->fault == JC_PROGRESS_NO_FAULT;
}

/* An interim head came.  Return false where there are too many.  */
bool
jc_progress_interim (struct jc_progress *progress)
{
  if (++progress->interim_heads > INTERIMS_MAX)
    progress->fault = JC_PROGRESS_TOO_MANY_INTERIMS;
  return progress->fault == JC_PROGRESS_NO_FAULT;
}

/* The final head is whole.  Where steps are said by the reader, the first of
   them is still to come in its time.  */
void
jc_progress_head (struct jc_progress *progress, int64_t now_ms)
{
  progress->head_received = true;
  progress->bytes_since_step = 0;
  if (progress->limits.kind != JC_PROGRESS_STEPS)
    set_due (progress, progress->limits.pause_ms, now_ms);
}

/* COUNT bytes of the body came.  */
void
jc_progress_body (struct jc_progress *progress, size_t count, int64_t now_ms)
{
  progress->block_bytes += count;
  if (progress->limits.kind == JC_PROGRESS_BYTES
      || (progress->limits.kind == JC_PROGRESS_BLOCKS
          && progress->block_bytes >= BLOCK_BYTES))
    jc_progress_step (progress, now_ms);
}

/* The answer is a step further.  */
void
jc_progress_step (struct jc_progress *progress, int64_t now_ms)
{
  progress->first_step_made = true;
  progress->bytes_since_step = 0;
  progress->block_bytes = 0;
  set_due (progress, progress->limits.pause_ms, now_ms);
}

/* The step that was due did not come, and is waited for as long again.  */
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

/* Return the name of FAULT as log lines and metrics carry it.  */
const char *
jc_progress_fault_name (enum jc_progress_fault fault)
{
  static const char *const names[]
      = { [JC_PROGRESS_NO_FAULT] = "none",
          [JC_PROGRESS_SILENT] = "no_progress",
          [JC_PROGRESS_ENDLESS] = "endless",
          [JC_PROGRESS_TOO_MANY_INTERIMS] = "interim_heads" };

  return names[fault];
}
