#include "flow/partition.h"

#include <glib.h>
#include <string.h>

#include "config/domains.h"

struct watched_domain {
	char name[CONFIG_NAME_MAX];
	bool reachable;		 /* a member of it is not dead */
	uint64_t unreachable_ms; /* when it was last unreachable; 0: never */
};

struct partition_watch {
	struct watched_domain domains[DOMAINS_MAX];
	size_t domain_nr;
};

struct partition_watch *create_partition_watch(void)
{
	return g_new0(struct partition_watch, 1);
}

void destroy_partition_watch(struct partition_watch *pw)
{
	g_free(pw);
}

static struct watched_domain *
find_watched_domain(const struct partition_watch *pw, const char *name)
{
	for (size_t i = 0; i < pw->domain_nr; i++)
		if (!strcmp(pw->domains[i].name, name))
			return (struct watched_domain *)&pw->domains[i];
	return NULL;
}

static void note_member(struct partition_watch *pw, const struct member *m)
{
	struct watched_domain *d = find_watched_domain(pw, m->domain);

	if (!d && pw->domain_nr == DOMAINS_MAX)
		return;
	if (!d) {
		d = &pw->domains[pw->domain_nr++];
		memcpy(d->name, m->domain, sizeof(d->name));
	}
	d->reachable |= m->state != MEMBER_DEAD;
}

void update_partition_watch(struct partition_watch *pw, const struct view *v,
			    uint64_t now_ms)
{
	const struct member *ms;
	size_t nr;

	for (size_t i = 0; i < pw->domain_nr; i++)
		pw->domains[i].reachable = false;
	ms = view_members(v, &nr);
	for (size_t i = 0; i < nr; i++)
		note_member(pw, &ms[i]);
	for (size_t i = 0; i < pw->domain_nr; i++)
		if (!pw->domains[i].reachable)
			pw->domains[i].unreachable_ms = now_ms ? now_ms : 1;
}

bool is_partitioned(const struct partition_watch *pw, const char *domain,
		    uint64_t now_ms)
{
	const struct watched_domain *d = find_watched_domain(pw, domain);

	return d && d->unreachable_ms &&
	       now_ms - d->unreachable_ms <= PARTITION_GRACE_MS;
}
