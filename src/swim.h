#pragma once

#include <stddef.h>
#include <stdint.h>

#include "member.h"
#include "peer.h"
#include "str.h"

/* Failure detection and gossip as pure state: no I/O, no clock of its own.
   Times are clock_ms() values that the caller gives. */

#define SWIM_FORMAT 1
#define SWIM_MEMBERS_MAX 16
#define SWIM_NOTICES_MAX 8
/* Datagrams stay below this size, so that none is fragmented at an MTU of
   1500 bytes. */
#define SWIM_DATAGRAM_BYTES 1400
/* The longest region, domain or address of a node. */
#define SWIM_NAME_MAX 64

struct swim;

/**
 * struct swim_actions - what the state machine asks its caller to do.
 * @send: send a datagram; @msg is borrowed for the call.
 * @notice: a notice was heard for the first time; borrowed for the call.
 *
 * Neither may call back into the state machine.
 */
struct swim_actions
{
  void (*send) (void *ctx, struct str to, const struct gossip *msg);
  void (*notice) (void *ctx, const struct notice *notice);
};

/**
 * swim_create() - state of one node.
 * @self: address, instance and names of this node; copied.
 * @random_seed: start of the random numbers.
 */
struct swim *swim_create (const struct member *self, uint64_t random_seed,
                          const struct swim_actions *actions, void *ctx);
void swim_destroy (struct swim *swim);
/** swim_seed() - address to join by; the own address is ignored. */
void swim_seed (struct swim *swim, struct str addr);
/** swim_tick() - let time pass; call about every 100 ms. */
void swim_tick (struct swim *swim, uint64_t now_ms);
void swim_receive (struct swim *swim, const struct gossip *msg,
                   uint64_t now_ms);
/** swim_spread() - start a notice at this node. */
void swim_spread (struct swim *swim, const struct notice *notice,
                  uint64_t now_ms);
void swim_set_revision (struct swim *swim, uint64_t revision);
/** swim_leave() - @state is MEMBER_LEAVING, or MEMBER_DEAD at the very end. */
void swim_leave (struct swim *swim, enum member_state state, uint64_t now_ms);
/** swim_version() - rises with each change of a member's state. */
uint64_t swim_version (const struct swim *swim);
/** swim_revisions() - rises with each change of a member's revision. */
uint64_t swim_revisions (const struct swim *swim);
/** swim_alone() - is no other live member known. */
bool swim_alone (const struct swim *swim);
/** swim_instance() - own instance in use; differs from the given one after the
 * wall clock was set back and members remembered a later instance. */
uint64_t swim_instance (const struct swim *swim);
/** swim_view() - new snapshot in one allocation; release it with free(). */
struct member_view *swim_view (const struct swim *swim);
