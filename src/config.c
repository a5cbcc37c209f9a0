#include "config.h"

#include <errno.h>
#include <malloc.h>
#include <stdlib.h>

#include "bus.h"
#include "clock.h"
#include "configdoc.h"
#include "err.h"
#include "lists.h"
#include "log.h"
#include "member.h"
#include "membership.h"
#include "metrics.h"
#include "random.h"
#include "settings.h"
#include "store.h"

#define LOG_MODULE "config"
#define TICK_MS 250
#define FETCH_LIMIT_MS 2000
/* A connection that went silent delays an edit by this time at most. */
#define WATCH_MS 4000
#define STORE_RETRY_MS 1000
#define RETRY_STEP_MS 200
#define RETRY_MAX_MS 2000
/* A starting node takes a peer that has not answered by then as unreachable.
 */
#define PEER_WAIT_MS 3000
/* Each node compares its revision with a random peer's this often, so that a
   lost notice delays an edit by less than the 11 s in which it must be in
   force. */
#define COMPARE_MS 4000
#define AGE_WARN_MS 30000
#define WANTED_MAX 64
#define REPLY_BYTES_MAX 524288
#define STORE_READS 8
/* Nodes of a domain fetch along a tree in the order of their ranks, so that
   an edit costs no node more than a few uploads. */
#define TREE_CHILDREN 4
/* Attempts at the parent, which may itself wait for its parent. */
#define TREE_ATTEMPTS 4
#define RELAYS 2
#define NOTICE_TTL_MS 60000
#define NOTICE_KEY "config"

/* struct fetch - the revision that is being fetched. */
struct fetch
{
  bool active;
  bool from_store;
  struct str peer;
  struct config_root root;
  struct str root_text;
  size_t reads; /* store reads under way */
  size_t next;  /* first part that was not asked for at the store */
  bool failed;
};

/* struct job - joins, parses and checks a revision on a worker thread. */
struct job
{
  uv_work_t work;
  struct config *config;
  struct config_root root;
  struct str root_text;
  struct lists *lists;
  struct lists_error error;
  int rc;
};

struct config
{
  struct plugin plugin;
  struct kernel *kernel;
  struct bus *bus;
  struct store *store;
  struct membership *membership;
  uv_timer_t tick;
  uint64_t revision;
  struct config_root root; /* in force, with all bodies */
  struct str root_text;
  struct config_root partial; /* of a fetch that failed; saves its chunks */
  uint64_t heard;             /* highest revision that exists */
  struct str teller;          /* node that told of it; may be empty */
  uint64_t rejected;          /* revision that could not be parsed */
  struct fetch fetch;
  uint64_t next_attempt_ms;
  uint64_t started_ms;
  uint64_t confirmed_ms;
  uint64_t compared_ms;
  uint64_t warned_ms;
  uint64_t store_asked_ms;
  uint64_t watch_version;
  uint64_t watch_ended_ms;
  uint64_t random; /* state of the generator that picks peers */
  unsigned attempts;
  bool noticed; /* a notice of the revision `heard` was seen */
  bool working; /* a job is under way */
  bool ready;
  bool store_asked;
  bool store_answered;
  bool store_down;
  bool peer_answered;
  bool watching;
  bool watch_failed;
  bool stopped;
};

static void pump (struct config *c);

static const struct member_view *
view_of (const struct config *c)
{
  return kernel_latest (c->kernel, TOPIC_MEMBERS);
}

static struct str
self_addr (const struct config *c)
{
  return kernel_settings (c->kernel)->bus_addr;
}

/* ---- the node's place among the nodes of its domain ---- */

/* Nodes of this node's domain, as a view. Free the members. */
static struct member_view
domain_view (const struct config *c)
{
  const struct settings *s = kernel_settings (c->kernel);
  const struct member_view *all = view_of (c);
  struct member_view v = { 0 };

  if (!all)
    return v;
  struct member_info *members = xcalloc (all->count + 1, sizeof *members);
  for (size_t i = 0; i < all->count; i++)
    if (str_eq (all->members[i].domain, s->domain)
        && str_eq (all->members[i].region, s->region))
      members[v.count++] = all->members[i];
  v.members = members;
  return v;
}

