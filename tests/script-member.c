/* Runs scripts against member/ on virtual time: one command a line.

   instance NAME REGION ZONE   start an entry instance
   endpoint NAME INC A,B       start an endpoint that reports each second to
                               the instances A and B
   report NAME INC SEQ up|leave I
                               send one report to I and print its status
   leave NAME | crash NAME     let an endpoint leave, or stop its reports
   drop A B COUNT              drop the next messages from A to B
   cut A B | heal A B          drop or deliver all messages between A and B
   disconnect A B | reconnect A B
                               close their connections and prevent new ones,
                               or allow them again
   connections                 print the number of connections of each instance
   capacity NAME REGION        print the capacity of REGION as NAME knows it
   restart NAME                restart an instance; it accepts no callers yet
   open NAME | drain NAME      let an instance accept callers, or drain it
   run MS                      advance the clock
   until-unused NAME MS        run until no instance uses an endpoint, at most
                               for MS, and print whether one still does
   always-used NAME MS A,B     run for MS and print whether A and B used the
                               endpoint all the time
   show                        print the endpoints that each instance uses
   instances NAME              print the instances that NAME lists to callers

   A line that begins with # is a comment and is printed.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/membersim.h"

enum
{
  WORDS_MAX = 8,
  CHECK_STEP_MS = 10
};

/* A command.  WORDS is the number of words of its line, its name included.  */
struct command
{
  const char *name;
  int words;
  void (*run) (struct membersim *sim, char **words);
};

static void
run_instance (struct membersim *sim, char **words)
{
  membersim_add_node (sim, words[1], words[2], words[3]);
}

static void
run_endpoint (struct membersim *sim, char **words)
{
  membersim_add_endpoint (sim, words[1], strtoull (words[2], NULL, 10),
                          words[3]);
}

static void
run_report (struct membersim *sim, char **words)
{
  enum jc_status status = membersim_report (
      sim, words[1], strtoull (words[2], NULL, 10),
      strtoull (words[3], NULL, 10), strcmp (words[4], "leave") == 0, words[5]);

  printf ("%s\n", jc_status_name (status));
}

static void
run_leave (struct membersim *sim, char **words)
{
  membersim_endpoint_leave (sim, membersim_find_endpoint (sim, words[1]));
}

static void
run_crash (struct membersim *sim, char **words)
{
  membersim_find_endpoint (sim, words[1])->silent = true;
}

static void
run_drop (struct membersim *sim, char **words)
{
  netsim_drop_next (sim->net, words[1], words[2],
                    (unsigned int)strtoul (words[3], NULL, 10));
}

static void
run_cut (struct membersim *sim, char **words)
{
  netsim_set_cut (sim->net, words[1], words[2], strcmp (words[0], "cut") == 0);
}

static void
run_disconnect (struct membersim *sim, char **words)
{
  bool down = strcmp (words[0], "disconnect") == 0;

  netsim_set_cut (sim->net, words[1], words[2], down);
  if (down)
    membersim_disconnect (sim, words[1], words[2]);
}

static void
run_restart (struct membersim *sim, char **words)
{
  membersim_restart_node (sim, words[1]);
}

static void
run_drain (struct membersim *sim, char **words)
{
  membersim_node_drain (membersim_find_node (sim, words[1]));
}

static void
run_accept (struct membersim *sim, char **words)
{
  membersim_node_accept_callers (membersim_find_node (sim, words[1]));
}

static void
run_advance (struct membersim *sim, char **words)
{
  membersim_run (sim, strtoll (words[1], NULL, 10));
}

static bool
used_anywhere (const struct membersim *sim, const char *endpoint)
{
  for (guint i = 0; i < sim->nodes->len; i++)
    if (membersim_node_uses (g_ptr_array_index (sim->nodes, i), endpoint))
      return true;
  return false;
}

static void
run_until_unused (struct membersim *sim, char **words)
{
  int64_t until = sim->now_ms + strtoll (words[2], NULL, 10);

  while (sim->now_ms < until && used_anywhere (sim, words[1]))
    membersim_run (sim, CHECK_STEP_MS);
  printf ("%s is %s within %s ms\n", words[1],
          used_anywhere (sim, words[1]) ? "still used" : "used by none",
          words[2]);
}

static bool
used_by_all (struct membersim *sim, const char *endpoint, char **names)
{
  for (char **name = names; *name != NULL; name++)
    if (!membersim_node_uses (membersim_find_node (sim, *name), endpoint))
      return false;
  return true;
}

