#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "settings.h"
#include "standinlib.h"

/* Stand-in for a server of the users' platform: a plain service, or a model
   server when --models is given. It counts how often each call is executed,
   the orders that would exceed its memory, and the accepted orders by fencing
   token and holder. --fault makes every response fail in one way. */

#define LAST_EVENT 8 /* number of the last event of a stream */
#define ADAPTER_LOAD_MS 6
#define MODELS_MAX 32
#define SEAL "s.1"
#define STATUS_LINE_OK "HTTP/1.1 200 OK"

struct options
{
  uint32_t port;
  struct str id;
  struct str models;
  struct str fault;
  uint32_t max_models;
  uint32_t max_adapters;
  uint32_t load_ms;
  uint32_t delay_ms;
  uint32_t event_gap_ms;
  uint32_t reject_first;
  uint32_t reject_after;
  uint32_t body_kb;
  uint32_t crash_after_ms;
};

/* Longer than a node waits for the next event when it can resume the stream on
   another server. */
#define STREAM_PAUSE_MS 1500
/* Interval at which a silent stream checks whether its caller is still there.
 */
#define SILENT_CHECK_MS 20

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "id", "ID", "instance ID of this process", SETTING_STRING, FIELD (id),
    NULL, 0, 0 },
  { "models", "LIST", "models loaded at startup; - for none", SETTING_STRING,
    FIELD (models), "", 0, 0 },
  { "fault", "WORD",
    "shed, close, close-kept, short-keep-alive, cut, cut-head, "
    "cut-head-length, cut-chunks, unsealed, crossed, unframed, "
    "error, "
    "unframed-cut, cut-event, cut-end, no-answer, "
    "repeat-refusal, repeat-refusal-unnamed, text-busy, text-lines, "
    "text-empty, events-lines, events-head, leaving, retry-after, "
    "silent, pause, a malformed head, or one of the endless responses",
    SETTING_STRING, FIELD (fault), "", 0, 0 },
  { "most-models", "N", "models that fit in memory", SETTING_U32,
    FIELD (max_models), "2", 1, MODELS_MAX },
  { "most-adapters", "N", "adapters that fit in memory", SETTING_U32,
    FIELD (max_adapters), "2", 0, 64 },
  { "load-ms", "MS", "duration of a model load", SETTING_U32, FIELD (load_ms),
    "100", 0, 60000 },
  { "delay-ms", "MS", "duration of a call to a plain service", SETTING_U32,
    FIELD (delay_ms), "0", 0, 60000 },
  { "reject-first", "N", "calls rejected as full before one is executed",
    SETTING_U32, FIELD (reject_first), "0", 0, 1000 },
  { "reject-after", "N",
    "executed calls after which all others are rejected as full; 0 for never",
    SETTING_U32, FIELD (reject_after), "0", 0, 1000 },
  { "event-gap-ms", "MS",
    "pause between the events of a stream or the parts of a large body",
    SETTING_U32, FIELD (event_gap_ms), "20", 1, 60000 },
  { "body-kb", "KB", "size of responses that are not streams, sent in parts",
    SETTING_U32, FIELD (body_kb), "0", 0, 65536 },
  { "crash-after-ms", "MS",
    "how long a crashing stream is answered; 0 for not at all", SETTING_U32,
    FIELD (crash_after_ms), "0", 0, 60000 },
};

static struct options options;
static json_t *models;           /* name -> list of adapters */
static json_t *runs;             /* number of executions by attempt ID */
static json_t *headers;          /* of the last call */
static json_t *ports;            /* caller's port by attempt ID */
static json_t *used_connections; /* numbers of those that carried a call */
static json_t *orders;           /* accepted orders, oldest first */
static json_t *holders;          /* token -> holder -> accepted orders */
static json_int_t arrivals;
static uint32_t calls_executed;
static uint32_t calls_rejected; /* because of --reject-first */
/* Calls whose caller disconnected before the end of the response. */
static json_int_t calls_abandoned;
static json_int_t capacity_violations; /* loads ordered beyond capacity */
static json_int_t orders_accepted;
static uint64_t fence; /* highest fencing token accepted */
static bool busy;

static bool
has_fault (const char *name)
{
  return str_eq (options.fault, str_from (name));
}

static bool
is_model_server (void)
{
  return options.models.len > 0;
}

/* ---- orders ---- */

