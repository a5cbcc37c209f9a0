#include "member.h"

#include <stdlib.h>

bool
member_live (const struct member_info *m)
{
  return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
}

const struct member_info *
member_find (const struct member_view *view, struct str addr)
{
  size_t lo = 0;
  size_t hi = view ? view->count : 0;

  while (lo < hi)
    {
      const size_t mid = lo + (hi - lo) / 2;
      const int c = str_cmp (view->members[mid].addr, addr);

      if (c == 0)
        return &view->members[mid];
      if (c < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return NULL;
}

/* A node with its rendezvous hashing score for the key. */
struct candidate
{
  uint64_t score;
  const struct member_info *member;
};

/* Returns true if a ranks before b. Equal scores are ordered by address. */
static bool
ranks_before (struct candidate a, struct candidate b)
{
  if (a.score != b.score)
    return a.score > b.score;
  return str_cmp (a.member->addr, b.member->addr) < 0;
}

/* Returns the first live candidate that ranks after previous, or the first of
   all if previous has no member. */
static struct candidate
next_candidate (const struct member_view *view, struct str region,
                uint64_t seed, struct candidate previous)
{
  struct candidate best = { 0 };

  for (size_t i = 0; i < view->count; i++)
    {
      const struct member_info *m = &view->members[i];
      const struct candidate c
          = { .score = str_hash (m->addr, seed), .member = m };

      if (!member_live (m))
        continue;
      if (region.len > 0 && !str_eq (region, m->region))
        continue;
      if (previous.member && !ranks_before (previous, c))
        continue;
      if (!best.member || ranks_before (c, best))
        best = c;
    }
  return best;
}

const struct member_info *
member_at_rank (const struct member_view *view, struct str region,
                struct str key, size_t rank)
{
  const uint64_t seed = str_hash (key, 0);
  struct candidate c = { 0 };

  if (!view)
    return NULL;
  for (size_t i = 0; i <= rank; i++)
    {
      c = next_candidate (view, region, seed, c);
      if (!c.member)
        return NULL;
    }
  return c.member;
}

size_t
member_rank_of (const struct member_view *view, struct str region,
                struct str key, struct str addr)
{
  const uint64_t seed = str_hash (key, 0);
  const struct candidate own
      = { .score = str_hash (addr, seed), .member = member_find (view, addr) };
  size_t rank = 0;

  if (!own.member || !member_live (own.member)
      || (region.len > 0 && !str_eq (region, own.member->region)))
    return SIZE_MAX;
  for (size_t i = 0; i < view->count; i++)
    {
      const struct member_info *m = &view->members[i];
      const struct candidate c
          = { .score = str_hash (m->addr, seed), .member = m };

      if (member_live (m) && (region.len == 0 || str_eq (region, m->region)))
        rank += ranks_before (c, own);
    }
  return rank;
}
