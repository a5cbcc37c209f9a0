#include "claim.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "err.h"
#include "random.h"
#include "suite.h"

#define OWNERS 2
#define REQUESTS_MAX 400000
#define KEYS 6
#define IDS_MAX 8192
#define NO_ANSWER ((enum claim_code)99)
#define INTERVAL_MS 125
#define LATE_MS 400
#define LIFETIME_S 3600
#define DEADLINE_MS 4000

/* A store in virtual time that can lose answers, delay writes and be down. */
struct object
{
  char key[64];
  uint64_t version;
  struct str value;
  UT_hash_handle hh;
};

enum store_op
{
  OP_READ,
  OP_WRITE,
  OP_REMOVE,
};

struct world;

struct owner
{
  struct world *world;
  struct claim *claim;
  bool paused;
  /* The store call in progress. */
  bool busy;
  uint64_t answer_at;
  int err;
  uint64_t version;
  struct str value;
};

/* A write that takes effect after its answer was given up. */
struct late
{
  struct object *object;
  uint64_t at;
  uint64_t expected;
  struct str value;
  struct late *next;
};

struct request
{
  size_t id; /* of the caller's request; repeats share it */
  size_t key;
  bool answered;
  bool settled; /* a settling that was stored */
  enum claim_code code;
  int err;
};

struct world
{
  struct owner owners[OWNERS];
  struct object *objects;
  struct late *lates;
  uint64_t now;
  uint64_t random;
  uint64_t last_version;
  int holder; /* of the lease */
  uint64_t fence;
  bool down;
  uint32_t loss_percent;
  uint32_t delay_ms;
  /* What becomes of the next writes: '.' done, 'x' lost, 'l' late; then as
     the percentage says. */
  const char *fates;
  size_t writes;
  struct request *requests;
  size_t count;
  /* The invariant: who was granted a key, and is that void. */
  size_t granted[KEYS];
  bool voided[KEYS];
  bool given_up[IDS_MAX]; /* the caller voids it without an answer */
  bool done[KEYS];
  size_t last_key; /* of the latest request; KEYS if it may not be repeated */
  size_t grants;
  size_t violations;
  size_t reports;
};

static uint32_t
next_random (struct world *w)
{
  return (uint32_t)random_next (&w->random);
}

static struct claim_clock
times (const struct world *w)
{
  return (struct claim_clock){ .now = w->now, .wall = w->now + 1000000 };
}

/* ---- store ---- */

static struct object *
object_of (struct world *w, struct str key)
{
  char name[64];
  struct object *o;

  snprintf (name, sizeof name, STR_FMT, STR_ARG (key));
  HASH_FIND_STR (w->objects, name, o);
  if (o)
    return o;
  o = xcalloc (1, sizeof *o);
  memcpy (o->key, name, sizeof name);
  HASH_ADD_STR (w->objects, key, o);
  return o;
}

static int
put (struct world *w, struct object *o, uint64_t expected, struct str value)
{
  if (o->version != expected)
    return -EEXIST;
  str_free (&o->value);
  o->value = str_dup (value);
  o->version = value.len > 0 ? ++w->last_version : 0;
  return 0;
}

static void
delay_write (struct world *w, struct object *o, uint64_t expected,
             struct str value, uint64_t delay_ms)
{
  struct late *l = xcalloc (1, sizeof *l);

  *l = (struct late){ .object = o,
                      .at = w->now + delay_ms,
                      .expected = expected,
                      .value = str_dup (value),
                      .next = w->lates };
  w->lates = l;
}

