#include "apply_impl.h"

#include <errno.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include "cli.h"
#include "clock.h"
#include "settings.h"

#define FIELD(f) .offset = offsetof (struct apply_options, f)
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

static bool
has_two_files (int argc, int rest)
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
apply_files (struct apply *a, char **paths)
{
  uint64_t edited_from = 0;
  int rc = EXIT_FAILED;

  a->client = client_create (a->options.store_url);
  a->writer = make_writer ();
  if (apply_read_files (paths, &a->mine, &edited_from) != 0
      || apply_read_current (a->client, &a->current) != 0)
    goto out;
  rc = apply_read_base (a, edited_from);
  if (rc == 0)
    rc = apply_edit (a);
  if (rc == EXIT_DONE && a->options.wait && !a->options.dry_run)
    rc = apply_wait (a);

out:
  client_destroy (a->client);
  free (a->merged.entries);
  configdoc_free (&a->mine);
  configdoc_free (&a->base);
  apply_revision_free (&a->current);
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
      || !has_two_files (argc, rest))
    goto out;
  if (a.options.wait && a.options.node.len == 0)
    {
      fprintf (stderr, "galenagate: --wait needs --node IP:PORT\n");
      goto out;
    }
  rc = apply_files (&a, argv + rest);

out:
  settings_free (apply_settings, COUNT_OF (apply_settings), &a.options);
  return rc;
}

static int
run_diff (int argc, char **argv)
{
  struct apply_options o = { 0 };
  struct configdoc mine = { 0 };
  struct apply_revision current = { 0 };
  uint64_t edited_from = 0;
  int rest = 0;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Compare two files with the store.",
                      "PLANS USES", diff_settings, COUNT_OF (diff_settings),
                      &o, &rest)
          != 0
      || !has_two_files (argc, rest))
    goto out;
  rc = EXIT_FAILED;
  struct client *c = client_create (o.store_url);
  if (apply_read_files (argv + rest, &mine, &edited_from) == 0
      && apply_read_current (c, &current) == 0)
    {
      apply_print_changes (&current, &mine);
      rc = EXIT_DONE;
    }
  client_destroy (c);
  configdoc_free (&mine);
  apply_revision_free (&current);

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
    apply_error ("write", path, rc);
  str_free (&path);
  return rc;
}

/* Writes the lists to the directory given by --out, or to standard output. */
static int
output_lists (const struct apply_options *o, const struct apply_revision *r)
{
  struct buf plans = { 0 };
  struct buf uses = { 0 };
  int rc = configdoc_to_lists (&r->doc, r->root.revision, true, &plans, &uses);

  if (rc == 0 && o->out.len > 0)
    {
      if (mkdir (o->out.data, 0777) != 0 && errno != EEXIST)
        rc = apply_error ("mkdir", o->out, -errno);
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
  struct apply_options o = { 0 };
  struct apply_revision current;
  int rc = EXIT_USAGE;

  if (settings_parse (argc, argv, "Read the lists that are in force.", NULL,
                      get_settings, COUNT_OF (get_settings), &o, NULL)
      != 0)
    goto out;
  struct client *c = client_create (o.store_url);
  rc = apply_read_revision (c, STR (CONFIG_ROOT_KEY), &current);
  if (rc == -ENOENT)
    fprintf (stderr, "galenagate: no lists were applied yet\n");
  if (rc == 0)
    {
      rc = output_lists (&o, &current);
      apply_revision_free (&current);
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
