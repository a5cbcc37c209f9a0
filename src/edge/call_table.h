#pragma once

#include <h2o.h>

#include "kernel.h"

/* Clients' calls at this node, from routing to the response. */

struct call_table;

struct call_table *call_table_create (struct kernel *kernel);
/** call_table_start() - start the timers. */
void call_table_start (struct call_table *calls);
/** call_table_stop() - close the timers. Open calls are not closed; the
 * process is about to exit. */
void call_table_stop (struct call_table *calls);
void call_table_destroy (struct call_table *calls);
/** call_table_accept() - take over a client's request. Every request gets a
 * response, also one that is rejected. */
void call_table_accept (struct call_table *calls, h2o_req_t *req);
/**
 * call_table_drain() - limit the time of calls before shutdown.
 * @wait_ms: from now on. After that, calls that still wait for a server are
 *   refused, unless their response has started, and so are new ones that would
 *   have to wait.
 * @end_ms: from now on. After that, calls without a response are answered with
 *   504, because their outcome is unknown. The process exits soon after.
 */
void call_table_drain (struct call_table *calls, uint32_t wait_ms,
                       uint32_t end_ms);
/** call_table_open_count() - number of calls whose response is not complete.
 */
size_t call_table_open_count (const struct call_table *calls);
