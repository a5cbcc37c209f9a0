#pragma once

/* Private to swim*.c. */

#include <uthash.h>

#include "swim.h"

/* Time after which a suspected member is declared dead: three probe periods.
   The member is sent the suspicion in each of them, so that the loss of one or
   two datagrams does not make a live member dead. */
#define SUSPICION_TIMEOUT_MS 3000
/* Interval at which one dead member or unknown seed is contacted again. */
#define REJOIN_INTERVAL_MS 5000
#define MEMBER_ENTRIES_MAX 1024
#define SEEDS_MAX 64
#define RELAYS_MAX 32
/* Shortest interval between requests for a member list to repair the view. */
#define REPAIR_INTERVAL_MIN_MS 2000

/**
 * struct member_entry - a known member, or this node itself.
 * @suspect_until: time at which the member is declared dead, or 0 while no
 * suspicion timeout runs.
 * @suspected_by_self: true after a probe by this node failed.
 * @dead_since: time at which the member was declared dead, or 0.
 * @sends_left: how many more times the record is sent as an update.
 */
struct member_entry
{
  struct str addr;
  struct str http_addr;
  struct str region;
  struct str domain;
  uint64_t instance;
  uint64_t incarnation;
  uint64_t revision;
  enum member_state state;
  uint64_t suspect_until;
  bool suspected_by_self;
  uint64_t dead_since;
  uint32_t sends_left;
  UT_hash_handle hh;
};

/**
 * struct notice_entry - a notice that is gossiped until it expires, then kept
 * as a tombstone to recognise late copies.
 * @hash_key: kind and key; owned.
 * @notice: its texts point to @key and @value.
 * @sends_left: how many more times the notice is sent.
 */
struct notice_entry
{
  char *hash_key;
  struct notice notice;
  struct str key;
  struct str value;
  uint64_t expires_at;
  uint32_t sends_left;
  UT_hash_handle hh;
};

/**
 * struct probe - the probe of the current period.
 * @target: probed member, or NULL when no probe is outstanding.
 * @indirect: true once other members were asked to probe @target.
 */
struct probe
{
  struct member_entry *target;
  uint64_t seq;
  uint64_t sent_at;
  bool indirect;
  bool acked;
};

/**
 * struct probe_relay - a probe that this node sends on behalf of another one.
 * @seq: sequence number of the ping sent by this node; 0 when it was acked or
 * the slot is unused.
 * @origin: address of the node that requested the probe.
 * @origin_seq: sequence number of the request, returned in the ack.
 */
struct probe_relay
{
  uint64_t seq;
  struct str origin;
  uint64_t origin_seq;
};

/**
 * struct swim - state of the gossip protocol on this node.
 * @members: in probe order.
 * @probe_cursor: index of the next member to probe.
 * @refresh_cursor: next member to repeat in pings and acks; an index modulo
 * @member_count.
 * @next_list_reply: earliest time at which a member list is sent again.
 * @joined: true once a member list was received.
 * @digest_mismatches: pings and acks in a row whose digest differed.
 * @added_from_list: members added from lists since the last repair request.
 * @digest_version: @version for which @digest was computed.
 * @version: increases when the record of a member changes, its revision aside.
 * @revision_changes: increases when the revision of a member changes.
 */
struct swim
{
  const struct swim_actions *actions;
  void *ctx;
  uint64_t random;
  struct member_entry self;
  struct member_entry *by_addr;
  struct member_entry *members[MEMBER_ENTRIES_MAX];
  size_t member_count;
  size_t probe_cursor;
  size_t refresh_cursor;
  struct notice_entry *notices;
  struct str seeds[SEEDS_MAX];
  size_t seed_count;
  size_t rejoin_cursor;
  struct probe probe;
  struct probe_relay relays[RELAYS_MAX];
  size_t next_relay;
  uint64_t seq;
  uint64_t last_tick;
  uint64_t next_probe;
  uint64_t next_rejoin;
  uint64_t next_seed_retry;
  uint64_t seed_retry_ms;
  uint64_t next_push;
  uint64_t next_list_reply;
  bool push_pending;
  bool joined;
  uint32_t join_attempts;
  uint64_t next_join;
  uint32_t digest_mismatches;
  size_t added_from_list;
  uint64_t repair_interval_ms;
  uint64_t next_repair;
  uint64_t digest;
  uint64_t digest_version;
  uint64_t version;
  uint64_t revision_changes;
};

