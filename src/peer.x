/* Messages between galenagate nodes; rpcgen generates peer.h and peer_xdr.c
   from them. */

typedef opaque text<4096>;
typedef opaque blob<1048576>;

/* A node: address of its bus ("ip:port"), and start time of the process in ms
   as instance. */
struct node_id {
  text addr;
  unsigned hyper instance;
};

/* ---- gossip (UDP) ---- */

enum member_state {
  MEMBER_ALIVE = 0,
  MEMBER_SUSPECT = 1,
  MEMBER_LEAVING = 2,
  MEMBER_DEAD = 3
};

struct member {
  node_id id;
  unsigned hyper incarnation;
  member_state state;
  text http_addr;
  text region;
  text domain;
  unsigned hyper revision;
};

enum notice_kind {
  NOTICE_REVISION = 1,
  NOTICE_LEAVING_TARGET = 2,
  NOTICE_CRASH_SUSPECT = 3,
  NOTICE_QUARANTINE = 4,
  NOTICE_HOSTS = 5 /* number is the version of the platform's host list */
};

/* A short message that gossip spreads to all nodes. A notice replaces one of
   the same kind and key that has a lower number. */
struct notice {
  notice_kind kind;
  text key;
  text value;
  unsigned hyper number;
  unsigned int ttl_ms;
};

enum gossip_kind {
  GOSSIP_PING = 1,
  GOSSIP_ACK = 2,
  GOSSIP_PING_REQ = 3,
  GOSSIP_PUSH = 4,
  GOSSIP_JOIN = 5
};

struct gossip {
  unsigned int format;
  gossip_kind kind;
  unsigned hyper seq;
  member from;
  unsigned hyper digest; /* hash of the sender's live members */
  text target;
  member members<16>;
  notice notices<8>;
};

/* ---- scheduler ---- */

struct grant_args {
  text request_id;
  text customer;
  text class_name;
  text service;
  text model;
  text model_version;
  text adapter;
  int priority;
  unsigned int deadline_ms;
  unsigned hyper fingerprint;
  unsigned hyper prefix_hash;
  unsigned int tokens_estimate;
  unsigned int attempt;
  bool crash_seen;
  text excluded<8>;
  node_id entry;
};

enum grant_code {
  GRANT_OK = 0,
  GRANT_DEADLINE = 1,
  GRANT_QUEUE_FULL = 2,
  GRANT_NO_CAPACITY = 3,
  GRANT_QUARANTINED = 4,
  GRANT_RETRY_BUDGET = 5,
  GRANT_UNAVAILABLE = 6,
  GRANT_DRAINING = 7
};

struct grant_res {
  grant_code code;
  text target;
  text attempt_id;
  unsigned hyper fence;
  unsigned int expires_ms;
  unsigned int retry_after_ms;
  text detail;
};

enum attempt_outcome {
  ATTEMPT_DONE = 0,
  ATTEMPT_NOT_RUN = 1,
  ATTEMPT_NOT_LOADED = 2,
  ATTEMPT_LEAVING = 3,
  ATTEMPT_TIMEOUT = 4,
  ATTEMPT_BROKEN = 5,
  ATTEMPT_CRASHED = 6,
  ATTEMPT_CANCELLED = 7,
  ATTEMPT_UNUSED = 8
};

struct release_args {
  text attempt_id;
  text service;
  text model;
  text model_version;
  text adapter;
  text target;
  attempt_outcome outcome;
  unsigned hyper fingerprint;
  unsigned int first_byte_ms;
  unsigned int total_ms;
  unsigned int tokens;
};

/* ---- placement ---- */

struct replica {
  text target;
  text domain;
  unsigned hyper fence;
  unsigned hyper target_instance;
  unsigned int slots;
  bool leaving;
};

struct wake_args {
  text service;
  text model;
  text model_version;
  text adapter;
  int priority;
  unsigned int deadline_ms;
  unsigned int replicas_wanted;
};

enum wake_code {
  WAKE_LOADED = 0,
  WAKE_NO_MEMORY = 1,
  WAKE_LIMIT = 2,
  WAKE_TOO_LATE = 3,
  WAKE_FAILED = 4,
  WAKE_UNKNOWN_MODEL = 5
};

struct wake_res {
  wake_code code;
  replica replicas<64>;
  unsigned int eta_ms;
  text detail;
};

struct usage_item {
  text model;
  text model_version;
  text adapter;
  unsigned int in_flight;
  unsigned int queued;
  unsigned int idle_ms;
  unsigned int requests;
};

struct usage_args {
  text service;
  usage_item items<512>;
};

struct usage_item_res {
  text model;
  text model_version;
  replica replicas<64>;
};

struct usage_res {
  usage_item_res items<512>;
};

enum load_kind { LOAD_MODEL = 0, LOAD_ADAPTER = 1 };

struct load_slot_args {
  text service;
  load_kind kind;
  unsigned int count;
  unsigned int hold_ms;
};

struct load_slot_res {
  unsigned int granted;
  unsigned int retry_after_ms;
};

/* Requests that the former lease holder of a service cancel its unsent orders
   for fences up to and including this one. voided lists the orders that were
   never sent. */
