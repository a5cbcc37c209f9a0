#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <jansson.h>

#include "cli.h"
#include "client.h"
#include "clock.h"
#include "configdoc.h"
#include "lists.h"
#include "settings.h"

#define RACES_MAX 8
/* A write in doubt is looked up for as long as a short outage lasts. */
#define DOUBT_TRIES 5
#define RETRY_MS 400
#define POLL_MS 200
#define STATUS_LIMIT_MS 2000
/* Nodes are asked one after another; a paused one must not use up the wait. */
#define MEMBER_LIMIT_MS 300

struct options
{
  struct str store_url;
  struct str node;
  struct str out;
  struct str base;
  uint32_t dry_run;
  uint32_t wait;
  uint32_t wait_ms;
};

#define FIELD(f) .offset = offsetof (struct options, f)
#define STORE_URL                                                             \
  {                                                                           \
    "store-url", "URL", "the platform's object store", SETTING_URL,           \
        FIELD (store_url), NULL, 0, 0                                         \
  }

static const struct setting apply_settings[] = {
  STORE_URL,
  { "dry-run", NULL, "show what would change, write nothing", SETTING_U32,
    FIELD (dry_run), "0", 0, 1 },
  { "wait", NULL, "wait until all live nodes have the revision", SETTING_U32,
    FIELD (wait), "0", 0, 1 },
  { "wait-ms", "MS", "longest wait", SETTING_U32, FIELD (wait_ms), "11000", 1,
    3600000 },
  { "node", "IP:PORT", "a node's address for callers; needed by --wait",
    SETTING_STRING, FIELD (node), "", 0, 0 },
  { "base", "REVISION", "the revision that the lists were edited from",
    SETTING_STRING, FIELD (base), "", 0, 0 },
};

static const struct setting get_settings[] = {
  STORE_URL,
  { "out", "DIR", "write plans.json and uses.json into this directory",
    SETTING_STRING, FIELD (out), "", 0, 0 },
};

static const struct setting diff_settings[] = { STORE_URL };

#define COUNT_OF(a) (sizeof (a) / sizeof *(a))

/* struct remote - a revision as read from the store. */
struct remote
{
  struct config_root root;
  struct str text;
  uint64_t version; /* of the root object */
  struct configdoc doc;
};

static void
remote_free (struct remote *r)
{
  config_root_free (&r->root);
  str_free (&r->text);
  configdoc_free (&r->doc);
  *r = (struct remote){ 0 };
}

static int
complain (const char *step, struct str what, int code)
{
  fprintf (stderr, "galenagate: %s: " STR_FMT ": %s\n", step, STR_ARG (what),
           err_str (code));
  return code;
}

/* ---- reading ---- */

static int
read_chunk (struct client *c, struct config_part *p)
{
  struct str key = config_chunk_key (p->hash);
  struct client_reply r = client_read (c, key);
  int rc = r.err.code;

  if (rc == 0)
    {
      struct str hash = config_hash (r.value);

      rc = str_eq (hash, p->hash) ? 0 : -EBADMSG;
      str_free (&hash);
    }
  if (rc == 0)
    {
      p->body = r.value;
      r.value = (struct str){ 0 };
    }
  else
    complain ("read", key, rc);
  client_reply_free (&r);
  str_free (&key);
  return rc;
}

/* Reads a root and its chunks. A root that does not exist gives -ENOENT. */
static int
read_remote (struct client *c, struct str key, struct remote *out)
{
  struct client_reply r = client_read (c, key);
  int rc = r.err.code;

  *out = (struct remote){ .version = r.version, .text = r.value };
  if (rc == 0)
    rc = config_root_decode (out->text, &out->root);
  if (rc != 0 && rc != -ENOENT)
    complain ("read", key, rc);
  for (size_t i = 0; i < out->root.count && rc == 0; i++)
    rc = read_chunk (c, &out->root.parts[i]);
  if (rc == 0)
    rc = configdoc_join (&out->root, &out->doc);
  if (rc != 0)
    remote_free (out);
  return rc;
}

/* Reads the present revision; an empty one if nothing was applied yet. */
static int
read_current (struct client *c, struct remote *out)
{
  const int rc = read_remote (c, STR (CONFIG_ROOT_KEY), out);

  return rc == -ENOENT ? 0 : rc;
}

