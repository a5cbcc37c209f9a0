#pragma once

#include <stdbool.h>

#include <uv.h>

#include "str.h"

/** liveprobe_fn - @reached: the address took a connection. */
typedef void (*liveprobe_fn) (void *ctx, bool reached);

/** liveprobe_start() - does anybody take connections at the address? Closes
 * the connection at once. @fn is called exactly once, later. */
void liveprobe_start (uv_loop_t *loop, struct str address, liveprobe_fn fn,
                      void *ctx);
