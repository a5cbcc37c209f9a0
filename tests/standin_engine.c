#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "clock.h"
#include "err.h"
#include "settings.h"
#include "standinlib.h"

#define EXIT_CRASH 70
#define PING_MS 2000
#define TICK_MS 50
/* A stream can be resumed for this long after its end. */
#define STREAM_KEEP_MS 60000
#define LOADER_THREADS "64"
#define SESSION_POLL_US 1000
#define SESSION_POLLS 5000

struct options
{
  uint32_t port;
  struct str memory;
  uint32_t slots;
  uint32_t fenced;
  struct str store;
  uint32_t load_ms;
  uint32_t token_ms;
  uint32_t tokens;
  uint32_t max_replicas_check;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "memory", "BYTES", "accelerator memory", SETTING_STRING, FIELD (memory),
    "80000000000", 0, 0 },
  { "slots", "N", "requests that run at once", SETTING_U32, FIELD (slots), "8",
    1, 100000 },
  { "fenced", "0|1", "refuse orders with an old fence", SETTING_U32,
    FIELD (fenced), "1", 0, 1 },
  { "store", "URL", "weight store", SETTING_URL, FIELD (store), NULL, 0, 0 },
  { "load-ms", "MS", "time of a load at full speed", SETTING_U32,
    FIELD (load_ms), "300", 0, 600000 },
  { "token-ms", "MS", "time between tokens", SETTING_U32, FIELD (token_ms),
    "5", 0, 60000 },
  { "tokens", "N", "longest answer", SETTING_U32, FIELD (tokens), "16", 1,
    100000 },
  { "max-replicas-check", "N",
    "count loads that make more replicas of a model than N on all engines; "
    "0 is off",
    SETTING_U32, FIELD (max_replicas_check), "0", 0, 100000 },
};

enum entry_state
{
  ENTRY_LOADING,
  ENTRY_LOADED,
  ENTRY_UNLOADING,
};

static const char *const state_names[] = { [ENTRY_LOADING] = "loading",
                                           [ENTRY_LOADED] = "loaded",
                                           [ENTRY_UNLOADING] = "unloading" };

/* A model (empty @adapter) or an adapter in memory. */
struct entry
{
  char *model;
  char *version;
  char *adapter;
  uint64_t bytes;
  enum entry_state state;
  json_t *order_id;
  unsigned running;
  bool releasing;
  struct entry *next;
};

/* A call to the weight store about an entry, made in a thread. */
struct transfer
{
  uv_work_t work;
  struct entry *entry;
  char *order; /* loads only */
  const char *method;
  long status;
  struct buf body;
};

struct waiter
{
  h2o_req_t *req;
  uint64_t until_ms;
  struct waiter *next;
};

/* What the text of a request makes the engine do. */
enum behaviour
{
  ANSWER,
  SILENCE, /* nothing after the head */
  CUT,     /* ends in the middle, cannot be resumed */
  DROP,    /* ends in the middle, can be resumed */
};

/**
 * struct stream - one run of a request.
 * @req: attached caller or NULL; @busy while h2o still sends to it.
 * @events: SSE events made so far; @sent of them went to @req.
 */
struct stream
{
  char *attempt;
  char *shown; /* attempt id in the answer */
  char *model;
  char *text;
  struct str content;
  enum behaviour behaviour;
  bool chat;
  bool sse;
  bool busy;
  bool finished;
  bool dead;
  uint32_t tokens;
  uint32_t produced;
  unsigned prompt_tokens;
  uint64_t kept_until_ms;
  uint64_t next_ping_ms;
  h2o_req_t *req;
  struct str *events;
  size_t event_count;
  size_t sent;
  struct entry *entry;
  struct entry *base;
  uv_timer_t timer;
  struct stream *next;
};

struct sender
{
  h2o_generator_t generator;
  struct stream *stream;
};

static struct options options;
static uint64_t memory_bytes;
static uint64_t instance;
static uint64_t fence;
static uint64_t seq = 1;
static bool leaving;
static struct entry *entries;
static struct waiter *waiters;
static struct stream *streams;
static unsigned running;
static json_t *order_results; /* order id to the status it got */
static json_t *attempts;      /* runs per attempt id */
static uv_timer_t tick;