/* The outcome of a write: done, lost in one of three ways, or refused. */
static int
try_write (struct world *w, struct object *o, uint64_t expected,
           struct str value)
{
  w->writes++;
  if (w->fates && *w->fates)
    switch (*w->fates++)
      {
      case 'x':
        return -EINPROGRESS;
      case 'l':
        delay_write (w, o, expected, value, LATE_MS);
        return -EINPROGRESS;
      default:
        return put (w, o, expected, value);
      }
  if (w->down && next_random (w) % 2)
    return -ECONNREFUSED;
  if (w->down || next_random (w) % 100 < w->loss_percent)
    {
      if (next_random (w) % 2)
        delay_write (w, o, expected, value, next_random (w) % 3000);
      else if (!w->down)
        put (w, o, expected, value);
      return -EINPROGRESS;
    }
  return put (w, o, expected, value);
}

static void
start_call (struct owner *o, enum store_op op, struct str key,
            uint64_t version, struct str value)
{
  struct world *w = o->world;
  struct object *object = object_of (w, key);

  CU_ASSERT_FALSE (o->busy);
  o->busy = true;
  o->answer_at = w->now + 1 + next_random (w) % w->delay_ms;
  o->value = STR ("");
  if (op == OP_READ)
    {
      o->err = w->down ? -EIO : object->version == 0 ? -ENOENT : 0;
      if (o->err == 0)
        o->value = str_dup (object->value);
    }
  else
    {
      CU_ASSERT_TRUE (value.len <= 1 << 20);
      o->err
          = try_write (w, object, version, op == OP_WRITE ? value : STR (""));
    }
  o->version = object->version;
}

static void
do_read (void *ctx, struct str key)
{
  start_call (ctx, OP_READ, key, 0, STR (""));
}

static void
do_write (void *ctx, struct str key, uint64_t version, struct str value)
{
  start_call (ctx, OP_WRITE, key, version, value);
}

static void
do_remove (void *ctx, struct str key, uint64_t version)
{
  start_call (ctx, OP_REMOVE, key, version, STR (""));
}

/* ---- answers ---- */

static bool
valid (void *ctx, uint64_t fence)
{
  const struct owner *o = ctx;
  const struct world *w = o->world;

  return &w->owners[w->holder] == o && w->fence == fence;
}

/* Does the store hold a claim of the request: its id with the XDR length. */
static bool
stored (const struct world *w, size_t id)
{
  char text[32];
  const uint32_t len = (uint32_t)snprintf (text + 4, 28, "req-%zu", id);

  memcpy (text, (uint8_t[]){ 0, 0, 0, (uint8_t)len }, 4);
  for (const struct object *o = w->objects; o; o = o->hh.next)
    if (o->version > 0
        && memmem (o->value.data, o->value.len, text, len + 4) != NULL)
      return true;
  return false;
}

/* No key is granted before the claim is stored, or to a second request unless
   the first one is void, and a recorded outcome never changes. */
static void
check (struct world *w, const struct request *r, enum claim_code code)
{
  const size_t k = r->key;

  if (k >= KEYS)
    return;
  if (w->done[k] && code != CLAIM_DONE && code != CLAIM_STORE_DOWN
      && code != CLAIM_FULL)
    w->violations++;
  if (code != CLAIM_GRANTED)
    return;
  w->grants++;
  if (!stored (w, r->id))
    w->violations++;
  if (w->granted[k] && w->granted[k] != r->id && !w->voided[k])
    w->violations++;
  w->voided[k] = w->given_up[r->id];
  w->granted[k] = r->id;
}

static void
on_answer (void *ctx, void *request, const struct claim_res *res)
{
  struct owner *o = ctx;
  struct request *r = request;

  if (!valid (o, o->world->fence) && res->code != CLAIM_STORE_DOWN)
    o->world->violations++;
  CU_ASSERT_FALSE (r->answered);
  r->answered = true;
  r->code = res->code;
  check (o->world, r, res->code);
}

static void
on_settled (void *ctx, void *request, bool stored)
{
  struct owner *o = ctx;
  struct request *r = request;

  CU_ASSERT_FALSE (r->answered);
  r->answered = true;
  r->settled = stored;
  if (stored && r->key < KEYS && r->code == CLAIM_DONE)
    o->world->done[r->key] = true;
}

