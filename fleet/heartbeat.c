#include "fleet/heartbeat.h"

#include <string.h>

#include "fleet/heartbeat-state.h"
#include "fleet/peer-format.h"
#include "fleet/store-reader.h"

#define LOAD_ROW_FIELDS 6

void write_heartbeat(struct wire_writer *w, const struct heartbeat_message *hm)
{
	write_array(w, 12 + LOAD_ROW_FIELDS * hm->rows->len);
	write_uint(w, HEARTBEAT_FORMAT);
	write_str(w, hm->member.name);
	write_str(w, hm->member.domain);
	write_endpoint(w, &hm->member.address);
	write_uint(w, hm->member.peer_port);
	write_uint(w, hm->member.start_number);
	write_uint(w, hm->member.link_mbps);
	write_uint(w, hm->flags);
	write_uint(w, hm->config_version);
	write_uint(w, hm->store_position.era);
	write_uint(w, hm->store_position.revision);
	write_uint(w, hm->store_digest);
	for (guint i = 0; i < hm->rows->len; i++) {
		const struct upstream_load_row *r =
			&g_array_index(hm->rows, struct upstream_load_row, i);

		write_uint(w, r->cookie);
		write_uint(w, r->busy_flows);
		write_uint(w, r->expected_flows);
		write_uint(w, r->silent_ms);
		write_uint(w, r->health);
		write_uint(w, r->quality);
	}
}

bool is_heartbeat(const uint8_t *data, size_t len)
{
	return has_peer_format(data, len, HEARTBEAT_FORMAT);
}

bool read_heartbeat(const void *data, size_t len, struct heartbeat_message *hm)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len);

	if (ok && read_uint(&r, UINT8_MAX) != HEARTBEAT_FORMAT)
		ok = false;
	if (ok) {
		read_str(&r, hm->member.name, sizeof(hm->member.name));
		read_str(&r, hm->member.domain, sizeof(hm->member.domain));
		read_endpoint(&r, &hm->member.address);
		hm->member.peer_port = (uint16_t)read_uint(&r, UINT16_MAX);
		hm->member.start_number = (uint32_t)read_uint(&r, UINT32_MAX);
		hm->member.link_mbps = (uint32_t)read_uint(&r, UINT32_MAX);
		hm->flags = (uint8_t)read_uint(&r, UINT8_MAX);
		hm->config_version = read_uint(&r, UINT64_MAX);
		hm->store_position.era = read_uint(&r, UINT64_MAX);
		hm->store_position.revision = read_uint(&r, UINT64_MAX);
		hm->store_digest = read_uint(&r, UINT64_MAX);
	}
	while (ok && !r.malformed && r.remaining >= LOAD_ROW_FIELDS) {
		struct upstream_load_row row = { 0 };

		row.cookie = (uint32_t)read_uint(&r, UINT32_MAX);
		row.busy_flows = (uint16_t)read_uint(&r, UINT16_MAX);
		row.expected_flows = (uint16_t)read_uint(&r, UINT16_MAX);
		row.silent_ms = (uint16_t)read_uint(&r, UINT16_MAX);
		row.health = (uint8_t)read_uint(&r, HEALTH_DEAD);
		row.quality = (uint32_t)read_uint(&r, UPSTREAM_QUALITY_MAX);
		g_array_append_val(hm->rows, row);
	}
	ok = ok && !r.malformed && !r.remaining && hm->member.name[0];
	hm->member.id = service_id(hm->member.name);
	release_wire_message(&msg);
	return ok;
}

struct heartbeat_tracker *create_heartbeat_tracker(const struct member *self,
						   struct view *view,
						   uint64_t now_ms)
{
	struct heartbeat_tracker *ht = g_new0(struct heartbeat_tracker, 1);

	ht->self = *self;
	ht->view = view;
	ht->peers = g_array_new(FALSE, FALSE, sizeof(struct peer));
	ht->addresses = g_array_new(FALSE, FALSE, sizeof(struct address));
	ht->heard_domains =
		g_array_new(FALSE, FALSE, sizeof(struct heard_domain));
	ht->settled_at_ms = now_ms + HEARTBEAT_SETTLE_MS;
	ht->started_at_ms = now_ms;
	set_view_member(view, self);
	return ht;
}

