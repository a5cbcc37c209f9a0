#include "rpcmsg.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"
#include "xdrcodec.h"

static struct str
without_mark (struct str record)
{
  return (struct str){ record.data + RPCMSG_MARK_BYTES,
                       record.len - RPCMSG_MARK_BYTES };
}

/* Guards against arguments that are altered by encoding and decoding. */
static void
test_call (void)
{
  const struct lookup_args args
      = { .customer = TEXT_STR (STR ("opera")), .key = TEXT_STR (STR ("k")) };
  struct str record = rpcmsg_call (7, PEER_LOOKUP, &args);
  struct rpcmsg msg;
  struct str hint;
  struct str body;

  CU_ASSERT_EQUAL (
      rpcmsg_decode_header (without_mark (record), &msg, &hint, &body), 0);
  CU_ASSERT_EQUAL (msg.xid, 7);
  CU_ASSERT_FALSE (msg.is_reply);
  CU_ASSERT_EQUAL (msg.proc, PEER_LOOKUP);
  lookup_args *decoded = rpcmsg_decode_body (msg.proc, RPCMSG_ARGS, body);
  CU_ASSERT_PTR_NOT_NULL (decoded);
  if (!decoded)
    return;
  CU_ASSERT (str_eq (STR_TEXT (decoded->customer), STR ("opera")));
  CU_ASSERT (str_eq (STR_TEXT (decoded->key), STR ("k")));
  rpcmsg_free (msg.proc, RPCMSG_ARGS, decoded);
  str_free (&record);
}

/* Guards against an error reply that is decoded as a result, and a lost hint.
 */
static void
test_reply (void)
{
  const struct settle_res res = { .stored = TRUE };
  static const struct
  {
    int err;
    const char *hint;
  } cases[] = { { 0, "" }, { -ESTALE, "127.0.0.1:7" }, { -EIO, "" } };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct str record = rpcmsg_reply (9, PEER_SETTLE, cases[i].err,
                                        str_from (cases[i].hint), &res);
      struct rpcmsg msg;
      struct str hint;
      struct str body;

      CU_ASSERT_EQUAL (
          rpcmsg_decode_header (without_mark (record), &msg, &hint, &body), 0);
      CU_ASSERT (msg.is_reply);
      CU_ASSERT_EQUAL (msg.err, cases[i].err);
      CU_ASSERT (str_eq (hint, str_from (cases[i].hint)));
      str_free (&hint);
      str_free (&record);
    }
}

/* Guards against a crash or a wrong result when a truncated or altered record
   is decoded. */
static void
test_bad_records (void)
{
  const struct lookup_args args
      = { .customer = TEXT_STR (STR ("opera")), .key = TEXT_STR (STR ("k")) };
  struct str record = rpcmsg_call (7, PEER_LOOKUP, &args);
  const struct str whole = without_mark (record);
  struct rpcmsg msg;
  struct str hint;
  struct str body;

  for (size_t n = 0; n < whole.len; n++)
    {
      const struct str cut = { whole.data, n };

      if (rpcmsg_decode_header (cut, &msg, &hint, &body) != 0)
        continue;
      CU_ASSERT_PTR_NULL (rpcmsg_decode_body (msg.proc, RPCMSG_ARGS, body));
    }
  ((char *)whole.data)[19] = 2; /* version */
  CU_ASSERT_EQUAL (rpcmsg_decode_header (whole, &msg, &hint, &body),
                   -EPROTONOSUPPORT);
  CU_ASSERT_EQUAL (msg.xid, 7);
  str_free (&record);
}

/* Guards against a version mismatch that the caller decodes as a result. */
static void
test_mismatch (void)
{
  struct str record = rpcmsg_version_mismatch (3);
  struct rpcmsg msg;
  struct str hint;
  struct str body;

  CU_ASSERT_EQUAL (
      rpcmsg_decode_header (without_mark (record), &msg, &hint, &body), 0);
  CU_ASSERT (msg.is_reply);
  CU_ASSERT_EQUAL (msg.err, -EPROTONOSUPPORT);
  str_free (&record);
}

/* Guards against a process that ends because a text of a client or of a server
   exceeds the bounds of a message. */
static void
test_too_large (void)
{
  char *key = malloc (5000);
  struct rpcmsg msg;
  struct str hint;
  struct str body;

  memset (key, 'k', 5000);
  const struct lookup_args args
      = { .key = TEXT_STR (((struct str){ key, 5000 })) };
  const struct claim_res res
      = { .content_type = TEXT_STR (((struct str){ key, 5000 })) };
  struct str record = rpcmsg_reply (9, PEER_LOOKUP, 0, STR (""), &res);

  CU_ASSERT_EQUAL (rpcmsg_call (7, PEER_LOOKUP, &args).len, 0);
  CU_ASSERT_PTR_NULL (
      xdrcodec_copy ((xdrproc_t)xdr_lookup_args, &args, sizeof args));
  CU_ASSERT_EQUAL (
      rpcmsg_decode_header (without_mark (record), &msg, &hint, &body), 0);
  CU_ASSERT_EQUAL (msg.err, -EMSGSIZE);
  str_free (&hint);
  str_free (&record);
  free (key);
}

static const struct suite_case cases[] = {
  { "call round trip", test_call },
  { "reply round trip", test_reply },
  { "truncated and altered records", test_bad_records },
  { "version mismatch", test_mismatch },
  { "too large", test_too_large },
};
TEST_SUITE ("rpcmsg", cases)
