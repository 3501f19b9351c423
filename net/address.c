/* Addresses of the form IP:PORT.  */

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

#include "net/address.h"

/* Parse TEXT, "IP:PORT" with an IPv4 number, into ADDR.  Port 0 is accepted.
   Return JC_BAD_REQUEST and set the last message if TEXT is not valid.  */
enum jc_status
jc_address_parse (const char *text, struct sockaddr_in *addr)
{
  const char *colon = strrchr (text, ':');
  guint64 port;
  char *host;
  int ok;

  memset (addr, 0, sizeof *addr);
  addr->sin_family = AF_INET;
  if (colon == NULL)
    return jc_fail (JC_BAD_REQUEST, "%s has no port.", text);
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, UINT16_MAX, &port, NULL))
    return jc_fail (JC_BAD_REQUEST, "%s has no port from 0 to 65535.", text);
  host = g_strndup (text, (gsize)(colon - text));
  ok = inet_pton (AF_INET, host, &addr->sin_addr);
  g_free (host);
  addr->sin_port = htons ((uint16_t)port);
  if (ok != 1)
    return jc_fail (JC_BAD_REQUEST, "%s has no IP number.", text);
  return JC_OK;
}

/* Return a copy of TEXT, "IP:PORT" or "IP", with the port PORT.  The caller
   frees it.  */
char *
jc_address_with_port (const char *text, int port)
{
  const char *colon = strrchr (text, ':');
  size_t len = colon != NULL ? (size_t)(colon - text) : strlen (text);

  return g_strdup_printf ("%.*s:%d", (int)len, text, port);
}
