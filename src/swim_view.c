#include "swim_impl.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

static size_t
names_bytes (const struct entry *e)
{
  return e->addr.len + e->http_addr.len + e->region.len + e->domain.len;
}

static struct str
put_name (char **at, struct str s)
{
  const struct str copy = { .data = *at, .len = s.len };

  if (s.len > 0)
    memcpy (*at, s.data, s.len);
  *at += s.len;
  return copy;
}

static struct member_info
put_info (char **at, const struct entry *e)
{
  return (struct member_info){
    .addr = put_name (at, e->addr),
    .instance = e->instance,
    .http_addr = put_name (at, e->http_addr),
    .region = put_name (at, e->region),
    .domain = put_name (at, e->domain),
    .state = e->state,
    .revision = e->revision,
  };
}

static int
by_addr (const void *a, const void *b)
{
  const struct member_info *x = a;
  const struct member_info *y = b;

  return str_cmp (x->addr, y->addr);
}

struct member_view *
swim_view (const struct swim *s)
{
  size_t count = 1;
  size_t bytes = names_bytes (&s->self);

  for (size_t i = 0; i < s->count; i++)
    if (swim_reachable (s->list[i]))
      {
        count++;
        bytes += names_bytes (s->list[i]);
      }
  struct member_view *v
      = xmalloc (sizeof *v + count * sizeof (struct member_info) + bytes);
  struct member_info *infos = (struct member_info *)(v + 1);
  char *at = (char *)(infos + count);
  size_t n = 0;
  infos[n++] = put_info (&at, &s->self);
  for (size_t i = 0; i < s->count; i++)
    if (swim_reachable (s->list[i]))
      infos[n++] = put_info (&at, s->list[i]);
  qsort (infos, count, sizeof *infos, by_addr);
  *v = (struct member_view){ .version = s->version + s->revisions,
                             .count = count,
                             .members = infos };
  v->self = (size_t)(member_find (v, s->self.addr) - infos);
  return v;
}
