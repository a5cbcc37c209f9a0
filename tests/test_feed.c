#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "err.h"
#include "httppeer.h"
#include "platform/feed.h"
#include "suite.h"

/* Lists of the store whose pages hold entries with names that can't be read.
 */

#define PAGES_MAX 4
#define WAIT_TIMEOUT_MS 15000
#define ITEM(name)                                                            \
  "{\"metadata\":{\"name\":" name ",\"revision\":5},\"spec\":{}}"
#define PAGE(items, more)                                                     \
  "{\"items\":[" items "],\"more\":" more ",\"current_rev\":9}"

/**
 * struct listing - a list and what a feed makes of it.
 * @pages: answers to the first list calls; the last one is repeated.
 * @again: answer to the list calls after the store has dropped the history at
 *   the first watch; NULL if it has not.
 * @cursors: "after" of the calls, separated by blanks; "-" for none.
 * @changed: names reported, in that order, each followed by a blank.
 * @removed: likewise.
 */
struct listing
{
  const char *name;
  const char *pages[PAGES_MAX];
  const char *again;
  const char *cursors;
  const char *changed;
  const char *removed;
};

static const struct listing listings[] = {
  { .name = "one page",
    .pages = { PAGE (ITEM ("\"a\"") "," ITEM ("\"b\""), "false") },
    .cursors = "- ",
    .changed = "a b " },
  { .name = "odd names",
    .pages
    = { PAGE (ITEM ("\"a&b\""), "true"), PAGE (ITEM ("\"b +%#\""), "true"),
        PAGE (ITEM ("\"c\""), "false") },
    .cursors = "- a%26b b%20%2B%25%23 ",
    .changed = "a&b b +%# c " },
  { .name = "name of another type",
    .pages = { PAGE (ITEM ("\"a\"") "," ITEM ("7"), "true"),
               PAGE (ITEM ("\"b\""), "false") },
    .cursors = "- a ",
    .changed = "a b " },
  /* The replaced character sorts behind names that follow. */
  { .name = "name replaced in part",
    .pages = { PAGE (ITEM ("\"a\"") "," ITEM ("\"m\\u0000\""), "true"),
               PAGE (ITEM ("\"m\\u0000\"") "," ITEM ("\"m1\""), "false") },
    .cursors = "- a ",
    .changed = "a m? m1 " },
  { .name = "page that can't be left",
    .pages
    = { PAGE (ITEM ("\"a\""), "true"), PAGE (ITEM ("\"m\xff\""), "true") },
    .cursors = "- a m%3F ",
    .changed = "a m? " },
  { .name = "page without readable names",
    .pages = { PAGE (ITEM ("\"a\""), "true"), PAGE (ITEM ("7"), "true") },
    .cursors = "- a ",
    .changed = "a " },
  { .name = "listed again, one is gone",
    .pages = { PAGE (ITEM ("\"a\"") "," ITEM ("\"b\""), "false") },
    .again = PAGE (ITEM ("\"a\""), "false"),
    .cursors = "- - ",
    .changed = "a b ",
    .removed = "b " },
  { .name = "listed again, not to the end",
    .pages = { PAGE (ITEM ("\"a\"") "," ITEM ("\"b\""), "false") },
    .again = PAGE (ITEM ("7"), "true"),
    .cursors = "- - ",
    .changed = "a b " },
};

/* ---- the store ---- */

struct paging_peer
{
  int fd;
  const struct listing *listing;
  struct buf cursors;
  bool history_dropped;
};

/* Records the cursor of a list call. Returns false for a watch. */
static bool
record_cursor (struct paging_peer *p, const char *request)
{
  const char *line_end = strstr (request, " HTTP/1.1");
  const char *after = strstr (request, "?after=");

  if (strstr (request, "?watch="))
    return false;
  if (after && after < line_end)
    buf_append (&p->cursors,
                (struct str){ after + 7, (size_t)(line_end - after - 7) });
  else
    buf_append (&p->cursors, STR ("-"));
  buf_append (&p->cursors, STR (" "));
  return true;
}

static const char *
page_at (const struct paging_peer *p, size_t i)
{
  const struct listing *l = p->listing;

  if (p->history_dropped)
    return l->again;
  while (i > 0 && (i >= PAGES_MAX || !l->pages[i]))
    i--;
  return l->pages[i];
}

