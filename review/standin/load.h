#pragma once

#include "harness.h"

/* Clients on kept connections that send requests which may not be repeated,
   and the check of the rule LOST. */

/** load_configuration() - the configuration of the cases with this load: a
 * plain service "counter", and a model service "parlor" with one model "m1" of
 * one adapter. Its names are those of the site perchgate. */
extern const char load_configuration[];

/** load_servers() - start and register the servers of "counter". */
void load_servers (void);
/** load_start() - start @clients clients of a node. A client goes on at once
 * after an answer and opens a new connection after its old one has ended. */
void load_start (struct node *node, int clients);
void load_stop (void);

struct load_result
{
  int sent;
  int answered;
  int refused;      /* 503 or 429 */
  int lost;         /* as LOST counts them */
  int lost_sends;   /* connections closed before a server had the request */
  int unreachable;  /* no connection to the node */
};

/** load_count() - the counts so far. Lost is a request of a connection with an
 * earlier answer that a server ran and whose connection was closed without an
 * answer. */
struct load_result load_count (void);
