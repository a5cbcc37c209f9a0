#pragma once

#include <stddef.h>

#include <rpc/rpc.h>

#include "str.h"

/* Values of the types in peer.h as XDR bytes. A value that does not fit its
   type is an error of the caller and aborts. */

/** xdrcodec_encode() - heap bytes; free with str_free(). */
struct str xdrcodec_encode (xdrproc_t xdr, const void *value);
/** xdrcodec_copy() - deep copy of a value of @size bytes; release it with
 * xdr_free(), then free(). */
void *xdrcodec_copy (xdrproc_t xdr, const void *value, size_t size);
