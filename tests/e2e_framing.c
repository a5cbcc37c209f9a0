#include <stdio.h>
#include <string.h>

#include "cluster_conn.h"
#include "edgecluster.h"
#include "suite.h"

/* Requests whose end readers of a connection may find at different places. The
   checks are what a server ran, and with which body. */

#define HEAD(id)                                                              \
  "Host: test.example\r\nX-Galenagate-Deadline-Ms: 6000\r\n"                  \
  "X-Galenagate-Attempt-Id: " id "\r\n"
#define POST(id) "POST /once/x HTTP/1.1\r\n" HEAD (id)
#define CHUNKED "Transfer-Encoding: chunked\r\n"
/* Asks to continue the connection in HTTP/2. */
#define HTTP2                                                                 \
  "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"                   \
  "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
/* A request within the body of another one. */
#define INNER POST ("id-inner") "Content-Length: 0\r\n\r\n"

struct framing_fixture
{
  struct edgecluster edges;
  struct cluster_proc *edge;
  struct cluster_proc *server;
};

static struct framing_fixture
start_framing_fixture (void)
{
  struct framing_fixture f = { .edges = edgecluster_create () };
  struct cluster *c = f.edges.cluster;

  f.server = cluster_server (c, "plain", "a", NULL);
  edgecluster_put_server (&f.edges, f.server, "ready", "[]");
  edgecluster_configure (&f.edges, 5000);
  f.edge = cluster_edge (c, "a", CLUSTER_FLAGS ("--retry-slack", "54"));
  CU_ASSERT_TRUE_FATAL (cluster_ready (c));
  return f;
}

struct malformed_request
{
  const char *name;
  const char *text;
};

static const struct malformed_request malformed_requests[] = {
  { "two lengths, none first",
    POST ("id-outer") "Content-Length: 0\r\nContent-Length: 140\r\n"
                      "\r\n" INNER },
  { "two lengths, none last",
    POST ("id-outer") "Content-Length: 9\r\nContent-Length: 0\r\n"
                      "\r\n123456789" INNER },
  { "two lengths, body incomplete",
    POST ("id-outer") "Content-Length: 9000\r\nContent-Length: 9\r\n"
                      "\r\n123456789" },
  { "length and chunks", POST ("id-outer") "Content-Length: 140\r\n" CHUNKED
                                           "\r\n0\r\n\r\n" INNER },
  { "chunks and length",
    POST ("id-outer") CHUNKED "Content-Length: 5\r\n\r\n0\r\n\r\n" INNER },
  { "two codings", POST ("id-outer") "Transfer-Encoding: identity\r\n" CHUNKED
                                     "\r\n0\r\n\r\n" INNER },
  { "chunked twice", POST ("id-outer") CHUNKED CHUNKED "\r\n0\r\n\r\n" INNER },
  { "chunks in HTTP/1.0",
    "POST /once/x HTTP/1.0\r\nConnection: keep-alive\r\n" HEAD ("id-outer")
        CHUNKED "\r\n0\r\n\r\n" INNER },
  { "continued length",
    POST ("id-outer") "Content-Length: 0\r\n 140\r\n\r\n" INNER },
  { "blank behind a name",
    POST ("id-outer") "Content-Length : 140\r\n\r\n" INNER },
  { "two hosts", POST ("id-outer") "Host: other.example\r\n\r\n" },
  { "chunk size with a prefix",
    POST ("id-outer") CHUNKED "\r\n0x8c\r\n\r\n" INNER },
  { "chunk size with a letter",
    POST ("id-outer") CHUNKED "\r\n0g\r\n\r\n" INNER },
  { "chunk size and LF", POST ("id-outer") CHUNKED "\r\n0\n\r\n" INNER },
  { "extension and LF", POST ("id-outer") CHUNKED "\r\n0;a\n\r\n" INNER },
  { "extension with CR",
    POST ("id-outer") CHUNKED "\r\n0;a\rb\r\n\r\n" INNER },
  { "chunk longer than its size",
    POST ("id-outer") CHUNKED "\r\n2\r\nabcd\r\n0\r\n\r\n" INNER },
  { "chunk that ends with LF",
    POST ("id-outer") CHUNKED "\r\n2\r\nab\n0\r\n\r\n" INNER },
  { "trailer that is no field",
    POST ("id-outer") CHUNKED "\r\n0\r\nGET / HTTP/1.1\r\n\r\n" INNER },
  { "two lengths, then HTTP/2",
    POST ("id-outer") HTTP2 "Content-Length: 0\r\nContent-Length: 140\r\n"
                            "\r\n" },
  { "length and chunks, then HTTP/2",
    POST ("id-outer") HTTP2 "Content-Length: 5\r\n" CHUNKED "\r\n0\r\n\r\n" },
  { "two codings, then HTTP/2", POST ("id-outer") HTTP2
    "Transfer-Encoding: identity\r\n" CHUNKED "\r\n0\r\n\r\n" },
  { "continued line, then HTTP/2",
    POST ("id-outer") HTTP2 "X-A: b\r\n c\r\n\r\n" },
  { "behind a sound request",
    "GET /plain/x HTTP/1.1\r\n" HEAD ("id-sound") "\r\n" POST (
        "id-outer") "Content-Length: 0\r\nContent-Length: 140\r\n\r\n" INNER },
  { "behind a sound request, then HTTP/2",
    "GET /plain/x HTTP/1.1\r\n" HEAD ("id-sound") "\r\n" POST ("id-outer")
        HTTP2 "X-A: b\r\n c\r\n\r\n" },
};

