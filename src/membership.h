#pragma once

#include "kernel.h"
#include "peer.h"

struct membership;

/** membership_get() - Returns the membership plug-in; owned by the kernel. */
struct membership *membership_get (struct kernel *kernel);
/** membership_broadcast_notice() - Gossips a notice to all nodes, this one
 * included;
 * @notice is copied. */
void membership_broadcast_notice (struct membership *membership,
                                  const struct notice *notice);
/** membership_set_revision() - Sets the configuration revision in force on
 * this node, which is reported to the other nodes. */
void membership_set_revision (struct membership *membership,
                              uint64_t revision);
