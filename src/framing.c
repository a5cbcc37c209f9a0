#include "framing.h"

#include <string.h>

#include "fieldline.h"

/* Above the limit of the HTTP library for whole heads. */
#define LINE_MAX_BYTES ((size_t)512 * 1024)
#define CHUNK_LINE_MAX_BYTES 4096
/* Sizes of chunks stay below 2^60. */
#define CHUNK_DIGITS_MAX 15
#define CRLF STR ("\r\n")
#define HTTP2_PREFACE_LINE STR ("PRI * HTTP/2.0\r\n")

static void
fail (struct framing *f, const char *error)
{
  f->error = error;
  buf_free (&f->line);
}

static void
end_request (struct framing *f)
{
  f->complete++;
  f->state = FRAMING_START;
}

/* ---- heads ---- */

static void
read_request_line (struct framing *f, struct str line)
{
  static const struct str old_version = { " HTTP/1.0", 9 };
  const struct str text = fieldline_without_end (line);

  /* Empty lines may precede a request. */
  if (text.len == 0)
    return;
  if (str_eq (line, HTTP2_PREFACE_LINE))
    {
      f->state = FRAMING_HTTP2;
      return;
    }
  f->state = FRAMING_FIELDS;
  f->lengths = 0;
  f->codings = 0;
  f->hosts = 0;
  f->chunked = false;
  f->old_version
      = text.len >= old_version.len
        && str_eq ((struct str){ text.data + text.len - old_version.len,
                                 old_version.len },
                   old_version);
}

static void
read_length (struct framing *f, struct str value)
{
  uint64_t length;

  if (!str_u64 (value, &length))
    fail (f, "length-no-number");
  else if (f->lengths > 0 && length != f->length)
    fail (f, "lengths-differ");
  f->length = length;
  f->lengths++;
}

static void
read_field (struct framing *f, struct str line)
{
  struct str value;
  const struct str name
      = str_split (fieldline_without_end (line), ':', &value);

  if (!fieldline_valid (line))
    fail (f, "field");
  else if (str_eq_nocase (name, STR ("Content-Length")))
    read_length (f, str_trim (value));
  else if (str_eq_nocase (name, STR ("Transfer-Encoding")))
    {
      f->codings++;
      f->chunked = str_eq_nocase (str_trim (value), STR ("chunked"));
    }
  else if (str_eq_nocase (name, STR ("Host")))
    f->hosts++;
}

/* Returns what is malformed in a head whose fields are valid; NULL if nothing
   is. */
static const char *
find_conflict (const struct framing *f)
{
  if (f->hosts > 1)
    return "hosts";
  if (f->codings == 0)
    return NULL;
  if (f->lengths > 0)
    return "length-and-coding";
  if (f->codings > 1 || !f->chunked)
    return "coding";
  return f->old_version ? "coding-of-http-1.0" : NULL;
}

static void
end_head (struct framing *f)
{
  const char *error = find_conflict (f);

  if (error)
    fail (f, error);
  else if (f->codings > 0)
    f->state = FRAMING_CHUNK_SIZE;
  else if (f->lengths > 0 && f->length > 0)
    {
      f->state = FRAMING_BODY;
      f->data_left = f->length;
    }
  else
    end_request (f);
}

/* ---- chunks ---- */

/* Returns the value of a hexadecimal digit, -1 for other characters. */
static int
digit_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

/* Parses the digits that a line begins with. Returns their number. */
static size_t
read_digits (struct str line, uint64_t *out)
{
  size_t n = 0;

  *out = 0;
  for (; n < line.len && n <= CHUNK_DIGITS_MAX; n++)
    {
      const int digit = digit_value (line.data[n]);

      if (digit < 0)
        break;
      *out = *out * 16 + (uint64_t)digit;
    }
  return n;
}

/* Returns true if @s, what follows the size of a chunk, is empty or begins an
   extension. */
