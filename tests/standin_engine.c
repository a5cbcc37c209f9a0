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
#define PING_INTERVAL_MS 2000
#define TICK_MS 50
/* Time for which a finished stream can still be resumed. */
#define STREAM_RETENTION_MS 60000
#define LOADER_THREADS "64"
#define SESSION_POLL_US 1000
#define SESSION_POLLS_MAX 5000

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
  { "slots", "N", "maximum number of concurrent requests", SETTING_U32,
    FIELD (slots), "8", 1, 100000 },
  { "fenced", "0|1",
    "reject orders whose fence is lower than the highest seen", SETTING_U32,
    FIELD (fenced), "1", 0, 1 },
  { "store", "URL", "weight store", SETTING_URL, FIELD (store), NULL, 0, 0 },
  { "load-ms", "MS", "duration of a load at full speed", SETTING_U32,
    FIELD (load_ms), "300", 0, 600000 },
  { "token-ms", "MS", "time between tokens", SETTING_U32, FIELD (token_ms),
    "5", 0, 60000 },
  { "tokens", "N", "maximum number of tokens in an answer", SETTING_U32,
    FIELD (tokens), "16", 1, 100000 },
  { "max-replicas-check", "N",
    "count loads that raise the replicas of a model on all engines above N; "
    "0 disables the check",
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

/* A model or an adapter in memory; @adapter is empty for a model. */
struct entry
{
  char *model;
  char *version;
  char *adapter;
  uint64_t bytes;
  enum entry_state state;
  json_t *order_id;
  unsigned running;
  bool release_started;
  struct entry *next;
};

/* A request to the weight store for an entry, sent from a worker thread. */
struct transfer
{
  uv_work_t work;
  struct entry *entry;
  char *order_key; /* key in @order_statuses; empty for a release */
  const char *method;
  long status;
  struct buf body;
};

/* A long poll of /status that awaits a change. */
struct status_poll
{
  h2o_req_t *req;
  uint64_t deadline_ms;
  struct status_poll *next;
};

/* How the engine answers a request, selected by a word in its text. */
enum behaviour
{
  BEHAVIOUR_ANSWER,
  BEHAVIOUR_SILENCE, /* sends only the headers */
  BEHAVIOUR_CUT,     /* run and connection end half-way */
  BEHAVIOUR_DROP,    /* connection closes half-way, the run can be resumed */
  BEHAVIOUR_DROPS,   /* like DROP, but after every second token */
  BEHAVIOUR_TAIL,    /* like DROP, but between [DONE] and the last chunk */
};

/**
 * struct stream - one run of a request.
 * @attempt: value of the request's X-Attempt-Id header.
 * @reply_attempt: attempt ID in the answer; a wrong one if the text has CROSS.
 * @content: text generated so far.
 * @send_pending: true while h2o still sends to @req.
 * @aborted: true if the run ended early and can't be resumed.
 * @req: request that receives the answer; NULL if none is attached.
 * @events: SSE events generated so far.
 * @events_sent: index of the next event to send to @req.
 * @refusals_left: number of resumes that fail before one succeeds.
 * @entry: adapter, or model for a request without an adapter.
 * @base: model that @entry belongs to.
 */
struct stream
{
  char *attempt;
  char *reply_attempt;
  char *model;
  char *text;
  struct str content;
  enum behaviour behaviour;
  bool chat;
  bool sse;
  bool send_pending;
  bool finished;
  bool aborted;
  uint32_t tokens_total;
  uint32_t tokens_produced;
  unsigned prompt_tokens;
  uint64_t retained_until_ms;
  uint64_t next_ping_ms;
  h2o_req_t *req;
  struct str *events;
  size_t event_count;
  size_t events_sent;
  uint64_t refusals_left;
  struct entry *entry;
  struct entry *base;
  uv_timer_t timer;
  struct stream *next;
};

struct stream_generator
{
  h2o_generator_t generator;
  struct stream *stream;
};

static struct options options;
static uint64_t memory_bytes;
static uint64_t instance;
static uint64_t fence;
static uint64_t status_seq = 1;
static bool leaving;
static struct entry *entries;
static struct status_poll *status_polls;
static struct stream *streams;
static unsigned running;
static json_t *order_statuses; /* order ID to 202, or 500 if its load failed */
static json_t *runs_by_attempt; /* attempt ID to number of runs */
static uv_timer_t tick;

/* Counters that /counts returns. @repeated counts requests with an attempt ID
   that ran before, @violations loads that overcommitted the memory. */
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
                    (json_int_t)status_seq, "instance", (json_int_t)instance,
                    "fence", (json_int_t)fence, "leaving", (int)leaving,
                    "memory_bytes", (json_int_t)memory_bytes, "slots",
                    (int)options.slots, "running", (int)running, "queued", 0,
                    "entries", list);
}

