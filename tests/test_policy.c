#include "policy.h"

#include "suite.h"

#define SECOND_MS 1000ULL
#define MINUTE_MS (60 * SECOND_MS)
#define START_MS (1000 * MINUTE_MS)
#define LOAD_MS 9000
#define COUNT(a) (sizeof (a) / sizeof *(a))

static const struct replica_key load_key
    = { .model = STR ("w"), .version = STR ("1") };

static struct replica_key
key (struct str model)
{
  return (struct replica_key){ .model = model, .version = STR ("1") };
}

/* Guards against a load on a server without the cached copy, in the failure
   domain of another replica, on an unusable server or without enough memory.
 */
static void
test_choose (void)
{
  static const struct
  {
    const char *name;
    struct policy_server servers[3];
    int chosen; /* -1: none */
  } cases[] = {
    { "nearest copy",
      { { STR ("a"), STR ("x"), 100, 0, CACHE_REMOTE, true, false },
        { STR ("b"), STR ("y"), 100, 50, CACHE_MEMORY, true, false },
        { STR ("c"), STR ("z"), 100, 0, CACHE_DISK, true, false } },
      1 },
    { "other failure domain",
      { { STR ("a"), STR ("x"), 100, 0, CACHE_REMOTE, true, true },
        { STR ("b"), STR ("x"), 100, 0, CACHE_REMOTE, true, false },
        { STR ("c"), STR ("y"), 100, 40, CACHE_REMOTE, true, false } },
      2 },
    { "most free memory",
      { { STR ("a"), STR ("x"), 100, 40, CACHE_REMOTE, true, false },
        { STR ("b"), STR ("x"), 100, 10, CACHE_REMOTE, true, false },
        { STR ("c"), STR ("y"), 100, 20, CACHE_REMOTE, true, false } },
      1 },
    { "unusable, full or too small",
      { { STR ("a"), STR ("x"), 100, 0, CACHE_MEMORY, false, false },
        { STR ("b"), STR ("x"), 100, 51, CACHE_REMOTE, true, false },
        { STR ("c"), STR ("y"), 49, 0, CACHE_REMOTE, true, false } },
      -1 },
  };
  struct policy *p = policy_create (PREFER_COLD_START);

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      const struct policy_view view
          = { .servers = cases[i].servers, .server_count = 3 };
      const struct policy_load_request request
          = { .key = load_key, .bytes = 50, .load_ms = LOAD_MS };
      struct policy_choice c = { 0 };
      const bool found = p->ops->choose (p, &view, &request, START_MS, &c);

      CU_ASSERT_EQUAL (found ? (int)c.server : -1, cases[i].chosen);
    }
  p->ops->destroy (p);
}

static void
report_usage (struct policy *p, const struct replica_key *k,
              uint32_t in_flight, uint64_t now)
{
  const struct policy_usage use = { .key = *k,
                                    .in_flight = in_flight,
                                    .requests = in_flight,
                                    .slots = 4,
                                    .load_ms = LOAD_MS };

  p->ops->add_usage_report (p, &use, now);
}

/* Guards against the eviction of a pinned replica, and of one that is likely
   to be used sooner than another. */
static void
test_evict (void)
{
  struct policy *p = policy_create (PREFER_COLD_START);
  const struct policy_server server = { .addr = STR ("a"),
                                        .memory_bytes = 100,
                                        .used_bytes = 90,
                                        .usable = true,
                                        .cache = CACHE_REMOTE };
  struct policy_replica replicas[3] = {
    { .key = key (STR ("pinned")),
      .bytes = 30,
      .load_ms = LOAD_MS,
      .pinned = true },
    { .key = key (STR ("recent")), .bytes = 30, .load_ms = LOAD_MS },
    { .key = key (STR ("old")), .bytes = 30, .load_ms = LOAD_MS },
  };
  const struct policy_view view = { .servers = &server,
                                    .server_count = 1,
                                    .replicas = replicas,
                                    .replica_count = 3 };
  struct policy_load_request request
      = { .key = load_key, .bytes = 40, .load_ms = LOAD_MS };
  struct policy_choice c;

  report_usage (p, &replicas[2].key, 1, START_MS);
  report_usage (p, &replicas[2].key, 0, START_MS);
  report_usage (p, &replicas[1].key, 1, START_MS + 5 * MINUTE_MS);
  report_usage (p, &replicas[1].key, 0, START_MS + 5 * MINUTE_MS);
  const uint64_t now = START_MS + 6 * MINUTE_MS;
  CU_ASSERT (p->ops->choose (p, &view, &request, now, &c));
  CU_ASSERT (c.evict_count == 1 && c.evict[0] == 2);
  request.bytes = 70;
  CU_ASSERT (p->ops->choose (p, &view, &request, now, &c));
  CU_ASSERT_EQUAL (c.evict_count, 2);
  request.bytes = 71;
  CU_ASSERT_FALSE (p->ops->choose (p, &view, &request, now, &c));
  p->ops->destroy (p);
}

