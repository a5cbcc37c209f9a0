#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "kernel.h"
#include "str.h"

/** struct host - a target host on the platform's list. */
struct host
{
  struct str addr; /* ip:port of the engine or plain service */
  struct str service;
  struct str region;
  struct str domain;
  bool leaving; /* as reported by the list, a notice or the target */
};

/** struct host_view - immutable snapshot of the hosts, sorted by address. */
struct host_view
{
  uint64_t version;
  size_t count;
  const struct host *hosts;
};

struct hosts;

struct hosts *hosts_get (struct kernel *kernel);
const struct host *hosts_find (const struct host_view *view, struct str addr);
/** hosts_mark_leaving() - mark a target that reported that it is leaving, and
 * send a notice to all nodes. */
void hosts_mark_leaving (struct hosts *hosts, struct str addr);
