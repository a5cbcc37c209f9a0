#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "text.h"

/* Sizes of the records in the head from which claims and settle requests are
   refused. With the segment list the head stays below the store's limit of
   1 MB. */
#define CLAIM_HEAD_MAX_BYTES 750000
#define SETTLE_HEAD_MAX_BYTES 900000
#define SEGMENTS_MAX 4096

void
claim_free_waiter (struct claim_partition *c, struct waiter *w)
{
  DL_DELETE (c->waiters, w);
  c->waiter_count--;
  switch (w->kind)
    {
    case WAIT_CLAIM:
      text_free (&w->args.claim.customer);
      text_free (&w->args.claim.key);
      text_free (&w->args.claim.service);
      text_free (&w->args.claim.request_id);
      text_free (&w->args.claim.entry.addr);
      break;
    case WAIT_SETTLE:
      text_free (&w->args.settle.customer);
      text_free (&w->args.settle.key);
      text_free (&w->args.settle.request_id);
      text_free (&w->args.settle.content_type);
      free (w->args.settle.body.blob_val);
      break;
    case WAIT_LOOKUP:
      text_free (&w->args.lookup.customer);
      text_free (&w->args.lookup.key);
      break;
    }
  free (w);
}

static void
refuse (struct claim_partition *c, struct waiter *w, int err)
{
  void *request = w->request;

  claim_free_waiter (c, w);
  c->actions->refuse (c->ctx, request, err);
}

static void
answer (struct claim_partition *c, struct waiter *w, enum claim_code code,
        const struct record *r)
{
  struct claim_res res = { .code = code };
  void *request = w->request;

  if (r && code != CLAIM_FULL && code != CLAIM_STORE_DOWN)
    {
      res.request_id = r->content.request_id;
      res.service = r->content.service;
      res.status = r->content.status;
      res.content_type = r->content.content_type;
      res.body = r->content.body;
      res.claimed_at_ms = r->content.claimed_at_ms;
      res.settled_at_ms = r->content.settled_at_ms;
    }
  claim_free_waiter (c, w);
  c->actions->answer (c->ctx, request, &res);
}

void
claim_refuse_all (struct claim_partition *c, int err)
{
  while (c->waiters)
    refuse (c, c->waiters, err);
}

static enum claim_code
code_of_record (const struct record *r, uint64_t wall)
{
  switch (r->content.state)
    {
    case CLAIM_STATE_CLAIMED:
      return wall > r->content.deadline_at_ms + CLAIM_GRACE_MS ? CLAIM_UNKNOWN
                                                               : CLAIM_RUNNING;
    case CLAIM_STATE_DONE:
      return CLAIM_DONE;
    case CLAIM_STATE_VOID:
      return CLAIM_NONE;
    case CLAIM_STATE_UNKNOWN:
      break;
    }
  return CLAIM_UNKNOWN;
}

static void
record_claim (struct claim_partition *c, struct waiter *w,
              struct claim_clock t)
{
  const struct claim_args *a = &w->args.claim;
  const struct claim_record r = {
    .customer = a->customer,
    .key = a->key,
    .service = a->service,
    .request_id = a->request_id,
    .fingerprint = a->fingerprint,
    .entry = a->entry,
    .claimed_at_ms = t.wall,
    .deadline_at_ms = t.wall + a->deadline_ms,
  };

  claim_update_record (c, &r);
  w->applied = true;
}

static bool
is_full (const struct claim_partition *c)
{
  return c->bytes >= c->config.bytes_max
         || c->head_bytes >= CLAIM_HEAD_MAX_BYTES
         || c->segment_count >= SEGMENTS_MAX;
}

/* Handles a claim for a key that has no record, or one without a pending
   write. */
static void
process_claim (struct claim_partition *c, struct waiter *w, struct record *r,
               struct claim_clock t)
{
  const struct claim_args *a = &w->args.claim;
  const bool same_request
      = r && text_eq (r->content.request_id, a->request_id);

  if (r && same_request && r->content.state == CLAIM_STATE_VOID)
    {
      /* The void from the entry node arrived before the claim. */
      answer (c, w, CLAIM_NONE, r);
      return;
    }
  if (!r || r->content.state == CLAIM_STATE_VOID
      || claim_expired (c, r->content.claimed_at_ms, t.wall))
    {
      if (is_full (c))
        answer (c, w, CLAIM_FULL, NULL);
      else
        record_claim (c, w, t);
      return;
    }
  if (r->content.fingerprint != a->fingerprint
      || !text_eq (r->content.service, a->service))
    {
      answer (c, w, CLAIM_MISMATCH, r);
      return;
    }
  const enum claim_code code = code_of_record (r, t.wall);
  answer (c, w, same_request && code == CLAIM_RUNNING ? CLAIM_GRANTED : code,
          r);
}

/* Records the void of a claim that has not arrived yet, so that the claim is
   not granted to a caller that no longer waits. */
static void
record_void (struct claim_partition *c, const struct settle_args *a,
             struct claim_clock t)
{
  const struct claim_record r = {
    .customer = a->customer,
    .key = a->key,
    .request_id = a->request_id,
    .state = CLAIM_STATE_VOID,
    .claimed_at_ms = t.wall,
    .settled_at_ms = t.wall,
  };

  claim_update_record (c, &r);
}

