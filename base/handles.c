#include "base/handles.h"

#include <glib.h>

#define HANDLE_INDEX_BITS 20
#define HANDLE_INDEX_MASK ((1U << HANDLE_INDEX_BITS) - 1)
#define HANDLE_GENERATION_MASK ((1U << (32 - HANDLE_INDEX_BITS)) - 1)

struct slot {
	void *item; /* NULL when free */
	uint32_t generation;
};

struct handles {
	GArray *slots;
	GArray *free_indexes;
	size_t used_nr;
};

struct handles *create_handles(void)
{
	struct handles *hs = g_new0(struct handles, 1);

	hs->slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	hs->free_indexes = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	return hs;
}

void destroy_handles(struct handles *hs)
{
	if (!hs)
		return;
	g_array_free(hs->slots, TRUE);
	g_array_free(hs->free_indexes, TRUE);
	g_free(hs);
}

handle_t add_handle(struct handles *hs, void *item)
{
	struct slot *s;
	uint32_t i;

	if (hs->free_indexes->len) {
		guint last = hs->free_indexes->len - 1;

		i = g_array_index(hs->free_indexes, uint32_t, last);
		g_array_set_size(hs->free_indexes, last);
	} else {
		i = hs->slots->len;
		if (i > HANDLE_INDEX_MASK)
			return 0;
		g_array_set_size(hs->slots, i + 1);
		g_array_index(hs->slots, struct slot, i).generation = 1;
	}
	s = &g_array_index(hs->slots, struct slot, i);
	s->item = item;
	hs->used_nr++;
	return s->generation << HANDLE_INDEX_BITS | i;
}

static struct slot *find_slot(const struct handles *hs, handle_t h)
{
	uint32_t i = h & HANDLE_INDEX_MASK;
	struct slot *s;

	if (i >= hs->slots->len)
		return NULL;
	s = &g_array_index(hs->slots, struct slot, i);
	if (!s->item || s->generation != h >> HANDLE_INDEX_BITS)
		return NULL;
	return s;
}

void *find_handle(const struct handles *hs, handle_t h)
{
	const struct slot *s = find_slot(hs, h);

	return s ? s->item : NULL;
}

void *remove_handle(struct handles *hs, handle_t h)
{
	struct slot *s = find_slot(hs, h);
	uint32_t i = h & HANDLE_INDEX_MASK;
	void *item;

	if (!s)
		return NULL;
	item = s->item;
	s->item = NULL;
	s->generation = (s->generation + 1) & HANDLE_GENERATION_MASK;
	if (!s->generation)
		s->generation = 1;
	hs->used_nr--;
	g_array_append_val(hs->free_indexes, i);
	return item;
}

size_t handle_count(const struct handles *hs)
{
	return hs->used_nr;
}
