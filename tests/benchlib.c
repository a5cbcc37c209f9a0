#include "benchlib.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#include "err.h"

#define MS_PER_S 1000.0
#define LINE_BYTES 2048
#define URL_BYTES 128
#define RAN_HEADER "x-galenagate-ran: "
#define RAN_BYTES 16
/* utime in /proc/PID/stat, counted from the end of the process name. */
#define STAT_UTIME 12

/* ---- values and tables ---- */

void
series_add (struct series *s, double value)
{
  s->values = xrealloc (s->values, (s->count + 1) * sizeof *s->values);
  s->values[s->count++] = value;
}

static int
compare (const void *a, const void *b)
{
  const double x = *(const double *)a;
  const double y = *(const double *)b;

  return (x > y) - (x < y);
}

double
series_at (struct series *s, double q)
{
  if (s->count == 0)
    return -1;
  qsort (s->values, s->count, sizeof *s->values, compare);
  const size_t i = (size_t)(q * (double)s->count);
  return s->values[i < s->count ? i : s->count - 1];
}

void
series_free (struct series *s)
{
  free (s->values);
  *s = (struct series){ 0 };
}

double
bench_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * MS_PER_S + (double)t.tv_nsec / NS_PER_MS;
}

void
bench_sleep_ms (double ms)
{
  if (ms > 0)
    usleep ((useconds_t)(ms * MS_PER_S));
}

void
bench_section (const char *part, const char *title)
{
  printf ("\n### %s\n\n`build/bench %s`\n\n"
          "| figure | unit | median | smallest | largest | runs |\n"
          "| --- | --- | ---: | ---: | ---: | ---: |\n",
          title, part);
}

static void
print_value (double value)
{
  const double size = value < 0 ? -value : value;

  printf (" %.*f |",
          size < 1      ? 3
          : size < 100  ? 2
          : size < 1000 ? 1
                        : 0,
          value);
}

void
bench_row (const char *figure, const char *unit, struct series *runs)
{
  const double median = series_at (runs, 0.5);

  if (runs->count == 0)
    printf ("| %s | %s | not measured | | | 0 |\n", figure, unit);
  else
    {
      printf ("| %s | %s |", figure, unit);
      print_value (median);
      print_value (runs->values[0]);
      print_value (runs->values[runs->count - 1]);
      printf (" %zu |\n", runs->count);
    }
  series_free (runs);
}

void
bench_note (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  printf ("\n");
  vprintf (fmt, ap);
  printf ("\n");
  va_end (ap);
}

double
bench_slope (const double *x, const double *y, size_t n)
{
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;

  for (size_t i = 0; i < n; i++)
    {
      sx += x[i];
      sy += y[i];
      sxx += x[i] * x[i];
      sxy += x[i] * y[i];
    }
  return ((double)n * sxy - sx * sy) / ((double)n * sxx - sx * sx);
}

/* ---- calls ---- */

struct bench_client
{
  CURL *curl;
  double started_ms;
  struct shot shot;
  char ran[RAN_BYTES];
};

static size_t
on_body (char *data, size_t size, size_t n, void *ctx)
{
  struct bench_client *c = ctx;

  (void)data;
  if (c->shot.bytes == 0)
    c->shot.first_ms = bench_now_ms () - c->started_ms;
  c->shot.bytes += size * n;
  return size * n;
}

static size_t
on_header (char *data, size_t size, size_t n, void *ctx)
{
  struct bench_client *c = ctx;
  const size_t prefix = strlen (RAN_HEADER);
  const size_t len = size * n;

  if (len > prefix + 2 && strncasecmp (data, RAN_HEADER, prefix) == 0)
    snprintf (c->ran, sizeof c->ran, "%.*s", (int)(len - prefix - 2),
              data + prefix);
  return len;
}

struct bench_client *
bench_client_create (void)
{
  struct bench_client *c = xcalloc (1, sizeof *c);

  c->curl = curl_easy_init ();
  return c;
}

void
bench_client_destroy (struct bench_client *c)
{
  curl_easy_cleanup (c->curl);
  free (c);
}

