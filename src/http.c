#include "http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include "clock.h"
#include "connsockets.h"
#include "fieldline.h"
#include "keepalive.h"
#include "log.h"

#define LOG_MODULE "http"
#define CONNECT_DEFAULT_MS 500
#define CONNECTION_AGE_LIMIT_S 300
/* A connection that was idle for longer is not reused: it may be dead without
   notice, and a new one costs only one round trip. */
#define CONNECTION_IDLE_LIMIT_S 2
/* A connection with unacknowledged bytes is closed after this time, so that a
   dead one is not used for new calls. */
#define USER_TIMEOUT_MS 5000
#define CONNECTIONS_KEPT 512
/* A response with a larger head ends the call. */
#define HEAD_MAX_BYTES (128 * 1024)
#define STATUS_FINAL_MIN 200
/* A collected body that is larger ends the call, unless the request sets
   another limit. */
#define COLLECTED_MAX_BYTES (32 * 1024 * 1024)
/* Bound of all collected bodies together. Beyond it, the call with the largest
   one ends. */
#define COLLECTED_TOTAL_MAX_BYTES (128 * 1024 * 1024)

struct http_call
{
  struct http *http;
  CURL *easy;
  struct curl_slist *headers;
  uv_timer_t timer;
  const struct http_events *events;
  void *ctx;
  struct str peer;
  struct str body; /* of the request */
  struct buf collected;
  size_t collected_max_bytes;
  size_t head_bytes;
  curl_socket_t fd; /* of the connection that the call uses */
  char error_text[CURL_ERROR_SIZE];
  uint64_t started_ms;
  uint64_t last_received_ms;
  uint32_t silence_ms;
  uint32_t total_ms;
  bool allow_close_delimited;
  bool repeat_if_closed;
  bool run_once;
  bool status_line_done; /* of the current head; interim ones come first */
  bool head_done;
  bool added_to_multi;
  bool cancelled;
  bool paused;
  bool repeat_refused; /* libcurl was about to send the request once more */
  bool unusable;       /* the kept connection can't be used */
  bool sent_before;    /* bytes were sent on an earlier connection */
  bool too_large;      /* its body was given up */
  bool malformed;      /* its head is no head of a response */
  struct http_call *prev;
  struct http_call *next;
};

struct http
{
  struct plugin plugin;
  uv_loop_t *loop;
  uv_timer_t timer;
  uv_timer_t deferred; /* adds calls outside libcurl callbacks */
  CURLM *multi;
  struct keepalive *keepalive;
  struct connsockets *sockets;
  struct http_call *calls;
  size_t collected_bytes; /* of all calls */
  bool in_curl;
  bool closing;
};

struct socket_watch
{
  uv_poll_t poll;
  struct http *http;
  curl_socket_t fd;
};

static const struct
{
  CURLcode curl;
  int err;
} error_codes[] = {
  { CURLE_OK, 0 },
  { CURLE_COULDNT_CONNECT, -ECONNREFUSED },
  { CURLE_OPERATION_TIMEDOUT, -ETIMEDOUT },
  { CURLE_PARTIAL_FILE, -EPIPE },
  { CURLE_RECV_ERROR, -EPIPE },
  { CURLE_SEND_ERROR, -EPIPE },
  { CURLE_GOT_NOTHING, -EPIPE },
  { CURLE_ABORTED_BY_CALLBACK, -ECANCELED },
  { CURLE_WRITE_ERROR, -EMSGSIZE }, /* a callback rejected the data */
};

static int
error_code (CURLcode code)
{
  for (size_t i = 0; i < sizeof error_codes / sizeof *error_codes; i++)
    if (error_codes[i].curl == code)
      return error_codes[i].err;
  return -EIO;
}

/* ---- end of a call ---- */

static void
free_call (uv_handle_t *handle)
{
  free (handle->data);
}

