#include "memaccount.h"

#include <stdint.h>
#include <stdlib.h>

#include "err.h"

#define READING_DIVISOR 4
#define PLACES_MIN 64

/* @heap: the holders that may be evicted, from place 1; the first one is at
   place 1 and no holder precedes the one at half its place. */
struct memaccount
{
  size_t budget;
  size_t total;
  size_t class_totals[MEM_CLASS_COUNT];
  struct memholder **heap;
  size_t count;
  size_t places;
};

static struct memaccount clients = { .budget = SIZE_MAX };

struct memaccount *
memaccount_create (size_t budget_bytes)
{
  struct memaccount *a = xcalloc (1, sizeof *a);

  a->budget = budget_bytes;
  return a;
}

void
memaccount_destroy (struct memaccount *a)
{
  free (a->heap);
  free (a);
}

struct memaccount *
memaccount_clients (void)
{
  return &clients;
}

void
memaccount_set_budget (struct memaccount *a, size_t bytes)
{
  a->budget = bytes;
}

size_t
memaccount_budget (const struct memaccount *a)
{
  return a->budget;
}

/* ---- heap ---- */

static size_t
weight (const struct memholder *h)
{
  return h->class == MEM_READING ? h->bytes / READING_DIVISOR : h->bytes;
}

static void
set_place (struct memaccount *a, struct memholder *h, size_t place)
{
  a->heap[place] = h;
  h->place = place;
}

static void
move_up (struct memaccount *a, struct memholder *h)
{
  size_t place = h->place;

  while (place > 1 && weight (a->heap[place / 2]) < weight (h))
    {
      set_place (a, a->heap[place / 2], place);
      place /= 2;
    }
  set_place (a, h, place);
}

static void
move_down (struct memaccount *a, struct memholder *h)
{
  size_t place = h->place;

  while (place * 2 <= a->count)
    {
      size_t child = place * 2;

      if (child < a->count
          && weight (a->heap[child]) < weight (a->heap[child + 1]))
        child++;
      if (weight (a->heap[child]) <= weight (h))
        break;
      set_place (a, a->heap[child], place);
      place = child;
    }
  set_place (a, h, place);
}

static void
insert (struct memaccount *a, struct memholder *h)
{
  if (a->count + 1 >= a->places)
    {
      a->places = a->places > 0 ? a->places * 2 : PLACES_MIN;
      a->heap = xrealloc (a->heap, a->places * sizeof *a->heap);
    }
  set_place (a, h, ++a->count);
  move_up (a, h);
}

static void
remove_from_heap (struct memaccount *a, struct memholder *h)
{
  struct memholder *last = a->heap[a->count--];

  if (last != h)
    {
      set_place (a, last, h->place);
      move_up (a, last);
      move_down (a, last);
    }
  h->place = 0;
}

/* ---- account ---- */

void
memaccount_charge (struct memaccount *a, struct memholder *h,
                   enum memclass class, size_t bytes)
{
  const bool ranked = class != MEM_WHOLE && bytes > 0;

  a->total += bytes - h->bytes;
  a->class_totals[h->class] -= h->bytes;
  a->class_totals[class] += bytes;
  h->class = class;
  h->bytes = bytes;
  if (h->place > 0 && !ranked)
    remove_from_heap (a, h);
  else if (h->place > 0)
    {
      move_up (a, h);
      move_down (a, h);
    }
  else if (ranked)
    insert (a, h);
}

void
memaccount_release (struct memaccount *a, struct memholder *h)
{
  memaccount_charge (a, h, h->class, 0);
}

size_t
memaccount_total (const struct memaccount *a)
{
  return a->total;
}

size_t
memaccount_class_total (const struct memaccount *a, enum memclass class)
{
  return a->class_totals[class];
}

struct memholder *
memaccount_first (const struct memaccount *a)
{
  return a->count > 0 ? a->heap[1] : NULL;
}

void
memaccount_enforce (struct memaccount *a)
{
  while (a->total > a->budget && a->count > 0)
    {
      struct memholder *h = a->heap[1];

      h->evict (h);
      /* Ends the loop even if the owner frees nothing. */
      if (a->count > 0 && a->heap[1] == h)
        memaccount_release (a, h);
    }
}
