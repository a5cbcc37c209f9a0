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
/* Keys below this number have their invariants checked. */
#define CHECKED_KEYS 6
#define IDS_MAX 8192
#define NO_ANSWER ((enum claim_code)99)
#define INTERVAL_MS 125
#define SEGMENT_SEEDS 10
#define DELAYED_WRITE_MS 400
#define LIFETIME_S 3600
#define DEADLINE_MS 4000

/* An object of the simulated store. The store runs in virtual time, can lose
   answers, delay writes and be down. */
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
  struct claim_partition *partition;
  bool paused;
  bool store_call_pending;
  /* Result of the store call, delivered at answer_at. */
  uint64_t answer_at;
  int err;
  uint64_t version;
  struct str value;
};

/* A write that takes effect after its owner received -EINPROGRESS. */
struct delayed_write
{
  struct object *object;
  uint64_t at;
  uint64_t expected;
  struct str value;
  struct delayed_write *next;
};

struct request
{
  size_t id; /* number in the request id; repeats have the same */
  size_t key;
  bool answered;
  bool settled; /* a settle request whose outcome was stored */
  /* Answer to a claim or a lookup; for a settle request CLAIM_DONE if it
     records SETTLE_DONE, else CLAIM_NONE. */
  enum claim_code code;
  int err;
};

/* The simulation: owners of one partition, and their store. */
struct world
{
  struct owner owners[OWNERS];
  struct object *objects;
  struct delayed_write *delayed_writes;
  uint64_t now;
  uint64_t random_state;
  uint64_t last_version;
  int lease_holder; /* index in owners */
  uint64_t fence;
  bool store_down;
  uint32_t loss_percent;
  uint32_t delay_ms;
  /* Results of the next writes: '.' done, 'x' lost, 'l' delayed; the last two
     are answered with -EINPROGRESS. Later writes follow store_down and
     loss_percent. */
  const char *write_outcomes;
  size_t writes;
  struct request *requests;
  size_t request_count;
  /* State for the invariants: the id that was granted a key last, and whether
     that claim is void. */
  size_t granted[CHECKED_KEYS];
  bool voided[CHECKED_KEYS];
  bool voided_by_caller[IDS_MAX]; /* a SETTLE_VOID was sent */
  bool done[CHECKED_KEYS];
  size_t last_key; /* of the last claim; CHECKED_KEYS if it must not be
                      repeated */
  size_t grants;
  size_t violations;
  size_t reports;
};

static uint32_t
next_random (struct world *w)
{
  return (uint32_t)random_next (&w->random_state);
}

static struct claim_clock
clock_of (const struct world *w)
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

/* Updates an object if it has the expected version; an empty value removes
   it. */
static int
update_object (struct world *w, struct object *o, uint64_t expected,
               struct str value)
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
  struct delayed_write *l = xcalloc (1, sizeof *l);

  *l = (struct delayed_write){ .object = o,
                               .at = w->now + delay_ms,
                               .expected = expected,
                               .value = str_dup (value),
                               .next = w->delayed_writes };
  w->delayed_writes = l;
}

/* Performs a write and returns its error code. After -EINPROGRESS the write
   may have taken effect, take effect later or never do. */
static int
try_write (struct world *w, struct object *o, uint64_t expected,
           struct str value)
{
  w->writes++;
  if (w->write_outcomes && *w->write_outcomes)
    switch (*w->write_outcomes++)
      {
      case 'x':
        return -EINPROGRESS;
      case 'l':
        delay_write (w, o, expected, value, DELAYED_WRITE_MS);
        return -EINPROGRESS;
      default:
        return update_object (w, o, expected, value);
      }
  if (w->store_down && next_random (w) % 2)
    return -ECONNREFUSED;
  if (w->store_down || next_random (w) % 100 < w->loss_percent)
    {
      if (next_random (w) % 2)
        delay_write (w, o, expected, value, next_random (w) % 3000);
      else if (!w->store_down)
        update_object (w, o, expected, value);
      return -EINPROGRESS;
    }
  return update_object (w, o, expected, value);
}

