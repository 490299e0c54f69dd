/** @file Internals that the files of a member share. */
#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include <sys/queue.h>

#include "../base/hist.h"
#include "../coordination/config_freshness.h"
#include "../relay/relay_port.h"
#include "../relay/relay_serve.h"
#include "access.h"
#include "config_fetch.h"
#include "follow.h"
#include "member.h"

#define MEMBERS_MAX 2048

/** Another host of the cell. */
struct cell_host {
	char host[64];
	char incarnation[32];	   /**< in its member row */
	char beat_incarnation[32]; /**< in its last heartbeat */
	int64_t beat_ms;	   /**< last heartbeat from it; 0: none */
	int64_t up_ms;		   /**< link up since; 0: link is down */
	char addr[ADDR_LEN];
	uint16_t port;
	uint32_t power; /**< processor capacity, in thousandths of a core */
	uint32_t link_mbps;
	bool dialled;
	bool core;	      /**< one of the hosts preferred as leader */
	int64_t beat_sent_ms; /**< last heartbeat to it */
	bool leads;	      /**< as of its last heartbeat, like all below */
	bool stalled;	      /**< the store serves it too badly to lead */
	bool leaving;	      /**< it shuts down */
	uint64_t fence;	      /**< fencing token in its last heartbeat */
	uint64_t config_version;
};

/** The leader's row in the store, as last read or as announced by heartbeat. */
struct leader {
	bool known; /**< there is such a row */
	char host[64];
	char incarnation[32];
	uint32_t generation; /**< 0 for the cell's first leader, 1 more with
				 each claim */
	bool released;	     /**< the host has released leadership */
	uint64_t version;    /**< of the row; the leader's fencing token */
};

/**
 * A claim of leadership in flight. The leader's row that it writes may be read
 * by the watch before the store answers the claim.
 */
struct claim_sent {
	char former[64]; /**< host that led when the claim was sent */
	uint64_t before; /**< version of the leader's row then */
	uint32_t generation;
	int64_t sent_ms;
	int64_t read_ms; /**< when the read of its outcome was sent */
};

enum member_state {
	MEMBER_FOLLOWING,
	MEMBER_CLAIMING,
	MEMBER_LEADING,
	MEMBER_RELEASING, /**< the release is being written to the store */
};

struct pending_call;
TAILQ_HEAD(pending_list, pending_call);

struct member {
	struct event_base *base;
	const struct cell_settings *settings;
	struct settings peer_settings;
	struct member_ports ports;
	struct advice_port advice; /**< sends advice calls from any member */
	char incarnation[32];
	struct peer_net *peers;
	struct relay_port *relays;  /**< sends this leader's orders */
	struct relay_serve *served; /**< relays orders for another leader */
	int64_t relays_chosen_ms;   /**< time of the last choice of relays */
	bool relays_loading; /**< at the last check the cell was loading */
	struct follow *members;
	struct follow *configs;
	struct cell cell;
	enum member_state state;
	struct leader leader;
	struct claim_sent claim;
	struct cell_host hosts[MEMBERS_MAX]; /**< without this host */
	int nhosts;
	bool core;	  /**< this host is one of those preferred as leader */
	bool ranks_stale; /**< members changed since member_set_core() */
	int64_t lanes_updated_ms; /**< last update of the advice lanes */
	/* configuration */
	char *config_text;
	size_t config_len;
	struct config *config; /**< this host's copy; the cell has another */
	struct config_fetch config_fetch;
	uint64_t config_read_version; /**< highest version that was read */
	uint64_t configs_unreadable;  /**< rows that couldn't be read */
	/** The newest row in the store can't be read. */
	bool config_unreadable;
	struct config_freshness freshness;
	uint64_t access[ACCESS_RESULTS]; /**< calls with checked keys */
	int64_t access_log_ms;		 /**< last line on refused calls */
	/* reads of the commit row, which the leader renews */
	bool commit_reading; /**< a read is in flight */
	uint64_t commit_row_version;
	/** When commit_row_version was first read; 0: no version is known. */
	int64_t commit_row_since_ms;
	int64_t commit_read_sent_ms;
	int64_t commit_read_took_ms; /**< duration of the last read */
	/* heartbeats */
	bool stall_announced; /**< the last heartbeats reported a stall */
	bool announce_now;    /**< the next tick sends heartbeats to all */
	/** Last attempt to write this host's member row; 0: it is written. */
	int64_t member_row_tried_ms;
	bool member_row_writing;
	/* registry of runners */
	struct follow *registry;  /**< NULL: this host doesn't lead */
	uint64_t registry_fence;  /**< fencing token under which the follow of
				     the registry was started */
	bool registry_reading;	  /**< a complete listing is in flight */
	int64_t registry_read_ms; /**< start of the last complete listing */
	bool leaving;
	int64_t started_ms;
	int64_t led_last_ms; /**< when this host was last deposed */
	/** Since when a much more powerful host is eligible to lead; 0: none
	 * is. */
	int64_t stronger_since_ms;
	struct event *tick;
	struct event *wake;
	bool wake_set;
	int64_t pass_took_ms; /**< duration of the last scheduling pass */
	struct pending_list calls;
	uint64_t call_serial;
	struct hist submit_ms;
	struct hist get_ms;
	uint64_t forwarded;  /**< calls sent to the leader */
	uint64_t unanswered; /**< calls refused or without an outcome */
};