struct fence_off_args {
  text service;
  unsigned hyper fence;
};

struct fence_off_res {
  text voided<512>;
};

/* ---- claims ---- */

struct claim_args {
  text customer;
  text key;
  text service;
  text request_id;
  unsigned hyper fingerprint;
  unsigned int deadline_ms;
  node_id entry;
};

enum claim_code {
  CLAIM_GRANTED = 0,
  CLAIM_DONE = 1,
  CLAIM_RUNNING = 2,
  CLAIM_UNKNOWN = 3,
  CLAIM_MISMATCH = 4,
  CLAIM_STORE_DOWN = 5,
  CLAIM_FULL = 6,
  CLAIM_NONE = 7
};

struct claim_res {
  claim_code code;
  text request_id;
  text service;
  unsigned int status;
  text content_type;
  blob body;
  unsigned hyper claimed_at_ms;
  unsigned hyper settled_at_ms;
};

enum settle_state { SETTLE_DONE = 0, SETTLE_VOID = 1, SETTLE_UNKNOWN = 2 };

struct settle_args {
  text customer;
  text key;
  text request_id;
  settle_state state;
  unsigned int status;
  text content_type;
  blob body;
};

struct settle_res {
  bool stored;
};

struct lookup_args {
  text customer;
  text key;
};

/* Values of the objects claims/P and claims/P/seg/N. Times are wall-clock ms.
   A node does not take over a partition whose format it does not know. */

enum claim_state {
  CLAIM_STATE_CLAIMED = 0,
  CLAIM_STATE_DONE = 1,
  CLAIM_STATE_VOID = 2,
  CLAIM_STATE_UNKNOWN = 3
};

struct claim_record {
  text customer;
  text key;
  text service;
  text request_id;
  unsigned hyper fingerprint;
  node_id entry;
  claim_state state;
  unsigned hyper claimed_at_ms;
  unsigned hyper deadline_at_ms;
  unsigned hyper settled_at_ms;
  unsigned int status;
  text content_type;
  blob body;
};

/* number is the N of claims/P/seg/N; its upper 32 bits are the writer's fence.
 */
struct claim_segment {
  unsigned hyper number;
  unsigned hyper last_claim_ms;
};

struct claim_object {
  unsigned int format;
  unsigned hyper fence;
  unsigned hyper sequence;
  node_id writer;
  claim_segment segments<8192>;
  claim_record records<16384>;
};

/* ---- limits ---- */

/* Requests are identified by a hash of customer and request id. One call may
   request admission of a request (take, unless 0), report finished requests,
   renew running ones (held), and have a former owner of the quota hand over
   its state to the node whose bus address handover holds. */
struct quota_args {
  text customer;
  unsigned hyper take;
  unsigned hyper finished<64>;
  unsigned hyper held<512>;
  text handover;
};

struct quota_hold {
  unsigned hyper id;
  unsigned int left_ms;
};

/* known, tokens, settling_ms and holds are the reply to a handover; known is
   false if the former owner has no usable state. settling_ms is also set in a
   refusal because the owner changed. tokens are thousandths of a request. */
struct quota_res {
  unsigned int granted;
  unsigned int retry_after_ms;
  text detail;
  bool known;
  unsigned hyper tokens;
  unsigned int settling_ms;
  quota_hold holds<8192>;
};

/* ---- configuration ---- */

/* Requests the root if its revision is higher than have_revision, or chunks by
   hash. The reply to a call with wanted hashes carries no root, and may omit
   chunks to limit its size. */
struct config_fetch_args {
  unsigned hyper have_revision;
  text wanted<64>;
};

struct config_chunk {
  text hash;
  blob body;
};

struct config_fetch_res {
  unsigned hyper revision;
  blob root;
  config_chunk chunks<64>;
};

/* ---- hosts ---- */

struct hosts_args {
  unsigned hyper have_version;
};

/* json is empty if the versions are equal; see hostlist_apply(). */
struct hosts_res {
  unsigned hyper list_version;
  blob json;
};

/* ---- status ---- */

struct status_res {
  blob json;
};

program GALENAGATE {
  version GALENAGATE_V1 {
    void PEER_NULL (void) = 0;
    grant_res PEER_GRANT (grant_args) = 1;
    void PEER_RELEASE (release_args) = 2;
    wake_res PEER_WAKE (wake_args) = 3;
    usage_res PEER_USAGE (usage_args) = 4;
    load_slot_res PEER_LOAD_SLOT (load_slot_args) = 5;
    fence_off_res PEER_FENCE_OFF (fence_off_args) = 6;
    claim_res PEER_CLAIM (claim_args) = 7;
    settle_res PEER_SETTLE (settle_args) = 8;
    claim_res PEER_LOOKUP (lookup_args) = 9;
    quota_res PEER_QUOTA (quota_args) = 10;
    config_fetch_res PEER_CONFIG_FETCH (config_fetch_args) = 11;
    status_res PEER_STATUS (void) = 12;
    hosts_res PEER_HOSTS (hosts_args) = 13;
  } = 1;
} = 0x2f0a17e0;
