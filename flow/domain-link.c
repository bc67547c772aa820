#include "flow/domain-link.h"

struct domain_link {
	bool known; /* a member there was heard */
	enum link_state state;
	uint64_t state_since_ms;    /* 0: it never changed */
	uint64_t heard_ms;	    /* last heartbeat or answered check */
	uint64_t member_heard_ms;   /* last heartbeat */
	uint64_t doubtful_since_ms; /* 0: the link is up */
	/* as above, moved on by the time that this process was delayed */
	uint64_t silent_since_ms;
	uint64_t no_progress_since_ms; /* of flows, likewise */
	uint64_t expected_ms; /* between heartbeats, when members lived last */
	bool has_live_members;
	size_t accepting;
	size_t suspect;
	bool sign_since_lost;
	/* failed checks of different upstreams since the last sign */
	uint32_t failed_checks;
	upstream_index_t failed_upstream;
	bool control_failed; /* one of an upstream that was not suspect */
};

struct domain_links {
	domain_index_t own;
	GArray *links;	 /* struct domain_link by domain */
	GArray *changes; /* struct link_change, not retrieved yet */
	uint64_t updated_ms;
};

struct domain_links *create_domain_links(domain_index_t own)
{
	struct domain_links *dl = g_new0(struct domain_links, 1);

	dl->own = own;
	dl->links = g_array_new(FALSE, TRUE, sizeof(struct domain_link));
	dl->changes = g_array_new(FALSE, FALSE, sizeof(struct link_change));
	return dl;
}

void destroy_domain_links(struct domain_links *dl)
{
	if (!dl)
		return;
	g_array_free(dl->links, TRUE);
	g_array_free(dl->changes, TRUE);
	g_free(dl);
}

/* The link to DOMAIN; NULL if no member there was ever heard. */
static struct domain_link *find_link(const struct domain_links *dl,
				     domain_index_t domain)
{
	struct domain_link *l;

	if (domain >= dl->links->len)
		return NULL;
	l = &g_array_index(dl->links, struct domain_link, domain);
	return l->known ? l : NULL;
}

static void note_sign(struct domain_link *l)
{
	l->sign_since_lost = true;
	l->failed_checks = 0;
	l->control_failed = false;
	l->failed_upstream = CATALOG_NONE;
}

static void note_heard(struct domain_link *l, uint64_t heard_ms)
{
	if (heard_ms <= l->heard_ms)
		return;
	l->heard_ms = heard_ms;
	l->silent_since_ms = MAX(l->silent_since_ms, heard_ms);
	note_sign(l);
}

void note_domain_heard(struct domain_links *dl, domain_index_t domain,
		       uint64_t heard_ms, uint64_t expected_ms)
{
	struct domain_link *l;

	if (domain == CATALOG_NONE)
		return;
	if (dl->links->len <= domain)
		g_array_set_size(dl->links, (guint)domain + 1);
	l = &g_array_index(dl->links, struct domain_link, domain);
	l->known = true;
	l->has_live_members = expected_ms;
	if (expected_ms)
		l->expected_ms = expected_ms;
	l->member_heard_ms = MAX(l->member_heard_ms, heard_ms);
	note_heard(l, heard_ms);
}

void note_domain_answer(struct domain_links *dl, domain_index_t domain,
			uint64_t now_ms)
{
	struct domain_link *l = find_link(dl, domain);

	if (l)
		note_heard(l, now_ms);
}

void note_domain_progress(struct domain_links *dl, domain_index_t domain,
			  uint64_t now_ms)
{
	struct domain_link *l = find_link(dl, domain);

	if (!l)
		return;
	l->no_progress_since_ms = now_ms;
	note_sign(l);
}

void note_domain_failed_check(struct domain_links *dl, domain_index_t domain,
			      upstream_index_t upstream, bool is_control)
{
	struct domain_link *l = find_link(dl, domain);

	if (l && is_control)
		l->control_failed = true;
	if (!l || (l->failed_checks && l->failed_upstream == upstream))
		return;
	l->failed_checks++;
	l->failed_upstream = upstream;
}

void set_domain_upstreams(struct domain_links *dl, domain_index_t domain,
			  size_t accepting, size_t suspect)
{
	struct domain_link *l = find_link(dl, domain);

	if (!l)
		return;
	l->accepting = accepting;
	l->suspect = suspect;
}

static uint64_t silence_limit_ms(const struct domain_link *l)
{
	return CLAMP(DOMAIN_LINK_MISSES * l->expected_ms,
		     DOMAIN_LINK_SILENCE_MIN_MS, DOMAIN_LINK_SILENCE_MAX_MS);
}

static bool is_silent(const struct domain_link *l, uint64_t now_ms)
{
	return now_ms >= l->silent_since_ms + silence_limit_ms(l);
}

/*
 * Whether no other member of the own domain is heard although some should be:
 * then heartbeats are perhaps lost on this instance's side only.
 */
static bool is_own_domain_silent(const struct domain_links *dl, uint64_t now_ms)
{
	const struct domain_link *own = find_link(dl, dl->own);

	return own && own->has_live_members && is_silent(own, now_ms);
}

