/** @file Fuzzes the input of the server for callers. */
#ifndef HTTP_FUZZ_H
#define HTTP_FUZZ_H

#include <stdint.h>

/** Sends @p cases mutated requests over loopback; @return broken properties. */
int fuzz_http(uint32_t seed, int cases);

#endif
