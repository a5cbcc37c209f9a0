#!/bin/sh
# Builds the stand-ins of the second review's cases into target/review-2/.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
make -s -j8 BUILD=target target/standin_objects
for source in review/standin-2/case*.c; do
  gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
    -o "$out/$(basename "$source" .c)" "$source" review/standin-2/kit.c \
    -lpthread
done
