#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* A TCP proxy that can fall silent, as a cut link does. */

#define PAIRS_MAX 256
#define SILENT_CHECK_MS 5

struct proxy
{
  int listener;
  int port;
  int to;
  atomic_bool silent;
  int pairs[PAIRS_MAX][2]; /* -1 for none */
};

static void
add_pair (struct proxy *p)
{
  const int client = accept4 (p->listener, NULL, NULL, SOCK_CLOEXEC);
  const int server = client >= 0 ? connect_to (p->to) : -1;

  for (int i = 0; server >= 0 && i < PAIRS_MAX; i++)
    if (p->pairs[i][0] < 0)
      {
        p->pairs[i][0] = client;
        p->pairs[i][1] = server;
        return;
      }
  if (client >= 0)
    close (client);
  if (server >= 0)
    close (server);
}

static void
close_pair (int *pair)
{
  close (pair[0]);
  close (pair[1]);
  pair[0] = pair[1] = -1;
}

/* Passes on what one end has sent. Returns false when it has closed. */
static bool
pass (int from, int to)
{
  char part[16384];
  const ssize_t n = recv (from, part, sizeof part, MSG_DONTWAIT);

  return n > 0 && send (to, part, (size_t)n, MSG_NOSIGNAL) == n;
}

static void *
run (void *ctx)
{
  struct proxy *p = ctx;

  for (;;)
    {
      struct pollfd fds[1 + 2 * PAIRS_MAX];
      int owners[1 + 2 * PAIRS_MAX];
      int n = 1;

      if (p->silent)
        {
          sleep_ms (SILENT_CHECK_MS);
          continue;
        }
      fds[0] = (struct pollfd){ p->listener, POLLIN, 0 };
      for (int i = 0; i < PAIRS_MAX; i++)
        for (int side = 0; side < 2 && p->pairs[i][0] >= 0; side++)
          {
            owners[n] = i;
            fds[n++] = (struct pollfd){ p->pairs[i][side], POLLIN, 0 };
          }
      if (poll (fds, (nfds_t)n, SILENT_CHECK_MS) <= 0 || p->silent)
        continue;
      for (int k = 1; k < n; k++)
        {
          int *pair = p->pairs[owners[k]];
          const int side = fds[k].fd == pair[0] ? 0 : 1;

          if (fds[k].revents && pair[0] >= 0 && fds[k].fd == pair[side]
              && !pass (pair[side], pair[1 - side]))
            close_pair (pair);
        }
      if (fds[0].revents)
        add_pair (p);
    }
  return NULL;
}

struct proxy *
proxy_start (int to)
{
  const int one = 1;
  struct proxy *p = calloc (1, sizeof *p);
  pthread_t t;

  p->port = free_port ();
  p->to = to;
  for (int i = 0; i < PAIRS_MAX; i++)
    p->pairs[i][0] = p->pairs[i][1] = -1;
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons ((unsigned short)p->port),
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  p->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (p->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (p->listener, (struct sockaddr *)&a, sizeof a) != 0
      || listen (p->listener, 64) != 0
      || pthread_create (&t, NULL, run, p) != 0)
    kit_fail ("proxy");
  return p;
}

int
proxy_port (const struct proxy *p)
{
  return p->port;
}

void
proxy_set_silent (struct proxy *p, bool silent)
{
  p->silent = silent;
}
