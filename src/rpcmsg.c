#include "rpcmsg.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <rpc/rpc.h>

#include "err.h"

#define HEADER_MAX_BYTES 512
#define LAST_FRAGMENT_BIT 0x80000000u

/* Stands in for xdr_void(), whose type differs from that of the other XDR
   functions. */
static bool_t
xdr_no_value (XDR *xdr, ...)
{
  (void)xdr;
  return TRUE;
}

struct codec
{
  xdrproc_t xdr;
  size_t size;
};

#define CODEC(type)                                                           \
  {                                                                           \
    .xdr = (xdrproc_t)xdr_##type, .size = sizeof (type)                       \
  }
#define NO_VALUE                                                              \
  {                                                                           \
    .xdr = xdr_no_value, .size = 1                                            \
  }

static const struct codec codecs[][2] = {
  [PEER_NULL] = { NO_VALUE, NO_VALUE },
  [PEER_GRANT] = { CODEC (grant_args), CODEC (grant_res) },
  [PEER_RELEASE] = { CODEC (release_args), NO_VALUE },
  [PEER_WAKE] = { CODEC (wake_args), CODEC (wake_res) },
  [PEER_USAGE] = { CODEC (usage_args), CODEC (usage_res) },
  [PEER_LOAD_SLOT] = { CODEC (load_slot_args), CODEC (load_slot_res) },
  [PEER_FENCE_OFF] = { CODEC (fence_off_args), CODEC (fence_off_res) },
  [PEER_CLAIM] = { CODEC (claim_args), CODEC (claim_res) },
  [PEER_SETTLE] = { CODEC (settle_args), CODEC (settle_res) },
  [PEER_LOOKUP] = { CODEC (lookup_args), CODEC (claim_res) },
  [PEER_QUOTA] = { CODEC (quota_args), CODEC (quota_res) },
  [PEER_CONFIG_FETCH]
  = { CODEC (config_fetch_args), CODEC (config_fetch_res) },
  [PEER_STATUS] = { NO_VALUE, CODEC (status_res) },
  [PEER_HOSTS] = { CODEC (hosts_args), CODEC (hosts_res) },
};

bool
rpcmsg_proc_known (uint32_t proc)
{
  return proc < sizeof codecs / sizeof *codecs;
}

struct xdr_value
{
  xdrproc_t xdr;
  const void *value;
};

/* Encodes a record: the record mark, a message header and @n values. Returns
   an empty record if a value exceeds the bounds of its type. */
static struct str
encode_record (struct rpc_msg *msg, const struct xdr_value *values, size_t n)
{
  size_t size = HEADER_MAX_BYTES;
  XDR xdr;
  bool ok;

  for (size_t i = 0; i < n; i++)
    size += xdr_sizeof (values[i].xdr, (void *)values[i].value);
  char *data = xmalloc (RPCMSG_MARK_BYTES + size);
  xdrmem_create (&xdr, data + RPCMSG_MARK_BYTES, (u_int)size, XDR_ENCODE);
  ok = msg->rm_direction == CALL ? xdr_callmsg (&xdr, msg)
                                 : xdr_replymsg (&xdr, msg);
  for (size_t i = 0; ok && i < n; i++)
    ok = values[i].xdr (&xdr, (void *)values[i].value);
  if (!ok)
    {
      xdr_destroy (&xdr);
      free (data);
      return (struct str){ 0 };
    }
  const uint32_t len = xdr_getpos (&xdr);
  const uint32_t mark = htonl (LAST_FRAGMENT_BIT | len);
  memcpy (data, &mark, sizeof mark);
  xdr_destroy (&xdr);
  return (struct str){ .data = data, .len = RPCMSG_MARK_BYTES + len };
}

struct str
rpcmsg_call (uint32_t xid, uint32_t proc, const void *args)
{
  struct rpc_msg msg = { .rm_xid = xid, .rm_direction = CALL };
  const struct xdr_value value = { codecs[proc][RPCMSG_ARGS].xdr, args };

  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = GALENAGATE;
  msg.rm_call.cb_vers = GALENAGATE_V1;
  msg.rm_call.cb_proc = proc;
  msg.rm_call.cb_cred = _null_auth;
  msg.rm_call.cb_verf = _null_auth;
  return encode_record (&msg, &value, 1);
}

static void
init_accepted_reply (struct rpc_msg *msg, uint32_t xid, enum accept_stat stat)
{
  *msg = (struct rpc_msg){ .rm_xid = xid, .rm_direction = REPLY };
  msg->rm_reply.rp_stat = MSG_ACCEPTED;
  msg->acpted_rply.ar_verf = _null_auth;
  msg->acpted_rply.ar_stat = stat;
}

