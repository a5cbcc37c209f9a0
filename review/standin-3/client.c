#define _GNU_SOURCE
#include "client.h"
#include "kit.h"

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DEADLINE_MS 20000
#define THREADS_MAX 4096

static pthread_t threads[THREADS_MAX];
static int thread_count;

static void
add_version (struct stream *s, const char *name, size_t len)
{
  for (int i = 0; i < s->version_count; i++)
    if (strlen (s->versions[i]) == len
        && strncmp (s->versions[i], name, len) == 0)
      return;
  if (s->version_count < 4)
    snprintf (s->versions[s->version_count++], sizeof s->versions[0], "%.*s",
              (int)len, name);
}

/* Takes the whole events that @text begins with. Returns their length. */
static size_t
take_events (struct stream *s, const char *text)
{
  const char *at = text;
  const char *end;

  while ((end = strstr (at, "\n\n")))
    {
      const char *id = strstr (at, "id: ");
      const char *data = strstr (at, "data: ");

      if (id && data && id < end && data < end)
        {
          s->gap = s->gap || atoi (id + 4) != s->events + 1;
          s->events++;
          add_version (s, data + 6, strcspn (data + 6, " \n"));
        }
      at = end + 2;
    }
  return (size_t)(at - text);
}

/* Decodes the whole chunks of @raw into @out. Returns the length used. */
static size_t
take_chunks (struct stream *s, const char *raw, size_t len, char *out)
{
  size_t at = 0;

  for (;;)
    {
      const char *line = memmem (raw + at, len - at, "\r\n", 2);
      if (!line)
        return at;
      const size_t size = strtoul (raw + at, NULL, 16);
      const size_t head = (size_t)(line + 2 - (raw + at));
      if (len - at < head + size + 2)
        return at;
      strncat (out, raw + at + head, size);
      at += head + size + 2;
      if (size == 0)
        {
          s->complete = true;
          return at;
        }
    }
}

static void
attempt (struct stream *s, int number)
{
  const long end = now_ms () + DEADLINE_MS;
  const int fd = connect_to (number == 0 ? s->front : s->next_front);
  char text[2048];
  char more[512] = "";
  size_t cap = 65536;
  char *raw = malloc (cap);
  char *plain = calloc (1, cap);
  size_t len = 0;
  bool head_done = false;
  bool chunked = false;

  if (number == 0)
    s->sent_ms = now_ms ();
  if (number > 0)
    snprintf (more, sizeof more, "Last-Event-Id: %d\r\nResumes: %s\r\n",
              s->events, s->id);
  if (s->model)
    snprintf (more + strlen (more), sizeof more - strlen (more),
              "X-Galenagate-Model: %s\r\n", s->model);
  if (s->prefix[0])
    snprintf (more + strlen (more), sizeof more - strlen (more),
              "X-Galenagate-Prompt-Prefix: %s\r\n", s->prefix);
  const int n = snprintf (text, sizeof text,
                          "POST %s HTTP/1.1\r\nHost: test.example\r\n"
                          "X-Galenagate-Attempt-Id: %s%s\r\n"
                          "X-Galenagate-Deadline-Ms: %d\r\n%s"
                          "Content-Length: %zu\r\n\r\n%s",
                          s->path, s->id, number > 0 ? "-2" : "", DEADLINE_MS,
                          more, strlen (s->id), s->id);
  rec ("stream %s attempt %d sent to front %d after event %d", s->id,
       number + 1, number == 0 ? s->front : s->next_front, s->events);
  if (fd >= 0 && send (fd, text, (size_t)n, MSG_NOSIGNAL) == n)
    while (!s->complete && now_ms () < end)
      {
        struct pollfd p = { fd, POLLIN, 0 };

        const long left_ms = end - now_ms ();

        if (poll (&p, 1,
                  (int)(s->gap_ms > 0 && s->gap_ms < left_ms ? s->gap_ms
                                                             : left_ms))
                <= 0
            || len + 1 >= cap)
          break;
        const ssize_t got = recv (fd, raw + len, cap - len - 1, 0);
        if (got <= 0)
          break;
        len += (size_t)got;
        raw[len] = '\0';
        if (!head_done)
          {
            char *body = strstr (raw, "\r\n\r\n");

            if (!body)
              continue;
            head_done = true;
            s->statuses[number] = atoi (raw + 9);
            const char *coding = strcasestr (raw, "transfer-encoding: chunked");
            chunked = coding && coding < body;
            len -= (size_t)(body + 4 - raw);
            memmove (raw, body + 4, len + 1);
          }
        if (s->statuses[number] != 200 || !chunked)
          break;
        const size_t used = take_chunks (s, raw, len, plain);
        len -= used;
        memmove (raw, raw + used, len + 1);
        const size_t taken = take_events (s, plain);
        memmove (plain, plain + taken, strlen (plain + taken) + 1);
        if (number == 0
            && ((s->break_after > 0 && s->events >= s->break_after)
                || (s->reset && *s->reset)))
          {
            const struct linger reset = { 1, 0 };

            setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            break;
          }
      }
  if (fd >= 0)
    close (fd);
  free (raw);
  free (plain);
  rec ("stream %s attempt %d ended: status %d, %d events so far, %s", s->id,
       number + 1, s->statuses[number], s->events,
       s->complete ? "complete" : "not complete");
}

static void *
run (void *ctx)
{
  struct stream *s = ctx;

  attempt (s, 0);
  s->events_of_first = s->events;
  if (s->complete || s->next_front == 0 || s->statuses[0] != 200)
    return NULL;
  if (s->wait_ms > 0)
    sleep_ms (s->wait_ms);
  attempt (s, 1);
  return NULL;
}

void
stream_begin (struct stream *s)
{
  if (thread_count == THREADS_MAX
      || pthread_create (&threads[thread_count], NULL, run, s) != 0)
    kit_fail ("thread");
  thread_count++;
}

void
streams_wait (void)
{
  while (thread_count > 0)
    pthread_join (threads[--thread_count], NULL);
}
