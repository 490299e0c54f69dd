/** @file Settings of a daemon that serves a cell: read once at start. */
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
	char advice[ADDR_LEN];	  /**< IP:PORT; empty: no advice service */
	char key[KEY_LEN];	  /**< shared by the daemons of a cell */
	char log_level[16];
	int64_t peer_port;
	int64_t metrics_port;
	int64_t max_hold_ms;   /**< longest lease that a runner accepts */
	int64_t stop_grace_ms; /**< longest time that a stop takes */
	int64_t status_s; /**< how long the status of an ended job is kept */
	int64_t grace_s;  /**< time that the platform leaves this daemon between
			     SIGTERM and SIGKILL */
	double remote_factor; /**< slowdown of a run outside the preferred rack
				 of its step */
	double link_mbps;     /**< bandwidth of this host, each way */
	double cores;	      /**< processor cores of this host */
	int64_t memory_mb;    /**< memory of this host */
	int64_t max_fds;      /**< file descriptors of this process */
	/** Memory of all clients' connections; default: from memory_mb. */
	int64_t client_memory_kb;
	/** Connections of the callers' port, and of the readiness and metrics
	 * ports together; default: from max_fds. */
	int64_t caller_conns;
	int64_t monitor_conns;
	/** Calls with an API key are refused once the configuration's age may
	 * exceed revoke_ms. */
	bool revoke_strict;
	int64_t revoke_ms; /**< a removed API key is accepted for at most this
			      long */
	int64_t quota_window_s; /**< window of the rates of client accounts */
	/** Share of its cap by which a client account may exceed it. */
	double quota_excess;
};

/** Parses and checks @p text; on findings the result must not be used. */
void cell_settings_parse(
    struct cell_settings *s, const char *text, size_t len, struct findings *fs);

#endif
