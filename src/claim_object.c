#include "claim_impl.h"

#include <stdlib.h>

#include "xdrcodec.h"

struct str
claim_encode (const struct claim_object *object)
{
  struct str bytes;

  /* Its records were decoded with the same bounds. */
  if (xdrcodec_encode ((xdrproc_t)xdr_claim_object, object, &bytes) != 0)
    abort ();
  return bytes;
}

/* Returns false if the object is malformed or its format is unknown. On
   success the caller frees @out with xdr_free(). */
bool
claim_decode (struct str value, struct claim_object *out)
{
  XDR xdr;

  *out = (struct claim_object){ 0 };
  xdrmem_create (&xdr, (char *)value.data, (u_int)value.len, XDR_DECODE);
  if (xdr_claim_object (&xdr, out) && out->format == CLAIM_FORMAT)
    return true;
  xdr_free ((xdrproc_t)xdr_claim_object, out);
  return false;
}

struct claim_object
claim_new_object (const struct claim_partition *c, uint64_t sequence)
{
  return (struct claim_object){ .format = CLAIM_FORMAT,
                                .fence = c->fence,
                                .sequence = sequence,
                                .writer = c->config.self };
}
