#include "sse.h"

#include <string.h>

#include "suite.h"

struct seen
{
  struct buf data;
  size_t events;
  uint64_t last_id;
};

static bool
on_event (void *ctx, const struct sse_event *event)
{
  struct seen *s = ctx;

  s->events++;
  buf_append (&s->data, event->data);
  buf_append (&s->data, STR ("|"));
  if (event->has_id)
    s->last_id = event->id;
  return true;
}

/* Guards against events lost or joined when bytes arrive in any pieces. */
static void
test_pieces (void)
{
  static const char text[] = "id: 1\ndata: {\"a\":1}\n\n: ping\n\n"
                             "id: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\ndata: x";

  for (size_t piece = 1; piece < sizeof text; piece++)
    {
      struct sse sse = { 0 };
      struct seen seen = { 0 };

      for (size_t i = 0; i < sizeof text - 1; i += piece)
        {
          const size_t left = sizeof text - 1 - i;
          const struct str part = { text + i, left < piece ? left : piece };

          sse_feed (&sse, part, on_event, &seen);
        }
      CU_ASSERT_EQUAL (seen.events, 4);
      CU_ASSERT_EQUAL (seen.last_id, 2);
      CU_ASSERT (str_eq (buf_str (&seen.data), STR ("{\"a\":1}||b|[DONE]|")));
      /* The cut event is kept back. */
      CU_ASSERT_EQUAL (sse.in.len, 7);
      buf_free (&sse.in);
      buf_free (&seen.data);
    }
}

/* Guards against memory that grows with an event whose bytes go on without
   end. */
static void
test_endless_event (void)
{
  static char bytes[64 * 1024];
  struct sse sse = { 0 };
  struct seen seen = { 0 };
  size_t fed = 0;

  memset (bytes, 'a', sizeof bytes);
  while (
      fed < 4 * SSE_EVENT_MAX_BYTES
      && sse_feed (&sse, (struct str){ bytes, sizeof bytes }, on_event, &seen))
    fed += sizeof bytes;
  CU_ASSERT_EQUAL (fed, SSE_EVENT_MAX_BYTES);
  CU_ASSERT_EQUAL (seen.events, 0);
  buf_free (&sse.in);
}

static const struct suite_case cases[] = {
  { "events in any pieces", test_pieces },
  { "event without end", test_endless_event },
};
TEST_SUITE ("sse", cases)