void destroy_heartbeat_tracker(struct heartbeat_tracker *ht)
{
	if (!ht)
		return;
	g_array_free(ht->peers, TRUE);
	g_array_free(ht->heard_domains, TRUE);
	g_array_free(ht->addresses, TRUE);
	g_free(ht);
}

void add_heartbeat_address(struct heartbeat_tracker *ht,
			   const struct endpoint *at)
{
	struct address a = { .peer_endpoint = *at };
	struct endpoint self = member_endpoint(&ht->self);

	if (same_endpoint(&self, at))
		return;
	for (guint i = 0; i < ht->addresses->len; i++)
		if (same_endpoint(
			    &g_array_index(ht->addresses, struct address, i)
				     .peer_endpoint,
			    at))
			return;
	g_array_append_val(ht->addresses, a);
}

static struct peer *find_heartbeat_peer(const struct heartbeat_tracker *ht,
					uint64_t id)
{
	for (guint i = 0; i < ht->peers->len; i++) {
		struct peer *p = &g_array_index(ht->peers, struct peer, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

static void note_heard_domain(struct heartbeat_tracker *ht, const char *name,
			      bool ready, uint64_t now_ms)
{
	struct heard_domain new = { .last_heard_ms = now_ms,
				    .last_ready_ms = ready ? now_ms : 0 };

	for (guint i = 0; i < ht->heard_domains->len; i++) {
		struct heard_domain *hd = &g_array_index(
			ht->heard_domains, struct heard_domain, i);

		if (strcmp(hd->name, name) != 0)
			continue;
		hd->last_heard_ms = now_ms;
		if (ready) {
			hd->last_ready_ms = now_ms;
			hd->away = false;
		}
		return;
	}
	g_strlcpy(new.name, name, sizeof(new.name));
	g_array_append_val(ht->heard_domains, new);
}

void handle_heartbeat(struct heartbeat_tracker *ht,
		      const struct heartbeat_message *hm, uint64_t now_ms)
{
	struct peer new = { .id = hm->member.id };
	struct member m = hm->member;
	struct peer *p = find_heartbeat_peer(ht, m.id);
	struct endpoint at = member_endpoint(&m);

	if (m.id == ht->self.id)
		return;
	if (!p) {
		g_array_append_val(ht->peers, new);
		p = find_heartbeat_peer(ht, m.id);
	}
	p->last_heard_ms = now_ms;
	p->ready = hm->flags & HEARTBEAT_READY;
	note_heard_domain(ht, m.domain, p->ready, now_ms);
	p->takes_split_flows = hm->flags & HEARTBEAT_SPLIT_FLOWS;
	p->takes_marks = hm->flags & HEARTBEAT_MARKED_COOKIES;
	p->knows_split_flows = hm->flags & HEARTBEAT_KNOWS_SPLIT_FLOWS;
	p->store_position = hm->store_position;
	p->config_version = hm->config_version;
	if (hm->flags & HEARTBEAT_READS_STORE)
		p->last_reader_ms = now_ms;
	m.state = hm->flags & HEARTBEAT_LEAVING ? MEMBER_LEAVING : MEMBER_ALIVE;
	set_view_member(ht->view, &m);
	add_heartbeat_address(ht, &at);
}

void restart_heartbeats(struct heartbeat_tracker *ht, uint64_t now_ms)
{
	set_view_settled(ht->view, false);
	ht->settled_at_ms = now_ms + HEARTBEAT_SETTLE_MS;
	for (guint i = 0; i < ht->peers->len; i++)
		g_array_index(ht->peers, struct peer, i).last_heard_ms = now_ms;
	for (guint i = 0; i < ht->heard_domains->len; i++) {
		struct heard_domain *hd = &g_array_index(
			ht->heard_domains, struct heard_domain, i);

		if (hd->last_ready_ms)
			hd->last_ready_ms = now_ms;
	}
}

/* Interval of an instance in a domain of MEMBERS live instances. */
static uint64_t domain_interval_ms(size_t members)
{
	if (members <= HEARTBEAT_SMALL_DOMAIN_MEMBERS)
		return HEARTBEAT_INTERVAL_MS;
	return HEARTBEAT_INTERVAL_MS +
	       HEARTBEAT_PER_MEMBER_MS *
		       (members - HEARTBEAT_SMALL_DOMAIN_MEMBERS);
}

static uint64_t heartbeat_interval_ms(const struct heartbeat_tracker *ht)
{
	const struct member *ms;
	size_t members = 0;
	size_t nr;

	ms = view_members(ht->view, &nr);
	for (size_t i = 0; i < nr; i++)
		members +=
			is_live_member(&ms[i]) && !is_remote_member(ht, &ms[i]);
	return domain_interval_ms(members);
}

static void mark_silent_peers_dead(struct heartbeat_tracker *ht,
				   uint64_t now_ms)
{
	uint64_t own_domain_limit_ms =
		HEARTBEAT_DEAD_MISSES * heartbeat_interval_ms(ht);
	bool large =
		live_member_count(ht->view) > HEARTBEAT_REMOTE_FLEET_MEMBERS;

	for (guint i = ht->peers->len; i > 0; i--) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i - 1);
		const struct member *known = find_member(ht->view, p->id);
		uint64_t silent_ms = now_ms - p->last_heard_ms;
		bool fewer = large && known && is_remote_member(ht, known);
		uint64_t limit =
			fewer ? own_domain_limit_ms * HEARTBEAT_REMOTE_FACTOR
			      : own_domain_limit_ms;

		if (silent_ms > limit && known && known->state != MEMBER_DEAD) {
			struct member m = *known;

			m.state = MEMBER_DEAD;
			set_view_member(ht->view, &m);
		}
		if (silent_ms <= HEARTBEAT_FORGET_MS)
			continue;
		remove_member(ht->view, p->id);
		g_array_remove_index_fast(ht->peers, i - 1);
	}
}

/* The member at address AT, if WANT_DEAD also a dead one; NULL: none. */
static const struct member *find_member_at(const struct heartbeat_tracker *ht,
					   const struct endpoint *at,
					   bool want_dead)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(ht->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint ep = member_endpoint(&ms[i]);

		if ((want_dead || ms[i].state != MEMBER_DEAD) &&
		    same_endpoint(&ep, at))
			return &ms[i];
	}
	return NULL;
}

