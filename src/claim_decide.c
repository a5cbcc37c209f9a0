#include "claim_impl.h"

#include <errno.h>
#include <stdlib.h>

#include "text.h"

/* Sizes of the head's records from which on claims, and settlings too, are
   refused. Together with the segment list the head stays below the store's
   limit of 1 MB. */
#define CLAIM_LIMIT_BYTES 750000
#define SETTLE_LIMIT_BYTES 900000
#define SEGMENTS_MAX 4096

void
claim_free_waiter (struct claim *c, struct waiter *w)
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
refuse (struct claim *c, struct waiter *w, int err)
{
  void *request = w->request;

  claim_free_waiter (c, w);
  c->actions->refuse (c->ctx, request, err);
}

static void
answer (struct claim *c, struct waiter *w, enum claim_code code,
        const struct record *r)
{
  struct claim_res res = { .code = code };
  void *request = w->request;

  if (r && code != CLAIM_FULL && code != CLAIM_STORE_DOWN)
    {
      res.request_id = r->r.request_id;
      res.service = r->r.service;
      res.status = r->r.status;
      res.content_type = r->r.content_type;
      res.body = r->r.body;
      res.claimed_at_ms = r->r.claimed_at_ms;
      res.settled_at_ms = r->r.settled_at_ms;
    }
  claim_free_waiter (c, w);
  c->actions->answer (c->ctx, request, &res);
}

void
claim_refuse_all (struct claim *c, int err)
{
  while (c->waiters)
    refuse (c, c->waiters, err);
}