static struct
{
  json_int_t requests, repeated, loads, unloads, failed_loads, old_fences,
      refused_memory, violations, replica_violations, not_loaded, cancelled,
      resumed;
  uint64_t most_bytes;
} counts;

/* Entries and status. */

static uint64_t
used_bytes (void)
{
  uint64_t sum = 0;

  for (const struct entry *e = entries; e; e = e->next)
    sum += e->bytes;
  return sum;
}

static struct entry *
entry_find (const char *model, const char *adapter)
{
  for (struct entry *e = entries; e; e = e->next)
    if (strcmp (e->model, model) == 0 && strcmp (e->adapter, adapter) == 0)
      return e;
  return NULL;
}

static json_t *
status_json (void)
{
  json_t *list = json_array ();

  for (const struct entry *e = entries; e; e = e->next)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s, s:s, s:I, s:s, s:O, s:s}", "model", e->model,
                   "version", e->version, "adapter", e->adapter, "bytes",
                   (json_int_t)e->bytes, "state", state_names[e->state],
                   "order_id", e->order_id, "cache",
                   e->state == ENTRY_LOADING ? "remote" : "memory"));
  return json_pack ("{s:I, s:I, s:I, s:b, s:I, s:i, s:i, s:i, s:o}", "seq",
                    (json_int_t)seq, "instance", (json_int_t)instance, "fence",
                    (json_int_t)fence, "leaving", (int)leaving, "memory_bytes",
                    (json_int_t)memory_bytes, "slots", (int)options.slots,
                    "running", (int)running, "queued", 0, "entries", list);
}

static void
changed (void)
{
  seq++;
  while (waiters)
    {
      struct waiter *w = waiters;
      waiters = w->next;
      standin_json (w->req, 200, status_json ());
      free (w);
    }
}

static void
get_status (h2o_req_t *req)
{
  const uint64_t wait_ms = standin_query_u64 (req, "wait_ms", 0);

  if (standin_query_u64 (req, "since", 0) != seq || wait_ms == 0)
    {
      standin_json (req, 200, status_json ());
      return;
    }
  struct waiter *w = xcalloc (1, sizeof *w);
  *w = (struct waiter){ .req = req,
                        .until_ms = clock_ms () + wait_ms,
                        .next = waiters };
  waiters = w;
}

static void
entry_remove (struct entry *entry)
{
  for (struct entry **at = &entries; *at; at = &(*at)->next)
    if (*at == entry)
      {
        *at = entry->next;
        break;
      }
  free (entry->model);
  free (entry->version);
  free (entry->adapter);
  json_decref (entry->order_id);
  free (entry);
}

/* Transfers. */

static size_t
collect (char *data, size_t size, size_t n, void *ctx)
{
  buf_append (ctx, (struct str){ .data = data, .len = size * n });
  return size * n;
}

static void
transfer_work (uv_work_t *work)
{
  struct transfer *t = (struct transfer *)work;
  const struct entry *e = t->entry;
  CURL *curl = curl_easy_init ();
  struct str url = e->adapter[0]
                       ? str_printf (STR_FMT "/weights/adapter/%s",
                                     STR_ARG (options.store), e->adapter)
                       : str_printf (STR_FMT "/weights/%s?ms=%u&engine=%u",
                                     STR_ARG (options.store), e->model,
                                     options.load_ms, options.port);

  curl_easy_setopt (curl, CURLOPT_URL, url.data);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, t->method);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, collect);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &t->body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &t->status);
  curl_easy_cleanup (curl);
  str_free (&url);
}

static void
transfer_start (struct entry *entry, const char *method, const char *order,
                uv_after_work_cb done)
{
  struct transfer *t = xcalloc (1, sizeof *t);

  t->entry = entry;
  t->method = method;
  t->order = strdup (order);
  uv_queue_work (standin_loop (), &t->work, transfer_work, done);
}

static void
transfer_free (struct transfer *t)
{
  buf_free (&t->body);
  free (t->order);
  free (t);
}

