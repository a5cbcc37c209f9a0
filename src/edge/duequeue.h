#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv/tree.h>

/* Items by the time at which they are due. Each call costs the logarithm of
   the number of items. Items are embedded in their owners. */

/**
 * struct due - one item.
 * @at_ms: when it is due; valid while it is queued.
 * @ordinal: tells items with the same time apart; unique in a queue.
 * @owner: for the user.
 */
struct due
{
  uint64_t at_ms;
  uint64_t ordinal;
  void *owner;
  bool queued;
  RB_ENTRY (due) entry;
};

RB_HEAD (due_tree, due);

/** struct due_queue - zero-initialise. */
struct due_queue
{
  struct due_tree tree;
  size_t count;
};

/** due_set() - queue an item, or move it to another time. */
void due_set (struct due_queue *queue, struct due *item, uint64_t at_ms);
/** due_clear() - take an item out, if it is queued. */
void due_clear (struct due_queue *queue, struct due *item);
/** due_first() - the earliest item if it is due by now, or NULL. It stays. */
struct due *due_first (const struct due_queue *queue, uint64_t now_ms);
