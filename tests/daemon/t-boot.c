#include <glib.h>
#include <string.h>

#include "daemon/boot.h"

#define GOOD                                                      \
	"vm: entry-1\n"                                           \
	"zone: tas-south-1\n"                                     \
	"site: coop\n"                                            \
	"data_folder: /d\n"                                       \
	"key_secret_file: /k\n"                                   \
	"link_secret_file: /l\n"                                  \
	"listen: {callers: 127.0.0.1:0, backends: 127.0.0.1:0,\n" \
	"         operators: 127.0.0.1:0, links: 127.0.0.1:0}\n"

static void test_keep_message(void *data, enum result code, const char *message)
{
	g_strlcpy(data, message, 512);
}

static enum result test_parse(struct boot *boot, const char *text,
			      char *message)
{
	struct error_handler handler = { test_keep_message, message };

	return boot_parse(boot, "b.yaml", text, strlen(text), &handler);
}

static void good_settings_fill_in_the_rest(void)
{
	char message[512] = "";
	struct boot boot;

	g_assert_cmpint(test_parse(&boot, GOOD, message), ==, RESULT_OK);
	g_assert_cmpstr(boot.vm, ==, "entry-1");
	g_assert_cmpint(boot.body_bytes, ==, 4194304);
	g_assert_cmpint(boot.log_level, ==, LOG_INFO);
	g_assert_cmpint(boot.fresh_ms, ==, 4500);
	g_assert_cmpint(boot.election_ms, ==, 300);
	g_assert_cmpuint(boot.regions.n_zones, ==, 0);
	boot_clear(&boot);
}

static void regions_are_read_by_zone(void)
{
	char message[512] = "";
	struct boot boot;

	g_assert_cmpint(test_parse(&boot,
				   GOOD "regions:\n  \"a-1\": \"north\"\n"
					"  b-1: south\n  a-2: north\n",
				   message),
			==, RESULT_OK);
	g_assert_cmpuint(boot.regions.n_zones, ==, 3);
	g_assert_cmpuint(regions_of_zone(&boot.regions, "a-1"), ==,
			 regions_of_zone(&boot.regions, "a-2"));
	g_assert_cmpuint(regions_of_zone(&boot.regions, "a-1"), !=,
			 regions_of_zone(&boot.regions, "b-1"));
	g_assert_cmpuint(regions_of_zone(&boot.regions, "c-1"), ==, 0);
	boot_clear(&boot);
}

static void each_refusal_names_line_key_and_what_is_allowed(void)
{
	static const struct {
		const char *extra;
		const char *message;
	} cases[] = {
		{ "bootstrap: maybe\n",
		  "b.yaml:9: bootstrap: true or false is needed" },
		{ "platform: nowhere\n",
		  "b.yaml:9: platform: IP:port is needed" },
		{ "retries: {share: 1.5}\n",
		  "b.yaml:9: share: a number from 0 to 1 is needed" },
		{ "backends: {beat_ms: 0}\n",
		  "b.yaml:9: beat_ms: a whole number from 1 to 600000 is "
		  "needed" },
		{ "usage: {due_s: 0}\n",
		  "b.yaml:9: due_s: a whole number from 1 to 86400 is "
		  "needed" },
		{ "limits: {idle_s: 0}\n",
		  "b.yaml:9: idle_s: a whole number from 1 to 3600 is "
		  "needed" },
		{ "limits: {idles: 3}\n",
		  "b.yaml:9: idles: no such key; allowed are: header_bytes "
		  "body_bytes connections idle_s stop_grace_s memory_mb" },
		{ "log:\n  level: loud\n",
		  "b.yaml:10: level: debug, info, warn or error is needed" },
		{ "regions: [north]\n",
		  "b.yaml:9: regions: zones with their regions are needed" },
		{ "regions: {a-1: [north]}\n",
		  "b.yaml:9: a-1: zone: region is needed" },
		{ "peers: [127.0.0.1:7001, x]\n",
		  "b.yaml:9: entry: each peer is IP:port" },
		{ "tls: {key: /x}\n",
		  "b.yaml: tls needs both certificate and key" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strconcat(GOOD, cases[i].extra, NULL);
		char message[512] = "";
		struct boot boot;

		g_assert_cmpint(test_parse(&boot, text, message), !=,
				RESULT_OK);
		g_assert_cmpstr(message, ==, cases[i].message);
	}
}

static void a_missing_key_is_named(void)
{
	char message[512] = "";
	struct boot boot;

	g_assert_cmpint(test_parse(&boot, "vm: a\n", message), ==,
			RESULT_SETTING_VALUE);
	g_assert_cmpstr(message, ==, "b.yaml: zone is missing");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/boot/good", good_settings_fill_in_the_rest);
	g_test_add_func("/boot/regions", regions_are_read_by_zone);
	g_test_add_func("/boot/refused",
			each_refusal_names_line_key_and_what_is_allowed);
	g_test_add_func("/boot/missing", a_missing_key_is_named);
	return g_test_run();
}
