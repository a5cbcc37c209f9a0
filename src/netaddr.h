#pragma once

#include <stdbool.h>

#include <netinet/in.h>

#include "str.h"

/** netaddr_parse() - parse "IPv4:port". Returns false if @text is invalid. */
bool netaddr_parse (struct str text, struct sockaddr_in *out);
/** netaddr_print() - format as "IPv4:port"; heap-owned. */
struct str netaddr_print (const struct sockaddr_in *addr);
