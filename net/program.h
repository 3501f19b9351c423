/* Startup of programs: options, settings, signals; clock and random
   numbers.  */

#ifndef JC_PROGRAM_H
#define JC_PROGRAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fields.h"

/* Exit codes of every program.  */
enum jc_exit
{
  JC_EXIT_OK = 0,
  JC_EXIT_FAILED = 1,
  JC_EXIT_USAGE = 2,
  JC_EXIT_SETTINGS = 3,
  JC_EXIT_REFUSED = 4,
  JC_EXIT_UNKNOWN = 5
};

/* A daemon: its name, a line of help text and the table of its settings.  */
struct jc_program
{
  const char *name;
  const char *purpose;
  const struct jc_table *table;
};

bool jc_program_start (const struct jc_program *program, int argc, char **argv,
                       bool *bootstrap, void **settings, int *exit_code);
const char *jc_program_settings_file (void);
int64_t jc_now_ms (void);
int64_t jc_now_us (void);
int64_t jc_wall_ms (void);
int64_t jc_boot_ms (void);
uint64_t jc_random_id (void);
uint64_t jc_peak_memory_bytes (void);

#endif
