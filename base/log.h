/* Logger: short sentences, one line each, with a prefix for each part.  */

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

void jc_log_setup (enum jc_log_level least, bool json_lines);
enum jc_log_level jc_log_level_by_name (const char *name);
void jc_log (enum jc_log_level level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#define jc_debug(part, ...) jc_log (JC_LOG_DEBUG, part, __VA_ARGS__)
#define jc_info(part, ...) jc_log (JC_LOG_INFO, part, __VA_ARGS__)
#define jc_warn(part, ...) jc_log (JC_LOG_WARN, part, __VA_ARGS__)
#define jc_error(part, ...) jc_log (JC_LOG_ERROR, part, __VA_ARGS__)

#endif
