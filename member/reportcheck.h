/* Checks of what endpoints report: values that no endpoint can have.  */

#ifndef JC_REPORTCHECK_H
#define JC_REPORTCHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "schema/gen/messages.h"

/* A start or a sequence that no clock and no counter reaches.  */
#define JC_REPORT_NUMBER_MAX ((uint64_t)1 << 53)

enum jc_status jc_report_check_name (const char *name);
enum jc_status jc_report_check (const struct rpc_endpoint *report,
                                int64_t wall_ms);

#endif
