#include "scheduler_impl.h"

#include <stdlib.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"

#define LOG_MODULE "scheduler"
#define LOCK_WAIT_MS 30000

/* A server runs replicas of several models, whose schedulers are on different
   nodes. Were the suspects of two models alone on their replicas of one
   server, the guilty one would bring a second crash on the innocent one. So
   each server has one slot for suspects, granted by the node that schedules
   the service itself: there, a unit has all servers as targets with one slot
   each, and each server has an adapter of its own name, which is what a lock
   asks for. */

/** struct lock - a server's slot for suspects, asked for or held. */
struct lock
{
  struct scheduler *scheduler;
  uint64_t epoch; /* of the unit that asked */
  struct str service;
  struct str target;
  struct str attempt_id; /* empty until granted */
  bool ended;            /* given up before the answer */
  struct lock *prev;
  struct lock *next;
};

static void
lock_free (struct lock *l)
{
  DL_DELETE (l->scheduler->locks, l);
  str_free (&l->service);
  str_free (&l->target);
  str_free (&l->attempt_id);
  free (l);
}

static void
give_back (struct lock *l)
{
  const struct release_args args = {
    .attempt_id = TEXT_STR (l->attempt_id),
    .service = TEXT_STR (l->service),
    .model_version = TEXT_STR (LOCK_VERSION),
    .target = TEXT_STR (l->target),
    .outcome = ATTEMPT_UNUSED,
  };

  scheduler_release (l->scheduler, &args);
  lock_free (l);
}

static struct unit *
unit_of_epoch (const struct scheduler *s, uint64_t epoch)
{
  for (struct unit *u = s->units; u; u = u->hh.next)
    if (u->epoch == epoch)
      return u;
  return NULL;
}

/* Without a node or host list that could decide, the suspect runs all the
   same: the bound on lost servers does not depend on the lock. */
static void
on_lock (void *ctx, int err, struct str hint, const void *result)
{
  struct lock *l = ctx;
  struct scheduler *s = l->scheduler;
  const struct grant_res *res = err ? NULL : result;
  const bool granted = res && res->code == GRANT_OK;
  const bool busy = res && res->code == GRANT_DEADLINE;
  struct unit *u = unit_of_epoch (s, l->epoch);

  (void)hint;
  if (granted)
    l->attempt_id = str_dup (STR_TEXT (res->attempt_id));
  if (s->stopped || !u || l->ended)
    {
      if (granted && !s->stopped)
        give_back (l);
      else
        lock_free (l);
      return;
    }
  struct str target = str_dup (l->target);

  if (!granted)
    {
      LOG_INFO ("no-suspect-lock", "target=" STR_FMT " busy=%d",
                STR_ARG (target), busy);
      lock_free (l);
    }
  sched_lock_result (u->sched, target, !busy, clock_ms ());
  unit_pump (s, u);
  str_free (&target);
}

void
unit_lock (struct scheduler *s, struct unit *u, struct str target)
{
  struct lock *l = xcalloc (1, sizeof *l);
  struct str id = str_printf ("lock-%lx-%lu", kernel_instance (s->kernel),
                              ++s->last_lock);

  l->scheduler = s;
  l->epoch = u->epoch;
  l->service = str_dup (u->service);
  l->target = str_dup (target);
  DL_APPEND (s->locks, l);
  const struct grant_args args = {
    .request_id = TEXT_STR (id),
    .service = TEXT_STR (l->service),
    .model_version = TEXT_STR (LOCK_VERSION),
    .adapter = TEXT_STR (l->target),
    .deadline_ms = LOCK_WAIT_MS,
    .attempt = 1,
  };

  scheduler_grant (s, &args, on_lock, l);
  str_free (&id);
}

void
unit_unlock (struct scheduler *s, struct unit *u, struct str target)
{
  struct lock *l;

  DL_FOREACH (s->locks, l)
  {
    if (l->epoch != u->epoch || l->ended || !str_eq (l->target, target))
      continue;
    if (l->attempt_id.len > 0)
      give_back (l);
    else
      l->ended = true;
    return;
  }
}

void
locks_free (struct scheduler *s)
{
  while (s->locks)
    lock_free (s->locks);
}
