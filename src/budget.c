#include "policy.h"

#include <stdlib.h>

#include "err.h"

/* Beyond this number each adapter takes proportionally longer. */
#define ADAPTERS_AT_ONCE 32
#define HOLDS_MAX 256
/* A caller that finds all slots taken tries again after this time at most. */
#define RETRY_MAX_MS 1000

struct hold
{
  uint64_t service; /* hash of the name */
  enum budget_kind kind;
  uint64_t until_ms;
};

struct budget
{
  uint32_t loads_per_s;
  uint32_t loads_at_once;
  uint64_t busy_until_ms;
  uint64_t next_ms; /* no model load starts before */
  struct hold holds[HOLDS_MAX];
  size_t count;
};

struct budget *
budget_create (uint64_t busy_ms, uint64_t now)
{
  struct budget *b = xcalloc (1, sizeof *b);

  b->loads_per_s = 1;
  b->loads_at_once = 1;
  b->busy_until_ms = now + busy_ms;
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
expire (struct budget *b, uint64_t now)
{
  for (size_t i = b->count; i-- > 0;)
    if (now >= b->holds[i].until_ms)
      b->holds[i] = b->holds[--b->count];
}

static uint32_t
held (const struct budget *b, enum budget_kind kind, uint64_t *first_ms)
{
  uint32_t n = 0;

  *first_ms = UINT64_MAX;
  for (size_t i = 0; i < b->count; i++)
    if (b->holds[i].kind == kind)
      {
        n++;
        if (b->holds[i].until_ms < *first_ms)
          *first_ms = b->holds[i].until_ms;
      }
  return n;
}

/* Time at which one more load of the kind may start. */
static uint64_t
free_at (const struct budget *b, enum budget_kind kind, uint64_t now)
{
  const bool model = kind == BUDGET_MODEL;
  const uint32_t limit = model ? b->loads_at_once : ADAPTERS_AT_ONCE;
  uint64_t first;

  if (model && now < b->busy_until_ms)
    return b->busy_until_ms;
  if (held (b, kind, &first) >= limit)
    return first;
  if (b->count == HOLDS_MAX)
    return now + RETRY_MAX_MS;
  return model && now < b->next_ms ? b->next_ms : now;
}

uint32_t
budget_take (struct budget *b, struct str service, enum budget_kind kind,
             uint32_t count, uint32_t hold_ms, uint64_t now,
             uint32_t *retry_ms)
{
  uint32_t granted = 0;

  expire (b, now);
  *retry_ms = 0;
  while (granted < count)
    {
      const uint64_t at = free_at (b, kind, now);

      if (at > now)
        {
          *retry_ms
              = at - now < RETRY_MAX_MS ? (uint32_t)(at - now) : RETRY_MAX_MS;
          break;
        }
      b->holds[b->count++] = (struct hold){ .service = str_hash (service, 0),
                                            .kind = kind,
                                            .until_ms = now + hold_ms };
      if (kind == BUDGET_MODEL)
        b->next_ms = now + 1000 / b->loads_per_s;
      granted++;
    }
  return granted;
}

void
budget_give_back (struct budget *b, struct str service, enum budget_kind kind,
                  uint32_t count)
{
  const uint64_t hash = str_hash (service, 0);

  for (size_t i = b->count; i-- > 0 && count > 0;)
    if (b->holds[i].kind == kind && b->holds[i].service == hash)
      {
        b->holds[i] = b->holds[--b->count];
        count--;
      }
}
