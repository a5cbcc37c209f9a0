#pragma once

/* Private to swim*.c. */

#include <uthash.h>

#include "swim.h"

/* Three probe periods: the suspected member is told in each of them, so that
   the loss of one or two datagrams does not make a live member dead. */
#define SUSPECT_MS 3000
#define REJOIN_MS 5000
#define ENTRIES_MAX 1024
#define SEEDS_MAX 64
#define RELAYS_MAX 32
#define REPAIR_MS 2000

/** struct entry - a known member. */
struct entry
{
  struct str addr;
  struct str http_addr;
  struct str region;
  struct str domain;
  uint64_t instance;
  uint64_t incarnation;
  uint64_t revision;
  enum member_state state;
  uint64_t suspect_until; /* 0: no suspicion is running */
  bool own_suspicion;
  uint64_t dead_since;
  uint32_t sends_left;
  UT_hash_handle hh;
};

/** struct notice_entry - a notice that is repeated until it expires, then kept
 * to recognise late copies. */
struct notice_entry
{
  char *hash_key; /* kind and key */
  struct notice notice;
  struct str key;
  struct str value;
  uint64_t expires;
  uint32_t sends_left;
  UT_hash_handle hh;
};

/** struct probe - the probe of this period. */
struct probe
{
  struct entry *target; /* NULL: none outstanding */
  uint64_t seq;
  uint64_t sent;
  bool indirect;
  bool acked;
};

/* An indirect probe that this node carries out for another one. */
struct relay
{
  uint64_t seq;
  struct str origin;
  uint64_t origin_seq;
};

struct swim
{
  const struct swim_actions *actions;
  void *ctx;
  uint64_t random;
  struct entry self;
  struct entry *by_addr;
  struct entry *list[ENTRIES_MAX]; /* in probe order */
  size_t count;
  size_t cursor;
  size_t refresh;
  struct notice_entry *notices;
  struct str seeds[SEEDS_MAX];
  size_t seed_count;
  size_t rejoin_cursor;
  struct probe probe;
  struct relay relays[RELAYS_MAX];
  size_t relay_next;
  uint64_t seq;
  uint64_t last_tick;
  uint64_t next_probe;
  uint64_t next_rejoin;
  uint64_t next_seed_retry;
  uint64_t seed_retry_ms;
  uint64_t next_push;
  uint64_t next_list;
  bool push_pending;
  bool joined; /* heard a member list */
  uint32_t join_tries;
  uint64_t next_join;
  uint32_t differences;
  size_t list_news; /* since the last repair */
  uint64_t repair_gap_ms;
  uint64_t next_repair;
  uint64_t digest;
  uint64_t digest_version;
  uint64_t version;
  uint64_t revisions;
};

/* A datagram that is being put together. */
struct draft
{
  struct gossip msg;
  struct member members[SWIM_MEMBERS_MAX];
  struct notice notices[SWIM_NOTICES_MAX];
  size_t bytes;
};

/* Where a member's record comes from. */
enum record_source
{
  SOURCE_ITSELF,
  SOURCE_GOSSIP,
  SOURCE_LIST,
};

/* swim_members.c */
size_t swim_random_below (struct swim *s, size_t n);
void swim_copy_record (struct entry *e, const struct member *m);
struct member swim_record (const struct entry *e);
void swim_free_entry (struct entry *e);
struct entry *swim_find (const struct swim *s, struct str addr);
bool swim_reachable (const struct entry *e);
uint32_t swim_send_limit (const struct swim *s);
uint64_t swim_digest (struct swim *s);
struct entry *swim_random_member (struct swim *s, const struct entry *except);
size_t swim_random_members (struct swim *s, const struct entry *except,
                            struct entry **out, size_t n);
void swim_announce_self (struct swim *s);
void swim_merge_member (struct swim *s, const struct member *heard,
                        enum record_source source, uint64_t now);
void swim_set_state (struct swim *s, struct entry *e, enum member_state state,
                     uint64_t now);
void swim_expire_members (struct swim *s, uint64_t now);

/* swim_datagram.c */
size_t swim_notice_bytes (const struct notice *n);
void draft_start (struct swim *s, struct draft *d, enum gossip_kind kind,
                  uint64_t seq, struct str target);
bool draft_member (struct draft *d, const struct entry *e);
bool draft_notice (struct draft *d, const struct notice_entry *r,
                   uint64_t now);
void draft_changes (struct swim *s, struct draft *d);
void draft_send (struct swim *s, struct str to, const struct draft *d);
void draft_suspicion (const struct swim *s, struct draft *d, struct str to);
void swim_send_probe (struct swim *s, struct str to, enum gossip_kind kind,
                      uint64_t seq, uint64_t now);
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
void swim_contact_seeds (struct swim *s, uint64_t now);
void swim_receive_join (struct swim *s, const struct gossip *msg,
                        uint64_t now);

/* swim_probe.c */
void swim_probe_step (struct swim *s, uint64_t now);
void swim_probe_suspects (struct swim *s, uint64_t now);
void swim_probe_indirectly (struct swim *s);
void swim_resume (struct swim *s, uint64_t now);
void swim_receive_ack (struct swim *s, const struct gossip *msg);
void swim_receive_ping_req (struct swim *s, const struct gossip *msg);
