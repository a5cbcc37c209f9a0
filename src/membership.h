#pragma once

#include "kernel.h"
#include "peer.h"

struct membership;

struct membership *membership_get (struct kernel *kernel);
/** membership_spread() - spread a notice to all nodes, this one included. */
void membership_spread (struct membership *membership,
                        const struct notice *notice);
/** membership_set_revision() - configuration that is in force on this node. */
void membership_set_revision (struct membership *membership,
                              uint64_t revision);
