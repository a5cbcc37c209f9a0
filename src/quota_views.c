#include "quota_impl.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

static void
snapshot_free (struct snapshot *s)
{
  free (s->members);
  buf_free (&s->texts);
  *s = (struct snapshot){ 0 };
}

static void
snapshot_make (const struct quota *q, const struct member_view *view,
               uint64_t now_ms, struct snapshot *out)
{
  struct snapshot s = { .since_ms = now_ms };
  size_t at = 0;

  s.members = xcalloc (view->count + 1, sizeof *s.members);
  for (size_t i = 0; i < view->count; i++)
    if (str_eq (view->members[i].region, q->region))
      {
        buf_append (&s.texts, view->members[i].addr);
        s.members[s.view.count++] = view->members[i];
      }
  for (size_t i = 0; i < s.view.count; i++)
    {
      s.members[i].addr.data = s.texts.data + at;
      at += s.members[i].addr.len;
      s.members[i].region = q->region;
      s.members[i].http_addr = (struct str){ 0 };
      s.members[i].domain = (struct str){ 0 };
    }
  s.view.members = s.members;
  *out = s;
}

static bool
same_nodes (const struct member_view *a, const struct member_view *b)
{
  if (a->count != b->count)
    return false;
  for (size_t i = 0; i < a->count; i++)
    if (!str_eq (a->members[i].addr, b->members[i].addr)
        || member_live (&a->members[i]) != member_live (&b->members[i])
        || a->members[i].instance != b->members[i].instance)
      return false;
  return true;
}

const struct snapshot *
quota_latest_view (const struct quota *q)
{
  return q->view_count > 0 ? &q->views[q->view_count - 1] : NULL;
}

static struct str
ranked (const struct quota *q, const struct snapshot *s, struct str key,
        size_t place)
{
  const struct member_info *m
      = s ? member_rank (&s->view, q->region, key, place) : NULL;

  return m ? m->addr : (struct str){ 0 };
}

struct str
quota_owner_of (const struct quota *q, struct str customer)
{
  struct str key = quota_key (customer);
  const struct str owner = ranked (q, quota_latest_view (q), key, 0);

  str_free (&key);
  return owner;
}

void
quota_forget_views (struct quota *q, size_t n)
{
  for (size_t i = 0; i < n; i++)
    snapshot_free (&q->views[i]);
  q->view_count -= n;
  memmove (q->views, q->views + n, q->view_count * sizeof *q->views);
}

static void
mark_lost (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next)
  {
    const bool mine = str_eq (quota_owner_of (q, b->customer), q->self);

    if (!mine && !b->lost)
      {
        b->lost = true;
        b->lost_ms = now_ms;
      }
    else if (mine && b->lost)
      /* Another owner may have granted meanwhile. */
      quota_free_bucket (q, b);
  }
}

bool
quota_view (struct quota *q, const struct member_view *view, uint64_t now_ms)
{
  const struct snapshot *last = quota_latest_view (q);
  struct snapshot s;

  snapshot_make (q, view, now_ms, &s);
  if (last && same_nodes (&last->view, &s.view))
    {
      snapshot_free (&s);
      return false;
    }
  /* Being alone proves nothing about owners: the node had not joined yet, or
     was cut off. */
  if (last && last->view.count <= 1)
    quota_forget_views (q, q->view_count);
  if (q->view_count == VIEWS_MAX)
    quota_forget_views (q, 1);
  q->views[q->view_count++] = s;
  mark_lost (q, now_ms);
  return true;
}

/* Since when this node is owner by all views that it remembers, and which
   node may have been owner before; empty if that is too long ago or the node
   does not know of any. */
uint64_t
quota_owner_since (const struct quota *q, struct str customer, uint64_t now_ms,
                   struct str *former)
{
  struct str key = quota_key (customer);
  uint64_t since_ms = now_ms;
  size_t i = q->view_count;

  *former = (struct str){ 0 };
  while (i > 0 && str_eq (ranked (q, &q->views[i - 1], key, 0), q->self))
    since_ms = q->views[--i].since_ms;
  if (now_ms - since_ms < QUOTA_MEMORY_MS)
    *former = i > 0 ? ranked (q, &q->views[i - 1], key, 0)
                    : ranked (q, quota_latest_view (q), key, 1);
  str_free (&key);
  return since_ms;
}

bool
quota_knows (const struct quota *q, struct str addr)
{
  const struct snapshot *s = quota_latest_view (q);

  return s && member_find (&s->view, addr);
}
