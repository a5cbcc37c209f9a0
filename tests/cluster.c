#include "cluster.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <netinet/in.h>
#include <unistd.h>

#include <CUnit/CUnit.h>

#include "clock.h"
#include "err.h"

#define POLL_US 10000
#define REQUEST_TIMEOUT_MS 2000
#define APPLY_TIMEOUT_MS 60000
/* A second signal of the same kind is lost while the first is pending. */
#define SIGNAL_GAP_MS 200
#define EXIT_TIMEOUT_MS 20000
/* Below the kernel's ephemeral port range for outgoing connections. */
#define PORT_FIRST 10000
#define PORT_RANGES 220
#define PORTS_PER_RANGE 100

static struct cluster *current;

static void
stop_current (void)
{
  if (current)
    cluster_destroy (current);
}

struct cluster *
cluster_create (const char *region)
{
  static bool prepared;

  if (!prepared)
    {
      curl_global_init (CURL_GLOBAL_DEFAULT);
      atexit (stop_current);
      prepared = true;
    }
  stop_current ();
  struct cluster *c = xcalloc (1, sizeof *c);
  snprintf (c->region, sizeof c->region, "%s", region);
  snprintf (c->dir, sizeof c->dir, "/tmp/galenagate-e2e-XXXXXX");
  if (!mkdtemp (c->dir))
    CU_FAIL_FATAL ("cannot create a temporary directory");
  c->next_port = PORT_FIRST + (int)(getpid () % PORT_RANGES) * PORTS_PER_RANGE;
  current = c;
  return c;
}

static bool is_node (const struct cluster_proc *p);

#ifdef __SANITIZE_ADDRESS__
/* LeakSanitizer checks for leaks when a process exits, so a node must exit by
   itself instead of being killed. A second SIGTERM makes it exit at once. */
static void
end_proc (struct cluster_proc *p)
{
  if (is_node (p) && cluster_signal (p, SIGCONT))
    for (int i = 0; i < 2 && cluster_wait_exit (p, SIGNAL_GAP_MS) == -1; i++)
      cluster_signal (p, SIGTERM);
  if (is_node (p))
    cluster_wait_exit (p, EXIT_TIMEOUT_MS);
  cluster_kill (p);
}

/* Fails the test if the log of a process contains a sanitizer report. */
static void
check_reports (const char *log)
{
  FILE *f = fopen (log, "r");
  char line[512];
  bool found = false;

  while (f && fgets (line, sizeof line, f))
    if (strstr (line, "Sanitizer: ") || strstr (line, ": runtime error: "))
      {
        fprintf (stderr, "%s: %s", log, line);
        found = true;
      }
  if (f)
    fclose (f);
  CU_ASSERT_FALSE (found);
}
#else
static void
end_proc (struct cluster_proc *p)
{
  cluster_kill (p);
}

static void
check_reports (const char *log)
{
  (void)log;
}
#endif

static void
proc_free (struct cluster_proc *p, bool keep_log)
{
  for (size_t i = 0; p->argv[i]; i++)
    free (p->argv[i]);
  if (!keep_log)
    unlink (p->log);
  free (p);
}

void
cluster_destroy (struct cluster *c)
{
  char apply_log[96];

  snprintf (apply_log, sizeof apply_log, "%s/apply.log", c->dir);
  for (size_t i = 0; i < c->count; i++)
    {
      end_proc (c->procs[i]);
      check_reports (c->procs[i]->log);
    }
  check_reports (apply_log);
  const bool keep = CU_get_number_of_failures () > 0;
  for (size_t i = 0; i < c->count; i++)
    proc_free (c->procs[i], keep);
  if (keep)
    fprintf (stderr, "logs are in %s\n", c->dir);
  else
    {
      unlink (apply_log);
      rmdir (c->dir);
    }
  if (current == c)
    current = NULL;
  free (c);
}

/* ---- processes ---- */

static bool
port_free (int port)
{
  const struct sockaddr_in addr
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)port),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int on = 1;
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const bool ok = bind (fd, (const struct sockaddr *)&addr, sizeof addr) == 0;
  close (fd);
  return ok;
}

