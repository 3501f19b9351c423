/* Scripted runs of membership on virtual time.

   instance NAME REGION ZONE   start an entry instance
   endpoint NAME INC A,B       announce each second to the instances A and B
   say NAME INC SEQ up|leave I announce once; prints the status
   leave NAME | crash NAME     let an endpoint leave or fall silent
   lose A B COUNT              lose the next messages from A to B
   cut A B | heal A B          drop or carry what A and B send
   down A B | up A B           end their connections, or let them connect
   connections                 print how many each instance has
   capacity NAME REGION        print what NAME knows of a region
   restart NAME                start an instance anew, not open to callers
   open NAME | drain NAME      let callers come to it, or no longer
   run MS                      let time pass
   gone NAME MS                run until no instance uses an endpoint
   held NAME MS A,B            run and tell whether these always used it
   show                        print what each instance would use
   views NAME                  print the instances that NAME would list  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/membersim.h"

enum
{
  WORDS_MAX = 8,
  GONE_STEP_MS = 10
};

/* One command and what it does with its WORDS.  */
struct command
{
  const char *name;
  int words;
  void (*run) (struct membersim *world, char **words);
};

static void
run_instance (struct membersim *world, char **words)
{
  membersim_add_node (world, words[1], words[2], words[3]);
}

static void
run_endpoint (struct membersim *world, char **words)
{
  membersim_add_endpoint (world, words[1], strtoull (words[2], NULL, 10),
                          words[3]);
}

static void
run_say (struct membersim *world, char **words)
{
  enum jc_status status = membersim_report (
      world, words[1], strtoull (words[2], NULL, 10),
      strtoull (words[3], NULL, 10), strcmp (words[4], "leave") == 0, words[5]);

  printf ("%s\n", jc_status_name (status));
}

static void
run_leave (struct membersim *world, char **words)
{
  membersim_endpoint_leave (world, membersim_find_endpoint (world, words[1]));
}

static void
run_crash (struct membersim *world, char **words)
{
  membersim_find_endpoint (world, words[1])->silent = true;
}

static void
run_lose (struct membersim *world, char **words)
{
  netsim_drop_next (world->net, words[1], words[2],
                    (unsigned int)strtoul (words[3], NULL, 10));
}

static void
run_cut (struct membersim *world, char **words)
{
  netsim_set_cut (world->net, words[1], words[2],
                  strcmp (words[0], "cut") == 0);
}

static void
run_link (struct membersim *world, char **words)
{
  bool down = strcmp (words[0], "down") == 0;

  netsim_set_cut (world->net, words[1], words[2], down);
  if (down)
    membersim_disconnect (world, words[1], words[2]);
}

static void
run_restart (struct membersim *world, char **words)
{
  membersim_restart_node (world, words[1]);
}

static void
run_drain (struct membersim *world, char **words)
{
  membersim_node_drain (membersim_find_node (world, words[1]));
}

static void
run_open (struct membersim *world, char **words)
{
  membersim_node_accept_callers (membersim_find_node (world, words[1]));
}

static void
run_run (struct membersim *world, char **words)
{
  membersim_run (world, strtoll (words[1], NULL, 10));
}

static bool
used_anywhere (const struct membersim *world, const char *endpoint)
{
  for (guint i = 0; i < world->nodes->len; i++)
    if (membersim_node_uses (g_ptr_array_index (world->nodes, i), endpoint))
      return true;
  return false;
}

static void
run_gone (struct membersim *world, char **words)
{
  int64_t until = world->now_ms + strtoll (words[2], NULL, 10);

  while (world->now_ms < until && used_anywhere (world, words[1]))
    membersim_run (world, GONE_STEP_MS);
  printf ("%s is %s within %s ms\n", words[1],
          used_anywhere (world, words[1]) ? "still used" : "used by none",
          words[2]);
}

