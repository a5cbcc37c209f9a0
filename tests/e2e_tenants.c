#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "edgecluster.h"
#include "suite.h"

/* Keys and tenants, with real processes: what clients are answered, and what
   servers receive. */

#define WAIT_TIMEOUT_MS 15000
#define ROUTE_TIMEOUT_MS 6000
#define M1_ONLY "[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]"
#define HEADERS_MAX 8

#define KEY_1 "Authorization: Bearer first-key"
#define KEY_2 "Authorization: bEaReR second-key"
#define UNKNOWN_KEY "Authorization: Bearer third-key"
#define TENANT_1                                                              \
  "{\"name\":\"t1\",\"api_keys\":[\"first-key\"],\"priority\":0}"
#define TENANT_2 "{\"name\":\"t2\",\"api_keys\":[\"second-key\"]}"
#define BOTH_TENANTS "[" TENANT_1 "," TENANT_2 "]"

static struct edgecluster edges;

/* Starts a node with a plain server and a model server that holds m1 and sends
   its events slowly, under a configuration with @tenants. */
static struct cluster_proc *
start (const char *tenants, struct cluster_proc *servers[2])
{
  edges = edgecluster_create ();
  servers[0] = cluster_server (edges.cluster, "plain", "a", NULL);
  servers[1] = cluster_server (
      edges.cluster, "lm", "a",
      CLUSTER_FLAGS ("--models", "m1", "--event-gap-ms", "450"));
  edgecluster_put_server (&edges, servers[0], "ready", "[]");
  edgecluster_put_server (&edges, servers[1], "ready", M1_ONLY);
  edges.tenants = tenants;
  edgecluster_configure (&edges, ROUTE_TIMEOUT_MS);

  struct cluster_proc *edge = cluster_edge (edges.cluster, "a", NULL);

  CU_ASSERT_TRUE_FATAL (cluster_ready (edges.cluster));
  return edge;
}

/* Fills @lines with the header lines of a call and @more ones. */
static void
call_lines (const char *lines[HEADERS_MAX], const char *id_line,
            const char *const *more)
{
  size_t n = 0;

  lines[n++] = "Host: test.example";
  lines[n++] = "X-Galenagate-Model: m1";
  lines[n++] = id_line;
  for (; more && *more && n < HEADERS_MAX - 1; more++)
    lines[n++] = *more;
  lines[n] = NULL;
}

static struct cluster_reply
call (const struct cluster_proc *edge, const char *path, const char *id,
      const char *const *headers)
{
  const char *lines[HEADERS_MAX];
  char id_line[96];

  snprintf (id_line, sizeof id_line, "X-Galenagate-Attempt-Id: %s", id);
  call_lines (lines, id_line, headers);
  return cluster_http (edge, "POST", path, lines, "b", EDGE_CALL_TIMEOUT_MS);
}

static struct cluster_request *
call_begin (const struct cluster_proc *edge, const char *path, const char *id,
            const char *key)
{
  const char *lines[HEADERS_MAX];
  char id_line[96];

  snprintf (id_line, sizeof id_line, "X-Galenagate-Attempt-Id: %s", id);
  call_lines (lines, id_line, CLUSTER_FLAGS (key));
  return cluster_http_start (edge, "POST", path, lines, "b",
                             EDGE_CALL_TIMEOUT_MS);
}

/* Returns true if the last call that reached the server had the header with
   this value, or had no such header if @value is NULL. */
static bool
received (const struct cluster_proc *server, const char *name,
          const char *value)
{
  json_t *counts = cluster_get_json (server, "/counts");
  const char *found = json_string_value (
      json_object_get (json_object_get (counts, "headers"), name));
  const bool same = value ? found && strcmp (found, value) == 0 : !found;

  json_decref (counts);
  return same;
}

/* Guards against calls that pass without a key or are refused with one, and
   against keys and invented tenants that reach a server. */