struct cost
{
  uint64_t idle_ms; /* time loaded without use */
  unsigned cold;    /* uses while the model was not loaded */
};

/* Uses one model for a second after each of the gaps, and queries and obeys
   the policy every second during the gaps, as the placement task does.
   Destroys the policy. */
static struct cost
run_uses (struct policy *p, const uint64_t *gaps_ms, size_t n)
{
  const struct replica_key k = key (STR ("m"));
  struct cost o = { 0 };
  uint64_t now = START_MS;
  bool loaded = false;
  const char *reason;

  for (size_t i = 0; i < n; i++)
    {
      for (const uint64_t end = now + gaps_ms[i]; now < end; now += SECOND_MS)
        {
          loaded = p->ops->desired_replicas (p, &k, loaded, now, &reason) > 0;
          o.idle_ms += loaded ? SECOND_MS : 0;
        }
      o.cold += !loaded;
      loaded = true;
      report_usage (p, &k, 1, now);
      now += SECOND_MS;
      report_usage (p, &k, 0, now);
    }
  p->ops->destroy (p);
  return o;
}

/* Guards against a keep-alive that ignores a model's own idle times or the
   service's preference. */
static void
test_keep_alive (void)
{
  uint64_t bursts[80];
  uint64_t hourly[40];

  /* Bursts of four uses half a minute apart, every 40 minutes. */
  for (size_t i = 0; i < COUNT (bursts); i++)
    bursts[i] = i % 4 == 0 ? 40 * MINUTE_MS : 30 * SECOND_MS;
  for (size_t i = 0; i < COUNT (hourly); i++)
    hourly[i] = 60 * MINUTE_MS;

  const struct cost cold_start
      = run_uses (policy_create (PREFER_COLD_START), bursts, COUNT (bursts));
  const struct cost idle_hours
      = run_uses (policy_create (PREFER_IDLE_HOURS), bursts, COUNT (bursts));
  const struct cost naive
      = run_uses (policy_create_naive (5 * MINUTE_MS), bursts, COUNT (bursts));
  CU_ASSERT (idle_hours.idle_ms <= cold_start.idle_ms);
  CU_ASSERT (cold_start.cold <= idle_hours.cold);
  /* No more cold starts than the naive policy, for less idle time. */
  CU_ASSERT (idle_hours.cold <= naive.cold);
  CU_ASSERT (idle_hours.idle_ms < naive.idle_ms);

  /* With regular use, the policy loads the model ahead of demand. */
  const struct cost regular
      = run_uses (policy_create (PREFER_COLD_START), hourly, COUNT (hourly));
  const struct cost naive_regular
      = run_uses (policy_create_naive (5 * MINUTE_MS), hourly, COUNT (hourly));
  CU_ASSERT_EQUAL (naive_regular.cold, COUNT (hourly));
  CU_ASSERT (regular.cold < COUNT (hourly) / 2);
}

/* Guards against surplus replicas that stay loaded after a peak, and against
   fewer replicas than the requests in flight need. */
