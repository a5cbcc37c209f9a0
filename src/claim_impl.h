#pragma once

/* Private to claim*.c, but not to claims.c. */

#include <uthash.h>
#include <utlist.h>

#include "claim.h"

#define RETRY_MS 250
/* Change of a record that is in no write yet. */
#define UNWRITTEN UINT64_MAX

/** struct record - a claim and whether the store has it. */
struct record
{
  char *hash_key;
  struct claim_record r; /* texts are heap-owned */
  /* 0: confirmed in the store; UNWRITTEN; or the sequence number of the first
     write with the last change. */
  uint64_t pending;
  bool open; /* in the head object rather than in a segment */
  bool sealing;
  struct record *prev;
  struct record *next;
  UT_hash_handle hh;
};

enum waiter_kind
{
  WAIT_CLAIM,
  WAIT_SETTLE,
  WAIT_LOOKUP,
};

/* A request that is not answered yet. */
struct waiter
{
  enum waiter_kind kind;
  union
  {
    struct claim_args claim;
    struct settle_args settle;
    struct lookup_args lookup;
  } args; /* deep copy */
  void *request;
  uint64_t until;
  bool applied; /* its change is in the records */
  struct waiter *prev;
  struct waiter *next;
};

/** struct segment - an object of records that left the head. */
struct segment
{
  struct claim_segment s;
  uint64_t version;
  bool dropped; /* to be removed once the head no longer names it */
};

/** enum stage - steps from the lease to serving. */
enum stage
{
  STAGE_IDLE,  /* not the owner, or stale */
  STAGE_HEAD,  /* to read the head */
  STAGE_STAMP, /* to write the own fence to the head */
  STAGE_SEGMENTS,
  STAGE_SERVING,
};

/** enum call - the store call in progress. */
enum call
{
  CALL_NONE,
  CALL_READ_HEAD,
  CALL_WRITE_HEAD,
  CALL_READ_SEGMENT,
  CALL_WRITE_SEGMENT,
  CALL_REMOVE_SEGMENT,
};

struct claim
{
  struct claim_config config;
  const struct claim_actions *actions;
  void *ctx;
  uint64_t fence;
  uint64_t tenure;
  enum stage stage;
  enum call call;
  uint64_t call_tenure;
  bool in_doubt; /* the head has to be read back */
  uint64_t version;
  uint64_t sequence;
  uint64_t head_pending; /* like struct record's, for the segment list */
  size_t pending_count;
  struct record *records;
  struct record *open;
  size_t bytes;
  size_t open_bytes;
  struct segment *segments;
  size_t segment_count;
  size_t segments_loaded;
  uint64_t next_number;
  struct claim_segment sealing;
  struct waiter *waiters;
  size_t waiter_count;
  uint64_t next_try;
  uint64_t next_write;
  uint64_t next_seal;
  uint64_t next_expiry_check;
};

/* claim.c */
void claim_start_call (struct claim *c, enum call call);
void claim_step (struct claim *c, struct claim_clock t);

/* claim_records.c */
struct record *claim_find (const struct claim *c, text customer, text key);
void claim_set_open (struct claim *c, struct record *r, bool open);
void claim_set_pending (struct claim *c, struct record *r, uint64_t pending);
struct record *claim_put_record (struct claim *c,
                                 const struct claim_record *with);
void claim_change_record (struct claim *c, const struct claim_record *with);
void claim_drop_record (struct claim *c, struct record *r);
void claim_drop_records (struct claim *c);
bool claim_expired (const struct claim *c, uint64_t claimed_at_ms,
                    uint64_t wall);

/* claim_decide.c */
void claim_free_waiter (struct claim *c, struct waiter *w);
void claim_refuse_all (struct claim *c, int err);
void claim_decide (struct claim *c, struct waiter *w, struct claim_clock t);
void claim_decide_all (struct claim *c, struct claim_clock t);
void claim_expire_waiters (struct claim *c, struct claim_clock t);

/* claim_object.c */
struct str claim_encode (const struct claim_object *object);
bool claim_decode (struct str value, struct claim_object *out);
struct claim_object claim_object_for (const struct claim *c,
                                      uint64_t sequence);

/* claim_head.c */
void claim_read_head (struct claim *c);
void claim_write_head (struct claim *c, struct claim_clock t);
void claim_go_idle (struct claim *c);
void claim_head_read (struct claim *c, int err, uint64_t version,
                      struct str value, struct claim_clock t);
void claim_head_written (struct claim *c, int err, uint64_t version,
                         struct claim_clock t);

/* claim_segments.c */
void claim_add_segment (struct claim *c, const struct claim_segment *s,
                        uint64_t version);
void claim_read_segment (struct claim *c);
void claim_segment_read (struct claim *c, int err, uint64_t version,
                         struct str value, struct claim_clock t);
bool claim_seal_due (const struct claim *c, struct claim_clock t);
void claim_start_seal (struct claim *c, struct claim_clock t);
void claim_write_segment (struct claim *c);
void claim_segment_written (struct claim *c, int err, uint64_t version,
                            struct claim_clock t);
struct segment *claim_dropped_segment (const struct claim *c);
void claim_remove_segment (struct claim *c, const struct segment *s);
void claim_segment_removed (struct claim *c, int err, struct claim_clock t);
void claim_drop_expired (struct claim *c, struct claim_clock t);
