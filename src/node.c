#include <stddef.h>
#include <stdio.h>

#include "cli.h"
#include "kernel.h"
#include "settings.h"

#define FIELD(f) .offset = offsetof (struct settings, f)

static const struct setting node_settings[] = {
  { "bus-addr", "IP:PORT", "listen address for other nodes (TCP and UDP)",
    SETTING_ADDRESS, FIELD (bus_addr), NULL, 0, 0 },
  { "http-addr", "IP:PORT", "listen address for clients", SETTING_ADDRESS,
    FIELD (http_addr), NULL, 0, 0 },
  { "admin-addr", "IP:PORT",
    "listen address for /metrics and /admin (empty: use --http-addr)",
    SETTING_ADDRESS, FIELD (admin_addr), "", 0, 0 },
  { "region", "NAME", "region of this host", SETTING_STRING, FIELD (region),
    NULL, 0, 0 },
  { "domain", "NAME", "failure domain of this host", SETTING_STRING,
    FIELD (domain), NULL, 0, 0 },
  { "store-url", "URL", "the platform's object store", SETTING_URL,
    FIELD (store_url), NULL, 0, 0 },
  { "seeds", "LIST", "comma-separated bus addresses of nodes to join through",
    SETTING_STRING, FIELD (seeds), "", 0, 0 },
  { "log-level", "LEVEL", "debug, info, warn or error", SETTING_LOG_LEVEL,
    FIELD (log_level), "info", 0, 0 },
  { "lease-ttl-ms", "MS", "lifetime of a lease", SETTING_U32,
    FIELD (lease_ttl_ms), "4000", 500, 60000 },
  { "lease-margin-ms", "MS",
    "a lease holder stops this long before its lease expires", SETTING_U32,
    FIELD (lease_margin_ms), "500", 50, 30000 },
  { "pause-bound-ms", "MS", "assumed upper bound on pauses of a process",
    SETTING_U32, FIELD (pause_bound_ms), "60000", 1000, 3600000 },
  { "drain-delay-ms", "MS", "keep listening for this long after SIGTERM",
    SETTING_U32, FIELD (drain_delay_ms), "5000", 0, 60000 },
  { "drain-limit-ms", "MS", "time limit of a graceful shutdown", SETTING_U32,
    FIELD (drain_limit_ms), "30000", 100, 3600000 },
  { "claim-partitions", "N",
    "number of partitions of idempotency keys; must be the same on all "
    "nodes",
    SETTING_U32, FIELD (claim_partitions), "4", 1, 64 },
  { "claim-interval-ms", "MS",
    "minimum time between two writes of a "
    "partition",
    SETTING_U32, FIELD (claim_interval_ms), "125", 1, 5000 },
  { "claim-lifetime-s", "S", "retention time of an idempotency key",
    SETTING_U32, FIELD (claim_lifetime_s), "86400", 60, 2592000 },
  { "body-limit-bytes", "N", "maximum size of a request body", SETTING_U32,
    FIELD (body_limit_bytes), "1048576", 1024, 67108864 },
};
#define NODE_SETTING_COUNT (sizeof node_settings / sizeof *node_settings)

static int
check_lease_margin (const struct settings *s)
{
  if (s->lease_margin_ms * 2 <= s->lease_ttl_ms)
    return 0;
  fprintf (stderr,
           "galenagate: --lease-margin-ms: '%u' is not valid; allowed: at "
           "most half of --lease-ttl-ms (%u)\n",
           s->lease_margin_ms, s->lease_ttl_ms);
  return -1;
}

static int
run (int argc, char **argv)
{
  struct settings s = { 0 };
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Run a node.", NULL, node_settings,
                      NODE_SETTING_COUNT, &s, NULL)
          != 0
      || check_lease_margin (&s) != 0)
    goto out;
  rc = EXIT_FAILED;
  if (log_start (s.log_level, s.bus_addr.data) != 0)
    goto out;
  struct kernel *k = kernel_create (PROFILE_NODE, &s, s.drain_limit_ms);
  rc = kernel_run (k) == 0 ? EXIT_DONE : EXIT_FAILED;
  kernel_destroy (k);
  log_stop ();

out:
  settings_free (node_settings, NODE_SETTING_COUNT, &s);
  return rc;
}

static const struct cli_command command
    = { .name = "node", .summary = "run a node", .run = run };
CLI_COMMAND (command)
