#include "fleet/domain-heartbeats.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct domain_heartbeat {
	char domain[CONFIG_NAME_MAX];
	uint32_t domain_hash; /* of the domain's name */
	uint64_t value;
	uint64_t changed_at_ms;
};

struct domain_heartbeats {
	struct domain_heartbeat domains[DOMAINS_MAX];
	size_t nr;
};

struct domain_heartbeats *create_domain_heartbeats(const char *own)
{
	struct domain_heartbeats *dh = g_new0(struct domain_heartbeats, 1);

	add_heartbeat_domain(dh, own, 0);
	return dh;
}

void destroy_domain_heartbeats(struct domain_heartbeats *dh)
{
	g_free(dh);
}

static struct domain_heartbeat *
find_domain_heartbeat(const struct domain_heartbeats *dh, const char *domain)
{
	for (size_t i = 0; i < dh->nr; i++)
		if (!strcmp(dh->domains[i].domain, domain))
			return (struct domain_heartbeat *)&dh->domains[i];
	return NULL;
}

void add_heartbeat_domain(struct domain_heartbeats *dh, const char *domain,
			  uint64_t now_ms)
{
	struct domain_heartbeat *new = &dh->domains[dh->nr];

	if (dh->nr == DOMAINS_MAX || find_domain_heartbeat(dh, domain))
		return;
	g_strlcpy(new->domain, domain, sizeof(new->domain));
	new->domain_hash = (uint32_t)XXH64(domain, strlen(domain), 0);
	new->changed_at_ms = now_ms;
	dh->nr++;
}

bool update_domain_heartbeat(struct domain_heartbeats *dh, uint32_t hash,
			     uint64_t value, uint64_t now_ms)
{
	for (size_t i = 0; i < dh->nr; i++) {
		struct domain_heartbeat *hb = &dh->domains[i];

		if (hb->domain_hash != hash || value <= hb->value)
			continue;
		hb->value = value;
		hb->changed_at_ms = now_ms;
		return true;
	}
	return false;
}

void advance_own_heartbeat(struct domain_heartbeats *dh, uint64_t now_ms)
{
	struct domain_heartbeat *own = &dh->domains[0];

	if (now_ms - own->changed_at_ms < DOMAIN_HEARTBEAT_MS)
		return;
	own->value++;
	own->changed_at_ms = now_ms;
}

void reset_domain_silence(struct domain_heartbeats *dh, uint64_t now_ms)
{
	for (size_t i = 0; i < dh->nr; i++)
		dh->domains[i].changed_at_ms = now_ms;
}

size_t domain_heartbeat_count(const struct domain_heartbeats *dh)
{
	return dh->nr;
}

uint32_t heartbeat_domain_hash(const struct domain_heartbeats *dh, size_t i)
{
	return dh->domains[i].domain_hash;
}

uint64_t domain_heartbeat_value(const struct domain_heartbeats *dh, size_t i)
{
	return dh->domains[i].value;
}

const char *heartbeat_domain(const struct domain_heartbeats *dh, size_t i)
{
	return dh->domains[i].domain;
}

uint64_t domain_silence_ms(const struct domain_heartbeats *dh,
			   const char *domain, uint64_t now_ms)
{
	const struct domain_heartbeat *hb = find_domain_heartbeat(dh, domain);

	if (!hb || hb == &dh->domains[0])
		return 0;
	return now_ms - hb->changed_at_ms;
}
