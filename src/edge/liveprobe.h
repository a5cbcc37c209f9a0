#pragma once

#include <stdbool.h>

#include <uv.h>

#include "str.h"

/** liveprobe_fn - result of a probe. @code: 0 if the address accepted a
 * connection; -ECONNREFUSED if nothing listens there; -ETIMEDOUT. */
typedef void (*liveprobe_fn) (void *ctx, int code);

/** liveprobe_start() - check after a short delay whether the address accepts
 * connections. The connection is closed at once. @fn is called exactly once,
 * after this function returned. */
void liveprobe_start (uv_loop_t *loop, struct str address, liveprobe_fn fn,
                      void *ctx);