static void
on_refused (void *ctx, void *request, int err)
{
  struct request *r = request;

  (void)ctx;
  CU_ASSERT_FALSE (r->answered);
  r->answered = true;
  r->err = err;
}

static void
on_report (void *ctx, const char *what, uint64_t number)
{
  struct owner *o = ctx;

  (void)what;
  (void)number;
  o->world->reports++;
}

static const struct claim_actions actions = {
  .valid = valid,
  .read = do_read,
  .write = do_write,
  .remove = do_remove,
  .answer = on_answer,
  .settled = on_settled,
  .refuse = on_refused,
  .report = on_report,
};

/* ---- world ---- */

static struct world *
world_create (uint64_t seed, const char *key)
{
  struct world *w = xcalloc (1, sizeof *w);

  w->random = seed;
  w->now = 1000;
  w->delay_ms = 5;
  w->fence = 1;
  w->requests = xcalloc (REQUESTS_MAX, sizeof *w->requests);
  for (size_t i = 0; i < OWNERS; i++)
    {
      const struct claim_config config = {
        .key = str_from (key),
        .self = { .addr = TEXT_STR (i == 0 ? STR ("10.0.0.1:7100")
                                           : STR ("10.0.0.2:7100")),
                  .instance = 5 },
        .interval_ms = INTERVAL_MS,
        .lifetime_s = LIFETIME_S,
        .bytes_max = (size_t)64 << 20,
      };

      w->owners[i].world = w;
      w->owners[i].claim = claim_create (&config, &actions, &w->owners[i]);
    }
  return w;
}

static void
world_destroy (struct world *w)
{
  struct object *o;
  struct object *next;

  for (size_t i = 0; i < OWNERS; i++)
    {
      claim_destroy (w->owners[i].claim);
      if (w->owners[i].busy)
        str_free (&w->owners[i].value);
    }
  while (w->lates)
    {
      struct late *l = w->lates;
      w->lates = l->next;
      str_free (&l->value);
      free (l);
    }
  HASH_ITER (hh, w->objects, o, next)
  {
    HASH_DEL (w->objects, o);
    str_free (&o->value);
    free (o);
  }
  free (w->requests);
  free (w);
}

static void
apply_lates (struct world *w)
{
  struct late **at = &w->lates;

  while (*at)
    {
      struct late *l = *at;

      if (w->now < l->at)
        {
          at = &l->next;
          continue;
        }
      put (w, l->object, l->expected, l->value);
      *at = l->next;
      str_free (&l->value);
      free (l);
    }
}

static void
run (struct world *w, uint64_t ms)
{
  for (const uint64_t end = w->now + ms; w->now < end; w->now++)
    {
      apply_lates (w);
      for (size_t i = 0; i < OWNERS; i++)
        {
          struct owner *o = &w->owners[i];

          if (o->paused)
            continue;
          if (o->busy && w->now >= o->answer_at)
            {
              struct str value = o->value;

              o->busy = false;
              claim_stored (o->claim, o->err, o->version, value, times (w));
              if (value.len > 0)
                str_free (&value);
            }
          if (w->now % 25 == 0)
            claim_tick (o->claim, times (w));
        }
    }
}

/* The lease changes its holder; the former one may not know yet. */
static void
hand_over (struct world *w, int to, bool tell)
{
  const int from = w->holder;

  w->holder = to;
  w->fence++;
  if (tell)
    claim_lose (w->owners[from].claim);
  claim_gain (w->owners[to].claim, w->fence, times (w));
}

/* ---- requests ---- */

static struct request *
new_request (struct world *w, size_t id, size_t key)
{
  struct request *r = &w->requests[w->count++];

  if (w->count >= REQUESTS_MAX)
    abort ();
  *r = (struct request){ .id = id, .key = key, .code = NO_ANSWER };
  return r;
}

static struct str
name (char out[32], const char *prefix, size_t n)
{
  snprintf (out, 32, "%s-%zu", prefix, n);
  return str_from (out);
}