static enum claim_code
state_code (const struct record *r, uint64_t wall)
{
  switch (r->r.state)
    {
    case CLAIM_STATE_CLAIMED:
      return wall > r->r.deadline_at_ms + CLAIM_GRACE_MS ? CLAIM_UNKNOWN
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
record_claim (struct claim *c, struct waiter *w, struct claim_clock t)
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

  claim_change_record (c, &r);
  w->applied = true;
}

static bool
is_full (const struct claim *c)
{
  return c->bytes >= c->config.bytes_max || c->open_bytes >= CLAIM_LIMIT_BYTES
         || c->segment_count >= SEGMENTS_MAX;
}

/* A claim whose key has a confirmed record or none. */
static void
decide_claim (struct claim *c, struct waiter *w, struct record *r,
              struct claim_clock t)
{
  const struct claim_args *a = &w->args.claim;
  const bool own = r && text_eq (r->r.request_id, a->request_id);

  if (r && own && r->r.state == CLAIM_STATE_VOID)
    {
      /* Its entry gave the claim up before it arrived here. */
      answer (c, w, CLAIM_NONE, r);
      return;
    }
  if (!r || r->r.state == CLAIM_STATE_VOID
      || claim_expired (c, r->r.claimed_at_ms, t.wall))
    {
      if (is_full (c))
        answer (c, w, CLAIM_FULL, NULL);
      else
        record_claim (c, w, t);
      return;
    }
  if (r->r.fingerprint != a->fingerprint
      || !text_eq (r->r.service, a->service))
    {
      answer (c, w, CLAIM_MISMATCH, r);
      return;
    }
  const enum claim_code code = state_code (r, t.wall);
  answer (c, w, own && code == CLAIM_RUNNING ? CLAIM_GRANTED : code, r);
}

/* Records that a claim was given up which did not arrive yet, so that it is
   not granted to a caller that no longer waits. */
static void
record_void (struct claim *c, const struct settle_args *a,
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

  claim_change_record (c, &r);
}

static void
record_outcome (struct claim *c, const struct record *r,
                const struct settle_args *a, struct claim_clock t)
{
  struct claim_record with = r->r;

  with.state = a->state == SETTLE_DONE   ? CLAIM_STATE_DONE
               : a->state == SETTLE_VOID ? CLAIM_STATE_VOID
                                         : CLAIM_STATE_UNKNOWN;
  with.settled_at_ms = t.wall;
  with.status = a->status;
  with.content_type = a->content_type;
  with.body = (blob){ 0 };
  if (a->body.blob_len <= CLAIM_BODY_MAX && c->bytes < c->config.bytes_max)
    with.body = a->body;
  /* claim_put_record() frees the old texts after it copied these. */
  claim_change_record (c, &with);
}

static bool
has_outcome (const struct record *r, enum settle_state state)
{
  return (state == SETTLE_DONE && r->r.state == CLAIM_STATE_DONE)
         || (state == SETTLE_VOID && r->r.state == CLAIM_STATE_VOID)
         || (state == SETTLE_UNKNOWN && r->r.state == CLAIM_STATE_UNKNOWN);
}

static void
answer_settled (struct claim *c, struct waiter *w, bool stored)
{
  void *request = w->request;

  claim_free_waiter (c, w);
  c->actions->settled (c->ctx, request, stored);
}

/* Done and void are final; an unknown outcome may become known. */
static void
decide_settle (struct claim *c, struct waiter *w, const struct record *r,
               struct claim_clock t)
{
  const struct settle_args *a = &w->args.settle;

  if (c->open_bytes >= SETTLE_LIMIT_BYTES)
    {
      refuse (c, w, -EBUSY);
      return;
    }
  if (!r && a->state == SETTLE_VOID && !is_full (c))
    {
      record_void (c, a, t);
      return;
    }
  if (!r || !text_eq (r->r.request_id, a->request_id))
    answer_settled (c, w, false);
  else if (has_outcome (r, a->state))
    answer_settled (c, w, true);
  else if (r->r.state == CLAIM_STATE_CLAIMED
           || (r->r.state == CLAIM_STATE_UNKNOWN
               && a->state != SETTLE_UNKNOWN))
    record_outcome (c, r, a, t);
  else
    answer_settled (c, w, false);
}

static struct record *
record_of (const struct claim *c, const struct waiter *w)
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

/* Answers or applies a request unless the key's record waits for the store.
   Whatever was decided holds only while the lease does. */
void
claim_decide (struct claim *c, struct waiter *w, struct claim_clock t)
{
  struct record *r = record_of (c, w);

  if (c->stage != STAGE_SERVING)
    return;
  if (!c->actions->valid (c->ctx, c->fence))
    {
      refuse (c, w, -ESTALE);
      return;
    }
  /* A settling does not wait for the claim's confirmation. */
  if (r && r->pending && (w->kind != WAIT_SETTLE || w->applied))
    return;
  if (r && r->pending && has_outcome (r, w->args.settle.state))
    return;
  switch (w->kind)
    {
    case WAIT_CLAIM:
      decide_claim (c, w, r, t);
      break;
    case WAIT_SETTLE:
      w->applied = true;
      decide_settle (c, w, r, t);
      break;
    case WAIT_LOOKUP:
      if (!r || claim_expired (c, r->r.claimed_at_ms, t.wall))
        answer (c, w, CLAIM_NONE, NULL);
      else
        answer (c, w, state_code (r, t.wall), r);
      break;
    }
}

void
claim_decide_all (struct claim *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next) { claim_decide (c, w, t); }
}

/* The store did not confirm in time. The record may still be written by a
   write in doubt, so the next one says that nothing was granted. */
static void
give_up_claim (struct claim *c, struct waiter *w, struct claim_clock t)
{
  struct record *r = record_of (c, w);

  if (w->applied && r && r->pending && r->r.state == CLAIM_STATE_CLAIMED
      && text_eq (r->r.request_id, w->args.claim.request_id))
    {
      struct claim_record with = r->r;

      with.state = CLAIM_STATE_VOID;
      with.settled_at_ms = t.wall;
      claim_change_record (c, &with);
    }
  answer (c, w, CLAIM_STORE_DOWN, NULL);
}

void
claim_expire_waiters (struct claim *c, struct claim_clock t)
{
  struct waiter *w;
  struct waiter *next;

  DL_FOREACH_SAFE (c->waiters, w, next)
  {
    if (t.now < w->until)
      continue;
    if (w->kind == WAIT_CLAIM)
      give_up_claim (c, w, t);
    else if (w->kind == WAIT_LOOKUP)
      answer (c, w, CLAIM_STORE_DOWN, NULL);
    else
      refuse (c, w, -ETIMEDOUT);
  }
}