static void
publish_status (void)
{
  status_seq++;
  while (status_polls)
    {
      struct status_poll *p = status_polls;
      status_polls = p->next;
      standin_json (p->req, 200, status_json ());
      free (p);
    }
}

static void
get_status (h2o_req_t *req)
{
  const uint64_t wait_ms = standin_query_u64 (req, "wait_ms", 0);

  if (standin_query_u64 (req, "since", 0) != status_seq || wait_ms == 0)
    {
      standin_json (req, 200, status_json ());
      return;
    }
  struct status_poll *p = xcalloc (1, sizeof *p);
  *p = (struct status_poll){ .req = req,
                             .deadline_ms = clock_ms () + wait_ms,
                             .next = status_polls };
  status_polls = p;
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

/* Requests to the weight store. */

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
transfer_start (struct entry *entry, const char *method, const char *order_key,
                uv_after_work_cb done)
{
  struct transfer *t = xcalloc (1, sizeof *t);

  t->entry = entry;
  t->method = method;
  t->order_key = strdup (order_key);
  uv_queue_work (standin_loop (), &t->work, transfer_work, done);
}

static void
transfer_free (struct transfer *t)
{
  buf_free (&t->body);
  free (t->order_key);
  free (t);
}

static void
on_release_done (uv_work_t *work, int status)
{
  struct transfer *t = (struct transfer *)work;

  (void)status;
  entry_remove (t->entry);
  publish_status ();
  transfer_free (t);
}

/* Removes an unloading entry once no request uses it. The weight store counts
   replicas, so a model is released there before the status stops listing it
   and another engine may load it. */
static void
entry_finish_unload (struct entry *entry)
{
  if (entry->state != ENTRY_UNLOADING || entry->running > 0
      || entry->release_started)
    return;
  counts.unloads++;
  entry->release_started = true;
  if (!entry->adapter[0])
    {
      transfer_start (entry, "DELETE", "", on_release_done);
      return;
    }
  entry_remove (entry);
  publish_status ();
}

static void
count_replica_violation (const struct buf *body)
{
  json_t *root = json_loadb (body->data, body->len, 0, NULL);
  const json_int_t n = json_integer_value (json_object_get (root, "replicas"));

  counts.replica_violations
      += options.max_replicas_check > 0 && n > options.max_replicas_check;
  json_decref (root);
}

static void
on_load_done (uv_work_t *work, int status)
{
  struct transfer *t = (struct transfer *)work;
  struct entry *e = t->entry;

  (void)status;
  if (t->status == 200)
    {
      counts.loads++;
      e->state = ENTRY_LOADED;
      count_replica_violation (&t->body);
    }
  else
    {
      counts.failed_loads++;
      json_object_set_new (order_statuses, t->order_key, json_integer (500));
      entry_remove (e);
    }
  publish_status ();
  transfer_free (t);
}

/* Opens a connection that stays idle until this process ends. When it closes,
   the weight store drops the process's session and replicas. */
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
  for (int i = 0; ok && rc == CURLE_AGAIN && i < SESSION_POLLS_MAX; i++)
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
  transfer_start (e, "GET", key, on_load_done);
  publish_status ();
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
      entry_finish_unload (i);
    }
  publish_status ();
  return 202;
}

static int
order_execute (const struct order *o, const char *key, const char **error)
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
      publish_status ();
    }
  if (strcmp (o->kind, "fence") == 0)
    return 202;
  if (strncmp (o->kind, "unload", 6) == 0)
    return order_unload (o, error);
  return order_load (o, key, error);
}

