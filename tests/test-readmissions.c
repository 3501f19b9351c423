/* Tests on virtual time that every process knows of a readmission, however it
   came to the orders: an endpoint of the zone, cold since just before, must not
   count as warm at any instance.  */

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base/xdrencode.h"
#include "conf/readmissions.h"
#include "serve/warmth.h"

enum
{
  EVACUATED_MS = 1000,
  READMITTED_MS = 60000,
  /* The endpoint's process starts again so long before the readmission.  */
  STARTED_BEFORE_MS = 20,
  COLD_MS = 3000,
  REPORT_MS = 1200,
  DELAY_MS = 5,
  STEP_MS = 50,
  FIRST_STEP_MS = READMITTED_MS - 2000,
  LAST_STEP_MS = READMITTED_MS + 4000,
  TICK_MS = 10,
  EVACUATE_INDEX = 2,
  READMIT_INDEX = 3,
  TABLE_INDEX = 4
};

/* How a state instance came to its orders at the moment that is varied.  */
enum source_kind
{
  SOURCE_RUNNING,
  SOURCE_STARTED,
  SOURCE_CAUGHT_UP,
  SOURCE_EARLIER_SNAPSHOT,
  SOURCE_KINDS
};

/* A state instance.  */
struct source
{
  struct jc_orders *orders;
  struct jc_readmissions *readmissions;
};

/* An entry instance that started at STARTED_MS.  */
struct instance
{
  int64_t started_ms;
  struct jc_orders *orders;
  struct jc_readmissions *readmissions;
  struct jc_warmth warmth;
};

static void
follow (struct source *source, int64_t now_ms)
{
  GPtrArray *noted = g_ptr_array_new_with_free_func (g_free);

  jc_readmissions_follow (source->readmissions, source->orders, now_ms, noted);
  g_ptr_array_free (noted, TRUE);
}

static void
apply (struct source *source, uint64_t index, enum rpc_order_kind kind,
       int64_t now_ms)
{
  const struct rpc_order order
      = { .kind = kind,
          .data = { .rpc_bytes_val = (char *)"z1", .rpc_bytes_len = 2 } };
  GString *data = jc_orders_encode (&order);

  g_assert_true (
      jc_orders_apply (source->orders, index, jc_str_from_gstring (data)));
  g_string_free (data, TRUE);
  follow (source, now_ms);
}

/* Apply to SOURCE what the log has from after FROM_MS up to NOW_MS.  */
static void
apply_log (struct source *source, int64_t from_ms, int64_t now_ms)
{
  if (from_ms < EVACUATED_MS && now_ms >= EVACUATED_MS)
    apply (source, EVACUATE_INDEX, RPC_ORDER_EVACUATE, EVACUATED_MS);
  if (from_ms < READMITTED_MS && now_ms >= READMITTED_MS)
    apply (source, READMIT_INDEX, RPC_ORDER_READMIT, READMITTED_MS);
}

static struct source
source_new (void)
{
  return (struct source){ .orders = jc_orders_new (),
                          .readmissions = jc_readmissions_new () };
}

static void
source_clear (struct source *source)
{
  jc_orders_free (source->orders);
  jc_readmissions_free (source->readmissions);
}

/* Return a state instance at NOW_MS, which came to its orders as KIND says at
   MOMENT_MS.  */
static struct source
source_at (enum source_kind kind, int64_t moment_ms, int64_t now_ms)
{
  struct source source = source_new ();
  struct source other = source_new ();
  json_t *json = json_object ();

  if (kind == SOURCE_RUNNING || now_ms < moment_ms)
    {
      /* One that is away until MOMENT_MS has what was before it went.  */
      apply_log (&source, 0,
                 kind == SOURCE_RUNNING ? now_ms : EVACUATED_MS - 1);
      source_clear (&other);
      json_decref (json);
      return source;
    }
  apply_log (&other, 0, moment_ms);
  jc_orders_snapshot (other.orders, json);
  if (kind == SOURCE_EARLIER_SNAPSHOT)
    json_object_del (json_object_get (json, "orders"), "readmitted");
  g_assert_cmpint (jc_orders_restore (source.orders, json), ==, JC_OK);
  follow (&source, moment_ms);
  apply_log (&source, moment_ms, now_ms);
  source_clear (&other);
  json_decref (json);
  return source;
}

