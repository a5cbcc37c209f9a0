#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct kernel;
struct plugin;
struct settings;

/* Sub-commands that run a plug-in; a bit set. */
enum kernel_profile
{
  PROFILE_NODE = 1, /* galenagate node: has own lists, store and engines */
  PROFILE_EDGE = 2, /* galenagate edge: runs on the users' platform */
};

/* Start order; plug-ins drain and stop in the reverse order. */
enum plugin_rank
{
  RANK_METRICS,
  RANK_HTTP,
  RANK_BUS,
  RANK_STORE,
  RANK_MEMBERSHIP,
  RANK_LEASE,
  RANK_CONFIG,
  RANK_HOSTS,
  RANK_PLACEMENT,
  RANK_CLAIMS,
  RANK_LIMITER,
  RANK_SCHEDULER,
  RANK_ATTEMPT,
  RANK_PLATFORM,
  RANK_SITE,
  RANK_PLACER,
  RANK_QUOTA,
  RANK_ENTRY,
};

/**
 * struct plugin_ops - operations of a plug-in.
 * @name: name for kernel_find() and log lines.
 * @profiles: enum kernel_profile bits; 0 means PROFILE_NODE.
 * @create: allocate the state; plug-ins of lower rank already exist.
 * @start: open sockets, start timers; may be NULL. Returns 0 or a negative
 *   errno value, which stops the node.
 * @drain: finish or hand over work; call kernel_drained() exactly once, before
 *   returning or later. May be NULL.
 * @stop: close all libuv handles; their close callbacks still run.
 * @destroy: free the state; the event loop no longer runs.
 */
struct plugin_ops
{
  const char *name;
  enum plugin_rank rank;
  unsigned profiles;
  struct plugin *(*create) (struct kernel *kernel);
  int (*start) (struct plugin *plugin);
  void (*drain) (struct plugin *plugin);
  void (*stop) (struct plugin *plugin);
  void (*destroy) (struct plugin *plugin);
};

/** struct plugin - first member of each plug-in's state. */
struct plugin
{
  const struct plugin_ops *ops;
};

/* Topics on which plug-ins publish snapshots. The kernel owns the latest
   snapshot of each topic. */
enum topic
{
  TOPIC_MEMBERS, /* struct member_view (member.h), published by membership */
  TOPIC_LISTS,   /* struct lists (lists.h), published by config */
  TOPIC_HOSTS,   /* struct host_view (hosts.h), published by hosts */
  TOPIC_NOTICE,  /* struct notice (peer.h), published by membership */
  TOPIC_LEASES,  /* NULL; this node acquired or lost a lease */
  TOPIC_DRAIN,   /* NULL; graceful shutdown has started */
  TOPIC_ROUTING, /* struct routing (edge/topology.h), published by site */
  TOPIC_POOL,    /* NULL; the servers or their loaded models changed */
  TOPIC_DEMAND,  /* NULL; a call started to wait for a model or adapter */
  TOPIC_COUNT,
};

typedef void (*topic_fn) (void *ctx, const void *snapshot);

/* Registers a plug-in before main() runs. */
void kernel_register (const struct plugin_ops *ops);
#define KERNEL_PLUGIN(ops)                                                    \
  __attribute__ ((constructor)) static void register_plugin (void)            \
  {                                                                           \
    kernel_register (&(ops));                                                 \
  }

/**
 * kernel_create() - create the kernel and the plug-ins of one profile.
 * @settings: settings of the node profile, else NULL; borrowed.
 * @drain_limit_ms: time limit of a graceful shutdown.
 */
struct kernel *kernel_create (enum kernel_profile profile,
                              const struct settings *settings,
                              uint32_t drain_limit_ms);
/** kernel_run() - start the plug-ins and run until they are stopped. Returns
 * 0, or the negative errno value of a plug-in that did not start. */
int kernel_run (struct kernel *kernel);
void kernel_destroy (struct kernel *kernel);

uv_loop_t *kernel_loop (struct kernel *kernel);
const struct settings *kernel_settings (const struct kernel *kernel);
/** kernel_instance() - wall-clock time in ms at which this process started. */
uint64_t kernel_instance (const struct kernel *kernel);
struct plugin *kernel_find (struct kernel *kernel, const char *name);
bool kernel_draining (const struct kernel *kernel);
/** kernel_drained() - report that a plug-in has finished draining. */
void kernel_drained (struct kernel *kernel, struct plugin *plugin);

void kernel_subscribe (struct kernel *kernel, enum topic topic, topic_fn fn,
                       void *ctx);
/**
 * kernel_publish() - store a snapshot and notify the subscribers.
 * @snapshot: owned by the kernel until the topic's next one is published.
 * @destroy: frees the snapshot; NULL if it needs no freeing.
 *
 * Calls all subscribers before it returns.
 */
void kernel_publish (struct kernel *kernel, enum topic topic,
                     const void *snapshot, void (*destroy) (void *));
/**
 * kernel_latest() - get the latest snapshot of a topic, or NULL.
 *
 * The pointer is valid until control returns to the event loop.
 */
const void *kernel_latest (const struct kernel *kernel, enum topic topic);
