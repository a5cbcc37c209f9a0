#pragma once

#include "rpcmsg.h"

/* Calls that an end-to-end test sends to the bus port of a node, as other
   nodes do. */

/** cluster_rpc_send() - send a call over a connection of its own. Returns the
 * socket, which cluster_rpc_receive() closes, or -1. */
int cluster_rpc_send (struct str addr, uint32_t proc, const void *args);
/**
 * cluster_rpc_receive() - receive the reply and close the connection.
 * @fd: -1 gives -ECONNREFUSED.
 * @hint: set to the hint of the reply; free with str_free().
 * @result: set to the result if 0 is returned, otherwise to NULL; free with
 *   rpcmsg_free().
 *
 * Returns 0, the error of the reply or -ETIMEDOUT.
 */
int cluster_rpc_receive (int fd, uint32_t proc, uint32_t timeout_ms,
                         struct str *hint, void **result);
