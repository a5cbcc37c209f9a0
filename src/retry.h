#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry - budget of repeated attempts of one model. Pure.
 *
 * Each first attempt adds a tenth of a retry. A floor of one retry a second
 * (at most five are kept) lets rarely used models
 * repeat at all. Zero-initialise it with
 * retry_init().
 */
struct retry
{
  uint32_t thousandths;
  uint64_t floor_ms; /* time up to which the floor was added */
};

void retry_init (struct retry *retry, uint64_t now_ms);
/** retry_first() - account a first attempt. */
void retry_first (struct retry *retry, uint64_t now_ms);
/**
 * retry_refund() - an attempt is proved not to have run.
 *
 * Its repetition adds no load, so it does not take from the budget.
 */
void retry_refund (struct retry *retry);
/** retry_take() - may a repeated attempt be made. */
bool retry_take (struct retry *retry, uint64_t now_ms);