static void
test_keys (void)
{
  static const struct
  {
    const char *path;
    const char *headers[4];
    long status;
    const char *tenant; /* that the server receives; NULL: none */
  } cases[] = {
    { "/plain/x", { KEY_1 }, 200, "t1" },
    { "/plain/x", { KEY_2 }, 200, "t2" },
    { "/plain/x", { KEY_1, KEY_1 }, 200, "t1" },
    { "/plain/x", { NULL }, 401, NULL },
    { "/plain/x", { UNKNOWN_KEY }, 401, NULL },
    { "/plain/x", { KEY_1, KEY_2 }, 401, NULL },
    { "/plain/x", { "Authorization: Basic first-key" }, 401, NULL },
    { "/plain/x", { "X-Galenagate-Tenant: t1" }, 401, NULL },
    { "/plain/x",
      { KEY_1, "x-galenagate-TENANT: t2", "X-Galenagate-Tenant: t3" },
      200,
      "t1" },
    { "/open/x", { NULL }, 200, NULL },
    { "/open/x", { UNKNOWN_KEY }, 200, NULL },
    { "/open/x", { KEY_1, KEY_2 }, 200, NULL },
    { "/open/x", { KEY_2 }, 200, "t2" },
    { "/open/x",
      { "x-galenagate-TENANT: t1", "X-Galenagate-Tenant: t2" },
      200,
      NULL },
    { "/none/x", { NULL }, 404, NULL },
  };
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start (BOTH_TENANTS, servers);
  char id[32];

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      snprintf (id, sizeof id, "id-%zu", i);
      struct cluster_reply r
          = call (edge, cases[i].path, id, cases[i].headers);
      bool ok = r.status == cases[i].status
                && edgecluster_run_count (servers[0], id)
                       == (cases[i].status == 200);

      if (cases[i].status == 200)
        ok = ok && received (servers[0], "authorization", NULL)
             && received (servers[0], "x-galenagate-tenant", cases[i].tenant);
      if (cases[i].status == 401)
        ok = ok
             && str_eq (cluster_header (&r, "www-authenticate"),
                        STR ("Bearer"));
      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "case %zu: status %ld\n", i, r.status);
      cluster_reply_free (&r);
    }
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=call", "id=id-1 ", "tenant=t2 ",
                                   "end=served", NULL }));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=call", "id=id-4 ", "status=401",
                                   "reason=unknown-key", NULL }));
  CU_ASSERT_EQUAL (
      edgecluster_log_line (edge, (const char *const[]){ "first-key", NULL }),
      0);
  CU_ASSERT_EQUAL (
      edgecluster_log_line (edge, (const char *const[]){ "third-key", NULL }),
      0);
  edgecluster_destroy (&edges);
}

/* Guards against dropping both headers where the configuration has no tenants,
   and against an empty list that lets calls pass. */
static void
test_lists (void)
{
  static const char *const headers[]
      = { KEY_1, "X-Galenagate-Tenant: t9", NULL };
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start (NULL, servers);
  struct cluster_reply r = call (edge, "/plain/x", "id-1", headers);

  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT_TRUE (received (servers[0], "authorization", "Bearer first-key"));
  CU_ASSERT_TRUE (received (servers[0], "x-galenagate-tenant", "t9"));
  cluster_reply_free (&r);
  edgecluster_destroy (&edges);

  edge = start ("[]", servers);
  r = call (edge, "/plain/x", "id-2", headers);
  CU_ASSERT_EQUAL (r.status, 401);
  CU_ASSERT_EQUAL (edgecluster_run_count (servers[0], "id-2"), 0);
  cluster_reply_free (&r);
  edgecluster_destroy (&edges);
}

/* Guards against a tenant's priority that does not override the route's. */
static void
test_priority (void)
{
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start (BOTH_TENANTS, servers);
  static const struct
  {
    const char *key;
    const char *priority;
  } cases[] = { { KEY_1, "0" }, { KEY_2, "1" } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct cluster_reply r
          = call (edge, "/whole/x", "id-1", CLUSTER_FLAGS (cases[i].key));

      CU_ASSERT_EQUAL (r.status, 200);
      CU_ASSERT_TRUE (received (servers[1], "x-galenagate-request-priority",
                                cases[i].priority));
      cluster_reply_free (&r);
    }
  edgecluster_destroy (&edges);
}

/* A call with a key and the status expected for it. */
struct expected_status
{
  const struct cluster_proc *edge;
  const char *path;
  const char *key;
  long status;
};

static bool
has_status (void *ctx)
{
  const struct expected_status *x = ctx;
  struct cluster_reply r
      = call (x->edge, x->path, "id-poll", CLUSTER_FLAGS (x->key));
  const bool ok = r.status == x->status;

  cluster_reply_free (&r);
  return ok;
}