static int
new_port (struct cluster *c)
{
  while (!port_free (c->next_port))
    c->next_port++;
  return c->next_port++;
}

void
cluster_program (char *out, size_t size, const char *name)
{
  char self[256];
  const ssize_t n = readlink ("/proc/self/exe", self, sizeof self - 1);

  self[n > 0 ? n : 0] = '\0';
  char *slash = strrchr (self, '/');
  snprintf (out, size, "%.*s/%s", slash ? (int)(slash - self) : 1,
            slash ? self : ".", name);
}

static pid_t
spawn (char *const *argv, const char *log)
{
  const pid_t parent = getpid ();
  const pid_t pid = fork ();

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () != parent)
    _exit (127);
  const int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (fd >= 0)
    {
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
    }
  execv (argv[0], argv);
  _exit (127);
}

static void
add_arg (struct cluster_proc *p, const char *arg)
{
  for (size_t i = 0; i + 1 < CLUSTER_ARGS_MAX; i++)
    if (!p->argv[i])
      {
        p->argv[i] = strdup (arg);
        return;
      }
  CU_FAIL_FATAL ("too many arguments");
}

static void
add_flag (struct cluster_proc *p, const char *flag, const char *value)
{
  add_arg (p, flag);
  add_arg (p, value);
}

static struct cluster_proc *
proc_new (struct cluster *c, enum cluster_role role, const char *program)
{
  static const char *const names[]
      = { "store", "engine", "service", "node", "objects", "server", "edge" };
  char path[300];

  if (c->count == CLUSTER_PROCS_MAX)
    CU_FAIL_FATAL ("too many processes");
  struct cluster_proc *p = xcalloc (1, sizeof *p);
  p->role = role;
  snprintf (p->name, sizeof p->name, "%s-%zu", names[role], c->count);
  snprintf (p->log, sizeof p->log, "%s/%s.log", c->dir, p->name);
  snprintf (p->url, sizeof p->url, "http://127.0.0.1:%d", new_port (c));
  cluster_program (path, sizeof path, program);
  add_arg (p, path);
  c->procs[c->count++] = p;
  return p;
}

static bool
is_node (const struct cluster_proc *p)
{
  return p->role == CLUSTER_NODE || p->role == CLUSTER_EDGE;
}

static struct cluster_reply
probe (const struct cluster_proc *p)
{
  struct cluster_proc ready = { .role = p->role };

  if (p->role == CLUSTER_NODE)
    return cluster_http (p, "GET", "/readyz", NULL, NULL, REQUEST_TIMEOUT_MS);
  if (p->role != CLUSTER_EDGE)
    return cluster_http (p, "GET", "/counts", NULL, NULL, REQUEST_TIMEOUT_MS);
  snprintf (ready.url, sizeof ready.url, "%s", p->ready_url);
  return cluster_http (&ready, "GET", "/ready", NULL, NULL,
                       REQUEST_TIMEOUT_MS);
}

static bool
answers (void *ctx)
{
  struct cluster_proc *p = ctx;

  if (p->pid == 0 || cluster_wait_exit (p, 0) != -1)
    return false;
  struct cluster_reply r = probe (p);
  const bool ok = r.error == CURLE_OK && r.status == 200;
  cluster_reply_free (&r);
  return ok;
}

static bool
ended_or_answers (void *ctx)
{
  struct cluster_proc *p = ctx;

  return answers (p) || p->pid == 0;
}

static bool
proc_up (struct cluster_proc *p)
{
  if (cluster_poll_until (ended_or_answers, p, CLUSTER_READY_MS)
      && p->pid != 0)
    return true;
  fprintf (stderr, "%s is not ready; see its log %s\n", p->name, p->log);
  return false;
}

static void
proc_start (struct cluster_proc *p, const char *const *flags)
{
  for (size_t i = 0; flags && flags[i]; i++)
    add_arg (p, flags[i]);
  p->pid = spawn (p->argv, p->log);
  if (!is_node (p))
    CU_ASSERT_TRUE_FATAL (proc_up (p));
}

static const char *
port_of (const struct cluster_proc *p)
{
  return strrchr (p->url, ':') + 1;
}

