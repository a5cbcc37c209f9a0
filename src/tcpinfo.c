#include "tcpinfo.h"

/* A file of its own, because libc's <netinet/tcp.h>, which libraries include,
   conflicts with this header and lacks the field. */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

uint64_t
tcpinfo_acked_bytes (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t len = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) != 0)
    return 0;
  return info.tcpi_bytes_acked;
}
