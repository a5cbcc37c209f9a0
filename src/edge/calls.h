#pragma once

#include <h2o.h>

#include "kernel.h"

/* Clients' calls at this node, from routing to the response. */

struct calls;

struct calls *calls_create (struct kernel *kernel);
/** calls_start() - start the timers. */
void calls_start (struct calls *calls);
/** calls_stop() - close the timers. Open calls are not closed; the process is
 * about to exit. */
void calls_stop (struct calls *calls);
void calls_destroy (struct calls *calls);
/** calls_accept() - take over a client's request. Every request gets a
 * response, also one that is rejected. */
void calls_accept (struct calls *calls, h2o_req_t *req);
/** calls_drain() - limit the waiting time of calls before shutdown.
 * @remaining_ms: from now on. After that, calls that still wait for a server
 *   are refused, and so are new ones that would have to wait.
 */
void calls_drain (struct calls *calls, uint32_t remaining_ms);
/** calls_open() - number of calls whose response is not complete. */
size_t calls_open (const struct calls *calls);