static void
unlink_call (struct http_call *c)
{
  if (c->prev)
    c->prev->next = c->next;
  else
    c->http->calls = c->next;
  if (c->next)
    c->next->prev = c->prev;
}

static void
release_call (struct http_call *c)
{
  if (c->added_to_multi)
    curl_multi_remove_handle (c->http->multi, c->easy);
  curl_easy_cleanup (c->easy);
  curl_slist_free_all (c->headers);
  unlink_call (c);
  str_free (&c->peer);
  str_free (&c->body);
  c->http->collected_bytes -= c->collected.len;
  buf_free (&c->collected);
  uv_close ((uv_handle_t *)&c->timer, free_call);
}

static const char *
step_of (const struct http_call *c, bool sent)
{
  if (c->head_done)
    return "response-body";
  return sent ? "response-head" : "connect";
}

static int
status_of (const struct http_call *c)
{
  long status = 0;

  curl_easy_getinfo (c->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

static bool
request_sent (const struct http_call *c)
{
  long bytes = 0;

  curl_easy_getinfo (c->easy, CURLINFO_REQUEST_SIZE, &bytes);
  return c->sent_before || bytes > 0;
}

/* Logs a failure, calls done(), and frees the call. */
static void
finish (struct http_call *c, int code)
{
  const bool sent = request_sent (c);
  const struct err err = err_make (code, step_of (c, sent), c->peer);
  const int status = status_of (c);
  struct buf body = c->collected;

  c->http->collected_bytes -= c->collected.len;
  c->collected = (struct buf){ 0 };
  if (code != 0)
    LOG_DBG ("call-failed", LOG_E_FMT " status=%d detail=\"%s\"",
             LOG_E_ARG (err), status, c->error_text);
  void (*done) (void *, struct http_call *, struct err, int, bool, struct str)
      = c->events->done;
  if (!c->cancelled && done)
    done (c->ctx, c, err, status, sent, buf_str (&body));
  buf_free (&body);
  release_call (c);
}

static void
on_call_timer (uv_timer_t *timer)
{
  struct http_call *c = timer->data;

  if (c->too_large)
    finish (c, -EMSGSIZE);
  else
    finish (c, c->cancelled ? 0 : -ETIMEDOUT);
}

/* Starts the timer for the limit that ends first, or ends the call if it has
   passed. */
static void
arm_timeout (uv_timer_t *timer)
{
  struct http_call *c = timer->data;
  const uint64_t now_ms = clock_ms ();
  uint64_t end_ms = UINT64_MAX;

  if (c->paused)
    c->last_received_ms = now_ms;
  if (c->total_ms > 0)
    end_ms = c->started_ms + c->total_ms;
  if (c->silence_ms > 0 && c->last_received_ms + c->silence_ms < end_ms)
    end_ms = c->last_received_ms + c->silence_ms;
  if (end_ms == UINT64_MAX)
    return;
  if (end_ms <= now_ms)
    on_call_timer (timer);
  else
    uv_timer_start (timer, arm_timeout, end_ms - now_ms, 0);
}

/* ---- libcurl callbacks ---- */

/* Returns true if the peer neither closed the connection nor sent bytes that
   were not read. */
static bool
is_idle (curl_socket_t fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Looks at the call's connection after it was chosen and before the first byte
   is sent. Returns false if it is a kept one that must not be used. libcurl
   itself checks only whether it was closed, and earlier. */
static bool
check_connection (struct http_call *c, const struct connaddress *address)
{
  struct connsockets *sockets = c->http->sockets;

  if (http_opened_connection (c))
    {
      connsockets_add (sockets, address, c->fd);
      return true;
    }
  c->fd = connsockets_find (sockets, address);
  return c->fd >= 0 && is_idle (c->fd)
         && !(c->run_once && connsockets_is_unreliable (sockets, c->fd));
}

/* Runs when the connection is established. This may be much later than
   http_send(), so the caller confirms that the request is still to be sent.
   Runs again when a reused connection closed before the first byte of the
   response, because libcurl then repeats the request by itself. */
static int
on_prereq (void *ctx, char *remote_ip, char *local_ip, int remote_port,
           int local_port)
{
  struct http_call *c = ctx;
  const struct connaddress address = { remote_ip, remote_port, local_port };

  (void)local_ip;
  c->repeat_refused = !c->repeat_if_closed && request_sent (c);
  if (c->cancelled || c->repeat_refused)
    return CURL_PREREQFUNC_ABORT;
  if (c->events->confirm_send && !c->events->confirm_send (c->ctx))
    return CURL_PREREQFUNC_ABORT;
  c->unusable = !check_connection (c, &address);
  if (!c->unusable)
    return CURL_PREREQFUNC_OK;
  curl_easy_setopt (c->easy, CURLOPT_FORBID_REUSE, 1L);
  return CURL_PREREQFUNC_ABORT;
}

/* Returns the field of the head with the index among those of its name; NULL
   if there is none. */
static const struct curl_header *
nth_field (const struct http_call *c, const char *name, size_t i)
{
  struct curl_header *field;

  return curl_easy_header (c->easy, name, i, CURLH_HEADER, -1, &field)
                 == CURLHE_OK
             ? field
             : NULL;
}

/* Returns false if a length is no number or differs from another one, so that
   readers may differ in where the body ends. */
static bool
lengths_agree (const struct http_call *c)
{
  const struct curl_header *field;
  uint64_t bytes;
  uint64_t first = 0;

  for (size_t i = 0; (field = nth_field (c, "Content-Length", i)); i++)
    {
      if (!str_u64 (str_from (field->value), &bytes))
        return false;
      if (i > 0 && bytes != first)
        return false;
      first = bytes;
    }
  return true;
}

/* Returns false if the head has a transfer coding beside a length or another
   coding, or one other than chunks, so that readers may differ likewise. */
static bool
coding_is_clear (const struct http_call *c)
{
  const struct curl_header *coding = nth_field (c, "Transfer-Encoding", 0);

  return !coding
         || (str_eq_nocase (str_from (coding->value), STR ("chunked"))
             && !nth_field (c, "Transfer-Encoding", 1)
             && !nth_field (c, "Content-Length", 0));
}

/* Runs at the empty line that ends a head; interim 1xx heads are skipped.
   Returns false if the head is malformed. */
static bool
end_head (struct http_call *c)
{
  c->status_line_done = false;
  if (status_of (c) < STATUS_FINAL_MIN)
    return true;
  if (!lengths_agree (c) || !coding_is_clear (c))
    return false;
  c->head_done = true;
  keepalive_learn (c->http->keepalive, c->peer, http_header (c, "Keep-Alive"));
  if (c->events->head)
    c->events->head (c->ctx, c, status_of (c));
  return true;
}

/* Returns false if the line makes the head malformed. */
static bool
read_head_line (struct http_call *c, struct str line)
{
  const bool is_empty
      = line.len <= 2 && (line.data[0] == '\r' || line.data[0] == '\n');

  /* Trailers are not used. */
  if (c->head_done)
    return true;
  if (is_empty)
    return end_head (c);
  if (c->status_line_done)
    return fieldline_valid (line);
  c->status_line_done = true;
  return fieldline_status_valid (line);
}

static size_t
on_header (char *data, size_t size, size_t n, void *ctx)
{
  struct http_call *c = ctx;
  const struct str line = { data, size * n };

  c->last_received_ms = clock_ms ();
  c->head_bytes += line.len;
  if (c->cancelled || c->head_bytes > HEAD_MAX_BYTES)
    return 0;
  c->malformed = !read_head_line (c, line);
  return c->cancelled || c->malformed ? 0 : line.len;
}

/* Makes room for a part of a collected body by giving up the largest one.
   Returns false if this is the call's own. */
static bool
shed_largest (struct http_call *c, size_t part_bytes)
{
  struct http *h = c->http;
  struct http_call *largest = c;

  if (h->collected_bytes + part_bytes <= COLLECTED_TOTAL_MAX_BYTES)
    return true;
  for (struct http_call *i = h->calls; i; i = i->next)
    if (i->collected.len > largest->collected.len)
      largest = i;
  LOG_WARN ("body-given-up", "peer=" STR_FMT " bytes=%zu total=%zu",
            STR_ARG (largest->peer), largest->collected.len,
            h->collected_bytes);
  largest->too_large = true;
  h->collected_bytes -= largest->collected.len;
  buf_free (&largest->collected);
  if (largest == c)
    return false;
  /* libcurl doesn't allow removing a handle in its callbacks. */
  uv_timer_start (&largest->timer, on_call_timer, 0, 0);
  return true;
}

/* Returns false if the body is too large. */
static bool
collect (struct http_call *c, struct str part)
{
  if (c->too_large || c->collected.len + part.len > c->collected_max_bytes
      || !shed_largest (c, part.len))
    return false;
  buf_append (&c->collected, part);
  c->http->collected_bytes += part.len;
  return true;
}

static size_t
on_data (char *data, size_t size, size_t n, void *ctx)
{
  struct http_call *c = ctx;
  const struct str part = { data, size * n };

  c->last_received_ms = clock_ms ();
  if (c->cancelled)
    return 0;
  if (c->events->data)
    c->events->data (c->ctx, c, part);
  else if (!collect (c, part))
    return 0;
  return c->cancelled ? 0 : part.len;
}

static int
on_socket_created (void *ctx, curl_socket_t fd, curlsocktype purpose)
{
  const unsigned user_timeout_ms = USER_TIMEOUT_MS;
  struct http_call *c = ctx;

  (void)purpose;
  c->fd = fd;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  return CURL_SOCKOPT_OK;
}

static int
on_socket_closing (void *ctx, curl_socket_t fd)
{
  const struct http *h = ctx;

  connsockets_remove (h->sockets, fd);
  return close (fd);
}

/* Returns true if the head tells where the body ends. A body that ends when
   the connection closes can't be distinguished from a truncated one. */
static bool
has_body_framing (const struct http_call *c)
{
  const int status = status_of (c);

  return status == 204 || status == 304
         || http_header (c, "Content-Length").len > 0
         || http_header (c, "Transfer-Encoding").len > 0;
}

/* Returns the code of a call that libcurl ended with success. It does so too
   if the connection closes within the head. */
static int
check_complete (const struct http_call *c)
{
  if (!c->head_done)
    return -EPIPE;
  return c->allow_close_delimited || has_body_framing (c) ? 0 : -EPIPE;
}

/* Starts the call anew on a new connection, after nothing of it was sent on a
   kept one. */
static void
use_new_connection (struct http_call *c)
{
  c->unusable = false;
  c->sent_before = request_sent (c);
  curl_multi_remove_handle (c->http->multi, c->easy);
  curl_easy_setopt (c->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (c->easy, CURLOPT_FORBID_REUSE, 0L);
  curl_multi_add_handle (c->http->multi, c->easy);
}

static void
finish_completed (struct http *h)
{
  CURLMsg *msg;
  int messages_left;

  while ((msg = curl_multi_info_read (h->multi, &messages_left)))
    {
      struct http_call *c;
      int code;

      if (msg->msg != CURLMSG_DONE)
        continue;
      code = error_code (msg->data.result);
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &c);
      if (c->unusable && !c->cancelled)
        {
          use_new_connection (c);
          continue;
        }
      if (c->too_large)
        code = -EMSGSIZE;
      else if (c->malformed)
        code = -EPROTO;
      else if (c->repeat_refused)
        code = -EPIPE;
      else if (code == 0)
        code = check_complete (c);
      finish (c, code);
    }
}

static void
run_curl (struct http *h, curl_socket_t fd, int flags)
{
  int running;

  h->in_curl = true;
  curl_multi_socket_action (h->multi, fd, flags, &running);
  h->in_curl = false;
  finish_completed (h);
}

static void
on_timer (uv_timer_t *timer)
{
  run_curl (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timer_request (CURLM *multi, long timeout_ms, void *ctx)
{
  struct http *h = ctx;

  (void)multi;
  if (h->closing)
    return 0;
  if (timeout_ms < 0)
    uv_timer_stop (&h->timer);
  else
    uv_timer_start (&h->timer, on_timer, (uint64_t)timeout_ms, 0);
  return 0;
}

static void
on_poll (uv_poll_t *poll, int status, int events)
{
  struct socket_watch *w = poll->data;
  int flags = 0;

  if (status < 0)
    flags = CURL_CSELECT_ERR;
  if (events & UV_READABLE)
    flags |= CURL_CSELECT_IN;
  if (events & UV_WRITABLE)
    flags |= CURL_CSELECT_OUT;
  run_curl (w->http, w->fd, flags);
}

static void
free_watch (uv_handle_t *handle)
{
  free (handle->data);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *watch_ctx)
{
  struct http *h = ctx;
  struct socket_watch *w = watch_ctx;
  int events = 0;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (h->multi, fd, NULL);
      if (w)
        uv_close ((uv_handle_t *)&w->poll, free_watch);
      return 0;
    }
  if (!w)
    {
      w = xcalloc (1, sizeof *w);
      w->http = h;
      w->fd = fd;
      uv_poll_init_socket (h->loop, &w->poll, fd);
      w->poll.data = w;
      curl_multi_assign (h->multi, fd, w);
    }
  if (what != CURL_POLL_OUT)
    events |= UV_READABLE;
  if (what != CURL_POLL_IN)
    events |= UV_WRITABLE;
  uv_poll_start (&w->poll, events, on_poll);
  return 0;
}

/* ---- sending ---- */

static void
add_call (struct http_call *c)
{
  if (c->added_to_multi)
    return;
  c->added_to_multi = true;
  curl_multi_add_handle (c->http->multi, c->easy);
}

static void
on_deferred (uv_timer_t *timer)
{
  struct http *h = timer->data;

  for (struct http_call *c = h->calls; c; c = c->next)
    add_call (c);
}

static void
set_method (struct http_call *c, const struct http_request *req)
{
  struct str method = str_dup (req->method);

  curl_easy_setopt (c->easy, CURLOPT_CUSTOMREQUEST, method.data);
  if (str_eq (req->method, STR ("HEAD")))
    curl_easy_setopt (c->easy, CURLOPT_NOBODY, 1L);
  else if (req->body.len > 0 || str_eq (req->method, STR ("POST"))
           || str_eq (req->method, STR ("PUT")))
    {
      c->body = str_dup (req->body);
      curl_easy_setopt (c->easy, CURLOPT_POST, 1L);
      curl_easy_setopt (c->easy, CURLOPT_POSTFIELDS, c->body.data);
      curl_easy_setopt (c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)c->body.len);
      curl_easy_setopt (c->easy, CURLOPT_CUSTOMREQUEST, method.data);
    }
  str_free (&method);
}

static bool
has_content_type (const struct http_request *req)
{
  static const char name[] = "content-type:";

  for (size_t i = 0; i < req->header_count; i++)
    if (req->headers[i].len >= sizeof name - 1
        && strncasecmp (req->headers[i].data, name, sizeof name - 1) == 0)
      return true;
  return false;
}

static void
set_headers (struct http_call *c, const struct http_request *req)
{
  /* Keeps libcurl from waiting for "100 Continue" before a larger body. */
  c->headers = curl_slist_append (NULL, "Expect:");
  c->headers = curl_slist_append (c->headers, "Accept:");
  if (!has_content_type (req))
    c->headers = curl_slist_append (c->headers, "Content-Type:");
  for (size_t i = 0; i < req->header_count; i++)
    {
      struct str line = str_dup (req->headers[i]);

      c->headers = curl_slist_append (c->headers, line.data);
      str_free (&line);
    }
  curl_easy_setopt (c->easy, CURLOPT_HTTPHEADER, c->headers);
}

/* Chooses between a kept connection and a new one. */
static void
set_connection (struct http_call *c, const struct http_request *req)
{
  const uint32_t limit_s
      = keepalive_idle_limit_s (c->http->keepalive, c->peer);
  long age_s = CONNECTION_IDLE_LIMIT_S;

  /* libcurl compares the whole seconds that a connection was idle, so 0 allows
     all times below 1 s. */
  if (req->run_once && limit_s <= CONNECTION_IDLE_LIMIT_S)
    age_s = limit_s > 0 ? (long)limit_s - 1 : 0;
  curl_easy_setopt (c->easy, CURLOPT_MAXAGE_CONN, age_s);
  if (req->new_connection || req->fresh_connection
      || (req->run_once && limit_s == 0))
    curl_easy_setopt (c->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (req->new_connection)
    curl_easy_setopt (c->easy, CURLOPT_FORBID_REUSE, 1L);
}

static void
set_options (struct http_call *c, const struct http_request *req)
{
  CURL *e = c->easy;
  const uint32_t connect_ms
      = req->connect_ms > 0 ? req->connect_ms : CONNECT_DEFAULT_MS;

  curl_easy_setopt (e, CURLOPT_PRIVATE, c);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_ERRORBUFFER, c->error_text);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, c);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, c);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
  curl_easy_setopt (e, CURLOPT_SOCKOPTDATA, c);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, on_socket_closing);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETDATA, c->http);
  curl_easy_setopt (e, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  curl_easy_setopt (e, CURLOPT_MAXLIFETIME_CONN, (long)CONNECTION_AGE_LIMIT_S);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_prereq);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, c);
  if (req->target.len > 0)
    {
      struct str target = str_dup (req->target);

      curl_easy_setopt (e, CURLOPT_REQUEST_TARGET, target.data);
      str_free (&target);
    }
  set_connection (c, req);
}

