#include "fleet/beats.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct beat {
	char domain[CONFIG_NAME_MAX];
	uint32_t hash; /* of the domain's name */
	uint64_t at;
	uint64_t changed; /* ms */
};

struct beats {
	struct beat at[DOMAINS_MAX];
	size_t nr;
};

struct beats *create_beats(const char *own)
{
	struct beats *b = g_new0(struct beats, 1);

	add_beat_domain(b, own, 0);
	return b;
}

void destroy_beats(struct beats *b)
{
	g_free(b);
}

static struct beat *find_beat(const struct beats *b, const char *domain)
{
	for (size_t i = 0; i < b->nr; i++)
		if (!strcmp(b->at[i].domain, domain))
			return (struct beat *)&b->at[i];
	return NULL;
}

void add_beat_domain(struct beats *b, const char *domain, uint64_t now_ms)
{
	struct beat *new = &b->at[b->nr];

	if (b->nr == DOMAINS_MAX || find_beat(b, domain))
		return;
	g_strlcpy(new->domain, domain, sizeof(new->domain));
	new->hash = (uint32_t)XXH64(domain, strlen(domain), 0);
	new->changed = now_ms;
	b->nr++;
}

bool take_beat(struct beats *b, uint32_t hash, uint64_t at, uint64_t now_ms)
{
	for (size_t i = 0; i < b->nr; i++) {
		struct beat *beat = &b->at[i];

		if (beat->hash != hash || at <= beat->at)
			continue;
		beat->at = at;
		beat->changed = now_ms;
		return true;
	}
	return false;
}

void raise_beat(struct beats *b, uint64_t now_ms)
{
	struct beat *own = &b->at[0];

	if (now_ms - own->changed < BEAT_MS)
		return;
	own->at++;
	own->changed = now_ms;
}

void restart_beats(struct beats *b, uint64_t now_ms)
{
	for (size_t i = 0; i < b->nr; i++)
		b->at[i].changed = now_ms;
}

size_t beat_nr(const struct beats *b)
{
	return b->nr;
}

uint32_t beat_hash(const struct beats *b, size_t i)
{
	return b->at[i].hash;
}

uint64_t beat_value(const struct beats *b, size_t i)
{
	return b->at[i].at;
}

const char *beat_domain(const struct beats *b, size_t i)
{
	return b->at[i].domain;
}

uint64_t domain_silence(const struct beats *b, const char *domain,
			uint64_t now_ms)
{
	const struct beat *beat = find_beat(b, domain);

	if (!beat || beat == &b->at[0])
		return 0;
	return now_ms - beat->changed;
}
