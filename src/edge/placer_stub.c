#include "edge/site.h"
#include "kernel.h"
#include "err.h"
static void a (void *c, const struct server_entry *e) { (void)c; (void)e; }
static void b (void *c, struct str id) { (void)c; (void)id; }
static void d (void *c, bool r) { (void)c; (void)r; }
static const struct site_listener l = { a, b, d };
static const struct plugin_ops ops;
static struct plugin *create (struct kernel *k) { struct plugin *p = xcalloc (1, sizeof *p); p->ops = &ops; site_listen (site_get (k), &l, p); return p; }
static const struct plugin_ops ops = { .name = "placer", .rank = RANK_PLACER, .profiles = PROFILE_EDGE, .create = create };
KERNEL_PLUGIN (ops)
