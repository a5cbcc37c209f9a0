#include "edge/streamorigins_store.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "edge/origindoc.h"
#include "err.h"
#include "httppeer.h"
#include "suite.h"

#define WALL_MS 1700000000000

/* ---- the document ---- */

#define ID_A "00000000000000aa"
#define ID_B "00000000000000bb"
#define ID_C "00000000000000cc"

static struct stored_stream
stream (uint64_t id, const char *service, const char *version)
{
  return (struct stored_stream){ id,
                                 { str_from (service), str_from (version) } };
}

static void
add (struct origindoc *doc, uint64_t id, const char *service,
     const char *version)
{
  const struct stored_stream s = stream (id, service, version);

  origindoc_add_stream (doc, &s, WALL_MS);
}

static int
decode_text (const char *text, uint64_t wall_ms, struct origindoc *out)
{
  json_t *json = json_loads (text, JSON_DECODE_ANY, NULL);
  const int rc = origindoc_decode (json, wall_ms, out);

  json_decref (json);
  return rc;
}

/* Guards against streams that change on the way through the store, or that are
   forgotten because the clocks of two nodes differ. */
static void
test_round_trip (void)
{
  static const struct
  {
    int64_t later_ms;
    size_t streams;
  } cases[] = { { 0, 3 },
                { STREAMORIGINS_RETENTION_MS, 3 },
                { STORED_RETENTION_MS, 3 },
                { STORED_RETENTION_MS + 1, 0 },
                { -3600 * 1000, 3 } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      const uint64_t wall_ms = (uint64_t)(WALL_MS + cases[i].later_ms);
      struct origindoc in = { 0 };
      struct origindoc out;

      add (&in, UINT64_MAX, "s", "v1");
      add (&in, 7, "s", "");
      add (&in, 8, "s", "v1");
      origindoc_add_service (&in, STR ("s"), WALL_MS);
      struct str text = origindoc_encode (&in, WALL_MS);
      CU_ASSERT_EQUAL (decode_text (text.data, wall_ms, &out), 0);
      CU_ASSERT_EQUAL (out.stream_count, cases[i].streams);
      CU_ASSERT_EQUAL (out.service_count, cases[i].streams > 0);
      if (out.group_count == 2)
        {
          CU_ASSERT_EQUAL (out.groups[0].count, 2);
          CU_ASSERT_EQUAL (out.groups[0].ids[0], UINT64_MAX);
          CU_ASSERT_EQUAL (out.groups[0].ids[1], 8);
          CU_ASSERT_TRUE (str_eq (out.groups[0].origin.service, STR ("s")));
          CU_ASSERT_TRUE (str_eq (out.groups[0].origin.version, STR ("v1")));
          CU_ASSERT_EQUAL (out.groups[1].ids[0], 7);
          CU_ASSERT_EQUAL (out.groups[1].origin.version.len, 0);
        }
      str_free (&text);
      origindoc_free (&in);
      origindoc_free (&out);
    }
}

#define GROUP(service, version, stored_ms, ids)                               \
  "{\"service\":" service ",\"version\":" version ",\"stored_ms\":" stored_ms \
  ",\"ids\":[" ids "],\"other\":{}}"
#define GOOD_GROUP GROUP ("\"s\"", "\"v1\"", "1699999999000", "\"" ID_A "\"")
#define DOCUMENT(groups, services)                                            \
  "{\"new\":7,\"streams\":[" groups "],\"several_versions\":[" services "]}"

/* Guards against a node that ends, or forgets valid streams, because another
   writer changed a copy. */
