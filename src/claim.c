#include "claim_impl.h"

#include <stdlib.h>

#include "err.h"
#include "text.h"

#define EXPIRY_CHECK_MS 10000

void
claim_start_call (struct claim_partition *c, enum store_call call)
{
  c->store_call = call;
  c->store_call_epoch = c->lease_epoch;
}

static void
start_serving_call (struct claim_partition *c, struct claim_clock t)
{
  const struct segment *expired;

  if (t.now >= c->next_expiry_check_at)
    {
      c->next_expiry_check_at = t.now + EXPIRY_CHECK_MS;
      claim_drop_expired (c, t);
    }
  if (claim_seal_due (c, t))
    {
      claim_start_seal (c, t);
      claim_write_segment (c);
    }
  else if ((c->pending_records > 0 || c->segments_pending_write)
           && t.now >= c->next_write_at)
    claim_write_head (c, t);
  else if ((expired = claim_segment_to_remove (c)) != NULL)
    claim_remove_segment (c, expired);
}

/* Starts the next store call if one is needed and none is in progress. */
void
claim_start_next_call (struct claim_partition *c, struct claim_clock t)
{
  if (c->store_call != CALL_NONE || t.now < c->retry_at)
    return;
  if (c->stage == STAGE_IDLE)
    return;
  if (c->stage == STAGE_READ_HEAD || c->head_in_doubt)
    {
      claim_read_head (c);
      return;
    }
  if (c->stage == STAGE_READ_SEGMENTS
      && c->segments_loaded == c->segment_count)
    {
      c->stage = STAGE_SERVING;
      claim_process_all_waiters (c, t);
    }
  /* No write is sent without the lease: if the successor has written the head
     the write would fail, otherwise it would delay the successor. */
  if (!c->actions->holds_lease (c->ctx, c->fence))
    return;
  switch (c->stage)
    {
    case STAGE_WRITE_FENCE:
      claim_write_head (c, t);
      break;
    case STAGE_READ_SEGMENTS:
      claim_read_segment (c);
      break;
    case STAGE_SERVING:
      start_serving_call (c, t);
      break;
    case STAGE_IDLE:
    case STAGE_READ_HEAD:
      break;
    }
}

void
claim_store_done (struct claim_partition *c, int err, uint64_t version,
                  struct str value, struct claim_clock t)
{
  const enum store_call ended_call = c->store_call;

  c->store_call = CALL_NONE;
  /* Timeouts come first: if this process was paused, the callers of some
     requests no longer wait and must not be granted a claim. */
  claim_expire_waiters (c, t);
  if (c->store_call_epoch == c->lease_epoch && c->stage != STAGE_IDLE)
    switch (ended_call)
      {
      case CALL_READ_HEAD:
        claim_on_head_read (c, err, version, value, t);
        break;
      case CALL_WRITE_HEAD:
        claim_on_head_written (c, err, version, t);
        break;
      case CALL_READ_SEGMENT:
        claim_on_segment_read (c, err, version, value, t);
        break;
      case CALL_WRITE_SEGMENT:
        claim_on_segment_written (c, err, version, t);
        break;
      case CALL_REMOVE_SEGMENT:
        claim_on_segment_removed (c, err, t);
        break;
      case CALL_NONE:
        break;
      }
  claim_start_next_call (c, t);
}

void
claim_tick (struct claim_partition *c, struct claim_clock t)
{
  claim_expire_waiters (c, t);
  claim_start_next_call (c, t);
}

void
claim_lease_gained (struct claim_partition *c, uint64_t fence,
                    struct claim_clock t)
{
  c->lease_epoch++;
  c->fence = fence;
  c->stage = STAGE_READ_HEAD;
  c->head_in_doubt = false;
  c->sealing_segment.number = 0;
  c->retry_at = 0;
  c->next_write_at = 0;
  c->spaced_until = 0;
  claim_drop_all (c);
  claim_start_next_call (c, t);
}

void
claim_lease_lost (struct claim_partition *c)
{
  c->lease_epoch++;
  claim_go_idle (c);
}

struct claim_partition *
claim_create (const struct claim_config *config,
              const struct claim_actions *actions, void *ctx)
{
  struct claim_partition *c = xcalloc (1, sizeof *c);

  c->config = *config;
  c->config.key = str_dup (config->key);
  c->config.self.addr = text_copy (config->self.addr);
  c->actions = actions;
  c->ctx = ctx;
  return c;
}

void
claim_destroy (struct claim_partition *c)
{
  while (c->waiters)
    claim_free_waiter (c, c->waiters);
  claim_drop_all (c);
  str_free (&c->config.key);
  text_free (&c->config.self.addr);
  free (c);
}

struct claim_counts
claim_counts (const struct claim_partition *c)
{
  return (struct claim_counts){ .records = HASH_COUNT (c->records),
                                .bytes = c->bytes,
                                .waiting = c->waiter_count,
                                .segments = c->segment_count,
                                .serving = c->stage == STAGE_SERVING };
}
