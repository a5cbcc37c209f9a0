#include "edge/quarantine.h"

#include "suite.h"

/* Histories of one request that crashes servers, and whether it is refused in
   the end. Times are those of one node. */

#define REQUEST 77
#define START_MS 100000
#define STEPS_MAX 10

/* What happens to the request; the servers are numbered from 1. */
enum step_kind
{
  END,
  BREAKS_OFF,     /* its attempt at the server breaks off */
  CRASH_SEEN,     /* the server is known to have crashed */
  COMPLETES,      /* a server completes it */
  OTHERS_BREAK,   /* as many attempts of other requests break off */
  OTHERS_COMPLETE /* as many other requests are completed */
};

struct step
{
  enum step_kind kind;
  uint64_t number; /* of the server, or of other requests */
  uint32_t after_ms;
};

struct history
{
  struct step steps[STEPS_MAX];
  bool refused;
};

static void
apply_to_others (struct quarantine *q, const struct step *step,
                 uint64_t now_ms)
{
  for (uint64_t i = 1; i <= step->number; i++)
    {
      const struct crash_record other
          = { REQUEST + i, 1000 + i, 0, QUARANTINE_REQUEST };

      if (step->kind == OTHERS_BREAK)
        quarantine_suspect (q, &other, now_ms);
      else
        quarantine_completed (q, other.fingerprint, now_ms);
    }
}

static void
apply (struct quarantine *q, const struct step *step, uint64_t now_ms)
{
  const struct crash_record suspect
      = { REQUEST, step->number, 0, QUARANTINE_REQUEST };

  switch (step->kind)
    {
    case END:
      break;
    case BREAKS_OFF:
      quarantine_suspect (q, &suspect, now_ms);
      break;
    case CRASH_SEEN:
      quarantine_server_crashed (q, step->number, now_ms);
      break;
    case COMPLETES:
      quarantine_completed (q, REQUEST, now_ms);
      break;
    case OTHERS_BREAK:
    case OTHERS_COMPLETE:
      apply_to_others (q, step, now_ms);
      break;
    }
}

static void
check_history (const struct history *h)
{
  struct quarantine *q = quarantine_create ();
  uint64_t now_ms = START_MS;

  for (const struct step *s = h->steps; s->kind != END; s++)
    {
      now_ms += s->after_ms;
      apply (q, s, now_ms);
    }
  CU_ASSERT_EQUAL (quarantine_contains (q, REQUEST, now_ms), h->refused);
  quarantine_destroy (q);
}

/* Guards against a busy node that forgets crashes because other requests
   complete. */
static void
test_others_complete (void)
{
  static const struct history h = { { { BREAKS_OFF, 1, 0 },
                                      { CRASH_SEEN, 1, 100 },
                                      { BREAKS_OFF, 2, 0 },
                                      { CRASH_SEEN, 2, 100 },
                                      { BREAKS_OFF, 3, 0 },
                                      { CRASH_SEEN, 3, 100 },
                                      { OTHERS_COMPLETE, 5000, 60000 } },
                                    true };

  check_history (&h);
}

/* Guards against a request that is never refused because it was completed
   once. */
static void
test_completed_once (void)
{
  static const struct history h = { { { COMPLETES, 0, 0 },
                                      { BREAKS_OFF, 1, 1500 },
                                      { CRASH_SEEN, 1, 100 },
                                      { BREAKS_OFF, 2, 1500 },
                                      { CRASH_SEEN, 2, 100 },
                                      { BREAKS_OFF, 3, 1500 },
                                      { CRASH_SEEN, 3, 100 } },
                                    true };

  check_history (&h);
}

/* Guards against a crash that is not counted because it becomes known only
   when the server is back. */
static void
test_noticed_late (void)
{
  static const struct history h = { { { BREAKS_OFF, 1, 0 },
                                      { CRASH_SEEN, 1, 4500 },
                                      { BREAKS_OFF, 2, 0 },
                                      { CRASH_SEEN, 2, 4500 },
                                      { BREAKS_OFF, 3, 0 },
                                      { CRASH_SEEN, 3, 4500 } },
                                    true };

  check_history (&h);
}

/* Guards against a crash that is not counted because the node learns of it
   before it reads the end of its own attempt. */
static void
test_noticed_early (void)
{
  static const struct history h = { { { CRASH_SEEN, 1, 0 },
                                      { BREAKS_OFF, 1, 900 },
                                      { CRASH_SEEN, 2, 100 },
                                      { BREAKS_OFF, 2, 900 },
                                      { CRASH_SEEN, 3, 100 },
                                      { BREAKS_OFF, 3, 900 } },
                                    true };

  check_history (&h);
}

/* Guards against a suspect that is displaced by other attempts, which break
   off by the hundred when servers crash. */