struct model_order
{
  bool load;
  char *model;
};

static void
finish_order (void *ctx)
{
  struct model_order *o = ctx;

  if (o->load)
    json_object_set_new (models, o->model, json_array ());
  else
    json_object_del (models, o->model);
  busy = false;
  free (o->model);
  free (o);
}

static size_t
count_loaded_adapters (void)
{
  const char *name;
  json_t *list;
  size_t n = 0;

  json_object_foreach (models, name, list) n += json_array_size (list);
  return n;
}

static void
apply_adapter_order (const char *model, const char *adapter, bool load)
{
  json_t *list = json_object_get (models, model);

  if (load)
    {
      if (count_loaded_adapters () >= options.max_adapters)
        capacity_violations++;
      json_array_append_new (list, json_string (adapter));
      return;
    }
  for (size_t i = 0; i < json_array_size (list); i++)
    if (strcmp (json_string_value (json_array_get (list, i)), adapter) == 0)
      json_array_remove (list, i);
}

static void
start_model_order (const char *model, bool load)
{
  struct model_order *o = xcalloc (1, sizeof *o);

  if (load && json_object_size (models) >= options.max_models)
    capacity_violations++;
  o->load = load;
  o->model = strdup (model);
  busy = true;
  standin_run_after (load ? options.load_ms : 1, finish_order, o);
}

static void
accept_order (h2o_req_t *req, json_t *body, const char *model,
              const char *adapter, bool load)
{
  orders_accepted++;
  json_array_append (orders, body);
  if (adapter)
    apply_adapter_order (model, adapter, load);
  else
    start_model_order (model, load);
  standin_json (req, adapter && !load ? 200 : 202, json_object ());
}

static void
record_holder (json_int_t token, const char *holder)
{
  char name[24];

  snprintf (name, sizeof name, "%lld", token);
  json_t *counts = json_object_get (holders, name);
  if (!counts)
    {
      counts = json_object ();
      json_object_set_new (holders, name, counts);
    }
  json_object_set_new (
      counts, holder,
      json_integer (json_integer_value (json_object_get (counts, holder))
                    + 1));
}

static void
handle_order (h2o_req_t *req)
{
  const struct str text = standin_body (req);
  json_t *body = json_loadb (text.data, text.len, 0, NULL);
  const char *operation = "";
  const char *model = "";
  const char *adapter = NULL;
  const char *holder = "";
  json_int_t token = 0;
  json_int_t expect = -1;

  if (json_unpack (body, "{s:s, s:s, s?s, s:s, s:I, s?I}", "operation",
                   &operation, "model", &model, "adapter", &adapter, "holder",
                   &holder, "fencing_token", &token, "expect", &expect)
      != 0)
    standin_error (req, 400, "bad_order");
  else if ((uint64_t)token < fence)
    standin_error (req, 412, "fenced");
  else if (busy || (expect >= 0 && expect != orders_accepted))
    standin_error (req, 409, "conflict");
  else
    {
      fence = (uint64_t)token;
      record_holder (token, holder);
      accept_order (req, body, model, adapter,
                    strcmp (operation, "load") == 0);
    }
  json_decref (body);
}

static void
report (h2o_req_t *req)
{
  json_t *list = json_array ();
  const char *name;
  json_t *adapters;

  json_object_foreach (models, name, adapters) json_array_append_new (
      list, json_pack ("{s:s, s:i, s:O}", "name", name, "version", 1,
                       "adapters", adapters));
  standin_json (req, 200,
                json_pack ("{s:s, s:o, s:b, s:I, s:i, s:i, s:{s:[], s:[]}}",
                           "stage", "colocated", "models", list, "busy", busy,
                           "seq", orders_accepted, "queued", 0, "running", 0,
                           "at_hand", "in_memory", "on_disk"));
}

/* ---- responses to calls ---- */

struct stream
{
  h2o_req_t *req;
  int event;   /* number of the next event */
  bool silent; /* leaves the connection open without further events */
};

static void
send_raw_text (h2o_req_t *req, const char *text)
{
  standin_send_raw (req, str_from (text));
}

static const char *
response_attempt_id (const h2o_req_t *req, char *out, size_t size)
{
  const struct str id = standin_header (req, "x-galenagate-attempt-id");

  snprintf (out, size, "%.*s", (int)id.len, id.data);
  return has_fault ("crossed") ? "another-call" : out;
}

