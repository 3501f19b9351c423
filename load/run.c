/* Open-loop arrivals: the requests of each class arrive in a Poisson process of
   its own, so slow answers do not delay later requests.  */

#include <math.h>
#include <string.h>
#include <time.h>

#include "load/load.h"

#define END_CHECK_INTERVAL_S 0.1

/* Return the time of the monotonic clock in s.  */
double
load_now_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Return a random interval between two arrivals, exponentially distributed.  */
static double
next_interval_s (struct load_source *source)
{
  return -log (1.0 - g_rand_double (source->rand)) / source->rate_per_s;
}

/* End the event loop if the run is over and no request is in flight.  */
static void
load_stop_if_idle (struct load_test *load)
{
  if (load->in_flight == 0 && load_now_s () >= load->end_s)
    ev_break (load->loop, EVBREAK_ALL);
}

/* Count a request of LOAD as ended.  The event loop ends with the last one.  */
void
load_request_ended (struct load_test *load)
{
  load->in_flight--;
  load_stop_if_idle (load);
}

/* Start the timer for the next arrival, at once if that is in the past.  */
static void
source_start_timer (struct load_source *source)
{
  double wait_s = source->next_arrival_s - load_now_s ();

  ev_timer_stop (source->load->loop, &source->timer);
  ev_now_update (source->load->loop);
  ev_timer_set (&source->timer, wait_s > 0 ? wait_s : 0, 0);
  ev_timer_start (source->load->loop, &source->timer);
}

/* Start all requests that are due, also those whose time passed while the loop
   was busy.  At the profile's limit in flight a request is counted as not_sent;
   after the profile's count of requests the run ends.  */
static void
on_arrival (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct load_source *source = watcher->data;
  struct load_test *load = source->load;
  double now_s = load_now_s ();

  (void)loop;
  (void)events;
  while (source->next_arrival_s <= now_s
         && source->next_arrival_s < load->end_s)
    {
      if (load->sent >= (uint64_t)load->profile->count)
        load->end_s = now_s;
      else if (load->in_flight >= (unsigned int)load->profile->in_flight)
        load_stats_count (&source->stats, "not_sent");
      else
        load_request_start (source, source->next_arrival_s);
      source->next_arrival_s += next_interval_s (source);
    }
  if (source->next_arrival_s < load->end_s)
    source_start_timer (source);
}

static void
on_end_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  load_stop_if_idle (watcher->data);
}

/* Return whether KLASS sends to the target NAME.  A class without targets sends
   to all.  */
static bool
class_has_target (const struct jc_load_class *klass, const char *name)
{
  for (guint i = 0; i < klass->targets->len; i++)
    if (strcmp (g_ptr_array_index (klass->targets, i), name) == 0)
      return true;
  return klass->targets->len == 0;
}

/* Return the source of KLASS at FACTOR times its rate.  INDEX is the class's
   position in the profile; with the seed of LOAD it seeds the arrivals.  */
static struct load_source *
source_new (struct load_test *load, const struct jc_load_class *klass,
            guint index, double factor)
{
  struct load_source *source = g_new0 (struct load_source, 1);

  source->load = load;
  source->klass = klass;
  source->rand = g_rand_new_with_seed ((guint32)load->seed + index);
  source->rate_per_s = (double)klass->rate_per_s * factor;
  source->targets = g_ptr_array_new ();
  for (guint i = 0; i < load->profile->targets->len; i++)
    {
      struct jc_load_target *target
          = g_ptr_array_index (load->profile->targets, i);

      if (class_has_target (klass, target->name))
        g_ptr_array_add (source->targets, target);
    }
  source->stats.outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  source->stats.endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ev_init (&source->timer, on_arrival);
  source->timer.data = source;
  return source;
}

/* Run LOAD at FACTOR times the rates of its profile.  Return when the run is
   over and all requests have ended.  */
void
load_run (struct load_test *load, double factor)
{
  ev_timer end_timer; /* repeats until no request is in flight */
  double start_s = load_now_s ();

  load->end_s = start_s + (double)load->profile->seconds;
  load->sources = g_ptr_array_new ();
  for (guint i = 0; i < load->profile->classes->len; i++)
    {
      struct load_source *source = source_new (
          load, g_ptr_array_index (load->profile->classes, i), i, factor);

      g_ptr_array_add (load->sources, source);
      source->next_arrival_s = start_s + next_interval_s (source);
      if (source->targets->len > 0)
        source_start_timer (source);
    }
  ev_timer_init (&end_timer, on_end_timer, (double)load->profile->seconds,
                 END_CHECK_INTERVAL_S);
  end_timer.data = load;
  ev_timer_start (load->loop, &end_timer);
  ev_run (load->loop, 0);
  ev_timer_stop (load->loop, &end_timer);
}

/* Free the sources of LOAD with their results.  */
void
load_sources_free (struct load_test *load)
{
  for (guint i = 0; i < load->sources->len; i++)
    {
      struct load_source *source = g_ptr_array_index (load->sources, i);

      ev_timer_stop (load->loop, &source->timer);
      g_rand_free (source->rand);
      g_ptr_array_free (source->targets, TRUE);
      g_hash_table_destroy (source->stats.outcomes);
      g_hash_table_destroy (source->stats.endpoints);
      g_free (source);
    }
  g_ptr_array_free (load->sources, TRUE);
}
