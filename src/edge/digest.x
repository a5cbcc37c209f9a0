/*
 * Datagrams between the nodes of one installation. Each node sends its demand
 * to the placement holder, and the holder sends the state of the servers to all
 * nodes.
 */

/* What UDP over IPv4 carries in a datagram. Names have no other bound. */
const DIGEST_BYTES_MAX = 65507;

typedef opaque label<DIGEST_BYTES_MAX>;

/* Bounds of the lists. A datagram that exceeds one is rejected as malformed,
   because the memory for a list is allocated before its elements are decoded.
 */
const DIGEST_DEMAND_MAX = 512;
const DIGEST_LOADS_MAX = 2048;
const DIGEST_CRASHES_MAX = 64;
const DIGEST_HELD_MAX = 256;
const DIGEST_ADAPTERS_MAX = 256;
const DIGEST_NODES_MAX = 64;
const DIGEST_RUNNING_MAX = 256;
const DIGEST_SERVERS_MAX = 64;
const DIGEST_QUOTA_MAX = 64;

/* Demand of one node for a model or for one of its adapters. */
struct demand_digest
{
  unsigned hyper model; /* hash of the names of its service and itself */
  label adapter; /* empty for the model itself */
  unsigned int waiting;
  unsigned int running;
  unsigned int arrivals; /* since the previous digest */
  unsigned int rate_milli; /* calls per 1,000 s */
  unsigned int idle_ms;    /* time since the last call */
};

struct load_digest
{
  unsigned hyper server; /* hash of the server's id */
  unsigned int running;  /* calls of the node that run there */
  bool unreached;        /* accepts no connection from the node */
};

/* A server that crashed while it ran a request or a prompt with a part, or a
   completion. */
struct crash_digest
{
  unsigned int kind;          /* enum quarantine_kind of the subject; nodes of an earlier version have a bool here, true for parts */
  unsigned hyper fingerprint; /* of the subject */
  unsigned hyper server;      /* hash of its id and start time; 0: completed */
  unsigned hyper next_part;   /* fingerprint of the shared part behind it; 0: none */
  unsigned int age_ms;        /* time since then */
};

struct entry_digest
{
  label node;
  unsigned hyper instance; /* start time of the node's process */
  unsigned hyper sequence; /* increases with each digest of the process */
  bool store_reachable;
  bool missed; /* digests of the holder were lost: send all servers again */
  bool continues; /* adds demand to the digest with the previous number */
  demand_digest demand<DIGEST_DEMAND_MAX>;
  load_digest loads<DIGEST_LOADS_MAX>;
  crash_digest crashes<DIGEST_CRASHES_MAX>;
};

enum held_state_digest
{
  HELD_DIGEST_READY = 0,
  HELD_DIGEST_LOADING = 1,
  HELD_DIGEST_UNLOADING = 2
};

struct held_digest
{
  label model;
  held_state_digest state;
  unsigned int ready_in_ms; /* in state HELD_DIGEST_LOADING */
  label adapters<DIGEST_ADAPTERS_MAX>;
};

struct server_digest
{
  unsigned hyper server;
  unsigned hyper order_count;
  unsigned int running; /* calls of all nodes that run there */
  bool placed; /* the holder has read what the server holds */
  bool omitted; /* the list is too large for a datagram: use the server's entry */
  held_digest held<DIGEST_HELD_MAX>;
};

/* Number of calls of all nodes that run at a server. */
struct running_digest
{
  unsigned hyper server;
  unsigned int running;
};

struct holder_digest
{
  label node;
  unsigned hyper fence;
  unsigned hyper sequence; /* increases by one with each digest to all nodes; 0 in others */
  bool whole; /* starts a transfer of all servers, which makes up for lost digests */
  bool active; /* the holder may send orders */
  unsigned hyper store_era; /* of the store; revisions of two eras are not comparable */
  unsigned hyper lease_revision; /* of the lease object */
  bool store_current; /* the holder reads all changes of the store without delay */
  unsigned hyper config_revision;  /* newest change of the configuration */
  unsigned hyper servers_revision; /* newest change of the servers' entries */
  unsigned int entries; /* number of nodes that send their demand */
  label nodes<DIGEST_NODES_MAX>; /* addresses of some of them; later digests carry the others */
  crash_digest crashes<DIGEST_CRASHES_MAX>; /* of subjects with several crashes */
  running_digest running<DIGEST_RUNNING_MAX>; /* servers whose number of calls changed */
  server_digest servers<DIGEST_SERVERS_MAX>; /* servers that changed or are due for a refresh */
};

/* Units of a tenant's quota that a node wants. */
struct quota_draw_item
{
  unsigned hyper tenant; /* hash of its name */
  unsigned hyper number; /* increases by one with each draw of the process for the tenant */
  unsigned int wanted_now;   /* units that calls wait for */
  unsigned int step;         /* units that the first of them waits for */
  unsigned int wanted_ahead; /* units for calls to come */
};

/* From a node to the holder. A draw is repeated with the same number until it
   is answered. */
struct quota_draw_digest
{
  label node;
  unsigned hyper instance; /* start time of the node's process */
  quota_draw_item draws<DIGEST_QUOTA_MAX>;
};

/* Units that the holder gives for a draw. */
struct quota_credit_item
{
  unsigned hyper tenant;
  unsigned hyper number; /* of the draw */
  unsigned int given;
  unsigned int retry_after_ms; /* until the units that are missing are available; 0: none is */
};

/* The holder's answer to a draw digest. */
struct quota_credit_digest
{
  unsigned hyper fence;
  quota_credit_item credits<DIGEST_QUOTA_MAX>;
};

/* A changed digest gets a new number; nodes that do not know it ignore the
   datagram. */
enum datagram_kind
{
  DATAGRAM_ENTRY = 8,
  DATAGRAM_QUOTA_DRAW = 10,
  DATAGRAM_QUOTA_CREDIT = 11,
  DATAGRAM_HOLDER = 12
};

union datagram switch (datagram_kind kind)
{
case DATAGRAM_ENTRY:
  entry_digest entry;
case DATAGRAM_HOLDER:
  holder_digest holder;
case DATAGRAM_QUOTA_DRAW:
  quota_draw_digest quota_draw;
case DATAGRAM_QUOTA_CREDIT:
  quota_credit_digest quota_credit;
};