/* Place of this node in the domain's order, and the address of the node that
   it fetches from: empty for relays. The address belongs to the topic. A node
   that is not in its own view counts as a relay. */
static size_t
domain_place (const struct config *c, struct str *parent)
{
  const struct settings *s = kernel_settings (c->kernel);
  struct member_view v = domain_view (c);
  struct str key = str_printf ("relay/" STR_FMT, STR_ARG (s->domain));
  size_t place = member_place (&v, STR (""), key, s->bus_addr);

  *parent = (struct str){ 0 };
  if (place == SIZE_MAX)
    place = 0;
  if (place >= RELAYS)
    *parent = member_rank (&v, STR (""), key, (place - RELAYS) / TREE_CHILDREN)
                  ->addr;
  str_free (&key);
  free ((void *)v.members);
  return place;
}

static bool
is_relay (const struct config *c)
{
  struct str parent;

  return domain_place (c, &parent) < RELAYS;
}

/* A random live node other than this one that has at least the revision, or
   NULL. */
static const struct member_info *
random_peer (struct config *c, uint64_t revision)
{
  const struct member_view *v = view_of (c);
  const struct member_info *pick = NULL;
  uint64_t seen = 0;

  for (size_t i = 0; v && i < v->count; i++)
    {
      const struct member_info *m = &v->members[i];

      if (!member_live (m) || m->revision < revision
          || str_eq (m->addr, self_addr (c)))
        continue;
      if (random_next (&c->random) % ++seen == 0)
        pick = m;
    }
  return pick;
}

/* ---- readiness ---- */

static bool
settled (const struct config *c)
{
  return c->revision > 0
         && (c->revision >= c->heard || c->rejected >= c->heard);
}

static void
check_ready (struct config *c)
{
  const bool alone = clock_ms () - c->started_ms >= PEER_WAIT_MS;

  if (c->ready || !settled (c))
    return;
  if (c->store_answered)
    c->ready = c->peer_answered || alone;
  else
    c->ready = c->peer_answered && c->store_down;
  if (c->ready)
    LOG_INFO ("ready", "revision=%lu store=%s peer=%s after_ms=%lu",
              c->revision, c->store_answered ? "yes" : "no",
              c->peer_answered ? "yes" : "no", clock_ms () - c->started_ms);
}

/* ---- adoption ---- */

static void
spread_revision (struct config *c)
{
  const struct notice n = {
    .kind = NOTICE_REVISION,
    .key = TEXT_STR (STR (NOTICE_KEY)),
    .value = TEXT_STR (self_addr (c)),
    .number = c->revision,
    .ttl_ms = NOTICE_TTL_MS,
  };

  membership_spread (c->membership, &n);
}

static void
destroy_lists (void *lists)
{
  lists_destroy (lists);
}

static void
adopt (struct config *c, struct job *j)
{
  const bool noticed = c->noticed && c->heard == j->root.revision;

  config_root_free (&c->root);
  config_root_free (&c->partial);
  str_free (&c->root_text);
  c->root = j->root;
  c->root_text = j->root_text;
  j->root = (struct config_root){ 0 };
  j->root_text = (struct str){ 0 };
  c->revision = c->root.revision;
  if (c->heard < c->revision)
    c->heard = c->revision;
  c->attempts = 0;
  c->confirmed_ms = clock_ms ();
  metrics_set ("galenagate_config_revision", STR (""), (double)c->revision);
  LOG_INFO ("adopted",
            "revision=%lu writer=\"" STR_FMT
            "\" chunks=%zu since_apply_ms=%ld",
            c->revision, STR_ARG (c->root.writer), c->root.count,
            (long)(clock_wall_ms () - c->root.applied_at_ms));
  kernel_publish (c->kernel, TOPIC_LISTS, j->lists, destroy_lists);
  j->lists = NULL;
  membership_set_revision (c->membership, c->revision);
  /* One node's notice reaches all; a second one would only add traffic. */
  if (!noticed)
    spread_revision (c);
}