static struct str
revision_key (uint64_t revision)
{
  return str_printf (CONFIG_REVISION_PREFIX "%lu", revision);
}

static int
read_file (const char *path, struct str *out)
{
  struct buf b = { 0 };
  char part[8192];
  size_t n;
  FILE *f = fopen (path, "rb");

  if (!f)
    return complain ("open", str_from (path), -errno);
  while ((n = fread (part, 1, sizeof part, f)) > 0)
    buf_append (&b, (struct str){ part, n });
  const bool failed = ferror (f) != 0;
  fclose (f);
  if (failed)
    {
      buf_free (&b);
      return complain ("read", str_from (path), -EIO);
    }
  *out = str_dup (buf_str (&b));
  buf_free (&b);
  return 0;
}

/* Parses and checks both texts. `names` gives what to call the two files. */
static int
check_lists (struct str plans, struct str uses, const char *const names[2])
{
  struct lists_error e = { 0 };
  struct lists *l = NULL;
  const int rc = lists_parse (plans, uses, 0, &l, &e);

  if (rc == 0)
    {
      lists_destroy (l);
      return 0;
    }
  fprintf (stderr, "galenagate: %s: " STR_FMT ": " STR_FMT "%s" STR_FMT "\n",
           names[str_eq (e.file, STR ("uses"))], STR_ARG (e.entry),
           STR_ARG (e.field), e.field.len > 0 ? ": " : "", STR_ARG (e.reason));
  lists_error_free (&e);
  return rc;
}

/* Revision that a file was edited from, as `get` wrote it; 0 if none. */
static uint64_t
file_revision (struct str text)
{
  json_t *o = json_loadb (text.data, text.len, 0, NULL);
  const json_int_t n = json_integer_value (json_object_get (o, "revision"));

  json_decref (o);
  return (uint64_t)n;
}

/* Reads and checks both files. *revision is the lower of their revisions. */
static int
read_files (char **paths, struct configdoc *out, uint64_t *revision)
{
  const char *const names[2] = { paths[0], paths[1] };
  struct str plans = { 0 };
  struct str uses = { 0 };
  int rc = read_file (paths[0], &plans);

  if (rc == 0)
    rc = read_file (paths[1], &uses);
  if (rc == 0)
    rc = check_lists (plans, uses, names);
  if (rc == 0)
    rc = configdoc_from_lists (plans, uses, out);
  if (rc == 0 && file_revision (plans) < file_revision (uses))
    *revision = file_revision (plans);
  else if (rc == 0)
    *revision = file_revision (uses);
  str_free (&plans);
  str_free (&uses);
  return rc;
}

/* ---- showing ---- */

static void
print_change (void *ctx, enum config_change change,
              const struct config_entry *from, const struct config_entry *to)
{
  static const char marks[] = {
    [CONFIG_ADDED] = '+', [CONFIG_REMOVED] = '-', [CONFIG_CHANGED] = '~'
  };
  const struct config_entry *e = to ? to : from;

  (void)ctx;
  printf ("%c %s (" STR_FMT ")\n", marks[change], config_list_name (e->list),
          STR_ARG (e->key));
  if (from && to)
    printf ("    from " STR_FMT "\n    to   " STR_FMT "\n",
            STR_ARG (from->text), STR_ARG (to->text));
}

static void
print_conflict (void *ctx, const struct config_entry *e)
{
  (void)ctx;
  fprintf (stderr, "galenagate: conflict: %s (" STR_FMT ")\n",
           config_list_name (e->list), STR_ARG (e->key));
}

/* ---- applying ---- */

struct apply
{
  struct client *client;
  struct options options;
  struct configdoc mine;
  struct configdoc base;
  struct remote current;
  struct configdoc merged; /* borrows from mine and current */
  struct str writer;
  uint64_t sequence;
  uint64_t revision; /* accepted, or already in the store */
};

