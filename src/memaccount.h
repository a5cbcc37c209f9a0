#pragma once

#include <stdbool.h>
#include <stddef.h>

/* Account of the memory that is held for clients, with a budget. It only
   counts; whoever charges it calls memaccount_enforce() to evict holders while
   it is over budget. Each change costs time logarithmic in the number of
   holders. */

/* What a holder's memory is for. */
enum memclass
{
  MEM_WHOLE,      /* a request that is executed: never evicted */
  MEM_READING,    /* a response to a client that reads */
  MEM_STALLED,    /* a response to a client that has stopped reading */
  MEM_UNFINISHED, /* a request that is still arriving */
};
#define MEM_CLASS_COUNT 4

/**
 * struct memholder - holder of memory; part of the struct that it belongs to.
 * Zero-initialize it.
 * @evict: frees the memory and releases the holder. Set by the owner.
 */
struct memholder
{
  enum memclass class;
  size_t bytes;
  size_t place; /* in the heap, from 1; 0 if it isn't there */
  void (*evict) (struct memholder *holder);
};

struct memaccount;

struct memaccount *memaccount_create (size_t budget_bytes);
void memaccount_destroy (struct memaccount *account);
/** memaccount_clients() - the account of this process. It has no limit until
 * memaccount_set_budget(). */
struct memaccount *memaccount_clients (void);
void memaccount_set_budget (struct memaccount *account, size_t bytes);
size_t memaccount_budget (const struct memaccount *account);
/** memaccount_charge() - replace what a holder holds. */
void memaccount_charge (struct memaccount *account, struct memholder *holder,
                        enum memclass class, size_t bytes);
/** memaccount_release() - the holder holds nothing any more. */
void memaccount_release (struct memaccount *account, struct memholder *holder);
size_t memaccount_total (const struct memaccount *account);
size_t memaccount_class_total (const struct memaccount *account,
                               enum memclass class);
/**
 * memaccount_first() - the holder to be evicted first; NULL if there is none.
 *
 * It is the one that holds most. A client that reads counts for a quarter of
 * what it holds, because it is about to free it.
 */
struct memholder *memaccount_first (const struct memaccount *account);
/** memaccount_enforce() - evict holders until the account is within
 * its budget or none is left. */
void memaccount_enforce (struct memaccount *account);