static void
close_connection (void *ctx)
{
  standin_close (ctx);
}

/* Sends a malformed response, which h2o itself would not write. */
static void
answer_raw (h2o_req_t *req, const char *framing, const char *body)
{
  char id[64];
  struct str text
      = str_printf ("HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
                    "X-Galenagate-Server-Seal: " SEAL "\r\n%s\r\n%s",
                    response_attempt_id (req, id, sizeof id), framing, body);

  send_raw_text (req, text.data);
  str_free (&text);
  standin_run_after (1, close_connection, req);
}

/* Closes the connection before the empty line that ends the head. */
static void
cut_head (h2o_req_t *req)
{
  char id[64];
  struct str text = str_printf (
      "HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
      "X-Galenagate-Server-Seal: " SEAL "\r\n%s",
      response_attempt_id (req, id, sizeof id),
      has_fault ("cut-head-length") ? "Content-Length: 0\r\n" : "");

  send_raw_text (req, text.data);
  str_free (&text);
  standin_run_after (1, close_connection, req);
}

/* ---- malformed heads ---- */

/* Heads with a status that is none, or with a field whose name is none. */
static const struct odd_head
{
  const char *fault_name;
  const char *status_line;
  const char *field;
  bool leave_open;
} odd_heads[] = {
  { "status-000", "HTTP/1.1 000 OK", "", false },
  { "status-000-open", "HTTP/1.1 000 OK", "", true },
  { "status-000-length", "HTTP/1.1 000 OK", "Content-Length: 12\r\n", true },
  { "status-000-http2", "HTTP/2 000 OK", "", false },
  { "status-000-http2-length", "HTTP/2 000 OK", "Content-Length: 12\r\n",
    true },
  { "status-000-http2-open", "HTTP/2 000 OK", "", true },
  { "status-http2", "HTTP/2 200 OK", "", false },
  { "status-unseparated", "HTTP/1.1 200OK", "", false },
  { "name-blank", STATUS_LINE_OK, "X Odd: 1\r\n", false },
  { "name-blank-end", STATUS_LINE_OK, "X-Odd : 1\r\n", false },
  { "name-control", STATUS_LINE_OK, "X\x01Odd: 1\r\n", false },
  { "chunked-blank", STATUS_LINE_OK, "Transfer-Encoding : chunked\r\n",
    false },
};
#define ODD_HEADS (sizeof odd_heads / sizeof *odd_heads)

static const struct odd_head *
odd_head_fault (void)
{
  for (size_t i = 0; i < ODD_HEADS; i++)
    if (has_fault (odd_heads[i].fault_name))
      return &odd_heads[i];
  return NULL;
}

/* Sends a malformed head and a body, which ends with the connection and looks
   like a chunk. */
static void
answer_odd_head (h2o_req_t *req, const struct odd_head *head)
{
  char id[64];
  struct str text
      = str_printf ("%s\r\nX-Galenagate-Attempt-Id: %s\r\n"
                    "X-Galenagate-Server-Seal: " SEAL "\r\n%s\r\n"
                    "2\r\nok\r\n0\r\n\r\n",
                    head->status_line,
                    response_attempt_id (req, id, sizeof id), head->field);

  send_raw_text (req, text.data);
  str_free (&text);
  if (!head->leave_open)
    standin_run_after (1, close_connection, req);
}

/* ---- large bodies ---- */

#define BODY_PART_BYTES 16384

struct large_body
{
  h2o_req_t *req;
  size_t remaining; /* bytes to send */
};

/* Every byte of a large body, which differs between servers. */
static char
body_byte (void)
{
  return options.id.data[options.id.len - 1];
}

static void
send_body_part (struct large_body *b)
{
  char part[BODY_PART_BYTES];
  char size[16];
  const size_t n = b->remaining < sizeof part ? b->remaining : sizeof part;

  memset (part, body_byte (), n);
  snprintf (size, sizeof size, "%zx\r\n", n);
  if (has_fault ("cut-chunks"))
    send_raw_text (b->req, size);
  standin_send_raw (b->req, (struct str){ part, n });
  if (has_fault ("cut-chunks"))
    send_raw_text (b->req, "\r\n");
  b->remaining -= n;
}

