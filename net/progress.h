/* Progress: whether what a peer sends brings its answer forward.  */

#ifndef JC_PROGRESS_H
#define JC_PROGRESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What brings a body forward: any bytes, blocks of them, or what the reader of
   the answer says (jc_progress_step).  */
enum jc_progress_kind
{
  JC_PROGRESS_BYTES,
  JC_PROGRESS_BLOCKS,
  JC_PROGRESS_STEPS
};

/* Why an answer is given up before its time.  */
enum jc_progress_fault
{
  JC_PROGRESS_NO_FAULT,
  JC_PROGRESS_SILENT,
  JC_PROGRESS_ENDLESS,
  JC_PROGRESS_TOO_MANY_INTERIMS
};

/* FIRST_MS is the time until the head is whole and, for JC_PROGRESS_STEPS, the
   first step is made; PAUSE_MS that between two steps after it.  0 for no
   limit.  */
struct jc_progress_limits
{
  enum jc_progress_kind kind;
  int64_t first_ms;
  int64_t pause_ms;
};

/* An answer under way.  DUE_MS is when its next step is due, 0 for never; STALE
   counts bytes since the last step, BLOCK those of the block begun.  */
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
