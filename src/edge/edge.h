#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "log.h"
#include "str.h"

/* The node exits this long before SIGKILL, whatever still runs. */
#define EDGE_EXIT_RESERVE_MS 300

/** struct edge_settings - validated settings of "galenagate edge". */
struct edge_settings
{
  struct str front_addr;    /* ip:port for clients */
  struct str ready_addr;    /* ip:port for readiness checks */
  struct str metrics_addr;  /* ip:port for /metrics; empty disables it */
  struct str peer_addr;     /* ip:port (UDP) for other nodes */
  struct str platform_addr; /* ip:port of the platform's object store */
  struct str node_name;
  struct str domain; /* failure domain */
  enum log_level log_level;
  double grace_s;        /* from SIGTERM to SIGKILL */
  double lease_ms;       /* as in holderlease_create() */
  double contact_ms;     /* a dead connection is replaced within this time */
  double drain_ms;       /* a draining server serves at least this long */
  double link_mbps;      /* bandwidth of this host's link */
  double retry_ratio;    /* retries to a service per first attempt */
  double retry_window_s; /* window in which retries are counted */
  double retry_slack;    /* retries that all nodes may make beyond the ratio */
  double load_window_s;  /* window in which loads are counted */
  uint32_t client_memory_mb; /* budget of what clients hold; 0 for default */
  uint32_t max_clients;      /* connections of clients; 0 for default */
  bool fenced; /* servers refuse orders with an outdated fencing token */
};

/** edge_settings() - settings of this process; valid while the kernel exists.
 */
const struct edge_settings *edge_settings (void);
