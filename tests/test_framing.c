#include "framing.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "suite.h"

/* The check of the framing of requests, fed in pieces of any size. */

#define GET "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
#define POST "POST / HTTP/1.1\r\nHost: a\r\n"
#define OLD "POST / HTTP/1.0\r\nHost: a\r\n"
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"

struct stream
{
  const char *text;
  size_t complete;
  const char *error;
};

static const struct stream streams[] = {
  { "", 0, NULL },
  { GET, 1, NULL },
  { "\r\n\r\n" GET "\n" GET, 2, NULL },
  { "GET / HTTP/1.1\nHost: a\n\n" GET, 2, NULL },
  { "GET / HTTP/1.1\r\nHost: a\r\n", 0, NULL },
  { POST "Content-Length: 3\r\n\r\nabc" GET, 2, NULL },
  { POST "Content-Length: 3\r\n\r\nab", 0, NULL },
  { POST "Content-Length: 0\r\n\r\n" GET, 2, NULL },
  { POST "Content-Length: 3\r\ncontent-length:\t03 \r\n\r\nabc" GET, 2, NULL },
  { OLD "Content-Length: 3\r\n\r\nabc" GET, 2, NULL },
  { POST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 0,
    "lengths-differ" },
  { POST "Content-Length: 0\r\nContent-Length: 3\r\n\r\nabc", 0,
    "lengths-differ" },
  { GET POST "Content-Length: 0\r\nContent-Length: 3\r\n\r\nabc", 1,
    "lengths-differ" },
  { POST "Content-Length:\r\n\r\n", 0, "length-no-number" },
  { POST "Content-Length: +3\r\n\r\nabc", 0, "length-no-number" },
  { POST "Content-Length: 3, 3\r\n\r\nabc", 0, "length-no-number" },
  { POST "Content-Length: 0x3\r\n\r\nabc", 0, "length-no-number" },
  { POST "Content-Length: 18446744073709551616\r\n\r\n", 0,
    "length-no-number" },
  { POST "Content-Length: 3\r\n 4\r\n\r\nabc", 0, "field" },
  { POST "Content-Length : 3\r\n\r\nabc", 0, "field" },
  { POST "X-Odd: 1\rContent-Length: 3\r\n\r\nabc", 0, "field" },
  { POST "X-Odd\r\n\r\n", 0, "field" },
  { POST "Host: b\r\n\r\n", 0, "hosts" },
  { CHUNKED "3\r\nabc\r\n0\r\n\r\n" GET, 2, NULL },
  { CHUNKED "0\r\n\r\n" CHUNKED "0\r\n\r\n", 2, NULL },
  { CHUNKED "3\r\na\r\n\r\n0\r\n\r\n" GET, 2, NULL },
  { CHUNKED "00B\r\n\r\n0\r\n\r\nabcd\r\n0\r\n\r\n" GET, 2, NULL },
  { CHUNKED "3;a=\"b;c\";d\r\nabc\r\n0 \t;e\r\n\r\n" GET, 2, NULL },
  { CHUNKED "0\r\nX-Sum: 1\r\nX-More:\r\n\r\n" GET, 2, NULL },
  { POST "TRANSFER-ENCODING:  chunKED\t\r\n\r\n0\r\n\r\n" GET, 2, NULL },
  { POST "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0,
    "length-and-coding" },
  { POST "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 0,
    "length-and-coding" },
  { POST "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0,
    "coding" },
  { POST "Transfer-Encoding: gzip, chunked\r\n\r\n", 0, "coding" },
  { POST "Transfer-Encoding: identity\r\n\r\n", 0, "coding" },
  { POST "Transfer-Encoding:\r\n\r\n", 0, "coding" },
  { OLD "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 0,
    "coding-of-http-1.0" },
  { CHUNKED "\r\n", 0, "chunk-size" },
  { CHUNKED "0x3\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3g\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "-3\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED " 3\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3 \r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3 4\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3;a\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "3;a\rb\r\nabc\r\n0\r\n\r\n", 0, "chunk-size" },
  { CHUNKED "1000000000000000\r\n", 0, "chunk-size" },
  { CHUNKED "3\r\nabcd\n0\r\n\r\n", 0, "chunk-end" },
  { CHUNKED "3\r\nabcd\r\n0\r\n\r\n", 0, "line-too-long" },
  { CHUNKED "3\r\nabc\n0\r\n\r\n", 0, "chunk-end" },
  { CHUNKED "0\r\nbad trailer\r\n\r\n", 0, "trailer" },
  { CHUNKED "0\r\n X: 1\r\n\r\n", 0, "trailer" },
  { GET "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n bytes", 1, NULL },
};

static bool
same_error (const char *a, const char *b)
{
  return a && b ? strcmp (a, b) == 0 : a == b;
}

/* Feeds the text in two pieces, or byte by byte if @first_bytes is 0. */
static void
check_pieces (const struct stream *s, size_t first_bytes)
{
  const size_t len = strlen (s->text);
  const size_t piece = first_bytes > 0 ? first_bytes : 1;
  struct framing f = { 0 };
  size_t at = 0;

  while (at < len)
    {
      const size_t n = at > 0 && first_bytes > 0 ? len - at : piece;

      framing_feed (&f, (struct str){ s->text + at, n });
      at += n;
    }
  const bool ok = f.complete == s->complete && same_error (f.error, s->error);
  CU_ASSERT_TRUE (ok);
  if (!ok)
    fprintf (stderr, "\"%s\" in pieces of %zu: %zu %s\n", s->text, first_bytes,
             f.complete, f.error ? f.error : "-");
  framing_free (&f);
}

/* Guards against a request whose end is found at different places, depending
   on the reader or on the pieces in which it arrives. */
static void
test_streams (void)
{
  for (size_t i = 0; i < sizeof streams / sizeof *streams; i++)
    for (size_t first = 0; first <= strlen (streams[i].text); first++)
      check_pieces (&streams[i], first);
}

/* Guards against a malformed line, or what follows it, that the HTTP library
   receives as well. */
static void
test_sound_part (void)
{
  for (size_t i = 0; i < sizeof streams / sizeof *streams; i++)
    {
      const struct str text = str_from (streams[i].text);
      struct framing f = { 0 };
      struct framing part = { 0 };
      const size_t sound = framing_feed (&f, text);

      CU_ASSERT_EQUAL (framing_feed (&part, (struct str){ text.data, sound }),
                       sound);
      CU_ASSERT_EQUAL (part.complete, f.complete);
      CU_ASSERT_PTR_NULL (part.error);
      CU_ASSERT_EQUAL (sound < text.len, f.error != NULL);
      if (f.error)
        CU_ASSERT_EQUAL (framing_feed (&f, text), 0);
      framing_free (&f);
      framing_free (&part);
    }
}

#define LONG_BYTES ((size_t)1024 * 1024)

/* Guards against memory that grows with a line that does not end. */
static void
test_endless_lines (void)
{
  static const char *const beginnings[]
      = { "GET /", POST "X-Long: ", CHUNKED "3;a", CHUNKED "0\r\nX-Long: " };
  char piece[1024];

  memset (piece, 'a', sizeof piece);
  for (size_t i = 0; i < sizeof beginnings / sizeof *beginnings; i++)
    {
      struct framing f = { 0 };

      framing_feed (&f, str_from (beginnings[i]));
      for (size_t sent = 0; sent < LONG_BYTES; sent += sizeof piece)
        framing_feed (&f, (struct str){ piece, sizeof piece });
      CU_ASSERT_TRUE (same_error (f.error, "line-too-long"));
      CU_ASSERT_EQUAL (framing_held_bytes (&f), 0);
      framing_free (&f);
    }
}

static const struct suite_case cases[] = {
  { "streams", test_streams },
  { "sound part", test_sound_part },
  { "endless lines", test_endless_lines },
};
TEST_SUITE ("framing", cases)
