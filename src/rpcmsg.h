#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "peer.h"
#include "str.h"

/* ONC RPC messages in records as TCP carries them (4-byte record mark). */

#define RPCMSG_MARK_BYTES 4
#define RPCMSG_RECORD_MAX_BYTES (16 * 1024 * 1024)

/** struct rpcmsg - header of a received message. */
struct rpcmsg
{
  uint32_t xid;
  bool is_reply;
  uint32_t proc; /* calls only */
  int err;       /* -EPROTONOSUPPORT, or what bus_fail() gave */
};

enum rpcmsg_side
{
  RPCMSG_ARGS,
  RPCMSG_RESULT,
};

bool rpcmsg_proc_known (uint32_t proc);

/** rpcmsg_call() - whole record of a call; heap-owned. */
struct str rpcmsg_call (uint32_t xid, uint32_t proc, const void *args);
/** rpcmsg_reply() - whole record of a reply; @result only when @err is 0. */
struct str rpcmsg_reply (uint32_t xid, uint32_t proc, int err, struct str hint,
                         const void *result);
/** rpcmsg_mismatch() - record that refuses a call of another version. */
struct str rpcmsg_mismatch (uint32_t xid);

/**
 * rpcmsg_header() - read the header of a record.
 * @record: without the record mark.
 * @hint: text of a failed reply; heap-owned, free with str_free().
 * @body: rest of the record.
 *
 * Returns 0; -EPROTONOSUPPORT for a call of another program or version (xid is
 * set); -EBADMSG.
 */
int rpcmsg_header (struct str record, struct rpcmsg *msg, struct str *hint,
                   struct str *body);
/** rpcmsg_body() - decode arguments or result; free with rpcmsg_free(). */
void *rpcmsg_body (uint32_t proc, enum rpcmsg_side side, struct str body);
void rpcmsg_free (uint32_t proc, enum rpcmsg_side side, void *value);
