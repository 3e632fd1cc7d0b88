#ifndef FILBERTHALL_LOAD_HEAP_H
#define FILBERTHALL_LOAD_HEAP_H

#include <stdbool.h>
#include <stddef.h>

#include "base/list.h"

/**
 * Intrusive binary heap. The node is embedded in the caller's struct and stores
 * its index, so that any member can be removed or moved in O(log n): a queue of
 * 100,000 requests often loses entries in its middle, when callers disconnect
 * or deadlines pass.
 */
struct heap_node {
	size_t place; /**< index + 1, 0 while in no heap */
};

/** Whether `a` sorts before `b`; must be a strict total order. */
typedef bool (*heap_before_fn)(const struct heap_node *a,
			       const struct heap_node *b);

struct heap {
	struct heap_node **nodes;
	size_t n;
	size_t capacity;
	heap_before_fn before;
};

void heap_init(struct heap *heap, heap_before_fn before);

/** Frees the heap's array; the members are owned by the caller. */
void heap_clear(struct heap *heap);

void heap_push(struct heap *heap, struct heap_node *node);

/** Removes a node; does nothing if it is in no heap. */
void heap_remove(struct heap *heap, struct heap_node *node);

/** Restores the heap order after a member's key has changed. */
void heap_moved(struct heap *heap, struct heap_node *node);

/** Returns the first node, or NULL if the heap is empty. */
static inline struct heap_node *heap_top(const struct heap *heap)
{
	return heap->n ? heap->nodes[0] : NULL;
}

#endif
