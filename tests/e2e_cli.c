#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "cluster.h"
#include "str.h"
#include "suite.h"

#define OUTPUT_BYTES 8192
#define VALID_FLAGS                                                           \
  "--bus-addr 127.0.0.1:1 --http-addr 127.0.0.1:2 --region r --domain d "     \
  "--store-url http://127.0.0.1:3 "

/* Runs a shell command and stores its standard output in @out; callers
   redirect standard error with 2>&1. Returns the exit code, or -1 if the
   command cannot be started or is killed by a signal. */
static int
run_command (const char *command, char out[OUTPUT_BYTES])
{
  FILE *f = popen (command, "r");
  size_t n = 0;

  if (!f)
    return -1;
  n = fread (out, 1, OUTPUT_BYTES - 1, f);
  out[n] = '\0';
  const int status = pclose (f);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Guards against an invalid setting that is accepted silently, and against an
   error message that lacks the flag, the value or the allowed values. */
static void
test_invalid_settings (void)
{
  static const struct
  {
    const char *args;
    const char *expected[3];
  } cases[] = {
    { "", { "--bus-addr", "GALENAGATE_BUS_ADDR", "required" } },
    { VALID_FLAGS "--bus-addr here",
      { "--bus-addr", "'here'", "127.0.0.1:7100" } },
    { VALID_FLAGS "--store-url ftp://x",
      { "--store-url", "'ftp://x'", "http://" } },
    { VALID_FLAGS "--lease-ttl-ms 10",
      { "--lease-ttl-ms", "'10'", "500 to 60000" } },
    { VALID_FLAGS "--claim-partitions x",
      { "--claim-partitions", "'x'", "1 to 64" } },
    { VALID_FLAGS "--admin-addr there",
      { "--admin-addr", "'there'", "7100" } },
    { VALID_FLAGS "--log-level loud", { "--log-level", "'loud'", "debug" } },
    { VALID_FLAGS "--lease-ttl-ms 1000 --lease-margin-ms 900",
      { "--lease-margin-ms", "'900'", "half" } },
    { VALID_FLAGS "--no-such-flag", { "--no-such-flag", "", "" } },
  };
  char out[OUTPUT_BYTES];
  char program[300];
  char command[1024];

  cluster_program (program, sizeof program, "galenagate");
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      snprintf (command, sizeof command, "%s node %s 2>&1", program,
                cases[i].args);
      CU_ASSERT_EQUAL (run_command (command, out), 2);
      for (size_t j = 0; j < 3; j++)
        CU_ASSERT_PTR_NOT_NULL (strstr (out, cases[i].expected[j]));
    }
}

/* Guards against an abort at startup when an address is in use: a plug-in that
   was never started must not be stopped. */
static void
test_address_in_use (void)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  char out[OUTPUT_BYTES];
  char program[300];
  char command[1024];

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  CU_ASSERT_EQUAL (listen (fd, 1), 0);
  CU_ASSERT_EQUAL (getsockname (fd, (struct sockaddr *)&addr, &len), 0);
  cluster_program (program, sizeof program, "galenagate");
  snprintf (command, sizeof command,
            "%s node --bus-addr 127.0.0.1:%u --http-addr "
            "127.0.0.1:2 --region r --domain d --store-url http://127.0.0.1:3 "
            "2>&1",
            program, ntohs (addr.sin_port));
  CU_ASSERT_EQUAL (run_command (command, out), 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (out, "Address already in use"));
  close (fd);
}

static const struct suite_case cases[] = {
  { "invalid settings", test_invalid_settings },
  { "address in use", test_address_in_use },
};
TEST_SUITE ("cli", cases)