static void
test_others_break (void)
{
  static const struct history h = { { { BREAKS_OFF, 1, 0 },
                                      { OTHERS_BREAK, 400, 50 },
                                      { CRASH_SEEN, 1, 50 },
                                      { BREAKS_OFF, 2, 0 },
                                      { OTHERS_BREAK, 400, 50 },
                                      { CRASH_SEEN, 2, 50 },
                                      { BREAKS_OFF, 3, 0 },
                                      { OTHERS_BREAK, 400, 50 },
                                      { CRASH_SEEN, 3, 50 } },
                                    true };

  check_history (&h);
}

/* Guards against blaming a request for crashes that ended before it, or for
   two only. */
static void
test_not_refused (void)
{
  static const struct history histories[] = {
    /* The servers crash long after its attempts broke off. */
    { { { BREAKS_OFF, 1, 0 },
        { BREAKS_OFF, 2, 0 },
        { BREAKS_OFF, 3, 0 },
        { CRASH_SEEN, 1, 60000 },
        { CRASH_SEEN, 2, 0 },
        { CRASH_SEEN, 3, 0 } },
      false },
    /* Two crashes, one of them noticed twice. */
    { { { BREAKS_OFF, 1, 0 },
        { CRASH_SEEN, 1, 100 },
        { BREAKS_OFF, 1, 100 },
        { CRASH_SEEN, 1, 100 },
        { BREAKS_OFF, 2, 0 },
        { CRASH_SEEN, 2, 100 } },
      false },
    /* It was completed in between. */
    { { { BREAKS_OFF, 1, 0 },
        { CRASH_SEEN, 1, 100 },
        { BREAKS_OFF, 2, 0 },
        { CRASH_SEEN, 2, 100 },
        { COMPLETES, 0, 1000 },
        { BREAKS_OFF, 3, 1500 },
        { CRASH_SEEN, 3, 100 } },
      false },
  };

  for (size_t i = 0; i < sizeof histories / sizeof *histories; i++)
    check_history (&histories[i]);
}

/* Guards against refusing a sound request that ran on three servers when they
   crashed, and was completed by another one before the crashes were noticed.
 */
static void
test_completed_before_notice (void)
{
  static const struct history h = { { { BREAKS_OFF, 1, 0 },
                                      { BREAKS_OFF, 2, 0 },
                                      { BREAKS_OFF, 3, 0 },
                                      { COMPLETES, 0, 200 },
                                      { CRASH_SEEN, 1, 3000 },
                                      { CRASH_SEEN, 2, 1500 },
                                      { CRASH_SEEN, 3, 1500 } },
                                    false };

  check_history (&h);
}

/* ---- reports to other nodes ---- */

#define BYSTANDERS 100
#define LIST_MAX 32
#define LISTS_MAX 10

static uint32_t
count_listed (const struct crash_evidence *records, size_t count,
              uint64_t fingerprint)
{
  uint32_t n = 0;

  for (size_t i = 0; i < count; i++)
    n += records[i].crash.fingerprint == fingerprint;
  return n;
}

static void
add_bystanders (struct quarantine *q)
{
  for (uint64_t i = 1; i <= BYSTANDERS; i++)
    quarantine_add_crash (
        q, &(struct crash_record){ REQUEST + i, 1, 0, QUARANTINE_REQUEST },
        START_MS);
}

/* Guards against a report that has no room for the request that crashes
   servers, because many others ran beside it. */
static void
test_worst_listed_first (void)
{
  struct quarantine *q = quarantine_create ();
  struct crash_evidence listed[LIST_MAX];
  size_t n;

  add_bystanders (q);
  for (uint64_t server = 1; server <= 3; server++)
    quarantine_add_crash (
        q, &(struct crash_record){ REQUEST, server, 0, QUARANTINE_REQUEST },
        START_MS);
  n = quarantine_list (q, QUARANTINE_OWN, START_MS, listed, LIST_MAX);
  CU_ASSERT_EQUAL (count_listed (listed, n, REQUEST), 3);
  quarantine_destroy (q);
}

/* Guards against crashes that no report ever lists, because each one has room
   for the same requests. */
static void
test_listed_in_turn (void)
{
  struct quarantine *q = quarantine_create ();
  struct crash_evidence listed[LIST_MAX];
  uint32_t count[BYSTANDERS + 1] = { 0 };

  add_bystanders (q);
  for (int i = 0; i < LISTS_MAX; i++)
    {
      const size_t n
          = quarantine_list (q, QUARANTINE_OWN, START_MS, listed, LIST_MAX);

      for (size_t j = 0; j < n; j++)
        count[listed[j].crash.fingerprint - REQUEST]++;
    }
  for (int i = 1; i <= BYSTANDERS; i++)
    CU_ASSERT_TRUE (count[i] > 0);
  quarantine_destroy (q);
}

#define REPORT_INTERVAL_MS 250
#define AWAY_MS 20000
/* Nodes that were cut off count as in touch again after this time. */
#define CONTACT_MS 3000

