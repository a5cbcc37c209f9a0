#pragma once

/* Internals of the state machine: for the claim*.c files except claims.c. */

#include <uthash.h>
#include <utlist.h>

#include "claim.h"

/* Delay before the next store call after a failed one. */
#define RETRY_MS 250
/* Value of pending_write for a change that no write has carried yet. */
#define UNWRITTEN UINT64_MAX

/** struct record - record of a key, with the state of its last change. */
struct record
{
  char *hash_key;
  struct claim_record content; /* texts are heap-owned */
  /* Sequence number of the first write that carried the last change,
     UNWRITTEN before that write, 0 once the change is known to be stored. */
  uint64_t pending_write;
  bool in_head; /* stored in the head object rather than in a segment */
  bool sealing; /* selected for the segment that is being written */
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

/** struct waiter - a request that is not answered yet. */
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
  uint64_t expires_at; /* CLOCK_BOOTTIME ms */
  bool applied;        /* its change was made to the record */
  struct waiter *prev;
  struct waiter *next;
};

/** struct segment - a stored object with records moved out of the head. */
struct segment
{
  struct claim_segment info;
  uint64_t version;
  bool expired; /* removed after a head without it is stored */
};

/** enum stage - steps from gaining the lease to serving requests. */
enum stage
{
  STAGE_IDLE, /* not the owner, or a later owner has written the head */
  STAGE_READ_HEAD,
  STAGE_WRITE_FENCE, /* write the head with this owner's fence */
  STAGE_READ_SEGMENTS,
  STAGE_SERVING,
};

/** enum store_call - the store call in progress. */
enum store_call
{
  CALL_NONE,
  CALL_READ_HEAD,
  CALL_WRITE_HEAD,
  CALL_READ_SEGMENT,
  CALL_WRITE_SEGMENT,
  CALL_REMOVE_SEGMENT,
};

struct claim_partition
{
  struct claim_config config;
  const struct claim_actions *actions;
  void *ctx;
  uint64_t fence;
  /* Number of times that the lease was gained or lost. The result of a store
     call that started in an earlier epoch is ignored. */
  uint64_t lease_epoch;
  enum stage stage;
  enum store_call store_call;
  uint64_t store_call_epoch; /* lease_epoch at the start of store_call */
  bool head_in_doubt; /* a head write failed; the head must be read back */
  uint64_t head_version;
  uint64_t write_sequence;         /* of the last head write */
  uint64_t segments_pending_write; /* pending_write of the segment list */
  size_t pending_records;
  struct record *records;
  struct record *head_records; /* list of the records with in_head set */
  size_t bytes;
  size_t head_bytes;
  struct segment *segments;
  size_t segment_count;
  size_t segments_loaded;
  uint64_t next_segment_number;
  struct claim_segment sealing_segment; /* number 0 if there is none */
  struct waiter *waiters;
  size_t waiter_count;
  uint64_t retry_at; /* no store call starts before */
  uint64_t next_write_at;
  uint64_t spaced_until; /* the writes so far, at write_interval_ms each */
  uint64_t next_seal_at;
  uint64_t next_expiry_check_at;
};

/* claim.c */
void claim_start_call (struct claim_partition *c, enum store_call call);
void claim_start_next_call (struct claim_partition *c, struct claim_clock t);

/* claim_records.c */
struct record *claim_find (const struct claim_partition *c, text customer,
                           text key);
void claim_set_in_head (struct claim_partition *c, struct record *r,
                        bool in_head);
void claim_set_pending (struct claim_partition *c, struct record *r,
                        uint64_t pending_write);
struct record *claim_replace_record (struct claim_partition *c,
                                     const struct claim_record *content);
void claim_update_record (struct claim_partition *c,
                          const struct claim_record *content);
void claim_drop_record (struct claim_partition *c, struct record *r);
void claim_drop_all (struct claim_partition *c);
bool claim_expired (const struct claim_partition *c, uint64_t claimed_at_ms,
                    uint64_t wall);

/* claim_waiters.c */
void claim_free_waiter (struct claim_partition *c, struct waiter *w);
void claim_refuse_all (struct claim_partition *c, int err);
void claim_process_waiter (struct claim_partition *c, struct waiter *w,
                           struct claim_clock t);
void claim_process_all_waiters (struct claim_partition *c,
                                struct claim_clock t);
void claim_expire_waiters (struct claim_partition *c, struct claim_clock t);

/* claim_object.c */
struct str claim_encode (const struct claim_object *object);
bool claim_decode (struct str value, struct claim_object *out);
struct claim_object claim_new_object (const struct claim_partition *c,
                                      uint64_t sequence);

/* claim_head.c */
void claim_read_head (struct claim_partition *c);
void claim_write_head (struct claim_partition *c, struct claim_clock t);
void claim_go_idle (struct claim_partition *c);
void claim_on_head_read (struct claim_partition *c, int err, uint64_t version,
                         struct str value, struct claim_clock t);
void claim_on_head_written (struct claim_partition *c, int err,
                            uint64_t version, struct claim_clock t);

/* claim_segments.c */
void claim_add_segment (struct claim_partition *c,
                        const struct claim_segment *s, uint64_t version);
void claim_read_segment (struct claim_partition *c);
void claim_on_segment_read (struct claim_partition *c, int err,
                            uint64_t version, struct str value,
                            struct claim_clock t);
bool claim_seal_due (const struct claim_partition *c, struct claim_clock t);
void claim_start_seal (struct claim_partition *c, struct claim_clock t);
void claim_write_segment (struct claim_partition *c);
void claim_on_segment_written (struct claim_partition *c, int err,
                               uint64_t version, struct claim_clock t);
struct segment *claim_segment_to_remove (const struct claim_partition *c);
void claim_remove_segment (struct claim_partition *c, const struct segment *s);
void claim_on_segment_removed (struct claim_partition *c, int err,
                               struct claim_clock t);
void claim_drop_expired (struct claim_partition *c, struct claim_clock t);
