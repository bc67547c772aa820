#include "flow/cut.h"

#include <glib.h>
#include <string.h>

#include "config/domains.h"

struct domain_cut {
	char name[CONFIG_NAME_MAX];
	bool reachable;
	uint64_t cut_at; /* ms when last seen cut off; 0: never */
};

struct cut_watch {
	struct domain_cut at[DOMAINS_MAX];
	size_t nr;
};

struct cut_watch *create_cut_watch(void)
{
	return g_new0(struct cut_watch, 1);
}

void destroy_cut_watch(struct cut_watch *cw)
{
	g_free(cw);
}

static struct domain_cut *lookup(const struct cut_watch *cw, const char *name)
{
	for (size_t i = 0; i < cw->nr; i++)
		if (!strcmp(cw->at[i].name, name))
			return (struct domain_cut *)&cw->at[i];
	return NULL;
}

static void note_member(struct cut_watch *cw, const struct member *m)
{
	struct domain_cut *d = lookup(cw, m->domain);

	if (!d && cw->nr == DOMAINS_MAX)
		return;
	if (!d) {
		d = &cw->at[cw->nr++];
		memcpy(d->name, m->domain, sizeof(d->name));
	}
	d->reachable |= m->state != MEMBER_DEAD;
}

void update_cut_watch(struct cut_watch *cw, const struct view *v,
		      uint64_t now_ms)
{
	const struct member *ms;
	size_t nr;

	for (size_t i = 0; i < cw->nr; i++)
		cw->at[i].reachable = false;
	ms = view_members(v, &nr);
	for (size_t i = 0; i < nr; i++)
		note_member(cw, &ms[i]);
	for (size_t i = 0; i < cw->nr; i++)
		if (!cw->at[i].reachable)
			cw->at[i].cut_at = now_ms ? now_ms : 1;
}

bool is_cut_off(const struct cut_watch *cw, const char *domain, uint64_t now_ms)
{
	const struct domain_cut *d = lookup(cw, domain);

	return d && d->cut_at && now_ms - d->cut_at <= CUT_GRACE_MS;
}