static void
test_damaged (void)
{
  static const struct
  {
    const char *text;
    int result;
    size_t streams;
    size_t services;
  } cases[] = {
    { "[]", -EBADMSG, 0, 0 },
    { "null", -EBADMSG, 0, 0 },
    { "7", -EBADMSG, 0, 0 },
    { "{}", -EBADMSG, 0, 0 },
    { "{\"streams\":[]}", -EBADMSG, 0, 0 },
    { "{\"streams\":{},\"several_versions\":[]}", -EBADMSG, 0, 0 },
    { "{\"streams\":[],\"several_versions\":\"s\"}", -EBADMSG, 0, 0 },
    { DOCUMENT ("", ""), 0, 0, 0 },
    { DOCUMENT ("1,null,[],{},\"x\"", "1,null,[],{},\"x\""), 0, 0, 0 },
    { DOCUMENT (GOOD_GROUP ",{}," GOOD_GROUP, ""), 0, 2, 0 },
    { DOCUMENT (GROUP ("7", "\"v1\"", "1699999999000", "\"" ID_A "\""), ""), 0,
      0, 0 },
    { DOCUMENT (GROUP ("\"s\"", "null", "1699999999000", "\"" ID_A "\""), ""),
      0, 0, 0 },
    { DOCUMENT (GROUP ("\"s\"", "\"v1\"", "\"1\"", "\"" ID_A "\""), ""), 0, 0,
      0 },
    { DOCUMENT (GROUP ("\"s\"", "\"v1\"", "-1", "\"" ID_A "\""), ""), 0, 0,
      0 },
    { DOCUMENT (GROUP ("\"s\"", "\"v1\"", "1", "\"" ID_A "\""), ""), 0, 0, 0 },
    { DOCUMENT (
          GROUP ("\"s\"", "\"v1\"", "9223372036854775807", "\"" ID_A "\""),
          ""),
      0, 1, 0 },
    { DOCUMENT (GROUP ("\"s\"", "\"v1\"", "1699999999000",
                       "170,null,\"aa\",\"00000000000000AA\","
                       "\"0x000000000000aa\",\"\",\"" ID_A ID_A "\",\"" ID_A
                       "\""),
                ""),
      0, 1, 0 },
    { DOCUMENT ("", "{\"service\":\"s\",\"seen_ms\":1699999999000}"), 0, 0,
      1 },
    { DOCUMENT ("", "{\"service\":\"s\",\"seen_ms\":1699999999000},"
                    "{\"service\":\"s\",\"seen_ms\":1699999999001}"),
      0, 0, 1 },
    { DOCUMENT ("", "{\"service\":\"s\",\"seen_ms\":1},{\"service\":\"t\"},"
                    "{\"service\":{},\"seen_ms\":1699999999000}"),
      0, 0, 0 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct origindoc out;

      CU_ASSERT_EQUAL (decode_text (cases[i].text, WALL_MS, &out),
                       cases[i].result);
      CU_ASSERT_EQUAL (out.stream_count, cases[i].streams);
      CU_ASSERT_EQUAL (out.service_count, cases[i].services);
      origindoc_free (&out);
    }
}

static struct str
large_document (size_t groups, size_t ids, size_t services)
{
  struct buf b = { 0 };

  buf_printf (&b, "{\"streams\":[");
  for (size_t i = 0; i < groups; i++)
    {
      buf_printf (&b,
                  "%s{\"service\":\"s%zu\",\"version\":\"v\",\"stored_ms\":%lu"
                  ",\"ids\":[",
                  i > 0 ? "," : "", i, (uint64_t)WALL_MS);
      for (size_t k = 0; k < ids; k++)
        buf_printf (&b, "%s\"%016zx\"", k > 0 ? "," : "", i * ids + k);
      buf_printf (&b, "]}");
    }
  buf_printf (&b, "],\"several_versions\":[");
  for (size_t i = 0; i < services; i++)
    buf_printf (&b, "%s{\"service\":\"s%zu\",\"seen_ms\":%lu}",
                i > 0 ? "," : "", i, (uint64_t)WALL_MS);
  buf_printf (&b, "]}");
  struct str out = str_dup (buf_str (&b));
  buf_free (&b);
  return out;
}

/* Guards against a copy of another writer that fills the memory of a node. */
static void
test_bounds (void)
{
  static const struct
  {
    size_t groups;
    size_t ids;
    size_t services;
    size_t streams_kept;
    size_t services_kept;
  } cases[] = {
    { 1, STORED_STREAMS_MAX + 500, 0, STORED_STREAMS_MAX, 0 },
    { STORED_GROUPS_MAX + 50, 2, 0, (size_t)STORED_GROUPS_MAX * 2, 0 },
    { 2, 3, STORED_SERVICES_MAX + 50, 6, STORED_SERVICES_MAX },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct str text
          = large_document (cases[i].groups, cases[i].ids, cases[i].services);
      struct origindoc out;

      CU_ASSERT_EQUAL (decode_text (text.data, WALL_MS, &out), 0);
      CU_ASSERT_EQUAL (out.stream_count, cases[i].streams_kept);
      CU_ASSERT_EQUAL (out.service_count, cases[i].services_kept);
      origindoc_free (&out);
      str_free (&text);
    }
}

/* ---- the store ---- */

#define EXCHANGES_MAX 6
#define NEEDLES_MAX 3
#define REQUEST_MAX_BYTES 8192
#define WAIT_TIMEOUT_MS 15000
#define COPY "/objects/galenagate-streams/node-1 "
#define LIST "GET /objects/galenagate-streams "
#define CREATE "POST /objects/galenagate-streams "
/* Later than now, so that the content counts as new. */
#define NEW_MS "9999999999999"
#define STORED(revision, groups, services)                                    \
  "{\"metadata\":{\"name\":\"node-1\",\"revision\":" revision                 \
  "},\"spec\":" DOCUMENT (groups, services) "}"
#define STORED_GROUP(version, id)                                             \
  GROUP ("\"s\"", "\"" version "\"", NEW_MS, "\"" id "\"")
#define STORED_SERVICE "{\"service\":\"s\",\"seen_ms\":" NEW_MS "}"
#define EMPTY_COPY(revision) STORED (revision, "", "")
#define PAGE(items, more)                                                     \
  "{\"items\":[" items "],\"more\":" more ",\"current_rev\":9}"

/**
 * struct exchange - a request and its answer.
 * @call: beginning of the request.
 * @needles: parts of the request.
 * @era: of the store, as the answer names it; 0 for none.
 */
struct exchange
{
  const char *call;
  const char *needles[NEEDLES_MAX];
  const char *status;
  unsigned era;
  const char *body;
};

/**
 * struct fake_store - a store that answers on one connection by a script.
 * @repeats: the last exchange is repeated.
 * @unexpected: a request was not the next one of the script.
 */
struct fake_store
{
  int fd;
  const struct exchange *exchanges;
  size_t count;
  bool repeats;
  _Atomic bool unexpected;
  _Atomic size_t answered;
};

static size_t
content_length (const char *head)
{
  const char *line = strcasestr (head, "\r\nContent-Length:");

  return line ? strtoul (line + 17, NULL, 10) : 0;
}

/* Reads a request with its body. */
static bool
read_request (int fd, char *out)
{
  size_t n = 0;

  for (;;)
    {
      out[n] = '\0';
      const char *end = strstr (out, "\r\n\r\n");
      if (end && n >= (size_t)(end - out) + 4 + content_length (out))
        return true;
      const ssize_t received
          = recv (fd, out + n, REQUEST_MAX_BYTES - n - 1, 0);
      if (received <= 0)
        return false;
      n += (size_t)received;
    }
}

static bool
is_expected (const struct exchange *x, const char *request)
{
  if (strncmp (request, x->call, strlen (x->call)) != 0)
    return false;
  for (size_t i = 0; i < NEEDLES_MAX && x->needles[i]; i++)
    if (!strstr (request, x->needles[i]))
      return false;
  return true;
}

static void
answer (int fd, const struct exchange *x)
{
  struct str era = x->era > 0 ? str_printf ("Store-Era: %u\r\n", x->era)
                              : (struct str){ 0 };
  struct str text
      = str_printf ("HTTP/1.1 %s\r\n" STR_FMT "Content-Length: %zu\r\n\r\n%s",
                    x->status, STR_ARG (era), strlen (x->body), x->body);

  send (fd, text.data, text.len, MSG_NOSIGNAL);
  str_free (&text);
  str_free (&era);
}

static void *
run_store (void *ctx)
{
  struct fake_store *f = ctx;
  const int fd = accept (f->fd, NULL, NULL);
  char request[REQUEST_MAX_BYTES];

  while (fd >= 0 && read_request (fd, request))
    {
      const size_t at
          = f->repeats && f->answered >= f->count ? f->count - 1 : f->answered;
      if (at >= f->count || !is_expected (&f->exchanges[at], request))
        {
          fprintf (stderr, "unexpected request %zu: %.300s\n", at, request);
          f->unexpected = true;
          break;
        }
      answer (fd, &f->exchanges[at]);
      f->answered++;
    }
  close (fd);
  return NULL;
}

static size_t
count_exchanges (const struct exchange *exchanges)
{
  size_t n = 0;

  while (n < EXCHANGES_MAX && exchanges[n].call)
    n++;
  return n;
}

/* A node with its store. */
struct node
{
  struct peer peer;
  struct fake_store fake;
  pthread_t thread;
  struct objects *objects;
  struct streamorigins *origins;
  struct streamorigins_store *store;
};

static void
open_node (struct node *n, const struct exchange *exchanges, bool repeats,
           uint64_t age_ms)
{
  *n = (struct node){ 0 };
  peer_open (&n->peer);
  n->fake = (struct fake_store){ .fd = n->peer.fd,
                                 .exchanges = exchanges,
                                 .count = count_exchanges (exchanges),
                                 .repeats = repeats };
  pthread_create (&n->thread, NULL, run_store, &n->fake);
  n->objects = objects_create (n->peer.http, n->peer.addr);
  n->origins = streamorigins_create ();
  n->store = streamorigins_store_create (n->objects, n->origins,
                                         STR ("node-1"), clock_ms () - age_ms);
}

static void
close_node (struct node *n)
{
  peer_stop (&n->peer);
  /* Ends the thread if it never had a connection. */
  shutdown (n->peer.fd, SHUT_RDWR);
  pthread_join (n->thread, NULL);
  streamorigins_store_destroy (n->store);
  streamorigins_destroy (n->origins);
  objects_destroy (n->objects);
  peer_close (&n->peer);
}

static void
see_versions (struct node *n, const char *const *versions)
{
  for (size_t i = 0; versions[i]; i++)
    streamorigins_saw_version (n->origins, STR ("s"), str_from (versions[i]),
                               clock_ms ());
}

static void
begin (struct node *n, uint64_t id, const char *version)
{
  const struct stored_stream s = stream (id, "s", version);

  streamorigins_begin (n->origins, id, 0, &s.origin, clock_ms ());
}

static void
run_for (struct node *n, uint64_t ms)
{
  const uint64_t end_ms = clock_ms () + ms;

  while (clock_ms () < end_ms)
    {
      streamorigins_store_step (n->store, 0, false, clock_ms ());
      uv_run (&n->peer.loop, UV_RUN_NOWAIT);
      usleep (1000);
    }
}

static void
run_until_answered (struct node *n, size_t answered)
{
  const uint64_t give_up_ms = clock_ms () + WAIT_TIMEOUT_MS;

  while (n->fake.answered < answered && !n->fake.unexpected
         && clock_ms () < give_up_ms)
    run_for (n, 5);
}

/* ---- this node's copy ---- */

static const char *const one_version[] = { "v1", NULL };
static const char *const two_versions[] = { "v1", "v2", NULL };

/**
 * struct copy_case - calls of a node whose stream 0xaa runs at v1.
 * @second_after: number of answers after which the stream 0xbb begins; 0 for
 *   never.
 * @other_after: likewise, after which another object is read.
 */
struct copy_case
{
  const char *name;
  const char *const *versions;
  size_t second_after;
  size_t other_after;
  struct exchange exchanges[EXCHANGES_MAX];
};

static const struct copy_case copy_cases[] = {
  { .name = "one version", .versions = one_version },
  { .name = "several versions",
    .versions = two_versions,
    .second_after = 2,
    .exchanges = { { "GET " COPY, { NULL }, "404 Not Found", 0, "{}" },
                   { CREATE,
                     { "\"name\":\"node-1\"}", ID_A,
                       "\"several_versions\":[{"
                       "\"service\":\"s\"" },
                     "201 Created",
                     0,
                     EMPTY_COPY ("90") },
                   { "PUT " COPY,
                     { "\"revision\":90", ID_A, ID_B },
                     "200 OK",
                     0,
                     EMPTY_COPY ("91") } } },
  { .name = "streams of an earlier process",
    .versions = two_versions,
    .exchanges
    = { { "GET " COPY,
          { NULL },
          "200 OK",
          0,
          STORED ("70", STORED_GROUP ("v0", ID_C), STORED_SERVICE) },
        { "PUT " COPY,
          { "\"revision\":70", ID_A, ID_C },
          "200 OK",
          0,
          EMPTY_COPY ("71") } } },
  { .name = "write of an earlier process that takes effect late",
    .versions = two_versions,
    .exchanges = { { "GET " COPY, { NULL }, "404 Not Found", 0, "{}" },
                   { CREATE, { ID_A }, "409 Conflict", 0, "{}" },
                   { "GET " COPY,
                     { NULL },
                     "200 OK",
                     0,
                     STORED ("70", STORED_GROUP ("v0", ID_C), "") },
                   { "PUT " COPY,
                     { "\"revision\":70", ID_A, ID_C },
                     "200 OK",
                     0,
                     EMPTY_COPY ("71") } } },
  { .name = "unreadable copy",
    .versions = two_versions,
    .exchanges
    = { { "GET " COPY,
          { NULL },
          "200 OK",
          0,
          "{\"metadata\":{\"name\":\"node-1\",\"revision\":70},\"spec\":[]}" },
        { "PUT " COPY,
          { "\"revision\":70", ID_A },
          "200 OK",
          0,
          EMPTY_COPY ("71") } } },
  {
      .name = "store that refuses calls",
      .versions = two_versions,
      .exchanges
      = { { "GET " COPY, { NULL }, "503 Busy", 0, "{}" },
          { "GET " COPY, { NULL }, "404 Not Found", 0, "{}" },
          { CREATE, { ID_A }, "429 Too Many", 0, "{}" },
          { CREATE, { ID_A }, "201 Created", 0, EMPTY_COPY ("90") } },
  },
  { .name = "copy lost by a restored store",
    .versions = two_versions,
    .other_after = 2,
    .exchanges
    = { { "GET " COPY, { NULL }, "404 Not Found", 0, "{}" },
        { CREATE, { ID_A }, "201 Created", 0, EMPTY_COPY ("90") },
        { "GET /objects/other/x ", { NULL }, "404 Not Found", 1, "{}" },
        { "GET " COPY, { NULL }, "404 Not Found", 1, "{}" },
        { CREATE, { ID_A }, "201 Created", 1, EMPTY_COPY ("40") } } },
};

static void
ignore_object (void *ctx, struct err err, const struct object *o)
{
  (void)ctx;
  (void)err;
  (void)o;
}

/* Guards against streams whose version is known to no node after all of them
   were killed, or after one of them was started twice, and against calls while
   servers of one version only are in service. */
static void
test_copy (void)
{
  for (size_t i = 0; i < sizeof copy_cases / sizeof *copy_cases; i++)
    {
      const struct copy_case *c = &copy_cases[i];
      struct node n;

      open_node (&n, c->exchanges, false, 0);
      see_versions (&n, c->versions);
      begin (&n, 0xaa, "v1");
      if (c->second_after > 0)
        {
          run_until_answered (&n, c->second_after);
          begin (&n, 0xbb, "v2");
        }
      if (c->other_after > 0)
        {
          run_until_answered (&n, c->other_after);
          objects_read (n.objects, "other", "x", ignore_object, NULL);
        }
      run_until_answered (&n, n.fake.count);
      /* Longer than the pause between two calls. */
      run_for (&n, 300);
      CU_ASSERT_EQUAL (n.fake.answered, n.fake.count);
      CU_ASSERT_FALSE (n.fake.unexpected);
      if (n.fake.unexpected || n.fake.answered != n.fake.count)
        fprintf (stderr, "%s: %zu of %zu calls\n", c->name,
                 (size_t)n.fake.answered, n.fake.count);
      close_node (&n);
    }
}

/* ---- questions ---- */

/* Age of a node that has seen all versions for long enough. */
#define OLD_MS (STREAMORIGINS_RETENTION_MS + 1000)

/**
 * struct ask_case - a question about the stream 0xcc.
 * @age_ms: how long the node has run.
 * @paused: it was paused until now.
 * @servers_unread: it cannot read the servers' entries.
 * @answers: least number of calls.
 * @repeats: the last exchange is repeated.
 */
struct ask_case
{
  const char *name;
  const char *const *versions;
  uint64_t age_ms;
  bool paused;
  bool servers_unread;
  struct exchange exchanges[EXCHANGES_MAX];
  size_t calls;
  bool repeats;
  enum streamorigins_answer answer;
};

static const struct ask_case ask_cases[] = {
  { .name = "node that has seen one version for long",
    .versions = one_version,
    .age_ms = OLD_MS,
    .answer = STREAMORIGINS_ONE_VERSION },
  { .name = "node that knows of one version, and may miss another one",
    .versions = one_version,
    .servers_unread = true,
    .exchanges = { { LIST, { NULL }, "200 OK", 0, PAGE ("", "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_UNKNOWN },
  { .name = "node that was paused",
    .versions = one_version,
    .age_ms = OLD_MS,
    .paused = true,
    .exchanges
    = { { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", STORED_GROUP ("v0", ID_C), STORED_SERVICE),
                "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_KNOWN },
  { .name = "nothing stored",
    .versions = one_version,
    .exchanges = { { LIST, { NULL }, "200 OK", 0, PAGE ("", "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_ONE_VERSION },
  { .name = "kind that the store does not know",
    .versions = one_version,
    .exchanges = { { LIST, { NULL }, "404 Not Found", 0, "{}" } },
    .calls = 1,
    .answer = STREAMORIGINS_ONE_VERSION },
  { .name = "several versions of another service stored",
    .versions = one_version,
    .exchanges
    = { { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", "", "{\"service\":\"t\",\"seen_ms\":" NEW_MS "}"),
                "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_ONE_VERSION },
  { .name = "several versions stored long ago",
    .versions = one_version,
    .exchanges
    = { { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", GROUP ("\"s\"", "\"v0\"", "1000", "\"" ID_C "\""),
                        "{\"service\":\"s\",\"seen_ms\":1000}"),
                "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_ONE_VERSION },
  { .name = "stream stored",
    .versions = one_version,
    .exchanges
    = { { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", STORED_GROUP ("v0", ID_C), STORED_SERVICE),
                "false") } },
    .calls = 1,
    .answer = STREAMORIGINS_KNOWN },
  { .name = "stream on the second page",
    .versions = one_version,
    .exchanges
    = { { LIST, { NULL }, "200 OK", 0, PAGE (EMPTY_COPY ("5"), "true") },
        { "GET /objects/galenagate-streams?after=node-1 ",
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("6", STORED_GROUP ("v0", ID_C), STORED_SERVICE),
                "false") } },
    .calls = 2,
    .answer = STREAMORIGINS_KNOWN },
  { .name = "stream stored after the first listing",
    .versions = two_versions,
    .age_ms = OLD_MS,
    .exchanges
    = { { LIST, { NULL }, "200 OK", 0, PAGE ("", "false") },
        { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", STORED_GROUP ("v2", ID_C), STORED_SERVICE),
                "false") } },
    .calls = 2,
    .answer = STREAMORIGINS_KNOWN },
  { .name = "several versions stored, and not the stream",
    .versions = one_version,
    .exchanges
    = { { LIST,
          { NULL },
          "200 OK",
          0,
          PAGE (STORED ("5", STORED_GROUP ("v0", ID_A), STORED_SERVICE),
                "false") } },
    .calls = 2,
    .repeats = true,
    .answer = STREAMORIGINS_UNKNOWN },
  { .name = "several versions seen, and the stream not stored",
    .versions = two_versions,
    .exchanges = { { LIST, { NULL }, "200 OK", 0, PAGE ("", "false") } },
    .calls = 2,
    .repeats = true,
    .answer = STREAMORIGINS_UNKNOWN },
  { .name = "store that refuses calls",
    .versions = one_version,
    .exchanges = { { LIST, { NULL }, "503 Busy", 0, "{}" } },
    .calls = 2,
    .repeats = true,
    .answer = STREAMORIGINS_UNKNOWN },
  { .name = "list that is no list",
    .versions = one_version,
    .exchanges = { { LIST, { NULL }, "200 OK", 0, "{\"items\":7}" } },
    .calls = 2,
    .repeats = true,
    .answer = STREAMORIGINS_UNKNOWN },
  { .name = "page that can't be left",
    .versions = one_version,
    .exchanges = { { LIST, { NULL }, "200 OK", 0, PAGE ("7", "true") } },
    .calls = 2,
    .repeats = true,
    .answer = STREAMORIGINS_UNKNOWN },
};

/* Asks until the answer is known. */
static enum streamorigins_answer
ask (struct node *n, uint64_t id, bool servers_read)
{
  const uint64_t since_ms = clock_ms ();
  enum streamorigins_answer a;

  const struct streamorigins_question question
      = { .id = id,
          .service = STR ("s"),
          .since_ms = since_ms,
          .servers_read_ms = servers_read ? since_ms : since_ms - 1 };
  while ((a = streamorigins_store_ask (n->store, &question, clock_ms ()))
             == STREAMORIGINS_ASKING
         && clock_ms () < since_ms + WAIT_TIMEOUT_MS)
    run_for (n, 5);
  return a;
}

/* Guards against a stream that goes on at another version than the one that
   began it, because its node was killed with all others. */
static void
test_ask (void)
{
  for (size_t i = 0; i < sizeof ask_cases / sizeof *ask_cases; i++)
    {
      const struct ask_case *c = &ask_cases[i];
      struct node n;

      open_node (&n, c->exchanges, c->repeats, c->age_ms);
      see_versions (&n, c->versions);
      if (c->paused)
        streamorigins_store_step (n.store, 0, false, clock_ms ());
      const enum streamorigins_answer a = ask (&n, 0xcc, !c->servers_unread);
      CU_ASSERT_EQUAL (a, c->answer);
      CU_ASSERT_TRUE (c->repeats ? n.fake.answered >= c->calls
                                 : n.fake.answered == c->calls);
      CU_ASSERT_FALSE (n.fake.unexpected);
      if (a != c->answer)
        fprintf (stderr, "%s: %d after %zu calls\n", c->name, a,
                 (size_t)n.fake.answered);
      close_node (&n);
    }
}

/* Guards against a call to the store for each stream that is taken up while
   all servers are of one version, after all nodes were started again. */
static void
test_listing_shared (void)
{
  static const struct exchange exchanges[EXCHANGES_MAX]
      = { { LIST,
            { NULL },
            "200 OK",
            0,
            PAGE (STORED ("5",
                          GROUP ("\"t\"", "\"v0\"", NEW_MS,
                                 "\"" ID_A "\",\"" ID_B "\""),
                          ""),
                  "false") } };
  struct node n;

  open_node (&n, exchanges, false, 0);
  see_versions (&n, one_version);
  CU_ASSERT_EQUAL (ask (&n, 0xcc, true), STREAMORIGINS_ONE_VERSION);
  CU_ASSERT_EQUAL (ask (&n, 0xdd, true), STREAMORIGINS_ONE_VERSION);
  CU_ASSERT_EQUAL (ask (&n, 0xaa, true), STREAMORIGINS_KNOWN);
  CU_ASSERT_EQUAL (ask (&n, 0xbb, true), STREAMORIGINS_KNOWN);
  run_for (&n, 300);
  CU_ASSERT_EQUAL (n.fake.answered, 1);
  CU_ASSERT_FALSE (n.fake.unexpected);
  close_node (&n);
}

static const struct suite_case cases[] = {
  { "round trip", test_round_trip },
  { "damaged", test_damaged },
  { "bounds", test_bounds },
  { "this node's copy", test_copy },
  { "questions", test_ask },
  { "listing for several questions", test_listing_shared },
};
TEST_SUITE ("streamoriginsstore", cases)