static struct request *
ask (struct world *w, int owner, size_t id, size_t key, uint64_t fingerprint)
{
  struct request *r = new_request (w, id, key);
  char names[2][32];
  const struct claim_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (name (names[0], "cue", key)),
    .service = TEXT_STR (STR ("kazaliste-app")),
    .request_id = TEXT_STR (name (names[1], "req", id)),
    .fingerprint = fingerprint,
    .deadline_ms = DEADLINE_MS,
  };

  claim_request (w->owners[owner].claim, &args, r, times (w));
  return r;
}

static struct request *
settle (struct world *w, int owner, size_t id, size_t key,
        enum settle_state state)
{
  struct request *r = new_request (w, id, key);
  char names[2][32];
  const struct settle_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (name (names[0], "cue", key)),
    .request_id = TEXT_STR (name (names[1], "req", id)),
    .state = state,
    .status = 200,
    .body = BLOB_STR (STR ("released")),
  };

  r->code = state == SETTLE_DONE ? CLAIM_DONE : CLAIM_NONE;
  if (state == SETTLE_VOID && key < KEYS)
    {
      w->given_up[id] = true;
      w->voided[key] = w->voided[key] || w->granted[key] == id;
    }
  claim_settle (w->owners[owner].claim, &args, r, times (w));
  return r;
}

static struct request *
look_up (struct world *w, int owner, size_t key)
{
  struct request *r = new_request (w, 0, key);
  char key_name[32];
  const struct lookup_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (name (key_name, "cue", key)),
  };

  claim_lookup (w->owners[owner].claim, &args, r, times (w));
  return r;
}

/* ---- tests ---- */

/* Guards against a second run: one letter is a request with its own id unless
   it is a repeat; then the answer that is expected. c: claim, r: the first
   claim again, o: with another body, d: done, v: void, u: unknown, l: look up,
   t: time passes beyond the deadline, h: hand over to the other owner,
   x: the lifetime passes. */
static void
test_states (void)
{
  static const struct
  {
    const char *steps;
    enum claim_code code;
  } cases[] = {
    { "l", CLAIM_NONE },       { "c", CLAIM_GRANTED },
    { "cr", CLAIM_GRANTED },   { "cc", CLAIM_RUNNING },
    { "co", CLAIM_MISMATCH },  { "cl", CLAIM_RUNNING },
    { "ctl", CLAIM_UNKNOWN },  { "ctr", CLAIM_UNKNOWN },
    { "ctc", CLAIM_UNKNOWN },  { "cdc", CLAIM_DONE },
    { "cdr", CLAIM_DONE },     { "cdo", CLAIM_MISMATCH },
    { "cvl", CLAIM_NONE },     { "cvc", CLAIM_GRANTED },
    { "cvo", CLAIM_GRANTED },  { "cvr", CLAIM_NONE },
    { "cuc", CLAIM_UNKNOWN },  { "cudl", CLAIM_DONE },
    { "ctdl", CLAIM_DONE },    { "cdvl", CLAIM_DONE },
    { "cvdl", CLAIM_NONE },    { "vr", CLAIM_NONE },
    { "vc", CLAIM_GRANTED },   { "chc", CLAIM_RUNNING },
    { "chr", CLAIM_GRANTED },  { "cdhc", CLAIM_DONE },
    { "cvhc", CLAIM_GRANTED }, { "cdxl", CLAIM_NONE },
    { "cdxc", CLAIM_GRANTED }, { "cdxhc", CLAIM_GRANTED },
    { "dl", CLAIM_NONE },
  };

  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct world *w = world_create (i, "claims/0");
      const struct request *last = NULL;
      size_t id = 1;

      claim_gain (w->owners[0].claim, w->fence, times (w));
      run (w, 100);
      for (const char *s = cases[i].steps; *s; s++)
        {
          switch (*s)
            {
            case 'c':
              last = ask (w, w->holder, s == cases[i].steps ? 1 : ++id, KEYS,
                          7);
              break;
            case 'r':
              last = ask (w, w->holder, 1, KEYS, 7);
              break;
            case 'o':
              last = ask (w, w->holder, ++id, KEYS, 8);
              break;
            case 'd':
              settle (w, w->holder, 1, KEYS, SETTLE_DONE);
              break;
            case 'v':
              settle (w, w->holder, 1, KEYS, SETTLE_VOID);
              break;
            case 'u':
              settle (w, w->holder, 1, KEYS, SETTLE_UNKNOWN);
              break;
            case 'l':
              last = look_up (w, w->holder, KEYS);
              break;
            case 't':
              run (w, DEADLINE_MS + CLAIM_GRACE_MS + 1);
              break;
            case 'h':
              hand_over (w, !w->holder, true);
              break;
            default:
              w->now += (uint64_t)LIFETIME_S * 1000;
              break;
            }
          run (w, 300);
        }
      CU_ASSERT_TRUE (last->answered);
      CU_ASSERT_EQUAL (last->code, cases[i].code);
      CU_ASSERT_EQUAL (last->err, 0);
      world_destroy (w);
    }
}

