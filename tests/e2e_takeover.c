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

/* The test acts as a node that has the address of the current holder only,
   like a node that gets no response from the store. */

#define WAIT_MS 15000
#define POLL_MS 100
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
bind_socket (void)
{
  const int fd = socket (AF_INET, SOCK_DGRAM, 0);
  const struct sockaddr_in any
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };

  CU_ASSERT_TRUE_FATAL (fd >= 0);
  CU_ASSERT_EQUAL_FATAL (bind (fd, (const struct sockaddr *)&any, sizeof any),
                         0);
  return fd;
}

/* Sends a node a digest without demand. */
static void
send_empty_digest (int fd, struct str to, uint64_t sequence)
{
  struct datagram d = { .kind = DATAGRAM_ENTRY };
  struct sockaddr_in sin;
  struct str bytes;

  d.datagram_u.entry.node = (label){ 4, "test" };
  d.datagram_u.entry.instance = 1;
  d.datagram_u.entry.sequence = sequence;
  CU_ASSERT_TRUE_FATAL (netaddr_parse (to, &sin));
  CU_ASSERT_EQUAL (xdrcodec_encode ((xdrproc_t)xdr_datagram, &d, &bytes), 0);
  sendto (fd, bytes.data, bytes.len, 0, (struct sockaddr *)&sin, sizeof sin);
  str_free (&bytes);
}

/* Receives a datagram, if one arrives within POLL_MS. Returns the fencing
   token of a holder's digest that lists at least @min_nodes nodes, or 0. */
static uint64_t
receive_holder_fence (int fd, u_int min_nodes)
{
  static char bytes[DATAGRAM_MAX];
  struct pollfd p = { .fd = fd, .events = POLLIN };
  struct datagram d = { 0 };
  uint64_t fence = 0;
  XDR x;

  if (poll (&p, 1, POLL_MS) <= 0)
    return 0;
  const ssize_t n = recv (fd, bytes, sizeof bytes, 0);
  if (n <= 0)
    return 0;
  xdrmem_create (&x, bytes, (u_int)n, XDR_DECODE);
  if (xdr_datagram (&x, &d) && d.kind == DATAGRAM_HOLDER
      && d.datagram_u.holder.nodes.nodes_len >= min_nodes)
    fence = d.datagram_u.holder.fence;
  xdr_free ((xdrproc_t)xdr_datagram, (char *)&d);
  return fence;
}

/* Guards against a new holder that does not announce itself to a node which
   gets no response from the store: that node's calls waited 4 s and more for
   models. */
static void
test_new_holder_announced (void)
{
  struct edgecluster edges = edgecluster_create ();
  struct cluster_proc *first;
  struct cluster_proc *second;
  const int fd = bind_socket ();
  uint64_t fence = 0;
  uint64_t new_fence = 0;
  int digests = 0;

  edgecluster_configure (&edges, 5000);
  first = cluster_edge (edges.cluster, "a", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  second = cluster_edge (edges.cluster, "b", NULL);
  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  /* A digest is sent to one node after the other. Once the next one has
     arrived here, the second node has been sent the first one. */
  for (uint64_t i = 1; digests < 2 && i < WAIT_MS / POLL_MS; i++)
    {
      send_empty_digest (fd, peer_address (first), i);
      fence = receive_holder_fence (fd, 2);
      digests += fence > 0;
    }
  CU_ASSERT_EQUAL (digests, 2);
  cluster_kill (first);
  for (int i = 0; new_fence <= fence && i < WAIT_MS / POLL_MS; i++)
    new_fence = receive_holder_fence (fd, 0);
  CU_ASSERT_TRUE (new_fence > fence);
  CU_ASSERT_PTR_NOT_NULL (second);
  close (fd);
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[]
    = { { "new holder announced", test_new_holder_announced } };
TEST_SUITE ("takeover", cases)