/* Returns 0 or an exit code. `edited_from` is the revision in the files. */
static int
pick_base (struct apply *a, uint64_t edited_from)
{
  uint64_t revision = edited_from;
  struct remote r;

  if (a->options.base.len > 0 && !str_u64 (a->options.base, &revision))
    {
      fprintf (stderr,
               "galenagate: --base: '%s' is not valid; allowed: a number\n",
               a->options.base.data);
      return EXIT_USAGE;
    }
  if (revision == 0 || revision == a->current.root.revision)
    return configdoc_join (&a->current.root, &a->base) == 0 ? 0 : EXIT_FAILED;
  struct str key = revision_key (revision);
  const int rc = read_remote (a->client, key, &r);
  str_free (&key);
  if (rc == -ENOENT)
    fprintf (stderr,
             "galenagate: base revision %lu is not in the store; the present "
             "one is %lu\n",
             revision, a->current.root.revision);
  if (rc != 0)
    return EXIT_FAILED;
  a->base = r.doc;
  r.doc = (struct configdoc){ 0 };
  remote_free (&r);
  return 0;
}

/* Checks the lists that other operators' edits and this one give together. */
static int
check_merged (const struct apply *a)
{
  static const char *const names[2] = { "plans (merged)", "uses (merged)" };
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&a->merged, 0, false, &plans, &uses);

  if (rc == 0)
    rc = check_lists (buf_str (&plans), buf_str (&uses), names);
  buf_free (&plans);
  buf_free (&uses);
  return rc;
}

/* Combines this edit with those accepted since its base. */
static int
merge (struct apply *a)
{
  free (a->merged.entries);
  a->merged = (struct configdoc){ 0 };
  const size_t n = configdoc_merge (&a->base, &a->mine, &a->current.doc,
                                    &a->merged, print_conflict, NULL);
  if (n > 0)
    {
      fprintf (stderr,
               "galenagate: nothing was applied: %zu entries were also "
               "edited up to revision %lu (writer %s); see 'galenagate get', "
               "then edit again or name the base with --base\n",
               n, a->current.root.revision, a->current.root.writer.data);
      return EXIT_CONFLICT;
    }
  if (check_merged (a) != 0)
    {
      fprintf (stderr,
               "galenagate: nothing was applied: the lists do not fit "
               "together with the edits up to revision %lu\n",
               a->current.root.revision);
      return EXIT_CONFLICT;
    }
  return EXIT_DONE;
}

/* Writes an object whose key has only one possible content, so that a
   repeated write is harmless. */
static int
write_constant (struct client *c, struct str key, struct str value)
{
  int rc = 0;

  for (int i = 0; i < DOUBT_TRIES; i++)
    {
      struct client_reply r = client_write (c, key, STORE_NEW, value);

      rc = r.err.code;
      const bool outage = client_outage (r.err) || rc == -EINPROGRESS;
      client_reply_free (&r);
      if (rc == 0 || rc == -EEXIST)
        return 0;
      if (!outage)
        break;
      client_sleep (RETRY_MS);
    }
  return complain ("write", key, rc);
}

static int
write_chunks (struct apply *a, const struct config_root *next)
{
  size_t written = 0;

  for (size_t i = 0; i < next->count; i++)
    {
      const struct config_part *p = &next->parts[i];

      if (config_root_part (&a->current.root, p->hash))
        continue;
      struct str key = config_chunk_key (p->hash);
      const int rc = write_constant (a->client, key, p->body);
      str_free (&key);
      if (rc != 0)
        return rc;
      written++;
    }
  printf ("%zu of %zu chunks written\n", written, next->count);
  return 0;
}

/* Keeps the present root under its revision before it is replaced. */
static int
keep_current (struct apply *a)
{
  if (a->current.root.revision == 0)
    return 0;
  struct str key = revision_key (a->current.root.revision);
  const int rc = write_constant (a->client, key, a->current.text);
  str_free (&key);
  return rc;
}

static bool
is_mine (const struct apply *a, struct str text)
{
  struct config_root r;

  if (config_root_decode (text, &r) != 0)
    return false;
  const bool mine = str_eq (r.writer, a->writer) && r.sequence == a->sequence;
  config_root_free (&r);
  return mine;
}

/* Was this command's root accepted: is it the present one, or the kept one of
   its revision. Returns 1, 0 or a negative errno value. */
