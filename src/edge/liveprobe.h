#pragma once

#include <stdbool.h>

#include <uv.h>

#include "str.h"

/** liveprobe_fn - result of a probe. @reached: the address accepted a
 * connection. */
typedef void (*liveprobe_fn) (void *ctx, bool reached);

/** liveprobe_start() - check after a short delay whether the address accepts
 * connections. The connection is closed at once. @fn is called exactly once,
 * after this function returned. */
void liveprobe_start (uv_loop_t *loop, struct str address, liveprobe_fn fn,
                      void *ctx);
