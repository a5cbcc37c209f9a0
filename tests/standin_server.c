#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "err.h"
#include "settings.h"
#include "standinlib.h"

/* Stand-in of a server of the users' platform: a plain service, or a model
   server when --models is given. It counts runs by call, and orders that would
   exceed its memory. --fault makes all its answers bad in one way. */

#define EVENTS 8
#define ADAPTER_LOAD_MS 6
#define MODELS_MAX 32
#define SEAL "s.1"

struct options
{
  uint32_t port;
  struct str id;
  struct str models;
  struct str fault;
  uint32_t most_models;
  uint32_t most_adapters;
  uint32_t load_ms;
  uint32_t delay_ms;
  uint32_t event_gap_ms;
};

/* Longer than nodes wait for an event when they can go on elsewhere. */
#define PAUSE_MS 1500

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "id", "ID", "of this start", SETTING_STRING, FIELD (id), NULL, 0, 0 },
  { "models", "LIST", "models held at the start; - for none", SETTING_STRING,
    FIELD (models), "", 0, 0 },
  { "fault", "WORD",
    "shed, close, cut, unsealed, crossed, unframed, error, cut-event, "
    "silent, pause, or a kind of bytes without end",
    SETTING_STRING, FIELD (fault), "", 0, 0 },
  { "most-models", "N", "models that fit", SETTING_U32, FIELD (most_models),
    "2", 1, MODELS_MAX },
  { "most-adapters", "N", "adapters that fit", SETTING_U32,
    FIELD (most_adapters), "2", 0, 64 },
  { "load-ms", "MS", "duration of a load", SETTING_U32, FIELD (load_ms), "100",
    0, 60000 },
  { "delay-ms", "MS", "time that a call takes", SETTING_U32, FIELD (delay_ms),
    "0", 0, 60000 },
  { "event-gap-ms", "MS", "pause between the events of a stream", SETTING_U32,
    FIELD (event_gap_ms), "20", 1, 60000 },
};

static struct options options;
static json_t *models;  /* name -> list of adapters */
static json_t *runs;    /* runs by call id */
static json_t *headers; /* of the last call */
static json_t *ports;   /* caller's port by call id */
static json_t *orders;  /* all that were accepted */
static json_int_t arrivals;
static json_int_t ended_early; /* calls whose caller left */
static json_int_t violations;
static json_int_t order_count;
static uint64_t fence;
static bool busy;

static bool
fault (const char *word)
{
  return str_eq (options.fault, str_from (word));
}

static bool
is_engine (void)
{
  return options.models.len > 0;
}

/* ---- orders ---- */

struct task
{
  bool load;
  char *model;
};

static void
finish_order (void *ctx)
{
  struct task *t = ctx;

  if (t->load)
    json_object_set_new (models, t->model, json_array ());
  else
    json_object_del (models, t->model);
  busy = false;
  free (t->model);
  free (t);
}

static size_t
adapters_held (void)
{
  const char *name;
  json_t *list;
  size_t n = 0;

  json_object_foreach (models, name, list) n += json_array_size (list);
  return n;
}

static void
adapter_order (const char *model, const char *adapter, bool load)
{
  json_t *list = json_object_get (models, model);

  if (load)
    {
      if (adapters_held () >= options.most_adapters)
        violations++;
      json_array_append_new (list, json_string (adapter));
      return;
    }
  for (size_t i = 0; i < json_array_size (list); i++)
    if (strcmp (json_string_value (json_array_get (list, i)), adapter) == 0)
      json_array_remove (list, i);
}

static void
model_order (const char *model, bool load)
{
  struct task *t = xcalloc (1, sizeof *t);

  if (load && json_object_size (models) >= options.most_models)
    violations++;
  t->load = load;
  t->model = strdup (model);
  busy = true;
  standin_after (load ? options.load_ms : 1, finish_order, t);
}

static void
accept_order (h2o_req_t *req, json_t *body, const char *model,
              const char *adapter, bool load)
{
  order_count++;
  json_array_append (orders, body);
  if (adapter)
    adapter_order (model, adapter, load);
  else
    model_order (model, load);
  standin_json (req, adapter && !load ? 200 : 202, json_object ());
}

static void
take_order (h2o_req_t *req)
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
  else if (busy || (expect >= 0 && expect != order_count))
    standin_error (req, 409, "conflict");
  else
    {
      fence = (uint64_t)token;
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
                           "seq", order_count, "queued", 0, "running", 0,
                           "at_hand", "in_memory", "on_disk"));
}

/* ---- calls ---- */

struct answer
{
  h2o_req_t *req;
  int event; /* next one */
};

static void
raw (h2o_req_t *req, const char *text)
{
  standin_send_raw (req, str_from (text));
}

