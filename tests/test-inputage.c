/* Tests of the age of input: a process that was stopped never takes input that
   waited meanwhile for new, and one that runs soon takes input for new again.
 */

#include <glib.h>
#include <unistd.h>

#include "net/inputage.h"
#include "net/program.h"

enum
{
  STOP_MS = 400,
  SEND_AFTER_MS = 20,
  MS_PER_S = 1000,
  US_PER_MS = 1000,
  /* Input this old counts as new.  */
  NEW_MS = 150,
  ROUNDS = 3,
  LIMIT_MS = 20000
};

/* A pipe whose reading end is watched.  SENT_MS is when the byte in it was
   sent; after that the process stopped for STOP_MS.  WAITED_MS is for how long
   it waited until it was read, and READ_AGE_MS what was told then.  */
struct world
{
  struct ev_loop *loop;
  struct jc_inputage *age;
  int fds[2];
  ev_io input;
  ev_timer send;
  ev_timer limit;
  unsigned int stop_ms;
  int64_t sent_ms;
  int64_t read_age_ms;
  int64_t waited_ms;
};

static void
on_input (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct world *world = watcher->data;
  char byte;

  (void)events;
  g_assert_cmpint (read (world->fds[0], &byte, 1), ==, 1);
  world->waited_ms = jc_boot_ms () - world->sent_ms;
  world->read_age_ms = jc_inputage_ms (world->age);
  ev_break (loop, EVBREAK_ALL);
}

/* Send a byte, and stop like a process that is suspended just then.  */
static void
on_send (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct world *world = watcher->data;

  (void)loop;
  (void)events;
  world->sent_ms = jc_boot_ms ();
  g_assert_cmpint (write (world->fds[1], "x", 1), ==, 1);
  g_usleep (world->stop_ms * US_PER_MS);
}

/* Let the process stop for STOP_MS just after a byte came, and read it.  */
static void
run_stop (struct world *world, unsigned int stop_ms)
{
  world->stop_ms = stop_ms;
  ev_timer_set (&world->send, (double)SEND_AFTER_MS / MS_PER_S, 0);
  ev_timer_start (world->loop, &world->send);
  ev_run (world->loop, 0);
  g_assert_cmpint (world->waited_ms, >=, stop_ms);
  g_assert_cmpint (world->read_age_ms, >=, world->waited_ms);
}

static void
on_limit (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
  g_assert_not_reached ();
}

static void
world_init (struct world *world)
{
  world->loop = ev_loop_new (0);
  world->age = jc_inputage_new (world->loop);
  g_assert_cmpint (pipe (world->fds), ==, 0);
  ev_io_init (&world->input, on_input, world->fds[0], EV_READ);
  world->input.data = world;
  ev_io_start (world->loop, &world->input);
  ev_init (&world->send, on_send);
  world->send.data = world;
  ev_timer_init (&world->limit, on_limit, (double)LIMIT_MS / MS_PER_S, 0);
  ev_timer_start (world->loop, &world->limit);
}

static void
world_clear (struct world *world)
{
  jc_inputage_free (world->age);
  ev_loop_destroy (world->loop);
  close (world->fds[0]);
  close (world->fds[1]);
}

/* Guards against an order that came while the process was stopped and is taken
   for one that just came.  */
static void
test_stopped (void)
{
  struct world world = { 0 };

  world_init (&world);
  for (int i = 0; i < ROUNDS; i++)
    run_stop (&world, STOP_MS);
  world_clear (&world);
}

/* Guards against a process that takes no input for new any more after a stop.
 */
static void
test_runs_again (void)
{
  struct world world = { 0 };

  world_init (&world);
  run_stop (&world, STOP_MS);
  do
    run_stop (&world, 0);
  while (world.read_age_ms > NEW_MS);
  world_clear (&world);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/inputage/stopped", test_stopped);
  g_test_add_func ("/inputage/runs-again", test_runs_again);
  return g_test_run ();
}
