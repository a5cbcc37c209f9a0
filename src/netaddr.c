#include "netaddr.h"

#include <arpa/inet.h>
#include <string.h>

bool
netaddr_parse (struct str text, struct sockaddr_in *out)
{
  char host[INET_ADDRSTRLEN];
  uint64_t port;
  size_t colon = text.len;

  while (colon > 0 && text.data[colon - 1] != ':')
    colon--;
  if (colon == 0 || colon > sizeof host)
    return false;
  memcpy (host, text.data, colon - 1);
  host[colon - 1] = '\0';
  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  if (inet_pton (AF_INET, host, &out->sin_addr) != 1)
    return false;
  if (!str_u64 ((struct str){ text.data + colon, text.len - colon }, &port)
      || port > UINT16_MAX)
    return false;
  out->sin_port = htons ((uint16_t)port);
  return true;
}

struct str
netaddr_print (const struct sockaddr_in *addr)
{
  char host[INET_ADDRSTRLEN] = "";

  inet_ntop (AF_INET, &addr->sin_addr, host, sizeof host);
  return str_printf ("%s:%u", host, ntohs (addr->sin_port));
}