struct shot
bench_client_post (struct bench_client *c, const char *url,
                   const char *const *headers, const char *body,
                   uint32_t timeout_ms)
{
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  struct shot *s = &c->shot;

  for (size_t i = 0; headers && headers[i]; i++)
    list = curl_slist_append (list, headers[i]);
  curl_easy_setopt (c->curl, CURLOPT_URL, url);
  curl_easy_setopt (c->curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (c->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c->curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (c->curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (c->curl, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (c->curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (c->curl, CURLOPT_HEADERDATA, c);
  curl_easy_setopt (c->curl, CURLOPT_POSTFIELDS, body);
  *s = (struct shot){ 0 };
  c->ran[0] = '\0';
  c->started_ms = bench_now_ms ();
  const CURLcode rc = curl_easy_perform (c->curl);
  s->whole_ms = bench_now_ms () - c->started_ms;
  curl_easy_getinfo (c->curl, CURLINFO_RESPONSE_CODE, &s->status);
  curl_slist_free_all (list);
  if (rc == CURLE_OK && s->status == 200)
    s->outcome = SHOT_ANSWERED;
  else if (rc == CURLE_OK && strcmp (c->ran, "no") == 0)
    s->outcome = SHOT_REFUSED;
  else
    s->outcome = SHOT_FAILED;
  return *s;
}

struct worker
{
  pthread_t thread;
  const struct load *load;
  size_t number;
  double until_ms;
  struct shot *shots;
  size_t count;
};

static void *
run_worker (void *ctx)
{
  struct worker *w = ctx;
  const struct load *load = w->load;
  struct bench_client *c = bench_client_create ();
  double next = bench_now_ms ()
                + load->gap_ms * (double)w->number / (double)load->callers;

  while (next < w->until_ms && (load->each == 0 || w->count < load->each))
    {
      bench_sleep_ms (next - bench_now_ms ());
      if ((w->count & (w->count - 1)) == 0)
        w->shots = xrealloc (w->shots,
                             (w->count ? 2 * w->count : 1) * sizeof *w->shots);
      w->shots[w->count] = load->fire (load, c, w->number, w->count);
      w->count++;
      /* A caller that fell behind its schedule does not catch up. */
      const double now = bench_now_ms ();
      next = next + load->gap_ms > now ? next + load->gap_ms : now;
    }
  bench_client_destroy (c);
  return NULL;
}

struct load_result
load_run (const struct load *load)
{
  struct load_result r = { 0 };
  struct worker *workers = xcalloc (load->callers, sizeof *workers);
  const double started = bench_now_ms ();

  for (size_t i = 0; i < load->callers; i++)
    {
      workers[i] = (struct worker){ .load = load,
                                    .number = i,
                                    .until_ms = started + load->duration_ms };
      if (pthread_create (&workers[i].thread, NULL, run_worker, &workers[i])
          != 0)
        abort ();
    }
  for (size_t i = 0; i < load->callers; i++)
    {
      pthread_join (workers[i].thread, NULL);
      r.shots = xrealloc (r.shots,
                          (r.count + workers[i].count + 1) * sizeof *r.shots);
      for (size_t j = 0; j < workers[i].count; j++)
        {
          r.outcomes[workers[i].shots[j].outcome]++;
          r.shots[r.count++] = workers[i].shots[j];
        }
      free (workers[i].shots);
    }
  r.elapsed_ms = bench_now_ms () - started;
  free (workers);
  return r;
}

void
load_result_free (struct load_result *r)
{
  free (r->shots);
  *r = (struct load_result){ 0 };
}

struct series
load_series (const struct load_result *r, enum outcome outcome, bool first)
{
  struct series s = { 0 };

  for (size_t i = 0; i < r->count; i++)
    if (r->shots[i].outcome == outcome)
      series_add (&s, first ? r->shots[i].first_ms : r->shots[i].whole_ms);
  return s;
}

struct str
bench_chat_body (const char *model, const char *text, bool stream)
{
  return str_printf ("{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"role\":"
                     "\"user\",\"content\":\"%s\"}]}",
                     model, stream ? "true" : "false", text);
}

struct shot
load_chat (const struct load *load, struct bench_client *c, size_t caller,
           size_t seq)
{
  const char *headers[]
      = { "Authorization: Bearer key-opera", "Content-Type: application/json",
          load->deadline, NULL };
  char url[URL_BYTES];
  char model[BENCH_LABEL];
  struct str text
      = str_printf ("%s %zu-%zu-%zu", load->text, load->run, caller, seq);
  snprintf (model, sizeof model, "lm-%zu",
            load->first_model + caller % (load->models ? load->models : 1));
  struct str body = bench_chat_body (model, text.data, load->stream);

  snprintf (url, sizeof url, "%s/v1/chat/completions",
            load->fleet->nodes[caller % load->nodes]->url);
  const struct shot s
      = bench_client_post (c, url, headers, body.data, FLEET_CALL_MS);
  str_free (&body);
  str_free (&text);
  return s;
}

/* ---- processes ---- */

static bool
read_proc (const struct cluster_proc *p, const char *name, char *out,
           size_t size)
{
  char path[64];

  snprintf (path, sizeof path, "/proc/%d/%s", (int)p->pid, name);
  FILE *f = fopen (path, "r");
  if (!f)
    return false;
  const size_t n = fread (out, 1, size - 1, f);
  out[n] = '\0';
  fclose (f);
  return n > 0;
}

/* Number of a field of a line; the first field is 0. */
static double
field (const char *line, size_t n)
{
  for (; line && n > 0; n--)
    {
      line = strchr (line, ' ');
      line += line != NULL;
    }
  return line ? strtod (line, NULL) : 0;
}

double
proc_cpu_ms (const struct cluster_proc *p)
{
  char text[LINE_BYTES];

  if (!read_proc (p, "stat", text, sizeof text))
    return 0;
  /* Counted from the process name, which may hold spaces. */
  const char *rest = strrchr (text, ')');
  return (field (rest, STAT_UTIME) + field (rest, STAT_UTIME + 1)) * MS_PER_S
         / (double)sysconf (_SC_CLK_TCK);
}

double
proc_rss_mb (const struct cluster_proc *p)
{
  char text[LINE_BYTES];

  if (!read_proc (p, "statm", text, sizeof text))
    return 0;
  return field (text, 1) * (double)sysconf (_SC_PAGESIZE) / (1 << 20);
}

double
proc_metric (const struct cluster_proc *p, const char *name)
{
  struct cluster_reply r
      = cluster_http (p, "GET", "/metrics", NULL, NULL, FLEET_CALL_MS);
  const size_t len = strlen (name);
  double sum = 0;
  char *rest = NULL;

  buf_append (&r.body, (struct str){ .data = "", .len = 1 });
  for (char *line = strtok_r (r.body.data, "\n", &rest); line;
       line = strtok_r (NULL, "\n", &rest))
    if (strncmp (line, name, len) == 0
        && (line[len] == ' ' || line[len] == '{'))
      sum += strtod (strrchr (line, ' '), NULL);
  cluster_reply_free (&r);
  return sum;
}

double
store_calls (const struct cluster *c)
{
  static const char *const names[] = { "reads", "writes", "watches", "lists" };
  json_t *counts = cluster_get_json (c->store, "/counts");
  double sum = 0;

  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    sum += (double)json_integer_value (json_object_get (counts, names[i]));
  json_decref (counts);
  return sum;
}

void
bench_uses (char *path, uint32_t slots, uint32_t max_replicas,
            uint32_t load_ms)
{
  json_t *root = json_load_file ("tests/lists/small/uses.json", 0, NULL);
  json_t *model;
  size_t i;

  json_array_foreach (json_object_get (root, "models"), i, model)
  {
    json_object_set_new (model, "slots", json_integer (slots));
    json_object_set_new (model, "max_replicas", json_integer (max_replicas));
    json_object_set_new (model, "load_ms", json_integer (load_ms));
  }
  snprintf (path, BENCH_LABEL, "/tmp/galenagate-bench-XXXXXX");
  const int fd = mkstemp (path);
  if (!root || fd < 0 || json_dumpfd (root, fd, 0) != 0)
    CU_FAIL_FATAL ("the list of uses could not be written");
  close (fd);
  json_decref (root);
}

/* Time of a line of the log, which begins with time=2026-01-01T00:00:00.000Z.
 */
static uint64_t
line_time (const char *line)
{
  struct tm tm = { 0 };
  const char *rest = strptime (line, "time=%Y-%m-%dT%H:%M:%S", &tm);

  if (!rest || *rest != '.')
    return 0;
  return (uint64_t)timegm (&tm) * (uint64_t)MS_PER_S
         + strtoul (rest + 1, NULL, 10);
}

uint64_t
log_find (const struct cluster_proc *p, uint64_t from_ms, const char *a,
          const char *b, char *line, size_t size)
{
  char text[LINE_BYTES];
  uint64_t found = 0;
  FILE *f = fopen (p->log, "r");

  while (f && found == 0 && fgets (text, sizeof text, f))
    if (strstr (text, a) && strstr (text, b) && line_time (text) >= from_ms)
      found = line_time (text);
  if (f)
    fclose (f);
  if (found != 0 && line)
    snprintf (line, size, "%s", text);
  return found;
}