static enum link_state assess_link(const struct domain_links *dl,
				   const struct domain_link *l, uint64_t now_ms)
{
	size_t needed = CLAMP(l->accepting, 1, DOMAIN_LINK_FAILED_CHECKS);

	if (l->state == LINK_LOST && !l->sign_since_lost)
		return LINK_LOST;
	if (!is_silent(l, now_ms))
		return LINK_UP;
	if (now_ms < l->no_progress_since_ms + silence_limit_ms(l))
		return LINK_DOUBTFUL;
	if (l->failed_checks >= needed)
		return LINK_LOST;
	return l->suspect >= DOMAIN_LINK_SUSPECTS &&
			       !is_own_domain_silent(dl, now_ms)
		       ? LINK_LOST
		       : LINK_DOUBTFUL;
}

static void excuse_delay(struct domain_links *dl, uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - dl->updated_ms;

	if (!dl->updated_ms || gap_ms <= DOMAIN_LINK_LATE_TICK_MS)
		return;
	for (guint i = 0; i < dl->links->len; i++) {
		struct domain_link *l =
			&g_array_index(dl->links, struct domain_link, i);

		l->silent_since_ms = MIN(now_ms, l->silent_since_ms + gap_ms);
		l->no_progress_since_ms =
			MIN(now_ms, l->no_progress_since_ms + gap_ms);
	}
}

void update_domain_links(struct domain_links *dl, uint64_t now_ms)
{
	excuse_delay(dl, now_ms);
	dl->updated_ms = now_ms;
	for (guint i = 0; i < dl->links->len; i++) {
		struct domain_link *l =
			&g_array_index(dl->links, struct domain_link, i);
		struct link_change ch = { .domain = (domain_index_t)i,
					  .from = l->state };

		if (!l->known || i == dl->own)
			continue;
		ch.to = assess_link(dl, l, now_ms);
		if (ch.to == ch.from)
			continue;
		ch.silent_ms = now_ms - MIN(now_ms, l->heard_ms);
		l->state = ch.to;
		l->state_since_ms = now_ms;
		if (ch.to == LINK_UP || ch.from == LINK_UP)
			l->doubtful_since_ms = ch.to == LINK_UP ? 0 : now_ms;
		if (ch.to == LINK_LOST)
			l->sign_since_lost = false;
		g_array_append_val(dl->changes, ch);
	}
}

enum link_state domain_link_state(const struct domain_links *dl,
				  domain_index_t domain)
{
	const struct domain_link *l = find_link(dl, domain);

	return l ? l->state : LINK_UP;
}

bool is_domain_link_cut(const struct domain_links *dl, domain_index_t domain,
			uint64_t now_ms)
{
	const struct domain_link *l = find_link(dl, domain);

	return l && l->state == LINK_LOST && l->control_failed &&
	       !is_own_domain_silent(dl, now_ms);
}

struct link_evidence describe_domain_link(const struct domain_links *dl,
					  domain_index_t domain,
					  uint64_t now_ms)
{
	const struct domain_link *l = find_link(dl, domain);

	if (!l)
		return (struct link_evidence){ 0 };
	return (struct link_evidence){
		.state = l->state,
		.state_ms = l->state_since_ms ? now_ms - l->state_since_ms : 0,
		.heard_ms = now_ms - MIN(now_ms, l->heard_ms),
		.member_heard_ms = now_ms - MIN(now_ms, l->member_heard_ms),
		.failed_checks = l->failed_checks,
		.control_failed = l->control_failed
	};
}

size_t domain_link_count(const struct domain_links *dl)
{
	return dl->links->len;
}

uint64_t domain_member_heard_ms(const struct domain_links *dl,
				domain_index_t domain)
{
	const struct domain_link *l = find_link(dl, domain);

	return l ? l->member_heard_ms : 0;
}

uint64_t domain_doubtful_ms(const struct domain_links *dl,
			    domain_index_t domain, uint64_t now_ms)
{
	const struct domain_link *l = find_link(dl, domain);

	return l && l->doubtful_since_ms ? now_ms - l->doubtful_since_ms : 0;
}

bool was_domain_heard_since(const struct domain_links *dl,
			    domain_index_t domain, uint64_t since_ms)
{
	const struct domain_link *l = find_link(dl, domain);

	return !l || domain == dl->own || l->heard_ms > since_ms;
}

bool hears_no_other_domain(const struct domain_links *dl)
{
	bool any_known = false;

	for (guint i = 0; i < dl->links->len; i++) {
		const struct domain_link *l = find_link(dl, (domain_index_t)i);

		if (!l || i == dl->own)
			continue;
		if (l->state == LINK_UP)
			return false;
		any_known = true;
	}
	return any_known;
}

void pop_link_changes(struct domain_links *dl, GArray *changes)
{
	g_array_append_vals(changes, dl->changes->data, dl->changes->len);
	g_array_set_size(dl->changes, 0);
}

const char *link_state_name(enum link_state s)
{
	static const char *const names[LINK_STATE_NR] = { "up", "doubtful",
							  "lost" };

	return names[s];
}
