/* jaycove-load: open-loop load and experiments.  */

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "load/load.h"
#include "net/program.h"

enum
{
  SEED_DEFAULT = 1
};

/* Where the reports go; NULL for nowhere.  */
struct outputs
{
  const char *csv;
  const char *json;
};

static FILE *
open_output (const char *file)
{
  FILE *out = fopen (file, "a");

  if (out == NULL)
    fprintf (stderr, "jaycove-load: %s can't be written\n", file);
  return out;
}

/* Write the reports.  The CSV file is appended to, so that runs can be
   compared.  */
static int
write_reports (const struct load *load, const struct outputs *outputs)
{
  int code = JC_EXIT_OK;
  FILE *out;

  report_table (load, stdout);
  if (outputs->csv != NULL)
    {
      out = open_output (outputs->csv);
      if (out != NULL)
        {
          report_csv (load, out, ftell (out) == 0);
          fclose (out);
        }
      else
        code = JC_EXIT_FAILED;
    }
  if (outputs->json != NULL)
    {
      out = open_output (outputs->json);
      if (out != NULL)
        {
          report_json (load, out);
          fclose (out);
        }
      else
        code = JC_EXIT_FAILED;
    }
  return code;
}

static struct jc_load_profile *
load_profile (const char *file)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  struct jc_load_profile *profile
      = jc_table_load (&jc_load_profile_table, file, faults);

  for (guint i = 0; i < faults->len; i++)
    fprintf (stderr, "jaycove-load: %s\n",
             (const char *)g_ptr_array_index (faults, i));
  if (faults->len > 0)
    {
      jc_table_unref (&jc_load_profile_table, profile);
      profile = NULL;
    }
  g_ptr_array_free (faults, TRUE);
  return profile;
}

static int
run (struct load *load, double factor, const struct outputs *outputs)
{
  int code;

  signal (SIGPIPE, SIG_IGN);
  load->loop = ev_default_loop (0);
  load->httpc = jc_httpc_new (load->loop);
  load_run (load, factor);
  code = write_reports (load, outputs);
  jc_httpc_free (load->httpc);
  load_sources_free (load);
  return code;
}

static void
print_help (void **table)
{
  printf ("Usage: jaycove-load");
  arg_print_syntax (stdout, table, "\n");
  printf ("Sends the requests of a profile and reports what came back.\n\n");
  arg_print_glossary (stdout, table, "  %-20s %s\n");
  printf ("\nExit codes: 0 done, 1 a report can't be written, 2 usage, 3 "
          "faults in the profile.\n");
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the profile and exit");
  struct arg_file *file = arg_file0 (NULL, "profile", "FILE", "what to send");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the arrivals");
  struct arg_dbl *factor
      = arg_dbl0 (NULL, "rate", "FACTOR", "times the profile's rates");
  struct arg_str *label = arg_str0 (NULL, "label", "TEXT", "name of the run");
  struct arg_file *csv = arg_file0 (NULL, "csv", "FILE", "append rows as CSV");
  struct arg_file *json = arg_file0 (NULL, "json", "FILE", "append as JSON");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { help, version, check, file, seed, factor, label, csv, json, end };
  int errors = arg_parse (argc, argv, table);
  int code = JC_EXIT_OK;

  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("jaycove-load %s\n", JC_VERSION);
  else if (errors > 0 || file->count == 0
           || (factor->count > 0 && factor->dval[0] <= 0))
    {
      arg_print_errors (stderr, end, "jaycove-load");
      fprintf (stderr, "jaycove-load: --profile FILE is needed, and a --rate "
                       "over 0; see --help\n");
      code = JC_EXIT_USAGE;
    }
  else
    {
      struct jc_load_profile *profile = load_profile (file->filename[0]);
      struct load load = { .profile = profile,
                           .label = label->count > 0 ? label->sval[0] : "run",
                           .seed = seed->count > 0 ? (uint64_t)seed->ival[0]
                                                   : SEED_DEFAULT };
      struct outputs outputs
          = { .csv = csv->count > 0 ? csv->filename[0] : NULL,
              .json = json->count > 0 ? json->filename[0] : NULL };

      if (profile == NULL)
        code = JC_EXIT_SETTINGS;
      else if (check->count == 0)
        code = run (&load, factor->count > 0 ? factor->dval[0] : 1.0, &outputs);
      jc_table_unref (&jc_load_profile_table, profile);
    }
  arg_freetable (table, sizeof table / sizeof *table);
  return code;
}