/* Returns the "ip:port" of a URL. */
static struct str
url_peer (struct str url)
{
  static const struct str scheme = { "http://", 7 };
  struct str s = url;
  size_t n = 0;

  if (str_starts (s, scheme))
    s = (struct str){ s.data + scheme.len, s.len - scheme.len };
  while (n < s.len && s.data[n] != '/')
    n++;
  return (struct str){ s.data, n };
}

struct http_call *
http_send (struct http *h, const struct http_request *req,
           const struct http_events *events, void *ctx)
{
  struct http_call *c = xcalloc (1, sizeof *c);
  struct str url = str_dup (req->url);

  c->http = h;
  c->events = events;
  c->ctx = ctx;
  c->easy = curl_easy_init ();
  c->peer = str_dup (url_peer (req->url));
  c->started_ms = clock_ms ();
  c->last_received_ms = c->started_ms;
  c->silence_ms = req->silence_ms;
  c->total_ms = req->total_ms;
  c->allow_close_delimited = req->allow_close_delimited;
  c->repeat_if_closed = req->repeat_if_closed;
  c->run_once = req->run_once;
  c->collected_max_bytes = req->collected_max_bytes > 0
                               ? req->collected_max_bytes
                               : COLLECTED_MAX_BYTES;
  uv_timer_init (h->loop, &c->timer);
  c->timer.data = c;
  c->next = h->calls;
  if (h->calls)
    h->calls->prev = c;
  h->calls = c;

  curl_easy_setopt (c->easy, CURLOPT_URL, url.data);
  str_free (&url);
  set_options (c, req);
  set_method (c, req);
  set_headers (c, req);
  arm_timeout (&c->timer);
  if (h->in_curl)
    uv_timer_start (&h->deferred, on_deferred, 0, 0);
  else
    add_call (c);
  return c;
}

