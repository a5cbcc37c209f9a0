#include "kernel.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "err.h"
#include "log.h"
#include "settings.h"

#define LOG_MODULE "kernel"
#define PLUGINS_MAX 32
#define SUBSCRIBERS_MAX 16
/* Loop iterations for close callbacks after the plug-ins have stopped. */
#define CLOSE_ITERATIONS 16

struct subscriber
{
  topic_fn fn;
  void *ctx;
};

struct topic_state
{
  struct subscriber subscribers[SUBSCRIBERS_MAX];
  size_t subscriber_count;
  const void *snapshot;
  void (*destroy) (void *);
};

struct kernel
{
  uv_loop_t loop;
  uv_signal_t signals[2];
  uv_timer_t drain_timer;
  const struct settings *settings;
  uint32_t drain_limit_ms;
  uint64_t instance;
  struct plugin *plugins[PLUGINS_MAX];
  size_t plugin_count;
  size_t started_count;   /* the first ones in plugins are started */
  size_t undrained_count; /* while draining: the first ones still to drain */
  bool draining;
  bool stopping;
  struct topic_state topics[TOPIC_COUNT];
};

static const struct plugin_ops *registered[PLUGINS_MAX];
static size_t registered_count;

void
kernel_register (const struct plugin_ops *ops)
{
  size_t i;

  if (registered_count == PLUGINS_MAX)
    abort ();
  for (i = registered_count; i > 0 && registered[i - 1]->rank > ops->rank; i--)
    registered[i] = registered[i - 1];
  registered[i] = ops;
  registered_count++;
}

static bool
in_profile (const struct plugin_ops *ops, enum kernel_profile profile)
{
  const unsigned profiles = ops->profiles ? ops->profiles : PROFILE_NODE;

  return (profiles & profile) != 0;
}

struct kernel *
kernel_create (enum kernel_profile profile, const struct settings *settings,
               uint32_t drain_limit_ms)
{
  struct kernel *k = xcalloc (1, sizeof *k);

  k->settings = settings;
  k->drain_limit_ms = drain_limit_ms;
  k->instance = clock_wall_ms ();
  if (uv_loop_init (&k->loop) != 0)
    abort ();
  for (size_t i = 0; i < registered_count; i++)
    if (in_profile (registered[i], profile))
      {
        k->plugins[k->plugin_count] = registered[i]->create (k);
        k->plugin_count++;
      }
  return k;
}

static void
stop_plugins (struct kernel *k)
{
  if (k->stopping)
    return;
  k->stopping = true;
  /* A plug-in that opens its handles in start() must not be stopped unless it
     was started. */
  for (size_t i = k->started_count; i-- > 0;)
    if (k->plugins[i]->ops->stop)
      k->plugins[i]->ops->stop (k->plugins[i]);
  for (size_t i = 0; i < 2; i++)
    uv_close ((uv_handle_t *)&k->signals[i], NULL);
  uv_close ((uv_handle_t *)&k->drain_timer, NULL);
}

static void
drain_next_plugin (struct kernel *k)
{
  while (k->undrained_count > 0 && !k->stopping)
    {
      struct plugin *p = k->plugins[k->undrained_count - 1];

      if (p->ops->drain)
        {
          p->ops->drain (p);
          return;
        }
      k->undrained_count--;
    }
  stop_plugins (k);
}

void
kernel_drained (struct kernel *k, struct plugin *plugin)
{
  if (!k->draining || k->undrained_count == 0
      || k->plugins[k->undrained_count - 1] != plugin)
    return;
  LOG_DBG ("drained", "plugin=%s", plugin->ops->name);
  k->undrained_count--;
  drain_next_plugin (k);
}

static void
on_drain_limit (uv_timer_t *timer)
{
  struct kernel *k = timer->data;

  LOG_WARN ("drain-limit", "limit_ms=%u plugin=%s", k->drain_limit_ms,
            k->undrained_count > 0
                ? k->plugins[k->undrained_count - 1]->ops->name
                : "-");
  stop_plugins (k);
}

