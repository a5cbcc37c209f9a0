#include "sse.h"

#include <string.h>

#include "suite.h"

struct received
{
  struct buf data;
  size_t events;
  uint64_t last_id;
};

static bool
on_event (void *ctx, const struct sse_event *event)
{
  struct received *s = ctx;

  s->events++;
  buf_append (&s->data, event->data);
  buf_append (&s->data, STR ("|"));
  if (event->has_id)
    s->last_id = event->id;
  return true;
}

/* Guards against events that are lost or merged depending on how their bytes
   are split into chunks. */
static void
test_chunks (void)
{
  static const char text[] = "id: 1\ndata: {\"a\":1}\n\n: ping\n\n"
                             "id: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\ndata: x";

  for (size_t chunk_size = 1; chunk_size < sizeof text; chunk_size++)
    {
      struct sse sse = { 0 };
      struct received received = { 0 };

      for (size_t i = 0; i < sizeof text - 1; i += chunk_size)
        {
          const size_t left = sizeof text - 1 - i;
          const struct str part
              = { text + i, left < chunk_size ? left : chunk_size };

          sse_feed (&sse, part, on_event, &received);
        }
      CU_ASSERT_EQUAL (received.events, 4);
      CU_ASSERT_EQUAL (received.last_id, 2);
      CU_ASSERT (
          str_eq (buf_str (&received.data), STR ("{\"a\":1}||b|[DONE]|")));
      /* The incomplete event stays in the buffer. */
      CU_ASSERT_EQUAL (sse.pending.len, 7);
      buf_free (&sse.pending);
      buf_free (&received.data);
    }
}

/* Guards against memory that grows without limit during an event that never
   ends. */
static void
test_endless_event (void)
{
  static char bytes[64 * 1024];
  struct sse sse = { 0 };
  struct received received = { 0 };
  size_t fed = 0;

  memset (bytes, 'a', sizeof bytes);
  while (fed < 4 * SSE_EVENT_MAX_BYTES
         && sse_feed (&sse, (struct str){ bytes, sizeof bytes }, on_event,
                      &received))
    fed += sizeof bytes;
  CU_ASSERT_EQUAL (fed, SSE_EVENT_MAX_BYTES);
  CU_ASSERT_EQUAL (received.events, 0);
  buf_free (&sse.pending);
}

static const struct suite_case cases[] = {
  { "events split into chunks", test_chunks },
  { "event that never ends", test_endless_event },
};
TEST_SUITE ("sse", cases)
