#include "swim_impl.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

static size_t
text_bytes (const struct member_entry *e)
{
  return e->addr.len + e->http_addr.len + e->region.len + e->domain.len;
}

/* Copies a string to *pos and advances *pos past the copy. */
static struct str
copy_text (char **pos, struct str s)
{
  const struct str copy = { .data = *pos, .len = s.len };

  if (s.len > 0)
    memcpy (*pos, s.data, s.len);
  *pos += s.len;
  return copy;
}

static struct member_info
copy_info (char **pos, const struct member_entry *e)
{
  return (struct member_info){
    .addr = copy_text (pos, e->addr),
    .instance = e->instance,
    .http_addr = copy_text (pos, e->http_addr),
    .region = copy_text (pos, e->region),
    .domain = copy_text (pos, e->domain),
    .state = e->state,
    .revision = e->revision,
  };
}

static int
compare_by_addr (const void *a, const void *b)
{
  const struct member_info *x = a;
  const struct member_info *y = b;

  return str_cmp (x->addr, y->addr);
}

struct member_view *
swim_view (const struct swim *s)
{
  size_t count = 1;
  size_t bytes = text_bytes (&s->self);

  for (size_t i = 0; i < s->member_count; i++)
    if (swim_reachable (s->members[i]))
      {
        count++;
        bytes += text_bytes (s->members[i]);
      }
  struct member_view *v
      = xmalloc (sizeof *v + count * sizeof (struct member_info) + bytes);
  struct member_info *infos = (struct member_info *)(v + 1);
  char *pos = (char *)(infos + count);
  size_t n = 0;
  infos[n++] = copy_info (&pos, &s->self);
  for (size_t i = 0; i < s->member_count; i++)
    if (swim_reachable (s->members[i]))
      infos[n++] = copy_info (&pos, s->members[i]);
  qsort (infos, count, sizeof *infos, compare_by_addr);
  *v = (struct member_view){ .version = s->version + s->revision_changes,
                             .count = count,
                             .members = infos };
  v->self = (size_t)(member_find (v, s->self.addr) - infos);
  return v;
}