static void
release_done (uv_work_t *work, int status)
{
  struct transfer *t = (struct transfer *)work;

  (void)status;
  entry_remove (t->entry);
  changed ();
  transfer_free (t);
}

/* The weight store counts replicas, so it is told before the status shows that
   the model is gone and another engine may load it. */
static void
entry_settle (struct entry *entry)
{
  if (entry->state != ENTRY_UNLOADING || entry->running > 0
      || entry->releasing)
    return;
  counts.unloads++;
  entry->releasing = true;
  if (!entry->adapter[0])
    {
      transfer_start (entry, "DELETE", "", release_done);
      return;
    }
  entry_remove (entry);
  changed ();
}

static void
check_replicas (const struct buf *body)
{
  json_t *root = json_loadb (body->data, body->len, 0, NULL);
  const json_int_t n = json_integer_value (json_object_get (root, "replicas"));

  counts.replica_violations
      += options.max_replicas_check > 0 && n > options.max_replicas_check;
  json_decref (root);
}

static void
load_done (uv_work_t *work, int status)
{
  struct transfer *t = (struct transfer *)work;
  struct entry *e = t->entry;

  (void)status;
  if (t->status == 200)
    {
      counts.loads++;
      e->state = ENTRY_LOADED;
      check_replicas (&t->body);
    }
  else
    {
      counts.failed_loads++;
      json_object_set_new (order_results, t->order, json_integer (500));
      entry_remove (e);
    }
  changed ();
  transfer_free (t);
}

/* Opens the connection whose end tells the weight store that this process and
   its replicas have ended. It stays open unused. */
static bool
session_open (void)
{
  CURL *curl = curl_easy_init ();
  struct str request
      = str_printf ("GET /weights/session?engine=%u HTTP/1.1\r\n"
                    "Host: weights\r\n\r\n",
                    options.port);
  char head[64];
  size_t n = 0;

  curl_easy_setopt (curl, CURLOPT_URL, options.store.data);
  curl_easy_setopt (curl, CURLOPT_CONNECT_ONLY, 1L);
  bool ok = curl_easy_perform (curl) == CURLE_OK
            && curl_easy_send (curl, request.data, request.len, &n) == CURLE_OK
            && n == request.len;
  CURLcode rc = CURLE_AGAIN;
  for (int i = 0; ok && rc == CURLE_AGAIN && i < SESSION_POLLS; i++)
    {
      usleep (SESSION_POLL_US);
      rc = curl_easy_recv (curl, head, sizeof head, &n);
    }
  ok = ok && rc == CURLE_OK && n > 0;
  str_free (&request);
  return ok;
}

/* Orders. */

struct order
{
  json_t *id;
  const char *kind;
  const char *model;
  const char *version;
  const char *adapter;
  json_int_t fence;
  json_int_t instance;
  json_int_t bytes;
};

static int
order_load (const struct order *o, const char *key, const char **error)
{
  struct entry *e = entry_find (o->model, o->adapter);
  const struct entry *base = entry_find (o->model, "");

  if (leaving)
    {
      *error = "leaving";
      return 503;
    }
  if (e && e->state == ENTRY_LOADED && strcmp (e->version, o->version) == 0)
    return 202;
  if (e)
    {
      *error = state_names[e->state];
      return 409;
    }
  if (o->adapter[0] && (!base || base->state != ENTRY_LOADED))
    {
      *error = "not_loaded";
      return 409;
    }
  if (used_bytes () + (uint64_t)o->bytes > memory_bytes)
    {
      counts.refused_memory++;
      *error = "memory";
      return 507;
    }
  e = xcalloc (1, sizeof *e);
  *e = (struct entry){ .model = strdup (o->model),
                       .version = strdup (o->version),
                       .adapter = strdup (o->adapter),
                       .bytes = (uint64_t)o->bytes,
                       .order_id = json_incref (o->id),
                       .next = entries };
  entries = e;
  const uint64_t used = used_bytes ();
  if (used > counts.most_bytes)
    counts.most_bytes = used;
  counts.violations += used > memory_bytes;
  transfer_start (e, "GET", key, load_done);
  changed ();
  return 202;
}