static void
simulate_store_call (struct owner *o, enum store_op op, struct str key,
                     uint64_t version, struct str value)
{
  struct world *w = o->world;
  struct object *object = object_of (w, key);

  CU_ASSERT_FALSE (o->store_call_pending);
  o->store_call_pending = true;
  o->answer_at = w->now + 1 + next_random (w) % w->delay_ms;
  o->value = STR ("");
  if (op == OP_READ)
    {
      o->err = w->store_down ? -EIO : object->version == 0 ? -ENOENT : 0;
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
read_object (void *ctx, struct str key)
{
  simulate_store_call (ctx, OP_READ, key, 0, STR (""));
}

static void
write_object (void *ctx, struct str key, uint64_t version, struct str value)
{
  simulate_store_call (ctx, OP_WRITE, key, version, value);
}

static void
remove_object (void *ctx, struct str key, uint64_t version)
{
  simulate_store_call (ctx, OP_REMOVE, key, version, STR (""));
}

/* ---- answers ---- */

static bool
holds_lease (void *ctx, uint64_t fence)
{
  const struct owner *o = ctx;
  const struct world *w = o->world;

  return &w->owners[w->lease_holder] == o && w->fence == fence;
}

/* Returns true if an object contains the request id in its XDR encoding, with
   the length before it. */
static bool
claim_is_stored (const struct world *w, size_t id)
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

/* Checks that no key is granted before the claim is stored, or to a second
   request unless the claim of the first one is void, and that a recorded
   outcome never changes. */
static void
check_invariants (struct world *w, const struct request *r,
                  enum claim_code code)
{
  const size_t k = r->key;

  if (k >= CHECKED_KEYS)
    return;
  if (w->done[k] && code != CLAIM_DONE && code != CLAIM_STORE_DOWN
      && code != CLAIM_FULL)
    w->violations++;
  if (code != CLAIM_GRANTED)
    return;
  w->grants++;
  if (!claim_is_stored (w, r->id))
    w->violations++;
  if (w->granted[k] && w->granted[k] != r->id && !w->voided[k])
    w->violations++;
  w->voided[k] = w->voided_by_caller[r->id];
  w->granted[k] = r->id;
}

static void
on_answer (void *ctx, void *request, const struct claim_res *res)
{
  struct owner *o = ctx;
  struct request *r = request;

  if (!holds_lease (o, o->world->fence) && res->code != CLAIM_STORE_DOWN)
    o->world->violations++;
  CU_ASSERT_FALSE (r->answered);
  r->answered = true;
  r->code = res->code;
  check_invariants (o->world, r, res->code);
}

static void
on_settled (void *ctx, void *request, bool stored)
{
  struct owner *o = ctx;
  struct request *r = request;

  CU_ASSERT_FALSE (r->answered);
  r->answered = true;
  r->settled = stored;
  if (stored && r->key < CHECKED_KEYS && r->code == CLAIM_DONE)
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
  .holds_lease = holds_lease,
  .read = read_object,
  .write = write_object,
  .remove = remove_object,
  .answer = on_answer,
  .answer_settle = on_settled,
  .refuse = on_refused,
  .report = on_report,
};

/* ---- world ---- */

static struct world *
world_create (uint64_t seed, const char *key)
{
  struct world *w = xcalloc (1, sizeof *w);

  w->random_state = seed;
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
        .write_interval_ms = INTERVAL_MS,
        .lifetime_s = LIFETIME_S,
        .bytes_max = (size_t)64 << 20,
      };

      w->owners[i].world = w;
      w->owners[i].partition = claim_create (&config, &actions, &w->owners[i]);
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
      claim_destroy (w->owners[i].partition);
      if (w->owners[i].store_call_pending)
        str_free (&w->owners[i].value);
    }
  while (w->delayed_writes)
    {
      struct delayed_write *l = w->delayed_writes;
      w->delayed_writes = l->next;
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
apply_delayed_writes (struct world *w)
{
  struct delayed_write **at = &w->delayed_writes;

  while (*at)
    {
      struct delayed_write *l = *at;

      if (w->now < l->at)
        {
          at = &l->next;
          continue;
        }
      update_object (w, l->object, l->expected, l->value);
      *at = l->next;
      str_free (&l->value);
      free (l);
    }
}

static void
run_for (struct world *w, uint64_t ms)
{
  for (const uint64_t end = w->now + ms; w->now < end; w->now++)
    {
      apply_delayed_writes (w);
      for (size_t i = 0; i < OWNERS; i++)
        {
          struct owner *o = &w->owners[i];

          if (o->paused)
            continue;
          if (o->store_call_pending && w->now >= o->answer_at)
            {
              struct str value = o->value;

              o->store_call_pending = false;
              claim_store_done (o->partition, o->err, o->version, value,
                                clock_of (w));
              if (value.len > 0)
                str_free (&value);
            }
          if (w->now % 25 == 0)
            claim_tick (o->partition, clock_of (w));
        }
    }
}

/* Gives the lease to an owner; the former owner learns of it only if @notify
   is set. */
static void
hand_over (struct world *w, int to, bool notify)
{
  const int from = w->lease_holder;

  w->lease_holder = to;
  w->fence++;
  if (notify)
    claim_lease_lost (w->owners[from].partition);
  claim_lease_gained (w->owners[to].partition, w->fence, clock_of (w));
}

/* ---- requests ---- */

static struct request *
new_request (struct world *w, size_t id, size_t key)
{
  struct request *r = &w->requests[w->request_count++];

  if (w->request_count >= REQUESTS_MAX)
    abort ();
  *r = (struct request){ .id = id, .key = key, .code = NO_ANSWER };
  return r;
}

static struct str
format_name (char out[32], const char *prefix, size_t n)
{
  snprintf (out, 32, "%s-%zu", prefix, n);
  return str_from (out);
}

static struct request *
send_claim (struct world *w, int owner, size_t id, size_t key,
            uint64_t fingerprint)
{
  struct request *r = new_request (w, id, key);
  char names[2][32];
  const struct claim_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (format_name (names[0], "cue", key)),
    .service = TEXT_STR (STR ("kazaliste-app")),
    .request_id = TEXT_STR (format_name (names[1], "req", id)),
    .fingerprint = fingerprint,
    .deadline_ms = DEADLINE_MS,
  };

  claim_request (w->owners[owner].partition, &args, r, clock_of (w));
  return r;
}

static struct request *
send_settle (struct world *w, int owner, size_t id, size_t key,
             enum settle_state state)
{
  struct request *r = new_request (w, id, key);
  char names[2][32];
  const struct settle_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (format_name (names[0], "cue", key)),
    .request_id = TEXT_STR (format_name (names[1], "req", id)),
    .state = state,
    .status = 200,
    .body = BLOB_STR (STR ("released")),
  };

  r->code = state == SETTLE_DONE ? CLAIM_DONE : CLAIM_NONE;
  if (state == SETTLE_VOID && key < CHECKED_KEYS)
    {
      w->voided_by_caller[id] = true;
      w->voided[key] = w->voided[key] || w->granted[key] == id;
    }
  claim_settle (w->owners[owner].partition, &args, r, clock_of (w));
  return r;
}