static void
reject (struct config *c, const struct job *j)
{
  c->rejected = j->root.revision;
  metrics_add ("galenagate_config_rejected_total", STR (""), 1);
  LOG_ERR ("rejected",
           "revision=%lu writer=\"" STR_FMT "\" file=" STR_FMT
           " entry=\"" STR_FMT "\" field=" STR_FMT " reason=\"" STR_FMT
           "\" in_force=%lu",
           j->root.revision, STR_ARG (j->root.writer), STR_ARG (j->error.file),
           STR_ARG (j->error.entry), STR_ARG (j->error.field),
           STR_ARG (j->error.reason), c->revision);
}

static void
run_job (uv_work_t *work)
{
  struct job *j = work->data;
  json_t *plans = NULL;
  json_t *uses = NULL;

  j->rc = configdoc_assemble (&j->root, &plans, &uses);
  if (j->rc != 0)
    j->error.reason = str_dup (STR ("the chunks do not fit together"));
  else
    j->rc = lists_parse_json (plans, uses, j->root.revision, &j->lists,
                              &j->error);
  json_decref (plans);
  json_decref (uses);
  /* Each worker thread has an arena of its own, which would keep what parsing
     needed for a moment: 22 MB with 1,100 models and 22,000 adapters. */
  malloc_trim (0);
}

static void
after_job (uv_work_t *work, int status)
{
  struct job *j = work->data;
  struct config *c = j->config;

  c->working = false;
  if (!c->stopped && status == 0)
    {
      if (j->rc != 0)
        reject (c, j);
      else if (j->root.revision > c->revision)
        adopt (c, j);
      check_ready (c);
      pump (c);
    }
  lists_destroy (j->lists);
  lists_error_free (&j->error);
  config_root_free (&j->root);
  str_free (&j->root_text);
  free (j);
}

/* ---- fetching ---- */

static void
end_fetch (struct config *c)
{
  struct fetch *f = &c->fetch;

  config_root_free (&f->root);
  str_free (&f->root_text);
  str_free (&f->peer);
  *f = (struct fetch){ 0 };
}

static void
fail_fetch (struct config *c, int err, const char *step)
{
  struct fetch *f = &c->fetch;
  const unsigned steps
      = c->attempts < TREE_ATTEMPTS ? 1 : c->attempts - TREE_ATTEMPTS + 1;
  const uint64_t wait_ms = steps * RETRY_STEP_MS;

  LOG_DBG ("fetch-failed", "step=%s peer=" STR_FMT " error=\"%s\" attempt=%u",
           step, STR_ARG (f->from_store ? STR ("store") : f->peer),
           err_str (err), c->attempts);
  metrics_add ("galenagate_config_fetch_failures_total", STR (""), 1);
  if (f->root.count > 0)
    {
      config_root_free (&c->partial);
      c->partial = f->root;
      f->root = (struct config_root){ 0 };
    }
  end_fetch (c);
  c->attempts++;
  c->next_attempt_ms
      = clock_ms () + (wait_ms < RETRY_MAX_MS ? wait_ms : RETRY_MAX_MS);
}

static void
finish_fetch (struct config *c)
{
  struct job *j = xcalloc (1, sizeof *j);

  j->config = c;
  j->work.data = j;
  j->root = c->fetch.root;
  j->root_text = c->fetch.root_text;
  c->fetch.root = (struct config_root){ 0 };
  c->fetch.root_text = (struct str){ 0 };
  end_fetch (c);
  c->working = true;
  uv_queue_work (kernel_loop (c->kernel), &j->work, run_job, after_job);
}

static const struct config_part *
find_part (const struct config_root *root, struct str hash)
{
  for (size_t i = 0; i < root->count; i++)
    if (str_eq (root->parts[i].hash, hash))
      return root->parts[i].body.len > 0 ? &root->parts[i] : NULL;
  return NULL;
}

