#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "log.h"
#include "str.h"

/** struct edge_settings - checked settings of "galenagate edge". */
struct edge_settings
{
  struct str front_addr;    /* ip:port for callers */
  struct str ready_addr;    /* ip:port for readiness checks */
  struct str metrics_addr;  /* ip:port for /metrics; may be empty */
  struct str peer_addr;     /* ip:port (UDP) for other nodes */
  struct str platform_addr; /* ip:port of the platform's object store */
  struct str node_name;
  struct str domain; /* failure domain */
  enum log_level log_level;
  double grace_s; /* from SIGTERM to SIGKILL */
  double lease_ms;
  double contact_ms;  /* a lost connection is replaced within this time */
  double drain_ms;    /* a leaving server serves at least that long */
  double link_mbps;   /* of this host */
  double retry_ratio; /* repeated calls to a service for each first one */
  double retry_window_s;
  double retry_slack; /* repeated calls that are allowed besides */
  double load_window_s;
  bool fenced; /* servers refuse orders with an old fencing token */
};

/** edge_settings() - of this process; valid while the kernel exists. */
const struct edge_settings *edge_settings (void);
