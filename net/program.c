/* Startup of programs; clock and random numbers.  */

#include <argtable2.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/build.h"
#include "net/program.h"

enum
{
  MS_PER_S = 1000,
  NS_PER_MS = 1000000,
  BYTES_PER_KB = 1024,
  STATUS_LINE_BYTES = 256
};

static char *settings_file;

/* Return the path of the settings file, NULL before jc_program_start has read
   it.  */
const char *
jc_program_settings_file (void)
{
  return settings_file;
}

/* Return the time of the monotonic clock in ms.  */
int64_t
jc_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Return the time of the same clock in microseconds.  */
int64_t
jc_now_us (void)
{
  return g_get_monotonic_time ();
}

/* Return the most memory in bytes that this process has had resident since it
   was started, 0 if the system does not tell.  The figure of getrusage begins
   with that of the process which started this one.  */
uint64_t
jc_peak_memory_bytes (void)
{
  static const char field[] = "VmHWM:";
  FILE *file = fopen ("/proc/self/status", "r");
  char line[STATUS_LINE_BYTES];
  uint64_t peak_kb = 0;

  if (file == NULL)
    return 0;
  while (peak_kb == 0 && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, field, sizeof field - 1) == 0)
      peak_kb = strtoull (line + sizeof field - 1, NULL, 10);
  fclose (file);
  return peak_kb * BYTES_PER_KB;
}

/* Return the time in ms of a clock that, unlike jc_now_ms, goes on while the
   machine is suspended.  */
int64_t
jc_boot_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Return the Unix time in ms.  It may jump.  */
int64_t
jc_wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Return a random number other than 0, such as for incarnations.  */
uint64_t
jc_random_id (void)
{
  uint64_t id;

  do
    randombytes_buf (&id, sizeof id);
  while (id == 0);
  return id;
}

/* Return the settings of PROGRAM in FILE.  Print faults to stderr and return
   NULL if there are any.  */
static void *
load_settings (const struct jc_program *program, const char *file)
{
  GPtrArray *faults = g_ptr_array_new_with_free_func (g_free);
  void *settings = jc_table_load (program->table, file, faults);

  for (guint i = 0; i < faults->len; i++)
    fprintf (stderr, "%s: %s\n", program->name,
             (const char *)g_ptr_array_index (faults, i));
  if (faults->len > 0)
    {
      jc_table_unref (program->table, settings);
      settings = NULL;
    }
  g_ptr_array_free (faults, TRUE);
  return settings;
}

/* Parse the options of a daemon and load its settings.  BOOTSTRAP is NULL for a
   daemon without that option.  Return true, with SETTINGS and BOOTSTRAP set, if
   the daemon is to run; otherwise it is to exit with EXIT_CODE.  */
bool
jc_program_start (const struct jc_program *program, int argc, char **argv,
                  bool *bootstrap, void **settings, int *exit_code)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this and exit");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_lit *bootstrap_flag
      = bootstrap != NULL ? arg_lit0 (NULL, "bootstrap",
                                      "found a new group (first start only)")
                          : NULL;
  struct arg_file *file = arg_file0 (NULL, "settings", "FILE", "settings");
  struct arg_end *end = arg_end (8);
  void *table[] = { help, version, check, file, bootstrap_flag, end };
  size_t count = G_N_ELEMENTS (table);
  int errors;
  bool run = false;

  if (bootstrap_flag == NULL)
    table[--count - 1] = end;
  errors = arg_parse (argc, argv, table);
  *exit_code = JC_EXIT_OK;
  signal (SIGPIPE, SIG_IGN);
  /* Writes beyond the file size limit fail with EFBIG instead.  */
  signal (SIGXFSZ, SIG_IGN);
  /* Ignored until a daemon that reloads its settings installs its handler.  */
  signal (SIGHUP, SIG_IGN);
  if (sodium_init () < 0)
    *exit_code = JC_EXIT_FAILED;
  else if (help->count > 0)
    {
      printf ("Usage: %s", program->name);
      arg_print_syntax (stdout, table, "\n");
      printf ("%s\n\n", program->purpose);
      arg_print_glossary (stdout, table, "  %-24s %s\n");
    }
  else if (version->count > 0)
    printf ("%s %s (%s)\n", program->name, JC_VERSION, jc_build_name ());
  else if (errors > 0 || file->count == 0)
    {
      arg_print_errors (stderr, end, program->name);
      fprintf (stderr, "%s: --settings FILE is needed; see --help\n",
               program->name);
      *exit_code = JC_EXIT_USAGE;
    }
  else
    {
      g_free (settings_file);
      settings_file = g_strdup (file->filename[0]);
      *settings = load_settings (program, settings_file);
      if (*settings == NULL)
        *exit_code = JC_EXIT_SETTINGS;
      run = *settings != NULL && check->count == 0;
      if (bootstrap_flag != NULL)
        *bootstrap = bootstrap_flag->count > 0;
    }
  arg_freetable (table, count);
  return run;
}
