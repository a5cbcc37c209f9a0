#include "kit.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Clients that nobody controls speak HTTP/2 to the port for clients: they
   change the window while responses wait for it, and send data on streams that
   they have ended. The node's process ends by an assertion, with the requests
   of all its other clients. */

#define SERVERS 3
#define SOUND_CLIENTS 24
#define SOUND_GAP_MS 20
#define STRANGERS 16
#define RUN_MS 15000
#define RESTART_MS 1000
#define LOST_ALLOWED 3
#define FRAMES_MAX 40 /* of a connection */

enum frame_type
{
  FRAME_DATA = 0,
  FRAME_HEADERS = 1,
  FRAME_SETTINGS = 4,
};

#define FLAG_END_STREAM 0x1
#define FLAG_END_HEADERS 0x4
#define SETTING_INITIAL_WINDOW 4
#define DATA_BYTES 16000

static volatile bool running = true;
static int lost;
static int answered;

/* ---- the sound clients ---- */

static void *
run_sound (void *arg)
{
  const int index = (int)(intptr_t)arg;
  char text[512];
  char id[32];
  char runs[48];
  int fd = -1;
  bool kept = false;

  while (running)
    {
      if (fd < 0)
        {
          fd = dial (nodes[0].front);
          kept = false;
        }
      if (fd < 0)
        {
          usleep (50000);
          continue;
        }
      new_id (id);
      const int n
          = snprintf (text, sizeof text,
                      "POST /charge/%d HTTP/1.1\r\nHost: co.example\r\n"
                      "X-Galenagate-Attempt-Id: %s\r\n"
                      "X-Galenagate-Deadline-Ms: 600\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      index, id, strlen (id), id);
      record ("client sends %s kept=%d", id, kept);
      send_all (fd, text, (size_t)n);
      const struct answer a = read_answer (fd);
      record ("client gets %s status=%d", id, a.status);
      if (a.complete)
        __atomic_add_fetch (&answered, 1, __ATOMIC_RELAXED);
      snprintf (runs, sizeof runs, "runs %s ", id);
      if (kept && !a.complete && running && record_count ("server", runs) > 0)
        {
          __atomic_add_fetch (&lost, 1, __ATOMIC_RELAXED);
          record ("lost: %s, run by a server, no answer", id);
        }
      kept = true;
      if (!a.complete || a.close)
        {
          close (fd);
          fd = -1;
        }
      usleep (SOUND_GAP_MS * 1000);
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

/* ---- the strangers ---- */

static void
send_frame (int fd, enum frame_type type, int flags, uint32_t stream,
            const char *payload, size_t len)
{
  char frame[DATA_BYTES + 16];
  const uint32_t id = htonl (stream);

  frame[0] = (char)(len >> 16);
  frame[1] = (char)(len >> 8);
  frame[2] = (char)len;
  frame[3] = (char)type;
  frame[4] = (char)flags;
  memcpy (frame + 5, &id, sizeof id);
  memcpy (frame + 9, payload, len);
  send_all (fd, frame, 9 + len);
}

/* Appends a header field as a literal without indexing. */
static size_t
add_field (char *out, size_t at, const char *name, const char *value)
{
  out[at++] = 0;
  out[at++] = (char)strlen (name);
  memcpy (out + at, name, strlen (name));
  at += strlen (name);
  out[at++] = (char)strlen (value);
  memcpy (out + at, value, strlen (value));
  return at + strlen (value);
}

static void
send_request (int fd, uint32_t stream, bool end)
{
  char block[512];
  char id[32];
  size_t n = 0;

  new_id (id);
  n = add_field (block, n, ":method", "POST");
  n = add_field (block, n, ":scheme", "http");
  n = add_field (block, n, ":authority", "co.example");
  n = add_field (block, n, ":path", "/charge/h2");
  n = add_field (block, n, "x-galenagate-attempt-id", id);
  n = add_field (block, n, "x-galenagate-deadline-ms", "600");
  send_frame (fd, FRAME_HEADERS,
              FLAG_END_HEADERS | (end ? FLAG_END_STREAM : 0), stream, block,
              n);
}

static void
send_window (int fd, uint32_t bytes)
{
  const uint32_t value = htonl (bytes);
  char setting[6] = { 0, SETTING_INITIAL_WINDOW };

  memcpy (setting + 2, &value, sizeof value);
  send_frame (fd, FRAME_SETTINGS, 0, 0, setting, sizeof setting);
}

static void
discard_input (int fd)
{
  char part[4096];

  while (recv (fd, part, sizeof part, MSG_DONTWAIT) > 0)
    ;
}

static void
run_connection (int fd, unsigned *seed)
{
  static const uint32_t windows[] = { 0, 10, 65535 };
  static const char preface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  static const char data[DATA_BYTES];
  uint32_t next = 1;

  send_all (fd, preface, sizeof preface - 1);
  send_frame (fd, FRAME_SETTINGS, 0, 0, "", 0);
  for (int i = 0; i < FRAMES_MAX && running; i++)
    {
      const uint32_t opened = next / 2;

      switch (rand_r (seed) % 4)
        {
        case 0:
          send_request (fd, next, rand_r (seed) % 5 > 1);
          next += 2;
          break;
        case 1:
          if (opened > 0)
            send_frame (fd, FRAME_DATA,
                        rand_r (seed) % 2 ? FLAG_END_STREAM : 0,
                        1 + 2 * ((uint32_t)rand_r (seed) % opened), data,
                        rand_r (seed) % 3 ? sizeof data : 0);
          break;
        case 2:
          send_window (fd, windows[rand_r (seed) % 3]);
          break;
        default:
          usleep ((useconds_t)(rand_r (seed) % 30000));
          break;
        }
      discard_input (fd);
    }
}

static void *
run_stranger (void *arg)
{
  unsigned seed = (unsigned)(intptr_t)arg;

  while (running)
    {
      const int fd = dial (nodes[0].front);

      if (fd < 0)
        {
          usleep (50000);
          continue;
        }
      run_connection (fd, &seed);
      close (fd);
    }
  return NULL;
}

/* ---- the run ---- */

int
main (void)
{
  struct server servers[SERVERS];
  pthread_t sound[SOUND_CLIENTS];
  pthread_t strangers[STRANGERS];
  int ends = 0;

  start_record (getenv ("RECORD"));
  start_deployment ();
  for (int i = 0; i < SERVERS; i++)
    start_server (&servers[i], i + 1, false);
  await_nodes ();
  for (int i = 0; i < SOUND_CLIENTS; i++)
    pthread_create (&sound[i], NULL, run_sound, (void *)(intptr_t)i);
  usleep (2000000);
  for (int i = 0; trouble () && i < STRANGERS; i++)
    pthread_create (&strangers[i], NULL, run_stranger,
                    (void *)(intptr_t)(i + 1));
  const int64_t end = now_ms () + RUN_MS;
  while (now_ms () < end)
    {
      usleep (20000);
      if (!node_ended (0))
        continue;
      ends++;
      record ("node-1 ended by itself");
      usleep (RESTART_MS * 1000);
      restart_node (0);
    }
  running = false;
  for (int i = 0; trouble () && i < STRANGERS; i++)
    pthread_join (strangers[i], NULL);
  for (int i = 0; i < SOUND_CLIENTS; i++)
    pthread_join (sound[i], NULL);
  record ("answered=%d lost=%d ends=%d", answered, lost, ends);
  printf ("answered=%d lost=%d ends=%d\n", answered, lost, ends);
  stop_all ();
  if (answered == 0)
    return 2;
  return lost > LOST_ALLOWED ? 1 : 0;
}