/* Pass the orders of SOURCE at SENT_MS to INSTANCE, encoded as they are
   sent.  */
static void
send_orders (const struct source *source, int64_t sent_ms,
             struct instance *instance)
{
  struct rpc_orders message;
  struct rpc_orders received;
  GString *bytes;
  XDR xdr;

  jc_orders_to_message (source->orders, 0, &message);
  jc_readmissions_to_message (source->readmissions, sent_ms, &message);
  bytes = jc_xdr_encode ((xdrproc_t)xdr_rpc_orders, &message);
  memset (&received, 0, sizeof received);
  xdrmem_create (&xdr, bytes->str, (u_int)bytes->len, XDR_DECODE);
  g_assert_true (xdr_rpc_orders (&xdr, &received));
  xdr_destroy (&xdr);
  jc_readmissions_update (instance->readmissions, &received,
                          sent_ms + DELAY_MS);
  jc_orders_update (instance->orders, &received);
  xdr_free ((xdrproc_t)xdr_rpc_orders, (char *)&received);
  g_string_free (bytes, TRUE);
  g_free (message.evacuated.evacuated_val);
  g_free (message.readmitted.readmitted_val);
}

/* Return for how long the endpoint says at NOW_MS that it is cold.  */
static int64_t
cold_left_ms (int64_t now_ms)
{
  int64_t started_ms = READMITTED_MS - STARTED_BEFORE_MS;

  return now_ms < started_ms ? 0 : MAX (0, started_ms + COLD_MS - now_ms);
}

/* Let INSTANCE receive the endpoint's report of SENT_MS at NOW_MS.  */
static void
receive_report (struct instance *instance, int64_t sent_ms, int64_t now_ms)
{
  instance->warmth.reported_ms = now_ms;
  instance->warmth.warm_at_ms = now_ms + cold_left_ms (sent_ms);
}

static bool
sends_at_full_rate (const struct instance *instance, int64_t now_ms)
{
  struct jc_warmth warmth = instance->warmth;

  warmth.warm_at_ms = MAX (
      warmth.warm_at_ms,
      jc_readmissions_cold_until_ms (instance->readmissions, "z1", COLD_MS));
  return instance->orders->position > 0
         && !jc_orders_is_evacuated (instance->orders, "z1")
         && jc_warmth_is_proven (&warmth, now_ms);
}

/* Let INSTANCE hear at NOW_MS the orders of the state instance that came to
   them as KIND says at MOMENT_MS, if they are later than POSITION.  Return the
   position that INSTANCE has then heard of.  */
static uint64_t
tell (enum source_kind kind, int64_t moment_ms, int64_t now_ms,
      uint64_t position, struct instance *instance)
{
  struct source source = source_at (kind, moment_ms, now_ms);

  if (source.orders->position > position)
    send_orders (&source, now_ms, instance);
  position = MAX (position, source.orders->position);
  source_clear (&source);
  return position;
}

/* Return whether MOMENT_MS came within the last tick before NOW_MS.  */
static bool
is_passed (int64_t moment_ms, int64_t now_ms)
{
  return now_ms >= moment_ms && now_ms - TICK_MS < moment_ms;
}

/* Play an entry instance that starts at STARTED_MS and follows a state instance
   that came to its orders as KIND says at MOMENT_MS; the endpoint reports at
   PHASE_MS and each REPORT_MS after.  Return whether it sent at the full rate
   while the endpoint was cold.  */
