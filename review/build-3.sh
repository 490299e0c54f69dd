#!/usr/bin/env bash
# Builds the stand-in of the scripts 11 to 15, into target/review-3/. The
# daemon itself is built by the command in deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o target/review-3/cellsim \
    review/standin-3/*.c -levent -ljansson -lcrypto