static bool
order_is_valid (const struct order *o)
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
      || !order_is_valid (&o))
    {
      standin_error (req, 400, "bad_order");
      json_decref (root);
      return;
    }
  char *key = json_dumps (o.id, JSON_ENCODE_ANY);
  int status = (int)json_integer_value (json_object_get (order_statuses, key));
  if (status == 0)
    {
      status = order_execute (&o, key, &error);
      /* A rejected order had no effect, so a retry of it is executed again. */
      if (status == 202)
        json_object_set_new (order_statuses, key, json_integer (202));
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

/* Generation of answers. */

static unsigned
word_count (const char *text)
{
  unsigned n = 0;

  for (const char *p = text; *p; p++)
    n += *p != ' ' && (p[1] == ' ' || p[1] == '\0');
  return n;
}

/* Token 0 names the model, token 1 is a hash of the request's text, and the
   further tokens repeat the words of that text in order. */
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
                    "completion_tokens", (int)s->tokens_total, "total_tokens",
                    (int)(s->prompt_tokens + s->tokens_total));
}

static void
add_event (struct stream *s, const char *data)
{
  s->events = xrealloc (s->events, (s->event_count + 1) * sizeof *s->events);
  s->events[s->event_count]
      = str_printf ("id: %zu\ndata: %s\n\n", s->event_count + 1, data);
  s->event_count++;
}

/* Returns a completion object. Takes over the references to @choices and
   @usage, which may be NULL. */
static json_t *
completion_json (const struct stream *s, const char *object, json_t *choices,
                 json_t *usage)
{
  return json_pack ("{s:s, s:s, s:I, s:s, s:s, s:o, s:o*}", "id",
                    s->reply_attempt, "object", object, "created",
                    (json_int_t)(clock_wall_ms () / 1000), "model", s->model,
                    "attempt", s->reply_attempt, "choices", choices, "usage",
                    usage);
}

static void
add_chunk (struct stream *s, json_t *choices, json_t *usage)
{
  json_t *chunk = completion_json (
      s, s->chat ? "chat.completion.chunk" : "text_completion", choices,
      usage);
  char *text = json_dumps (chunk, JSON_COMPACT);

  add_event (s, text);
  free (text);
  json_decref (chunk);
}

static void
produce_token (struct stream *s)
{
  struct str token = make_token (s, s->tokens_produced++);
  struct buf content = { 0 };
  const char *reason = s->tokens_produced == s->tokens_total ? "stop" : NULL;

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
send_whole_answer (struct stream *s)
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
  standin_add_header (req, "x-attempt-id", str_from (s->reply_attempt));
  standin_json (
      req, 200,
      completion_json (s, s->chat ? "chat.completion" : "text_completion",
                       choices, usage_json (s)));
}

/* Sends the unsent events, or a ping if one is due, unless h2o still sends
   earlier data. */
