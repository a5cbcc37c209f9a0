#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, the project's
# own store among them, into build/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 build/standin_objects
mkdir -p build/review-3
flags="-O1 -g -std=gnu11 -Wall -Wextra -pthread"
dir=review/standin-3
cc $flags "$dir/server.c" -o build/review-3/server
for source in "$dir"/case*.c; do
  name=$(basename "$source" .c)
  cc $flags "$source" "$dir/kit.c" "$dir/client.c" "$dir/proxy.c" \
    -o "build/review-3/$name"
done