/* Sends all that @from lists until @end_ms to @to, which may be NULL. */
static void
send_reports (struct quarantine *from, enum quarantine_scope scope,
              struct quarantine *to, uint64_t start_ms, uint64_t end_ms)
{
  struct crash_evidence listed[LIST_MAX];

  for (uint64_t now = start_ms; now < end_ms; now += REPORT_INTERVAL_MS)
    {
      const size_t n = quarantine_list (from, scope, now, listed, LIST_MAX);

      for (size_t i = 0; to && i < n; i++)
        quarantine_merge (to, &listed[i], now);
    }
}

static void
add_crashes (struct quarantine *q, uint64_t count)
{
  for (uint64_t server = 1; server <= count; server++)
    quarantine_add_crash (
        q, &(struct crash_record){ REQUEST, server, 0, QUARANTINE_REQUEST },
        START_MS);
}

/* Guards against crashes that a node or the holder never hears of, because it
   was cut off, stopped or not yet started when they were reported. */
static void
test_heard_late (void)
{
  static const enum quarantine_scope scopes[]
      = { QUARANTINE_OWN, QUARANTINE_ALL };

  for (size_t i = 0; i < sizeof scopes / sizeof *scopes; i++)
    {
      struct quarantine *from = quarantine_create ();
      struct quarantine *to = quarantine_create ();
      const uint64_t back_ms = START_MS + AWAY_MS;

      add_crashes (from, 3);
      send_reports (from, scopes[i], NULL, START_MS, back_ms);
      send_reports (from, scopes[i], to, back_ms, back_ms + CONTACT_MS);
      CU_ASSERT_TRUE (quarantine_contains (to, REQUEST, back_ms + CONTACT_MS));
      quarantine_destroy (from);
      quarantine_destroy (to);
    }
}

/* Guards against a frequent request that is refused because other nodes count
   the crashes beside it and never hear of its completions. */
static void
test_completion_shared (void)
{
  struct quarantine *a = quarantine_create ();
  struct quarantine *b = quarantine_create ();

  add_crashes (a, 2);
  send_reports (a, QUARANTINE_OWN, b, START_MS, START_MS + 1000);
  quarantine_completed (b, REQUEST, START_MS + 2000);
  send_reports (b, QUARANTINE_OWN, a, START_MS + 2000, START_MS + 3000);
  /* Repeated reports of the earlier crashes count no more. */
  send_reports (a, QUARANTINE_OWN, b, START_MS + 3000, START_MS + 9000);
  quarantine_add_crash (
      a, &(struct crash_record){ REQUEST, 3, 0, QUARANTINE_REQUEST },
      START_MS + 9000);
  quarantine_add_crash (
      b, &(struct crash_record){ REQUEST, 4, 0, QUARANTINE_REQUEST },
      START_MS + 11000);
  send_reports (a, QUARANTINE_OWN, b, START_MS + 11000, START_MS + 14000);
  send_reports (b, QUARANTINE_ALL, a, START_MS + 11000, START_MS + 14000);
  CU_ASSERT_FALSE (quarantine_contains (a, REQUEST, START_MS + 14000));
  CU_ASSERT_FALSE (quarantine_contains (b, REQUEST, START_MS + 14000));
  quarantine_destroy (a);
  quarantine_destroy (b);
}

/* Guards against refusing a request that this node has completed since the
   crashes that other nodes tell of. */
static void
test_completed_here (void)
{
  struct quarantine *a = quarantine_create ();
  struct quarantine *b = quarantine_create ();
  const uint64_t told_ms = START_MS + 1000;

  add_crashes (a, 3);
  quarantine_completed (b, REQUEST, START_MS + 500);
  send_reports (a, QUARANTINE_OWN, b, told_ms, told_ms + 1000);
  CU_ASSERT_FALSE (quarantine_contains (b, REQUEST, told_ms + 1000));
  /* The other node learns of the completion. */
  send_reports (b, QUARANTINE_ALL, a, told_ms + 1000, told_ms + 2000);
  CU_ASSERT_FALSE (quarantine_contains (a, REQUEST, told_ms + 2000));
  quarantine_destroy (a);
  quarantine_destroy (b);
}

static const struct suite_case cases[] = {
  { "others complete", test_others_complete },
  { "completed once", test_completed_once },
  { "noticed late", test_noticed_late },
  { "noticed early", test_noticed_early },
  { "others break off", test_others_break },
  { "not refused", test_not_refused },
  { "completed before notice", test_completed_before_notice },
  { "worst listed first", test_worst_listed_first },
  { "listed in turn", test_listed_in_turn },
  { "heard late", test_heard_late },
  { "completion shared", test_completion_shared },
  { "completed here", test_completed_here },
};
TEST_SUITE ("quarantine", cases)
