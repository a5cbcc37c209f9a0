#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** struct str - string with a length; not necessarily null-terminated. */
struct str
{
  const char *data;
  size_t len;
};

#define STR(lit) ((struct str){ .data = (lit), .len = sizeof (lit) - 1 })
#define STR_ARG(s) (int)(s).len, (s).data
#define STR_FMT "%.*s"
/* Views of XDR opaque<> members of peer.h, for example
   STR_TEXT (args->model). */
#define STR_TEXT(t) ((struct str){ .data = (t).text_val, .len = (t).text_len })
#define STR_BLOB(b) ((struct str){ .data = (b).blob_val, .len = (b).blob_len })
/* Views of a str as XDR text or blob; the callee must not free them. */
#define TEXT_STR(s)                                                           \
  ((text){ .text_len = (u_int)(s).len, .text_val = (char *)(s).data })
#define BLOB_STR(s)                                                           \
  ((blob){ .blob_len = (u_int)(s).len, .blob_val = (char *)(s).data })

/** str_from() - view of a null-terminated string; empty for NULL. */
struct str str_from (const char *s);
bool str_eq (struct str a, struct str b);
/** str_eq_nocase() - likewise, ignoring the case of ASCII letters. */
bool str_eq_nocase (struct str a, struct str b);
int str_cmp (struct str a, struct str b);
bool str_starts (struct str s, struct str prefix);
/** str_dup() - make a null-terminated heap copy; free with str_free(). */
struct str str_dup (struct str s);
void str_free (struct str *s);
/** str_assign() - replace a heap-owned string with a copy of another one. */
void str_assign (struct str *s, struct str with);
/** str_printf() - format a heap-owned, null-terminated string. */
struct str str_printf (const char *fmt, ...)
    __attribute__ ((format (printf, 1, 2)));
/** str_u64() - parse a decimal number that spans the whole string. Returns
 * false if the string is invalid or out of range. */
bool str_u64 (struct str s, uint64_t *out);
/** str_is_hex() - Returns true if @s is exactly @len lower-case hex digits. */
bool str_is_hex (struct str s, size_t len);
/** str_split() - view of the part before the first @separator. @rest is set to
 * the part after it; empty without a separator. */
struct str str_split (struct str s, char separator, struct str *rest);
/** str_trim() - view without spaces and tabs at both ends. */
struct str str_trim (struct str s);
/** str_is_visible() - Returns true if @s consists of visible ASCII characters,
 * at least one, so that it can be sent as a header value and logged without
 * quotes. */
bool str_is_visible (struct str s);
/** str_percent_encode() - encode a path segment or a query value of a URL, so
 * that it is decoded to the same bytes. Returns a heap-owned, null-terminated
 * string. */
struct str str_percent_encode (struct str s);
/** str_hash() - 64-bit xxhash. */
uint64_t str_hash (struct str s, uint64_t seed);

/** struct buf - growable byte buffer. Zero-initialise; free with buf_free().
 */
struct buf
{
  char *data;
  size_t len;
  size_t cap;
};

void buf_append (struct buf *b, struct str s);
void buf_printf (struct buf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
struct str buf_str (const struct buf *b);
void buf_reset (struct buf *b);
void buf_free (struct buf *b);