void
http_cancel (struct http_call *c)
{
  c->cancelled = true;
  if (c->http->in_curl)
    /* libcurl doesn't allow removing a handle in its callbacks. */
    uv_timer_start (&c->timer, on_call_timer, 0, 0);
  else
    release_call (c);
}

void
http_mark_connection_unreliable (struct http_call *c)
{
  connsockets_mark_unreliable (c->http->sockets, c->fd);
}

/* libcurl may call back when it resumes, and calls that end then must not be
   removed until it returns. */
static void
set_paused (struct http_call *c, bool paused)
{
  struct http *h = c->http;
  const bool in_curl = h->in_curl;

  if (c->paused == paused || c->cancelled || !c->added_to_multi)
    return;
  c->paused = paused;
  c->last_received_ms = clock_ms ();
  h->in_curl = true;
  curl_easy_pause (c->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  h->in_curl = in_curl;
}

void
http_pause (struct http_call *c)
{
  set_paused (c, true);
}

void
http_resume (struct http_call *c)
{
  set_paused (c, false);
}

bool
http_response_started (const struct http_call *c)
{
  return c->head_bytes > 0;
}

bool
http_opened_connection (const struct http_call *c)
{
  long opened = 0;

  curl_easy_getinfo (c->easy, CURLINFO_NUM_CONNECTS, &opened);
  return opened > 0;
}

struct str
http_header (const struct http_call *c, const char *name)
{
  const struct curl_header *field = nth_field (c, name, 0);

  return field ? str_from (field->value) : (struct str){ 0 };
}

size_t
http_fields (const struct http_call *c, struct http_field *out, size_t max)
{
  struct curl_header *h = NULL;
  size_t n = 0;

  while (n < max && (h = curl_easy_nextheader (c->easy, CURLH_HEADER, -1, h)))
    out[n++] = (struct http_field){ str_from (h->name), str_from (h->value) };
  return n;
}

/* ---- client ---- */

struct http *
http_create (uv_loop_t *loop)
{
  struct http *h = xcalloc (1, sizeof *h);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  h->loop = loop;
  h->keepalive = keepalive_create ();
  h->sockets = connsockets_create ();
  h->multi = curl_multi_init ();
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERFUNCTION, on_timer_request);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_MAXCONNECTS, (long)CONNECTIONS_KEPT);
  uv_timer_init (loop, &h->timer);
  uv_timer_init (loop, &h->deferred);
  h->timer.data = h;
  h->deferred.data = h;
  return h;
}

