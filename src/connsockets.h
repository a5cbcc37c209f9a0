#pragma once

#include <stdbool.h>

/* Sockets of the HTTP client's open connections, by the addresses of their two
   ends. libcurl tells the socket of a connection when it opens and closes it,
   but only the addresses when it chose a kept connection for a request. */

struct connsockets;

/**
 * struct connaddress - the two ends of a connection.
 * @remote_ip: null-terminated.
 */
struct connaddress
{
  const char *remote_ip;
  int remote_port;
  int local_port;
};

struct connsockets *connsockets_create (void);
/** connsockets_destroy() - free the map; closes no socket. */
void connsockets_destroy (struct connsockets *sockets);
/** connsockets_add() - a connection was established.
 * @fd: its socket, 0 or more. */
void connsockets_add (struct connsockets *sockets,
                      const struct connaddress *address, int fd);
/** connsockets_remove() - the socket is about to be closed. */
void connsockets_remove (struct connsockets *sockets, int fd);
/** connsockets_find() - returns the socket of an open connection; -1 if it is
 * not known. */
int connsockets_find (const struct connsockets *sockets,
                      const struct connaddress *address);
/** connsockets_mark_unreliable() - mark a connection on which a later request
 * may be lost. */
void connsockets_mark_unreliable (struct connsockets *sockets, int fd);
bool connsockets_is_unreliable (const struct connsockets *sockets, int fd);
