#pragma once

#include <stdint.h>

/** tcpinfo_acked_bytes() - number of bytes that the peer of a connection has
 * acknowledged; 0 if the kernel doesn't report it. */
uint64_t tcpinfo_acked_bytes (int fd);
