#include "t/event-queue.h"

#include <glib.h>

struct event_queue {
	GArray *heap; /* of struct event; the first is the least */
	uint64_t next_seq;
};

struct event_queue *create_event_queue(void)
{
	struct event_queue *q = g_new0(struct event_queue, 1);

	q->heap = g_array_new(FALSE, FALSE, sizeof(struct event));
	return q;
}

void destroy_event_queue(struct event_queue *q)
{
	if (!q)
		return;
	for (guint i = 0; i < q->heap->len; i++)
		g_free(g_array_index(q->heap, struct event, i).data);
	g_array_free(q->heap, TRUE);
	g_free(q);
}

static bool is_before(const struct event *a, const struct event *b)
{
	return a->at < b->at || (a->at == b->at && a->seq < b->seq);
}

static struct event *event_at(struct event_queue *q, guint i)
{
	return &g_array_index(q->heap, struct event, i);
}

static void swap_events(struct event_queue *q, guint a, guint b)
{
	struct event t = *event_at(q, a);

	*event_at(q, a) = *event_at(q, b);
	*event_at(q, b) = t;
}

void push_event(struct event_queue *q, const struct event *ev)
{
	guint i = q->heap->len;
	struct event copy = *ev;

	copy.seq = q->next_seq++;
	g_array_append_val(q->heap, copy);
	while (i && is_before(event_at(q, i), event_at(q, (i - 1) / 2))) {
		swap_events(q, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct event_queue *q)
{
	guint i = 0;

	for (;;) {
		guint least = i;

		for (guint child = 2 * i + 1;
		     child < q->heap->len && child <= 2 * i + 2; child++)
			if (is_before(event_at(q, child), event_at(q, least)))
				least = child;
		if (least == i)
			return;
		swap_events(q, i, least);
		i = least;
	}
}

bool pop_event(struct event_queue *q, uint64_t until, struct event *ev)
{
	if (!q->heap->len || event_at(q, 0)->at > until)
		return false;
	*ev = *event_at(q, 0);
	swap_events(q, 0, q->heap->len - 1);
	g_array_set_size(q->heap, q->heap->len - 1);
	sift_down(q);
	return true;
}
