#include "t/event-queue.h"

#include <glib.h>

struct entry {
	uint64_t at;
	uint64_t order;
	void *item;
};

/* A binary min-heap by time, then by order of insertion. */
struct event_queue {
	GArray *heap; /* of struct entry */
	uint64_t order;
};

struct event_queue *create_event_queue(void)
{
	struct event_queue *q = g_new0(struct event_queue, 1);

	q->heap = g_array_new(FALSE, FALSE, sizeof(struct entry));
	return q;
}

void destroy_event_queue(struct event_queue *q)
{
	g_array_free(q->heap, TRUE);
	g_free(q);
}

static struct entry *entry_at(const struct event_queue *q, guint i)
{
	return &g_array_index(q->heap, struct entry, i);
}

static bool is_before(const struct event_queue *q, guint a, guint b)
{
	const struct entry *ea = entry_at(q, a);
	const struct entry *eb = entry_at(q, b);

	return ea->at < eb->at || (ea->at == eb->at && ea->order < eb->order);
}

static void swap(struct event_queue *q, guint a, guint b)
{
	struct entry e = *entry_at(q, a);

	*entry_at(q, a) = *entry_at(q, b);
	*entry_at(q, b) = e;
}

void push_event(struct event_queue *q, uint64_t at, void *item)
{
	struct entry e = { at, q->order++, item };
	guint i = q->heap->len;

	g_array_append_val(q->heap, e);
	while (i && is_before(q, i, (i - 1) / 2)) {
		swap(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

uint64_t next_event_time(const struct event_queue *q)
{
	return q->heap->len ? entry_at(q, 0)->at : UINT64_MAX;
}

/* Index of the first in order of I and its children. */
static guint first_of(const struct event_queue *q, guint i)
{
	guint first = i;

	for (guint c = 2 * i + 1; c <= 2 * i + 2 && c < q->heap->len; c++)
		if (is_before(q, c, first))
			first = c;
	return first;
}

void *pop_event(struct event_queue *q)
{
	void *item;
	guint i = 0;

	if (!q->heap->len)
		return NULL;
	item = entry_at(q, 0)->item;
	*entry_at(q, 0) = *entry_at(q, q->heap->len - 1);
	g_array_set_size(q->heap, q->heap->len - 1);
	for (guint c = first_of(q, i); c != i; c = first_of(q, i)) {
		swap(q, i, c);
		i = c;
	}
	return item;
}

size_t event_nr(const struct event_queue *q)
{
	return q->heap->len;
}
