#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv/tree.h>

/* Priority queue of items by the time at which they are due. Each operation
   takes logarithmic time. Items are embedded in their owners. */

/**
 * struct due_item - an item of a due queue.
 * @at_ms: when it is due; valid while it is queued.
 * @ordinal: orders items with the same time; unique in a queue.
 * @owner: for the user of the queue.
 */
struct due_item
{
  uint64_t at_ms;
  uint64_t ordinal;
  void *owner;
  bool queued;
  RB_ENTRY (due_item) entry;
};

RB_HEAD (due_tree, due_item);

/** struct due_queue - an empty queue is zero-initialised. */
struct due_queue
{
  struct due_tree tree;
  size_t count;
};

/** due_set() - Queues an item, or moves it to another time. */
void due_set (struct due_queue *queue, struct due_item *item, uint64_t at_ms);
/** due_clear() - Removes an item if it is queued. */
void due_clear (struct due_queue *queue, struct due_item *item);
/** due_first() - Returns the earliest item if it is due by @now_ms, or NULL.
 * The item stays queued. */
struct due_item *due_first (const struct due_queue *queue, uint64_t now_ms);
