#include "scheduler_impl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "settings.h"
#include "xdrcodec.h"

#define LOG_MODULE "scheduler"
/* Time that the reply may take to arrive: the scheduler refuses a request at
   its deadline at the latest. */
#define REPLY_MARGIN_MS 500
#define RETRY_DELAY_MS 100
/* Time for which a node whose call failed is not called again if others name
   it. */
#define UNREACHABLE_MS 1000
#define HINTS_MAX 4

/** struct grant_query - a request of this node for a grant.
 * @rank: of the next node to try, in the rendezvous order of @key.
 * @hints_followed: hints followed since the last delay or unreachable node.
 * @retry_at_ms: when to try the next node; 0 while a call is in flight.
 * @node: address of the last node that was called.
 * @unreachable_node: address of the last node whose call failed, until it is
 *   called again.
 * @unreachable_until_ms: when it may be called again.
 */
struct grant_query
{
  struct scheduler *scheduler;
  struct grant_args *args;
  struct sched_key key;
  uint64_t deadline_ms;
  size_t rank;
  size_t hints_followed;
  uint64_t retry_at_ms;
  struct str node;
  struct str unreachable_node;
  uint64_t unreachable_until_ms;
  bus_reply_fn fn;
  void *ctx;
  struct grant_query *prev;
  struct grant_query *next;
};

static void
query_end (struct grant_query *q, int err, const struct grant_res *res)
{
  struct scheduler *s = q->scheduler;
  const bus_reply_fn fn = q->fn;
  void *ctx = q->ctx;

  DL_DELETE (s->grant_queries, q);
  xdr_free ((xdrproc_t)xdr_grant_args, q->args);
  free (q->args);
  str_free (&q->key.region);
  str_free (&q->key.key);
  str_free (&q->node);
  str_free (&q->unreachable_node);
  free (q);
  fn (ctx, err, (struct str){ 0 }, res);
  update_fast_timer (s);
}

static void
query_refuse (struct grant_query *q, grant_code code, const char *detail)
{
  const struct grant_res res = {
    .code = code,
    .retry_after_ms = 1000,
    .detail = TEXT_STR (str_from (detail)),
  };

  LOG_WARN ("grant-failed",
            "request=" STR_FMT " key=" STR_FMT " peer=" STR_FMT
            " detail=\"%s\"",
            STR_ARG (STR_TEXT (q->args->request_id)), STR_ARG (q->key.key),
            STR_ARG (q->node), detail);
  query_end (q, 0, &res);
}

static void on_grant_reply (void *ctx, int err, struct str hint,
                            const void *result);

static void
query_send (struct grant_query *q, struct str to)
{
  struct scheduler *s = q->scheduler;
  const uint64_t now_ms = clock_ms ();

  if (now_ms >= q->deadline_ms)
    {
      query_refuse (q, GRANT_DEADLINE, "no scheduler answered in time");
      return;
    }
  const uint32_t left_ms = (uint32_t)(q->deadline_ms - now_ms);
  struct str copy = str_dup (to);

  str_free (&q->node);
  q->node = copy;
  q->args->deadline_ms = left_ms;
  q->retry_at_ms = 0;
  bus_call (s->bus, q->node, PEER_GRANT, q->args, left_ms + REPLY_MARGIN_MS,
            on_grant_reply, q);
}

/* Calls the node at the query's rank. At the end of the rendezvous order, it
   starts over after a delay. */
static void
query_next_node (struct grant_query *q)
{
  const struct scheduler *s = q->scheduler;
  const struct member_view *view = kernel_latest (s->kernel, TOPIC_MEMBERS);
  const struct member_info *m
      = q->rank == 0
            ? scheduler_owner (s, &q->key)
            : member_at_rank (view, q->key.region, q->key.key, q->rank);

  if (m)
    {
      query_send (q, m->addr);
      return;
    }
  if (q->rank == 0)
    {
      query_refuse (q, GRANT_UNAVAILABLE, "no live node can schedule");
      return;
    }
  q->rank = 0;
  q->retry_at_ms = clock_ms () + RETRY_DELAY_MS;
}

static void
mark_unreachable (struct grant_query *q)
{
  str_free (&q->unreachable_node);
  q->unreachable_node = str_dup (q->node);
  q->unreachable_until_ms = clock_ms () + UNREACHABLE_MS;
}

static void
follow_hint (struct grant_query *q, struct str hint)
{
  const bool unusable = hint.len == 0 || str_eq (hint, q->unreachable_node);
  const uint64_t now_ms = clock_ms ();

  if (!unusable && q->hints_followed++ < HINTS_MAX)
    {
      query_send (q, hint);
      return;
    }
  /* The nodes' member views differ for a moment, or the owner has died and is
     not yet suspected by the node that gave the hint. */
  q->hints_followed = 0;
  q->retry_at_ms = now_ms + RETRY_DELAY_MS;
  if (q->unreachable_node.len == 0 || now_ms < q->unreachable_until_ms)
    return;
  /* Or the owner lives and only its connection was closed, because one of the
     two processes was paused. */
  str_free (&q->unreachable_node);
  q->rank = 0;
}

static void
on_grant_reply (void *ctx, int err, struct str hint, const void *result)
{
  struct grant_query *q = ctx;

  if (q->scheduler->stopped)
    query_end (q, -ECANCELED, NULL);
  else if (err == 0)
    query_end (q, 0, result);
  else if (err == -ETIMEDOUT)
    query_refuse (q, GRANT_DEADLINE, "the scheduler did not answer in time");
  else if (err == -ESTALE)
    follow_hint (q, hint);
  else
    {
      mark_unreachable (q);
      q->rank++;
      q->hints_followed = 0;
      query_next_node (q);
    }
}

void
scheduler_grant (struct scheduler *s, const struct grant_args *args,
                 bus_reply_fn fn, void *ctx)
{
  struct grant_query *q = xcalloc (1, sizeof *q);
  struct grant_args with_entry = *args;

  with_entry.entry = (node_id){
    .addr = TEXT_STR (kernel_settings (s->kernel)->bus_addr),
    .instance = kernel_instance (s->kernel),
  };
  q->scheduler = s;
  q->args = xdrcodec_copy ((xdrproc_t)xdr_grant_args, &with_entry,
                           sizeof (struct grant_args));
  /* The lists bound all names in it. */
  if (!q->args)
    abort ();
  q->key
      = sched_key_make (s, STR_TEXT (args->service), STR_TEXT (args->model));
  q->key.region = str_dup (q->key.region);
  q->deadline_ms = clock_ms () + args->deadline_ms;
  q->fn = fn;
  q->ctx = ctx;
  DL_APPEND (s->grant_queries, q);
  const struct member_info *m = scheduler_owner (s, &q->key);

  /* A query that would fail immediately is left to the timer, so that @fn
     never runs before this function returns. */
  if (m && args->deadline_ms > 0)
    query_send (q, m->addr);
  else
    q->retry_at_ms = 1;
  update_fast_timer (s);
}

void
grant_queries_tick (struct scheduler *s)
{
  const uint64_t now_ms = clock_ms ();
  struct grant_query *q;
  struct grant_query *next;

  DL_FOREACH_SAFE (s->grant_queries, q, next)
  {
    if (q->retry_at_ms && now_ms >= q->retry_at_ms)
      query_next_node (q);
  }
}

void
grant_queries_cancel (struct scheduler *s)
{
  struct grant_query *q;
  struct grant_query *next;

  DL_FOREACH_SAFE (s->grant_queries, q, next)
  {
    if (q->retry_at_ms)
      query_end (q, -ECANCELED, NULL);
  }
}