/* Returns how often a part of a malformed request was run. */
static json_int_t
count_runs (const struct framing_fixture *f)
{
  return edgecluster_run_count (f->server, "id-outer")
         + edgecluster_run_count (f->server, "id-inner");
}

/* Returns true if the malformed request of the case got 400, the connection
   was closed, and nothing of it was run. */
static bool
is_refused (const struct framing_fixture *f, const struct malformed_request *m)
{
  const json_int_t runs_before = count_runs (f);
  struct connection c = connection_open (f->edge, 0);
  struct answer a;
  bool closed;

  connection_send (&c, m->text);
  a = connection_read_answer (&c);
  if (a.status == 200)
    a = connection_read_answer (&c);
  closed = !connection_receive (&c) && c.received.len == 0;
  connection_close (&c);
  return a.status == 400 && a.whole && a.closes && closed
         && count_runs (f) == runs_before;
}

/* Guards against a part of a request's body that is run as a request of its
   own, and against a request that is run with another body than its client
   meant (request smuggling). */
static void
test_malformed (void)
{
  struct framing_fixture f = start_framing_fixture ();

  for (size_t i = 0;
       i < sizeof malformed_requests / sizeof *malformed_requests; i++)
    {
      const bool ok = is_refused (&f, &malformed_requests[i]);

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "not refused: %s\n", malformed_requests[i].name);
    }
  CU_ASSERT_EQUAL (edgecluster_run_count (f.server, "id-sound"), 2);
  edgecluster_destroy (&f.edges);
}

/* Guards against sound requests that the check of malformed ones refuses, or
   whose body it changes. */
static void
test_sound (void)
{
  static const struct
  {
    const char *name;
    const char *text; /* the answers are all alike */
    int answers;
    const char *body;
  } cases[] = {
    { "no body", POST ("id-s") "\r\n", 1, "POST /once/x " },
    { "length", POST ("id-s") "Content-Length: 5\r\n\r\nhello", 1,
      "POST /once/x hello" },
    { "the same length twice",
      POST ("id-s") "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 1,
      "POST /once/x hello" },
    { "HTTP/1.0",
      "POST /once/x HTTP/1.0\r\n" HEAD ("id-s") "Content-Length: 5\r\n"
                                                "\r\nhello",
      1, "POST /once/x hello" },
    { "lines that end with LF",
      "POST /once/x HTTP/1.1\nHost: test.example\nContent-Length: 5\n"
      "X-Galenagate-Deadline-Ms: 6000\nX-Galenagate-Attempt-Id: id-s\n\nhello",
      1, "POST /once/x hello" },
    { "chunks", POST ("id-s") CHUNKED "\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
      1, "POST /once/x hello" },
    { "coding in other letters",
      POST ("id-s") "transfer-encoding:\tChunkeD\r\n\r\n5\r\nhello\r\n0\r\n"
                    "\r\n",
      1, "POST /once/x hello" },
    { "sizes with zeros and capitals",
      POST ("id-s") CHUNKED "\r\n00A\r\nhellohello\r\n000\r\n\r\n", 1,
      "POST /once/x hellohello" },
    { "extensions",
      POST ("id-s") CHUNKED "\r\n5;a=1;b=\"2 ;3\"\r\nhello\r\n0 ;last\r\n\r\n",
      1, "POST /once/x hello" },
    { "trailers",
      POST ("id-s") CHUNKED "\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\nX-More:\r\n"
                            "\r\n",
      1, "POST /once/x hello" },
    { "a body like a request",
      POST ("id-s") CHUNKED "\r\n5\r\n0\r\n\r\n\r\n0"
                            "\r\n\r\n",
      1, "POST /once/x 0\r\n\r\n" },
    { "Expect",
      POST ("id-s") "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
      1, "POST /once/x hello" },
    { "several, an empty line between them",
      POST ("id-s") "Content-Length: 5\r\n\r\nhello\r\n" POST ("id-s") CHUNKED
      "\r\n5\r\nhello\r\n0\r\n\r\n" POST (
          "id-s") "Content-Length: 5\r\n\r\nhello",
      3, "POST /once/x hello" },
  };
  struct framing_fixture f = start_framing_fixture ();

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct connection c = connection_open (f.edge, 0);

      CU_ASSERT_TRUE (connection_send (&c, cases[i].text));
      for (int j = 0; j < cases[i].answers; j++)
        {
          const struct answer a = connection_read_answer (&c);
          const bool ok
              = a.status == 200 && strcmp (a.body, cases[i].body) == 0;

          CU_ASSERT_TRUE (ok);
          if (!ok)
            fprintf (stderr, "%s, answer %d: %d \"%s\"\n", cases[i].name, j,
                     a.status, a.body);
        }
      connection_close (&c);
    }
  edgecluster_destroy (&f.edges);
}

static const struct suite_case cases[] = {
  { "malformed", test_malformed },
  { "sound", test_sound },
};
TEST_SUITE ("framing", cases)
