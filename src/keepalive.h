#pragma once

#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* How long peers keep an idle HTTP connection open, by what their newest
   response stated in its Keep-Alive field. */

/* Peers whose statement is stored at a time. Beyond it, the one that was
   stored first is forgotten. */
#define KEEPALIVE_PEERS_MAX 4096

struct keepalive;

struct keepalive *keepalive_create (void);
void keepalive_destroy (struct keepalive *keepalive);
/**
 * keepalive_learn() - record what a response stated.
 * @peer: ip:port; copied.
 * @field: value of its Keep-Alive field; empty without one.
 */
void keepalive_learn (struct keepalive *keepalive, struct str peer,
                      struct str field);
/** keepalive_idle_limit_s() - returns the idle time in seconds below which a
 * connection to @peer is certainly not closed for being idle. 0 if there is
 * none, so that a kept connection must not be used. */
uint32_t keepalive_idle_limit_s (const struct keepalive *keepalive,
                                 struct str peer);
/** keepalive_peers() - number of peers whose statement is stored. */
size_t keepalive_peers (const struct keepalive *keepalive);
