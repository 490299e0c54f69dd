/** @file Settings of a daemon that serves a cell: read once, checked. */
#ifndef CELL_SETTINGS_H
#define CELL_SETTINGS_H

#include "settings.h"

struct cell_settings {
	char host[64];
	char zone[64];
	char addr[ADDR_LEN];
	char callers[ADDR_LEN];	  /**< IP:PORT */
	char readiness[ADDR_LEN]; /**< IP:PORT */
	char store[ADDR_LEN];	  /**< IP:PORT */
	char advice[ADDR_LEN];	  /**< IP:PORT; empty: there is none */
	char key[KEY_LEN];	  /**< shared by the daemons of a cell */
	char log_level[16];
	int64_t peer_port;
	int64_t metrics_port;
	int64_t max_hold_ms;   /**< longest lease that a runner grants */
	int64_t stop_grace_ms; /**< longest time that a stop takes */
	int64_t status_s;      /**< ended jobs are known this long */
	int64_t grace_s;       /**< from the term signal to the kill */
	double remote_factor;
	double link_mbps; /**< of this host, each way */
	double cores;	  /**< this host's processor, in cores */
};

void cell_settings_parse(
    struct cell_settings *s, const char *text, size_t len, struct findings *fs);

#endif
