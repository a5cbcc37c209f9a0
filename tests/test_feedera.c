#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "err.h"
#include "httppeer.h"
#include "platform/feed.h"
#include "suite.h"

/* A feed whose store comes back from an older copy, and so gives out revisions
   again. */

#define EXCHANGES_MAX 8
#define WAIT_TIMEOUT_MS 15000
#define OBJECT(name, revision)                                                \
  "{\"metadata\":{\"name\":\"" name "\",\"revision\":" revision               \
  "},\"spec\":{}}"
#define LISTING(items, revision)                                              \
  "{\"items\":[" items "],\"more\":false,\"current_rev\":" revision "}"
#define EVENTS(events, revision)                                              \
  "{\"events\":[" events "],\"current_rev\":" revision "}"
#define CHANGED(name, revision)                                               \
  "{\"deleted\":false,\"object\":" OBJECT (name, revision) "}"

/**
 * struct restore_case - calls of a feed and what it reports.
 * @exchanges: those after the first listing, at revision 90 of era 1, which
 *   has the objects a and b of the revisions 50 and 60.
 * @reported: after that listing: names with revisions, "-name" for a removed
 *   object, "restored", "listed"; each followed by a blank.
 */
struct restore_case
{
  const char *name;
  struct peer_exchange exchanges[EXCHANGES_MAX];
  const char *reported;
};

#define FIRST_LISTING LISTING (OBJECT ("a", "50") "," OBJECT ("b", "60"), "90")

static const struct restore_case restore_cases[] = {
  { .name = "object written again at a lower revision",
    .exchanges
    = { { "watch=90&", "410 Gone", 2, "{}" },
        { "servers ", "200 OK", 2,
          LISTING (OBJECT ("a", "40") "," OBJECT ("b", "45"), "46") } },
    .reported = "restored a@40 b@45 listed " },
  { .name = "change that follows at a revision given out again",
    .exchanges
    = { { "watch=90&", "410 Gone", 2, "{}" },
        { "servers ", "200 OK", 2, LISTING (OBJECT ("a", "40"), "46") },
        { "watch=46&", "200 OK", 2, EVENTS (CHANGED ("a", "50"), "50") } },
    .reported = "restored a@40 -b listed a@50 " },
  { .name = "revisions that have passed the watch again",
    .exchanges
    = { { "watch=90&", "200 OK", 2, EVENTS (CHANGED ("c", "95"), "95") },
        { "servers ", "200 OK", 2,
          LISTING (OBJECT ("a", "40") "," OBJECT ("c", "95"), "95") } },
    .reported = "restored a@40 c@95 -b listed " },
  { .name = "view that is still of the earlier era",
    .exchanges
    = { { "watch=90&", "410 Gone", 2, "{}" },
        { "servers ", "200 OK", 2, LISTING (OBJECT ("a", "40"), "46") },
        { "watch=46&", "200 OK", 1, EVENTS (CHANGED ("b", "60"), "90") },
        { "watch=46&", "200 OK", 2, EVENTS (CHANGED ("a", "47"), "47") } },
    .reported = "restored a@40 -b listed a@47 " },
  { .name = "no new era",
    .exchanges
    = { { "watch=90&", "410 Gone", 1, "{}" },
        { "servers ", "200 OK", 1, LISTING (OBJECT ("a", "50"), "91") } },
    .reported = "-b listed " },
};

/* ---- the feed ---- */

struct report
{
  struct buf text;
  bool begun; /* the first listing is complete */
};

static void
add (struct report *r, struct str text)
{
  if (r->begun)
    buf_append (&r->text, text);
  str_free (&text);
}

static void
on_changed (void *ctx, const struct object *o)
{
  add (ctx, str_printf (STR_FMT "@%lu ", STR_ARG (o->name), o->revision));
}

static void
on_removed (void *ctx, struct str name)
{
  add (ctx, str_printf ("-" STR_FMT " ", STR_ARG (name)));
}

static void
on_listed (void *ctx)
{
  struct report *r = ctx;

  add (r, str_printf ("listed "));
  r->begun = true;
}

static void
on_reachable (void *ctx, bool reachable)
{
  (void)ctx;
  (void)reachable;
}

static void
on_restored (void *ctx)
{
  add (ctx, str_printf ("restored "));
}

static const struct feed_events events = {
  .changed = on_changed,
  .removed = on_removed,
  .listed = on_listed,
  .reachable = on_reachable,
  .restored = on_restored,
};

static void
run_case (const struct restore_case *c, struct peer_script *s,
          struct report *r)
{
  struct peer_exchange exchanges[EXCHANGES_MAX + 1]
      = { { "servers ", "200 OK", 1, FIRST_LISTING } };
  const struct feed_timing timing = { .wait_ms = 2000, .pause_ms = 100 };
  const uint64_t give_up_ms = clock_ms () + WAIT_TIMEOUT_MS;
  struct peer peer;
  pthread_t thread;

  memcpy (&exchanges[1], c->exchanges, sizeof c->exchanges);
  peer_open (&peer);
  *s = (struct peer_script){ .fd = peer.fd,
                             .exchanges = exchanges,

                             .count = EXCHANGES_MAX + 1 };
  pthread_create (&thread, NULL, peer_run_script, s);
  struct objects *objects = objects_create (peer.http, peer.addr);
  struct feed *f
      = feed_create (objects, &peer.loop, "servers", timing, &events, r);
  feed_start (f);
  while (r->text.len < strlen (c->reported) && clock_ms () < give_up_ms)
    uv_run (&peer.loop, UV_RUN_ONCE);
  feed_stop (f);
  peer_stop (&peer);
  pthread_join (thread, NULL);
  feed_destroy (f);
  objects_destroy (objects);
  peer_close (&peer);
}

/* Guards against entries that are not taken in after the store came back from
   an older copy, because their revisions count as known or as passed, and
   against entries of the copy that count as removed by their writers. */
static void
test_restored (void)
{
  for (size_t i = 0; i < sizeof restore_cases / sizeof *restore_cases; i++)
    {
      const struct restore_case *c = &restore_cases[i];
      struct peer_script store;
      struct report r = { 0 };

      run_case (c, &store, &r);
      const bool ok = str_eq (buf_str (&r.text), str_from (c->reported));
      CU_ASSERT_TRUE (ok);
      CU_ASSERT_FALSE (store.unexpected);
      if (!ok || store.unexpected)
        fprintf (stderr, "%s: reported \"" STR_FMT "\", unexpected call %d\n",
                 c->name, STR_ARG (buf_str (&r.text)), store.unexpected);
      buf_free (&r.text);
    }
}

static const struct suite_case cases[] = {
  { "store restored from an older copy", test_restored },
};
TEST_SUITE ("feedera", cases)