/* Sends the next part. A response with a fault breaks off at half its size. */
static void
continue_body (void *ctx)
{
  struct large_body *b = ctx;
  const size_t end
      = options.fault.len > 0 ? (size_t)options.body_kb * 1024 / 2 : 0;

  if (b->remaining > end && !standin_client_closed (b->req))
    {
      send_body_part (b);
      standin_run_after (options.event_gap_ms, continue_body, b);
      return;
    }
  if (b->remaining > end)
    calls_abandoned++;
  standin_close (b->req);
  free (b);
}

static void
answer_large (h2o_req_t *req)
{
  struct large_body *b = xcalloc (1, sizeof *b);
  char id[64];
  char framing[64];

  snprintf (framing, sizeof framing, "Content-Length: %zu",
            (size_t)options.body_kb * 1024);
  struct str head = str_printf (
      "HTTP/1.1 %s\r\nX-Galenagate-Attempt-Id: %s\r\n"
      "X-Galenagate-Server-Seal: " SEAL "\r\n%s\r\n\r\n",
      has_fault ("error") ? "500 Error" : "200 OK",
      response_attempt_id (req, id, sizeof id),
      has_fault ("cut-chunks") ? "Transfer-Encoding: chunked" : framing);

  b->req = req;
  b->remaining = (size_t)options.body_kb * 1024;
  send_raw_text (req, head.data);
  str_free (&head);
  continue_body (b);
}

static void
answer_plain (void *ctx)
{
  h2o_req_t *req = ctx;
  char id[64];
  const struct str path = { req->path.base, req->path.len };
  struct buf body = { 0 };

  if (standin_client_closed (req))
    calls_abandoned++;
  if (options.body_kb > 0)
    {
      answer_large (req);
      return;
    }
  if (has_fault ("cut"))
    {
      answer_raw (req, "Content-Length: 100\r\n", "half");
      return;
    }
  if (has_fault ("unframed"))
    {
      answer_raw (req, "", "to the end");
      return;
    }
  if (has_fault ("leaving"))
    standin_add_header (req, "Server-Leaving", STR ("1"));
  if (has_fault ("short-keep-alive"))
    standin_add_header (req, "Keep-Alive", STR ("timeout=1"));
  if (!has_fault ("unsealed"))
    standin_add_header (req, "X-Galenagate-Server-Seal", STR (SEAL));
  standin_add_header (req, "X-Galenagate-Attempt-Id",
                      str_from (response_attempt_id (req, id, sizeof id)));
  buf_printf (&body, "%.*s " STR_FMT " ", (int)req->method.len,
              req->method.base, STR_ARG (path));
  buf_append (&body, standin_body (req));
  standin_reply (req, has_fault ("error") ? 500 : 200, "text/x-test",
                 buf_str (&body));
  buf_free (&body);
}

/* Returns true for streams with neither a length nor chunks. */
static bool
is_unframed (void)
{
  return has_fault ("unframed") || has_fault ("unframed-cut");
}

/* Returns true if the stream breaks off inside its current event. */
static bool
cuts_event (const struct stream *s)
{
  return s->event == 4
         && (has_fault ("cut-event") || has_fault ("unframed-cut"));
}

static void
send_event (const struct stream *s)
{
  struct str event = str_printf ("id: %d\ndata: e%d\n\n", s->event, s->event);
  struct str chunk;

  /* The connection is closed after the truncated event. */
  if (cuts_event (s))
    event.len -= 5;
  chunk = is_unframed () ? str_dup (event)
                         : str_printf ("%zx\r\n" STR_FMT "\r\n", event.len,
                                       STR_ARG (event));
  send_raw_text (s->req, chunk.data);
  str_free (&event);
  str_free (&chunk);
}

static void
next_event (void *ctx)
{
  struct stream *s = ctx;

  if (standin_client_closed (s->req))
    {
      calls_abandoned++;
      standin_close (s->req);
      free (s);
      return;
    }
  if (s->silent)
    {
      standin_run_after (SILENT_CHECK_MS, next_event, s);
      return;
    }
  if (s->event > LAST_EVENT)
    {
      if (!has_fault ("cut-end") && !is_unframed ())
        send_raw_text (s->req, "0\r\n\r\n");
      standin_run_after (20, close_connection, s->req);
      free (s);
      return;
    }
  send_event (s);
  if (cuts_event (s))
    {
      standin_run_after (1, close_connection, s->req);
      free (s);
      return;
    }
  s->event++;
  s->silent = has_fault ("silent") && s->event == 4;
  standin_run_after (has_fault ("pause") && s->event == 4
                         ? STREAM_PAUSE_MS
                         : options.event_gap_ms,
                     next_event, s);
}

