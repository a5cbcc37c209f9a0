#include "text.h"

#include <stdlib.h>

text
text_copy (text t)
{
  /* TEXT_STR evaluates its argument twice. */
  const struct str copy = str_dup (STR_TEXT (t));

  return TEXT_STR (copy);
}

blob
blob_copy (blob b)
{
  const struct str copy = str_dup (STR_BLOB (b));

  return BLOB_STR (copy);
}

void
text_free (text *t)
{
  free (t->text_val);
  *t = (text){ 0 };
}

bool
text_eq (text a, text b)
{
  return str_eq (STR_TEXT (a), STR_TEXT (b));
}

static size_t
opaque_xdr_bytes (size_t len)
{
  return 4 + (len + 3) / 4 * 4;
}

size_t
text_xdr_bytes (text t)
{
  return opaque_xdr_bytes (t.text_len);
}

size_t
blob_xdr_bytes (blob b)
{
  return opaque_xdr_bytes (b.blob_len);
}
