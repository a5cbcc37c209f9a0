#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "kernel.h"
#include "str.h"

/** struct host - a target host of the platform's list. */
struct host
{
  struct str addr; /* ip:port of the engine or plain service */
  struct str service;
  struct str region;
  struct str domain;
  bool leaving; /* union of the list, notices and the target's own answers */
};

/** struct host_view - immutable snapshot, sorted by address. */
struct host_view
{
  uint64_t version;
  size_t count;
  const struct host *hosts;
};

struct hosts;

struct hosts *hosts_get (struct kernel *kernel);
const struct host *hosts_find (const struct host_view *view, struct str addr);
/** hosts_mark_leaving() - a target said that it is leaving; tells all nodes.
 */
void hosts_mark_leaving (struct hosts *hosts, struct str addr);
