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
#define GOOD                                                                  \
  "--bus-addr 127.0.0.1:1 --http-addr 127.0.0.1:2 --region r --domain d "     \
  "--store-url http://127.0.0.1:3 "

/* Runs a command; returns its exit code and both its outputs. */
static int
run (const char *command, char out[OUTPUT_BYTES])
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

/* Guards against a bad setting that is taken silently, or an error that does
   not name the flag, the value and what is allowed. */
static void
test_bad_settings (void)
{
  static const struct
  {
    const char *args;
    const char *text[3];
  } cases[] = {
    { "", { "--bus-addr", "GALENAGATE_BUS_ADDR", "required" } },
    { GOOD "--bus-addr here", { "--bus-addr", "'here'", "127.0.0.1:7100" } },
    { GOOD "--store-url ftp://x", { "--store-url", "'ftp://x'", "http://" } },
    { GOOD "--lease-ttl-ms 10", { "--lease-ttl-ms", "'10'", "500 to 60000" } },
    { GOOD "--claim-partitions x",
      { "--claim-partitions", "'x'", "1 to 64" } },
    { GOOD "--admin-addr there", { "--admin-addr", "'there'", "7100" } },
    { GOOD "--log-level loud", { "--log-level", "'loud'", "debug" } },
    { GOOD "--lease-ttl-ms 1000 --lease-margin-ms 900",
      { "--lease-margin-ms", "'900'", "half" } },
    { GOOD "--no-such-flag", { "--no-such-flag", "", "" } },
  };
  char out[OUTPUT_BYTES];
  char program[300];
  char command[1024];

  cluster_program (program, sizeof program, "galenagate");
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      snprintf (command, sizeof command, "%s node %s 2>&1", program,
                cases[i].args);
      CU_ASSERT_EQUAL (run (command, out), 2);
      for (size_t j = 0; j < 3; j++)
        CU_ASSERT_PTR_NOT_NULL (strstr (out, cases[i].text[j]));
    }
}

/* Guards against an abort when an address is taken: a plug-in that was not
   started must not be stopped. */
static void
test_address_taken (void)
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
  CU_ASSERT_EQUAL (run (command, out), 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (out, "Address already in use"));
  close (fd);
}

static const struct suite_case cases[] = {
  { "bad settings", test_bad_settings },
  { "address taken", test_address_taken },
};
TEST_SUITE ("cli", cases)