/* Answers with status 200 to calls of streams that are no events. */
static const struct
{
  const char *fault_name;
  const char *type;
  const char *body;
} no_events[] = {
  { "text-busy", "text/plain", "busy" },
  { "text-lines", "text/plain", "busy\n\n" },
  { "text-empty", "text/plain", "" },
  { "events-lines", "text/event-stream", "{\"error\":\"busy\"}\n\n" },
  { "events-head", "text/event-stream",
    "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy" },
};

/* Returns false if the server has no such fault. */
static bool
answer_without_events (h2o_req_t *req)
{
  for (size_t i = 0; i < sizeof no_events / sizeof *no_events; i++)
    {
      if (!has_fault (no_events[i].fault_name))
        continue;
      struct str framing
          = str_printf ("Content-Type: %s\r\nContent-Length: %zu\r\n",
                        no_events[i].type, strlen (no_events[i].body));

      answer_raw (req, framing.data, no_events[i].body);
      str_free (&framing);
      return true;
    }
  return false;
}

static void
answer_stream (h2o_req_t *req)
{
  if (answer_without_events (req))
    return;

  struct stream *s = xcalloc (1, sizeof *s);
  const struct odd_head *odd = odd_head_fault ();
  uint64_t last = 0;
  char id[64];
  struct str head = str_printf (
      "%s\r\nX-Galenagate-Attempt-Id: %s\r\n"
      "X-Galenagate-Server-Seal: " SEAL "\r\n"
      "Content-Type: text/event-stream\r\n%s%s%s\r\n",
      odd ? odd->status_line : STATUS_LINE_OK,
      response_attempt_id (req, id, sizeof id), odd ? odd->field : "",
      has_fault ("leaving") ? "Server-Leaving: 1\r\n" : "",
      is_unframed () ? "" : "Transfer-Encoding: chunked\r\n");

  str_u64 (standin_header (req, "last-event-id"), &last);
  s->req = req;
  s->event = (int)last + 1;
  s->silent = has_fault ("no-answer");
  if (!s->silent)
    send_raw_text (req, head.data);
  str_free (&head);
  next_event (s);
}

/* Returns true if the model, or the adapter of a name MODEL/ADAPTER, is
 * loaded.
 */
static bool
holds (struct str model_header)
{
  struct str name = str_dup (model_header);
  char *model = (char *)name.data;
  char *slash = model ? strchr (model, '/') : NULL;
  const json_t *adapters;
  bool held;

  if (slash)
    *slash = '\0';
  adapters = model ? json_object_get (models, model) : NULL;
  held = adapters && !slash;
  for (size_t i = 0; slash && i < json_array_size (adapters); i++)
    held = held
           || strcmp (json_string_value (json_array_get (adapters, i)),
                      slash + 1)
                  == 0;
  str_free (&name);
  return held;
}

static void
reject_call (h2o_req_t *req, int status)
{
  if (has_fault ("retry-after"))
    standin_add_header (req, "Retry-After", STR ("1.5"));
  standin_add_header (req, "X-Galenagate-Attempt-Id",
                      standin_header (req, "x-galenagate-attempt-id"));
  standin_add_header (req, "X-Galenagate-Instance-Id", options.id);
  if (status == 503)
    standin_add_header (req, "X-Galenagate-Not-Executed", STR ("1"));
  standin_error (req, status, "not_run");
}

/* ---- refusals that are written twice ---- */

static uint64_t refused_conn; /* id of the refused request's connection */
static char refused_id[64];

static bool
repeats_refusal (void)
{
  return has_fault ("repeat-refusal") || has_fault ("repeat-refusal-unnamed");
}

/* Refuses the first request. */
static bool
refuses_first (const h2o_req_t *req)
{
  const struct str id = standin_header (req, "x-galenagate-attempt-id");

  if (!repeats_refusal () || refused_conn)
    return false;
  refused_conn = req->conn->id;
  snprintf (refused_id, sizeof refused_id, "%.*s", (int)id.len, id.data);
  return true;
}

/* Writes the refusal again, in front of the response to the next request on
   its connection. */
