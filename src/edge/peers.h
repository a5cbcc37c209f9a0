#pragma once

#include <uv.h>

#include "edge/digest.h"
#include "str.h"

/* UDP datagrams to and from the other nodes. */

struct peers;

/** peers_receive_fn - called for each datagram received. @from is the sender
 * as "ip:port"; both are borrowed. */
typedef void (*peers_receive_fn) (void *ctx, struct str from,
                                  const struct datagram *datagram);

struct peers *peers_create (uv_loop_t *loop, peers_receive_fn receive,
                            void *ctx);
/** peers_listen() - bind the socket and start to receive. @addr is "ip:port".
 * Returns 0 or a negative errno value. */
int peers_listen (struct peers *peers, struct str addr);
/**
 * peers_encode() - encode a datagram once for any number of receivers.
 * @out: the bytes; free them with str_free().
 *
 * Returns 0, or -EMSGSIZE after logging a datagram that is larger than
 * DIGEST_BYTES_MAX.
 */
int peers_encode (const struct datagram *datagram, struct str *out);
/** peers_send() - send a datagram encoded by peers_encode(), without waiting.
 * A failure is logged only. */
void peers_send (struct peers *peers, struct str to, struct str bytes);
void peers_close (struct peers *peers);
void peers_destroy (struct peers *peers);
/** label_to_str() - Returns a string that borrows the label's text. */
struct str label_to_str (label text);
/** label_from_str() - Returns a label that borrows the string's text. */
label label_from_str (struct str text);