/* One event of the random schedule. */
static void
random_event (struct world *w, size_t *id)
{
  const int owner = (int)(next_random (w) % OWNERS);
  const size_t key = next_random (w) % KEYS;
  const size_t granted = w->granted[key];

  if (next_random (w) % 6 == 0)
    w->down = false;
  if (next_random (w) % 10 == 0)
    w->owners[owner].paused = false;
  switch (next_random (w) % 32)
    {
    case 0:
      hand_over (w, !w->holder, next_random (w) % 2);
      break;
    case 1:
      w->owners[owner].paused = !w->owners[owner].paused;
      break;
    case 2:
      w->down = !w->down;
      break;
    case 3:
      claim_lose (w->owners[!w->holder].claim);
      break;
    case 4:
      /* The lease lapses and the same holder gets it again. */
      claim_lose (w->owners[w->holder].claim);
      claim_gain (w->owners[w->holder].claim, w->fence, times (w));
      break;
    case 5:
      look_up (w, owner, key);
      break;
    case 6:
    case 7:
      /* A caller that no longer waits gives up a claim that was not granted.
       */
      if (w->last_key < KEYS && w->granted[w->last_key] != *id)
        settle (w, owner, *id, w->last_key, SETTLE_VOID);
      w->last_key = KEYS;
      break;
    case 8:
    case 9:
      if (w->last_key < KEYS)
        ask (w, owner, *id, w->last_key, 7);
      break;
    case 10:
      if (granted && !w->voided[key])
        settle (w, owner, granted, key, SETTLE_DONE);
      break;
    default:
      /* Settling again is harmless, and needed when it was refused. */
      if (granted && (!w->voided[key] || next_random (w) % 2))
        {
          settle (w, owner, granted, key, SETTLE_VOID);
          break;
        }
      w->last_key = key;
      ask (w, owner, ++*id, key, 7);
      break;
    }
}

/* Guards against a key that is granted twice without a void in between, or
   whose recorded outcome is lost, with two owners of which one may be paused
   past its lease, lost answers, late writes and an outage. */