static void
record_outcome (struct claim_partition *c, const struct record *r,
                const struct settle_args *a, struct claim_clock t)
{
  struct claim_record updated = r->content;

  updated.state = a->state == SETTLE_DONE   ? CLAIM_STATE_DONE
                  : a->state == SETTLE_VOID ? CLAIM_STATE_VOID
                                            : CLAIM_STATE_UNKNOWN;
  updated.settled_at_ms = t.wall;
  updated.status = a->status;
  updated.content_type = a->content_type;
  updated.body = (blob){ 0 };
  if (a->body.blob_len <= CLAIM_BODY_MAX && c->bytes < c->config.bytes_max)
    updated.body = a->body;
  /* claim_replace_record() copies these texts before it frees the old ones,
     to which some of them point. */
  claim_update_record (c, &updated);
}

static bool
has_outcome (const struct record *r, enum settle_state state)
{
  return (state == SETTLE_DONE && r->content.state == CLAIM_STATE_DONE)
         || (state == SETTLE_VOID && r->content.state == CLAIM_STATE_VOID)
         || (state == SETTLE_UNKNOWN
             && r->content.state == CLAIM_STATE_UNKNOWN);
}

static void
answer_settle (struct claim_partition *c, struct waiter *w, bool stored)
{
  void *request = w->request;

  claim_free_waiter (c, w);
  c->actions->answer_settle (c->ctx, request, stored);
}

/* Handles a settle request. The outcomes done and void are final; an unknown
   outcome may still be replaced. */
static void
process_settle (struct claim_partition *c, struct waiter *w,
                const struct record *r, struct claim_clock t)
{
  const struct settle_args *a = &w->args.settle;

  if (c->head_bytes >= SETTLE_HEAD_MAX_BYTES)
    {
      refuse (c, w, -EBUSY);
      return;
    }
  if (!r && a->state == SETTLE_VOID && !is_full (c))
    {
      record_void (c, a, t);
      return;
    }
  if (!r || !text_eq (r->content.request_id, a->request_id))
    answer_settle (c, w, false);
  else if (has_outcome (r, a->state))
    answer_settle (c, w, true);
  else if (r->content.state == CLAIM_STATE_CLAIMED
           || (r->content.state == CLAIM_STATE_UNKNOWN
               && a->state != SETTLE_UNKNOWN))
    record_outcome (c, r, a, t);
  else
    answer_settle (c, w, false);
}

static struct record *
find_record (const struct claim_partition *c, const struct waiter *w)
{
  switch (w->kind)
    {
    case WAIT_CLAIM:
      return claim_find (c, w->args.claim.customer, w->args.claim.key);
    case WAIT_SETTLE:
      return claim_find (c, w->args.settle.customer, w->args.settle.key);
    case WAIT_LOOKUP:
      break;
    }
  return claim_find (c, w->args.lookup.customer, w->args.lookup.key);
}

/* Answers a request or applies it to its record, or leaves it waiting while
   the partition is loading or the record has a pending write. Refuses it if
   the lease is not held, because a decision is valid only under the lease. */
void
claim_process_waiter (struct claim_partition *c, struct waiter *w,
                      struct claim_clock t)
{
  struct record *r = find_record (c, w);

  if (c->stage != STAGE_SERVING)
    return;
  if (!c->actions->holds_lease (c->ctx, c->fence))
    {
      refuse (c, w, -ESTALE);
      return;
    }
  /* A settle request doesn't wait for the write of the claim, only for that of
     its own change. */
  if (r && r->pending_write && (w->kind != WAIT_SETTLE || w->applied))
    return;
  if (r && r->pending_write && has_outcome (r, w->args.settle.state))
    return;
  switch (w->kind)
    {
    case WAIT_CLAIM:
      process_claim (c, w, r, t);
      break;
    case WAIT_SETTLE:
      w->applied = true;
      process_settle (c, w, r, t);
      break;
    case WAIT_LOOKUP:
      if (!r || claim_expired (c, r->content.claimed_at_ms, t.wall))
        answer (c, w, CLAIM_NONE, NULL);
      else
        answer (c, w, code_of_record (r, t.wall), r);
      break;
    }
}

void
claim_process_all_waiters (struct claim_partition *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next) { claim_process_waiter (c, w, t); }
}

/* Answers a claim that the store did not confirm in time. A write whose
   outcome is unknown may still store the claim, so the record is changed to
   void, which the next write stores. */
static void
expire_claim (struct claim_partition *c, struct waiter *w,
              struct claim_clock t)
{
  struct record *r = find_record (c, w);

  if (w->applied && r && r->pending_write
      && r->content.state == CLAIM_STATE_CLAIMED
      && text_eq (r->content.request_id, w->args.claim.request_id))
    {
      struct claim_record updated = r->content;

      updated.state = CLAIM_STATE_VOID;
      updated.settled_at_ms = t.wall;
      claim_update_record (c, &updated);
    }
  answer (c, w, CLAIM_STORE_DOWN, NULL);
}

void
claim_expire_waiters (struct claim_partition *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next)
  {
    if (t.now < w->expires_at)
      continue;
    if (w->kind == WAIT_CLAIM)
      expire_claim (c, w, t);
    else if (w->kind == WAIT_LOOKUP)
      answer (c, w, CLAIM_STORE_DOWN, NULL);
    else
      refuse (c, w, -ETIMEDOUT);
  }
}