/*
 * True if this round's heartbeat is not sent to M, of another domain. Members
 * that started together have the same rounds; with the sender's id in the sum
 * they do not all choose the same round for M.
 */
static bool skips_remote_member(const struct heartbeat_tracker *ht,
				const struct member *m)
{
	return live_member_count(ht->view) > HEARTBEAT_REMOTE_FLEET_MEMBERS &&
	       is_remote_member(ht, m) &&
	       (ht->sent_rounds + m->id + ht->self.id) %
		       HEARTBEAT_REMOTE_FACTOR;
}

bool should_read_store(const struct heartbeat_tracker *ht, uint64_t now_ms)
{
	uint64_t interval = heartbeat_interval_ms(ht);
	uint64_t limit = (HEARTBEAT_DEAD_MISSES - 1) * interval;
	uint64_t delay_ms = MAX(STORE_READER_DELAY_MS,
				STORE_READER_DELAY_INTERVALS * interval);
	/* when a reader was heard last, or could have been the first time */
	uint64_t heard_ms = ht->started_at_ms + delay_ms;

	if (now_ms < heard_ms)
		return false;
	if (is_store_reader(ht->view))
		return true;
	for (guint i = 0; i < ht->peers->len; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i);
		const struct member *m = find_member(ht->view, p->id);

		if (m && !is_remote_member(ht, m))
			heard_ms = MAX(heard_ms, p->last_reader_ms);
	}
	return now_ms - heard_ms >= limit &&
	       is_store_reader_after(
		       ht->view,
		       1 + (unsigned int)((now_ms - heard_ms - limit) /
					  interval));
}

uint64_t highest_ready_config_version(const struct heartbeat_tracker *ht)
{
	uint64_t highest = 0;

	for (guint i = 0; i < ht->peers->len; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i);
		const struct member *m = find_member(ht->view, p->id);

		if (p->ready && m && m->state == MEMBER_ALIVE)
			highest = MAX(highest, p->config_version);
	}
	return highest;
}

