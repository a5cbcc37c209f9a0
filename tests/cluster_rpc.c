#include "cluster_rpc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "netaddr.h"

int
cluster_rpc_send (struct str addr, uint32_t proc, const void *args)
{
  struct str record = rpcmsg_call (1, proc, args);
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in sa;
  const bool sent = netaddr_parse (addr, &sa)
                    && connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0
                    && send (fd, record.data, record.len, MSG_NOSIGNAL)
                           == (ssize_t)record.len;

  str_free (&record);
  if (sent)
    return fd;
  close (fd);
  return -1;
}

/* Returns one RPC record without its record mark, or an empty string if the
   node did not answer in time. Free with str_free(). */
static struct str
read_record (int fd)
{
  uint32_t mark = 0;

  if (recv (fd, &mark, sizeof mark, MSG_WAITALL) != sizeof mark)
    return (struct str){ 0 };
  const size_t n = ntohl (mark) & 0x7fffffff;
  char *data = malloc (n + 1);
  if (recv (fd, data, n, MSG_WAITALL) == (ssize_t)n)
    return (struct str){ data, n };
  free (data);
  return (struct str){ 0 };
}

int
cluster_rpc_receive (int fd, uint32_t proc, uint32_t timeout_ms,
                     struct str *hint, void **result)
{
  const struct timeval limit = { .tv_sec = timeout_ms / 1000 };
  struct rpcmsg msg;
  struct str body;
  int rc = -ETIMEDOUT;

  *hint = (struct str){ 0 };
  *result = NULL;
  if (fd < 0)
    return -ECONNREFUSED;
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  struct str reply = read_record (fd);
  if (reply.len > 0 && rpcmsg_decode_header (reply, &msg, hint, &body) == 0)
    rc = msg.err;
  if (rc == 0)
    *result = rpcmsg_decode_body (proc, RPCMSG_RESULT, body);
  str_free (&reply);
  close (fd);
  return rc;
}
