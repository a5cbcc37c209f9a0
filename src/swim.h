#pragma once

#include <stddef.h>
#include <stdint.h>

#include "member.h"
#include "peer.h"
#include "str.h"

/* SWIM failure detection and gossip as a state machine without I/O or a clock.
   Times are clock_ms() values passed in by the caller. */

/* Version of the datagram format; others are dropped. */
#define SWIM_FORMAT 1
/* Maximum numbers of records and notices in a datagram. */
#define SWIM_MEMBERS_MAX 16
#define SWIM_NOTICES_MAX 8
/* Datagrams stay below this size, so that none is fragmented at an MTU of
   1500 bytes. */
#define SWIM_DATAGRAM_BYTES 1400
/* Maximum length in bytes of the region, domain or address of a node. */
#define SWIM_NAME_MAX 64

struct swim;

/**
 * struct swim_actions - callbacks of the state machine.
 * @send: sends a datagram; @msg is only valid during the call.
 * @notice: receives each notice that is new or has a higher number than
 * before, those of this node included; only valid during the call.
 *
 * The callbacks must not call back into the state machine.
 */
struct swim_actions
{
  void (*send) (void *ctx, struct str to, const struct gossip *msg);
  void (*notice) (void *ctx, const struct notice *notice);
};

/**
 * swim_create() - Creates the state of one node.
 * @self: record of this node; copied.
 * @random_seed: seed of the random number generator.
 * @actions: must outlive the state.
 * @ctx: passed to the callbacks.
 *
 * Returns the state; release it with swim_destroy().
 */
struct swim *swim_create (const struct member *self, uint64_t random_seed,
                          const struct swim_actions *actions, void *ctx);
void swim_destroy (struct swim *swim);
/** swim_add_seed() - Adds an address to join by; ignores the own address,
 * duplicates and empty ones, and any once the table of seeds is full. */
void swim_add_seed (struct swim *swim, struct str addr);
/** swim_tick() - Runs the timers; to be called about every 100 ms. */
void swim_tick (struct swim *swim, uint64_t now_ms);
/** swim_receive() - Processes a received datagram; @msg is borrowed. */
void swim_receive (struct swim *swim, const struct gossip *msg,
                   uint64_t now_ms);
/** swim_broadcast_notice() - Starts to gossip a notice; @notice is copied. */
void swim_broadcast_notice (struct swim *swim, const struct notice *notice,
                            uint64_t now_ms);
/** swim_set_revision() - Sets the configuration revision that this node
 * reports to the others. */
void swim_set_revision (struct swim *swim, uint64_t revision);
/** swim_leave() - Announces the shutdown of this node: @state is
 * MEMBER_LEAVING when it starts to drain, MEMBER_DEAD right before it stops.
 */
void swim_leave (struct swim *swim, enum member_state state, uint64_t now_ms);
/** swim_version() - Returns a number that increases whenever the record of
 * a member changes, its configuration revision aside. */
uint64_t swim_version (const struct swim *swim);
/** swim_revision_changes() - Returns a number that increases whenever the
 * configuration revision of a member changes. */
uint64_t swim_revision_changes (const struct swim *swim);
/** swim_alone() - Returns true if no other live member is known. */
bool swim_alone (const struct swim *swim);
/** swim_instance() - Returns the instance in use by this node. It differs from
 * the one passed to swim_create() if the wall clock was set back and other
 * members remembered a later instance. */
uint64_t swim_instance (const struct swim *swim);
/** swim_view() - Returns a new snapshot in one allocation; release it with
 * free(). */
struct member_view *swim_view (const struct swim *swim);
