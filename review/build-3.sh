#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, the project's
# own store among them, into target/.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 BUILD=target target/standin_objects
out=target/review-3
mkdir -p "$out"
flags="-O1 -g -std=gnu11 -Wall -Wextra -pthread"
dir=review/standin-3
cc $flags "$dir/server.c" -o "$out/server"
for source in "$dir"/case*.c; do
  name=$(basename "$source" .c)
  cc $flags "$source" "$dir/kit.c" "$dir/client.c" "$dir/proxy.c" \
    -o "$out/$name"
done