/**
 * struct swim_datagram - a datagram under construction.
 * @bytes: encoded size so far.
 */
struct swim_datagram
{
  struct gossip msg;
  struct member members[SWIM_MEMBERS_MAX];
  struct notice notices[SWIM_NOTICES_MAX];
  size_t bytes;
};

/**
 * enum record_source - origin of a received member record.
 * @SOURCE_SENDER: sent by the member that it describes.
 * @SOURCE_GOSSIP: sent by another member as an update.
 * @SOURCE_FULL_LIST: part of a full member list.
 */
enum record_source
{
  SOURCE_SENDER,
  SOURCE_GOSSIP,
  SOURCE_FULL_LIST,
};

/* swim_members.c */
size_t swim_random_below (struct swim *s, size_t n);
void swim_copy_record (struct member_entry *e, const struct member *m);
struct member swim_to_record (const struct member_entry *e);
void swim_free_entry (struct member_entry *e);
struct member_entry *swim_find (const struct swim *s, struct str addr);
bool swim_reachable (const struct member_entry *e);
uint32_t swim_send_limit (const struct swim *s);
uint64_t swim_digest (struct swim *s);
struct member_entry *swim_random_member (struct swim *s,
                                         const struct member_entry *except);
size_t swim_random_members (struct swim *s, const struct member_entry *except,
                            struct member_entry **out, size_t n);
void swim_announce_self (struct swim *s);
void swim_merge_member (struct swim *s, const struct member *received,
                        enum record_source source, uint64_t now);
void swim_set_state (struct swim *s, struct member_entry *e,
                     enum member_state state, uint64_t now);
void swim_expire_members (struct swim *s, uint64_t now);

/* swim_datagram.c */
size_t swim_notice_bytes (const struct notice *n);
void swim_datagram_start (struct swim *s, struct swim_datagram *d,
                          enum gossip_kind kind, uint64_t seq,
                          struct str target);
bool swim_datagram_add_member (struct swim_datagram *d,
                               const struct member_entry *e);
bool swim_datagram_add_notice (struct swim_datagram *d,
                               const struct notice_entry *r, uint64_t now);
void swim_datagram_add_updates (struct swim *s, struct swim_datagram *d);
void swim_datagram_send (struct swim *s, struct str to,
                         const struct swim_datagram *d);
void swim_datagram_add_suspicion (const struct swim *s,
                                  struct swim_datagram *d, struct str to);
void swim_send_with_updates (struct swim *s, struct str to,
                             enum gossip_kind kind, uint64_t seq,
                             uint64_t now);
void swim_push (struct swim *s, uint64_t now);
void swim_push_if_due (struct swim *s, uint64_t now);

/* swim_notices.c */
void swim_free_notice (struct swim *s, struct notice_entry *r);
void swim_merge_notice (struct swim *s, const struct notice *n, uint64_t now);
void swim_expire_notices (struct swim *s, uint64_t now);

/* swim_join.c */
void swim_join_step (struct swim *s, uint64_t now);
void swim_compare_digest (struct swim *s, const struct gossip *msg,
                          uint64_t now);
void swim_rejoin_step (struct swim *s, uint64_t now);
void swim_retry_seeds (struct swim *s, uint64_t now);
void swim_receive_join (struct swim *s, const struct gossip *msg,
                        uint64_t now);

/* swim_probe.c */
void swim_probe_step (struct swim *s, uint64_t now);
void swim_probe_suspects (struct swim *s, uint64_t now);
void swim_probe_indirectly (struct swim *s);
void swim_reset_timers (struct swim *s, uint64_t now);
void swim_receive_ack (struct swim *s, const struct gossip *msg);
void swim_receive_ping_req (struct swim *s, const struct gossip *msg);
