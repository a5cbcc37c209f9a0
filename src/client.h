#pragma once

#include <stdint.h>

#include "err.h"
#include "store.h"
#include "str.h"

/* Blocking store and HTTP requests for operator commands. Each client runs an
   event loop of its own. */

struct client;

/**
 * struct client_reply - result of a request; free with client_reply_free().
 * @err: error as passed to store_fn, or error of the HTTP request.
 * @version: version of the object; 0 for client_get().
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

/** client_create() - create a client. @store_url may be empty if the store is
 * not used. */
struct client *client_create (struct str store_url);
void client_destroy (struct client *client);

/** client_read() - read an object; retries during a short outage. */
struct client_reply client_read (struct client *client, struct str key);
/** client_write() - update an object if its version is @version; never
 * retries. */
struct client_reply client_write (struct client *client, struct str key,
                                  uint64_t version, struct str value);
/** client_get() - send a GET request to http://@addr@path. */
struct client_reply client_get (struct client *client, struct str addr,
                                struct str path, uint32_t timeout_ms);
void client_reply_free (struct client_reply *reply);
/** client_error_is_outage() - Returns true if @err means that the store did
 * not reply, or not in time. */
bool client_error_is_outage (struct err err);
void client_sleep (uint32_t ms);