static struct request *
send_lookup (struct world *w, int owner, size_t key)
{
  struct request *r = new_request (w, 0, key);
  char key_name[32];
  const struct lookup_args args = {
    .customer = TEXT_STR (STR ("titlovi")),
    .key = TEXT_STR (format_name (key_name, "cue", key)),
  };

  claim_lookup (w->owners[owner].partition, &args, r, clock_of (w));
  return r;
}

/* ---- tests ---- */

/* Guards against a call that runs twice. A row has the steps, a letter each,
   and the expected answer to the last claim or lookup:
   c: claim by a new request; r: claim by request 1 again; o: claim by a new
   request with another body; d, v, u: settle request 1 as done, void or
   unknown; l: lookup; t: time passes until after the deadline and the grace
   period; h: the lease goes to the other owner; x: the lifetime of the records
   passes. */
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

      claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
      run_for (w, 100);
      for (const char *s = cases[i].steps; *s; s++)
        {
          switch (*s)
            {
            case 'c':
              last = send_claim (w, w->lease_holder,
                                 s == cases[i].steps ? 1 : ++id, CHECKED_KEYS,
                                 7);
              break;
            case 'r':
              last = send_claim (w, w->lease_holder, 1, CHECKED_KEYS, 7);
              break;
            case 'o':
              last = send_claim (w, w->lease_holder, ++id, CHECKED_KEYS, 8);
              break;
            case 'd':
              send_settle (w, w->lease_holder, 1, CHECKED_KEYS, SETTLE_DONE);
              break;
            case 'v':
              send_settle (w, w->lease_holder, 1, CHECKED_KEYS, SETTLE_VOID);
              break;
            case 'u':
              send_settle (w, w->lease_holder, 1, CHECKED_KEYS,
                           SETTLE_UNKNOWN);
              break;
            case 'l':
              last = send_lookup (w, w->lease_holder, CHECKED_KEYS);
              break;
            case 't':
              run_for (w, DEADLINE_MS + CLAIM_GRACE_MS + 1);
              break;
            case 'h':
              hand_over (w, !w->lease_holder, true);
              break;
            default:
              w->now += (uint64_t)LIFETIME_S * 1000;
              break;
            }
          run_for (w, 300);
        }
      CU_ASSERT_TRUE (last->answered);
      CU_ASSERT_EQUAL (last->code, cases[i].code);
      CU_ASSERT_EQUAL (last->err, 0);
      world_destroy (w);
    }
}

