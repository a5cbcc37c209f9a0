#include "edge/promptparts.h"

#include <stdio.h>

#include "suite.h"

/* Which part of prompts is blamed when servers crash. Prompts begin with the
   same part, and the crashing part comes behind others that sound prompts
   share. */

#define FIRST 1
#define TOPIC 2
#define OTHER_TOPIC 3
#define CRASHING 4
#define LAST 5
#define PARTS_MAX 12
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
/* All prompts end with the same part. */
static const struct prompt sound_last = { { FIRST, TOPIC, LAST } };
static const struct prompt crashing_last = { { FIRST, CRASHING, LAST } };
/* Many parts are behind the crashing one. */
#define MANY 21, 22, 23, 24, 25, 26, 27, 28, 29
static const struct prompt sound_many = { { FIRST, TOPIC, MANY } };
static const struct prompt crashing_many = { { FIRST, CRASHING, MANY } };

enum outcome
{
  BEGINS,        /* the server begins to respond */
  GOES_ON,       /* and has responded for some time */
  COMPLETES,     /* and sends the whole response */
  CRASHES,       /* it crashes before it responds */
  CRASHES_BEGUN, /* at the beginning of the response */
  CRASHES_LATER, /* later in the response */
};

struct step
{
  const struct prompt *prompt; /* NULL ends the list */
  enum outcome outcome;
  uint64_t server; /* that crashes */
};

struct history
{
  struct step steps[STEPS_MAX];
  uint64_t refused[PARTS_MAX]; /* parts; ends with 0 */
};

static struct prompt_parts
parts_of (const struct prompt *p)
{
  struct prompt_parts parts;
  struct buf list = { 0 };

  for (size_t i = 0; p->parts[i] != 0; i++)
    buf_printf (&list, "%lu:9,", p->parts[i]);
  buf_append (&list, STR ("own:9"));
  promptparts_read (buf_str (&list), &parts);
  buf_free (&list);
  return parts;
}

static void
crash_in (struct quarantine *q, const struct prompt_parts *parts,
          enum prompt_phase phase, uint64_t server, uint64_t now_ms)
{
  promptparts_suspect (q, parts, phase, server, now_ms);
  quarantine_server_crashed (q, server, now_ms);
}

static void
run_prompt (struct quarantine *q, const struct step *s, uint64_t now_ms)
{
  struct prompt_parts parts = parts_of (s->prompt);

  if (s->outcome != CRASHES)
    promptparts_passed (q, &parts, PHASE_BEFORE, now_ms);
  if (s->outcome == GOES_ON || s->outcome == CRASHES_LATER)
    promptparts_passed (q, &parts, PHASE_BEGINNING, now_ms);
  if (s->outcome == COMPLETES)
    promptparts_passed (q, &parts, PHASE_REST, now_ms);
  if (s->outcome == CRASHES)
    crash_in (q, &parts, PHASE_BEFORE, s->server, now_ms);
  if (s->outcome == CRASHES_BEGUN)
    crash_in (q, &parts, PHASE_BEGINNING, s->server, now_ms);
  if (s->outcome == CRASHES_LATER)
    crash_in (q, &parts, PHASE_REST, s->server, now_ms);
  promptparts_free (&parts);
}

static void
crash (struct quarantine *q, const struct prompt *p, uint64_t server,
       uint64_t now_ms)
{
  run_prompt (q, &(struct step){ p, CRASHES, server }, now_ms);
}

static void
respond (struct quarantine *q, const struct prompt *p, uint64_t now_ms)
{
  run_prompt (q, &(struct step){ p, BEGINS, 0 }, now_ms);
}

