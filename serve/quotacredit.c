/* Quota credit.  */

#include <glib.h>

#include "serve/quotacredit.h"

enum
{
  /* Demand is counted over this time.  */
  DEMAND_MS = 1000,
  /* Units for this much of the demand are asked for ahead.  */
  AHEAD_MS = 100
};

/* Units that were asked for at ASKED_MS.  */
struct grant
{
  double units;
  int64_t asked_ms;
};

/* GRANTS is an array of struct grant.  DEMAND_UNITS were taken or asked for
   since DEMAND_SINCE_MS, at LAST_PER_MS in the time before.  */
struct jc_quotacredit
{
  GArray *grants;
  double demand_units;
  double last_per_ms;
  int64_t demand_since_ms;
};

/* Return an empty credit, to be freed with jc_quotacredit_free.  */
struct jc_quotacredit *
jc_quotacredit_new (void)
{
  struct jc_quotacredit *credit = g_new0 (struct jc_quotacredit, 1);

  credit->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
  return credit;
}

/* Free CREDIT, which may be NULL.  */
void
jc_quotacredit_free (struct jc_quotacredit *credit)
{
  if (credit == NULL)
    return;
  g_array_free (credit->grants, TRUE);
  g_free (credit);
}

static void
expire (struct jc_quotacredit *credit, int64_t now_ms)
{
  for (guint i = credit->grants->len; i > 0; i--)
    if (now_ms - g_array_index (credit->grants, struct grant, i - 1).asked_ms
        >= JC_QUOTACREDIT_MS)
      g_array_remove_index (credit->grants, i - 1);
}

/* Add UNITS that were asked for at ASKED_MS.  */
void
jc_quotacredit_add (struct jc_quotacredit *credit, double units,
                    int64_t asked_ms)
{
  const struct grant grant = { .units = units, .asked_ms = asked_ms };

  if (units > 0)
    g_array_append_val (credit->grants, grant);
}

/* Take UNITS from CREDIT and set ASKED_MS to when the oldest of them was asked
   for.  Return false, and take nothing, if there are not as many.  */
bool
jc_quotacredit_take (struct jc_quotacredit *credit, double units,
                     int64_t now_ms, int64_t *asked_ms)
{
  double sum = 0;

  expire (credit, now_ms);
  for (guint i = 0; i < credit->grants->len; i++)
    sum += g_array_index (credit->grants, struct grant, i).units;
  if (sum < units)
    return false;
  *asked_ms = now_ms;
  while (units > 0 && credit->grants->len > 0)
    {
      struct grant *grant = &g_array_index (credit->grants, struct grant, 0);
      double taken = MIN (grant->units, units);

      *asked_ms = MIN (*asked_ms, grant->asked_ms);
      grant->units -= taken;
      units -= taken;
      if (grant->units <= 0)
        g_array_remove_index (credit->grants, 0);
    }
  return true;
}

/* Drop what is in CREDIT, since the quota has changed.  */
void
jc_quotacredit_clear (struct jc_quotacredit *credit)
{
  g_array_set_size (credit->grants, 0);
}

/* Note that a request for UNITS came at NOW_MS, and return how many units the
   instance should ask for besides.  */
double
jc_quotacredit_ahead (struct jc_quotacredit *credit, double units,
                      int64_t now_ms)
{
  int64_t since = now_ms - credit->demand_since_ms;

  if (since >= DEMAND_MS)
    {
      credit->last_per_ms
          = since < 2 * DEMAND_MS ? credit->demand_units / (double)since : 0;
      credit->demand_units = 0;
      credit->demand_since_ms = now_ms;
    }
  credit->demand_units += units;
  return credit->last_per_ms * AHEAD_MS;
}
