#include "log.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "logbudget.h"

#include "suite.h"

#define LOG_MODULE "test"

/* Offers @count lines at time @now. Returns how many the budget accepts. */
static unsigned
offer_lines (struct log_budget *b, unsigned count, bool important,
             uint64_t now)
{
  unsigned n = 0;

  for (unsigned i = 0; i < count; i++)
    n += log_budget_take (b, important, now);
  return n;
}

/* Guards against an unbounded number of log lines under load, errors that are
   lost in a burst of other lines, and a budget that does not refill. */
static void
test_budget (void)
{
  struct log_budget b = { 0 };
  const unsigned burst = offer_lines (&b, 100000, false, 1000);

  CU_ASSERT_TRUE (burst > 100 && burst < 5000);
  CU_ASSERT_EQUAL (offer_lines (&b, 1, false, 1000), 0);
  CU_ASSERT_EQUAL (offer_lines (&b, 10, true, 1000), 10);
  CU_ASSERT_EQUAL (log_budget_take_dropped (&b), 100000 - burst + 1);
  CU_ASSERT_EQUAL (log_budget_take_dropped (&b), 0);
  const unsigned second = offer_lines (&b, 100000, false, 2000);
  CU_ASSERT_TRUE (second > 0 && second <= burst);
  CU_ASSERT_TRUE (offer_lines (&b, 100000, false, 60000) >= burst);
}

/* Logs lines to a pipe without a reader. Returns an exit code. */
static int
write_to_unread_pipe (void)
{
  int fds[2];

  if (pipe (fds) != 0 || dup2 (fds[1], STDOUT_FILENO) < 0)
    return 2;
  if (log_start_stdout (LOG_LEVEL_INFO, "node") != 0)
    return 3;
  for (int i = 0; i < 20000; i++)
    LOG_INFO ("line", "number=%d text=\"%0200d\"", i, i);
  return log_dropped () > 0 ? 0 : 4;
}

/* Guards against a node that blocks because the reader of its log has
   stopped. */
static void
test_reader_stops (void)
{
  const pid_t child = fork ();
  int status = -1;

  if (child == 0)
    {
      /* Kills the child if it blocks. */
      alarm (20);
      _exit (write_to_unread_pipe ());
    }
  CU_ASSERT_TRUE_FATAL (child > 0);
  CU_ASSERT_EQUAL (waitpid (child, &status, 0), child);
  CU_ASSERT_TRUE (WIFEXITED (status));
  CU_ASSERT_EQUAL (WEXITSTATUS (status), 0);
}

static const struct suite_case cases[]
    = { { "budget", test_budget }, { "reader stops", test_reader_stops } };
TEST_SUITE ("log", cases)