static bool
is_refused (const struct quarantine *q, uint64_t part, uint64_t now_ms)
{
  struct prompt_parts parts = parts_of (&(struct prompt){ { part } });
  const bool refused = promptparts_refused (q, &parts, now_ms) != 0;

  promptparts_free (&parts);
  return refused;
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
check_history (const struct history *h, size_t number)
{
  struct quarantine *q = quarantine_create ();
  uint64_t now_ms = START_MS;

  for (const struct step *s = h->steps; s->prompt; s++, now_ms += STEP_MS)
    run_prompt (q, s, now_ms);
  for (uint64_t part = FIRST; part <= LAST; part++)
    {
      const bool ok
          = is_refused (q, part, now_ms) == is_listed (h->refused, part);

      CU_ASSERT_TRUE (ok);
      if (!ok)
        fprintf (stderr, "history %zu: part %lu\n", number, part);
    }
  quarantine_destroy (q);
}

/* Guards against refusing the parts that crashing prompts share with sound
   ones, and against missing the one that crashes, wherever it stands. */
static void
test_blame (void)
{
  static const struct history histories[] = {
    /* The prompts are all there is. */
    { { { &crashing, CRASHES, 1 },
        { &crashing, CRASHES, 2 },
        { &crashing, CRASHES, 3 } },
      { CRASHING } },
    /* Sound prompts are served in between. */
    { { { &sound, BEGINS, 0 },
        { &crashing, CRASHES, 1 },
        { &sound, BEGINS, 0 },
        { &crashing, CRASHES, 2 },
        { &other, BEGINS, 0 },
        { &crashing, CRASHES, 3 },
        { &sound, BEGINS, 0 } },
      { CRASHING } },
    /* Sound prompts were served before and run beside the crashes. */
    { { { &sound, BEGINS, 0 },
        { &other, BEGINS, 0 },
        { &crashing, CRASHES, 1 },
        { &other, CRASHES, 1 },
        { &crashing_other, CRASHES, 2 },
        { &sound, CRASHES, 2 },
        { &crashing, CRASHES, 3 },
        { &other, CRASHES, 3 },
        { &sound, CRASHES, 4 },
        { &sound, CRASHES, 5 } },
      { CRASHING } },
    /* The part comes behind several others. */
    { { { &sound, BEGINS, 0 },
        { &other, BEGINS, 0 },
        { &crashing, CRASHES, 1 },
        { &crashing_other, CRASHES, 2 },
        { &crashing, CRASHES, 3 },
        { &crashing_other, CRASHES, 4 } },
      { CRASHING } },
    /* A part crashes servers whatever follows it. */
    { { { &other, BEGINS, 0 },
        { &crashing, CRASHES, 1 },
        { &sound, CRASHES, 2 },
        { &crashing, CRASHES, 3 } },
      { TOPIC } },
    /* The same after the part behind it was blamed for it. */
    { { { &other, BEGINS, 0 },
        { &crashing, CRASHES, 1 },
        { &crashing, CRASHES, 2 },
        { &crashing, CRASHES, 3 },
        { &sound, CRASHES, 4 } },
      { TOPIC, CRASHING } },
    /* Two crashes, and one crash seen three times. */
    { { { &crashing, CRASHES, 1 },
        { &crashing, CRASHES, 2 },
        { &crashing, CRASHES, 2 },
        { &crashing, CRASHES, 2 } },
      { 0 } },
    /* A server responds to the part between the crashes. */
    { { { &crashing, CRASHES, 1 },
        { &crashing, CRASHES, 2 },
        { &crashing, BEGINS, 0 },
        { &crashing, CRASHES, 3 } },
      { 0 } },
    /* Servers crash when they have begun to respond. */
    { { { &crashing, CRASHES_BEGUN, 1 },
        { &crashing, CRASHES_BEGUN, 2 },
        { &crashing, CRASHES_BEGUN, 3 },
        { &crashing, CRASHES_BEGUN, 4 } },
      { CRASHING } },
    /* One crash less. */
    { { { &crashing, CRASHES_BEGUN, 1 },
        { &crashing, CRASHES_BEGUN, 2 },
        { &crashing, CRASHES_BEGUN, 3 } },
      { 0 } },
    /* Responses that merely begin show nothing then. */
    { { { &crashing, CRASHES_BEGUN, 1 },
        { &crashing, CRASHES_BEGUN, 2 },
        { &crashing, BEGINS, 0 },
        { &crashing, CRASHES_BEGUN, 3 },
        { &crashing, CRASHES_BEGUN, 4 } },
      { CRASHING } },
    /* Sound responses, long ones too, go on and are cut beside them. */
    { { { &sound, GOES_ON, 0 },
        { &other, GOES_ON, 0 },
        { &other, CRASHES_BEGUN, 1 },
        { &crashing, CRASHES_BEGUN, 1 },
        { &sound, CRASHES_BEGUN, 2 },
        { &crashing_other, CRASHES_BEGUN, 2 },
        { &sound, CRASHES_LATER, 3 },
        { &crashing, CRASHES_BEGUN, 3 },
        { &sound, CRASHES_BEGUN, 4 },
        { &crashing_other, CRASHES_BEGUN, 4 },
        { &other, CRASHES_LATER, 5 } },
      { CRASHING } },
    /* Sound responses begin only now. */
    { { { &sound, BEGINS, 0 },
        { &crashing, CRASHES_BEGUN, 1 },
        { &crashing_other, CRASHES_BEGUN, 2 },
        { &other, CRASHES_BEGUN, 2 },
        { &crashing, CRASHES_BEGUN, 3 },
        { &sound, GOES_ON, 0 },
        { &other, GOES_ON, 0 },
        { &crashing_other, CRASHES_BEGUN, 4 } },
      { CRASHING } },
    /* Servers crash later in the responses, and sound ones are completed. */
    { { { &sound, COMPLETES, 0 },
        { &crashing, CRASHES_LATER, 1 },
        { &sound, CRASHES_LATER, 1 },
        { &crashing, CRASHES_LATER, 2 },
        { &crashing, CRASHES_BEGUN, 3 },
        { &crashing, CRASHES_LATER, 4 },
        { &crashing, CRASHES_LATER, 5 } },
      { CRASHING } },
    /* They crash now before, now after they begin to respond. */
    { { { &sound, GOES_ON, 0 },
        { &crashing, CRASHES, 1 },
        { &crashing, CRASHES_BEGUN, 2 },
        { &crashing, CRASHES, 3 },
        { &crashing, CRASHES_BEGUN, 4 },
        { &crashing, CRASHES_BEGUN, 5 },
        { &crashing, CRASHES, 6 },
        { &crashing, CRASHES_BEGUN, 7 } },
      { CRASHING } },
    /* The part behind the crashing one is that of sound prompts too. */
    { { { &sound_last, BEGINS, 0 },
        { &crashing_last, CRASHES, 1 },
        { &sound_last, BEGINS, 0 },
        { &crashing_last, CRASHES, 2 },
        { &sound_last, BEGINS, 0 },
        { &crashing_last, CRASHES, 3 } },
      { CRASHING } },
    /* Sound prompts begin only after the crashes. */
    { { { &crashing_last, CRASHES, 1 },
        { &crashing_last, CRASHES, 2 },
        { &crashing_last, CRASHES, 3 },
        { &sound_last, BEGINS, 0 } },
      { CRASHING } },
    /* The same with servers that crash later in their responses. */
    { { { &sound_last, COMPLETES, 0 },
        { &crashing_last, CRASHES_LATER, 1 },
        { &crashing_last, CRASHES_LATER, 2 },
        { &sound_last, GOES_ON, 0 },
        { &crashing_last, CRASHES_LATER, 3 },
        { &sound_last, COMPLETES, 0 },
        { &crashing_last, CRASHES_LATER, 4 } },
      { CRASHING } },
    /* The part behind was sound, and no server has responded to it since. */
    { { { &sound_last, BEGINS, 0 },
        { &crashing_last, CRASHES, 1 },
        { &crashing_last, CRASHES, 2 },
        { &crashing_last, CRASHES, 3 } },
      { 0 } },
    /* The crashing part comes before many others. */
    { { { &sound_many, BEGINS, 0 },
        { &crashing_many, CRASHES, 1 },
        { &sound_many, BEGINS, 0 },
        { &crashing_many, CRASHES, 2 },
        { &sound_many, BEGINS, 0 },
        { &crashing_many, CRASHES, 3 } },
      { CRASHING } },
    /* Servers crash for another reason, and one response goes on. */
    { { { &sound, CRASHES_BEGUN, 1 },
        { &sound, CRASHES_BEGUN, 2 },
        { &sound, CRASHES_BEGUN, 3 },
        { &sound, CRASHES_BEGUN, 4 },
        { &sound, CRASHES_LATER, 5 },
        { &sound, CRASHES_LATER, 6 },
        { &sound, GOES_ON, 0 },
        { &sound, CRASHES_LATER, 7 } },
      { 0 } },
  };

  for (size_t i = 0; i < sizeof histories / sizeof *histories; i++)
    check_history (&histories[i], i);
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
  CU_ASSERT_FALSE (is_refused (q, CRASHING, now_ms));
  now_ms += PROOF_MS;
  for (uint64_t server = 4; server <= 6; server++)
    crash (q, &crashing, server, now_ms += STEP_MS);
  CU_ASSERT_TRUE (is_refused (q, CRASHING, now_ms));
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
  CU_ASSERT_TRUE (is_refused (node, FIRST, now_ms));
  for (int i = 0; i < 4; i++, now_ms += REPORT_INTERVAL_MS)
    {
      send_evidence (node, QUARANTINE_OWN, holder, now_ms);
      send_evidence (holder, QUARANTINE_ALL, node, now_ms);
    }
  CU_ASSERT_FALSE (is_refused (node, FIRST, now_ms));
  CU_ASSERT_FALSE (is_refused (holder, FIRST, now_ms));
  crash (node, &crashing, 4, now_ms);
  CU_ASSERT_FALSE (is_refused (node, FIRST, now_ms));
  CU_ASSERT_TRUE (is_refused (node, CRASHING, now_ms));
  quarantine_destroy (holder);
  quarantine_destroy (node);
}

/* Guards against nodes that do not refuse a part, because they do not know
   that the part behind it is sound. */
static void
test_disproof_sent (void)
{
  struct quarantine *holder = quarantine_create ();
  struct quarantine *node = quarantine_create ();
  struct quarantine *other_node = quarantine_create ();
  uint64_t now_ms = START_MS;

  for (uint64_t server = 1; server <= 3; server++)
    {
      crash (node, &crashing_last, server, now_ms);
      respond (node, &sound_last, now_ms += STEP_MS);
    }
  CU_ASSERT_TRUE (is_refused (node, CRASHING, now_ms));
  send_evidence (node, QUARANTINE_OWN, holder, now_ms);
  CU_ASSERT_TRUE (is_refused (holder, CRASHING, now_ms));
  send_evidence (holder, QUARANTINE_ALL, other_node, now_ms);
  CU_ASSERT_TRUE (is_refused (other_node, CRASHING, now_ms));
  quarantine_destroy (holder);
  quarantine_destroy (node);
  quarantine_destroy (other_node);
}

/* Likewise when the crashes are known everywhere before a sound prompt runs
   at one of the nodes. */
static void
test_disproof_later (void)
{
  struct quarantine *holder = quarantine_create ();
  struct quarantine *node = quarantine_create ();
  uint64_t now_ms = START_MS;

  for (uint64_t server = 1; server <= 3; server++)
    crash (node, &crashing_last, server, now_ms);
  send_evidence (node, QUARANTINE_OWN, holder, now_ms);
  CU_ASSERT_FALSE (is_refused (holder, CRASHING, now_ms));
  respond (node, &sound_last, now_ms += STEP_MS);
  const uint64_t version = quarantine_version (node);
  send_evidence (node, QUARANTINE_OWN, holder, now_ms += REPORT_INTERVAL_MS);
  CU_ASSERT_TRUE (is_refused (holder, CRASHING, now_ms));
  CU_ASSERT_FALSE (is_refused (holder, LAST, now_ms));
  /* What is refused is stored anew. */
  CU_ASSERT_TRUE (quarantine_version (node) > version);
  quarantine_destroy (holder);
  quarantine_destroy (node);
}

static const struct suite_case cases[] = {
  { "blame", test_blame },
  { "begins to crash servers", test_begins_to_crash },
  { "contradicted", test_contradicted },
  { "disproof of the next part sent", test_disproof_sent },
  { "disproof of the next part later", test_disproof_later },
};
TEST_SUITE ("promptparts", cases)