static void
send_events (struct stream *s)
{
  h2o_req_t *req = s->req;
  struct buf b = { 0 };

  if (!req || !s->sse || s->send_pending || s->behaviour == BEHAVIOUR_SILENCE)
    return;
  if (standin_conn_silenced (req))
    {
      s->req = NULL;
      return;
    }
  while (s->events_sent < s->event_count)
    buf_append (&b, s->events[s->events_sent++]);
  const uint64_t now = clock_ms ();
  if (b.len == 0 && !s->finished)
    {
      if (now < s->next_ping_ms)
        return;
      buf_append (&b, STR (": ping\n\n"));
    }
  s->next_ping_ms = now + PING_INTERVAL_MS;
  h2o_iovec_t out = h2o_strdup (&req->pool, b.data ? b.data : "", b.len);
  buf_free (&b);
  if (s->finished)
    s->req = NULL;
  s->send_pending = !s->finished;
  h2o_send (req, &out, 1,
            s->finished ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

static void
on_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  struct stream *s = ((struct stream_generator *)generator)->stream;

  s->send_pending = false;
  if (s->req == req)
    send_events (s);
  else
    h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
on_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  struct stream *s = ((struct stream_generator *)generator)->stream;

  s->send_pending = false;
  if (s->req == req)
    s->req = NULL;
}

/* Writes the headers past h2o, which would hold them back until the first byte
   of the body. */
static void
send_headers_only (struct stream *s, h2o_req_t *req, const char *type)
{
  struct str head = str_printf ("HTTP/1.1 200 OK\r\ncontent-type: %s\r\n"
                                "x-attempt-id: %s\r\n"
                                "transfer-encoding: chunked\r\n\r\n",
                                type, s->reply_attempt);

  s->req = req;
  standin_send_raw (req, head);
  str_free (&head);
}

/* Sends the headers and @body as the first part of a streamed body. */
static void
start_answer (struct stream *s, h2o_req_t *req, const char *type,
              struct str body)
{
  h2o_iovec_t out = h2o_strdup (&req->pool, body.data, body.len);
  struct stream_generator *sender
      = h2o_mem_alloc_pool (&req->pool, sizeof *sender);

  if (s->behaviour == BEHAVIOUR_SILENCE)
    {
      send_headers_only (s, req, type);
      return;
    }
  *sender = (struct stream_generator){ .generator = { on_proceed, on_stop },
                                       .stream = s };
  s->req = req;
  s->send_pending = true;
  s->next_ping_ms = clock_ms () + PING_INTERVAL_MS;
  req->res.status = 200;
  req->res.reason = "OK";
  standin_add_header (req, "content-type", str_from (type));
  standin_add_header (req, "x-attempt-id", str_from (s->reply_attempt));
  h2o_start_response (req, &sender->generator);
  h2o_send (req, &out, 1, H2O_SEND_STATE_IN_PROGRESS);
}

/* Closes the caller's connection without the final chunk. */
static void
abort_answer (struct stream *s)
{
  h2o_req_t *req = s->req;

  if (!req)
    return;
  if (s->behaviour == BEHAVIOUR_SILENCE)
    {
      s->req = NULL;
      standin_close (req);
      return;
    }
  if (!s->sse)
    start_answer (s, req, "application/json", STR ("{\"id\":"));
  s->req = NULL;
  if (!s->send_pending)
    h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/* Ends the run and frees its slot. The events are kept for callers that
   resume the stream. */
static void
finish (struct stream *s)
{
  if (s->finished)
    return;
  s->finished = true;
  s->retained_until_ms = clock_ms () + STREAM_RETENTION_MS;
  uv_timer_stop (&s->timer);
  running--;
  struct entry *base = s->base;
  struct entry *entry = s->entry;
  entry->running--;
  if (base != entry)
    {
      base->running--;
      entry_finish_unload (entry);
    }
  entry_finish_unload (base);
}

/* Returns true if the connection of a run with a caller is to be closed before
   the next token. */
static bool
at_abort_point (const struct stream *s)
{
  if (!s->req || s->tokens_produced == 0)
    return false;
  if (s->behaviour == BEHAVIOUR_DROPS)
    return s->tokens_produced % 2 == 0;
  if (s->behaviour == BEHAVIOUR_TAIL)
    return s->tokens_produced == s->tokens_total;
  return (s->behaviour == BEHAVIOUR_CUT || s->behaviour == BEHAVIOUR_DROP)
         && s->tokens_produced == s->tokens_total / 2;
}

static void
on_token_timer (uv_timer_t *timer)
{
  struct stream *s = timer->data;

  /* Generates no tokens between a drop and the resume, so that the number of
     drops doesn't depend on the time that a resume takes. */
  if (s->behaviour == BEHAVIOUR_DROPS && !s->req)
    {
      uv_timer_start (timer, on_token_timer, 1, 0);
      return;
    }
  if (at_abort_point (s))
    {
      send_events (s);
      /* Sends all events so far first, so that each run breaks off after the
         same event. */
      if (s->sse && (s->send_pending || s->events_sent < s->event_count))
        {
          uv_timer_start (timer, on_token_timer, 1, 0);
          return;
        }
      abort_answer (s);
      s->aborted = s->behaviour == BEHAVIOUR_CUT;
    }
  if (s->aborted || s->tokens_produced == s->tokens_total)
    {
      finish (s);
      return;
    }
  do
    produce_token (s);
  while (options.token_ms == 0 && s->tokens_produced < s->tokens_total
         && !at_abort_point (s));
  if (s->tokens_produced < s->tokens_total)
    {
      send_events (s);
      uv_timer_start (timer, on_token_timer, options.token_ms, 0);
      return;
    }
  add_chunk (s, json_array (), usage_json (s));
  add_event (s, "[DONE]");
  if (s->behaviour == BEHAVIOUR_TAIL)
    {
      uv_timer_start (timer, on_token_timer, 0, 0);
      return;
    }
  finish (s);
  if (s->sse)
    send_events (s);
  else
    send_whole_answer (s);
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
  free (s->reply_attempt);
  free (s->model);
  free (s->text);
  free (s);
}

static struct stream *
stream_find (struct str attempt)
{
  for (struct stream *s = streams; s; s = s->next)
    if (str_eq (str_from (s->attempt), attempt) && !s->aborted)
      return s;
  return NULL;
}

/* Returns the content of the last message, or the prompt; empty if absent. */
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
parse_behaviour (const char *text)
{
  if (strstr (text, "SILENCE"))
    return BEHAVIOUR_SILENCE;
  if (strstr (text, "CUT"))
    return BEHAVIOUR_CUT;
  if (strstr (text, "DROPS"))
    return BEHAVIOUR_DROPS;
  if (strstr (text, "TAIL"))
    return BEHAVIOUR_TAIL;
  return strstr (text, "DROP") ? BEHAVIOUR_DROP : BEHAVIOUR_ANSWER;
}

static void
count_attempt (const char *attempt)
{
  const json_int_t n
      = json_integer_value (json_object_get (runs_by_attempt, attempt));

  counts.requests++;
  counts.repeated += n > 0;
  json_object_set_new (runs_by_attempt, attempt, json_integer (n + 1));
}

/* Returns the number after a word of the text, or @otherwise if the text
   doesn't have the word. */
static uint64_t
number_after (const char *text, const char *word, uint64_t otherwise)
{
  const char *found = strstr (text, word);

  return found ? strtoull (found + strlen (word), NULL, 10) : otherwise;
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
  s->reply_attempt
      = strdup (strstr (text, "CROSS") ? "another-attempt" : s->attempt);
  s->model = strdup (json_string_value (json_object_get (root, "model")));
  s->text = strdup (text);
  s->behaviour = parse_behaviour (text);
  s->refusals_left = number_after (text, "REFUSE ", 0);
  s->chat = chat;
  s->sse = json_is_true (json_object_get (root, "stream"));
  s->tokens_total
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
  else if (s->behaviour == BEHAVIOUR_SILENCE)
    start_answer (s, req, "application/json", STR (""));
  if (s->behaviour != BEHAVIOUR_SILENCE)
    uv_timer_start (&s->timer, on_token_timer,
                    number_after (text, "SLOW ", options.token_ms), 0);
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

/* Answers with an error or closes the connection, in turn. */
static void
refuse_resume (struct stream *s, h2o_req_t *req)
{
  if (s->refusals_left-- % 2 == 0)
    standin_error (req, 503, "busy");
  else
    standin_close (req);
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
      abort_answer (s);
      s->aborted = true;
      finish (s);
      standin_json (req, 200, json_object ());
      return;
    }
  if (s->refusals_left > 0)
    {
      refuse_resume (s, req);
      return;
    }
  counts.resumed++;
  abort_answer (s);
  s->sse = true;
  s->events_sent = standin_query_u64 (req, "from", 0);
  if (s->events_sent > s->event_count)
    s->events_sent = s->event_count;
  start_answer (s, req, "text/event-stream", STR (": begin\n\n"));
}

static void
sweep_streams (uint64_t now_ms)
{
  for (struct stream **at = &streams; *at;)
    {
      struct stream *s = *at;
      if (s->req && standin_client_closed (s->req))
        {
          abort_answer (s);
          s->aborted = s->behaviour == BEHAVIOUR_SILENCE;
          if (s->aborted)
            finish (s);
        }
      send_events (s);
      if (!s->finished || s->req || s->send_pending
          || now_ms < s->retained_until_ms)
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
  for (struct status_poll **at = &status_polls; *at;)
    {
      struct status_poll *p = *at;
      if (now < p->deadline_ms && !standin_client_closed (p->req))
        {
          at = &p->next;
          continue;
        }
      *at = p->next;
      standin_json (p->req, 200, status_json ());
      free (p);
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
          (json_int_t)memory_bytes, "attempts", runs_by_attempt));
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
      publish_status ();
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
  if (settings_parse (argc, argv, "Stand-in for a model engine.", NULL,
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
      fprintf (stderr, "--store: no response from '%s'\n", options.store.data);
      return 1;
    }
  instance = clock_wall_ms ();
  order_statuses = json_object ();
  runs_by_attempt = json_object ();
  uv_timer_init (standin_loop (), &tick);
  uv_timer_start (&tick, on_tick, TICK_MS, TICK_MS);
  return standin_run (options.port, handle);
}