static bool
is_extension (struct str s)
{
  const struct str text = str_trim (s);

  for (size_t i = 0; i < s.len; i++)
    if (!fieldline_is_value_char (s.data[i]))
      return false;
  return s.len == 0 || (text.len > 0 && text.data[0] == ';');
}

static bool
ends_with_crlf (struct str line)
{
  return line.len >= 2 && line.data[line.len - 2] == '\r';
}

static void
read_chunk_size (struct framing *f, struct str line)
{
  const struct str text = fieldline_without_end (line);
  uint64_t size;
  const size_t digits = read_digits (text, &size);

  if (digits == 0 || digits > CHUNK_DIGITS_MAX || !ends_with_crlf (line)
      || !is_extension ((struct str){ text.data + digits, text.len - digits }))
    {
      fail (f, "chunk-size");
      return;
    }
  f->data_left = size;
  f->state = size > 0 ? FRAMING_CHUNK : FRAMING_TRAILERS;
}

static void
read_chunk_end (struct framing *f, struct str line)
{
  if (str_eq (line, CRLF))
    f->state = FRAMING_CHUNK_SIZE;
  else
    fail (f, "chunk-end");
}

/* ---- lines and data ---- */

static void
read_line (struct framing *f, struct str line)
{
  const bool is_empty = fieldline_without_end (line).len == 0;

  switch (f->state)
    {
    case FRAMING_START:
      read_request_line (f, line);
      break;
    case FRAMING_FIELDS:
      if (is_empty)
        end_head (f);
      else
        read_field (f, line);
      break;
    case FRAMING_CHUNK_SIZE:
      read_chunk_size (f, line);
      break;
    case FRAMING_CHUNK_END:
      read_chunk_end (f, line);
      break;
    case FRAMING_TRAILERS:
      if (is_empty)
        end_request (f);
      else if (!fieldline_valid (line))
        fail (f, "trailer");
      break;
    case FRAMING_BODY:
    case FRAMING_CHUNK:
    case FRAMING_HTTP2:
      break;
    }
}

static size_t
line_limit (enum framing_state state)
{
  if (state == FRAMING_CHUNK_END)
    return CRLF.len;
  return state == FRAMING_CHUNK_SIZE ? CHUNK_LINE_MAX_BYTES : LINE_MAX_BYTES;
}

/* Reads a line, or the beginning of one. Returns the number of bytes. */
static size_t
take_line (struct framing *f, struct str in)
{
  const char *end = memchr (in.data, '\n', in.len);
  const struct str part
      = { in.data, end ? (size_t)(end - in.data) + 1 : in.len };

  if (f->line.len + part.len > line_limit (f->state))
    fail (f, "line-too-long");
  else if (end && f->line.len == 0)
    read_line (f, part);
  else
    {
      buf_append (&f->line, part);
      if (end)
        {
          read_line (f, buf_str (&f->line));
          buf_free (&f->line);
        }
    }
  return part.len;
}

/* Passes over bytes of a body or a chunk. Returns their number. */
static size_t
take_data (struct framing *f, size_t available)
{
  const size_t n = f->data_left < available ? (size_t)f->data_left : available;

  f->data_left -= n;
  if (f->data_left > 0)
    return n;
  if (f->state == FRAMING_BODY)
    end_request (f);
  else
    f->state = FRAMING_CHUNK_END;
  return n;
}

size_t
framing_feed (struct framing *f, struct str bytes)
{
  struct str in = bytes;

  if (f->error)
    return 0;
  while (in.len > 0 && f->state != FRAMING_HTTP2)
    {
      const size_t n
          = f->data_left > 0 ? take_data (f, in.len) : take_line (f, in);

      if (f->error)
        return bytes.len - in.len;
      in = (struct str){ in.data + n, in.len - n };
    }
  return bytes.len;
}

size_t
framing_held_bytes (const struct framing *f)
{
  return f->line.cap;
}

void
framing_free (struct framing *f)
{
  buf_free (&f->line);
}