static void
test_schedule (void)
{
  size_t grants = 0;

  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      struct world *w = world_create (seed, "claims/0");
      size_t id = 1;

      w->loss_percent = seed % 2 ? 10 : 40;
      claim_gain (w->owners[0].claim, w->fence, times (w));
      for (size_t i = 0; i < 400; i++)
        {
          random_event (w, &id);
          run (w, next_random (w) % 100);
          if (w->violations > 0)
            break;
        }
      CU_ASSERT_EQUAL (w->violations, 0);
      if (w->violations > 0)
        printf (" seed %lu", seed);
      grants += w->grants;
      w->down = false;
      w->loss_percent = 0;
      w->owners[0].paused = w->owners[1].paused = false;
      run (w, 4000);
      hand_over (w, !w->holder, true);
      const struct request *r = ask (w, w->holder, ++id, KEYS + 1, 7);
      run (w, 1000);
      CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
      CU_ASSERT_EQUAL (claim_counts (w->owners[w->holder].claim).waiting, 0);
      for (size_t i = 0; i < w->count; i++)
        CU_ASSERT_TRUE_FATAL (w->requests[i].answered);
      CU_ASSERT_EQUAL (w->violations, 0);
      world_destroy (w);
    }
  printf (" %zu grants", grants);
}

/* Guards against a stamp that is taken for confirmed because the head holds an
   older write of this process: when a late stamp took effect, a claim whose
   write was lost would be granted. */
static void
test_regain (void)
{
  static const char *const fates[] = { "lx", "ll", "lxx", "l.x", "xlx" };

  for (size_t i = 0; i < sizeof fates / sizeof *fates; i++)
    {
      struct world *w = world_create (5, "claims/0");
      const struct request *r;

      claim_gain (w->owners[0].claim, w->fence, times (w));
      run (w, 100);
      ask (w, 0, 1, 0, 7);
      run (w, 300);
      w->fates = fates[i];
      claim_lose (w->owners[0].claim);
      claim_gain (w->owners[0].claim, w->fence, times (w));
      run (w, 270);
      r = ask (w, 0, 2, 1, 7);
      run (w, 2500);
      CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
      CU_ASSERT_EQUAL (w->violations, 0);
      CU_ASSERT_EQUAL (*w->fates, 0);
      world_destroy (w);
    }
}

/* Guards against a claim that is granted to a caller that no longer waits,
   because the owner was paused while the store answered. */
static void
test_late_answer (void)
{
  struct world *w = world_create (6, "claims/0");
  const struct request *r;

  claim_gain (w->owners[0].claim, w->fence, times (w));
  run (w, 200);
  r = ask (w, 0, 1, 0, 7);
  w->owners[0].paused = true;
  run (w, DEADLINE_MS);
  w->owners[0].paused = false;
  run (w, 1);
  CU_ASSERT_EQUAL (r->code, CLAIM_STORE_DOWN);
  r = ask (w, 0, 2, 0, 7);
  run (w, 500);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (w->violations, 0);
  world_destroy (w);
}

/* Guards against a write for each claim: counts the writes of 1,000 claims
   and as many settlings a second over 4 partitions. */
static void
test_writes (void)
{
  static const size_t seconds = 20;
  static const char *const keys[]
      = { "claims/0", "claims/1", "claims/2", "claims/3" };
  size_t writes = 0;
  size_t claims = 0;
  size_t settled = 0;

  for (size_t p = 0; p < 4; p++)
    {
      struct world *w = world_create (p, keys[p]);

      claim_gain (w->owners[0].claim, w->fence, times (w));
      run (w, 1000);
      w->writes = 0;
      for (size_t i = 0; i < 250 * seconds; i++)
        {
          ask (w, 0, i + 1, KEYS + i, 7);
          if (i >= 100)
            settle (w, 0, i - 99, KEYS + i - 100, SETTLE_DONE);
          run (w, 4);
        }
      run (w, 500);
      for (size_t i = 0; i < w->count; i++)
        {
          claims += w->requests[i].code == CLAIM_GRANTED;
          settled += w->requests[i].settled;
        }
      writes += w->writes;
      world_destroy (w);
    }
  CU_ASSERT_EQUAL (claims, 1000 * seconds);
  CU_ASSERT_EQUAL (settled, claims - (size_t)4 * 100);
  CU_ASSERT (writes <= 40 * seconds);
  printf (" %zu writes a second, one each: %zu", writes / seconds,
          2 * claims / seconds);
}

