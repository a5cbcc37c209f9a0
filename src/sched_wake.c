#include "sched_impl.h"

#define BACKOFF_MS 200
#define BACKOFF_MAX_MS 5000
/* Time between two wakes that ask for more replicas: a burst is seen as a
   whole before it is answered with another load. */
#define MORE_REPLICAS_MS 200
/* Deadline of a load that nobody waits for any more, but for which requests
   were refused and told to come back. */
#define MISSED_DEADLINE_MS 60000

static void
wake (struct sched *s, struct need *need, size_t replicas, uint64_t now_ms)
{
  struct sched_action *a = action_add (s, SCHED_WAKE, need->name);
  const struct waiter *w;
  uint64_t latest = 0;

  DL_FOREACH (s->queue, w)
  {
    if (w->need != need)
      continue;
    if (!latest || w->priority > a->priority)
      a->priority = w->priority;
    if (w->deadline_ms > latest)
      latest = w->deadline_ms;
  }
  /* Placement forgets a wake at its deadline; by the earliest one, a steady
     stream of requests with short deadlines would never get a load done. */
  a->wait_ms
      = latest > now_ms ? (uint32_t)(latest - now_ms) : MISSED_DEADLINE_MS;
  a->replicas = (uint32_t)replicas;
  if (need->waking++ == 0)
    need->wake_start_ms = now_ms;
  need->wanted = replicas;
  need->missed = false;
  need->more_after_ms = now_ms + MORE_REPLICAS_MS;
}

/* While a wake is in flight, another one may only ask for more. */
static bool
wake_due (const struct need *need, size_t wanted, uint64_t now_ms)
{
  if (need->waking > 0)
    return wanted > need->wanted && now_ms >= need->more_after_ms;
  return now_ms >= need->wake_after_ms;
}

void
wake_needs (struct sched *s, uint64_t now_ms)
{
  for (struct need *need = s->needs; need; need = need->hh.next)
    {
      if (need->queued == 0 && !need->missed)
        continue;
      const struct capacity have = capacity_of (s, need);
      size_t wanted = s->policy->replicas (s, need, &have);

      /* A wake ends when all its replicas are there, so the first one of a
         cold model is asked for by itself. */
      if (have.replicas == 0 && need->waking == 0)
        wanted = 1;
      if (wanted <= have.replicas)
        need->missed = false;
      else if (wake_due (need, wanted, now_ms))
        wake (s, need, wanted, now_ms);
    }
}

/* After "loaded" the replicas named were not believed: placement has not yet
   seen that a server died, and will soon. */
static void
back_off (struct need *need, wake_code code, uint64_t now_ms)
{
  need->backoff_ms = need->backoff_ms && code != WAKE_LOADED
                         ? need->backoff_ms * 2
                         : BACKOFF_MS;
  if (need->backoff_ms > BACKOFF_MAX_MS)
    need->backoff_ms = BACKOFF_MAX_MS;
  need->wake_after_ms = now_ms + need->backoff_ms;
}

/* Loads are rare and differ much with the place of the checkpoint, so the
   newest one counts for half. */
static void
measure_load (struct need *need, double ms)
{
  need->load.mean = need->load.samples ? (need->load.mean + ms) / 2 : ms;
  need->load.samples++;
}

void
sched_woken (struct sched *s, struct str adapter, wake_code code,
             uint32_t eta_ms, uint64_t now_ms)
{
  struct need *need = need_get (s, adapter);
  const bool present = capacity_of (s, need).replicas > 0;

  if (need->waking > 0 && code == WAKE_LOADED && present)
    measure_load (need, (double)(now_ms - need->wake_start_ms));
  if (need->waking > 0)
    need->waking--;
  need->failed = code != WAKE_LOADED && code != WAKE_TOO_LATE;
  need->unknown = code == WAKE_UNKNOWN_MODEL;
  need->eta_ms = code == WAKE_TOO_LATE && eta_ms ? now_ms + eta_ms : 0;
  if (present && code == WAKE_LOADED)
    {
      need->backoff_ms = 0;
      need->wake_after_ms = now_ms + MORE_REPLICAS_MS;
    }
  else
    back_off (need, code, now_ms);
  review (s, now_ms);
  settle (s, now_ms);
}
