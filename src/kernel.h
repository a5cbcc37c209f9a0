#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct kernel;
struct plugin;
struct settings;

/* Which sub-commands run a plug-in; a bit set. */
enum kernel_profile
{
  PROFILE_NODE = 1, /* galenagate node: own lists, store and engines */
  PROFILE_EDGE = 2, /* galenagate edge: on the users' platform */
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
  RANK_ENTRY,
};

/**
 * struct plugin_ops - behaviour of a plug-in; first member of its state.
 * @name: for kernel_find() and logs.
 * @profiles: enum kernel_profile bits; 0 means PROFILE_NODE.
 * @create: allocate the state; other plug-ins of lower rank exist already.
 * @start: open sockets, start timers. NULL when there is nothing to start.
 *   Returns 0 or a negative errno value, which stops the node.
 * @drain: give up work in order; call kernel_drained() once, at once or later.
 *   NULL when there is nothing to drain.
 * @stop: close all libuv handles (their close callbacks still run).
 * @destroy: free the state; the loop has ended.
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

/** struct plugin - base of each plug-in's state. */
struct plugin
{
  const struct plugin_ops *ops;
};

/* Snapshots that tasks publish. The kernel owns the newest of each topic. */
enum topic
{
  TOPIC_MEMBERS, /* struct member_view (member.h), published by membership */
  TOPIC_LISTS,   /* struct lists (lists.h), published by config */
  TOPIC_HOSTS,   /* struct host_view (hosts.h), published by hosts */
  TOPIC_NOTICE,  /* struct notice (peer.h), published by membership */
  TOPIC_LEASES,  /* NULL; a lease of this node was gained or lost */
  TOPIC_DRAIN,   /* NULL; the node began its graceful shutdown */
  TOPIC_ROUTING, /* struct routing (edge/topology.h), published by site */
  TOPIC_POOL,    /* NULL; servers or what they hold changed */
  TOPIC_DEMAND,  /* NULL; a call began to wait for a model or adapter */
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

/** kernel_create() - create the plug-ins of one profile.
 * @settings: of the node profile.
 * @drain_limit_ms: longest graceful shutdown.
 */
struct kernel *kernel_create (enum kernel_profile profile,
                              const struct settings *settings,
                              uint32_t drain_limit_ms);
/** kernel_run() - run until drained. Returns 0 or a negative errno value. */
int kernel_run (struct kernel *kernel);
void kernel_destroy (struct kernel *kernel);

uv_loop_t *kernel_loop (struct kernel *kernel);
const struct settings *kernel_settings (const struct kernel *kernel);
/** kernel_instance() - start time of this process in wall-clock ms. */
uint64_t kernel_instance (const struct kernel *kernel);
struct plugin *kernel_find (struct kernel *kernel, const char *name);
bool kernel_draining (const struct kernel *kernel);
/** kernel_drained() - report that a plug-in's drain is complete. */
void kernel_drained (struct kernel *kernel, struct plugin *plugin);

void kernel_subscribe (struct kernel *kernel, enum topic topic, topic_fn fn,
                       void *ctx);
/**
 * kernel_publish() - hand a snapshot to the kernel and tell subscribers.
 * @snapshot: owned by the kernel until the next one of the topic.
 * @destroy: frees the snapshot; NULL when it needs no freeing.
 *
 * Subscribers are called in turn before this returns.
 */
void kernel_publish (struct kernel *kernel, enum topic topic,
                     const void *snapshot, void (*destroy) (void *));
/**
 * kernel_latest() - newest snapshot of a topic or NULL.
 *
 * Valid until control returns to the loop; do not keep the pointer.
 */
const void *kernel_latest (const struct kernel *kernel, enum topic topic);