static int
order_unload (const struct order *o, const char **error)
{
  struct entry *e = entry_find (o->model, o->adapter);

  if (!e)
    return 202;
  for (const struct entry *i = entries; i; i = i->next)
    if (strcmp (i->model, o->model) == 0 && i->state == ENTRY_LOADING
        && (i == e || !o->adapter[0]))
      {
        *error = "loading";
        return 409;
      }
  for (struct entry *i = entries, *next; i; i = next)
    {
      next = i->next;
      if (i != e && (o->adapter[0] || strcmp (i->model, o->model) != 0))
        continue;
      i->state = ENTRY_UNLOADING;
      json_decref (i->order_id);
      i->order_id = json_incref (o->id);
      entry_settle (i);
    }
  changed ();
  return 202;
}

static int
order_run (const struct order *o, const char *key, const char **error)
{
  if ((uint64_t)o->instance != instance)
    {
      *error = "wrong_instance";
      return 409;
    }
  if (options.fenced && (uint64_t)o->fence < fence)
    {
      counts.old_fences++;
      *error = "old_fence";
      return 409;
    }
  if (options.fenced && (uint64_t)o->fence > fence)
    {
      fence = (uint64_t)o->fence;
      changed ();
    }
  if (strcmp (o->kind, "fence") == 0)
    return 202;
  if (strncmp (o->kind, "unload", 6) == 0)
    return order_unload (o, error);
  return order_load (o, key, error);
}

static bool
order_complete (const struct order *o)
{
  static const char *const kinds[]
      = { "load", "unload", "load_adapter", "unload_adapter", "fence" };
  const bool adapter = strstr (o->kind, "adapter") != NULL;
  bool known = false;

  for (size_t i = 0; i < sizeof kinds / sizeof *kinds; i++)
    known |= strcmp (o->kind, kinds[i]) == 0;
  return known && o->bytes >= 0 && adapter == (o->adapter[0] != '\0')
         && (strcmp (o->kind, "fence") == 0 || o->model[0] != '\0');
}

static void
post_order (h2o_req_t *req)
{
  const struct str body = standin_body (req);
  json_t *root = json_loadb (body.data, body.len, 0, NULL);
  struct order o = { .kind = "", .model = "", .version = "", .adapter = "" };
  const char *error = NULL;

  if (json_unpack (root, "{s:o, s:I, s:I, s:s, s?s, s?s, s?s, s?I}",
                   "order_id", &o.id, "fence", &o.fence, "instance",
                   &o.instance, "kind", &o.kind, "model", &o.model, "version",
                   &o.version, "adapter", &o.adapter, "bytes", &o.bytes)
          != 0
      || !order_complete (&o))
    {
      standin_error (req, 400, "bad_order");
      json_decref (root);
      return;
    }
  char *key = json_dumps (o.id, JSON_ENCODE_ANY);
  int status = (int)json_integer_value (json_object_get (order_results, key));
  if (status == 0)
    {
      status = order_run (&o, key, &error);
      /* A refused order had no effect, so the same one may come again. */
      if (status == 202)
        json_object_set_new (order_results, key, json_integer (202));
    }
  else if (status != 202)
    {
      status = 409;
      error = "load_failed";
    }
  if (error)
    standin_error (req, status, error);
  else
    standin_json (req, status, json_object ());
  free (key);
  json_decref (root);
}

/* Answers. */

static unsigned
word_count (const char *text)
{
  unsigned n = 0;

  for (const char *p = text; *p; p++)
    n += *p != ' ' && (p[1] == ' ' || p[1] == '\0');
  return n;
}

/* Token 0 names the model, token 1 is a hash of the request's text, and the
   words of that text follow in turn. */
static struct str
make_token (const struct stream *s, uint32_t i)
{
  if (i == 0)
    return str_printf ("re:%s", s->model);
  if (i == 1)
    return str_printf (" %016llx",
                       (unsigned long long)str_hash (str_from (s->text), 0));
  unsigned word = s->prompt_tokens ? (i - 2) % s->prompt_tokens : 0;
  const char *p = s->text + strspn (s->text, " ");
  for (; word > 0; word--)
    {
      p += strcspn (p, " ");
      p += strspn (p, " ");
    }
  return str_printf (" %.*s", (int)strcspn (p, " "), p);
}