/* Takes the bodies that this node has already. */
static void
fill_known (struct config *c)
{
  struct config_root *root = &c->fetch.root;

  for (size_t i = 0; i < root->count; i++)
    {
      const struct config_part *known
          = find_part (&c->root, root->parts[i].hash);

      if (!known)
        known = find_part (&c->partial, root->parts[i].hash);
      if (known)
        root->parts[i].body = str_dup (known->body);
    }
}

/* Returns false if the body does not have the hash, or is not wanted. */
static bool
take_chunk (struct config *c, struct str hash, struct str body)
{
  struct config_root *root = &c->fetch.root;
  struct str actual = config_hash (body);
  bool taken = false;

  if (str_eq (actual, hash))
    for (size_t i = 0; i < root->count; i++)
      if (root->parts[i].body.len == 0 && str_eq (root->parts[i].hash, hash))
        {
          root->parts[i].body = str_dup (body);
          taken = true;
        }
  if (!taken)
    {
      metrics_add ("galenagate_config_bad_chunks_total", STR (""), 1);
      LOG_WARN ("bad-chunk", "hash=" STR_FMT " actual=" STR_FMT,
                STR_ARG (hash), STR_ARG (actual));
    }
  str_free (&actual);
  return taken;
}

/* Returns 0, or a negative errno value when the root is of no use. */
static int
take_root (struct config *c, struct str text)
{
  struct fetch *f = &c->fetch;

  if (config_root_decode (text, &f->root) != 0)
    return -EBADMSG;
  if (f->root.revision <= c->revision || f->root.revision <= c->rejected)
    return -ESTALE;
  f->root_text = str_dup (text);
  fill_known (c);
  return 0;
}

static void on_peer_chunks (void *ctx, int err, struct str hint,
                            const void *result);

/* Asks the peer for missing chunks, or ends the fetch if there are none. */
static void
ask_peer_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;
  text wanted[WANTED_MAX];
  struct config_fetch_args args
      = { .have_revision = c->revision, .wanted.wanted_val = wanted };

  for (size_t i = 0; i < f->root.count && args.wanted.wanted_len < WANTED_MAX;
       i++)
    if (f->root.parts[i].body.len == 0)
      wanted[args.wanted.wanted_len++] = TEXT_STR (f->root.parts[i].hash);
  if (args.wanted.wanted_len == 0)
    finish_fetch (c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args, FETCH_LIMIT_MS,
              on_peer_chunks, c);
}

static void
on_peer_chunks (void *ctx, int err, struct str hint, const void *result)
{
  struct config *c = ctx;
  const struct config_fetch_res *r = result;
  size_t taken = 0;

  (void)hint;
  if (c->stopped)
    return;
  for (u_int i = 0; r && i < r->chunks.chunks_len; i++)
    taken += take_chunk (c, STR_TEXT (r->chunks.chunks_val[i].hash),
                         STR_BLOB (r->chunks.chunks_val[i].body));
  if (taken == 0)
    fail_fetch (c, err != 0 ? err : -ENOENT, "chunks");
  else
    ask_peer_chunks (c);
}

static void ask_store_chunks (struct config *c);

static void
on_store_chunk (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;
  struct fetch *f = &c->fetch;

  (void)version;
  if (c->stopped)
    return;
  f->reads--;
  struct str hash = err.code == 0 ? config_hash (value) : (struct str){ 0 };
  if (err.code != 0 || !take_chunk (c, hash, value))
    f->failed = true;
  str_free (&hash);
  if (f->failed && f->reads == 0)
    fail_fetch (c, err.code, "chunks");
  else if (!f->failed)
    ask_store_chunks (c);
}

static void
ask_store_chunks (struct config *c)
{
  struct fetch *f = &c->fetch;

  while (f->reads < STORE_READS && f->next < f->root.count)
    {
      const struct config_part *p = &f->root.parts[f->next++];

      if (p->body.len > 0)
        continue;
      struct str key
          = str_printf (CONFIG_CHUNK_PREFIX STR_FMT, STR_ARG (p->hash));
      f->reads++;
      store_read (c->store, key, on_store_chunk, c);
      str_free (&key);
    }
  if (f->reads == 0)
    finish_fetch (c);
}

