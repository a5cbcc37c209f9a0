#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Requests that crash the servers that run them. Clients send such a request
   again, through any node, and it would take one server after the other. Pure.

   An attempt that breaks off makes its request a suspect of the server's
   death; the death is known when the server then takes no connection or has
   started again. Nodes tell each other of deaths. */

struct crashers;

/* How long deaths are remembered. */
#define CRASHERS_REMEMBERED_MS (10 * 60 * 1000)

/**
 * struct death - a server that died while it ran a request.
 * @server: crashers_server() of the start that died.
 */
struct death
{
  uint64_t fingerprint;
  uint64_t server;
};

struct crashers *crashers_create (void);
void crashers_destroy (struct crashers *crashers);

/** crashers_fingerprint() - names requests that are sent again. @client: any
 * number that stays the same for a client. */
uint64_t crashers_fingerprint (uint64_t client, struct str method,
                               struct str target, struct str body);
/** crashers_server() - names one start of a server. */
uint64_t crashers_server (struct str id, uint64_t started_ms);

/** crashers_suspect() - the request broke off at the server. */
void crashers_suspect (struct crashers *crashers, const struct death *suspect,
                       uint64_t now_ms);
/** crashers_died() - the server is dead. Its suspects count. */
void crashers_died (struct crashers *crashers, uint64_t server,
                    uint64_t now_ms);
/** crashers_completed() - a server answered the request. It is no crasher,
 * whatever dies while it runs again. */
void crashers_completed (struct crashers *crashers, uint64_t fingerprint,
                         uint64_t now_ms);
/** crashers_merge() - another node told of a death; told twice, it counts
 * once. */
void crashers_merge (struct crashers *crashers, const struct death *death,
                     uint64_t now_ms);
/** crashers_refused() - has the request crashed so many servers that it is not
 * run again. */
bool crashers_refused (const struct crashers *crashers, uint64_t fingerprint,
                       uint64_t now_ms);
/**
 * crashers_tell() - deaths to tell others.
 * @least: deaths that a request must have.
 * @max_age_ms: of its newest death.
 *
 * Returns their number.
 */
size_t crashers_tell (const struct crashers *crashers, uint32_t least,
                      uint32_t max_age_ms, uint64_t now_ms, struct death *out,
                      size_t max);
