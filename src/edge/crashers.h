#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Quarantine of requests that crash the servers that run them. Clients send
   such a request again, through any node, and it would crash one server after
   the other. Pure.

   A request whose attempt breaks off is a suspect. It is confirmed when the
   server then accepts no connection or has started again. Nodes report the
   confirmed crashes to each other. */

struct crashers;

/* How long the crashes of a request are kept after the newest one. */
#define CRASHERS_REMEMBERED_MS (10 * 60 * 1000)

/**
 * struct death - a server that crashed while it ran a request.
 * @fingerprint: crashers_fingerprint() of the request.
 * @server: crashers_server() of the start that crashed.
 */
struct death
{
  uint64_t fingerprint;
  uint64_t server;
};

struct crashers *crashers_create (void);
void crashers_destroy (struct crashers *crashers);

/** crashers_fingerprint() - hash that is the same when a client sends a
 * request again. @client: any number that stays the same for a client. */
uint64_t crashers_fingerprint (uint64_t client, struct str method,
                               struct str target, struct str body);
/** crashers_server() - hash of one start of a server. */
uint64_t crashers_server (struct str id, uint64_t started_ms);

/** crashers_suspect() - record that an attempt of the request broke off. */
void crashers_suspect (struct crashers *crashers, const struct death *suspect,
                       uint64_t now_ms);
/** crashers_died() - record that a server crashed, which confirms its recent
 * suspects. */
void crashers_died (struct crashers *crashers, uint64_t server,
                    uint64_t now_ms);
/** crashers_completed() - record that a server completed the request. Clears
 * its crashes; later ones are not attributed to it. */
void crashers_completed (struct crashers *crashers, uint64_t fingerprint,
                         uint64_t now_ms);
/** crashers_merge() - record a crash, for example one that another node
 * reported. Repeated reports of the same crash count once. */
void crashers_merge (struct crashers *crashers, const struct death *crash,
                     uint64_t now_ms);
/** crashers_refused() - returns true if the request has crashed so many
 * servers that it must not run again. */
bool crashers_refused (const struct crashers *crashers, uint64_t fingerprint,
                       uint64_t now_ms);
/**
 * crashers_tell() - list the crashes to report to other nodes.
 * @least: leaves out requests with fewer crashes.
 * @max_age_ms: leaves out requests whose newest crash is older.
 * @out: space for @max items.
 *
 * Returns the number of items stored.
 */
size_t crashers_tell (const struct crashers *crashers, uint32_t least,
                      uint32_t max_age_ms, uint64_t now_ms, struct death *out,
                      size_t max);