static bool
used_by_all (struct membersim *world, const char *endpoint, char **names)
{
  for (char **name = names; *name != NULL; name++)
    if (!membersim_node_uses (membersim_find_node (world, *name), endpoint))
      return false;
  return true;
}

static void
run_held (struct membersim *world, char **words)
{
  int64_t until = world->now_ms + strtoll (words[2], NULL, 10);
  char **names = g_strsplit (words[3], ",", -1);
  bool held = true;

  while (world->now_ms < until)
    {
      membersim_run (world, GONE_STEP_MS);
      held = held && used_by_all (world, words[1], names);
    }
  printf ("%s %s for %s ms\n", words[1], held ? "is held" : "is not held",
          words[2]);
  g_strfreev (names);
}

static void
run_show (struct membersim *world, char **words)
{
  (void)words;
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (world->nodes, i);
      GPtrArray *list = g_ptr_array_new ();

      jc_endpoints_list_serving (node->endpoints, "assist-llm", "",
                                 world->now_ms, list);
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
run_views (struct membersim *world, char **words)
{
  const struct membersim_node *node = membersim_find_node (world, words[1]);
  GPtrArray *list = g_ptr_array_new ();

  jc_regions_list_instances (node->regions, NULL, world->now_ms, list);
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
run_connections (struct membersim *world, char **words)
{
  (void)words;
  for (guint i = 0; i < world->nodes->len; i++)
    {
      const struct membersim_node *node = g_ptr_array_index (world->nodes, i);

      printf ("%s has %u connections\n", node->name,
              membersim_node_connections (node));
    }
}

static void
run_capacity (struct membersim *world, char **words)
{
  const struct membersim_node *node = membersim_find_node (world, words[1]);
  struct jc_capacity known;

  if (!jc_regions_get_capacity (node->regions, words[2], "assist-llm",
                                "assist-7b-v1", world->now_ms, &known))
    printf ("%s knows nothing of %s\n", words[1], words[2]);
  else
    printf ("%s knows %u endpoints of %s, %s\n", words[1], known.endpoints,
            words[2], known.free_slots > 0 ? "with free slots" : "busy");
}

static const struct command commands[]
    = { { "instance", 4, run_instance },
        { "endpoint", 4, run_endpoint },
        { "say", 6, run_say },
        { "leave", 2, run_leave },
        { "crash", 2, run_crash },
        { "lose", 4, run_lose },
        { "cut", 3, run_cut },
        { "heal", 3, run_cut },
        { "down", 3, run_link },
        { "up", 3, run_link },
        { "restart", 2, run_restart },
        { "open", 2, run_open },
        { "drain", 2, run_drain },
        { "run", 2, run_run },
        { "gone", 3, run_gone },
        { "held", 4, run_held },
        { "show", 1, run_show },
        { "views", 2, run_views },
        { "connections", 1, run_connections },
        { "capacity", 3, run_capacity } };

static bool
run_line (struct membersim *world, char *line)
{
  char **words = g_strsplit (g_strstrip (line), " ", WORDS_MAX);
  int count = (int)g_strv_length (words);
  bool known = count == 0 || words[0][0] == '#';

  for (size_t i = 0; !known && i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, words[0]) == 0 && commands[i].words == count)
      {
        commands[i].run (world, words);
        known = true;
      }
  if (!known)
    fprintf (stderr, "Unknown line: %s\n", line);
  g_strfreev (words);
  return known;
}

int
main (int argc, char **argv)
{
  struct membersim *world = membersim_new ();
  FILE *file = argc > 1 ? fopen (argv[1], "r") : NULL;
  char line[256];
  bool ok = file != NULL;

  while (ok && fgets (line, sizeof line, file) != NULL)
    {
      if (line[0] == '#')
        printf ("%s", line);
      ok = run_line (world, line);
    }
  if (file != NULL)
    fclose (file);
  membersim_free (world);
  return ok ? 0 : 1;
}
