#include "edge/freshness.h"

/* A stale view must show a change within this time after its announcement;
   otherwise a fresh one is read. */
#define MAX_LAG_MS 500

void
freshness_set_trusted (struct freshness *f, bool trusted)
{
  f->trusted = trusted;
}

void
freshness_announced (struct freshness *f, uint64_t revision, uint64_t now_ms)
{
  if (revision <= f->announced)
    return;
  if (f->announced <= f->reached)
    f->lacking_since_ms = now_ms;
  f->announced = revision;
}

bool
freshness_call_started (struct freshness *f, bool allowed, uint64_t now_ms)
{
  const bool replaced = freshness_must_replace (f, now_ms);

  f->stale = allowed && f->trusted && !f->lagged && !replaced;
  f->lagged = false;
  f->in_flight = true;
  f->announced_at_start = f->announced;
  f->started_ms = now_ms;
  return f->stale;
}

bool
freshness_answered (struct freshness *f, uint64_t revision)
{
  if (revision > f->reached)
    f->reached = revision;
  f->lagged = f->stale && f->reached < f->announced_at_start;
  f->in_flight = false;
  return f->lagged;
}

void
freshness_forbid_stale (struct freshness *f)
{
  f->lagged = true;
  f->in_flight = false;
}

void
freshness_restart (struct freshness *f)
{
  *f = (struct freshness){ .trusted = f->trusted };
}

bool
freshness_must_replace (const struct freshness *f, uint64_t now_ms)
{
  const uint64_t since_ms = f->lacking_since_ms > f->started_ms
                                ? f->lacking_since_ms
                                : f->started_ms;

  if (!f->in_flight || !f->stale)
    return false;
  return !f->trusted
         || (f->announced > f->reached && now_ms >= since_ms + MAX_LAG_MS);
}