/* Performs one event of the random schedule. */
static void
random_event (struct world *w, size_t *id)
{
  const int owner = (int)(next_random (w) % OWNERS);
  const size_t key = next_random (w) % CHECKED_KEYS;
  const size_t granted = w->granted[key];

  if (next_random (w) % 6 == 0)
    w->store_down = false;
  if (next_random (w) % 10 == 0)
    w->owners[owner].paused = false;
  switch (next_random (w) % 32)
    {
    case 0:
      hand_over (w, !w->lease_holder, next_random (w) % 2);
      break;
    case 1:
      w->owners[owner].paused = !w->owners[owner].paused;
      break;
    case 2:
      w->store_down = !w->store_down;
      break;
    case 3:
      claim_lease_lost (w->owners[!w->lease_holder].partition);
      break;
    case 4:
      /* The lease expires and is gained again with the same fence. */
      claim_lease_lost (w->owners[w->lease_holder].partition);
      claim_lease_gained (w->owners[w->lease_holder].partition, w->fence,
                          clock_of (w));
      break;
    case 5:
      send_lookup (w, owner, key);
      break;
    case 6:
    case 7:
      /* A caller that no longer waits voids a claim that was not granted. */
      if (w->last_key < CHECKED_KEYS && w->granted[w->last_key] != *id)
        send_settle (w, owner, *id, w->last_key, SETTLE_VOID);
      w->last_key = CHECKED_KEYS;
      break;
    case 8:
    case 9:
      if (w->last_key < CHECKED_KEYS)
        send_claim (w, owner, *id, w->last_key, 7);
      break;
    case 10:
      if (granted && !w->voided[key])
        send_settle (w, owner, granted, key, SETTLE_DONE);
      break;
    default:
      /* A settle request may be repeated, and must be if it was refused. */
      if (granted && (!w->voided[key] || next_random (w) % 2))
        {
          send_settle (w, owner, granted, key, SETTLE_VOID);
          break;
        }
      w->last_key = key;
      send_claim (w, owner, ++*id, key, 7);
      break;
    }
}

/* Guards against a key that is granted twice without a void in between, and
   against a recorded outcome that is lost. Two owners run a random schedule:
   an owner may be paused until after the end of its lease, answers are lost,
   writes take effect late, and the store is down at times. */
static void
test_schedule (void)
{
  size_t grants = 0;

  for (uint64_t seed = 1; seed <= 300; seed++)
    {
      struct world *w = world_create (seed, "claims/0");
      size_t id = 1;

      w->loss_percent = seed % 2 ? 10 : 40;
      claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
      for (size_t i = 0; i < 400; i++)
        {
          random_event (w, &id);
          run_for (w, next_random (w) % 100);
          if (w->violations > 0)
            break;
        }
      CU_ASSERT_EQUAL (w->violations, 0);
      if (w->violations > 0)
        printf (" seed %lu", seed);
      grants += w->grants;
      w->store_down = false;
      w->loss_percent = 0;
      w->owners[0].paused = w->owners[1].paused = false;
      run_for (w, 4000);
      hand_over (w, !w->lease_holder, true);
      const struct request *r
          = send_claim (w, w->lease_holder, ++id, CHECKED_KEYS + 1, 7);
      run_for (w, 1000);
      CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
      CU_ASSERT_EQUAL (
          claim_counts (w->owners[w->lease_holder].partition).waiting, 0);
      for (size_t i = 0; i < w->request_count; i++)
        CU_ASSERT_TRUE_FATAL (w->requests[i].answered);
      CU_ASSERT_EQUAL (w->violations, 0);
      world_destroy (w);
    }
  printf (" %zu grants", grants);
}

