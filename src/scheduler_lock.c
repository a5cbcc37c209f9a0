#include "scheduler_impl.h"

#include <stdlib.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "scheduler"
#define LOCK_TIMEOUT_MS 30000

/* A server runs replicas of several models, whose schedulers are on different
   nodes. If the suspects of two models ran on their own replicas of the same
   server, a crash caused by one would count as the second crash of the other,
   innocent one. Therefore each server has one lock for suspects, granted by
   the node that schedules the service itself. The unit there has all servers
   of the service as targets with one slot each, and each server has an adapter
   of its own name; a lock is a grant for that adapter. */

/** struct suspect_lock - lock of a server for suspects, requested or held.
 * @epoch: of the unit that requested it.
 * @attempt_id: empty until granted.
 * @cancelled: returned before the answer to the request arrived.
 */
struct suspect_lock
{
  struct scheduler *scheduler;
  uint64_t epoch;
  struct str service;
  struct str target;
  struct str attempt_id;
  bool cancelled;
  struct suspect_lock *prev;
  struct suspect_lock *next;
};

static void
suspect_lock_free (struct suspect_lock *l)
{
  DL_DELETE (l->scheduler->suspect_locks, l);
  str_free (&l->service);
  str_free (&l->target);
  str_free (&l->attempt_id);
  free (l);
}

static void
return_lock (struct suspect_lock *l)
{
  const struct release_args args = {
    .attempt_id = TEXT_STR (l->attempt_id),
    .service = TEXT_STR (l->service),
    .model_version = TEXT_STR (LOCK_VERSION),
    .target = TEXT_STR (l->target),
    .outcome = ATTEMPT_UNUSED,
  };

  scheduler_release (l->scheduler, &args);
  suspect_lock_free (l);
}

static struct unit *
unit_by_epoch (const struct scheduler *s, uint64_t epoch)
{
  for (struct unit *u = s->units; u; u = u->hh.next)
    if (u->epoch == epoch)
      return u;
  return NULL;
}

/* If the lock is refused for another reason than the deadline, for example
   because no node or host list is available, the suspect runs without it: the
   bound on the number of crashed servers does not depend on the lock. */
static void
on_lock_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct suspect_lock *l = ctx;
  struct scheduler *s = l->scheduler;
  const struct grant_res *res = err ? NULL : result;
  const bool granted = res && res->code == GRANT_OK;
  const bool busy = res && res->code == GRANT_DEADLINE;
  struct unit *u = unit_by_epoch (s, l->epoch);

  (void)hint;
  if (granted)
    l->attempt_id = str_dup (STR_TEXT (res->attempt_id));
  if (s->stopped || !u || l->cancelled)
    {
      if (granted && !s->stopped)
        return_lock (l);
      else
        suspect_lock_free (l);
      return;
    }
  struct str target = str_dup (l->target);

  if (!granted)
    {
      LOG_INFO ("no-suspect-lock", "target=" STR_FMT " busy=%d",
                STR_ARG (target), busy);
      suspect_lock_free (l);
    }
  sched_lock_result (u->sched, target, !busy, clock_ms ());
  unit_run_actions (s, u);
  str_free (&target);
}

void
unit_request_lock (struct scheduler *s, struct unit *u, struct str target)
{
  struct suspect_lock *l = xcalloc (1, sizeof *l);
  struct str id = str_printf ("lock-%lx-%lu", kernel_instance (s->kernel),
                              ++s->last_lock_id);

  l->scheduler = s;
  l->epoch = u->epoch;
  l->service = str_dup (u->service);
  l->target = str_dup (target);
  DL_APPEND (s->suspect_locks, l);
  const struct grant_args args = {
    .request_id = TEXT_STR (id),
    .service = TEXT_STR (l->service),
    .model_version = TEXT_STR (LOCK_VERSION),
    .adapter = TEXT_STR (l->target),
    .deadline_ms = LOCK_TIMEOUT_MS,
    .attempt = 1,
  };

  scheduler_grant (s, &args, on_lock_reply, l);
  str_free (&id);
}

void
unit_return_lock (struct scheduler *s, struct unit *u, struct str target)
{
  struct suspect_lock *l;

  DL_FOREACH (s->suspect_locks, l)
  {
    if (l->epoch != u->epoch || l->cancelled || !str_eq (l->target, target))
      continue;
    if (l->attempt_id.len > 0)
      return_lock (l);
    else
      l->cancelled = true;
    return;
  }
}

void
suspect_locks_free (struct scheduler *s)
{
  while (s->suspect_locks)
    suspect_lock_free (s->suspect_locks);
}