/* Begins a fetch whose root is at hand. */
static void
fetch_with_root (struct config *c, struct str root, struct str peer)
{
  struct fetch *f = &c->fetch;

  if (f->active || c->working)
    return;
  f->active = true;
  f->from_store = peer.len == 0;
  f->peer = str_dup (peer);
  const int rc = take_root (c, root);
  if (rc != 0)
    fail_fetch (c, rc, "root");
  else if (f->from_store)
    ask_store_chunks (c);
  else
    ask_peer_chunks (c);
}

static void
on_peer_root (void *ctx, int err, struct str hint, const void *result)
{
  struct config *c = ctx;
  const struct config_fetch_res *r = result;

  (void)hint;
  if (c->stopped)
    return;
  if (r)
    c->peer_answered = true;
  if (r && r->revision >= c->revision)
    c->confirmed_ms = clock_ms ();
  /* A parent that cannot be reached is not asked again. */
  if (err != 0 && c->attempts < TREE_ATTEMPTS)
    c->attempts = TREE_ATTEMPTS - 1;
  if (err == 0)
    err = r && r->root.blob_len > 0 ? take_root (c, STR_BLOB (r->root))
                                    : -EAGAIN;
  if (err != 0)
    fail_fetch (c, err, "root");
  else
    ask_peer_chunks (c);
}

static void
on_store_root (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;
  int rc = err.code;

  (void)version;
  if (c->stopped)
    return;
  if (rc == 0)
    rc = take_root (c, value);
  if (rc != 0)
    fail_fetch (c, rc, "root");
  else
    ask_store_chunks (c);
}

/* The node to fetch from at this attempt; empty for the store. First the
   parent in the domain's tree, which may itself need a moment; then the node
   that told of the revision; then any that has it; in between the store. */
static struct str
choose_source (struct config *c)
{
  const struct member_info *m;
  struct str parent;
  const size_t place = domain_place (c, &parent);

  if (c->revision > 0 && place >= RELAYS && c->attempts < TREE_ATTEMPTS)
    return parent;
  if (c->attempts % 3 == 2)
    return STR ("");
  m = random_peer (c, c->heard);
  if (c->teller.len > 0 && (!m || c->attempts % 3 == 0))
    return c->teller;
  return m ? m->addr : STR ("");
}

static void
pump (struct config *c)
{
  struct fetch *f = &c->fetch;
  const struct config_fetch_args args = { .have_revision = c->revision };

  if (c->stopped || f->active || c->working || c->heard <= c->revision
      || c->heard <= c->rejected || clock_ms () < c->next_attempt_ms)
    return;
  f->active = true;
  f->peer = str_dup (choose_source (c));
  f->from_store = f->peer.len == 0;
  if (f->from_store)
    store_read (c->store, STR (CONFIG_ROOT_KEY), on_store_root, c);
  else
    bus_call (c->bus, f->peer, PEER_CONFIG_FETCH, &args, FETCH_LIMIT_MS,
              on_peer_root, c);
}

/* A revision exists; the teller has it, unless it is empty. */
static void
learn (struct config *c, uint64_t revision, struct str teller)
{
  if (revision > c->heard)
    {
      c->heard = revision;
      c->noticed = false;
      c->attempts = 0;
      c->next_attempt_ms = 0;
      str_free (&c->teller);
      if (!str_eq (teller, self_addr (c)))
        c->teller = str_dup (teller);
    }
}

/* ---- sources of knowledge: store, notices, members, peers ---- */

static void
learn_store_root (struct config *c, struct str value, bool fetch_now)
{
  struct config_root root;

  if (config_root_decode (value, &root) != 0)
    {
      LOG_ERR ("bad-root", "peer=store bytes=%zu", value.len);
      metrics_add ("galenagate_config_rejected_total", STR (""), 1);
      return;
    }
  const uint64_t revision = root.revision;
  config_root_free (&root);
  if (revision >= c->revision)
    c->confirmed_ms = clock_ms ();
  learn (c, revision, STR (""));
  if (fetch_now && revision > c->revision && revision > c->rejected)
    fetch_with_root (c, value, STR (""));
}

