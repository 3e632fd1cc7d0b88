#include "daemon/boot_key.h"

/*
 * After a loss of power nobody is served until there is a leader again, so
 * its election counts; control VMs of one region are a few milliseconds
 * apart, and five lost heartbeats are borne. Control VMs in several regions
 * need more than their longest way.
 */
#define BOOT_ELECTION_MS 300

#define BOOT_AT(field) offsetof(struct boot, field)

const struct boot_key boot_keys[] = {
	{ NULL, "role", BOOT_ROLE, BOOT_AT(role), 0, 0, 0, 0 },
	{ NULL, "vm", BOOT_NAME, BOOT_AT(vm), NEEDED, 0, 0, 0 },
	{ NULL, "zone", BOOT_NAME, BOOT_AT(zone), NEEDED, 0, 0, 0 },
	{ NULL, "site", BOOT_NAME, BOOT_AT(site), NEEDED, 0, 0, 0 },
	{ NULL, "data_folder", BOOT_PATH, BOOT_AT(data_folder), NEEDED_CONTROL,
	  0, 0, 0 },
	{ NULL, "bootstrap", BOOT_FLAG, BOOT_AT(bootstrap), 0, 0, 0, 0 },
	{ NULL, "seed_settings", BOOT_PATH, BOOT_AT(seed_settings), 0, 0, 0,
	  0 },
	{ NULL, "seed_key_file", BOOT_PATH, BOOT_AT(seed_key_file), 0, 0, 0,
	  0 },
	{ NULL, "key_secret_file", BOOT_PATH, BOOT_AT(key_secret_file),
	  NEEDED_ALL, 0, 0, 0 },
	{ NULL, "link_secret_file", BOOT_PATH, BOOT_AT(link_secret_file),
	  NEEDED_ALL, 0, 0, 0 },
	{ "listen", "callers", BOOT_ADDRESS, BOOT_AT(listen_callers),
	  NEEDED_ALL | NEEDED_ENTRY, 0, 0, 0 },
	{ "listen", "backends", BOOT_ADDRESS, BOOT_AT(listen_backends),
	  NEEDED_ALL, 0, 0, 0 },
	{ "listen", "operators", BOOT_ADDRESS, BOOT_AT(listen_operators),
	  NEEDED_ALL | NEEDED_CONTROL, 0, 0, 0 },
	{ "listen", "links", BOOT_ADDRESS, BOOT_AT(listen_links), NEEDED, 0, 0,
	  0 },
	{ "listen", "ready", BOOT_ADDRESS, BOOT_AT(listen_ready), NEEDED_ENTRY,
	  0, 0, 0 },
	{ "listen", "metrics", BOOT_ADDRESS, BOOT_AT(listen_metrics), 0, 0, 0,
	  0 },
	{ "reach", "operators", BOOT_ADDRESS, BOOT_AT(reach_operators), 0, 0, 0,
	  0 },
	{ "reach", "links", BOOT_ADDRESS, BOOT_AT(reach_links), 0, 0, 0, 0 },
	{ "reach", "callers", BOOT_ADDRESS, BOOT_AT(reach_callers), 0, 0, 0,
	  0 },
	{ NULL, "publish", BOOT_PATH, BOOT_AT(publish), 0, 0, 0, 0 },
	{ NULL, "platform", BOOT_ADDRESS, BOOT_AT(platform), 0, 0, 0, 0 },
	{ "tls", "certificate", BOOT_PATH, BOOT_AT(tls_certificate), 0, 0, 0,
	  0 },
	{ "tls", "key", BOOT_PATH, BOOT_AT(tls_key), 0, 0, 0, 0 },
	{ "cluster", "voters", BOOT_NUMBER, BOOT_AT(voters), 0, 1, 9, 5 },
	{ "cluster", "tolerate", BOOT_NUMBER, BOOT_AT(tolerate), 0, 0, 100, 2 },
	{ "cluster", "lease_ms", BOOT_NUMBER, BOOT_AT(lease_ms), 0, 100, 600000,
	  3000 },
	{ "cluster", "election_ms", BOOT_NUMBER, BOOT_AT(election_ms), 0, 100,
	  60000, BOOT_ELECTION_MS },
	{ "keys", "withdrawn_ms", BOOT_NUMBER, BOOT_AT(withdrawn_ms), 0, 100,
	  600000, 5000 },
	{ "keys", "fresh_ms", BOOT_NUMBER, BOOT_AT(fresh_ms), 0, 500, 600000,
	  0 },
	{ "retries", "share", BOOT_SHARE, BOOT_AT(retry_share), 0, 0, 0, 0 },
	{ "retries", "headroom", BOOT_NUMBER, BOOT_AT(retry_headroom), 0, 0,
	  1000000, 50 },
	{ "retries", "window_s", BOOT_NUMBER, BOOT_AT(retry_window_s), 0, 1,
	  3600, 10 },
	{ "backends", "beat_ms", BOOT_NUMBER, BOOT_AT(beat_ms), 0, 1, 600000,
	  1200 },
	{ "usage", "window_s", BOOT_NUMBER, BOOT_AT(window_s), 0, 1, 86400, 5 },
	{ "usage", "due_s", BOOT_NUMBER, BOOT_AT(due_s), 0, 1, 86400, 10 },
	{ "limits", "header_bytes", BOOT_NUMBER, BOOT_AT(header_bytes), 0, 1024,
	  1048576, 16384 },
	{ "limits", "body_bytes", BOOT_NUMBER, BOOT_AT(body_bytes), 0, 1024,
	  67108864, 4194304 },
	{ "limits", "connections", BOOT_NUMBER, BOOT_AT(connections), 0, 4,
	  100000, 2000 },
	{ "limits", "idle_s", BOOT_NUMBER, BOOT_AT(idle_s), 0, 1, 3600, 30 },
	{ "limits", "stop_grace_s", BOOT_NUMBER, BOOT_AT(stop_grace_s), 0, 1,
	  86400, 900 },
	{ "log", "level", BOOT_LEVEL, BOOT_AT(log_level), 0, 0, 0, LOG_INFO },
	{ "log", "file", BOOT_PATH, BOOT_AT(log_file), 0, 0, 0, 0 },
	{ NULL, "trace_file", BOOT_PATH, BOOT_AT(trace_file), 0, 0, 0, 0 },
};

const size_t boot_keys_count = sizeof(boot_keys) / sizeof(boot_keys[0]);
