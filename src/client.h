#pragma once

#include <stdint.h>

#include "err.h"
#include "store.h"
#include "str.h"

/* Blocking calls for operator commands, on a loop of their own. */

struct client;

/**
 * struct client_reply - end of a call; free with client_reply_free().
 * @err: as of store_fn, or of a HTTP call.
 * @version: of the object; 0 for HTTP calls.
 * @status: HTTP status of client_get().
 * @value: heap-owned body.
 */
struct client_reply
{
  struct err err;
  uint64_t version;
  int status;
  struct str value;
};

/** client_create() - @store_url may be empty when the store is not used. */
struct client *client_create (struct str store_url);
void client_destroy (struct client *client);

/** client_read() - read an object; repeats the call during a short outage. */
struct client_reply client_read (struct client *client, struct str key);
/** client_write() - one conditional update, never repeated. */
struct client_reply client_write (struct client *client, struct str key,
                                  uint64_t version, struct str value);
/** client_get() - GET of http://ADDR PATH. */
struct client_reply client_get (struct client *client, struct str addr,
                                struct str path, uint32_t timeout_ms);
void client_reply_free (struct client_reply *reply);
/** client_outage() - is the error a missing or late answer of the store. */
bool client_outage (struct err err);
void client_sleep (uint32_t ms);

/** client_escape() - heap-owned percent-encoded text for a query. */
struct str client_escape (struct str s);
