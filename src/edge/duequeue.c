#include "edge/duequeue.h"

static int
compare (const struct due_item *a, const struct due_item *b)
{
  if (a->at_ms != b->at_ms)
    return a->at_ms < b->at_ms ? -1 : 1;
  if (a->ordinal != b->ordinal)
    return a->ordinal < b->ordinal ? -1 : 1;
  return 0;
}

RB_GENERATE_STATIC (due_tree, due_item, entry, compare)

void
due_set (struct due_queue *q, struct due_item *d, uint64_t at_ms)
{
  if (d->queued && d->at_ms == at_ms)
    return;
  due_clear (q, d);
  d->at_ms = at_ms;
  d->queued = true;
  RB_INSERT (due_tree, &q->tree, d);
  q->count++;
}

void
due_clear (struct due_queue *q, struct due_item *d)
{
  if (!d->queued)
    return;
  RB_REMOVE (due_tree, &q->tree, d);
  d->queued = false;
  q->count--;
}

struct due_item *
due_first (const struct due_queue *q, uint64_t now_ms)
{
  struct due_tree *tree = (struct due_tree *)&q->tree;
  struct due_item *d = RB_MIN (due_tree, tree);

  return d && d->at_ms <= now_ms ? d : NULL;
}