static void
on_signal (uv_signal_t *handle, int signum)
{
  struct kernel *k = handle->data;

  if (k->draining)
    {
      LOG_WARN ("stop", "signal=%d reason=second-signal", signum);
      stop_plugins (k);
      return;
    }
  LOG_INFO ("drain", "signal=%d", signum);
  k->draining = true;
  k->undrained_count = k->plugin_count;
  uv_timer_start (&k->drain_timer, on_drain_limit, k->drain_limit_ms, 0);
  kernel_publish (k, TOPIC_DRAIN, NULL, NULL);
  drain_next_plugin (k);
}

static int
start_plugins (struct kernel *k)
{
  static const int signums[2] = { SIGTERM, SIGINT };

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < 2; i++)
    {
      uv_signal_init (&k->loop, &k->signals[i]);
      k->signals[i].data = k;
      uv_signal_start (&k->signals[i], on_signal, signums[i]);
    }
  uv_timer_init (&k->loop, &k->drain_timer);
  k->drain_timer.data = k;
  for (size_t i = 0; i < k->plugin_count; i++)
    {
      const struct plugin_ops *ops = k->plugins[i]->ops;
      const int rc = ops->start ? ops->start (k->plugins[i]) : 0;

      if (rc == 0)
        {
          k->started_count = i + 1;
          continue;
        }
      LOG_ERR ("start-failed", "plugin=%s error=\"%s\"", ops->name,
               err_str (rc));
      return rc;
    }
  return 0;
}

int
kernel_run (struct kernel *k)
{
  const int rc = start_plugins (k);

  if (rc != 0)
    stop_plugins (k);
  while (!k->stopping)
    uv_run (&k->loop, UV_RUN_ONCE);
  /* The loop would never become empty, because h2o keeps handles of idle
     connections and offers no way to close them. */
  for (int i = 0; i < CLOSE_ITERATIONS; i++)
    uv_run (&k->loop, UV_RUN_NOWAIT);
  return rc;
}

void
kernel_destroy (struct kernel *k)
{
  for (size_t i = 0; i < TOPIC_COUNT; i++)
    {
      struct topic_state *t = &k->topics[i];

      if (t->snapshot && t->destroy)
        t->destroy ((void *)t->snapshot);
    }
  for (size_t i = k->plugin_count; i-- > 0;)
    if (k->plugins[i]->ops->destroy)
      k->plugins[i]->ops->destroy (k->plugins[i]);
  /* Open handles, such as those of idle h2o connections, still refer to the
     loop. The static pointer keeps leak checkers from reporting them. */
  static struct kernel *volatile unclosed;
  unclosed = uv_loop_close (&k->loop) == 0 ? NULL : k;
  if (!unclosed)
    free (k);
}

uv_loop_t *
kernel_loop (struct kernel *k)
{
  return &k->loop;
}

const struct settings *
kernel_settings (const struct kernel *k)
{
  return k->settings;
}

uint64_t
kernel_instance (const struct kernel *k)
{
  return k->instance;
}

struct plugin *
kernel_find (struct kernel *k, const char *name)
{
  for (size_t i = 0; i < k->plugin_count; i++)
    if (strcmp (k->plugins[i]->ops->name, name) == 0)
      return k->plugins[i];
  abort ();
}

bool
kernel_draining (const struct kernel *k)
{
  return k->draining;
}

void
kernel_subscribe (struct kernel *k, enum topic topic, topic_fn fn, void *ctx)
{
  struct topic_state *t = &k->topics[topic];

  if (t->subscriber_count == SUBSCRIBERS_MAX)
    abort ();
  t->subscribers[t->subscriber_count++]
      = (struct subscriber){ .fn = fn, .ctx = ctx };
}

void
kernel_publish (struct kernel *k, enum topic topic, const void *snapshot,
                void (*destroy) (void *))
{
  struct topic_state *t = &k->topics[topic];
  const void *old = t->snapshot;
  void (*old_destroy) (void *) = t->destroy;

  t->snapshot = snapshot;
  t->destroy = destroy;
  for (size_t i = 0; i < t->subscriber_count; i++)
    t->subscribers[i].fn (t->subscribers[i].ctx, snapshot);
  if (old && old_destroy && old != snapshot)
    old_destroy ((void *)old);
}

const void *
kernel_latest (const struct kernel *k, enum topic topic)
{
  return k->topics[topic].snapshot;
}