static void
repeat_refusal (h2o_req_t *req)
{
  if (!repeats_refusal () || req->conn->id != refused_conn
      || standin_conn_requests (req) < 2)
    return;
  send_raw_text (req, "HTTP/1.1 503 Full\r\nX-Galenagate-Not-Executed: 1\r\n"
                      "Content-Length: 0\r\n");
  if (has_fault ("repeat-refusal"))
    {
      send_raw_text (req, "X-Galenagate-Attempt-Id: ");
      send_raw_text (req, refused_id);
      send_raw_text (req, "\r\n");
    }
  send_raw_text (req, "\r\n");
}

/* Returns true if the call is to be rejected as by a server without a free
   slot. */
static bool
is_full (void)
{
  if (has_fault ("shed"))
    return true;
  if (options.reject_after > 0 && calls_executed >= options.reject_after)
    return true;
  if (calls_rejected >= options.reject_first)
    return false;
  calls_rejected++;
  return true;
}

static json_int_t
caller_port (const h2o_req_t *req)
{
  struct sockaddr_storage addr;
  const struct sockaddr_in *sin = (const struct sockaddr_in *)&addr;

  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&addr);
  return ntohs (sin->sin_port);
}

static void
record_run (const h2o_req_t *req)
{
  char id[64];
  const struct str text = standin_header (req, "x-galenagate-attempt-id");

  snprintf (id, sizeof id, "%.*s", (int)text.len, text.data);
  json_object_set_new (
      runs, id,
      json_integer (json_integer_value (json_object_get (runs, id)) + 1));
  json_object_set_new (ports, id, json_integer (caller_port (req)));
  json_object_clear (headers);
  for (size_t i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];
      char name[128];

      snprintf (name, sizeof name, "%.*s", (int)h->name->len, h->name->base);
      json_object_set_new (headers, name,
                           json_stringn (h->value.base, h->value.len));
    }
}

/* ---- endless responses ---- */

/* Sends the status line, the call's id and @rest once, then @filler repeatedly
   until the caller disconnects. */
static const struct endless_kind
{
  const char *fault_name;
  bool has_status;
  const char *rest;
  const char *filler;
} endless_kinds[] = {
  { "endless-status", false, "", "HHHHHHHHHHHHHHHH" },
  { "endless-head", true, "", "X-Fill: aaaaaaa\r\n" },
  { "endless-field", true, "X-Fill: ", "aaaaaaaaaaaaaaaa" },
  { "endless-body", true, "\r\n", "aaaaaaaaaaaaaaaa" },
  { "endless-chunk", true, "Transfer-Encoding: chunked\r\n\r\n",
    "0000000000000000" },
  { "endless-event", true,
    "X-Galenagate-Server-Seal: " SEAL "\r\n"
    "Content-Type: text/event-stream\r\n\r\ndata: ",
    "aaaaaaaaaaaaaaaa" },
};
#define ENDLESS_COUNT (sizeof endless_kinds / sizeof *endless_kinds)
#define ENDLESS_REPEAT 4096
#define ENDLESS_GAP_MS 5

static json_int_t endless_open; /* open connections with endless responses */

struct endless_response
{
  h2o_req_t *req;
  const struct endless_kind *kind;
};

static const struct endless_kind *
endless_fault (void)
{
  for (size_t i = 0; i < ENDLESS_COUNT; i++)
    if (has_fault (endless_kinds[i].fault_name))
      return &endless_kinds[i];
  return NULL;
}

static void
send_more_bytes (void *ctx)
{
  struct endless_response *r = ctx;
  struct buf b = { 0 };

  if (standin_client_closed (r->req))
    {
      endless_open--;
      standin_close (r->req);
      free (r);
      return;
    }
  for (int i = 0; i < ENDLESS_REPEAT; i++)
    buf_append (&b, str_from (r->kind->filler));
  standin_send_raw (r->req, buf_str (&b));
  buf_free (&b);
  standin_run_after (ENDLESS_GAP_MS, send_more_bytes, r);
}

/* Sends a status line and the field that names the call. */
static void
send_named_head (h2o_req_t *req)
{
  char id[64];
  struct str head
      = str_printf ("HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n",
                    response_attempt_id (req, id, sizeof id));

  send_raw_text (req, head.data);
  str_free (&head);
}

