#include "str.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "err.h"

struct str
str_from (const char *s)
{
  return (struct str){ .data = s ? s : "", .len = s ? strlen (s) : 0 };
}

bool
str_eq (struct str a, struct str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.data, b.data, a.len) == 0);
}

bool
str_eq_nocase (struct str a, struct str b)
{
  return a.len == b.len
         && (a.len == 0 || strncasecmp (a.data, b.data, a.len) == 0);
}

int
str_cmp (struct str a, struct str b)
{
  const size_t n = a.len < b.len ? a.len : b.len;
  const int c = n > 0 ? memcmp (a.data, b.data, n) : 0;

  if (c != 0)
    return c;
  return (a.len > b.len) - (a.len < b.len);
}

bool
str_starts (struct str s, struct str prefix)
{
  return s.len >= prefix.len
         && (prefix.len == 0 || memcmp (s.data, prefix.data, prefix.len) == 0);
}

struct str
str_dup (struct str s)
{
  char *data = xmalloc (s.len + 1);

  if (s.len > 0)
    memcpy (data, s.data, s.len);
  data[s.len] = '\0';
  return (struct str){ .data = data, .len = s.len };
}

void
str_free (struct str *s)
{
  free ((char *)s->data);
  *s = (struct str){ 0 };
}

void
str_assign (struct str *s, struct str with)
{
  if (s->data && str_eq (*s, with))
    return;
  str_free (s);
  *s = str_dup (with);
}

static struct str
str_vprintf (const char *fmt, va_list ap)
{
  char *data = NULL;
  const int n = vasprintf (&data, fmt, ap);

  if (n < 0)
    abort ();
  return (struct str){ .data = data, .len = (size_t)n };
}

struct str
str_printf (const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  const struct str s = str_vprintf (fmt, ap);
  va_end (ap);
  return s;
}

bool
str_u64 (struct str s, uint64_t *out)
{
  uint64_t v = 0;

  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.data[i] < '0' || s.data[i] > '9')
        return false;
      if (__builtin_mul_overflow (v, 10, &v)
          || __builtin_add_overflow (v, (uint64_t)(s.data[i] - '0'), &v))
        return false;
    }
  *out = v;
  return true;
}

bool
str_is_hex (struct str s, size_t len)
{
  if (s.len != len)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      const char c = s.data[i];

      if ((c < '0' || c > '9') && (c < 'a' || c > 'f'))
        return false;
    }
  return true;
}

struct str
str_split (struct str s, char separator, struct str *rest)
{
  const char *at = s.len > 0 ? memchr (s.data, separator, s.len) : NULL;

  *rest = (struct str){ 0 };
  if (!at)
    return s;
  *rest = (struct str){ at + 1, s.len - (size_t)(at + 1 - s.data) };
  return (struct str){ s.data, (size_t)(at - s.data) };
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

struct str
str_trim (struct str s)
{
  while (s.len > 0 && is_blank (s.data[0]))
    s = (struct str){ s.data + 1, s.len - 1 };
  while (s.len > 0 && is_blank (s.data[s.len - 1]))
    s.len--;
  return s;
}

bool
str_is_visible (struct str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.data[i] <= ' ' || s.data[i] > '~')
      return false;
  return s.len > 0;
}

static bool
is_unreserved (char c)
{
  return isalnum ((unsigned char)c) || c == '-' || c == '.' || c == '_'
         || c == '~';
}

struct str
str_percent_encode (struct str s)
{
  struct buf b = { 0 };

  for (size_t i = 0; i < s.len; i++)
    if (is_unreserved (s.data[i]))
      buf_append (&b, (struct str){ &s.data[i], 1 });
    else
      buf_printf (&b, "%%%02X", (unsigned char)s.data[i]);
  struct str out = str_dup (buf_str (&b));
  buf_free (&b);
  return out;
}

uint64_t
str_hash (struct str s, uint64_t seed)
{
  return XXH64 (s.len > 0 ? s.data : "", s.len, seed);
}

void
buf_append (struct buf *b, struct str s)
{
  if (b->len + s.len + 1 > b->cap)
    {
      b->cap = (b->len + s.len + 1) * 2;
      b->data = xrealloc (b->data, b->cap);
    }
  if (s.len > 0)
    memcpy (b->data + b->len, s.data, s.len);
  b->len += s.len;
  b->data[b->len] = '\0';
}

void
buf_printf (struct buf *b, const char *fmt, ...)
{
  va_list ap;
  va_start (ap, fmt);
  struct str s = str_vprintf (fmt, ap);
  va_end (ap);
  buf_append (b, s);
  str_free (&s);
}

struct str
buf_str (const struct buf *b)
{
  return (struct str){ .data = b->data ? b->data : "", .len = b->len };
}

void
buf_reset (struct buf *b)
{
  b->len = 0;
  if (b->data)
    b->data[0] = '\0';
}

void
buf_free (struct buf *b)
{
  free (b->data);
  *b = (struct buf){ 0 };
}
