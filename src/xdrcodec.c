#include "xdrcodec.h"

#include <errno.h>
#include <stdlib.h>

#include "err.h"

int
xdrcodec_encode (xdrproc_t xdr, const void *value, struct str *out)
{
  const size_t size = xdr_sizeof (xdr, (void *)value);
  char *data = xmalloc (size + 1);
  XDR x;

  *out = (struct str){ 0 };
  xdrmem_create (&x, data, (u_int)size, XDR_ENCODE);
  if (!xdr (&x, (void *)value))
    {
      free (data);
      return -EMSGSIZE;
    }
  *out = (struct str){ .data = data, .len = size };
  return 0;
}

void *
xdrcodec_copy (xdrproc_t xdr, const void *value, size_t size)
{
  struct str bytes;
  void *copy;
  XDR x;

  if (xdrcodec_encode (xdr, value, &bytes) != 0)
    return NULL;
  copy = xcalloc (1, size);
  xdrmem_create (&x, (char *)bytes.data, (u_int)bytes.len, XDR_DECODE);
  if (!xdr (&x, copy))
    abort ();
  str_free (&bytes);
  return copy;
}
