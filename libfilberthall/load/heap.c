#include "load/heap.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define HEAP_FIRST_CAPACITY 8

void heap_init(struct heap *heap, heap_before_fn before)
{
	memset(heap, 0, sizeof(*heap));
	heap->before = before;
}

void heap_clear(struct heap *heap)
{
	free(heap->nodes);
	heap_init(heap, heap->before);
}

static void heap_put(struct heap *heap, size_t at, struct heap_node *node)
{
	heap->nodes[at] = node;
	node->place = at + 1;
}

static void heap_sift_up(struct heap *heap, size_t at)
{
	struct heap_node *node = heap->nodes[at];

	while (at > 0) {
		size_t parent = (at - 1) / 2;

		if (!heap->before(node, heap->nodes[parent]))
			break;
		heap_put(heap, at, heap->nodes[parent]);
		at = parent;
	}
	heap_put(heap, at, node);
}

static void heap_sift_down(struct heap *heap, size_t at)
{
	struct heap_node *node = heap->nodes[at];
	size_t child;

	while ((child = 2 * at + 1) < heap->n) {
		if (child + 1 < heap->n &&
		    heap->before(heap->nodes[child + 1], heap->nodes[child]))
			child++;
		if (!heap->before(heap->nodes[child], node))
			break;
		heap_put(heap, at, heap->nodes[child]);
		at = child;
	}
	heap_put(heap, at, node);
}

void heap_push(struct heap *heap, struct heap_node *node)
{
	if (heap->n == heap->capacity) {
		heap->capacity = heap->capacity ? 2 * heap->capacity
						: HEAP_FIRST_CAPACITY;
		heap->nodes = xrealloc(heap->nodes,
				       heap->capacity * sizeof(*heap->nodes));
	}
	heap_put(heap, heap->n++, node);
	heap_sift_up(heap, heap->n - 1);
}

void heap_moved(struct heap *heap, struct heap_node *node)
{
	if (!node->place)
		return;
	heap_sift_up(heap, node->place - 1);
	heap_sift_down(heap, node->place - 1);
}

void heap_remove(struct heap *heap, struct heap_node *node)
{
	struct heap_node *last;
	size_t at;

	if (!node->place)
		return;
	at = node->place - 1;
	node->place = 0;
	last = heap->nodes[--heap->n];
	if (last == node)
		return;
	heap_put(heap, at, last);
	heap_moved(heap, last);
}