static int
accepted (const struct apply *a, uint64_t revision)
{
  struct client_reply r = client_read (a->client, STR (CONFIG_ROOT_KEY));
  int rc = r.err.code;
  bool mine = rc == 0 && is_mine (a, r.value);

  client_reply_free (&r);
  if (mine || (rc != 0 && rc != -ENOENT))
    return mine ? 1 : rc;
  struct str key = revision_key (revision);
  r = client_read (a->client, key);
  rc = r.err.code;
  mine = rc == 0 && is_mine (a, r.value);
  client_reply_free (&r);
  str_free (&key);
  return mine || rc == 0 || rc == -ENOENT ? mine : rc;
}

/* Writes the root. Returns 0 when accepted, -EEXIST when another edit came
   first, else why it failed. A write in doubt is looked up before the same
   bytes are written again with the same expected version: if the first one
   still takes effect, the second one is refused, and the other way round. */
static int
write_root (struct apply *a, const struct config_root *next)
{
  struct buf text = { 0 };
  bool doubt = false;
  int rc = 0;

  config_root_encode (next, &text);
  for (int i = 0; i < DOUBT_TRIES; i++)
    {
      struct client_reply r
          = client_write (a->client, STR (CONFIG_ROOT_KEY), a->current.version,
                          buf_str (&text));

      rc = r.err.code;
      const bool outage = client_outage (r.err);
      client_reply_free (&r);
      doubt |= rc == -EINPROGRESS;
      if (doubt && rc != 0)
        {
          const int mine = accepted (a, next->revision);

          if (mine == 1)
            rc = 0;
          else if (mine < 0)
            rc = -EINPROGRESS;
        }
      if (rc == 0 || rc == -EEXIST || (!outage && rc != -EINPROGRESS))
        break;
      client_sleep (RETRY_MS);
    }
  if (rc != 0 && rc != -EEXIST)
    fprintf (stderr, "galenagate: write: " CONFIG_ROOT_KEY ": %s; %s\n",
             err_str (rc),
             doubt ? "revision may have been accepted; see 'galenagate get'"
                   : "nothing was applied");
  buf_free (&text);
  return rc;
}

/* One try to get the merged lists accepted. */
static int
propose (struct apply *a)
{
  const struct config_entry *big = NULL;
  struct config_root next = { .revision = a->current.root.revision + 1,
                              .sequence = ++a->sequence,
                              .applied_at_ms = clock_wall_ms (),
                              .writer = str_dup (a->writer) };
  int rc = configdoc_cut (&a->merged, &next, &big);

  if (rc != 0)
    fprintf (stderr, "galenagate: %s (" STR_FMT "): larger than %d bytes\n",
             config_list_name (big->list), STR_ARG (big->key),
             CONFIG_CHUNK_BYTES);
  if (rc == 0)
    rc = write_chunks (a, &next);
  if (rc == 0)
    rc = keep_current (a);
  if (rc == 0)
    rc = write_root (a, &next);
  if (rc == 0)
    {
      a->revision = next.revision;
      printf ("revision %lu accepted\n", a->revision);
    }
  config_root_free (&next);
  return rc;
}

/* After a lost race: what this edit was compared with becomes its base. */
static int
rebase (struct apply *a)
{
  struct configdoc mine = { 0 };
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&a->merged, 0, false, &plans, &uses);

  if (rc == 0)
    rc = configdoc_from_lists (buf_str (&plans), buf_str (&uses), &mine);
  buf_free (&plans);
  buf_free (&uses);
  if (rc != 0)
    return rc;
  configdoc_free (&a->mine);
  configdoc_free (&a->base);
  a->mine = mine;
  a->base = a->current.doc;
  a->current.doc = (struct configdoc){ 0 };
  remote_free (&a->current);
  return read_current (a->client, &a->current);
}

static int
apply_edit (struct apply *a)
{
  for (int i = 0; i < RACES_MAX; i++)
    {
      int rc = merge (a);

      if (rc != EXIT_DONE)
        return rc;
      printf ("changes to revision %lu:\n", a->current.root.revision);
      a->revision = a->current.root.revision;
      if (configdoc_diff (&a->current.doc, &a->merged, print_change, NULL)
          == 0)
        {
          printf ("none\n");
          return EXIT_DONE;
        }
      if (a->options.dry_run)
        return EXIT_DONE;
      rc = propose (a);
      if (rc != -EEXIST)
        return rc == 0 ? EXIT_DONE : EXIT_FAILED;
      printf ("another edit came first\n");
      if (rebase (a) != 0)
        return EXIT_FAILED;
    }
  fprintf (stderr,
           "galenagate: nothing was applied: %d other edits came first\n",
           RACES_MAX);
  return EXIT_CONFLICT;
}