static void
send_answer (int fd, const char *status, const char *body)
{
  struct str answer
      = str_printf ("HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", status,
                    strlen (body), body);

  send (fd, answer.data, answer.len, MSG_NOSIGNAL);
  str_free (&answer);
}

/* Answers a call, or returns false to leave it unanswered. */
static bool
answer_call (struct paging_peer *p, int fd, const char *request, size_t i)
{
  if (record_cursor (p, request))
    send_answer (fd, "200 OK", page_at (p, i));
  else if (p->listing->again && !p->history_dropped)
    {
      p->history_dropped = true;
      send_answer (fd, "410 Gone", "{}");
    }
  else
    return false;
  return true;
}

/* Answers calls on one connection up to the last watch, or to a call beyond
   the last page. */
static void *
run_paging_peer (void *ctx)
{
  struct paging_peer *p = ctx;
  const int fd = accept (p->fd, NULL, NULL);
  char request[2048];

  for (size_t i = 0; i <= PAGES_MAX; i++)
    {
      if (!peer_read_request_text (fd, request, sizeof request)
          || !answer_call (p, fd, request, i))
        break;
    }
  recv (fd, request, sizeof request, 0);
  close (fd);
  return NULL;
}

/* ---- the feed ---- */

struct outcome
{
  struct buf changed;
  struct buf removed;
  int listed; /* number of complete listings */
};

static void
on_changed (void *ctx, const struct object *o)
{
  struct outcome *r = ctx;

  buf_append (&r->changed, o->name);
  buf_append (&r->changed, STR (" "));
}

static void
on_removed (void *ctx, struct str name)
{
  struct outcome *r = ctx;

  buf_append (&r->removed, name);
  buf_append (&r->removed, STR (" "));
}

static void
on_listed (void *ctx)
{
  struct outcome *r = ctx;

  r->listed++;
}

static void
on_reachable (void *ctx, bool reachable)
{
  (void)ctx;
  (void)reachable;
}

static const struct feed_events events = { .changed = on_changed,
                                           .removed = on_removed,
                                           .listed = on_listed,
                                           .reachable = on_reachable };

static int
listing_count (const struct listing *l)
{
  return l->again ? 2 : 1;
}

static void
read_listing (struct paging_peer *p, struct outcome *r)
{
  const struct feed_timing timing = { .wait_ms = 2000, .pause_ms = 100 };
  const uint64_t give_up_ms = clock_ms () + WAIT_TIMEOUT_MS;
  struct peer peer;
  pthread_t thread;

  peer_open (&peer);
  p->fd = peer.fd;
  pthread_create (&thread, NULL, run_paging_peer, p);
  struct objects *objects = objects_create (peer.http, peer.addr);
  struct feed *f
      = feed_create (objects, &peer.loop, "servers", timing, &events, r);
  feed_start (f);
  while (r->listed < listing_count (p->listing) && clock_ms () < give_up_ms)
    uv_run (&peer.loop, UV_RUN_ONCE);
  feed_stop (f);
  peer_stop (&peer);
  pthread_join (thread, NULL);
  feed_destroy (f);
  objects_destroy (objects);
  peer_close (&peer);
}

/* Guards against a list that is never read to its end, or that loses entries,
   because of a name that the store does not get back as it was. */
static void
test_pages (void)
{
  for (size_t i = 0; i < sizeof listings / sizeof *listings; i++)
    {
      const struct listing *l = &listings[i];
      struct paging_peer peer = { .listing = l };
      struct outcome r = { 0 };

      read_listing (&peer, &r);
      const bool ok = str_eq (buf_str (&peer.cursors), str_from (l->cursors))
                      && str_eq (buf_str (&r.changed), str_from (l->changed))
                      && str_eq (buf_str (&r.removed), str_from (l->removed));
      CU_ASSERT_TRUE (ok);
      CU_ASSERT_EQUAL (r.listed, listing_count (l));
      if (!ok)
        fprintf (stderr,
                 "%s: cursors \"%s\", changed \"%s\", removed \"%s\"\n",
                 l->name, buf_str (&peer.cursors).data,
                 buf_str (&r.changed).data, buf_str (&r.removed).data);
      buf_free (&peer.cursors);
      buf_free (&r.changed);
      buf_free (&r.removed);
    }
}

static const struct suite_case cases[] = {
  { "pages", test_pages },
};
TEST_SUITE ("feed", cases)
