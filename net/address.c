/* Addresses.  */

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"

/* Parse TEXT, "IP:PORT", into ADDR.  */
enum jc_status
jc_address_parse (const char *text, struct sockaddr_in *addr)
{
  const char *colon = strrchr (text, ':');
  char *host;
  int ok;

  memset (addr, 0, sizeof *addr);
  addr->sin_family = AF_INET;
  if (colon == NULL)
    return jc_fail (JC_BAD_REQUEST, "%s has no port.", text);
  host = g_strndup (text, (gsize)(colon - text));
  ok = inet_pton (AF_INET, host, &addr->sin_addr);
  g_free (host);
  addr->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  if (ok != 1)
    return jc_fail (JC_BAD_REQUEST, "%s has no IP number.", text);
  return JC_OK;
}

/* Return TEXT, "IP:PORT", with PORT instead; the caller frees it.  */
char *
jc_address_with_port (const char *text, int port)
{
  const char *colon = strrchr (text, ':');
  size_t len = colon != NULL ? (size_t)(colon - text) : strlen (text);

  return g_strdup_printf ("%.*s:%d", (int)len, text, port);
}
