/** @file What the files of a member share. */
#ifndef MEMBER_PARTS_H
#define MEMBER_PARTS_H

#include <sys/queue.h>

#include "../base/hist.h"
#include "../relay/relay_port.h"
#include "../relay/relay_serve.h"
#include "follow.h"
#include "member.h"

#define MEMBERS_MAX 2048

/** Another host of the cell. */
struct cell_host {
	char host[64];
	char incarnation[32]; /**< of its row */
	char beat_incarnation[32];
	int64_t beat_ms; /**< last beat from it; 0: none */
	int64_t up_ms;	 /**< link up since; 0: it is down */
	char addr[ADDR_LEN];
	uint16_t port;
	uint32_t power; /**< thousandths of a core */
	uint32_t link_mbps;
	bool dialled;
	bool core;	      /**< one of those that lead before all hosts */
	int64_t beat_sent_ms; /**< last beat to it */
	bool leads;
	bool stalled;
	bool leaving;
	uint64_t fence;
	uint64_t config_version;
};

/** The leader's row as last read. */
struct leader {
	bool known;
	char host[64];
	char incarnation[32];
	uint32_t generation;
	bool released;
	uint64_t version;
};

/** A claim under way. The row that it writes may be read before its answer. */
struct claim_sent {
	char former[64]; /**< leader when it was sent */
	uint32_t generation;
	int64_t sent_ms;
};

enum member_state {
	MEMBER_FOLLOWING,
	MEMBER_CLAIMING,
	MEMBER_LEADING,
	MEMBER_RELEASING,
};

struct pending_call;
TAILQ_HEAD(pending_list, pending_call);

struct member {
	struct event_base *base;
	const struct cell_settings *settings;
	struct settings peer_settings;
	struct member_ports ports;
	struct advice_port advice; /**< asks in the lanes of members */
	char incarnation[32];
	struct peer_net *peers;
	struct relay_port *relays;  /**< orders of the cell led here */
	struct relay_serve *served; /**< orders of another host's cell */
	int64_t relays_chosen_ms;   /**< relays were last chosen */
	bool relays_loading;	    /**< the runners weren't read by then */
	struct follow *members;
	struct follow *configs;
	struct cell cell;
	enum member_state state;
	struct leader leader;
	struct claim_sent claim;
	struct cell_host hosts[MEMBERS_MAX];
	int nhosts;
	bool core;	  /**< this host is one of those that lead first */
	bool ranks_stale; /**< members have come, gone or changed */
	int64_t lanes_updated_ms; /**< hosts that may ask were last listed */
	/* config */
	char *config_text;
	size_t config_len;
	struct config *config; /**< of this host; the cell has its own */
	int64_t config_requested_ms;
	/* watch of the leader's commits */
	bool commit_read_open;
	uint64_t commit_row_version;
	int64_t commit_row_since_ms; /**< when that version was first seen */
	int64_t commit_read_sent_ms;
	int64_t commit_read_took_ms; /**< answer to the last watch */
	bool stall_announced;	     /**< the last beats said so */
	bool announce_now;	     /**< there is news for all hosts */
	int64_t
	    member_row_tried_ms; /**< own row last tried; 0: it is written */
	bool member_row_writing;
	struct follow *registry; /**< NULL: this host doesn't lead */
	uint64_t registry_fence; /**< it is followed for this leadership */
	bool registry_reading;
	int64_t registry_read_ms; /**< last read whole */
	bool leaving;
	int64_t started_ms;
	int64_t led_last_ms;
	int64_t
	    stronger_since_ms; /**< a stronger host could lead since; 0: none */
	struct event *tick;
	struct event *wake;
	bool wake_set;
	int64_t pass_took_ms; /**< the last pass of the cell */
	struct pending_list calls;
	uint64_t call_serial;
	struct hist submit_ms;
	struct hist get_ms;
	uint64_t forwarded;
	uint64_t unanswered;
};

struct member_event_arg;

/* members.c */
struct cell_host *member_find_host(struct member *m, const char *host);
void member_row(const struct row *row, void *arg);
void member_write_row(struct member *m);
void member_beat(struct member *m);
void member_frame(const struct peer_request *rq, const Cc__Frame *f, void *arg);
/** Dials those that this host should be linked with, and isn't yet. */
void member_dial(struct member *m);
uint32_t member_power(const struct member *m);
/** Sets which hosts are core, after a change of members. */
void member_set_core(struct member *m);
bool member_linked(const struct member *m, const char *host);

/* helpers.c */
/** Lists the hosts that may ask for advice. */
void member_update_lanes(struct member *m);
/** Chooses the hosts that send this leader's orders. */
void member_update_relays(struct member *m);

/* lead.c */
void member_leader_row(struct member *m, const struct row *row);
void member_lead_tick(struct member *m);
/** A host says in its beat that it leads by a newer claim. */
void member_leader_announced(
    struct member *m, const char *host, const Cc__CellBeat *b);
void member_release(struct member *m);
void member_deposed(void *arg);
bool member_leads(const struct member *m);

/* config.c */
void member_config_row(const struct row *row, void *arg);
void member_apply_config(
    struct member *m, const void *value, size_t len, const char *from);
void member_request_config(struct member *m);

/* registry.c */
void member_registry_tick(struct member *m);

/* calls.c */
void member_calls_tick(struct member *m);
void member_serve_call(
    struct member *m, const struct peer_request *rq, const Cc__CellCall *call);
/** Another host leads now. */
void member_calls_leader_changed(struct member *m);
void member_calls_done(struct member *m);

/* lanes.c */
extern const struct advice_ops member_advice_ops;
void member_serve_advise(struct member *m, const struct peer_request *rq,
    const Cc__AdviseCall *call);

#endif