struct str
rpcmsg_reply (uint32_t xid, uint32_t proc, int err, struct str hint,
              const void *result)
{
  struct rpc_msg msg;
  text hint_text = TEXT_STR (hint);
  const struct xdr_value values[] = {
    { (xdrproc_t)xdr_int, &err },
    { (xdrproc_t)xdr_text, &hint_text },
    { codecs[proc][RPCMSG_RESULT].xdr, result },
  };
  struct str record;

  init_accepted_reply (&msg, xid, SUCCESS);
  msg.acpted_rply.ar_results.proc = xdr_no_value;
  record = encode_record (&msg, values, err == 0 ? 3 : 2);
  if (record.len > 0)
    return record;
  err = -EMSGSIZE;
  hint_text = (text){ 0 };
  return encode_record (&msg, values, 2);
}

struct str
rpcmsg_version_mismatch (uint32_t xid)
{
  struct rpc_msg msg;

  init_accepted_reply (&msg, xid, PROG_MISMATCH);
  msg.acpted_rply.ar_vers.low = GALENAGATE_V1;
  msg.acpted_rply.ar_vers.high = GALENAGATE_V1;
  return encode_record (&msg, NULL, 0);
}

static int
decode_call_header (XDR *xdr, struct rpcmsg *out)
{
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg = { 0 };

  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  if (!xdr_callmsg (xdr, &msg) || msg.rm_direction != CALL)
    return -EBADMSG;
  out->proc = (uint32_t)msg.rm_call.cb_proc;
  if (msg.rm_call.cb_prog != GALENAGATE || msg.rm_call.cb_vers != GALENAGATE_V1
      || !rpcmsg_proc_known (out->proc))
    return -EPROTONOSUPPORT;
  return 0;
}

static int
decode_reply_header (XDR *xdr, struct rpcmsg *out, struct str *hint)
{
  char verf[MAX_AUTH_BYTES];
  struct rpc_msg msg = { 0 };
  text hint_text = { 0 };

  msg.acpted_rply.ar_verf.oa_base = verf;
  msg.acpted_rply.ar_results.proc = xdr_no_value;
  if (!xdr_replymsg (xdr, &msg))
    return -EBADMSG;
  if (msg.rm_reply.rp_stat != MSG_ACCEPTED
      || msg.acpted_rply.ar_stat != SUCCESS)
    {
      out->err = -EPROTONOSUPPORT;
      return 0;
    }
  if (!xdr_int (xdr, &out->err) || !xdr_text (xdr, &hint_text))
    return -EBADMSG;
  *hint = str_dup (STR_TEXT (hint_text));
  xdr_free ((xdrproc_t)xdr_text, &hint_text);
  return 0;
}

int
rpcmsg_decode_header (struct str record, struct rpcmsg *msg, struct str *hint,
                      struct str *body)
{
  uint32_t words[2];
  XDR xdr;

  *msg = (struct rpcmsg){ 0 };
  *hint = (struct str){ 0 };
  if (record.len < sizeof words)
    return -EBADMSG;
  memcpy (words, record.data, sizeof words);
  msg->xid = ntohl (words[0]);
  msg->is_reply = ntohl (words[1]) == REPLY;
  xdrmem_create (&xdr, (char *)record.data, (u_int)record.len, XDR_DECODE);
  const int rc = msg->is_reply ? decode_reply_header (&xdr, msg, hint)
                               : decode_call_header (&xdr, msg);
  const u_int pos = xdr_getpos (&xdr);
  *body = (struct str){ record.data + pos, record.len - pos };
  xdr_destroy (&xdr);
  return rc;
}

void *
rpcmsg_decode_body (uint32_t proc, enum rpcmsg_body_kind kind, struct str body)
{
  const struct codec *c = &codecs[proc][kind];
  void *value = xcalloc (1, c->size);
  XDR xdr;

  xdrmem_create (&xdr, (char *)body.data, (u_int)body.len, XDR_DECODE);
  const bool ok = c->xdr (&xdr, value);
  xdr_destroy (&xdr);
  if (ok)
    return value;
  rpcmsg_free (proc, kind, value);
  return NULL;
}

void
rpcmsg_free (uint32_t proc, enum rpcmsg_body_kind kind, void *value)
{
  if (!value)
    return;
  xdr_free (codecs[proc][kind].xdr, value);
  free (value);
}
