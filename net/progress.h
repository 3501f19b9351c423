/* Detection of answers that make no progress although bytes may arrive.  */

#ifndef JC_PROGRESS_H
#define JC_PROGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What counts as progress of a body: any bytes, each block of them, or only
   the steps that the reader of the answer reports with jc_progress_step.  */
enum jc_progress_kind
{
  JC_PROGRESS_BYTES,
  JC_PROGRESS_BLOCKS,
  JC_PROGRESS_STEPS
};

/* Why an answer is aborted before its total time is over: no progress in time,
   too many bytes without progress, too many interim heads, a final head that
   names no request.  */
enum jc_progress_fault
{
  JC_PROGRESS_NO_FAULT,
  JC_PROGRESS_SILENT,
  JC_PROGRESS_ENDLESS,
  JC_PROGRESS_TOO_MANY_INTERIMS,
  JC_PROGRESS_UNNAMED
};

/* Limits in ms, 0 for none.  FIRST_MS is the time until the head is complete
   and, for JC_PROGRESS_STEPS, until the first step; PAUSE_MS is the longest
   time between steps after that.  */
struct jc_progress_limits
{
  enum jc_progress_kind kind;
  int64_t first_ms;
  int64_t pause_ms;
};

/* Progress of an answer.  DUE_MS is the time by which its next step must be
   made, 0 for no limit.  BYTES_SINCE_STEP counts bytes of any kind since the
   last step, BLOCK_BYTES those of the current block of the body.  */
struct jc_progress
{
  struct jc_progress_limits limits;
  int64_t due_ms;
  size_t bytes_since_step;
  size_t block_bytes;
  unsigned int interim_heads;
  enum jc_progress_fault fault;
  bool head_received;
  bool first_step_made;
};

void jc_progress_start (struct jc_progress *progress,
                        const struct jc_progress_limits *limits,
                        int64_t now_ms);
bool jc_progress_count_bytes (struct jc_progress *progress, size_t count);
bool jc_progress_interim (struct jc_progress *progress);
void jc_progress_head (struct jc_progress *progress, int64_t now_ms);
void jc_progress_body (struct jc_progress *progress, size_t count,
                       int64_t now_ms);
void jc_progress_step (struct jc_progress *progress, int64_t now_ms);
void jc_progress_extend (struct jc_progress *progress, int64_t now_ms);
const char *jc_progress_fault_name (enum jc_progress_fault fault);

#endif
