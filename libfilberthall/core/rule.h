#ifndef FILBERTHALL_CORE_RULE_H
#define FILBERTHALL_CORE_RULE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/**
 * Typed settings of a team's classes, organisations, services and keys.
 * agree/settings builds them from the settings tree and checks each value
 * against its schema; the other modules only read them. Names are unique in
 * the site.
 */

#define RULE_NAME_SIZE 64
#define RULE_TIERS 4   /**< tier 0 is the highest */
#define RULE_SCOPES 16 /**< classes, models or services of one key */
#define RULE_ROUTES 16 /**< route rules of one service */
#define RULE_PATH_SIZE 128

/** team/TEAM/class/NAME */
struct class_rule {
	char name[RULE_NAME_SIZE];
	char team[RULE_NAME_SIZE];
	int tier;
	int64_t first_token_us; /**< target, 0 for none */
	int64_t inter_token_us; /**< target of the mean, 0 for none */
	int64_t pause_us;	/**< longest pause in a stream, 0: no limit */
	int64_t deadline_us;	/**< of the complete answer, from arrival */
	double min_share;    /**< guaranteed fraction of dispatches, 0..0.5 */
	int64_t queue_bound; /**< requests waiting on one VM at most */
	bool idempotent;     /**< may be retried and hedged */
	bool reclaimable;    /**< may run on cheap backend servers */
};

/** team/TEAM/organisation/NAME; limits hold over all VMs, 0 is no limit. */
struct organisation_rule {
	char name[RULE_NAME_SIZE];
	char team[RULE_NAME_SIZE];
	int64_t max_concurrent;
	int64_t requests_per_min;
	int64_t tokens_per_min;
	double burst_s; /**< burst size, in seconds of the rates */
};

/** How repeats of a service's call are detected. */
enum idempotency {
	IDEMPOTENCY_SAFE,     /**< may be repeated freely */
	IDEMPOTENCY_REQUIRED, /**< Idempotency-Key must be given */
	IDEMPOTENCY_BODY,     /**< by organisation and body hash */
	IDEMPOTENCY_NONE      /**< never; each arrival is sent once */
};

struct route_rule {
	char method[16];	     /**< "*" for any */
	char prefix[RULE_PATH_SIZE]; /**< of the path below the service */
	enum idempotency idempotency;
	char class_name[RULE_NAME_SIZE]; /**< default class, may be empty */
};

/** team/TEAM/service/NAME; the first matching route applies. */
struct service_rule {
	char name[RULE_NAME_SIZE];
	char team[RULE_NAME_SIZE];
	int n_routes;
	struct route_rule routes[RULE_ROUTES];
};

/** Permissions and limits of a key. */
struct key_rule {
	char id[RULE_NAME_SIZE];
	char hash[65]; /**< keyed hash of the secret, hex */
	char organisation[RULE_NAME_SIZE];
	char default_class[RULE_NAME_SIZE];
	char subtree
		[RULE_PATH_SIZE]; /**< settings that an operator may change */
	bool caller;		  /**< may send requests */
	bool operates;		  /**< may call operators' commands */
	int n_classes;		  /**< 0: any class of the team */
	int n_models;		  /**< 0: any model */
	int n_services;		  /**< 0: any service */
	char classes[RULE_SCOPES][RULE_NAME_SIZE];
	char models[RULE_SCOPES][RULE_NAME_SIZE];
	char services[RULE_SCOPES][RULE_NAME_SIZE];
	int64_t max_concurrent;	  /**< of this key alone, 0 no limit */
	int64_t requests_per_min; /**< of this key alone, 0 no limit */
};

#endif