void
http_close (struct http *h)
{
  h->closing = true;
  while (h->calls)
    {
      struct http_call *c = h->calls;

      if (!c->cancelled && c->events->closed)
        c->events->closed (c->ctx);
      release_call (c);
    }
  curl_multi_cleanup (h->multi);
  h->multi = NULL;
  uv_close ((uv_handle_t *)&h->timer, NULL);
  uv_close ((uv_handle_t *)&h->deferred, NULL);
}

void
http_destroy (struct http *h)
{
  keepalive_destroy (h->keepalive);
  connsockets_destroy (h->sockets);
  free (h);
}

struct http *
http_get (struct kernel *kernel)
{
  return (struct http *)kernel_find (kernel, "http");
}

static const struct plugin_ops ops;

static struct plugin *
create (struct kernel *kernel)
{
  struct http *h = http_create (kernel_loop (kernel));

  h->plugin.ops = &ops;
  return &h->plugin;
}

static void
stop (struct plugin *plugin)
{
  http_close ((struct http *)plugin);
}

static void
destroy (struct plugin *plugin)
{
  http_destroy ((struct http *)plugin);
}

static const struct plugin_ops ops = {
  .name = "http",
  .rank = RANK_HTTP,
  .profiles = PROFILE_NODE | PROFILE_EDGE,
  .create = create,
  .stop = stop,
  .destroy = destroy,
};
KERNEL_PLUGIN (ops)