struct cluster_proc *
cluster_store (struct cluster *c, const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_STORE, "standin_store");

  c->store = p;
  add_flag (p, "--port", port_of (p));
  proc_start (p, flags);
  return p;
}

static void
set_place (struct cluster_proc *p, const char *service, const char *domain)
{
  snprintf (p->service, sizeof p->service, "%s", service);
  snprintf (p->domain, sizeof p->domain, "%s", domain);
}

struct cluster_proc *
cluster_engine (struct cluster *c, const char *service, const char *domain,
                const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_ENGINE, "standin_engine");

  set_place (p, service, domain);
  add_flag (p, "--port", port_of (p));
  add_flag (p, "--store", c->store->url);
  proc_start (p, flags);
  return p;
}

struct cluster_proc *
cluster_service (struct cluster *c, const char *service, const char *domain,
                 const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_SERVICE, "standin_service");

  set_place (p, service, domain);
  add_flag (p, "--port", port_of (p));
  proc_start (p, flags);
  return p;
}

/* Passes the bus addresses of the nodes created before as seeds. */
static void
add_seeds (struct cluster *c, struct cluster_proc *node)
{
  struct buf seeds = { 0 };

  for (size_t i = 0; i < c->count; i++)
    if (c->procs[i]->role == CLUSTER_NODE && c->procs[i] != node)
      buf_printf (&seeds, "%s%s", seeds.len > 0 ? "," : "",
                  c->procs[i]->bus_addr);
  buf_append (&seeds, (struct str){ .data = "", .len = 1 });
  if (seeds.len > 1)
    add_flag (node, "--seeds", seeds.data);
  buf_free (&seeds);
}

struct cluster_proc *
cluster_node (struct cluster *c, const char *domain, const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_NODE, "galenagate");

  set_place (p, "", domain);
  snprintf (p->bus_addr, sizeof p->bus_addr, "127.0.0.1:%d", new_port (c));
  add_arg (p, "node");
  add_flag (p, "--bus-addr", p->bus_addr);
  add_flag (p, "--http-addr", p->url + strlen ("http://"));
  add_flag (p, "--region", c->region);
  add_flag (p, "--domain", domain);
  add_flag (p, "--store-url", c->store->url);
  add_seeds (c, p);
  proc_start (p, flags);
  return p;
}

struct cluster_proc *
cluster_objects (struct cluster *c, const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_OBJECTS, "standin_objects");

  c->store = p;
  add_flag (p, "--port", port_of (p));
  proc_start (p, flags);
  return p;
}

struct cluster_proc *
cluster_server (struct cluster *c, const char *service, const char *domain,
                const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_SERVER, "standin_server");

  set_place (p, service, domain);
  add_flag (p, "--port", port_of (p));
  add_flag (p, "--id", p->name);
  proc_start (p, flags);
  return p;
}

static void
add_address (struct cluster *c, struct cluster_proc *p, const char *flag,
             char *url, size_t size)
{
  char addr[32];

  snprintf (addr, sizeof addr, "127.0.0.1:%d", new_port (c));
  add_flag (p, flag, addr);
  if (url)
    snprintf (url, size, "http://%s", addr);
}

struct cluster_proc *
cluster_edge (struct cluster *c, const char *domain, const char *const *flags)
{
  struct cluster_proc *p = proc_new (c, CLUSTER_EDGE, "galenagate");

  set_place (p, "", domain);
  add_arg (p, "edge");
  add_flag (p, "--front-addr", p->url + strlen ("http://"));
  add_address (c, p, "--ready-addr", p->ready_url, sizeof p->ready_url);
  add_address (c, p, "--metrics-addr", p->metrics_url, sizeof p->metrics_url);
  add_address (c, p, "--peer-addr", NULL, 0);
  add_flag (p, "--platform-addr", c->store->url + strlen ("http://"));
  add_flag (p, "--node-name", p->name);
  add_flag (p, "--domain", domain);
  proc_start (p, flags);
  return p;
}

