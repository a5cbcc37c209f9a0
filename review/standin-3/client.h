#pragma once

/* A client of streams, which takes a broken stream up once, as the pages
   describe it. */

#include <stdbool.h>

#define EVENTS_MAX 400

struct stream
{
  char id[48];    /* of the first attempt */
  const char *path;
  char prefix[256]; /* parts of the prompt; empty for none */
  int front;      /* of the first attempt */
  int next_front; /* of the second one; 0 for none */
  long wait_ms;   /* before the second one */
  long gap_ms;    /* without an event, after which an attempt is given up */
  const char *model; /* NULL for none */
  int break_after; /* events after which the connection is reset; 0: never */
  const volatile bool *reset; /* the connection is reset once it is true */
  /* results */
  long sent_ms;   /* when the first attempt was sent */
  int events;              /* got, in order */
  char versions[4][16];    /* software versions of their servers */
  int version_count;
  bool complete;           /* ended with the last chunk */
  bool gap;                /* an event was missing, or came twice */
  int statuses[2];         /* of the attempts; 0: none */
  int events_of_first;     /* got by the first attempt */
};

/** streams_begin() - start the stream in a thread. */
void stream_begin (struct stream *s);
/** streams_wait() - wait for all streams that were started. */
void streams_wait (void);