static size_t
ignore_body (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

/* Sends a call with the key first-key on the connection of the handle. */
static long
call_on_handle (CURL *curl, const struct cluster_proc *edge)
{
  struct str url = str_printf ("%s/plain/x", edge->url);
  struct curl_slist *list = curl_slist_append (NULL, "Host: test.example");
  long status = 0;

  list = curl_slist_append (list, "X-Galenagate-Attempt-Id: id-kept");
  list = curl_slist_append (list, KEY_1);
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, ignore_body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (list);
  str_free (&url);
  return status;
}

/* Guards against a removed key that still works, on a new connection, on a
   kept one or for a call that waits for a server, and against ending calls
   that run. */
static void
test_key_removed (void)
{
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start (BOTH_TENANTS, servers);
  CURL *curl = curl_easy_init ();
  long connects = -1;

  CU_ASSERT_EQUAL (call_on_handle (curl, edge), 200);
  edgecluster_put_full_server (&edges, servers[0]);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=call", "id=id-kept", NULL }));
  struct cluster_request *stream
      = call_begin (edge, "/whole/x", "id-stream", KEY_1);
  usleep (600000);
  struct cluster_request *waiting
      = call_begin (edge, "/plain/x", "id-waiting", KEY_1);
  struct cluster_request *other
      = call_begin (edge, "/plain/x", "id-other", KEY_2);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=wait", "id=id-waiting", NULL }));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=wait", "id=id-other", NULL }));
  edges.tenants = "[" TENANT_2 "]";
  edgecluster_configure (&edges, ROUTE_TIMEOUT_MS);

  struct cluster_reply r = cluster_http_wait (waiting);
  CU_ASSERT_EQUAL (r.status, 401);
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (call_on_handle (curl, edge), 401);
  curl_easy_getinfo (curl, CURLINFO_NUM_CONNECTS, &connects);
  CU_ASSERT_EQUAL (connects, 0);
  struct expected_status x = { edge, "/whole/x", KEY_1, 401 };
  CU_ASSERT_TRUE (has_status (&x));
  edgecluster_put_server (&edges, servers[0], "ready", "[]");
  r = cluster_http_wait (other);
  CU_ASSERT_EQUAL (r.status, 200);
  cluster_reply_free (&r);
  r = cluster_http_wait (stream);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT (str_eq (buf_str (&r.body), edgecluster_whole_stream ()));
  cluster_reply_free (&r);
  CU_ASSERT_EQUAL (edgecluster_run_count (servers[0], "id-waiting"), 0);
  curl_easy_cleanup (curl);
  edgecluster_destroy (&edges);
}

/* Guards against a version with a malformed tenant that takes effect in part,
   and against a log line that does not name the tenant or contains its key. */
static void
test_malformed_tenants (void)
{
  struct cluster_proc *servers[2];
  struct cluster_proc *edge = start ("[" TENANT_1 "]", servers);
  char marker[32];

  snprintf (marker, sizeof marker, "/v%lu/x", edges.version);
  edges.tenants
      = "[" TENANT_2 ",{\"name\":\"t3\",\"api_keys\":[\"second-key\"]}]";
  edgecluster_configure (&edges, ROUTE_TIMEOUT_MS);
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=tenant-malformed", "index=1",
                                   "tenant=\"t3\"", NULL }));
  CU_ASSERT_TRUE (edgecluster_wait_logged (
      edge, (const char *const[]){ "event=config-unreadable", NULL }));
  CU_ASSERT_EQUAL (
      edgecluster_log_line (edge, (const char *const[]){ "second-key", NULL }),
      0);
  struct expected_status kept[] = { { edge, "/plain/x", KEY_1, 200 },
                                    { edge, "/plain/x", KEY_2, 401 },
                                    { edge, marker, KEY_1, 404 } };
  for (size_t i = 0; i < sizeof kept / sizeof *kept; i++)
    CU_ASSERT_TRUE (has_status (&kept[i]));
  edges.tenants = "[" TENANT_2 "]";
  edgecluster_configure (&edges, ROUTE_TIMEOUT_MS);
  struct expected_status added = { edge, "/plain/x", KEY_2, 200 };
  struct expected_status removed = { edge, "/plain/x", KEY_1, 401 };
  CU_ASSERT_TRUE (cluster_poll_until (has_status, &added, WAIT_TIMEOUT_MS));
  CU_ASSERT_TRUE (has_status (&removed));
  edgecluster_destroy (&edges);
}

static const struct suite_case cases[] = {
  { "keys", test_keys },
  { "lists", test_lists },
  { "priority", test_priority },
  { "key removed", test_key_removed },
  { "malformed tenants", test_malformed_tenants },
};
TEST_SUITE ("tenants", cases)