static const char *
answer_id (const h2o_req_t *req, char *out, size_t size)
{
  const struct str id = standin_header (req, "x-galenagate-attempt-id");

  snprintf (out, size, "%.*s", (int)id.len, id.data);
  return fault ("crossed") ? "another-call" : out;
}

static void
end_raw (void *ctx)
{
  standin_close (ctx);
}

/* An answer whose bytes h2o would not write. */
static void
answer_raw (h2o_req_t *req, const char *framing, const char *body)
{
  char id[64];
  struct str text
      = str_printf ("HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
                    "X-Galenagate-Server-Seal: " SEAL "\r\n%s\r\n%s",
                    answer_id (req, id, sizeof id), framing, body);

  raw (req, text.data);
  str_free (&text);
  standin_after (1, end_raw, req);
}

static void
answer_plain (void *ctx)
{
  h2o_req_t *req = ctx;
  char id[64];
  const struct str path = { req->path.base, req->path.len };
  struct buf body = { 0 };

  if (standin_gone (req))
    ended_early++;
  if (fault ("cut"))
    {
      answer_raw (req, "Content-Length: 100\r\n", "half");
      return;
    }
  if (fault ("unframed"))
    {
      answer_raw (req, "", "to the end");
      return;
    }
  if (!fault ("unsealed"))
    standin_add_header (req, "X-Galenagate-Server-Seal", STR (SEAL));
  standin_add_header (req, "X-Galenagate-Attempt-Id",
                      str_from (answer_id (req, id, sizeof id)));
  buf_printf (&body, "%.*s " STR_FMT " ", (int)req->method.len,
              req->method.base, STR_ARG (path));
  buf_append (&body, standin_body (req));
  standin_reply (req, fault ("error") ? 500 : 200, "text/x-test",
                 buf_str (&body));
  buf_free (&body);
}

static void
next_event (void *ctx)
{
  struct answer *a = ctx;
  struct str event;
  struct str chunk;

  if (standin_gone (a->req))
    {
      ended_early++;
      standin_close (a->req);
      free (a);
      return;
    }
  if (a->event > EVENTS)
    {
      raw (a->req, "0\r\n\r\n");
      standin_after (20, end_raw, a->req);
      free (a);
      return;
    }
  event = str_printf ("id: %d\ndata: e%d\n\n", a->event, a->event);
  /* Breaks off inside the event. */
  if (fault ("cut-event") && a->event == 4)
    event.len -= 5;
  chunk = str_printf ("%zx\r\n" STR_FMT "\r\n", event.len, STR_ARG (event));
  raw (a->req, chunk.data);
  str_free (&event);
  str_free (&chunk);
  if (fault ("cut-event") && a->event == 4)
    {
      standin_after (1, end_raw, a->req);
      free (a);
      return;
    }
  a->event++;
  if (fault ("silent") && a->event == 4)
    {
      free (a); /* the connection stays open */
      return;
    }
  standin_after (fault ("pause") && a->event == 4 ? PAUSE_MS
                                                  : options.event_gap_ms,
                 next_event, a);
}

static void
answer_stream (h2o_req_t *req)
{
  struct answer *a = xcalloc (1, sizeof *a);
  uint64_t last = 0;
  char id[64];
  struct str head = str_printf (
      "HTTP/1.1 200 OK\r\nX-Galenagate-Attempt-Id: %s\r\n"
      "X-Galenagate-Server-Seal: " SEAL "\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      answer_id (req, id, sizeof id));

  str_u64 (standin_header (req, "last-event-id"), &last);
  a->req = req;
  a->event = (int)last + 1;
  raw (req, head.data);
  str_free (&head);
  next_event (a);
}

static bool
holds (struct str model_header)
{
  char model[128];
  char *slash;
  json_t *adapters;

  snprintf (model, sizeof model, "%.*s", (int)model_header.len,
            model_header.data);
  slash = strchr (model, '/');
  if (slash)
    *slash = '\0';
  adapters = json_object_get (models, model);
  if (!adapters || !slash)
    return adapters != NULL;
  for (size_t i = 0; i < json_array_size (adapters); i++)
    if (strcmp (json_string_value (json_array_get (adapters, i)), slash + 1)
        == 0)
      return true;
  return false;
}

static void
turn_away (h2o_req_t *req, int status)
{
  standin_add_header (req, "X-Galenagate-Instance-Id", options.id);
  if (status == 503)
    standin_add_header (req, "X-Galenagate-Not-Executed", STR ("1"));
  standin_error (req, status, "not_run");
}

static json_int_t
peer_port (const h2o_req_t *req)
{
  struct sockaddr_storage addr;
  const struct sockaddr_in *sin = (const struct sockaddr_in *)&addr;

  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&addr);
  return ntohs (sin->sin_port);
}