static void
test_surplus (void)
{
  struct policy *p = policy_create (PREFER_COLD_START);
  const struct replica_key k = key (STR ("m"));
  const char *reason;

  report_usage (p, &k, 12, START_MS);
  CU_ASSERT_EQUAL (p->ops->desired_replicas (p, &k, 3, START_MS, &reason), 3);
  report_usage (p, &k, 5, START_MS + MINUTE_MS);
  report_usage (p, &k, 5, START_MS + 2 * MINUTE_MS);
  CU_ASSERT_EQUAL (
      p->ops->desired_replicas (p, &k, 3, START_MS + 2 * MINUTE_MS, &reason),
      2);
  p->ops->destroy (p);
}

/* Guards against a load that has to wait for a less urgent one. */
static void
test_order (void)
{
  static const struct policy_load_request sorted[] = {
    { .priority = 9, .deadline_ms = 50, .requested_ms = 3 },
    { .priority = 9, .deadline_ms = 60, .requested_ms = 1 },
    { .priority = 9, .deadline_ms = 60, .requested_ms = 2 },
    { .priority = 1, .deadline_ms = 10, .requested_ms = 0 },
  };
  struct policy *p = policy_create (PREFER_COLD_START);
  struct policy *naive = policy_create_naive (MINUTE_MS);

  for (size_t i = 0; i < COUNT (sorted); i++)
    for (size_t j = 0; j < COUNT (sorted); j++)
      {
        CU_ASSERT_EQUAL (p->ops->load_before (&sorted[i], &sorted[j]), i < j);
        CU_ASSERT_EQUAL (naive->ops->load_before (&sorted[i], &sorted[j]),
                         sorted[i].requested_ms < sorted[j].requested_ms);
      }
  p->ops->destroy (p);
  naive->ops->destroy (naive);
}

/* Guards against staging loads that compete with demand, need an eviction, put
   both copies into one failure domain, exceed max_replicas or repeat; against
   staged replicas that stay loaded; and against staging by the naive policy.
 */
static void
test_stage (void)
{
  enum
  {
    QUIET_MS = 10000,
    BYTES = 50
  };
  static const struct policy_demand quiet = { .last_request_ms = START_MS };
  static const struct policy_demand busy[]
      = { { .load_pending = true },
          { .last_request_ms = START_MS + 1 },
          { .last_request_ms = START_MS, .staging_active = true } };
  static const struct
  {
    const char *name;
    struct policy_server servers[2][3]; /* by model */
    uint32_t replicas; /* of the first model; max_replicas is 1 */
    int model;         /* -1: none */
    size_t server;
  } cases[] = {
    { "slowest model without copies; copies on a lost server do not count",
      { { { STR ("a"), STR ("x"), 100, 0, CACHE_REMOTE, true, false },
          { STR ("b"), STR ("y"), 100, 0, CACHE_REMOTE, true, false },
          { STR ("c"), STR ("z"), 100, 0, CACHE_DISK, false, false } },
        { { STR ("a"), STR ("x"), 100, 0, CACHE_DISK, true, false },
          { STR ("b"), STR ("y"), 100, 0, CACHE_REMOTE, true, false },
          { STR ("c"), STR ("z"), 100, 0, CACHE_REMOTE, false, false } } },
      0,
      0,
      1 },
    { "copies in two failure domains, or in the only one",
      { { { STR ("a"), STR ("x"), 100, 0, CACHE_DISK, true, false },
          { STR ("b"), STR ("y"), 100, 0, CACHE_REMOTE, true, true },
          { STR ("c"), STR ("z"), 100, 0, CACHE_REMOTE, true, false } },
        { { STR ("a"), STR ("x"), 100, 0, CACHE_REMOTE, true, false },
          { STR ("b"), STR ("x"), 100, 51, CACHE_REMOTE, true, false },
          { STR ("c"), STR ("x"), 100, 50, CACHE_DISK, true, false } } },
      0,
      -1,
      0 },
    { "max_replicas reached; no memory",
      { { { STR ("a"), STR ("x"), 100, 0, CACHE_REMOTE, true, true },
          { STR ("b"), STR ("y"), 100, 0, CACHE_REMOTE, true, false },
          { STR ("c"), STR ("z"), 100, 0, CACHE_REMOTE, true, false } },
        { { STR ("a"), STR ("x"), 100, 51, CACHE_REMOTE, true, false },
          { STR ("b"), STR ("y"), 100, 51, CACHE_REMOTE, true, false },
          { STR ("c"), STR ("z"), 49, 0, CACHE_REMOTE, true, false } } },
      1,
      -1,
      0 },
  };
  struct policy *naive = policy_create_naive (MINUTE_MS);

  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct policy *p = policy_create (PREFER_IDLE_HOURS);
      const uint64_t now = START_MS + QUIET_MS;
      const struct policy_demand staged
          = { .staging_active = true, .staging_done = true };
      struct policy_stage_candidate models[2] = {
        { .load_request = { .key = key (STR ("slow")), .load_ms = LOAD_MS } },
        { .load_request
          = { .key = key (STR ("fast")), .load_ms = LOAD_MS / 2 } },
      };
      size_t model = 9;
      size_t server = 9;

      for (size_t j = 0; j < 2; j++)
        {
          models[j].load_request.bytes = BYTES;
          models[j].max_replicas = 1;
          models[j].servers = cases[i].servers[j];
        }
      models[0].replicas = cases[i].replicas;
      for (size_t j = 0; j < COUNT (busy); j++)
        CU_ASSERT_EQUAL (p->ops->stage_action (p, models, 2, 3, &busy[j], now,
                                               &model, &server),
                         STAGE_NOTHING);
      CU_ASSERT_EQUAL (naive->ops->stage_action (naive, models, 2, 3, &quiet,
                                                 now, &model, &server),
                       STAGE_NOTHING);
      const enum policy_stage_action step = p->ops->stage_action (
          p, models, 2, 3, &quiet, now, &model, &server);
      CU_ASSERT_EQUAL (step, cases[i].model < 0 ? STAGE_NOTHING : STAGE_LOAD);
      if (step == STAGE_LOAD)
        {
          CU_ASSERT_EQUAL (model, (size_t)cases[i].model);
          CU_ASSERT_EQUAL (server, cases[i].server);
        }
      CU_ASSERT_EQUAL (p->ops->stage_action (p, models, 2, 3, &staged, now,
                                             &model, &server),
                       STAGE_UNLOAD);
      p->ops->destroy (p);
    }
  naive->ops->destroy (naive);
}