/* Live members of DOMAIN, without this instance. */
static size_t live_members_in(const struct heartbeat_tracker *ht,
			      const char *domain)
{
	const struct member *ms;
	size_t members = 0;
	size_t nr;

	ms = view_members(ht->view, &nr);
	for (size_t i = 0; i < nr; i++)
		members += ms[i].id != ht->self.id && is_live_member(&ms[i]) &&
			   !strcmp(ms[i].domain, domain);
	return members;
}

uint64_t expected_domain_ms(const struct heartbeat_tracker *ht,
			    const char *domain)
{
	bool large =
		live_member_count(ht->view) > HEARTBEAT_REMOTE_FLEET_MEMBERS;
	bool remote = strcmp(domain, ht->self.domain) != 0;
	size_t members = live_members_in(ht, domain);

	/* this instance counts in the interval of its own domain */
	return members ? domain_interval_ms(members + !remote) *
				 (large && remote ? HEARTBEAT_REMOTE_FACTOR
						  : 1) /
				 members
		       : 0;
}

void list_heard_domains(const struct heartbeat_tracker *ht, GArray *to)
{
	for (guint i = 0; i < ht->heard_domains->len; i++) {
		struct heard_domain hd = g_array_index(ht->heard_domains,
						       struct heard_domain, i);
		uint64_t expected_ms = expected_domain_ms(ht, hd.name);

		if (expected_ms)
			hd.expected_ms = expected_ms;
		g_array_append_val(to, hd);
	}
}

void list_domain_endpoints(const struct heartbeat_tracker *ht, GArray *to)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(ht->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint at = member_endpoint(&ms[i]);

		if (ms[i].id != ht->self.id && ms[i].state != MEMBER_DEAD &&
		    !is_remote_member(ht, &ms[i]))
			g_array_append_val(to, at);
	}
}

bool all_members_take_marks(const struct heartbeat_tracker *ht)
{
	for (guint i = 0; i < ht->peers->len; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i);
		const struct member *m = find_member(ht->view, p->id);

		if (m && m->state != MEMBER_DEAD && !p->takes_marks)
			return false;
	}
	return true;
}

bool is_member_address(const struct heartbeat_tracker *ht,
		       const struct endpoint *at)
{
	return find_member_at(ht, at, true);
}

bool pick_member_ahead(const struct heartbeat_tracker *ht,
		       struct store_position position, GRand *rand,
		       struct endpoint *at)
{
	bool in_own_domain = false;
	gint32 found = 0;

	for (guint i = 0; i < ht->peers->len; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, i);
		const struct member *m = find_member(ht->view, p->id);

		if (!m || m->state == MEMBER_DEAD ||
		    compare_store_positions(p->store_position, position) <= 0 ||
		    (in_own_domain && is_remote_member(ht, m)))
			continue;
		if (!in_own_domain && !is_remote_member(ht, m)) {
			in_own_domain = true;
			found = 0;
		}
		/* reservoir sampling: all candidates are equally likely */
		if (g_rand_int_range(rand, 0, ++found) == 0)
			*at = member_endpoint(m);
	}
	return found;
}

bool tick_heartbeats(struct heartbeat_tracker *ht, uint64_t now_ms, bool urgent,
		     GArray *to)
{
	uint64_t interval =
		urgent ? HEARTBEAT_URGENT_MS : heartbeat_interval_ms(ht);

	mark_silent_peers_dead(ht, now_ms);
	if (now_ms >= ht->settled_at_ms && !is_view_settled(ht->view))
		set_view_settled(ht->view, true);
	if (ht->last_sent_ms && now_ms - ht->last_sent_ms < interval)
		return false;
	ht->last_sent_ms = now_ms;
	ht->sent_rounds++;
	for (guint i = 0; i < ht->addresses->len; i++) {
		struct address *a =
			&g_array_index(ht->addresses, struct address, i);

		const struct member *m =
			find_member_at(ht, &a->peer_endpoint, false);

		if (!m && a->last_tried_ms &&
		    now_ms - a->last_tried_ms < HEARTBEAT_SEARCH_MS)
			continue;
		if (m && skips_remote_member(ht, m))
			continue;
		a->last_tried_ms = now_ms;
		g_array_append_val(to, a->peer_endpoint);
	}
	return true;
}

