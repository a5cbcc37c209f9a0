#pragma once

#include <h2o.h>

#include "kernel.h"

/* The lives of clients' calls at this node: route, wait, send, answer. */

struct calls;

struct calls *calls_create (struct kernel *kernel);
/** calls_start() - start the timers. */
void calls_start (struct calls *calls);
/** calls_stop() - close the timers; calls at hand are left to the process's
 * end. */
void calls_stop (struct calls *calls);
void calls_destroy (struct calls *calls);
/** calls_accept() - take over a client's request; answers it in any case. */
void calls_accept (struct calls *calls, h2o_req_t *req);
/** calls_drain() - the node stops: no call waits longer than @left_ms from
 * now, and those that come later wait no longer either. */
void calls_drain (struct calls *calls, uint32_t left_ms);
/** calls_open() - number of calls without a complete answer. */
size_t calls_open (const struct calls *calls);
