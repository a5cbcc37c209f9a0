#include "configdoc_impl.h"

#include <stdlib.h>

#include "err.h"

size_t
configdoc_diff (const struct configdoc *from, const struct configdoc *to,
                config_diff_fn fn, void *ctx)
{
  size_t i = 0;
  size_t j = 0;
  size_t n = 0;

  while (i < from->count || j < to->count)
    {
      const struct config_entry *a
          = i < from->count ? &from->entries[i] : NULL;
      const struct config_entry *b = j < to->count ? &to->entries[j] : NULL;
      int c = a ? -1 : 1;

      if (a && b)
        c = configdoc_by_key (a, b);
      i += c <= 0;
      j += c >= 0;
      if (c == 0 && str_eq (a->text, b->text))
        continue;
      n++;
      if (c < 0)
        fn (ctx, CONFIG_REMOVED, a, NULL);
      else if (c > 0)
        fn (ctx, CONFIG_ADDED, NULL, b);
      else
        fn (ctx, CONFIG_CHANGED, a, b);
    }
  return n;
}

static bool
same (const struct config_entry *a, const struct config_entry *b)
{
  if (!a || !b)
    return a == b;
  return str_eq (a->text, b->text);
}

/* Lowest entry at the heads of three ordered documents. */
static const struct config_entry *
lowest (const struct configdoc *docs[3], const size_t at[3])
{
  const struct config_entry *low = NULL;

  for (size_t d = 0; d < 3; d++)
    if (at[d] < docs[d]->count
        && (!low || configdoc_by_key (&docs[d]->entries[at[d]], low) < 0))
      low = &docs[d]->entries[at[d]];
  return low;
}

size_t
configdoc_merge (const struct configdoc *base, const struct configdoc *mine,
                 const struct configdoc *theirs, struct configdoc *out,
                 config_conflict_fn fn, void *ctx)
{
  const struct configdoc *docs[3] = { base, mine, theirs };
  size_t at[3] = { 0 };
  size_t conflicts = 0;
  const struct config_entry *low;

  out->entries
      = xcalloc (mine->count + theirs->count + 1, sizeof *out->entries);
  out->count = 0;
  while ((low = lowest (docs, at)))
    {
      const struct config_entry *e[3] = { 0 };

      for (size_t d = 0; d < 3; d++)
        if (at[d] < docs[d]->count
            && configdoc_by_key (&docs[d]->entries[at[d]], low) == 0)
          e[d] = &docs[d]->entries[at[d]++];
      const struct config_entry *pick = same (e[0], e[1]) ? e[2] : e[1];
      if (!same (e[0], e[1]) && !same (e[0], e[2]) && !same (e[1], e[2]))
        {
          conflicts++;
          fn (ctx, low);
        }
      if (pick)
        out->entries[out->count++] = *pick;
    }
  if (conflicts > 0)
    {
      free (out->entries);
      *out = (struct configdoc){ 0 };
    }
  return conflicts;
}