/* ---- waiting ---- */

/* struct wait - which nodes have the revision. */
struct wait
{
  struct apply *apply;
  uint64_t start_ms;
  json_t *in_force; /* members: addresses of nodes that have it */
  struct buf lagging;
};

static uint64_t
waited_ms (const struct wait *w)
{
  return clock_ms () - w->start_ms;
}

/* GET /admin/status of a node; NULL when it gives none. */
static json_t *
read_status (struct wait *w, struct str http_addr, uint32_t limit_ms)
{
  struct client_reply r = client_get (w->apply->client, http_addr,
                                      STR ("/admin/status"), limit_ms);
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

/* Revision in force on a member. Other nodes hear of it late in a large fleet,
   so a node that seems to lag is asked itself, unless it is suspect. */
static json_int_t
present_revision (struct wait *w, const json_t *member, const char *state)
{
  const char *http_addr
      = json_string_value (json_object_get (member, "http_addr"));
  json_int_t revision = member_revision (member);

  if ((uint64_t)revision >= w->apply->revision || !http_addr
      || strcmp (state, "alive") != 0
      || waited_ms (w) >= w->apply->options.wait_ms)
    return revision;
  json_t *status = read_status (w, str_from (http_addr), MEMBER_LIMIT_MS);
  if (member_revision (status) > revision)
    revision = member_revision (status);
  json_decref (status);
  return revision;
}

static void
check_member (struct wait *w, const json_t *member)
{
  const char *state = json_string_value (json_object_get (member, "state"));
  const char *addr = json_string_value (json_object_get (member, "addr"));

  if (!state || !addr || json_object_get (w->in_force, addr)
      || (strcmp (state, "alive") != 0 && strcmp (state, "suspect") != 0))
    return;
  const json_int_t revision = present_revision (w, member, state);
  if ((uint64_t)revision >= w->apply->revision)
    json_object_set_new (w->in_force, addr, json_true ());
  else
    buf_printf (&w->lagging, " %s (revision %lld)", addr, (long long)revision);
}

/* Returns true if all live nodes have the revision. */
static bool
check_nodes (struct wait *w)
{
  json_t *status = read_status (w, w->apply->options.node, STATUS_LIMIT_MS);
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

static int
wait_in_force (struct apply *a)
{
  struct wait w
      = { .apply = a, .start_ms = clock_ms (), .in_force = json_object () };
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
  json_decref (w.in_force);
  return done ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}

/* ---- sub-commands ---- */

static bool
two_files (int argc, int rest)
{
  if (argc - rest == 2)
    return true;
  fprintf (stderr, "galenagate: the files PLANS and USES are required\n");
  return false;
}

static struct str
make_writer (void)
{
  char host[256] = "";

  if (gethostname (host, sizeof host - 1) != 0)
    host[0] = '\0';
  return str_printf ("apply %s %d %lu", host, (int)getpid (),
                     clock_wall_ms ());
}

static int
run_with (struct apply *a, char **paths)
{
  uint64_t edited_from = 0;
  int rc = EXIT_FAILED;

  a->client = client_create (a->options.store_url);
  a->writer = make_writer ();
  if (read_files (paths, &a->mine, &edited_from) != 0
      || read_current (a->client, &a->current) != 0)
    goto out;
  rc = pick_base (a, edited_from);
  if (rc == 0)
    rc = apply_edit (a);
  if (rc == EXIT_DONE && a->options.wait && !a->options.dry_run)
    rc = wait_in_force (a);

out:
  client_destroy (a->client);
  free (a->merged.entries);
  configdoc_free (&a->mine);
  configdoc_free (&a->base);
  remote_free (&a->current);
  str_free (&a->writer);
  return rc;
}

static int
run_apply (int argc, char **argv)
{
  struct apply a = { 0 };
  int rest = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Apply the two lists.", "PLANS USES",
                      apply_settings, COUNT_OF (apply_settings), &a.options,
                      &rest)
          != 0
      || !two_files (argc, rest))
    goto out;
  if (a.options.wait && a.options.node.len == 0)
    {
      fprintf (stderr, "galenagate: --wait needs --node IP:PORT\n");
      goto out;
    }
  rc = run_with (&a, argv + rest);

out:
  settings_free (apply_settings, COUNT_OF (apply_settings), &a.options);
  return rc;
}

