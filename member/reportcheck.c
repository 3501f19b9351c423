/* Checks of what endpoints report.  */

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>

#include "member/reportcheck.h"

enum
{
  PORT_MAX = 65535,
  DECIMAL = 10
};

/* Clocks of different machines may differ by a wrong time zone.  */
#define START_AHEAD_MAX_MS ((int64_t)24 * 60 * 60 * 1000)
/* Start of 2024.  A clock before it was never set.  */
#define CLOCK_MIN_MS ((int64_t)1704067200000)

/* Return JC_BAD_REQUEST if NAME fits in no message or is not a line of UTF-8
   text, and JC_OK otherwise, also if it is empty.  */
enum jc_status
jc_report_check_name (const char *name)
{
  if (strlen (name) > RPC_NAME_MAX)
    return jc_fail (JC_BAD_REQUEST, "A name is longer than %d bytes.",
                    RPC_NAME_MAX);
  if (!g_utf8_validate (name, -1, NULL))
    return jc_fail (JC_BAD_REQUEST, "A name is no UTF-8 text.");
  for (const char *at = name; *at != '\0'; at++)
    if (g_ascii_iscntrl (*at))
      return jc_fail (JC_BAD_REQUEST, "A name has a control character.");
  return JC_OK;
}

/* Return whether HOST is the IPv4 number of one machine.  */
static bool
is_host_number (const char *host)
{
  struct in_addr number;
  in_addr_t value;

  if (inet_pton (AF_INET, host, &number) != 1)
    return false;
  value = ntohl (number.s_addr);
  return value != INADDR_ANY && !IN_MULTICAST (value) && !IN_BADCLASS (value);
}

static enum jc_status
check_address (const char *address)
{
  const char *colon = strrchr (address, ':');
  char *host;
  bool ok;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, DECIMAL, 1, PORT_MAX, NULL,
                                      NULL))
    return jc_fail (JC_BAD_REQUEST, "The address has no port from 1 to %d.",
                    PORT_MAX);
  host = g_strndup (address, (gsize)(colon - address));
  ok = is_host_number (host);
  g_free (host);
  return ok ? JC_OK
            : jc_fail (JC_BAD_REQUEST, "The address has no IPv4 number.");
}

static enum jc_status
check_numbers (const struct rpc_endpoint *report, int64_t wall_ms)
{
  if (report->sequence > JC_REPORT_NUMBER_MAX)
    return jc_fail (JC_BAD_REQUEST, "No endpoint counts so many reports.");
  if (report->incarnation > JC_REPORT_NUMBER_MAX
      || (wall_ms >= CLOCK_MIN_MS
          && report->incarnation > (uint64_t)(wall_ms + START_AHEAD_MAX_MS)))
    return jc_fail (JC_BAD_REQUEST, "The start lies in the future.");
  return JC_OK;
}

/* Return JC_BAD_REQUEST, with a message, if REPORT has a value that no endpoint
   can have: a name that fits in no message, an address that nobody can connect
   to, a start far ahead of WALL_MS, the Unix time in ms, or too large a
   sequence.  The start is compared only if WALL_MS is a time that was set.  */
enum jc_status
jc_report_check (const struct rpc_endpoint *report, int64_t wall_ms)
{
  const char *const names[] = { report->name, report->service, report->zone,
                                report->role, report->address };
  enum jc_status status = JC_OK;

  for (size_t i = 0; i < G_N_ELEMENTS (names) && status == JC_OK; i++)
    if (names[i] != NULL)
      status = jc_report_check_name (names[i]);
  for (u_int i = 0; i < report->models.models_len && status == JC_OK; i++)
    status = jc_report_check_name (report->models.models_val[i]);
  if (status == JC_OK)
    status = check_address (report->address);
  return status == JC_OK ? check_numbers (report, wall_ms) : status;
}