static void
on_watch (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;

  if (c->stopped)
    return;
  c->watching = false;
  c->watch_failed = err.code != 0 && err.code != -EAGAIN;
  c->watch_ended_ms = clock_ms ();
  if (err.code == -EAGAIN && c->revision > 0)
    c->confirmed_ms = c->watch_ended_ms;
  if (err.code == 0)
    {
      c->watch_version = version;
      learn_store_root (c, value, true);
    }
}

static void
watch (struct config *c)
{
  if (c->watching
      || (c->watch_failed && clock_ms () - c->watch_ended_ms < STORE_RETRY_MS))
    return;
  if (!is_relay (c))
    return;
  c->watching = true;
  store_watch (c->store, STR (CONFIG_ROOT_KEY), c->watch_version, WATCH_MS,
               on_watch, c);
}

static void
on_start_root (void *ctx, struct err err, uint64_t version, struct str value)
{
  struct config *c = ctx;

  (void)version;
  if (c->stopped)
    return;
  c->store_asked = false;
  c->store_answered |= err.code == 0 || err.code == -ENOENT;
  c->store_down = !c->store_answered;
  if (err.code == 0)
    /* A peer that is known to have it spares the store the chunk reads. */
    learn_store_root (c, value, !random_peer (c, 1));
  check_ready (c);
  pump (c);
}

static void
ask_store_at_start (struct config *c)
{
  if (c->store_answered || c->store_asked
      || (c->store_asked_ms > 0
          && clock_ms () - c->store_asked_ms < STORE_RETRY_MS))
    return;
  c->store_asked = true;
  c->store_asked_ms = clock_ms ();
  store_read (c->store, STR (CONFIG_ROOT_KEY), on_start_root, c);
}

struct compare
{
  struct config *config;
  struct str peer;
};

static void
on_compared (void *ctx, int err, struct str hint, const void *result)
{
  struct compare *p = ctx;
  struct config *c = p->config;
  const struct config_fetch_res *r = result;

  (void)hint;
  if (!c->stopped && err == 0)
    {
      c->peer_answered = true;
      if (r->revision >= c->revision && c->revision > 0)
        c->confirmed_ms = clock_ms ();
      learn (c, r->revision, p->peer);
      check_ready (c);
      pump (c);
    }
  str_free (&p->peer);
  free (p);
}

/* Asks a peer for its revision. The own one is given as the highest number,
   so that the answer has no root. */
static void
compare_with (struct config *c, const struct member_info *m)
{
  const struct config_fetch_args args = { .have_revision = UINT64_MAX };
  struct compare *p = xcalloc (1, sizeof *p);

  p->config = c;
  p->peer = str_dup (m->addr);
  bus_call (c->bus, p->peer, PEER_CONFIG_FETCH, &args, FETCH_LIMIT_MS,
            on_compared, p);
}

static void
compare (struct config *c)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t wait_ms = c->ready ? COMPARE_MS : STORE_RETRY_MS;
  const struct member_info *m = random_peer (c, 0);

  if (!m || (c->compared_ms > 0 && now_ms - c->compared_ms < wait_ms))
    return;
  c->compared_ms = now_ms;
  compare_with (c, m);
}

static void
on_members (void *ctx, const void *snapshot)
{
  struct config *c = ctx;
  const struct member_view *v = snapshot;

  for (size_t i = 0; i < v->count; i++)
    if (member_live (&v->members[i]))
      learn (c, v->members[i].revision, v->members[i].addr);
  pump (c);
}

static void
on_notice (void *ctx, const void *snapshot)
{
  struct config *c = ctx;
  const struct notice *n = snapshot;

  if (n->kind != NOTICE_REVISION)
    return;
  learn (c, n->number, STR_TEXT (n->value));
  if (n->number == c->heard)
    c->noticed = true;
  pump (c);
}