static void
remove_unnamed (struct world *w)
{
  size_t removed = 0;
  uint64_t number;

  for (struct object *o = w->objects; o; o = o->hh.next)
    {
      const char *slash = strrchr (o->key, '/');

      if (!strstr (o->key, "/seg/") || o->version == 0
          || !str_u64 (str_from (slash + 1), &number)
          || !claim_unnamed (w->owners[w->holder].claim, number))
        continue;
      put (w, o, o->version, STR (""));
      removed++;
    }
  CU_ASSERT (removed > 0);
}

/* Guards against records that are lost or revert when segments are sealed and
   read by a successor or when leftover objects are removed, and against
   objects that stay after the lifetime. */
static void
test_segments (void)
{
  static const size_t count = 3000;
  struct world *w = world_create (3, "claims/0");

  w->loss_percent = 15;
  claim_gain (w->owners[0].claim, w->fence, times (w));
  for (size_t i = 0; i < count; i++)
    {
      ask (w, w->holder, i + 1, KEYS + i, 7);
      if (i >= 600)
        settle (w, w->holder, i - 599, KEYS + i - 600,
                i % 3 ? SETTLE_DONE : SETTLE_VOID);
      run (w, 4);
      if (i % 1000 == 999)
        hand_over (w, !w->holder, true);
    }
  w->loss_percent = 0;
  run (w, 4000);
  CU_ASSERT (claim_counts (w->owners[w->holder].claim).segments > 3);
  struct request *before = look_up (w, w->holder, KEYS);
  const size_t first = (size_t)(before - w->requests);
  for (size_t i = 1; i < count; i++)
    look_up (w, w->holder, KEYS + i);
  run (w, 500);
  remove_unnamed (w);
  hand_over (w, !w->holder, true);
  run (w, 2000);
  const size_t second = w->count;
  for (size_t i = 0; i < count; i++)
    look_up (w, w->holder, KEYS + i);
  run (w, 500);
  size_t done = 0;
  for (size_t i = 0; i < count; i++)
    {
      CU_ASSERT_EQUAL (w->requests[first + i].code,
                       w->requests[second + i].code);
      CU_ASSERT_TRUE (w->requests[second + i].answered);
      done += w->requests[second + i].code == CLAIM_DONE;
    }
  CU_ASSERT (done > count / 3);
  w->now += (uint64_t)LIFETIME_S * 1000;
  run (w, 30000);
  const struct claim_counts n = claim_counts (w->owners[w->holder].claim);
  CU_ASSERT_EQUAL (n.records, 0);
  CU_ASSERT_EQUAL (n.bytes, 0);
  CU_ASSERT_EQUAL (n.segments, 0);
  world_destroy (w);
}

/* Guards against claims that pile up in memory or wait past their deadline
   while the store is down. */
static void
test_outage (void)
{
  struct world *w = world_create (4, "claims/0");
  const struct request *r;

  claim_gain (w->owners[0].claim, w->fence, times (w));
  run (w, 100);
  w->down = true;
  for (size_t i = 0; i < 10000; i++)
    {
      ask (w, 0, i + 1, KEYS + i, 7);
      run (w, 1);
    }
  run (w, 2500);
  for (size_t i = 0; i < w->count; i++)
    CU_ASSERT_TRUE (w->requests[i].answered
                    && w->requests[i].code != CLAIM_GRANTED
                    && w->requests[i].err != -ESTALE);
  CU_ASSERT (claim_counts (w->owners[0].claim).bytes < 8 << 20);
  w->down = false;
  run (w, 1000);
  r = ask (w, 0, 20001, KEYS, 7);
  run (w, 500);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (w->reports, 0);
  world_destroy (w);
}

static const struct suite_case cases[] = {
  { "states", test_states },         { "random schedules", test_schedule },
  { "lease regained", test_regain }, { "late answer", test_late_answer },
  { "writes", test_writes },         { "segments", test_segments },
  { "outage", test_outage },
};
TEST_SUITE ("claim", cases)
