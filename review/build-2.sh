#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -o review/bin/standin-2 \
    review/standin-2/main.c -levent -ljansson
