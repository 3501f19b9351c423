/* Addresses of the form IP:PORT.  */

#ifndef JC_ADDRESS_H
#define JC_ADDRESS_H

#include <netinet/in.h>

#include "base/status.h"

enum jc_status jc_address_parse (const char *text, struct sockaddr_in *addr);
char *jc_address_with_port (const char *text, int port);

#endif
