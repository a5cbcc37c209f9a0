#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Quarantine of requests, and of shared parts of prompts, that crash the
   servers that run them. Clients send such requests again and again, through
   any node, and they would crash one server after the other. Pure.

   A request whose attempt breaks off or is cancelled is a suspect, and so are
   the parts of its prompt (edge/promptparts.h). Suspects are confirmed when
   the server refuses connections or has started again, which may become known
   before or after the break. Nodes tell each other of confirmed crashes. */

struct quarantine;

/* Crashes that are kept of a subject. */
#define QUARANTINE_CRASHES_MAX 4
/* How long the crashes of a request are kept after the newest one. */
#define QUARANTINE_RETENTION_MS (10 * 60 * 1000)

/* What may crash a server. The values are sent to other nodes. */
enum quarantine_kind
{
  QUARANTINE_REQUEST = 0, /* one request */
  /* A part of prompts that different requests share, under which servers crash
     before they respond, at the beginning of the response, or later. */
  QUARANTINE_PART = 1,
  QUARANTINE_PART_BEGINNING = 2,
  QUARANTINE_PART_REST = 3,
};
#define QUARANTINE_KINDS 4

/**
 * struct crash_record - a server that crashed under a subject.
 * @fingerprint: quarantine_fingerprint() of the request, or
 *   quarantine_part_fingerprint() of the part; each kind has its own.
 * @server: quarantine_server_hash() of the start that crashed.
 * @next_part: fingerprint of the shared part that follows the part in the
 *   prompt; 0 if there is none, and for requests.
 */
struct crash_record
{
  uint64_t fingerprint;
  uint64_t server;
  uint64_t next_part;
  enum quarantine_kind kind;
};

/**
 * struct crash_evidence - what one node tells others of a subject.
 * @crash: the crash; its @server is 0 if a server completed the subject.
 * @age_ms: time since then.
 */
struct crash_evidence
{
  struct crash_record crash;
  uint32_t age_ms;
};

/**
 * struct quarantine_change - change of what is known about a subject.
 * @server: the start that crashed; 0 if @crashes is 0.
 * @crashes: number of crashes now; 0 if they were cleared.
 */
struct quarantine_change
{
  enum quarantine_kind kind;
  uint64_t fingerprint;
  uint64_t server;
  uint32_t crashes;
};

typedef void (*quarantine_change_fn) (void *ctx,
                                      const struct quarantine_change *change);

struct quarantine *quarantine_create (void);
void quarantine_destroy (struct quarantine *quarantine);
/** quarantine_observe() - call @fn after each change, for logs. */
void quarantine_observe (struct quarantine *quarantine,
                         quarantine_change_fn fn, void *ctx);

/** quarantine_fingerprint() - hash that is the same whenever the request is
 * sent again. A client's address is no part of it: one caller sends from many
 * hosts, and a load balancer or NAT changes the address.
 * @tenant: name of the tenant; empty without one. */
uint64_t quarantine_fingerprint (struct str tenant, struct str method,
                                 struct str target, struct str body);
/** quarantine_part_fingerprint() - hash of the id of a part of a prompt. */
uint64_t quarantine_part_fingerprint (struct str part,
                                      enum quarantine_kind kind);
/** quarantine_server_hash() - hash of one start of a server. */
uint64_t quarantine_server_hash (struct str id, uint64_t started_ms);

/** quarantine_suspect() - record that an attempt of the request broke off. If
 * the server is known to have crashed, the crash is attributed at once. */
void quarantine_suspect (struct quarantine *quarantine,
                         const struct crash_record *suspect, uint64_t now_ms);
/** quarantine_server_crashed() - record that a server crashed, which confirms
 * its recent suspects and those that follow. Returns false if it was known. */
bool quarantine_server_crashed (struct quarantine *quarantine, uint64_t server,
                                uint64_t now_ms);
/**
 * quarantine_completed() - record that a server completed the subject: the
 * request, or the phase of a response to a prompt with the part in which the
 * crashes of this kind come.
 *
 * It clears the earlier crashes. Of a request's later crashes that come close
 * together, one counts; an error response completes nothing. A part's crashes
 * do not count for half a minute: all servers would have crashed under it, so
 * another part of the prompts is the cause.
 */
void quarantine_completed (struct quarantine *quarantine, uint64_t fingerprint,
                           uint64_t now_ms);
/** quarantine_add_crash() - record a crash at the time @at_ms, unless this
 * node knows of a later completion. The same crash counts once. */
void quarantine_add_crash (struct quarantine *quarantine,
                           const struct crash_record *crash, uint64_t at_ms);
/** quarantine_merge() - record what another node tells. Repeated evidence
 * changes nothing. */
void quarantine_merge (struct quarantine *quarantine,
                       const struct crash_evidence *evidence, uint64_t now_ms);
/** quarantine_contains() - returns true if the subject has crashed so many
 * servers that it must not run again. A part that was always followed by the
 * same shared part is spared, since that one explains the crashes as well. */
bool quarantine_contains (const struct quarantine *quarantine,
                          uint64_t fingerprint, uint64_t now_ms);
/* Which evidence to list. */
enum quarantine_scope
{
  QUARANTINE_OWN, /* what this node saw itself, for the holder */
  QUARANTINE_ALL  /* subjects with several crashes, for all nodes */
};

/**
 * quarantine_list() - list the evidence that is due to be sent to other nodes:
 * a few times after it changed, because datagrams are lost, then at intervals
 * for nodes that were away. Subjects that were listed least often come first,
 * and of these the ones with the most crashes, so that repeated lists cover
 * all.
 * @out: space for @max items.
 *
 * Returns the number of items stored.
 */
size_t quarantine_list (struct quarantine *quarantine,
                        enum quarantine_scope scope, uint64_t now_ms,
                        struct crash_evidence *out, size_t max);
/** quarantine_list_anew() - make all evidence due, when the holder changes. */
void quarantine_list_anew (struct quarantine *quarantine);
/** quarantine_version() - number that changes whenever a subject begins or
 * ceases to be refused; 0 if none ever was. */
uint64_t quarantine_version (const struct quarantine *quarantine);
/** quarantine_list_refused() - list the crashes of the subjects that are
 * refused, the newest ones first. Returns the number of items stored. */
size_t quarantine_list_refused (const struct quarantine *quarantine,
                                uint64_t now_ms, struct crash_evidence *out,
                                size_t max);
