#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/* Encodes and decodes ONC RPC messages. Over TCP each message is a record with
   a 4-byte record mark. */

#define RPCMSG_MARK_BYTES 4
#define RPCMSG_RECORD_MAX_BYTES (16 * 1024 * 1024)

/** struct rpcmsg - header of a received message. */
struct rpcmsg
{
  uint32_t xid;
  bool is_reply;
  uint32_t proc; /* of a call */
  int err;       /* of a reply: 0, -EPROTONOSUPPORT or from bus_fail() */
};

enum rpcmsg_body_kind
{
  RPCMSG_ARGS,
  RPCMSG_RESULT,
};

bool rpcmsg_proc_known (uint32_t proc);

/** rpcmsg_call() - encode a call; the record, mark included, is heap-owned.
 * Returns an empty record if an argument exceeds the bounds of its type. */
struct str rpcmsg_call (uint32_t xid, uint32_t proc, const void *args);
/** rpcmsg_reply() - encode a reply like rpcmsg_call(); @result is used only if
 * @err is 0. A result that exceeds the bounds of its type is replaced by the
 * error -EMSGSIZE. */
struct str rpcmsg_reply (uint32_t xid, uint32_t proc, int err, struct str hint,
                         const void *result);
/** rpcmsg_version_mismatch() - encode a reply that rejects a call because of
 * its protocol version. */
struct str rpcmsg_version_mismatch (uint32_t xid);

/**
 * rpcmsg_decode_header() - decode the header of a record.
 * @record: without the record mark.
 * @hint: set to the hint of a reply; free with str_free().
 * @body: set to the rest of the record.
 *
 * Returns 0, -EPROTONOSUPPORT for a call with another program, version or an
 * unknown procedure (the xid is set), or -EBADMSG for a malformed header.
 */
int rpcmsg_decode_header (struct str record, struct rpcmsg *msg,
                          struct str *hint, struct str *body);
/** rpcmsg_decode_body() - decode arguments or a result; NULL if malformed.
 * Free with rpcmsg_free(). */
void *rpcmsg_decode_body (uint32_t proc, enum rpcmsg_body_kind kind,
                          struct str body);
void rpcmsg_free (uint32_t proc, enum rpcmsg_body_kind kind, void *value);