static void
count_run (const h2o_req_t *req)
{
  char id[64];
  const struct str text = standin_header (req, "x-galenagate-attempt-id");

  snprintf (id, sizeof id, "%.*s", (int)text.len, text.data);
  json_object_set_new (
      runs, id,
      json_integer (json_integer_value (json_object_get (runs, id)) + 1));
  json_object_set_new (ports, id, json_integer (peer_port (req)));
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

/* ---- bytes without end ---- */

/* @begin is followed by @more again and again until the caller closes. */
static const struct endless
{
  const char *fault;
  const char *begin;
  const char *more;
} endless[] = {
  { "endless-status", "", "HHHHHHHHHHHHHHHH" },
  { "endless-head", "HTTP/1.1 200 OK\r\n", "X-Fill: aaaaaaa\r\n" },
  { "endless-field", "HTTP/1.1 200 OK\r\nX-Fill: ", "aaaaaaaaaaaaaaaa" },
  { "endless-body", "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa" },
  { "endless-chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "0000000000000000" },
  { "endless-event",
    "HTTP/1.1 200 OK\r\nX-Galenagate-Server-Seal: " SEAL "\r\n"
    "Content-Type: text/event-stream\r\n\r\ndata: ",
    "aaaaaaaaaaaaaaaa" },
};
#define ENDLESS_COUNT (sizeof endless / sizeof *endless)
#define ENDLESS_REPEAT 4096
#define ENDLESS_GAP_MS 5

static json_int_t endless_open; /* connections with such bytes */

struct endless_answer
{
  h2o_req_t *req;
  const struct endless *kind;
};

static const struct endless *
endless_fault (void)
{
  for (size_t i = 0; i < ENDLESS_COUNT; i++)
    if (fault (endless[i].fault))
      return &endless[i];
  return NULL;
}

static void
more_bytes (void *ctx)
{
  struct endless_answer *a = ctx;
  struct buf b = { 0 };

  if (standin_gone (a->req))
    {
      endless_open--;
      standin_close (a->req);
      free (a);
      return;
    }
  for (int i = 0; i < ENDLESS_REPEAT; i++)
    buf_append (&b, str_from (a->kind->more));
  standin_send_raw (a->req, buf_str (&b));
  buf_free (&b);
  standin_after (ENDLESS_GAP_MS, more_bytes, a);
}

static void
answer_endless (h2o_req_t *req, const struct endless *kind)
{
  struct endless_answer *a = xcalloc (1, sizeof *a);

  a->req = req;
  a->kind = kind;
  endless_open++;
  raw (req, kind->begin);
  standin_after (ENDLESS_GAP_MS, more_bytes, a);
}

/* ---- calls ---- */

static void
serve_call (h2o_req_t *req)
{
  const struct str model = standin_header (req, "x-galenagate-model");
  const struct str expected
      = standin_header (req, "x-galenagate-expect-instance");

  arrivals++;
  if (expected.len > 0 && !str_eq (expected, options.id))
    turn_away (req, 421);
  else if (fault ("shed"))
    turn_away (req, 503);
  else if (is_engine () && !holds (model))
    turn_away (req, 421);
  else
    {
      count_run (req);
      if (str_eq (standin_path (req), STR ("/plain/crash")))
        _exit (1);
      if (fault ("close"))
        standin_close (req);
      else if (endless_fault ())
        answer_endless (req, endless_fault ());
      else if (is_engine ())
        answer_stream (req);
      else
        standin_after (options.delay_ms, answer_plain, req);
    }
}

static void
handle (h2o_req_t *req)
{
  const struct str path = standin_path (req);

  if (str_eq (path, STR ("/counts")))
    standin_json (req, 200,
                  json_pack ("{s:O, s:I, s:I, s:I, s:I, s:O, s:O, s:O, s:O}",
                             "runs", runs, "arrivals", arrivals, "violations",
                             violations, "ended_early", ended_early, "endless",
                             endless_open, "orders", orders, "models", models,
                             "headers", headers, "ports", ports));
  else if (str_eq (path, STR ("/report")))
    report (req);
  else if (str_eq (path, STR ("/order")))
    take_order (req);
  else
    serve_call (req);
}

static void
hold_first_models (void)
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
  if (settings_parse (argc, argv, "Stand-in of a server.", NULL, settings,
                      sizeof settings / sizeof *settings, &options, NULL)
      != 0)
    return 2;
  models = json_object ();
  runs = json_object ();
  headers = json_object ();
  ports = json_object ();
  orders = json_array ();
  if (is_engine ())
    hold_first_models ();
  return standin_run (options.port, handle);
}
