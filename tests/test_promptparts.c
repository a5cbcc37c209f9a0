#include "edge/quarantine.h"

#include "suite.h"

/* Which part of prompts is blamed when servers crash. Prompts begin with the
   same part, and the crashing part comes behind others that sound prompts
   share. */

#define FIRST 1
#define TOPIC 2
#define OTHER_TOPIC 3
#define CRASHING 4
#define PARTS_MAX 4
#define STEPS_MAX 12
#define START_MS 100000
#define STEP_MS 200

struct prompt
{
  uint64_t parts[PARTS_MAX]; /* ends with 0 */
};

static const struct prompt sound = { { FIRST, TOPIC } };
static const struct prompt other = { { FIRST, OTHER_TOPIC } };
static const struct prompt crashing = { { FIRST, TOPIC, CRASHING } };
static const struct prompt crashing_other
    = { { FIRST, OTHER_TOPIC, CRASHING } };

struct step
{
  const struct prompt *prompt; /* NULL ends the list */
  uint64_t crashed; /* server that crashes under it; 0: it responds */
};

struct history
{
  struct step steps[STEPS_MAX];
  uint64_t refused[PARTS_MAX]; /* parts; ends with 0 */
};

static void
crash (struct quarantine *q, const struct prompt *p, uint64_t server,
       uint64_t now_ms)
{
  for (size_t i = 0; p->parts[i] != 0; i++)
    quarantine_add_crash (q,
                          &(struct crash_record){ p->parts[i], server,
                                                  p->parts[i + 1],
                                                  QUARANTINE_PART },
                          now_ms);
}

static void
respond (struct quarantine *q, const struct prompt *p, uint64_t now_ms)
{
  for (size_t i = 0; p->parts[i] != 0; i++)
    quarantine_completed (q, p->parts[i], now_ms);
}

static bool
is_listed (const uint64_t parts[PARTS_MAX], uint64_t part)
{
  for (size_t i = 0; parts[i] != 0; i++)
    if (parts[i] == part)
      return true;
  return false;
}

static void
check_history (const struct history *h)
{
  struct quarantine *q = quarantine_create ();
  uint64_t now_ms = START_MS;

  for (const struct step *s = h->steps; s->prompt; s++, now_ms += STEP_MS)
    if (s->crashed != 0)
      crash (q, s->prompt, s->crashed, now_ms);
    else
      respond (q, s->prompt, now_ms);
  for (uint64_t part = FIRST; part <= CRASHING; part++)
    CU_ASSERT_EQUAL (quarantine_contains (q, part, now_ms),
                     is_listed (h->refused, part));
  quarantine_destroy (q);
}

/* Guards against refusing the parts that crashing prompts share with sound
   ones, and against missing the one that crashes. */
static void
test_blame (void)
{
  static const struct history histories[] = {
    /* The prompts are all there is. */
    { { { &crashing, 1 }, { &crashing, 2 }, { &crashing, 3 } }, { CRASHING } },
    /* Sound prompts are served in between. */
    { { { &sound, 0 },
        { &crashing, 1 },
        { &sound, 0 },
        { &crashing, 2 },
        { &other, 0 },
        { &crashing, 3 },
        { &sound, 0 } },
      { CRASHING } },
    /* Sound prompts were served before and run beside the crashes. */
    { { { &sound, 0 },
        { &other, 0 },
        { &crashing, 1 },
        { &other, 1 },
        { &crashing_other, 2 },
        { &sound, 2 },
        { &crashing, 3 },
        { &other, 3 },
        { &sound, 4 },
        { &sound, 5 } },
      { CRASHING } },
    /* The part comes behind several others. */
    { { { &sound, 0 },
        { &other, 0 },
        { &crashing, 1 },
        { &crashing_other, 2 },
        { &crashing, 3 },
        { &crashing_other, 4 } },
      { CRASHING } },
    /* A part crashes servers whatever follows it. */
    { { { &other, 0 }, { &crashing, 1 }, { &sound, 2 }, { &crashing, 3 } },
      { TOPIC } },
    /* The same after the part behind it was blamed for it. */
    { { { &other, 0 },
        { &crashing, 1 },
        { &crashing, 2 },
        { &crashing, 3 },
        { &sound, 4 } },
      { TOPIC, CRASHING } },
    /* Two crashes, and one crash seen three times. */
    { { { &crashing, 1 },
        { &crashing, 2 },
        { &crashing, 2 },
        { &crashing, 2 } },
      { 0 } },
    /* A server responds to the part between the crashes. */
    { { { &crashing, 1 },
        { &crashing, 2 },
        { &crashing, 0 },
        { &crashing, 3 } },
      { 0 } },
  };

  for (size_t i = 0; i < sizeof histories / sizeof *histories; i++)
    check_history (&histories[i]);
}

#define PROOF_MS 30000

/* Guards against a part that is never refused because prompts with it were
   answered in the past. */
static void
test_begins_to_crash (void)
{
  struct quarantine *q = quarantine_create ();
  uint64_t now_ms = START_MS;

  respond (q, &crashing, now_ms);
  for (uint64_t server = 1; server <= 3; server++)
    crash (q, &crashing, server, now_ms += PROOF_MS / 4);
  CU_ASSERT_FALSE (quarantine_contains (q, CRASHING, now_ms));
  now_ms += PROOF_MS;
  for (uint64_t server = 4; server <= 6; server++)
    crash (q, &crashing, server, now_ms += STEP_MS);
  CU_ASSERT_TRUE (quarantine_contains (q, CRASHING, now_ms));
  quarantine_destroy (q);
}

#define LIST_MAX 32
#define REPORT_INTERVAL_MS 250

static void
send_evidence (struct quarantine *from, enum quarantine_scope scope,
               struct quarantine *to, uint64_t now_ms)
{
  struct crash_evidence listed[LIST_MAX];
  const size_t n = quarantine_list (from, scope, now_ms, listed, LIST_MAX);

  for (size_t i = 0; i < n; i++)
    quarantine_merge (to, &listed[i], now_ms);
}

/* Guards against a node that has just started and refuses all prompts that
   begin alike: it saw only the crashes, and other nodes know better. */
static void
test_contradicted (void)
{
  struct quarantine *holder = quarantine_create ();
  struct quarantine *node = quarantine_create ();
  uint64_t now_ms = START_MS;

  respond (holder, &sound, now_ms);
  respond (holder, &other, now_ms);
  crash (node, &crashing, 1, now_ms);
  crash (node, &crashing_other, 2, now_ms);
  crash (node, &other, 3, now_ms);
  CU_ASSERT_TRUE (quarantine_contains (node, FIRST, now_ms));
  for (int i = 0; i < 4; i++, now_ms += REPORT_INTERVAL_MS)
    {
      send_evidence (node, QUARANTINE_OWN, holder, now_ms);
      send_evidence (holder, QUARANTINE_ALL, node, now_ms);
    }
  CU_ASSERT_FALSE (quarantine_contains (node, FIRST, now_ms));
  CU_ASSERT_FALSE (quarantine_contains (holder, FIRST, now_ms));
  crash (node, &crashing, 4, now_ms);
  CU_ASSERT_FALSE (quarantine_contains (node, FIRST, now_ms));
  CU_ASSERT_TRUE (quarantine_contains (node, CRASHING, now_ms));
  quarantine_destroy (holder);
  quarantine_destroy (node);
}

static const struct suite_case cases[] = {
  { "blame", test_blame },
  { "begins to crash servers", test_begins_to_crash },
  { "contradicted", test_contradicted },
};
TEST_SUITE ("promptparts", cases)
