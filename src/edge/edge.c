#include "edge/edge.h"

#include <malloc.h>
#include <signal.h>
#include <stddef.h>

#include "cli.h"
#include "kernel.h"
#include "settings.h"

#define LOG_MODULE "edge"
/* Larger buffers go back to the system when they are freed. By default glibc
   raises this limit, and the buffers of clients then stay in the heap. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)
#define FIELD(f) .offset = offsetof (struct edge_settings, f)

static const struct setting edge_setting_list[] = {
  { "front-addr", "IP:PORT", "address for callers", SETTING_ADDRESS,
    FIELD (front_addr), NULL, 0, 0 },
  { "ready-addr", "IP:PORT", "address for readiness checks", SETTING_ADDRESS,
    FIELD (ready_addr), NULL, 0, 0 },
  { "metrics-addr", "IP:PORT", "address for /metrics", SETTING_ADDRESS,
    FIELD (metrics_addr), "", 0, 0 },
  { "peer-addr", "IP:PORT", "address for other nodes (UDP)", SETTING_ADDRESS,
    FIELD (peer_addr), NULL, 0, 0 },
  { "platform-addr", "IP:PORT", "the platform's object store", SETTING_ADDRESS,
    FIELD (platform_addr), NULL, 0, 0 },
  { "node-name", "NAME", "name of this host", SETTING_STRING,
    FIELD (node_name), NULL, 0, 0 },
  { "domain", "NAME", "failure domain of this host", SETTING_STRING,
    FIELD (domain), NULL, 0, 0 },
  { "log-level", "LEVEL", "debug, info, warn or error", SETTING_LOG_LEVEL,
    FIELD (log_level), "info", 0, 0 },
  { "grace-s", "S", "time from SIGTERM to SIGKILL", SETTING_NUMBER,
    FIELD (grace_s), "8", 2, 3600 },
  { "lease-ms", "MS", "time within which holders may not take turns",
    SETTING_NUMBER, FIELD (lease_ms), "3000", 500, 60000 },
  { "contact-ms", "MS", "time within which a silent connection is replaced",
    SETTING_NUMBER, FIELD (contact_ms), "3000", 500, 60000 },
  { "drain-ms", "MS", "time for which a leaving server still serves",
    SETTING_NUMBER, FIELD (drain_ms), "2000", 200, 60000 },
  { "link-mbps", "MBPS", "bandwidth of this host's link", SETTING_NUMBER,
    FIELD (link_mbps), "1000", 1, 400000 },
  { "retry-ratio", "X", "repeated calls to a service for each first one",
    SETTING_NUMBER, FIELD (retry_ratio), "0.1", 0, 1 },
  { "retry-window-s", "S", "time over which repeated calls are counted",
    SETTING_NUMBER, FIELD (retry_window_s), "10", 1, 60 },
  { "retry-slack", "N", "repeated calls that all nodes may make besides",
    SETTING_NUMBER, FIELD (retry_slack), "10", 0, 100000 },
  { "load-window-s", "S", "time over which loads are counted", SETTING_NUMBER,
    FIELD (load_window_s), "5", 1, 60 },
  { "client-memory-mb", "MB",
    "memory for requests and responses of clients; 0: a quarter of the "
    "machine's memory, at least 32",
    SETTING_U32, FIELD (client_memory_mb), "0", 0, 1048576 },
  { "max-clients", "N",
    "connections of clients; 0: half of the descriptor limit", SETTING_U32,
    FIELD (max_clients), "0", 0, 1048576 },
  { "fenced", "BOOL", "servers refuse orders with an old fencing token",
    SETTING_BOOL, FIELD (fenced), "false", 0, 0 },
};
#define SETTING_COUNT (sizeof edge_setting_list / sizeof *edge_setting_list)

static struct edge_settings current;

const struct edge_settings *
edge_settings (void)
{
  return &current;
}

static void
on_reload (uv_signal_t *handle, int signum)
{
  (void)handle;
  (void)signum;
  /* Settings come from flags and environment variables, which do not change
     while the process runs. */
  LOG_INFO ("reload", "changed=none");
}

static int
run_kernel (void)
{
  const double drain_limit_ms = current.grace_s * 1000 - EDGE_EXIT_RESERVE_MS;
  struct kernel *k
      = kernel_create (PROFILE_EDGE, NULL, (uint32_t)drain_limit_ms);
  uv_signal_t reload;
  int rc;

  uv_signal_init (kernel_loop (k), &reload);
  uv_signal_start (&reload, on_reload, SIGHUP);
  LOG_INFO ("start", "front=" STR_FMT " domain=" STR_FMT " platform=" STR_FMT,
            STR_ARG (current.front_addr), STR_ARG (current.domain),
            STR_ARG (current.platform_addr));
  rc = kernel_run (k);
  LOG_INFO ("stop", "result=%d", rc);
  uv_close ((uv_handle_t *)&reload, NULL);
  uv_run (kernel_loop (k), UV_RUN_NOWAIT);
  kernel_destroy (k);
  return rc == 0 ? EXIT_DONE : EXIT_FAILED;
}

static int
run (int argc, char **argv)
{
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Run a node on the users' platform.", NULL,
                      edge_setting_list, SETTING_COUNT, &current, NULL)
      != 0)
    goto out;
  rc = EXIT_FAILED;
  if (log_start_stdout (current.log_level, current.node_name.data) != 0)
    goto out;
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
  rc = run_kernel ();
  log_stop ();

out:
  settings_free (edge_setting_list, SETTING_COUNT, &current);
  return rc;
}

static const struct cli_command command = {
  .name = "edge", .summary = "run a node on the users' platform", .run = run
};
CLI_COMMAND (command)
