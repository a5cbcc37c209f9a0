#include "edge/freshness.h"

/* A stale view delivers a change within this time of the news of it, or the
   store is asked for a fresh one. */
#define LAG_MS 500

void
freshness_trust (struct freshness *f, bool trusted)
{
  f->trusted = trusted;
}

void
freshness_told (struct freshness *f, uint64_t revision, uint64_t now_ms)
{
  if (revision <= f->told)
    return;
  if (f->told <= f->seen)
    f->told_ms = now_ms;
  f->told = revision;
}

bool
freshness_begin (struct freshness *f, bool allowed, uint64_t now_ms)
{
  const bool replaced = freshness_overdue (f, now_ms);

  f->stale = allowed && f->trusted && !f->lagged && !replaced;
  f->lagged = false;
  f->under_way = true;
  f->begun_told = f->told;
  f->begun_ms = now_ms;
  return f->stale;
}

bool
freshness_seen (struct freshness *f, uint64_t revision)
{
  if (revision > f->seen)
    f->seen = revision;
  f->lagged = f->stale && f->seen < f->begun_told;
  f->under_way = false;
  return f->lagged;
}

bool
freshness_overdue (const struct freshness *f, uint64_t now_ms)
{
  const uint64_t since_ms
      = f->told_ms > f->begun_ms ? f->told_ms : f->begun_ms;

  if (!f->under_way || !f->stale)
    return false;
  return !f->trusted || (f->told > f->seen && now_ms >= since_ms + LAG_MS);
}