/* Guards against an owner that takes an older write of its own in the head for
   the write of its fence. When the write of the fence took effect late, the
   owner would grant a claim whose own write was lost. */
static void
test_regain (void)
{
  static const char *const write_outcomes[]
      = { "lx", "ll", "lxx", "l.x", "xlx" };

  for (size_t i = 0; i < sizeof write_outcomes / sizeof *write_outcomes; i++)
    {
      struct world *w = world_create (5, "claims/0");
      const struct request *r;

      claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
      run_for (w, 100);
      send_claim (w, 0, 1, 0, 7);
      run_for (w, 300);
      w->write_outcomes = write_outcomes[i];
      claim_lease_lost (w->owners[0].partition);
      claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
      run_for (w, 270);
      r = send_claim (w, 0, 2, 1, 7);
      run_for (w, 2500);
      CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
      CU_ASSERT_EQUAL (w->violations, 0);
      CU_ASSERT_EQUAL (*w->write_outcomes, 0);
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

  claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
  run_for (w, 200);
  r = send_claim (w, 0, 1, 0, 7);
  w->owners[0].paused = true;
  run_for (w, DEADLINE_MS);
  w->owners[0].paused = false;
  run_for (w, 1);
  CU_ASSERT_EQUAL (r->code, CLAIM_STORE_DOWN);
  r = send_claim (w, 0, 2, 0, 7);
  run_for (w, 500);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (w->violations, 0);
  world_destroy (w);
}

/* Guards against a write for each claim: counts the writes for 1,000 claims
   and as many settle requests a second over 4 partitions. */
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

      claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
      run_for (w, 1000);
      w->writes = 0;
      for (size_t i = 0; i < 250 * seconds; i++)
        {
          send_claim (w, 0, i + 1, CHECKED_KEYS + i, 7);
          if (i >= 100)
            send_settle (w, 0, i - 99, CHECKED_KEYS + i - 100, SETTLE_DONE);
          run_for (w, 4);
        }
      run_for (w, 500);
      for (size_t i = 0; i < w->request_count; i++)
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
  printf (" %zu writes a second; one for each request would be %zu",
          writes / seconds, 2 * claims / seconds);
}

/* Guards against an outcome that waits for the write interval after the claim
   of the same call, and against more writes than the interval allows. */
static void
test_single_call (void)
{
  struct world *w = world_create (7, "claims/0");
  const struct request *r;

  claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
  run_for (w, 1000);
  w->writes = 0;
  r = send_claim (w, 0, 1, CHECKED_KEYS, 7);
  run_for (w, 40);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  r = send_settle (w, 0, 1, CHECKED_KEYS, SETTLE_DONE);
  run_for (w, 40);
  CU_ASSERT_TRUE (r->settled);
  CU_ASSERT_EQUAL (w->writes, 2);
  r = send_claim (w, 0, 2, CHECKED_KEYS + 1, 7);
  run_for (w, INTERVAL_MS - 80);
  CU_ASSERT_EQUAL (w->writes, 2);
  run_for (w, INTERVAL_MS);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (w->writes, 3);
  world_destroy (w);
}

/* Returns the number of removed segments. */
static size_t
remove_unreferenced (struct world *w)
{
  size_t removed = 0;
  uint64_t number;

  for (struct object *o = w->objects; o; o = o->hh.next)
    {
      const char *slash = strrchr (o->key, '/');

      if (!strstr (o->key, "/seg/") || o->version == 0
          || !str_u64 (str_from (slash + 1), &number)
          || !claim_segment_unreferenced (w->owners[w->lease_holder].partition,
                                          number))
        continue;
      update_object (w, o, o->version, STR (""));
      removed++;
    }
  return removed;
}