/* ---- serving peers ---- */

static u_int
collect_chunks (const struct config *c, const struct config_fetch_args *a,
                config_chunk out[WANTED_MAX])
{
  size_t bytes = 0;
  u_int n = 0;

  for (u_int i = 0; i < a->wanted.wanted_len; i++)
    {
      const struct config_part *p
          = find_part (&c->root, STR_TEXT (a->wanted.wanted_val[i]));

      if (!p || (n > 0 && bytes + p->body.len > REPLY_BYTES_MAX))
        continue;
      bytes += p->body.len;
      out[n++] = (config_chunk){ .hash = TEXT_STR (p->hash),
                                 .body = BLOB_STR (p->body) };
    }
  return n;
}

static void
on_fetch (void *ctx, struct bus_request *req, const void *args)
{
  struct config *c = ctx;
  const struct config_fetch_args *a = args;
  config_chunk chunks[WANTED_MAX];
  struct config_fetch_res res
      = { .revision = c->revision, .chunks.chunks_val = chunks };

  if (a->wanted.wanted_len > 0)
    res.chunks.chunks_len = collect_chunks (c, a, chunks);
  else if (c->revision > a->have_revision)
    res.root = BLOB_STR (c->root_text);
  bus_reply (req, &res);
}

/* ---- plug-in ---- */

static void
report_age (struct config *c)
{
  const uint64_t now_ms = clock_ms ();
  const uint64_t age_ms = config_age_ms (c);

  metrics_set ("galenagate_config_age_ms", STR (""), (double)age_ms);
  if (age_ms < AGE_WARN_MS || now_ms - c->warned_ms < AGE_WARN_MS)
    return;
  c->warned_ms = now_ms;
  LOG_WARN ("unconfirmed",
            "revision=%lu age_ms=%lu reason=\"neither the store nor a peer "
            "has confirmed the configuration\"",
            c->revision, age_ms);
}

static void
on_tick (uv_timer_t *timer)
{
  struct config *c = timer->data;

  if (!c->ready)
    ask_store_at_start (c);
  watch (c);
  compare (c);
  check_ready (c);
  pump (c);
  report_age (c);
}

struct config *
config_get (struct kernel *kernel)
{
  return (struct config *)kernel_find (kernel, "config");
}

bool
config_ready (const struct config *c)
{
  return c->ready;
}

uint64_t
config_revision (const struct config *c)
{
  return c->revision;
}

uint64_t
config_age_ms (const struct config *c)
{
  return clock_ms () - c->confirmed_ms;
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct config *c = xcalloc (1, sizeof *c);

  c->plugin.ops = &ops;
  c->kernel = kernel;
  c->bus = bus_get (kernel);
  c->store = store_get (kernel);
  c->membership = membership_get (kernel);
  c->random = str_hash (self_addr (c), kernel_instance (kernel));
  uv_timer_init (kernel_loop (kernel), &c->tick);
  c->tick.data = c;
  bus_handle (c->bus, PEER_CONFIG_FETCH, on_fetch, c);
  kernel_subscribe (kernel, TOPIC_MEMBERS, on_members, c);
  kernel_subscribe (kernel, TOPIC_NOTICE, on_notice, c);
  return &c->plugin;
}

static int
start (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  c->started_ms = clock_ms ();
  c->confirmed_ms = c->started_ms;
  c->warned_ms = c->started_ms;
  ask_store_at_start (c);
  return uv_timer_start (&c->tick, on_tick, TICK_MS, TICK_MS);
}

static void
stop (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  c->stopped = true;
  uv_close ((uv_handle_t *)&c->tick, NULL);
}

static void
destroy (struct plugin *plugin)
{
  struct config *c = (struct config *)plugin;

  end_fetch (c);
  config_root_free (&c->root);
  config_root_free (&c->partial);
  str_free (&c->root_text);
  str_free (&c->teller);
  free (c);
}

static const struct plugin_ops ops = {
  .name = "config",
  .rank = RANK_CONFIG,
  .create = create,
  .start = start,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
