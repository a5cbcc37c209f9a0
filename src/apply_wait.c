#include "apply_impl.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "cli.h"
#include "clock.h"

#define POLL_MS 200
#define STATUS_TIMEOUT_MS 2000
/* Nodes are queried one after another; a paused one must not use up the total
   waiting time. */
#define MEMBER_TIMEOUT_MS 300

/* struct node_wait - state of a wait for a revision to be in force. */
struct node_wait
{
  struct apply *apply;
  uint64_t start_ms;
  json_t *up_to_date; /* its keys: bus addresses of nodes with the revision */
  struct buf lagging;
};

static uint64_t
waited_ms (const struct node_wait *w)
{
  return clock_ms () - w->start_ms;
}

/* Reads /admin/status of a node; returns NULL if that fails. */
static json_t *
read_status (struct node_wait *w, struct str http_addr, uint32_t timeout_ms)
{
  struct client_reply r = client_get (w->apply->client, http_addr,
                                      STR ("/admin/status"), timeout_ms);
  json_t *o = r.err.code == 0 && r.status == 200
                  ? json_loadb (r.value.data, r.value.len, 0, NULL)
                  : NULL;

  client_reply_free (&r);
  return o;
}

static json_int_t
member_revision (const json_t *o)
{
  return json_integer_value (json_object_get (o, "revision"));
}

/* Returns the revision in force on a member. In a large fleet other nodes
   receive it late, so a member that seems to lag is queried directly, unless
   it is suspect. */
static json_int_t
revision_in_force (struct node_wait *w, const json_t *member,
                   const char *state)
{
  const char *http_addr
      = json_string_value (json_object_get (member, "http_addr"));
  json_int_t revision = member_revision (member);

  if ((uint64_t)revision >= w->apply->revision || !http_addr
      || strcmp (state, "alive") != 0
      || waited_ms (w) >= w->apply->options.wait_ms)
    return revision;
  json_t *status = read_status (w, str_from (http_addr), MEMBER_TIMEOUT_MS);
  if (member_revision (status) > revision)
    revision = member_revision (status);
  json_decref (status);
  return revision;
}

static void
check_member (struct node_wait *w, const json_t *member)
{
  const char *state = json_string_value (json_object_get (member, "state"));
  const char *addr = json_string_value (json_object_get (member, "addr"));

  if (!state || !addr || json_object_get (w->up_to_date, addr)
      || (strcmp (state, "alive") != 0 && strcmp (state, "suspect") != 0))
    return;
  const json_int_t revision = revision_in_force (w, member, state);
  if ((uint64_t)revision >= w->apply->revision)
    json_object_set_new (w->up_to_date, addr, json_true ());
  else
    buf_printf (&w->lagging, " %s (revision %lld)", addr, (long long)revision);
}

/* Returns true if all live nodes have the revision. */
static bool
check_nodes (struct node_wait *w)
{
  json_t *status = read_status (w, w->apply->options.node, STATUS_TIMEOUT_MS);
  const json_t *members = json_object_get (status, "members");
  size_t i;
  json_t *m;

  buf_reset (&w->lagging);
  if (json_array_size (members) == 0)
    buf_printf (&w->lagging, " %s (no status)", w->apply->options.node.data);
  json_array_foreach (members, i, m) { check_member (w, m); }
  json_decref (status);
  return w->lagging.len == 0;
}

int
apply_wait (struct apply *a)
{
  struct node_wait w
      = { .apply = a, .start_ms = clock_ms (), .up_to_date = json_object () };
  bool done = check_nodes (&w);

  while (!done && waited_ms (&w) < a->options.wait_ms)
    {
      client_sleep (POLL_MS);
      done = check_nodes (&w);
    }
  if (done)
    printf ("revision %lu in force on all live nodes after %lu ms\n",
            a->revision, waited_ms (&w));
  else
    fprintf (stderr,
             "galenagate: revision %lu is accepted but not in force after "
             "%lu ms on:" STR_FMT "\n",
             a->revision, waited_ms (&w), STR_ARG (buf_str (&w.lagging)));
  buf_free (&w.lagging);
  json_decref (w.up_to_date);
  return done ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}