/* Which of the ready members may be picked. */
struct member_filter {
	bool in_own_domain;
	bool takes_split_flows;
	bool knows_split_flows;
	uint64_t configured_after; /* a version; 0: with any */
};

static bool passes_filter(const struct heartbeat_tracker *ht,
			  const struct peer *p, const struct member *m,
			  const struct member_filter *mf)
{
	return p->ready && m && m->state == MEMBER_ALIVE &&
	       !(mf->in_own_domain && is_remote_member(ht, m)) &&
	       !(mf->takes_split_flows && !p->takes_split_flows) &&
	       !(mf->knows_split_flows && !p->knows_split_flows) &&
	       !(mf->configured_after &&
		 p->config_version <= mf->configured_after);
}

static bool has_endpoint(const struct endpoint *list, size_t nr,
			 const struct endpoint *at)
{
	for (size_t i = 0; i < nr; i++)
		if (same_endpoint(&list[i], at))
			return true;
	return false;
}

/*
 * Adds up to NR ready members that MF lets pass to the FOUND ones at TO, which
 * are not picked again. Returns the number of all.
 */
static size_t add_ready_members(const struct heartbeat_tracker *ht,
				const struct member_filter *mf, GRand *rand,
				struct endpoint *to, size_t found, size_t nr)
{
	guint n = ht->peers->len;
	guint at = n ? (guint)g_rand_int_range(rand, 0, (gint32)n) : 0;

	for (guint i = 0; i < n && found < nr; i++) {
		const struct peer *p =
			&g_array_index(ht->peers, struct peer, (at + i) % n);
		const struct member *m = find_member(ht->view, p->id);
		struct endpoint ep;

		if (!passes_filter(ht, p, m, mf))
			continue;
		ep = member_endpoint(m);
		if (!has_endpoint(to, found, &ep))
			to[found++] = ep;
	}
	return found;
}

/* Members that MF lets pass, of the own domain if there are any. */
static size_t pick_near_members(const struct heartbeat_tracker *ht,
				struct member_filter mf, GRand *rand,
				struct endpoint *to, size_t nr)
{
	size_t found;

	mf.in_own_domain = true;
	found = add_ready_members(ht, &mf, rand, to, 0, nr);
	mf.in_own_domain = false;
	return found ? found : add_ready_members(ht, &mf, rand, to, 0, nr);
}

bool pick_member_configured_after(const struct heartbeat_tracker *ht,
				  uint64_t version, GRand *rand,
				  struct endpoint *at)
{
	/* any version is later than none */
	struct member_filter mf = { .configured_after = version };

	return pick_near_members(ht, mf, rand, at, 1);
}

size_t pick_relays(const struct heartbeat_tracker *ht, GRand *rand,
		   struct endpoint *to, size_t nr)
{
	const struct member_filter any = { 0 };

	return add_ready_members(ht, &any, rand, to, 0, nr);
}

size_t pick_knowing_members(const struct heartbeat_tracker *ht, GRand *rand,
			    struct endpoint *to, size_t nr)
{
	const struct member_filter knowing = { .knows_split_flows = true };
	const struct member_filter neighbour = { .in_own_domain = true };
	const struct member_filter any = { 0 };
	size_t found = add_ready_members(ht, &knowing, rand, to, 0, 1);

	found = add_ready_members(ht, &neighbour, rand, to, found, nr);
	return add_ready_members(ht, &any, rand, to, found, nr);
}

bool knows_split_flows(const struct heartbeat_tracker *ht,
		       const struct endpoint *at)
{
	const struct member *m = find_member_at(ht, at, false);
	const struct peer *p = m ? find_heartbeat_peer(ht, m->id) : NULL;

	return p && p->knows_split_flows;
}

size_t pick_neighbours(const struct heartbeat_tracker *ht, GRand *rand,
		       struct endpoint *to, size_t nr)
{
	const struct member_filter mf = { .takes_split_flows = true };

	return pick_near_members(ht, mf, rand, to, nr);
}