static void
answer_endless (h2o_req_t *req, const struct endless_kind *kind)
{
  struct endless_response *r = xcalloc (1, sizeof *r);

  r->req = req;
  r->kind = kind;
  endless_open++;
  if (kind->has_status)
    send_named_head (req);
  send_raw_text (req, kind->rest);
  standin_run_after (ENDLESS_GAP_MS, send_more_bytes, r);
}

/* ---- request dispatch ---- */

/* A prompt with this part crashes the server. */
#define CRASHING_PART "dead:"

static void
crash (void *ctx)
{
  (void)ctx;
  _exit (1);
}

/* Returns true if the request crashes each server that runs it. */
static bool
is_crashing (h2o_req_t *req)
{
  const struct str parts = standin_header (req, "x-galenagate-prompt-prefix");

  if (has_fault ("error"))
    return false;
  return str_eq (standin_path (req), STR ("/plain/crash"))
         || (parts.len > 0
             && memmem (parts.data, parts.len, CRASHING_PART,
                        sizeof CRASHING_PART - 1));
}

/* Returns true if the connection carried a call before. */
static bool
is_reused (const h2o_req_t *req)
{
  char number[24];
  bool used;

  snprintf (number, sizeof number, "%lu", (unsigned long)req->conn->id);
  used = json_object_get (used_connections, number) != NULL;
  json_object_set_new (used_connections, number, json_true ());
  return used;
}

static void
serve_call (h2o_req_t *req)
{
  const struct str model = standin_header (req, "x-galenagate-model");
  const struct str expected
      = standin_header (req, "x-galenagate-expect-instance");

  arrivals++;
  if (expected.len > 0 && !str_eq (expected, options.id))
    reject_call (req, 421);
  else if (has_fault ("retry-after") && calls_rejected++ == 0)
    reject_call (req, 503);
  else if (refuses_first (req) || is_full ())
    reject_call (req, 503);
  else if (is_model_server () && !holds (model))
    reject_call (req, 421);
  else
    {
      calls_executed++;
      record_run (req);
      repeat_refusal (req);
      if (is_crashing (req) && options.crash_after_ms > 0)
        {
          standin_run_after (options.crash_after_ms, crash, req);
          answer_stream (req);
        }
      else if (is_crashing (req))
        standin_run_after (options.delay_ms, crash, req);
      else if (has_fault ("close")
               || (is_reused (req) && has_fault ("close-kept")))
        standin_close (req);
      else if (has_fault ("cut-head") || has_fault ("cut-head-length"))
        cut_head (req);
      else if (endless_fault ())
        answer_endless (req, endless_fault ());
      else if (odd_head_fault () && !is_model_server ())
        answer_odd_head (req, odd_head_fault ());
      else if (is_model_server () && options.body_kb == 0
               && !has_fault ("error"))
        answer_stream (req);
      else
        standin_run_after (options.delay_ms, answer_plain, req);
    }
}

static void
handle (h2o_req_t *req)
{
  const struct str path = standin_path (req);

  if (str_eq (path, STR ("/counts")))
    standin_json (
        req, 200,
        json_pack ("{s:O, s:I, s:I, s:I, s:I, s:O, s:O, s:O, s:O, s:O}",
                   "runs", runs, "arrivals", arrivals, "violations",
                   capacity_violations, "ended_early", calls_abandoned,
                   "endless", endless_open, "orders", orders, "holders",
                   holders, "models", models, "headers", headers, "ports",
                   ports));
  else if (str_eq (path, STR ("/report")))
    report (req);
  else if (str_eq (path, STR ("/order")))
    handle_order (req);
  else
    serve_call (req);
}

static void
add_initial_models (void)
{
  char *list = strndup (options.models.data, options.models.len);

  for (char *name = strtok (list, ","); name; name = strtok (NULL, ","))
    if (strcmp (name, "-") != 0)
      json_object_set_new (models, name, json_array ());
  free (list);
}

int
main (int argc, char **argv)
{
  if (settings_parse (argc, argv, "Stand-in for a server.", NULL, settings,
                      sizeof settings / sizeof *settings, &options, NULL)
      != 0)
    return 2;
  models = json_object ();
  runs = json_object ();
  headers = json_object ();
  ports = json_object ();
  used_connections = json_object ();
  orders = json_array ();
  holders = json_object ();
  if (is_model_server ())
    add_initial_models ();
  return standin_run (options.port, handle);
}