static void
run_always_used (struct membersim *sim, char **words)
{
  int64_t until = sim->now_ms + strtoll (words[2], NULL, 10);
  char **names = g_strsplit (words[3], ",", -1);
  bool always_used = true;

  while (sim->now_ms < until)
    {
      membersim_run (sim, CHECK_STEP_MS);
      always_used = always_used && used_by_all (sim, words[1], names);
    }
  printf ("%s %s for %s ms\n", words[1],
          always_used ? "is always used" : "is not always used", words[2]);
  g_strfreev (names);
}

static void
run_show (struct membersim *sim, char **words)
{
  (void)words;
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);
      GPtrArray *list = g_ptr_array_new ();

      jc_endpoints_list_serving (node->endpoints, "assist-llm", "", sim->now_ms,
                                 list);
      printf ("%s:", node->name);
      for (guint k = 0; k < list->len; k++)
        {
          const struct jc_endpoint *endpoint = g_ptr_array_index (list, k);

          printf (" %s/%llu", endpoint->name,
                  (unsigned long long)endpoint->incarnation);
        }
      printf ("\n");
      g_ptr_array_free (list, TRUE);
    }
}

static void
run_instances (struct membersim *sim, char **words)
{
  const struct membersim_node *node = membersim_find_node (sim, words[1]);
  GPtrArray *list = g_ptr_array_new ();

  jc_regions_list_instances (node->regions, NULL, sim->now_ms, list);
  printf ("%s lists:", words[1]);
  for (guint i = 0; i < list->len; i++)
    {
      const struct jc_instance_view *view = g_ptr_array_index (list, i);

      if (view->callers_address[0] != '\0')
        printf (" %s", view->name);
    }
  printf ("\n");
  g_ptr_array_free (list, TRUE);
}

static void
run_connections (struct membersim *sim, char **words)
{
  (void)words;
  for (guint i = 0; i < sim->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (sim->nodes, i);

      printf ("%s has %u connections\n", node->name,
              membersim_node_connections (node));
    }
}

static void
run_capacity (struct membersim *sim, char **words)
{
  const struct membersim_node *node = membersim_find_node (sim, words[1]);
  struct jc_capacity capacity;

  if (!jc_regions_get_capacity (node->regions, words[2], "assist-llm",
                                "assist-7b-v1", sim->now_ms, &capacity))
    printf ("%s knows nothing of %s\n", words[1], words[2]);
  else
    printf ("%s knows %u endpoints of %s, %s\n", words[1], capacity.endpoints,
            words[2], capacity.free_slots > 0 ? "with free slots" : "busy");
}

static const struct command commands[]
    = { { "instance", 4, run_instance },
        { "endpoint", 4, run_endpoint },
        { "report", 6, run_report },
        { "leave", 2, run_leave },
        { "crash", 2, run_crash },
        { "drop", 4, run_drop },
        { "cut", 3, run_cut },
        { "heal", 3, run_cut },
        { "disconnect", 3, run_disconnect },
        { "reconnect", 3, run_disconnect },
        { "restart", 2, run_restart },
        { "open", 2, run_accept },
        { "drain", 2, run_drain },
        { "run", 2, run_advance },
        { "until-unused", 3, run_until_unused },
        { "always-used", 4, run_always_used },
        { "show", 1, run_show },
        { "instances", 2, run_instances },
        { "connections", 1, run_connections },
        { "capacity", 3, run_capacity } };

static bool
run_line (struct membersim *sim, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", WORDS_MAX);
  int count = (int)g_strv_length (words);
  bool recognized = count == 0 || words[0][0] == '#';

  for (size_t i = 0; !recognized && i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, words[0]) == 0 && commands[i].words == count)
      {
        commands[i].run (sim, words);
        recognized = true;
      }
  if (!recognized)
    fprintf (stderr, "Unknown line: %s\n", line);
  g_strfreev (words);
  return recognized;
}

int
main (int argc, char **argv)
{
  struct membersim *sim = membersim_new ();
  FILE *file = argc > 1 ? fopen (argv[1], "r") : NULL;
  char line[256];
  bool ok = file != NULL;

  while (ok && fgets (line, sizeof line, file) != NULL)
    {
      if (line[0] == '#')
        printf ("%s", line);
      ok = run_line (sim, line);
    }
  if (file != NULL)
    fclose (file);
  membersim_free (sim);
  return ok ? 0 : 1;
}
