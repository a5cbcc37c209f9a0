#include "edge/waitorder.h"

#include <stdlib.h>

#include "err.h"

#define CAPACITY_MIN 64

/* Sorted by the members in this order, smaller values first. */
struct entry
{
  uint32_t level; /* 0 for begun calls */
  bool late;
  uint64_t due_ms;
  uint64_t work;
  uint64_t number; /* in the order of adding */
  void *ref;
};

/* A binary heap. */
struct waitorder
{
  struct entry *entries;
  size_t count;
  size_t capacity;
  uint64_t added;
};

struct waitorder *
waitorder_create (void)
{
  return xcalloc (1, sizeof (struct waitorder));
}

void
waitorder_destroy (struct waitorder *o)
{
  free (o->entries);
  free (o);
}

uint32_t
waitorder_level (const struct waitorder_call *c, uint64_t now_ms)
{
  const uint64_t waited_ms
      = now_ms > c->arrival_ms ? now_ms - c->arrival_ms : 0;
  const uint64_t total_ms
      = c->deadline_ms > c->arrival_ms ? c->deadline_ms - c->arrival_ms : 0;
  uint32_t raised = 0;

  if (waited_ms > total_ms / 2)
    raised = waited_ms > total_ms - total_ms / 4 ? 2 : 1;
  return c->priority > raised ? c->priority - raised : 0;
}

static bool
has_missed_objective (const struct waitorder_call *c, uint64_t now_ms)
{
  return !c->begun && c->objective_ms > 0 && now_ms >= c->objective_ms;
}

/* Returns the time by which the call should get a server. */
static uint64_t
due_ms (const struct waitorder_call *c, uint64_t now_ms)
{
  return c->begun || c->objective_ms == 0 || has_missed_objective (c, now_ms)
             ? c->deadline_ms
             : c->objective_ms;
}

static bool
is_before (const struct entry *a, const struct entry *b)
{
  if (a->level != b->level)
    return a->level < b->level;
  if (a->late != b->late)
    return b->late;
  if (a->due_ms != b->due_ms)
    return a->due_ms < b->due_ms;
  if (a->work != b->work)
    return a->work < b->work;
  return a->number < b->number;
}

static void
swap (struct entry *a, struct entry *b)
{
  const struct entry former = *a;

  *a = *b;
  *b = former;
}

static void
make_room (struct waitorder *o)
{
  if (o->count < o->capacity)
    return;
  o->capacity = o->capacity > 0 ? o->capacity * 2 : CAPACITY_MIN;
  o->entries = xrealloc (o->entries, o->capacity * sizeof *o->entries);
}

void
waitorder_add (struct waitorder *o, const struct waitorder_call *c,
               uint64_t now_ms)
{
  size_t i = o->count;

  make_room (o);
  o->count++;
  o->entries[i] = (struct entry){
    .level = c->begun ? 0 : waitorder_level (c, now_ms) + 1,
    .late = has_missed_objective (c, now_ms),
    .due_ms = due_ms (c, now_ms),
    .work = c->work,
    .number = o->added++,
    .ref = c->ref,
  };
  for (; i > 0 && is_before (&o->entries[i], &o->entries[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap (&o->entries[i], &o->entries[(i - 1) / 2]);
}

/* Moves the first entry down to its place. */
static void
sink_first (struct waitorder *o)
{
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child + 1 < o->count
          && is_before (&o->entries[child + 1], &o->entries[child]))
        child++;
      if (child >= o->count || !is_before (&o->entries[child], &o->entries[i]))
        return;
      swap (&o->entries[child], &o->entries[i]);
      i = child;
    }
}

void *
waitorder_pop (struct waitorder *o)
{
  void *ref;

  if (o->count == 0)
    return NULL;
  ref = o->entries[0].ref;
  o->entries[0] = o->entries[--o->count];
  sink_first (o);
  return ref;
}