/* Guards against granting more loads than the weight store serves at full
   speed. */
static void
test_budget (void)
{
  struct budget *b = budget_create (3000, START_MS);
  uint64_t now = START_MS;
  uint32_t retry;
  uint32_t granted = 0;

  budget_limits (b, 5, 4);
  CU_ASSERT_EQUAL (
      budget_take (b, STR ("s"), BUDGET_MODEL, 1, 9000, now, &retry), 0);
  CU_ASSERT (retry > 0);
  for (now += 3000; now < START_MS + 4000; now += 50)
    granted += budget_take (b, STR ("s"), BUDGET_MODEL, 1, 9000, now, &retry);
  CU_ASSERT_EQUAL (granted, 4);
  CU_ASSERT_EQUAL (
      budget_take (b, STR ("s"), BUDGET_ADAPTER, 40, 100, now, &retry), 32);
  budget_release (b, STR ("other"), BUDGET_MODEL, 1);
  CU_ASSERT_EQUAL (
      budget_take (b, STR ("s"), BUDGET_MODEL, 1, 9000, now, &retry), 0);
  budget_release (b, STR ("s"), BUDGET_MODEL, 1);
  CU_ASSERT_EQUAL (
      budget_take (b, STR ("s"), BUDGET_MODEL, 2, 9000, now, &retry), 1);
  /* Slots are free again after their hold time; the rate of the store still
     limits how many are granted at once. */
  CU_ASSERT_EQUAL (
      budget_take (b, STR ("s"), BUDGET_MODEL, 4, 9000, now + 20000, &retry),
      1);
  CU_ASSERT_EQUAL (retry, 200);
  budget_destroy (b);
}

static const struct suite_case cases[] = {
  { "choice of a server", test_choose },
  { "evictions", test_evict },
  { "keep-alive and pre-warming", test_keep_alive },
  { "surplus replicas", test_surplus },
  { "order of loads", test_order },
  { "staging", test_stage },
  { "load budget", test_budget },
};
TEST_SUITE ("policy", cases)
