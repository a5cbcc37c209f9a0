#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "settings.h"
#include "standinlib.h"

/* Stand-in for a plain service. Words in a request body select faults: SILENCE
   gets no answer, CLOSE gets its connection closed unless it is the first
   request on it, CRASH ends the process. */

#define EXIT_CRASH 70

struct options
{
  uint32_t port;
  uint32_t delay_ms;
};

#define FIELD(f) .offset = offsetof (struct options, f)

static const struct setting settings[] = {
  { "port", "PORT", "port on 127.0.0.1", SETTING_U32, FIELD (port), NULL, 1,
    65535 },
  { "delay-ms", "MS", "duration of an operation", SETTING_U32,
    FIELD (delay_ms), "0", 0, 600000 },
};

static struct options options;
static json_t *keys;        /* Idempotency-Key to number of runs */
static json_t *request_ids; /* X-Request-Id to number of runs */
static json_int_t runs;

static void
count (json_t *counts, struct str name)
{
  char key[256];

  if (name.len == 0 || name.len >= sizeof key)
    return;
  memcpy (key, name.data, name.len);
  key[name.len] = '\0';
  const json_int_t n = json_integer_value (json_object_get (counts, key));
  json_object_set_new (counts, key, json_integer (n + 1));
}

static bool
body_contains (const h2o_req_t *req, const char *word)
{
  const struct str body = standin_body (req);

  return memmem (body.data, body.len, word, strlen (word)) != NULL;
}

/* Answers the request unless its body selects a fault. */
static void
finish (void *ctx)
{
  h2o_req_t *req = ctx;
  const struct str key = standin_header (req, "idempotency-key");

  if (body_contains (req, "SILENCE"))
    return;
  if (body_contains (req, "CLOSE") && standin_conn_requests (req) >= 2)
    {
      standin_close (req);
      return;
    }
  const struct str path = standin_path (req);
  standin_json (req, 200,
                json_pack ("{s:s#, s:s#, s:I}", "path", path.data,
                           (int)path.len, "key", key.data, (int)key.len, "run",
                           runs));
}

static void
handle (h2o_req_t *req)
{
  if (standin_method (req, "GET")
      && str_eq (standin_path (req), STR ("/counts")))
    {
      standin_json (req, 200,
                    json_pack ("{s:I, s:O, s:O}", "runs", runs, "keys", keys,
                               "requests", request_ids));
      return;
    }
  if (body_contains (req, "CRASH"))
    _exit (EXIT_CRASH);
  /* Counts the run on receipt, because the operation runs even if the caller
     disconnects. */
  runs++;
  count (keys, standin_header (req, "idempotency-key"));
  count (request_ids, standin_header (req, "x-request-id"));
  if (options.delay_ms == 0)
    finish (req);
  else
    standin_run_after (options.delay_ms, finish, req);
}

int
main (int argc, char **argv)
{
  if (settings_parse (argc, argv, "Stand-in for a plain service.", NULL,
                      settings, sizeof settings / sizeof *settings, &options,
                      NULL)
      != 0)
    return 2;
  keys = json_object ();
  request_ids = json_object ();
  return standin_run (options.port, handle);
}
