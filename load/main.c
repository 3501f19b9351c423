/* jaycove-load: open-loop load and experiments.  */

#include <argtable2.h>
#include <stdio.h>

#include "net/program.h"

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, end };
  int errors = arg_parse (argc, argv, table);

  if (errors > 0)
    arg_print_errors (stderr, end, "jaycove-load");
  else if (version->count > 0)
    printf ("jaycove-load %s\n", JC_VERSION);
  else
    {
      printf ("Usage: jaycove-load");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return errors > 0 ? JC_EXIT_USAGE : JC_EXIT_OK;
}
