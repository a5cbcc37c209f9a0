#include "quota_impl.h"

#include <stdlib.h>
#include <string.h>

#include "err.h"

static void
free_snapshot (struct view_snapshot *s)
{
  free (s->members);
  buf_free (&s->addrs);
  *s = (struct view_snapshot){ 0 };
}

static void
take_snapshot (const struct quota *q, const struct member_view *view,
               uint64_t now_ms, struct view_snapshot *out)
{
  struct view_snapshot s = { .since_ms = now_ms };
  size_t at = 0;

  s.members = xcalloc (view->count + 1, sizeof *s.members);
  for (size_t i = 0; i < view->count; i++)
    if (str_eq (view->members[i].region, q->region))
      {
        buf_append (&s.addrs, view->members[i].addr);
        s.members[s.view.count++] = view->members[i];
      }
  for (size_t i = 0; i < s.view.count; i++)
    {
      s.members[i].addr.data = s.addrs.data + at;
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

const struct view_snapshot *
quota_latest_view (const struct quota *q)
{
  return q->view_count > 0 ? &q->views[q->view_count - 1] : NULL;
}

static struct str
ranked_addr (const struct quota *q, const struct view_snapshot *s,
             struct str key, size_t rank)
{
  const struct member_info *m
      = s ? member_at_rank (&s->view, q->region, key, rank) : NULL;

  return m ? m->addr : (struct str){ 0 };
}

struct str
quota_owner_of (const struct quota *q, struct str customer)
{
  struct str key = quota_key (customer);
  const struct str owner = ranked_addr (q, quota_latest_view (q), key, 0);

  str_free (&key);
  return owner;
}

void
quota_drop_views (struct quota *q, size_t n)
{
  for (size_t i = 0; i < n; i++)
    free_snapshot (&q->views[i]);
  q->view_count -= n;
  memmove (q->views, q->views + n, q->view_count * sizeof *q->views);
}

static void
update_ownership (struct quota *q, uint64_t now_ms)
{
  struct bucket *b;
  struct bucket *next;

  HASH_ITER (hh, q->buckets, b, next)
  {
    const bool mine = str_eq (quota_owner_of (q, b->customer), q->self);

    if (!mine && !b->ownership_lost)
      {
        b->ownership_lost = true;
        b->ownership_lost_ms = now_ms;
      }
    else if (mine && b->ownership_lost)
      /* Another owner may have granted requests in between. */
      quota_free_bucket (q, b);
  }
}

bool
quota_set_view (struct quota *q, const struct member_view *view,
                uint64_t now_ms)
{
  const struct view_snapshot *last = quota_latest_view (q);
  struct view_snapshot s;

  take_snapshot (q, view, now_ms, &s);
  if (last && same_nodes (&last->view, &s.view))
    {
      free_snapshot (&s);
      return false;
    }
  /* A view with this node alone does not show who the owner was: the node had
     not joined yet, or was partitioned. */
  if (last && last->view.count <= 1)
    quota_drop_views (q, q->view_count);
  if (q->view_count == VIEWS_MAX)
    quota_drop_views (q, 1);
  q->views[q->view_count++] = s;
  update_ownership (q, now_ms);
  return true;
}

/* Returns the time since when this node has been owner, as far back as the
   stored views go; @now_ms if it is not owner. Sets *@previous to the node
   that may have been owner before; empty if none is known or QUOTA_HISTORY_MS
   have passed. */
uint64_t
quota_owner_since (const struct quota *q, struct str customer, uint64_t now_ms,
                   struct str *previous)
{
  struct str key = quota_key (customer);
  uint64_t since_ms = now_ms;
  size_t i = q->view_count;

  *previous = (struct str){ 0 };
  while (i > 0 && str_eq (ranked_addr (q, &q->views[i - 1], key, 0), q->self))
    since_ms = q->views[--i].since_ms;
  if (now_ms - since_ms < QUOTA_HISTORY_MS)
    *previous = i > 0 ? ranked_addr (q, &q->views[i - 1], key, 0)
                      : ranked_addr (q, quota_latest_view (q), key, 1);
  str_free (&key);
  return since_ms;
}

bool
quota_has_node (const struct quota *q, struct str addr)
{
  const struct view_snapshot *s = quota_latest_view (q);

  return s && member_find (&s->view, addr);
}