struct member_event_arg;

/* members.c */
struct cell_host *member_find_host(struct member *m, const char *host);
/** Handles a new version of a row of the table of members. */
void member_row(const struct row *row, void *arg);
/** Writes this host's member row until the store has accepted it once. */
void member_write_row(struct member *m);
/** Sends the heartbeats that are due. */
void member_beat(struct member *m);
/** Handles a frame from another member. */
void member_frame(const struct peer_request *rq, const Cc__Frame *f, void *arg);
/** Dials the hosts that this host should be linked with and isn't yet. */
void member_dial(struct member *m);
/** Processor capacity of this host, in thousandths of a core. */
uint32_t member_power(const struct member *m);
/** Recomputes which hosts are core if members have changed. */
void member_set_core(struct member *m);
/** Whether a link to the host is up. */
bool member_linked(const struct member *m, const char *host);

/* delegation.c */
/** Updates the cell's list of hosts that may call the advice service. */
void member_update_lanes(struct member *m);
/** Chooses the relays: hosts that send this leader's orders to runners. */
void member_update_relays(struct member *m);

/* election.c */
/** Handles a new version of the leader's row. */
void member_leader_row(struct member *m, const struct row *row);
/** Starts a claim or a transfer of leadership when one is due. */
void member_lead_tick(struct member *m);
/** Handles a heartbeat that announces a leader with a newer claim. */
void member_leader_announced(
    struct member *m, const char *host, const Cc__CellBeat *b);
/** Resigns and writes the release to the leader's row. */
void member_release(struct member *m);
/** Steps down because another host's claim has succeeded.
 * @param arg the member */
void member_deposed(void *arg);
bool member_leads(const struct member *m);

/* config.c */
void member_config_row(const struct row *row, void *arg);
/** Puts a configuration in force if it is newer than the current one.
 * @param from its source, for the log
 * @return false when it can't be read */
bool member_apply_config(
    struct member *m, const void *value, size_t len, const char *from);

/* registry.c */
/** Keeps the cell's runners up to date while this host leads. */
void member_registry_tick(struct member *m);

/* calls.c */
/** Ends calls past their deadline and sends those that are due. */
void member_calls_tick(struct member *m);
/** Serves a call that another member has forwarded. */
void member_serve_call(
    struct member *m, const struct peer_request *rq, const Cc__CellCall *call);
/** Has all calls without an answer sent again, to the new leader. */
void member_calls_leader_changed(struct member *m);
/** Ends all pending calls at shutdown: as refused, or as outcome unknown where
 * the leader may have received the call. */
void member_calls_done(struct member *m);

/* advice_calls.c */
extern const struct advice_ops member_advice_ops;
/** Calls the advice service for the leader. */
void member_serve_advise(struct member *m, const struct peer_request *rq,
    const Cc__AdviseCall *call);

#endif
