#pragma once

#include <stddef.h>

#include <rpc/rpc.h>

#include "str.h"

/* Encodes and copies values of the types in peer.h with XDR. A value that
   exceeds the bounds of its type is a bug of the caller: the process aborts.
 */

/** xdrcodec_encode() - encode a value; free the bytes with str_free(). */
struct str xdrcodec_encode (xdrproc_t xdr, const void *value);
/** xdrcodec_copy() - deep copy of a struct of @size bytes; release it with
 * xdr_free() and then free(). */
void *xdrcodec_copy (xdrproc_t xdr, const void *value, size_t size);