static bool
play (enum source_kind kind, int64_t moment_ms, int64_t started_ms,
      int64_t phase_ms)
{
  struct instance instance = { .started_ms = started_ms,
                               .orders = jc_orders_new (),
                               .readmissions = jc_readmissions_new (),
                               .warmth = { .known_ms = started_ms,
                                           .since_ms = -1,
                                           .lost_ms = -1,
                                           .cold_ms = COLD_MS } };
  uint64_t position = 0;
  bool broken = false;

  for (int64_t now = started_ms; now <= READMITTED_MS + COLD_MS; now += TICK_MS)
    {
      int64_t report_ms = now - (now + phase_ms) % REPORT_MS;

      if (now == started_ms || is_passed (READMITTED_MS, now)
          || is_passed (moment_ms, now))
        position = tell (kind, moment_ms, now, position, &instance);
      /* On connecting it gets the last report, later ones as they come.  */
      if (now == started_ms || report_ms == now)
        receive_report (&instance, report_ms, now + DELAY_MS);
      if (cold_left_ms (now) > 0 && now + DELAY_MS > started_ms
          && sends_at_full_rate (&instance, now + DELAY_MS))
        broken = true;
    }
  jc_orders_free (instance.orders);
  jc_readmissions_free (instance.readmissions);
  return broken;
}

/* Guards against an entry instance that starts after a readmission, and against
   one whose state instance started or caught up by a snapshot, taking the last
   report of an endpoint of the zone, from when it was warm, as proof that it is
   warm (review/8).  */
static void
test_every_moment (void)
{
  for (int kind = 0; kind < SOURCE_KINDS; kind++)
    for (int64_t started = FIRST_STEP_MS; started <= LAST_STEP_MS;
         started += STEP_MS)
      {
        int64_t step = kind == SOURCE_RUNNING ? LAST_STEP_MS : 4 * STEP_MS;

        for (int64_t moment = FIRST_STEP_MS; moment <= LAST_STEP_MS;
             moment += step)
          for (int64_t phase = 0; phase < REPORT_MS; phase += 4 * STEP_MS)
            if (play ((enum source_kind)kind, moment, started, phase))
              g_error ("kind %d: started at %ld, state instance at %ld, "
                       "reports at %ld",
                       kind, (long)started, (long)moment, (long)phase);
      }
}

/* Guards against zones that stay cold: one that was readmitted long before is
   warm at once for an instance that starts.  */
static void
test_long_ago (void)
{
  struct source source = source_at (SOURCE_RUNNING, 0, READMITTED_MS);
  struct instance instance
      = { .orders = jc_orders_new (), .readmissions = jc_readmissions_new () };
  int64_t now = READMITTED_MS + 2 * COLD_MS;

  send_orders (&source, now, &instance);
  g_assert_cmpint (
      jc_readmissions_cold_until_ms (instance.readmissions, "z1", COLD_MS), <,
      now);
  g_assert_cmpint (
      jc_readmissions_cold_until_ms (instance.readmissions, "z2", COLD_MS), <,
      0);
  jc_orders_free (instance.orders);
  jc_readmissions_free (instance.readmissions);
  source_clear (&source);
}

/* Guards against a readmission that counts anew with each message that tells
   it, or that an older one replaces.  */
static void
test_told_again (void)
{
  struct source source = source_at (SOURCE_RUNNING, 0, READMITTED_MS);
  struct instance instance
      = { .orders = jc_orders_new (), .readmissions = jc_readmissions_new () };
  int64_t first_ms;

  send_orders (&source, READMITTED_MS, &instance);
  first_ms
      = jc_readmissions_cold_until_ms (instance.readmissions, "z1", COLD_MS);
  send_orders (&source, READMITTED_MS + COLD_MS, &instance);
  g_assert_false (jc_readmissions_note (instance.readmissions, "z1",
                                        READMIT_INDEX - 1, READMITTED_MS * 2));
  g_assert_cmpint (
      jc_readmissions_cold_until_ms (instance.readmissions, "z1", COLD_MS), ==,
      first_ms);
  g_assert_true (jc_readmissions_note (instance.readmissions, "z1", TABLE_INDEX,
                                       READMITTED_MS * 2));
  jc_orders_free (instance.orders);
  jc_readmissions_free (instance.readmissions);
  source_clear (&source);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/every-moment", test_every_moment);
  g_test_add_func ("/long-ago", test_long_ago);
  g_test_add_func ("/told-again", test_told_again);
  return g_test_run ();
}
