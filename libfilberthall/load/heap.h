#ifndef FILBERTHALL_LOAD_HEAP_H
#define FILBERTHALL_LOAD_HEAP_H

#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"

/**
 * Intrusive binary heap. The node sits inside the caller's struct and knows
 * its place, so that any member can be taken out or moved in O(log n): a
 * queue of 100,000 requests loses entries in its middle all the time, by
 * callers who hang up and by deadlines.
 */
struct heap_node {
	size_t place; /**< index + 1, 0 while in no heap */
};

/** Whether `a` comes before `b`; must be a strict order without ties. */
typedef bool (*heap_before_fn)(const struct heap_node *a,
			       const struct heap_node *b);

struct heap {
	struct heap_node **nodes;
	size_t n;
	size_t capacity;
	heap_before_fn before;
};

void heap_init(struct heap *heap, heap_before_fn before);

/** Free the heap's own memory; the members belong to the caller. */
void heap_clear(struct heap *heap);

void heap_push(struct heap *heap, struct heap_node *node);

/** Take a node out; nothing happens if it is in no heap. */
void heap_remove(struct heap *heap, struct heap_node *node);

/** Restore the order after a member's key has changed. */
void heap_moved(struct heap *heap, struct heap_node *node);

/** The first node, or NULL. */
static inline struct heap_node *heap_top(const struct heap *heap)
{
	return heap->n ? heap->nodes[0] : NULL;
}

#endif
