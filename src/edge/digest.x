/*
 * Datagrams between the nodes of one installation. Entries tell the placement
 * holder their demand; the holder tells all what the servers hold.
 */

typedef opaque label<256>;

/* Bounds of the lists. A datagram that claims more is unreadable: the memory
   for a list is taken before its elements are read. */
const DIGEST_DEMAND_MAX = 2048;
const DIGEST_LOADS_MAX = 2048;
const DIGEST_CRASHES_MAX = 64;
const DIGEST_HELD_MAX = 256;
const DIGEST_ADAPTERS_MAX = 256;
const DIGEST_NODES_MAX = 64;
const DIGEST_RUNNING_MAX = 256;
const DIGEST_SERVERS_MAX = 64;

/* Demand of one node for a model, or for an adapter of it. */
struct demand_digest
{
  label service;
  label model;
  label adapter; /* empty for the model itself */
  unsigned int waiting;
  unsigned int running;
  unsigned int arrivals; /* since the digest before */
  unsigned int rate_milli; /* calls in 1,000 s */
  unsigned int idle_ms;    /* since the last call */
};

struct load_digest
{
  unsigned hyper server; /* hash of the server's id */
  unsigned int running;  /* calls of the node */
  bool unreached;        /* takes no connection from the node */
};

/* A server that died while it ran a request. */
struct crash_digest
{
  unsigned hyper fingerprint; /* of the request */
  unsigned hyper server;      /* hash of its id and start */
};

struct entry_digest
{
  label node;
  unsigned hyper instance; /* start of the node's process */
  unsigned hyper sequence; /* rises with each digest of the process */
  bool store_reachable;
  bool missed; /* digests of the holder were lost: tell all servers again */
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
  unsigned int ready_in_ms; /* while the model is being loaded */
  label adapters<DIGEST_ADAPTERS_MAX>;
};

struct server_digest
{
  unsigned hyper server;
  unsigned hyper order_count;
  unsigned int running; /* calls of all nodes */
  bool placed; /* the holder knows what the server holds */
  held_digest held<DIGEST_HELD_MAX>;
};

/* Calls of all nodes at a server. */
struct running_digest
{
  unsigned hyper server;
  unsigned int running;
};

struct holder_digest
{
  label node;
  unsigned hyper fence;
  unsigned hyper sequence; /* rises by one; 0 when not sent to all nodes */
  bool whole; /* begin of all servers, for a node that missed some */
  bool active; /* the holder gives orders */
  unsigned hyper lease_revision; /* of the lease's object */
  bool store_current; /* the holder reads all changes of the store as they come */
  unsigned hyper config_revision;  /* newest change of the configuration */
  unsigned hyper servers_revision; /* newest change of the servers' entries */
  unsigned int entries; /* nodes that tell their demand */
  label nodes<DIGEST_NODES_MAX>; /* addresses of some of them, others the next time */
  crash_digest crashes<DIGEST_CRASHES_MAX>; /* of requests with several */
  running_digest running<DIGEST_RUNNING_MAX>; /* servers whose calls changed */
  server_digest servers<DIGEST_SERVERS_MAX>; /* servers that hold other models than before */
};

/* A change of a digest takes new numbers; nodes that do not know them ignore
   the datagram. */
enum datagram_kind
{
  DATAGRAM_ENTRY = 3,
  DATAGRAM_HOLDER = 5
};

union datagram switch (datagram_kind kind)
{
case DATAGRAM_ENTRY:
  entry_digest entry;
case DATAGRAM_HOLDER:
  holder_digest holder;
};
