#pragma once

#include <uv.h>

#include "edge/digest.h"
#include "str.h"

/* Datagrams to and from the other nodes. */

struct peers;

/** peers_fn - a datagram came. @from: "ip:port"; both are borrowed. */
typedef void (*peers_fn) (void *ctx, struct str from,
                          const struct datagram *datagram);

struct peers *peers_create (uv_loop_t *loop, peers_fn fn, void *ctx);
/** peers_listen() - Returns 0 or a negative errno value. */
int peers_listen (struct peers *peers, struct str addr);
/** peers_encode() - bytes of a datagram, for one or several receivers; free
 * with str_free(). */
struct str peers_encode (const struct datagram *datagram);
/** peers_send() - @bytes are those of peers_encode(). */
void peers_send (struct peers *peers, struct str to, struct str bytes);
void peers_close (struct peers *peers);
void peers_destroy (struct peers *peers);
/** label_str() - view a label of a datagram. */
struct str label_str (label text);
/** str_label() - borrow a string as a label of a datagram. */
label str_label (struct str text);
