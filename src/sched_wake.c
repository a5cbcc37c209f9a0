#include "sched_impl.h"

#define BACKOFF_MS 200
#define BACKOFF_MAX_MS 5000
/* Time between two wakes that ask for more replicas. */
#define MORE_REPLICAS_MS 1000
/* Deadline of a load that nobody waits for any more, but for which requests
   were refused and told to come back. */
#define MISSED_DEADLINE_MS 60000

static void
wake (struct sched *s, struct need *need, size_t replicas, uint64_t now_ms)
{
  struct sched_action *a = action_add (s, SCHED_WAKE, need->name);
  const struct waiter *w;
  uint64_t earliest = 0;

  DL_FOREACH (s->queue, w)
  {
    if (w->need != need)
      continue;
    if (!earliest || w->priority > a->priority)
      a->priority = w->priority;
    if (!earliest || w->deadline_ms < earliest)
      earliest = w->deadline_ms;
  }
  a->wait_ms
      = earliest > now_ms ? (uint32_t)(earliest - now_ms) : MISSED_DEADLINE_MS;
  a->replicas = (uint32_t)replicas;
  need->waking = true;
  need->missed = false;
  need->wake_start_ms = now_ms;
}

void
wake_needs (struct sched *s, uint64_t now_ms)
{
  for (struct need *need = s->needs; need; need = need->hh.next)
    {
      if (need->waking || now_ms < need->wake_after_ms
          || (need->queued == 0 && !need->missed))
        continue;
      const struct capacity have = capacity_of (s, need);
      const size_t wanted = s->policy->replicas (s, need, &have);

      if (wanted > have.replicas)
        wake (s, need, wanted, now_ms);
      else
        need->missed = false;
    }
}

static void
back_off (struct need *need, uint64_t now_ms)
{
  need->backoff_ms = need->backoff_ms ? need->backoff_ms * 2 : BACKOFF_MS;
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

  if (need->waking && code == WAKE_LOADED && present)
    measure_load (need, (double)(now_ms - need->wake_start_ms));
  need->waking = false;
  need->failed = code != WAKE_LOADED && code != WAKE_TOO_LATE;
  need->unknown = code == WAKE_UNKNOWN_MODEL;
  need->eta_ms = code == WAKE_TOO_LATE && eta_ms ? now_ms + eta_ms : 0;
  if (present)
    {
      need->backoff_ms = 0;
      need->wake_after_ms = now_ms + MORE_REPLICAS_MS;
    }
  else
    back_off (need, now_ms);
  review (s, now_ms);
  settle (s, now_ms);
}
