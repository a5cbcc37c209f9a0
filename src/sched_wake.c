#include "sched_impl.h"

#define WAKE_BACKOFF_MS 200
#define WAKE_BACKOFF_MAX_MS 5000
/* Minimum time between two wakes for more replicas, so that a burst is counted
   as a whole before it causes another load. */
#define SCALE_UP_INTERVAL_MS 200
/* Deadline of a load for which no request waits any more, but whose refused
   requests were told to retry later. */
#define REFUSED_LOAD_DEADLINE_MS 60000

static void
send_wake (struct sched *s, struct variant *variant, size_t replicas,
           uint64_t now_ms)
{
  struct sched_action *a = action_add (s, SCHED_WAKE, variant->name);
  const struct waiter *w;
  uint64_t latest = 0;

  DL_FOREACH (s->queue, w)
  {
    if (w->variant != variant)
      continue;
    if (!latest || w->priority > a->priority)
      a->priority = w->priority;
    if (w->deadline_ms > latest)
      latest = w->deadline_ms;
  }
  /* Placement drops a wake at its deadline. With the earliest deadline of the
     queue, a steady stream of requests with short deadlines would never get a
     load completed. */
  a->wait_ms = latest > now_ms ? (uint32_t)(latest - now_ms)
                               : REFUSED_LOAD_DEADLINE_MS;
  a->replicas = (uint32_t)replicas;
  if (variant->wakes_in_flight++ == 0)
    variant->wake_start_ms = now_ms;
  variant->replicas_requested = replicas;
  variant->load_after_refusal = false;
  variant->next_scale_up_ms = now_ms + SCALE_UP_INTERVAL_MS;
}

/* Returns true if a wake may be sent now. While one is in flight, another one
   must request more replicas. */
static bool
wake_due (const struct variant *variant, size_t wanted, uint64_t now_ms)
{
  if (variant->wakes_in_flight > 0)
    return wanted > variant->replicas_requested
           && now_ms >= variant->next_scale_up_ms;
  return now_ms >= variant->next_wake_ms;
}

void
wake_variants (struct sched *s, uint64_t now_ms)
{
  for (struct variant *variant = s->variants; variant;
       variant = variant->hh.next)
    {
      if (variant->queued == 0 && !variant->load_after_refusal)
        continue;
      const struct capacity have = capacity_of (s, variant);
      size_t wanted = s->policy->desired_replicas (s, variant, &have);

      /* A wake ends when all its replicas are loaded, so the first replica of
         a model that has none is requested on its own. */
      if (have.replicas == 0 && variant->wakes_in_flight == 0)
        wanted = 1;
      if (wanted <= have.replicas)
        variant->load_after_refusal = false;
      else if (wake_due (variant, wanted, now_ms))
        send_wake (s, variant, wanted, now_ms);
    }
}

/* Delays the next wake, twice as long after each failure. With WAKE_LOADED the
   delay restarts: reports about the loaded replicas are ignored, since
   placement has not yet noticed that a server died, but soon will. */
static void
back_off_wakes (struct variant *variant, wake_code code, uint64_t now_ms)
{
  variant->backoff_ms = variant->backoff_ms && code != WAKE_LOADED
                            ? variant->backoff_ms * 2
                            : WAKE_BACKOFF_MS;
  if (variant->backoff_ms > WAKE_BACKOFF_MAX_MS)
    variant->backoff_ms = WAKE_BACKOFF_MAX_MS;
  variant->next_wake_ms = now_ms + variant->backoff_ms;
}

/* Loads are rare, and their time depends much on where the checkpoint is
   stored, so the latest load counts for half. */
static void
record_load_time (struct variant *variant, double ms)
{
  variant->load_time.mean
      = variant->load_time.samples ? (variant->load_time.mean + ms) / 2 : ms;
  variant->load_time.samples++;
}

void
sched_wake_done (struct sched *s, struct str adapter, wake_code code,
                 uint32_t eta_ms, uint64_t now_ms)
{
  struct variant *variant = variant_get (s, adapter);
  const bool present = capacity_of (s, variant).replicas > 0;

  if (variant->wakes_in_flight > 0 && code == WAKE_LOADED && present)
    record_load_time (variant, (double)(now_ms - variant->wake_start_ms));
  if (variant->wakes_in_flight > 0)
    variant->wakes_in_flight--;
  variant->last_wake_failed = code != WAKE_LOADED && code != WAKE_TOO_LATE;
  variant->model_unknown = code == WAKE_UNKNOWN_MODEL;
  variant->load_end_ms = code == WAKE_TOO_LATE && eta_ms ? now_ms + eta_ms : 0;
  if (present && code == WAKE_LOADED)
    {
      variant->backoff_ms = 0;
      variant->next_wake_ms = now_ms + SCALE_UP_INTERVAL_MS;
    }
  else
    back_off_wakes (variant, code, now_ms);
  review_queue (s, now_ms);
  dispatch_and_wake (s, now_ms);
}