bool
cluster_put_hosts (struct cluster *c)
{
  json_t *hosts = json_array ();

  for (size_t i = 0; i < c->count; i++)
    {
      const struct cluster_proc *p = c->procs[i];
      if (p->pid != 0
          && (p->role == CLUSTER_ENGINE || p->role == CLUSTER_SERVICE))
        json_array_append_new (
            hosts,
            json_pack ("{s:s, s:s, s:s, s:s, s:s}", "address",
                       p->url + strlen ("http://"), "service", p->service,
                       "domain", p->domain, "region", c->region, "state",
                       p->leaving ? "leaving" : "live"));
    }
  char *text = json_dumps (hosts, 0);
  struct cluster_reply r = cluster_http (c->store, "PUT", "/hosts", NULL, text,
                                         REQUEST_TIMEOUT_MS);
  const bool ok = r.error == CURLE_OK && r.status == 200;
  cluster_reply_free (&r);
  free (text);
  json_decref (hosts);
  return ok;
}

int
cluster_apply (struct cluster *c, const char *plans, const char *uses,
               const char *const *flags)
{
  struct cluster_proc p = { .name = "apply" };
  char path[300];

  snprintf (p.log, sizeof p.log, "%s/apply.log", c->dir);
  cluster_program (path, sizeof path, "galenagate");
  add_arg (&p, path);
  add_arg (&p, "apply");
  add_flag (&p, "--store-url", c->store->url);
  for (size_t i = 0; flags && flags[i]; i++)
    add_arg (&p, flags[i]);
  add_arg (&p, plans);
  add_arg (&p, uses);
  p.pid = spawn (p.argv, p.log);
  const int code = cluster_wait_exit (&p, APPLY_TIMEOUT_MS);
  cluster_kill (&p);
  for (size_t i = 0; p.argv[i]; i++)
    free (p.argv[i]);
  return code;
}

bool
cluster_ready (struct cluster *c)
{
  for (size_t i = 0; i < c->count; i++)
    if (is_node (c->procs[i]) && c->procs[i]->pid != 0
        && !proc_up (c->procs[i]))
      return false;
  return true;
}

bool
cluster_signal (struct cluster_proc *p, int signum)
{
  return p->pid != 0 && kill (p->pid, signum) == 0;
}

static int
exit_code (int status)
{
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

int
cluster_wait_exit (struct cluster_proc *p, uint32_t timeout_ms)
{
  const uint64_t until = clock_ms () + timeout_ms;

  if (p->pid == 0)
    return exit_code (p->status);
  while (waitpid (p->pid, &p->status, WNOHANG) == 0)
    {
      if (clock_ms () >= until)
        return -1;
      usleep (POLL_US);
    }
  p->pid = 0;
  return exit_code (p->status);
}

void
cluster_kill (struct cluster_proc *p)
{
  if (p->pid == 0)
    return;
  kill (p->pid, SIGKILL);
  waitpid (p->pid, &p->status, 0);
  p->pid = 0;
}

bool
cluster_restart (struct cluster_proc *p)
{
  cluster_kill (p);
  p->pid = spawn (p->argv, p->log);
  return is_node (p) || proc_up (p);
}

bool
cluster_poll_until (bool (*fn) (void *ctx), void *ctx, uint32_t timeout_ms)
{
  const uint64_t until = clock_ms () + timeout_ms;

  while (!fn (ctx))
    {
      if (clock_ms () >= until)
        return false;
      usleep (POLL_US);
    }
  return true;
}

/* ---- HTTP ---- */

static size_t
collect (char *data, size_t size, size_t n, void *ctx)
{
  buf_append (ctx, (struct str){ .data = data, .len = size * n });
  return size * n;
}

struct cluster_reply
cluster_http (const struct cluster_proc *p, const char *method,
              const char *path, const char *const *headers, const char *body,
              uint32_t timeout_ms)
{
  return cluster_http_from (p, NULL, method, path, headers, body, timeout_ms);
}

struct cluster_reply
cluster_http_from (const struct cluster_proc *p, const char *source,
                   const char *method, const char *path,
                   const char *const *headers, const char *body,
                   uint32_t timeout_ms)
{
  struct cluster_reply r = { 0 };
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  CURL *curl = curl_easy_init ();
  struct str url = str_printf ("%s%s", p->url, path);

  for (size_t i = 0; headers && headers[i]; i++)
    list = curl_slist_append (list, headers[i]);
  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &r.body);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &r.headers);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (source)
    curl_easy_setopt (curl, CURLOPT_INTERFACE, source);
  r.error = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &r.status);
  curl_easy_cleanup (curl);
  curl_slist_free_all (list);
  str_free (&url);
  return r;
}

