#pragma once

#include <stddef.h>

#include <rpc/rpc.h>

#include "str.h"

/* Encodes and copies values of the types in peer.h and digest.h with XDR. */

/**
 * xdrcodec_encode() - encode a value.
 * @out: the bytes; free them with str_free().
 *
 * Returns 0, or -EMSGSIZE if the value exceeds the bounds of its type.
 */
int xdrcodec_encode (xdrproc_t xdr, const void *value, struct str *out);
/** xdrcodec_copy() - deep copy of a struct of @size bytes; release it with
 * xdr_free() and then free(). Returns NULL if the value exceeds the bounds of
 * its type. */
void *xdrcodec_copy (xdrproc_t xdr, const void *value, size_t size);
