/* Open-loop arrivals: each class has a Poisson process of its own, which
   answers do not slow down.  */

#include <math.h>
#include <string.h>
#include <time.h>

#include "load/load.h"

/* Return the monotonic time in s.  */
double
load_now_s (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double
next_gap_s (struct load_source *stream)
{
  return -log (1.0 - g_rand_double (stream->rand)) / stream->rate_per_s;
}

static void
load_end_if_idle (struct load *load)
{
  if (load->in_flight == 0 && load_now_s () >= load->end_s)
    ev_break (load->loop, EVBREAK_ALL);
}

/* A request of LOAD has ended.  */
void
load_request_ended (struct load *load)
{
  load->in_flight--;
  load_end_if_idle (load);
}

static void
stream_arm (struct load_source *stream)
{
  double wait_s = stream->next_arrival_s - load_now_s ();

  ev_timer_stop (stream->load->loop, &stream->timer);
  ev_now_update (stream->load->loop);
  ev_timer_set (&stream->timer, wait_s > 0 ? wait_s : 0, 0);
  ev_timer_start (stream->load->loop, &stream->timer);
}

/* Send what is due, however late the loop is.  */
static void
on_due (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct load_source *stream = watcher->data;
  struct load *load = stream->load;
  double now = load_now_s ();

  (void)loop;
  (void)events;
  while (stream->next_arrival_s <= now && stream->next_arrival_s < load->end_s)
    {
      if (load->sent >= (uint64_t)load->profile->count)
        load->end_s = now;
      else if (load->in_flight >= (unsigned int)load->profile->in_flight)
        load_stats_count (&stream->stats, "not_sent");
      else
        load_request_start (stream, stream->next_arrival_s);
      stream->next_arrival_s += next_gap_s (stream);
    }
  if (stream->next_arrival_s < load->end_s)
    stream_arm (stream);
}

static void
on_end (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  load_end_if_idle (watcher->data);
}

static bool
class_has_target (const struct jc_load_class *klass, const char *name)
{
  for (guint i = 0; i < klass->targets->len; i++)
    if (strcmp (g_ptr_array_index (klass->targets, i), name) == 0)
      return true;
  return klass->targets->len == 0;
}

static struct load_source *
stream_new (struct load *load, const struct jc_load_class *klass, guint index,
            double factor)
{
  struct load_source *stream = g_new0 (struct load_source, 1);

  stream->load = load;
  stream->klass = klass;
  stream->rand = g_rand_new_with_seed ((guint32)load->seed + index);
  stream->rate_per_s = (double)klass->rate_per_s * factor;
  stream->targets = g_ptr_array_new ();
  for (guint i = 0; i < load->profile->targets->len; i++)
    {
      struct jc_load_target *target
          = g_ptr_array_index (load->profile->targets, i);

      if (class_has_target (klass, target->name))
        g_ptr_array_add (stream->targets, target);
    }
  stream->stats.outcomes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  stream->stats.endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ev_init (&stream->timer, on_due);
  stream->timer.data = stream;
  return stream;
}

/* Run LOAD at FACTOR times the rates of its profile until all requests have
   ended.  */
void
load_run (struct load *load, double factor)
{
  ev_timer end;
  double start_s = load_now_s ();

  load->end_s = start_s + (double)load->profile->seconds;
  load->sources = g_ptr_array_new ();
  for (guint i = 0; i < load->profile->classes->len; i++)
    {
      struct load_source *stream = stream_new (
          load, g_ptr_array_index (load->profile->classes, i), i, factor);

      g_ptr_array_add (load->sources, stream);
      stream->next_arrival_s = start_s + next_gap_s (stream);
      if (stream->targets->len > 0)
        stream_arm (stream);
    }
  ev_timer_init (&end, on_end, (double)load->profile->seconds, 0.1);
  end.data = load;
  ev_timer_start (load->loop, &end);
  ev_run (load->loop, 0);
  ev_timer_stop (load->loop, &end);
}

/* Free the classes of LOAD and what was seen of them.  */
void
load_sources_free (struct load *load)
{
  for (guint i = 0; i < load->sources->len; i++)
    {
      struct load_source *stream = g_ptr_array_index (load->sources, i);

      ev_timer_stop (load->loop, &stream->timer);
      g_rand_free (stream->rand);
      g_ptr_array_free (stream->targets, TRUE);
      g_hash_table_destroy (stream->stats.outcomes);
      g_hash_table_destroy (stream->stats.endpoints);
      g_free (stream);
    }
  g_ptr_array_free (load->sources, TRUE);
}
