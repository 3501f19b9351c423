/* Prefill pace: how fast the engines of a service read prompts, learned from
   the times to the first event.  */

#ifndef JC_PREFILL_PACE_H
#define JC_PREFILL_PACE_H

/* PACE is the time that reading takes divided by that of the data sheet, 0
   until it is measured.  */
struct jc_prefill_pace
{
  double pace;
};

double jc_prefill_pace_get (const struct jc_prefill_pace *pace);
void jc_prefill_pace_note (struct jc_prefill_pace *pace, double ratio);

#endif
