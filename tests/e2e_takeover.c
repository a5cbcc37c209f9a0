#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge/digest.h"
#include "edgecluster.h"
#include "err.h"
#include "netaddr.h"
#include "xdrcodec.h"

#include "suite.h"

/* The test plays a node that knows the holder only, as one does that the store
   does not answer. */

#define WAIT_MS 15000
#define TELL_MS 100
#define DATAGRAM_MAX 65536

static struct str
peer_address (const struct cluster_proc *edge)
{
  for (int i = 0; edge->argv[i]; i++)
    if (strcmp (edge->argv[i], "--peer-addr") == 0)
      return str_from (edge->argv[i + 1]);
  return (struct str){ 0 };
}

static int
open_socket (void)
{
  const int fd = socket (AF_INET, SOCK_DGRAM, 0);
  const struct sockaddr_in any
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (const struct sockaddr *)&any, sizeof any),
                         0);
  return fd;
}

/* Tells a node of no demand. */
static void
tell (int fd, struct str to, uint64_t sequence)
{
  struct datagram d = { .kind = DATAGRAM_ENTRY };
  struct sockaddr_in sin;
  struct str bytes;

  d.datagram_u.entry.node = (label){ 4, "test" };
  d.datagram_u.entry.instance = 1;
  d.datagram_u.entry.sequence = sequence;
  CU_ASSERT_TRUE_FATAL (netaddr_parse (to, &sin));
  bytes = xdrcodec_encode ((xdrproc_t)xdr_datagram, &d);
  sendto (fd, bytes.data, bytes.len, 0, (struct sockaddr *)&sin, sizeof sin);
  str_free (&bytes);
}

/* Takes a datagram in, if one comes. Returns the fencing token of a holder's
   digest that names at least @nodes nodes, else 0. */
static uint64_t
hear (int fd, u_int nodes)
{
  static char bytes[DATAGRAM_MAX];
  struct pollfd p = { .fd = fd, .events = POLLIN };
  struct datagram d = { 0 };
  uint64_t fence = 0;
  XDR x;

  if (poll (&p, 1, TELL_MS) <= 0)
    return 0;
  const ssize_t n = recv (fd, bytes, sizeof bytes, 0);
  if (n <= 0)
    return 0;
  xdrmem_create (&x, bytes, (u_int)n, XDR_DECODE);
  if (xdr_datagram (&x, &d) && d.kind == DATAGRAM_HOLDER
      && d.datagram_u.holder.nodes.nodes_len >= nodes)
    fence = d.datagram_u.holder.fence;
  xdr_free ((xdrproc_t)xdr_datagram, (char *)&d);
  return fence;
}

/* Guards against a node that hears nothing of a new holder because the store
   does not answer it: its calls waited 4 s and more for models. */
static void
test_announced (void)
{
  struct edges edges = edges_create ();
  struct cluster_proc *first;
  struct cluster_proc *second;
  const int fd = open_socket ();
  uint64_t fence = 0;
  uint64_t later = 0;

  edges_configure (&edges, 5000);
  first = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  second = cluster_edge (edges.cluster, "b", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  for (uint64_t i = 1; fence == 0 && i < WAIT_MS / TELL_MS; i++)
    {
      tell (fd, peer_address (first), i);
      fence = hear (fd, 2);
    }
  CU_ASSERT_TRUE (fence > 0);
  cluster_kill (first);
  for (int i = 0; later <= fence && i < WAIT_MS / TELL_MS; i++)
    later = hear (fd, 0);
  CU_ASSERT_TRUE (later > fence);
  CU_ASSERT_PTR_NOT_NULL (second);
  close (fd);
  edges_destroy (&edges);
}

static const struct suite_case cases[] = { { "announced", test_announced } };
TEST_SUITE ("takeover", cases)
