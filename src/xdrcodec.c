#include "xdrcodec.h"

#include <stdlib.h>

#include "err.h"

struct str
xdrcodec_encode (xdrproc_t xdr, const void *value)
{
  const size_t size = xdr_sizeof (xdr, (void *)value);
  char *data = xmalloc (size);
  XDR x;

  xdrmem_create (&x, data, (u_int)size, XDR_ENCODE);
  if (!xdr (&x, (void *)value))
    abort ();
  return (struct str){ .data = data, .len = size };
}

void *
xdrcodec_copy (xdrproc_t xdr, const void *value, size_t size)
{
  struct str bytes = xdrcodec_encode (xdr, value);
  void *copy = xcalloc (1, size);
  XDR x;

  xdrmem_create (&x, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  if (!xdr (&x, copy))
    abort ();
  str_free (&bytes);
  return copy;
}
