#pragma once

#include <stdbool.h>

#include <netinet/in.h>

#include "str.h"

/** netaddr_parse() - read "IPv4:port". */
bool netaddr_parse (struct str text, struct sockaddr_in *out);
/** netaddr_print() - "IPv4:port"; heap-owned. */
struct str netaddr_print (const struct sockaddr_in *addr);
