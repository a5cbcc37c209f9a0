#include "kit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A request with contradicting lengths carries a second one in its body. The
   node takes the body for a request of its own and passes it on. */

#define SERVERS 3
#define TRIES 5

/* How the outer request states its length; each form is malformed or may not
   be followed by another request on the connection. */
static const struct
{
  const char *name;
  const char *fields; /* %zu: the length of the body */
  const char *begin;  /* of the body */
} forms[] = {
  { "two-lengths", "Content-Length: 0\r\nContent-Length: %zu\r\n", "" },
  { "length-and-chunks",
    "Content-Length: %zu\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" },
};

/* Without the disruption the same body is sent with its length alone. */
static const char sound_fields[] = "Content-Length: %zu\r\n";

static void
send_form (size_t form, int node)
{
  char outer[32];
  char inner[32];
  char body[512];
  char fields[128];
  char text[1024];
  char received[512] = { 0 };
  const struct timeval limit = { .tv_sec = 1 };
  const int fd = dial (nodes[node].front);

  if (fd < 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  new_id (outer);
  snprintf (inner, sizeof inner, "inner-%.20s", outer);
  snprintf (body, sizeof body,
            "%sPOST /charge/1 HTTP/1.1\r\nHost: co.example\r\n"
            "X-Galenagate-Attempt-Id: %s\r\n"
            "X-Galenagate-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n",
            forms[form].begin, inner);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
  snprintf (fields, sizeof fields,
            trouble () ? forms[form].fields : sound_fields, strlen (body));
#pragma GCC diagnostic pop
  const int n = snprintf (
      text, sizeof text,
      "POST /charge/0 HTTP/1.1\r\nHost: co.example\r\n"
      "X-Galenagate-Attempt-Id: %s\r\nX-Galenagate-Deadline-Ms: 600\r\n"
      "%s\r\n%s",
      outer, fields, body);
  record ("client sends %s form=%s to node-%d, body holds %s", outer,
          forms[form].name, node + 1, inner);
  send_all (fd, text, (size_t)n);
  usleep (300000);
  const ssize_t got = recv (fd, received, sizeof received - 1, 0);
  received[strcspn (received, "\r\n")] = '\0';
  record ("client gets %s \"%s\"", outer, got > 0 ? received : "nothing");
  close (fd);
}

int
main (void)
{
  struct server servers[SERVERS];
  int inner;

  start_record (getenv ("RECORD"));
  start_deployment ();
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1, false);
  await_nodes ();
  for (size_t i = 0; i < sizeof forms / sizeof *forms; i++)
    for (int j = 0; j < TRIES; j++)
      send_form (i, j % NODES);
  usleep (300000);
  inner = record_count (" runs inner-", "");
  const int outer = record_count (" runs a", "");
  record ("requests run: outer=%d inner=%d", outer, inner);
  printf ("requests run: outer=%d inner=%d\n", outer, inner);
  stop_all ();
  if (!trouble () && outer == 0)
    return 2;
  return inner > 0 ? 1 : 0;
}
