#include <glib.h>
#include <string.h>

#include "base/map.h"

struct entry {
	struct map_node node;
	char key[16];
	int value;
};

static bool entry_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct entry, node)->key, key);
}

static struct entry *entry_find(const struct map *map, const char *key)
{
	struct map_node *node;

	node = map_find(map, map_hash_text(key), entry_match, key);
	return node ? container_of(node, struct entry, node) : NULL;
}

static void map_finds_what_was_inserted_and_not_what_was_removed(void)
{
	struct entry *entries = g_new0(struct entry, 1000);
	struct map map;
	int i;

	map_init(&map);
	for (i = 0; i < 1000; i++) {
		g_snprintf(entries[i].key, sizeof(entries[i].key), "k%d", i);
		entries[i].value = i;
		map_insert(&map, &entries[i].node,
			   map_hash_text(entries[i].key));
	}
	for (i = 0; i < 1000; i += 2)
		map_remove(&map, &entries[i].node);
	g_assert_cmpuint(map.count, ==, 500);
	for (i = 0; i < 1000; i++) {
		struct entry *found = entry_find(&map, entries[i].key);

		g_assert_true(found == (i % 2 ? &entries[i] : NULL));
	}
	map_clear(&map);
	g_free(entries);
}

static void map_visits_in_order_of_insertion(void)
{
	struct entry entries[40] = { 0 };
	struct entry *entry;
	struct entry *next;
	struct map map;
	int i;
	int seen = 0;

	map_init(&map);
	for (i = 0; i < 40; i++) {
		g_snprintf(entries[i].key, sizeof(entries[i].key), "%d", i);
		entries[i].value = i;
		map_insert(&map, &entries[i].node,
			   map_hash_text(entries[i].key));
	}
	map_foreach(entry, next, &map, node)
		g_assert_cmpint(entry->value, ==, seen++);
	g_assert_cmpint(seen, ==, 40);
	map_clear(&map);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/map/finds",
			map_finds_what_was_inserted_and_not_what_was_removed);
	g_test_add_func("/map/order", map_visits_in_order_of_insertion);
	return g_test_run();
}