static json_t *
usage_json (const struct stream *s)
{
  return json_pack ("{s:i, s:i, s:i}", "prompt_tokens", (int)s->prompt_tokens,
                    "completion_tokens", (int)s->tokens, "total_tokens",
                    (int)(s->prompt_tokens + s->tokens));
}

static void
add_event (struct stream *s, const char *data)
{
  s->events = xrealloc (s->events, (s->event_count + 1) * sizeof *s->events);
  s->events[s->event_count]
      = str_printf ("id: %zu\ndata: %s\n\n", s->event_count + 1, data);
  s->event_count++;
}

/* Takes over the references to @choices and @usage. */
static json_t *
envelope (const struct stream *s, const char *object, json_t *choices,
          json_t *usage)
{
  return json_pack ("{s:s, s:s, s:I, s:s, s:s, s:o, s:o*}", "id", s->shown,
                    "object", object, "created",
                    (json_int_t)(clock_wall_ms () / 1000), "model", s->model,
                    "attempt", s->shown, "choices", choices, "usage", usage);
}

static void
add_chunk (struct stream *s, json_t *choices, json_t *usage)
{
  json_t *chunk
      = envelope (s, s->chat ? "chat.completion.chunk" : "text_completion",
                  choices, usage);
  char *text = json_dumps (chunk, JSON_COMPACT);

  add_event (s, text);
  free (text);
  json_decref (chunk);
}

static void
produce_token (struct stream *s)
{
  struct str token = make_token (s, s->produced++);
  struct buf content = { 0 };
  const char *reason = s->produced == s->tokens ? "stop" : NULL;

  add_chunk (s,
             s->chat
                 ? json_pack ("[{s:i, s:{s:s}, s:s?}]", "index", 0, "delta",
                              "content", token.data, "finish_reason", reason)
                 : json_pack ("[{s:i, s:s, s:s?}]", "index", 0, "text",
                              token.data, "finish_reason", reason),
             NULL);
  buf_append (&content, s->content);
  buf_append (&content, token);
  str_free (&s->content);
  s->content = str_dup (buf_str (&content));
  buf_free (&content);
  str_free (&token);
}

static void
answer_whole (struct stream *s)
{
  h2o_req_t *req = s->req;
  json_t *choices = s->chat
                        ? json_pack ("[{s:i, s:{s:s, s:s}, s:s}]", "index", 0,
                                     "message", "role", "assistant", "content",
                                     s->content.data, "finish_reason", "stop")
                        : json_pack ("[{s:i, s:s, s:s}]", "index", 0, "text",
                                     s->content.data, "finish_reason", "stop");

  s->req = NULL;
  if (!req)
    {
      json_decref (choices);
      return;
    }
  standin_add_header (req, "x-attempt-id", str_from (s->shown));
  standin_json (req, 200,
                envelope (s, s->chat ? "chat.completion" : "text_completion",
                          choices, usage_json (s)));
}

