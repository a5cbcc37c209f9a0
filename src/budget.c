#include "policy.h"

#include <stdlib.h>

#include "err.h"

/* With more concurrent adapter loads than this, each takes proportionally
   longer. */
#define ADAPTER_LOADS_MAX 32
#define SLOTS_MAX 256
/* Upper bound of the retry delay given to a caller when no slot is free. */
#define RETRY_AFTER_MAX_MS 1000

/* A slot of the weight store taken for a load. */
struct slot
{
  uint64_t service; /* hash of its name */
  enum budget_kind kind;
  uint64_t expires_ms;
};

struct budget
{
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint64_t blocked_until_ms; /* no model load is granted before */
  uint64_t next_load_ms;     /* earliest start of the next model load */
  struct slot slots[SLOTS_MAX];
  size_t slot_count;
};

struct budget *
budget_create (uint64_t busy_ms, uint64_t now)
{
  struct budget *b = xcalloc (1, sizeof *b);

  b->loads_per_s = 1;
  b->loads_at_once = 1;
  b->blocked_until_ms = now + busy_ms;
  return b;
}

void
budget_destroy (struct budget *b)
{
  free (b);
}

void
budget_limits (struct budget *b, uint32_t loads_per_s, uint32_t loads_at_once)
{
  b->loads_per_s = loads_per_s > 0 ? loads_per_s : 1;
  b->loads_at_once = loads_at_once > 0 ? loads_at_once : 1;
}

static void
drop_expired (struct budget *b, uint64_t now)
{
  for (size_t i = b->slot_count; i-- > 0;)
    if (now >= b->slots[i].expires_ms)
      b->slots[i] = b->slots[--b->slot_count];
}

/* Counts the slots taken for a kind and sets @earliest_ms to the time at which
   the first of them expires. */
static uint32_t
count_slots (const struct budget *b, enum budget_kind kind,
             uint64_t *earliest_ms)
{
  uint32_t n = 0;

  *earliest_ms = UINT64_MAX;
  for (size_t i = 0; i < b->slot_count; i++)
    if (b->slots[i].kind == kind)
      {
        n++;
        if (b->slots[i].expires_ms < *earliest_ms)
          *earliest_ms = b->slots[i].expires_ms;
      }
  return n;
}

/* Returns the time at which another load of the kind may start, or @now. */
static uint64_t
next_start_ms (const struct budget *b, enum budget_kind kind, uint64_t now)
{
  const bool model = kind == BUDGET_MODEL;
  const uint32_t limit = model ? b->loads_at_once : ADAPTER_LOADS_MAX;
  uint64_t earliest_ms;

  if (model && now < b->blocked_until_ms)
    return b->blocked_until_ms;
  if (count_slots (b, kind, &earliest_ms) >= limit)
    return earliest_ms;
  if (b->slot_count == SLOTS_MAX)
    return now + RETRY_AFTER_MAX_MS;
  return model && now < b->next_load_ms ? b->next_load_ms : now;
}

uint32_t
budget_take (struct budget *b, struct str service, enum budget_kind kind,
             uint32_t count, uint32_t hold_ms, uint64_t now,
             uint32_t *retry_ms)
{
  uint32_t granted = 0;

  drop_expired (b, now);
  *retry_ms = 0;
  while (granted < count)
    {
      const uint64_t start_ms = next_start_ms (b, kind, now);

      if (start_ms > now)
        {
          *retry_ms = start_ms - now < RETRY_AFTER_MAX_MS
                          ? (uint32_t)(start_ms - now)
                          : RETRY_AFTER_MAX_MS;
          break;
        }
      b->slots[b->slot_count++]
          = (struct slot){ .service = str_hash (service, 0),
                           .kind = kind,
                           .expires_ms = now + hold_ms };
      if (kind == BUDGET_MODEL)
        b->next_load_ms = now + 1000 / b->loads_per_s;
      granted++;
    }
  return granted;
}

void
budget_release (struct budget *b, struct str service, enum budget_kind kind,
                uint32_t count)
{
  const uint64_t hash = str_hash (service, 0);

  for (size_t i = b->slot_count; i-- > 0 && count > 0;)
    if (b->slots[i].kind == kind && b->slots[i].service == hash)
      {
        b->slots[i] = b->slots[--b->slot_count];
        count--;
      }
}
