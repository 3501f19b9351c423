/* Log of messages for operators on standard error.  Each line names the
   component that wrote it.  */

#ifndef JC_LOG_H
#define JC_LOG_H

#include <stdbool.h>

enum jc_log_level
{
  JC_LOG_DEBUG,
  JC_LOG_INFO,
  JC_LOG_WARN,
  JC_LOG_ERROR
};

void jc_log_setup (enum jc_log_level min_level, bool json_lines);
enum jc_log_level jc_log_level_by_name (const char *name);
void jc_log (enum jc_log_level level, const char *component, const char *fmt,
             ...) __attribute__ ((format (printf, 3, 4)));

#define jc_debug(component, ...) jc_log (JC_LOG_DEBUG, component, __VA_ARGS__)
#define jc_info(component, ...) jc_log (JC_LOG_INFO, component, __VA_ARGS__)
#define jc_warn(component, ...) jc_log (JC_LOG_WARN, component, __VA_ARGS__)
#define jc_error(component, ...) jc_log (JC_LOG_ERROR, component, __VA_ARGS__)

#endif