static int
run_diff (int argc, char **argv)
{
  struct options o = { 0 };
  struct configdoc mine = { 0 };
  struct remote current = { 0 };
  uint64_t edited_from = 0;
  int rest = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Compare two files with the store.",
                      "PLANS USES", diff_settings, COUNT_OF (diff_settings),
                      &o, &rest)
          != 0
      || !two_files (argc, rest))
    goto out;
  rc = EXIT_FAILED;
  struct client *c = client_create (o.store_url);
  if (read_files (argv + rest, &mine, &edited_from) == 0
      && read_current (c, &current) == 0)
    {
      printf ("changes to revision %lu:\n", current.root.revision);
      if (configdoc_diff (&current.doc, &mine, print_change, NULL) == 0)
        printf ("none\n");
      rc = EXIT_DONE;
    }
  client_destroy (c);
  configdoc_free (&mine);
  remote_free (&current);

out:
  settings_free (diff_settings, COUNT_OF (diff_settings), &o);
  return rc;
}

static int
write_file (struct str dir, const char *name, struct str text)
{
  struct str path = str_printf (STR_FMT "/%s", STR_ARG (dir), name);
  FILE *f = fopen (path.data, "wb");
  int rc = f ? 0 : -errno;

  if (f && fwrite (text.data, 1, text.len, f) != text.len)
    rc = -EIO;
  if (f && fclose (f) != 0 && rc == 0)
    rc = -errno;
  if (rc != 0)
    complain ("write", path, rc);
  str_free (&path);
  return rc;
}

static int
show (const struct options *o, const struct remote *r)
{
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&r->doc, r->root.revision, true, &plans, &uses);

  if (rc == 0 && o->out.len > 0)
    {
      if (mkdir (o->out.data, 0777) != 0 && errno != EEXIST)
        rc = complain ("mkdir", o->out, -errno);
      if (rc == 0)
        rc = write_file (o->out, "plans.json", buf_str (&plans));
      if (rc == 0)
        rc = write_file (o->out, "uses.json", buf_str (&uses));
    }
  else if (rc == 0)
    printf ("{\"revision\": %lu, \"plans\": " STR_FMT ", \"uses\": " STR_FMT
            "}\n",
            r->root.revision, STR_ARG (buf_str (&plans)),
            STR_ARG (buf_str (&uses)));
  if (rc == 0)
    fprintf (stderr, "revision %lu, writer %s\n", r->root.revision,
             r->root.writer.data);
  buf_free (&plans);
  buf_free (&uses);
  return rc;
}

static int
run_get (int argc, char **argv)
{
  struct options o = { 0 };
  struct remote current;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Read the lists that are in force.", NULL,
                      get_settings, COUNT_OF (get_settings), &o, NULL)
      != 0)
    goto out;
  struct client *c = client_create (o.store_url);
  rc = read_remote (c, STR (CONFIG_ROOT_KEY), &current);
  if (rc == -ENOENT)
    fprintf (stderr, "galenagate: no lists were applied yet\n");
  if (rc == 0)
    {
      rc = show (&o, &current);
      remote_free (&current);
    }
  rc = rc == 0 ? EXIT_DONE : EXIT_FAILED;
  client_destroy (c);

out:
  settings_free (get_settings, COUNT_OF (get_settings), &o);
  return rc;
}

static const struct cli_command apply_command
    = { .name = "apply", .summary = "apply the two lists", .run = run_apply };
static const struct cli_command get_command
    = { .name = "get", .summary = "read the lists", .run = run_get };
static const struct cli_command diff_command = {
  .name = "diff", .summary = "compare files with the lists", .run = run_diff
};

__attribute__ ((constructor)) static void
register_commands (void)
{
  cli_register (&apply_command);
  cli_register (&get_command);
  cli_register (&diff_command);
}
