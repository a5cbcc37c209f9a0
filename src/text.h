#pragma once

#include <stddef.h>

#include "peer.h"
#include "str.h"

/* Heap-owned XDR texts and blobs of peer.h. */

/** text_copy() - heap copy; free with text_free(). */
text text_copy (text t);
/** blob_copy() - heap copy; free blob_val with free(). */
blob blob_copy (blob b);
void text_free (text *t);
bool text_eq (text a, text b);
/** text_xdr_bytes() - size of the XDR encoding, with length and padding. */
size_t text_xdr_bytes (text t);
/** blob_xdr_bytes() - size of the XDR encoding, with length and padding. */
size_t blob_xdr_bytes (blob b);
