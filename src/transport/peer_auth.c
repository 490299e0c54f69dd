#include "peer_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <stdio.h>
#include <string.h>

#include "../base/xalloc.h"
#include <stdlib.h>

static void
mac_of(const char *key, const uint8_t *text, size_t n, uint8_t *mac)
{
	unsigned len = PEER_MAC_LEN;

	HMAC(EVP_sha256(), key, (int)strlen(key), text, n, mac, &len);
}

void
peer_auth_mac(const char *key, const char *role,
    const uint8_t own[PEER_NONCE_LEN], const uint8_t other[PEER_NONCE_LEN],
    const char *host, uint8_t mac[PEER_MAC_LEN])
{
	uint8_t text[2 * PEER_NONCE_LEN + 128];
	size_t n = 2 * PEER_NONCE_LEN;

	memcpy(text, own, PEER_NONCE_LEN);
	memcpy(text + PEER_NONCE_LEN, other, PEER_NONCE_LEN);
	n += (size_t)snprintf(
	    (char *)text + n, sizeof(text) - n, "%s/%s", role, host);
	mac_of(key, text, n, mac);
}

void
operator_auth_text(const char *key, const char *nonce, const char *method,
    const char *path, const void *body, size_t len, char out[AUTH_TEXT_LEN])
{
	uint8_t mac[PEER_MAC_LEN];
	char *head = xasprintf("%s\n%s\n%s\n", nonce, method, path);
	size_t n = strlen(head), i;

	head = xrealloc(head, n + len);
	if (len > 0)
		memcpy(head + n, body, len);
	mac_of(key, (uint8_t *)head, n + len, mac);
	free(head);
	for (i = 0; i < PEER_MAC_LEN; i++)
		snprintf(out + 2 * i, 3, "%02x", mac[i]);
}

bool
operator_auth_equal(const char *a, const char *b)
{
	return strlen(a) == AUTH_TEXT_LEN - 1 && strlen(b) == strlen(a) &&
	    CRYPTO_memcmp(a, b, AUTH_TEXT_LEN - 1) == 0;
}
