#ifndef FILBERTHALL_BASE_LIST_H
#define FILBERTHALL_BASE_LIST_H

#include <stdbool.h>
#include <stddef.h>

/**
 * Intrusive doubly linked list. A list head and a member are the same struct;
 * a member that is on no list points to itself, so list_remove() may be called
 * twice.
 */
struct list {
	struct list *prev;
	struct list *next;
};

/** The struct of type `type` whose field `member` is at `ptr`. */
#define container_of(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/** Visit each struct of a list; the present one must not be removed. */
#define list_foreach(pos, head, member)                                  \
	for (pos = container_of((head)->next, __typeof__(*pos), member); \
	     &pos->member != (head);                                     \
	     pos = container_of(pos->member.next, __typeof__(*pos), member))

/** Visit each struct of a list; the present one may be removed. */
#define list_foreach_safe(pos, tmp, head, member)                           \
	for (pos = container_of((head)->next, __typeof__(*pos), member),    \
	    tmp = container_of(pos->member.next, __typeof__(*pos), member); \
	     &pos->member != (head); pos = tmp,                             \
	    tmp = container_of(tmp->member.next, __typeof__(*tmp), member))

/** The first struct of a list, or NULL. */
#define list_first(head, type, member) \
	(list_empty(head) ? NULL : container_of((head)->next, type, member))

/** The last struct of a list, or NULL. */
#define list_last(head, type, member) \
	(list_empty(head) ? NULL : container_of((head)->prev, type, member))

static inline void list_init(struct list *head)
{
	head->prev = head;
	head->next = head;
}

static inline bool list_empty(const struct list *head)
{
	return head->next == head;
}

static inline void list_insert_before(struct list *at, struct list *item)
{
	item->prev = at->prev;
	item->next = at;
	at->prev->next = item;
	at->prev = item;
}

static inline void list_append(struct list *head, struct list *item)
{
	list_insert_before(head, item);
}

static inline void list_prepend(struct list *head, struct list *item)
{
	list_insert_before(head->next, item);
}

static inline void list_remove(struct list *item)
{
	item->prev->next = item->next;
	item->next->prev = item->prev;
	list_init(item);
}

#endif
