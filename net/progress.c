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
jc_progress_bytes (struct jc_progress *progress, size_t count)
{
  progress->stale += count;
  if (progress->stale > STALE_BYTES_MAX)
    progress->fault = JC_PROGRESS_ENDLESS;
  return progress->fault == JC_PROGRESS_SOUND;
}

/* An interim head came.  Return false where there are too many.  */
bool
jc_progress_interim (struct jc_progress *progress)
{
  if (++progress->interims > INTERIMS_MAX)
    progress->fault = JC_PROGRESS_INTERIMS;
  return progress->fault == JC_PROGRESS_SOUND;
}

/* The final head is whole.  Where steps are said by the reader, the first of
   them is still to come in its time.  */
void
jc_progress_head (struct jc_progress *progress, int64_t now_ms)
{
  progress->headed = true;
  progress->stale = 0;
  if (progress->limits.kind != JC_PROGRESS_STEPS)
    set_due (progress, progress->limits.pause_ms, now_ms);
}

/* COUNT bytes of the body came.  */
void
jc_progress_body (struct jc_progress *progress, size_t count, int64_t now_ms)
{
  progress->block += count;
  if (progress->limits.kind == JC_PROGRESS_BYTES
      || (progress->limits.kind == JC_PROGRESS_BLOCKS
          && progress->block >= BLOCK_BYTES))
    jc_progress_step (progress, now_ms);
}

/* The answer is a step further.  */
void
jc_progress_step (struct jc_progress *progress, int64_t now_ms)
{
  progress->stepped = true;
  progress->stale = 0;
  progress->block = 0;
  set_due (progress, progress->limits.pause_ms, now_ms);
}

/* The step that was due did not come, and is waited for as long again.  */
void
jc_progress_wait (struct jc_progress *progress, int64_t now_ms)
{
  bool first
      = !progress->headed
        || (progress->limits.kind == JC_PROGRESS_STEPS && !progress->stepped);

  set_due (progress,
           first ? progress->limits.first_ms : progress->limits.pause_ms,
           now_ms);
}

/* Return the name of FAULT as log lines and metrics carry it.  */
const char *
jc_progress_fault_name (enum jc_progress_fault fault)
{
  static const char *const names[]
      = { [JC_PROGRESS_SOUND] = "none",
          [JC_PROGRESS_SILENT] = "no_progress",
          [JC_PROGRESS_ENDLESS] = "endless",
          [JC_PROGRESS_INTERIMS] = "interim_heads" };

  return names[fault];
}
