/**
 * @file Authentication of peers and operators by a shared key: an HMAC-SHA256
 * proves that the other side has the key.
 */
#ifndef PEER_AUTH_H
#define PEER_AUTH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEER_NONCE_LEN 16
#define PEER_MAC_LEN 32

/**
 * Computes what a host sends to prove that it has the key: the HMAC of both
 * nonces, of its role ("dialler" or "listener") and of its name.
 */
void peer_auth_mac(const char *key, const char *role,
    const uint8_t own[PEER_NONCE_LEN], const uint8_t other[PEER_NONCE_LEN],
    const char *host, uint8_t mac[PEER_MAC_LEN]);

#define AUTH_TEXT_LEN (2 * PEER_MAC_LEN + 1)
/**
 * Computes the HMAC of an operator's request, over the nonce, the method, the
 * path and the body, in hexadecimal digits.
 */
void operator_auth_text(const char *key, const char *nonce, const char *method,
    const char *path, const void *body, size_t len, char out[AUTH_TEXT_LEN]);
/** Compares two such texts in constant time. */
bool operator_auth_equal(const char *a, const char *b);

#endif
