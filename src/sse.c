#include "sse.h"

#include <string.h>

static struct str
field_value (struct str line, struct str prefix)
{
  struct str rest = { line.data + prefix.len, line.len - prefix.len };

  if (rest.len > 0 && rest.data[0] == ' ')
    rest = (struct str){ rest.data + 1, rest.len - 1 };
  return rest;
}

static void
read_line (struct str line, struct sse_event *event)
{
  static const struct str data = { "data:", 5 };
  static const struct str id = { "id:", 3 };

  if (line.len > 0 && line.data[line.len - 1] == '\r')
    line.len--;
  if (line.len > 0 && line.data[0] != ':')
    event->is_comment = false;
  if (str_starts (line, data))
    event->data = field_value (line, data);
  else if (str_starts (line, id))
    event->has_id = str_u64 (field_value (line, id), &event->id);
}

/* Parses the first event of @pending. Returns its length, 0 if it is
 * incomplete. */
static size_t
parse_event (struct str in, struct sse_event *event)
{
  size_t pos = 0;

  *event = (struct sse_event){ .is_comment = true };
  while (pos < in.len)
    {
      const char *end = memchr (in.data + pos, '\n', in.len - pos);
      if (!end)
        return 0;
      const struct str line = { in.data + pos, (size_t)(end - in.data) - pos };
      pos += line.len + 1;
      if (line.len == 0 || (line.len == 1 && line.data[0] == '\r'))
        {
          event->raw = (struct str){ in.data, pos };
          return pos;
        }
      read_line (line, event);
    }
  return 0;
}

bool
sse_feed (struct sse *s, struct str part,
          bool (*on_event) (void *ctx, const struct sse_event *event),
          void *ctx)
{
  struct sse_event event;
  size_t pos = 0;
  size_t n;
  bool more = true;

  buf_append (&s->pending, part);
  while (more
         && (n = parse_event (
                 (struct str){ s->pending.data + pos, s->pending.len - pos },
                 &event))
                > 0)
    {
      pos += n;
      more = on_event (ctx, &event);
    }
  memmove (s->pending.data, s->pending.data + pos, s->pending.len - pos);
  s->pending.len -= pos;
  return s->pending.len <= SSE_EVENT_MAX_BYTES;
}