struct str
cluster_header (const struct cluster_reply *r, const char *name)
{
  const size_t name_len = strlen (name);
  const char *p = r->headers.data;
  const char *end = p + r->headers.len;

  while (p && p < end)
    {
      const char *eol = memchr (p, '\r', (size_t)(end - p));
      const size_t len = eol ? (size_t)(eol - p) : (size_t)(end - p);
      if (len > name_len + 1 && strncasecmp (p, name, name_len) == 0
          && p[name_len] == ':')
        return (struct str){ .data = p + name_len + 2,
                             .len = len - name_len - 2 };
      p += len + 2;
    }
  return STR ("");
}

bool
cluster_contains (const struct cluster_reply *r, const char *text)
{
  return r->body.len > 0
         && memmem (r->body.data, r->body.len, text, strlen (text)) != NULL;
}

void
cluster_reply_free (struct cluster_reply *r)
{
  buf_free (&r->headers);
  buf_free (&r->body);
}

json_t *
cluster_get_json (const struct cluster_proc *p, const char *path)
{
  struct cluster_reply r
      = cluster_http (p, "GET", path, NULL, NULL, REQUEST_TIMEOUT_MS);
  json_t *root = r.error == CURLE_OK && r.status == 200 && r.body.len > 0
                     ? json_loadb (r.body.data, r.body.len, 0, NULL)
                     : NULL;

  cluster_reply_free (&r);
  return root;
}

json_int_t
cluster_json_int (const struct cluster_proc *p, const char *path,
                  const char *member)
{
  json_t *root = cluster_get_json (p, path);
  json_t *value = root;
  char names[256];
  char *rest = names;
  const char *name;

  snprintf (names, sizeof names, "%s", member);
  while (value && (name = strsep (&rest, "/")))
    value = json_object_get (value, name);
  const json_int_t n
      = json_is_integer (value) ? json_integer_value (value) : -1;
  json_decref (root);
  return n;
}

bool
cluster_set_faults (struct cluster *c, const char *json)
{
  struct cluster_reply r = cluster_http (c->store, "POST", "/faults", NULL,
                                         json, REQUEST_TIMEOUT_MS);
  const bool ok = r.error == CURLE_OK && r.status == 200;

  cluster_reply_free (&r);
  return ok;
}

/* ---- requests in threads ---- */

struct cluster_request
{
  pthread_t thread;
  const struct cluster_proc *proc;
  char *method;
  char *path;
  char *headers[CLUSTER_ARGS_MAX];
  char *body;
  uint32_t timeout_ms;
  struct cluster_reply reply;
};

static void *
run_call (void *ctx)
{
  struct cluster_request *call = ctx;

  call->reply = cluster_http (call->proc, call->method, call->path,
                              (const char *const *)call->headers, call->body,
                              call->timeout_ms);
  return NULL;
}

struct cluster_request *
cluster_http_start (const struct cluster_proc *p, const char *method,
                    const char *path, const char *const *headers,
                    const char *body, uint32_t timeout_ms)
{
  struct cluster_request *call = xcalloc (1, sizeof *call);

  call->proc = p;
  call->method = strdup (method);
  call->path = strdup (path);
  call->body = body ? strdup (body) : NULL;
  call->timeout_ms = timeout_ms;
  for (size_t i = 0; headers && headers[i] && i + 1 < CLUSTER_ARGS_MAX; i++)
    call->headers[i] = strdup (headers[i]);
  if (pthread_create (&call->thread, NULL, run_call, call) != 0)
    abort ();
  return call;
}

struct cluster_reply
cluster_http_wait (struct cluster_request *call)
{
  pthread_join (call->thread, NULL);
  const struct cluster_reply r = call->reply;

  for (size_t i = 0; call->headers[i]; i++)
    free (call->headers[i]);
  free (call->method);
  free (call->path);
  free (call->body);
  free (call);
  return r;
}
