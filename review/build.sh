#!/usr/bin/env bash
# Builds the stand-in of the review's scripts, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o review/bin/standin \
    review/standin/main.c review/standin/runner.c \
    tests/cellstandin/store_sim.c src/base/xalloc.c \
    -levent -ljansson -lcrypto
