#include "load/length.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define LENGTH_PER_DOUBLING 4.0

struct length_entry {
	struct map_node node;
	char *class_name;
	char *model;
	double counts[LENGTH_BUCKETS];
	double total;
	double tokens; /* sum, decays like the counts */
	int64_t since_fade;
};

struct length_key {
	const char *class_name;
	const char *model;
};

static bool length_match(const struct map_node *node, const void *data)
{
	const struct length_entry *entry =
		container_of(node, struct length_entry, node);
	const struct length_key *key = data;

	return !strcmp(entry->class_name, key->class_name) &&
	       !strcmp(entry->model, key->model);
}

static uint64_t length_hash(const struct length_key *key)
{
	return map_hash_text(key->class_name) * 31 + map_hash_text(key->model);
}

void length_init(struct length *length)
{
	map_init(&length->entries);
}

void length_clear(struct length *length)
{
	struct length_entry *entry;
	struct length_entry *next;

	map_foreach(entry, next, &length->entries, node) {
		free(entry->class_name);
		free(entry->model);
		free(entry);
	}
	map_clear(&length->entries);
}

static struct length_entry *length_find(const struct length *length,
					const char *class_name,
					const char *model)
{
	struct length_key key = { class_name, model ? model : "" };
	struct map_node *node;

	node = map_find(&length->entries, length_hash(&key), length_match,
			&key);
	return node ? container_of(node, struct length_entry, node) : NULL;
}

static struct length_entry *
length_add(struct length *length, const char *class_name, const char *model)
{
	struct length_key key = { class_name, model ? model : "" };
	struct length_entry *entry = xcalloc(1, sizeof(*entry));

	entry->class_name = xstrdup(key.class_name);
	entry->model = xstrdup(key.model);
	map_insert(&length->entries, &entry->node, length_hash(&key));
	return entry;
}

static int length_bucket(int64_t tokens)
{
	double at;

	if (tokens < 1)
		tokens = 1;
	at = log2((double)tokens) * LENGTH_PER_DOUBLING;
	return at < LENGTH_BUCKETS - 1 ? (int)at : LENGTH_BUCKETS - 1;
}

/* Upper bound of a bucket, in tokens. */
static int64_t length_edge(int bucket)
{
	return (int64_t)ceil(exp2((bucket + 1) / LENGTH_PER_DOUBLING));
}

static void length_halve_counts(struct length_entry *entry)
{
	int i;

	for (i = 0; i < LENGTH_BUCKETS; i++)
		entry->counts[i] /= 2;
	entry->total /= 2;
	entry->tokens /= 2;
	entry->since_fade = 0;
}

void length_record(struct length *length, const char *class_name,
		   const char *model, int64_t tokens)
{
	struct length_entry *entry = length_find(length, class_name, model);

	if (!entry)
		entry = length_add(length, class_name, model);
	if (++entry->since_fade > LENGTH_HALVING_ANSWERS)
		length_halve_counts(entry);
	entry->counts[length_bucket(tokens)] += 1;
	entry->total += 1;
	entry->tokens += (double)tokens;
}

static int64_t length_cap(int64_t tokens, int64_t max_tokens)
{
	return max_tokens > 0 && tokens > max_tokens ? max_tokens : tokens;
}

int64_t length_quantile(const struct length *length, const char *class_name,
			const char *model, double quantile, int64_t so_far,
			int64_t max_tokens)
{
	const struct length_entry *entry =
		length_find(length, class_name, model);
	int first = so_far > 0 ? length_bucket(so_far) : 0;
	double left = 0;
	double seen = 0;
	int i;

	if (!entry)
		return length_cap(LENGTH_UNKNOWN_TOKENS + so_far, max_tokens);
	for (i = first; i < LENGTH_BUCKETS; i++)
		left += entry->counts[i];
	/* Longer than any recorded answer: expect as many tokens again. */
	if (left <= 0)
		return length_cap(2 * so_far, max_tokens);
	for (i = first; i < LENGTH_BUCKETS - 1; i++) {
		seen += entry->counts[i];
		if (seen >= quantile * left)
			break;
	}
	return length_cap(length_edge(i), max_tokens);
}

int64_t length_mean(const struct length *length, const char *class_name,
		    const char *model, int64_t max_tokens)
{
	const struct length_entry *entry =
		length_find(length, class_name, model);

	if (!entry || entry->total <= 0)
		return length_cap(LENGTH_UNKNOWN_TOKENS, max_tokens);
	return length_cap((int64_t)(entry->tokens / entry->total) + 1,
			  max_tokens);
}