/* Sends events that the caller has not had, if h2o can take them. */
static void
flush (struct stream *s)
{
  h2o_req_t *req = s->req;
  struct buf b = { 0 };

  if (!req || !s->sse || s->busy || s->behaviour == SILENCE)
    return;
  if (standin_silent (req))
    {
      s->req = NULL;
      return;
    }
  while (s->sent < s->event_count)
    buf_append (&b, s->events[s->sent++]);
  const uint64_t now = clock_ms ();
  if (b.len == 0 && !s->finished)
    {
      if (now < s->next_ping_ms)
        return;
      buf_append (&b, STR (": ping\n\n"));
    }
  s->next_ping_ms = now + PING_MS;
  h2o_iovec_t out = h2o_strdup (&req->pool, b.data ? b.data : "", b.len);
  buf_free (&b);
  if (s->finished)
    s->req = NULL;
  s->busy = !s->finished;
  h2o_send (req, &out, 1,
            s->finished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  struct stream *s = ((struct sender *)generator)->stream;

  s->busy = false;
  if (s->req == req)
    flush (s);
  else
    h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  struct stream *s = ((struct sender *)generator)->stream;

  s->busy = false;
  if (s->req == req)
    s->req = NULL;
}

/* h2o sends a head only together with the first byte of the body. */
static void
send_head_only (struct stream *s, h2o_req_t *req, const char *type)
{
  struct str head = str_printf ("HTTP/1.1 200 OK\r\ncontent-type: %s\r\n"
                                "x-attempt-id: %s\r\n"
                                "transfer-encoding: chunked\r\n\r\n",
                                type, s->shown);

  s->req = req;
  standin_send_raw (req, head);
  str_free (&head);
}

/* Sends the head and the begin of an answer whose body follows in parts. */
static void
start_answer (struct stream *s, h2o_req_t *req, const char *type,
              struct str body)
{
  h2o_iovec_t out = h2o_strdup (&req->pool, body.data, body.len);
  struct sender *sender = h2o_mem_alloc_pool (&req->pool, sizeof *sender);

  if (s->behaviour == SILENCE)
    {
      send_head_only (s, req, type);
      return;
    }
  *sender
      = (struct sender){ .generator = { on_proceed, on_stop }, .stream = s };
  s->req = req;
  s->busy = true;
  s->next_ping_ms = clock_ms () + PING_MS;
  req->res.status = 200;
  req->res.reason = "OK";
  standin_add_header (req, "content-type", str_from (type));
  standin_add_header (req, "x-attempt-id", str_from (s->shown));
  h2o_start_response (req, &sender->generator);
  h2o_send (req, &out, 1, H2O_SEND_STATE_IN_PROGRESS);
}

/* Closes the caller's connection without the last chunk. */
static void
break_answer (struct stream *s)
{
  h2o_req_t *req = s->req;

  if (!req)
    return;
  if (s->behaviour == SILENCE)
    {
      s->req = NULL;
      standin_close (req);
      return;
    }
  if (!s->sse)
    start_answer (s, req, "application/json", STR ("{\"id\":"));
  s->req = NULL;
  if (!s->busy)
    h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Ends the run; the events stay for callers that resume. */
static void
finish (struct stream *s)
{
  if (s->finished)
    return;
  s->finished = true;
  s->kept_until_ms = clock_ms () + STREAM_KEEP_MS;
  uv_timer_stop (&s->timer);
  running--;
  struct entry *base = s->base;
  struct entry *entry = s->entry;
  entry->running--;
  if (base != entry)
    {
      base->running--;
      entry_settle (entry);
    }
  entry_settle (base);
}

/* Is the run at the point where its caller's connection is to break. */
static bool
at_break (const struct stream *s)
{
  return (s->behaviour == CUT || s->behaviour == DROP) && s->req
         && s->produced == s->tokens / 2;
}

static void
on_token_time (uv_timer_t *timer)
{
  struct stream *s = timer->data;

  if (at_break (s))
    {
      flush (s);
      /* All events so far are sent first, so that each run breaks at the same
         event. */
      if (s->sse && (s->busy || s->sent < s->event_count))
        {
          uv_timer_start (timer, on_token_time, 1, 0);
          return;
        }
      break_answer (s);
      s->dead = s->behaviour == CUT;
    }
  if (s->dead)
    {
      finish (s);
      return;
    }
  do
    produce_token (s);
  while (options.token_ms == 0 && s->produced < s->tokens && !at_break (s));
  if (s->produced < s->tokens)
    {
      flush (s);
      uv_timer_start (timer, on_token_time, options.token_ms, 0);
      return;
    }
  add_chunk (s, json_array (), usage_json (s));
  add_event (s, "[DONE]");
  finish (s);
  if (s->sse)
    flush (s);
  else
    answer_whole (s);
}

static void
on_stream_closed (uv_handle_t *timer)
{
  struct stream *s = timer->data;

  for (size_t i = 0; i < s->event_count; i++)
    str_free (&s->events[i]);
  free (s->events);
  str_free (&s->content);
  free (s->attempt);
  free (s->shown);
  free (s->model);
  free (s->text);
  free (s);
}

static struct stream *
stream_find (struct str attempt)
{
  for (struct stream *s = streams; s; s = s->next)
    if (str_eq (str_from (s->attempt), attempt) && !s->dead)
      return s;
  return NULL;
}

/* The text of the last message, or the prompt. */
static const char *
request_text (json_t *root)
{
  json_t *messages = json_object_get (root, "messages");
  json_t *last = json_array_get (messages, json_array_size (messages) - 1);
  json_t *text = messages ? json_object_get (last, "content")
                          : json_object_get (root, "prompt");

  return json_is_string (text) ? json_string_value (text) : "";
}

static enum behaviour
behaviour_of (const char *text)
{
  if (strstr (text, "SILENCE"))
    return SILENCE;
  if (strstr (text, "CUT"))
    return CUT;
  return strstr (text, "DROP") ? DROP : ANSWER;
}

static void
count_attempt (const char *attempt)
{
  const json_int_t n
      = json_integer_value (json_object_get (attempts, attempt));

  counts.requests++;
  counts.repeated += n > 0;
  json_object_set_new (attempts, attempt, json_integer (n + 1));
}

static uint64_t
first_token_ms (const char *text)
{
  const char *slow = strstr (text, "SLOW ");

  return slow ? strtoull (slow + 5, NULL, 10) : options.token_ms;
}

static void
start_run (h2o_req_t *req, json_t *root, bool chat, struct entry *base,
           struct entry *entry)
{
  const struct str id = standin_header (req, "x-attempt-id");
  const char *text = request_text (root);
  const json_int_t limit
      = json_integer_value (json_object_get (root, "max_tokens"));
  struct stream *s = xcalloc (1, sizeof *s);

  s->attempt = strndup (id.data, id.len);
  s->shown = strdup (strstr (text, "CROSS") ? "another-attempt" : s->attempt);
  s->model = strdup (json_string_value (json_object_get (root, "model")));
  s->text = strdup (text);
  s->behaviour = behaviour_of (text);
  s->chat = chat;
  s->sse = json_is_true (json_object_get (root, "stream"));
  s->tokens
      = limit > 0 && limit < options.tokens ? (uint32_t)limit : options.tokens;
  s->prompt_tokens = word_count (text);
  s->entry = entry;
  s->base = base;
  s->next = streams;
  streams = s;
  running++;
  entry->running++;
  base->running += base != entry;
  count_attempt (s->attempt);
  uv_timer_init (standin_loop (), &s->timer);
  s->timer.data = s;
  s->req = req;
  if (s->sse)
    start_answer (s, req, "text/event-stream", STR (": begin\n\n"));
  else if (s->behaviour == SILENCE)
    start_answer (s, req, "application/json", STR (""));
  if (s->behaviour != SILENCE)
    uv_timer_start (&s->timer, on_token_time, first_token_ms (text), 0);
}

static void
run_request (h2o_req_t *req, json_t *root, bool chat)
{
  char model[256];
  const char *name = json_string_value (json_object_get (root, "model"));

  snprintf (model, sizeof model, "%s", name ? name : "");
  char *colon = strchr (model, ':');
  if (colon)
    *colon = '\0';
  struct entry *base = entry_find (model, "");
  struct entry *entry = colon ? entry_find (model, colon + 1) : base;
  if (leaving)
    {
      standin_error (req, 503, "leaving");
      return;
    }
  if (!base || base->state != ENTRY_LOADED || !entry
      || entry->state != ENTRY_LOADED)
    {
      counts.not_loaded++;
      standin_error (req, 404, "not_loaded");
      return;
    }
  if (running >= options.slots)
    {
      standin_error (req, 503, "full");
      return;
    }
  if (strstr (request_text (root), "CRASH"))
    _exit (EXIT_CRASH);
  start_run (req, root, chat, base, entry);
}

static void
post_completion (h2o_req_t *req, bool chat)
{
  const struct str body = standin_body (req);
  json_t *root = json_loadb (body.data, body.len, 0, NULL);

  if (root)
    run_request (req, root, chat);
  else
    standin_error (req, 400, "bad_json");
  json_decref (root);
}

static void
handle_stream (h2o_req_t *req, struct str attempt)
{
  struct stream *s = stream_find (attempt);

  if (!s)
    {
      standin_error (req, 404, "unknown_stream");
      return;
    }
  if (standin_method (req, "DELETE"))
    {
      counts.cancelled++;
      break_answer (s);
      s->dead = true;
      finish (s);
      standin_json (req, 200, json_object ());
      return;
    }
  counts.resumed++;
  break_answer (s);
  s->sse = true;
  s->sent = standin_query_u64 (req, "from", 0);
  if (s->sent > s->event_count)
    s->sent = s->event_count;
  start_answer (s, req, "text/event-stream", STR (": begin\n\n"));
}

static void
sweep_streams (uint64_t now_ms)
{
  for (struct stream **at = &streams; *at;)
    {
      struct stream *s = *at;
      if (s->req && standin_gone (s->req))
        {
          break_answer (s);
          s->dead = s->behaviour == SILENCE;
          if (s->dead)
            finish (s);
        }
      flush (s);
      if (!s->finished || s->req || s->busy || now_ms < s->kept_until_ms)
        {
          at = &s->next;
          continue;
        }
      *at = s->next;
      uv_close ((uv_handle_t *)&s->timer, on_stream_closed);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  const uint64_t now = clock_ms ();

  (void)timer;
  for (struct waiter **at = &waiters; *at;)
    {
      struct waiter *w = *at;
      if (now < w->until_ms && !standin_gone (w->req))
        {
          at = &w->next;
          continue;
        }
      *at = w->next;
      standin_json (w->req, 200, status_json ());
      free (w);
    }
  sweep_streams (now);
}

static void
get_counts (h2o_req_t *req)
{
  standin_json (
      req, 200,
      json_pack (
          "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
          "s:I, s:O}",
          "requests", counts.requests, "repeated", counts.repeated, "loads",
          counts.loads, "unloads", counts.unloads, "failed_loads",
          counts.failed_loads, "old_fences", counts.old_fences,
          "refused_memory", counts.refused_memory, "violations",
          counts.violations, "replica_violations", counts.replica_violations,
          "not_loaded", counts.not_loaded, "cancelled", counts.cancelled,
          "resumed", counts.resumed, "most_bytes",
          (json_int_t)counts.most_bytes, "memory_bytes",
          (json_int_t)memory_bytes, "attempts", attempts));
}

static void
handle (h2o_req_t *req)
{
  static const struct str streams_path = STR ("/streams/");
  const struct str path = standin_path (req);
  const bool post = standin_method (req, "POST");

  if (post && str_eq (path, STR ("/v1/chat/completions")))
    post_completion (req, true);
  else if (post && str_eq (path, STR ("/v1/completions")))
    post_completion (req, false);
  else if (post && str_eq (path, STR ("/orders")))
    post_order (req);
  else if (post && str_eq (path, STR ("/leaving")))
    {
      leaving = true;
      changed ();
      standin_json (req, 200, json_object ());
    }
  else if (str_starts (path, streams_path))
    handle_stream (req, (struct str){ .data = path.data + streams_path.len,
                                      .len = path.len - streams_path.len });
  else if (str_eq (path, STR ("/status")))
    get_status (req);
  else if (str_eq (path, STR ("/counts")))
    get_counts (req);
  else
    standin_error (req, 404, "no_such_path");
}

int
main (int argc, char **argv)
{
  if (settings_parse (argc, argv, "Stand-in of a model engine.", NULL,
                      settings, sizeof settings / sizeof *settings, &options,
                      NULL)
      != 0)
    return 2;
  if (!str_u64 (options.memory, &memory_bytes))
    {
      fprintf (stderr, "--memory: '%s' is not a number of bytes\n",
               options.memory.data);
      return 2;
    }
  setenv ("UV_THREADPOOL_SIZE", LOADER_THREADS, 1);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (!session_open ())
    {
      fprintf (stderr, "--store: '%s' does not answer\n", options.store.data);
      return 1;
    }
  instance = clock_wall_ms ();
  order_results = json_object ();
  attempts = json_object ();
  uv_timer_init (standin_loop (), &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return standin_run (options.port, handle);
}