/* Returns the number of unreferenced segments that were removed. */
static size_t
check_segments (uint64_t seed)
{
  static const size_t count = 3000;
  struct world *w = world_create (seed, "claims/0");

  w->loss_percent = 15;
  claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
  for (size_t i = 0; i < count; i++)
    {
      send_claim (w, w->lease_holder, i + 1, CHECKED_KEYS + i, 7);
      if (i >= 600)
        send_settle (w, w->lease_holder, i - 599, CHECKED_KEYS + i - 600,
                     i % 3 ? SETTLE_DONE : SETTLE_VOID);
      run_for (w, 4);
      if (i % 1000 == 999)
        hand_over (w, !w->lease_holder, true);
    }
  w->loss_percent = 0;
  run_for (w, 4000);
  CU_ASSERT (claim_counts (w->owners[w->lease_holder].partition).segments > 3);
  /* Until no claim runs any more, because its code would change between the
     lookups. */
  run_for (w, DEADLINE_MS + CLAIM_GRACE_MS);
  struct request *before = send_lookup (w, w->lease_holder, CHECKED_KEYS);
  const size_t first_before = (size_t)(before - w->requests);
  for (size_t i = 1; i < count; i++)
    send_lookup (w, w->lease_holder, CHECKED_KEYS + i);
  run_for (w, 500);
  const size_t removed = remove_unreferenced (w);
  hand_over (w, !w->lease_holder, true);
  run_for (w, 2000);
  const size_t first_after = w->request_count;
  for (size_t i = 0; i < count; i++)
    send_lookup (w, w->lease_holder, CHECKED_KEYS + i);
  run_for (w, 500);
  size_t done = 0;
  for (size_t i = 0; i < count; i++)
    {
      CU_ASSERT_EQUAL (w->requests[first_before + i].code,
                       w->requests[first_after + i].code);
      CU_ASSERT_TRUE (w->requests[first_after + i].answered);
      done += w->requests[first_after + i].code == CLAIM_DONE;
    }
  CU_ASSERT (done > count / 3);
  w->now += (uint64_t)LIFETIME_S * 1000;
  run_for (w, 30000);
  const struct claim_counts n
      = claim_counts (w->owners[w->lease_holder].partition);
  CU_ASSERT_EQUAL (n.records, 0);
  CU_ASSERT_EQUAL (n.bytes, 0);
  CU_ASSERT_EQUAL (n.segments, 0);
  world_destroy (w);
  return removed;
}

/* Guards against records that are lost or go back to an older state when
   segments are sealed, are read by a successor, or unreferenced segments are
   removed; and against records and segments that are kept after their
   lifetime. */
static void
test_segments (void)
{
  size_t removed = 0;

  for (uint64_t seed = 1; seed <= SEGMENT_SEEDS; seed++)
    removed += check_segments (seed);
  CU_ASSERT (removed >= SEGMENT_SEEDS);
}

/* Guards against claims that accumulate in memory or wait longer than their
   deadline while the store is down. */
static void
test_outage (void)
{
  struct world *w = world_create (4, "claims/0");
  const struct request *r;

  claim_lease_gained (w->owners[0].partition, w->fence, clock_of (w));
  run_for (w, 100);
  w->store_down = true;
  for (size_t i = 0; i < 10000; i++)
    {
      send_claim (w, 0, i + 1, CHECKED_KEYS + i, 7);
      run_for (w, 1);
    }
  run_for (w, 2500);
  for (size_t i = 0; i < w->request_count; i++)
    CU_ASSERT_TRUE (w->requests[i].answered
                    && w->requests[i].code != CLAIM_GRANTED
                    && w->requests[i].err != -ESTALE);
  CU_ASSERT (claim_counts (w->owners[0].partition).bytes < 8 << 20);
  w->store_down = false;
  run_for (w, 1000);
  r = send_claim (w, 0, 20001, CHECKED_KEYS, 7);
  run_for (w, 500);
  CU_ASSERT_EQUAL (r->code, CLAIM_GRANTED);
  CU_ASSERT_EQUAL (w->reports, 0);
  world_destroy (w);
}

static const struct suite_case cases[] = {
  { "states", test_states },         { "random schedules", test_schedule },
  { "lease regained", test_regain }, { "late answer", test_late_answer },
  { "writes", test_writes },         { "single call", test_single_call },
  { "segments", test_segments },     { "outage", test_outage },
};
TEST_SUITE ("claim", cases)
