#!/bin/sh
# Builds the stand-ins of the review's cases into review/build/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/build
make -s -j8 BUILD=target target/standin_objects
cp target/standin_objects review/build/standin_objects.new
mv -f review/build/standin_objects.new review/build/standin_objects
for source in review/standin/case*.c; do
  program=review/build/$(basename "$source" .c)
  gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE \
    -o "$program" "$source" review/standin/harness.c review/standin/load.c \
    -lpthread
done
