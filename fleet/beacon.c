#include "fleet/beacon.h"

#include <string.h>

#include "fleet/reader.h"

#define BEACON_FORMAT 1 /* first element; a change of layout changes it */
#define ROW_FIELDS 5

struct peer {
	uint64_t id;
	uint64_t heard_ms;
	uint64_t watching_ms; /* when it last said that it follows the store */
	uint64_t revision;    /* of the store, as it has seen it */
	bool ready;
};

struct address {
	struct endpoint at;
	uint64_t tried_ms;
};

struct beacons {
	struct member self;
	struct view *view;
	GArray *peers;	   /* of struct peer */
	GArray *addresses; /* of struct address */
	uint64_t sent_ms;
	uint64_t settle_ms; /* the view is settled from then on */
	uint64_t start_ms;
	uint64_t round; /* counts beacons sent */
};

/* Whether M is in another domain than this instance. */
static bool is_far(const struct beacons *bs, const struct member *m)
{
	return strcmp(m->domain, bs->self.domain) != 0;
}

void write_beacon(struct wire_writer *w, const struct beacon *b)
{
	put_array(w, 11 + ROW_FIELDS * b->rows->len);
	put_uint(w, BEACON_FORMAT);
	put_str(w, b->member.name);
	put_str(w, b->member.domain);
	put_endpoint(w, &b->member.address);
	put_uint(w, b->member.peer_port);
	put_uint(w, b->member.start);
	put_uint(w, b->member.strength);
	put_uint(w, b->flags);
	put_uint(w, b->config_version);
	put_uint(w, b->store_revision);
	put_uint(w, b->store_digest);
	for (guint i = 0; i < b->rows->len; i++) {
		const struct load_row *r =
			&g_array_index(b->rows, struct load_row, i);

		put_uint(w, r->cookie);
		put_uint(w, r->busy);
		put_uint(w, r->open);
		put_uint(w, r->life_ms);
		put_uint(w, r->health);
	}
}

bool is_beacon(const uint8_t *data, size_t len)
{
	/* the head of an array takes one, three or five bytes */
	size_t head = data[0] == 0xdc ? 3 : data[0] == 0xdd ? 5 : 1;

	return len > head && data[head] == BEACON_FORMAT;
}

bool read_beacon(const void *data, size_t len, struct beacon *b)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire(&msg, &r, data, len);

	if (ok && take_uint(&r, UINT8_MAX) != BEACON_FORMAT)
		ok = false;
	if (ok) {
		take_str(&r, b->member.name, sizeof(b->member.name));
		take_str(&r, b->member.domain, sizeof(b->member.domain));
		take_endpoint(&r, &b->member.address);
		b->member.peer_port = (uint16_t)take_uint(&r, UINT16_MAX);
		b->member.start = (uint32_t)take_uint(&r, UINT32_MAX);
		b->member.strength = (uint32_t)take_uint(&r, UINT32_MAX);
		b->flags = (uint8_t)take_uint(&r, UINT8_MAX);
		b->config_version = take_uint(&r, UINT64_MAX);
		b->store_revision = take_uint(&r, UINT64_MAX);
		b->store_digest = take_uint(&r, UINT64_MAX);
	}
	while (ok && !r.bad && r.left >= ROW_FIELDS) {
		struct load_row row;

		row.cookie = (uint32_t)take_uint(&r, UINT32_MAX);
		row.busy = (uint16_t)take_uint(&r, UINT16_MAX);
		row.open = (uint16_t)take_uint(&r, UINT16_MAX);
		row.life_ms = (uint16_t)take_uint(&r, UINT16_MAX);
		row.health = (uint8_t)take_uint(&r, HEALTH_DEAD);
		g_array_append_val(b->rows, row);
	}
	ok = ok && !r.bad && !r.left && b->member.name[0];
	b->member.id = service_id(b->member.name);
	release_wire(&msg);
	return ok;
}

struct beacons *create_beacons(const struct member *self, struct view *view,
			       uint64_t now_ms)
{
	struct beacons *bs = g_new0(struct beacons, 1);

	bs->self = *self;
	bs->view = view;
	bs->peers = g_array_new(FALSE, FALSE, sizeof(struct peer));
	bs->addresses = g_array_new(FALSE, FALSE, sizeof(struct address));
	bs->settle_ms = now_ms + BEACON_SETTLE_MS;
	bs->start_ms = now_ms;
	put_member(view, self);
	return bs;
}

void destroy_beacons(struct beacons *bs)
{
	if (!bs)
		return;
	g_array_free(bs->peers, TRUE);
	g_array_free(bs->addresses, TRUE);
	g_free(bs);
}

void add_beacon_address(struct beacons *bs, const struct endpoint *at)
{
	struct address a = { .at = *at };
	struct endpoint self = member_endpoint(&bs->self);

	if (same_endpoint(&self, at))
		return;
	for (guint i = 0; i < bs->addresses->len; i++)
		if (same_endpoint(
			    &g_array_index(bs->addresses, struct address, i).at,
			    at))
			return;
	g_array_append_val(bs->addresses, a);
}

static struct peer *find_peer(const struct beacons *bs, uint64_t id)
{
	for (guint i = 0; i < bs->peers->len; i++) {
		struct peer *p = &g_array_index(bs->peers, struct peer, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

void take_beacon(struct beacons *bs, const struct beacon *b, uint64_t now_ms)
{
	struct peer new = { .id = b->member.id };
	struct member m = b->member;
	struct peer *p = find_peer(bs, m.id);
	struct endpoint at = member_endpoint(&m);

	if (m.id == bs->self.id)
		return;
	if (!p) {
		g_array_append_val(bs->peers, new);
		p = find_peer(bs, m.id);
	}
	p->heard_ms = now_ms;
	p->ready = b->flags & BEACON_READY;
	p->revision = b->store_revision;
	if (b->flags & BEACON_WATCHING)
		p->watching_ms = now_ms;
	m.state = b->flags & BEACON_LEAVING ? MEMBER_LEAVING : MEMBER_ALIVE;
	put_member(bs->view, &m);
	add_beacon_address(bs, &at);
}

void restart_beacons(struct beacons *bs, uint64_t now_ms)
{
	set_view_settled(bs->view, false);
	bs->settle_ms = now_ms + BEACON_SETTLE_MS;
	for (guint i = 0; i < bs->peers->len; i++)
		g_array_index(bs->peers, struct peer, i).heard_ms = now_ms;
}

static uint64_t beacon_interval(const struct beacons *bs)
{
	const struct member *ms;
	size_t members = 0;
	size_t nr;

	ms = view_members(bs->view, &nr);
	for (size_t i = 0; i < nr; i++)
		members += is_live_member(&ms[i]) && !is_far(bs, &ms[i]);
	if (members <= BEACON_SMALL_DOMAIN)
		return BEACON_MS;
	return BEACON_MS +
	       BEACON_PER_MEMBER_MS * (members - BEACON_SMALL_DOMAIN);
}

static void note_silent_peers(struct beacons *bs, uint64_t now_ms)
{
	uint64_t near = BEACON_MISSES * beacon_interval(bs);
	bool large = live_member_nr(bs->view) > BEACON_FAR_FLEET;

	for (guint i = bs->peers->len; i > 0; i--) {
		const struct peer *p =
			&g_array_index(bs->peers, struct peer, i - 1);
		const struct member *known = find_member(bs->view, p->id);
		uint64_t silent = now_ms - p->heard_ms;
		bool rare = large && known && is_far(bs, known);
		uint64_t limit = rare ? near * BEACON_FAR_FACTOR : near;

		if (silent > limit && known && known->state != MEMBER_DEAD) {
			struct member m = *known;

			m.state = MEMBER_DEAD;
			put_member(bs->view, &m);
		}
		if (silent <= BEACON_FORGET_MS)
			continue;
		remove_member(bs->view, p->id);
		g_array_remove_index_fast(bs->peers, i - 1);
	}
}

/* The member at address AT that is heard; NULL if there is none. */
static const struct member *heard_at(const struct beacons *bs,
				     const struct endpoint *at)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(bs->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint ep = member_endpoint(&ms[i]);

		if (ms[i].state != MEMBER_DEAD && same_endpoint(&ep, at))
			return &ms[i];
	}
	return NULL;
}

/* Whether this beacon is not for M, which is in another domain. */
static bool far_skips(const struct beacons *bs, const struct member *m)
{
	return live_member_nr(bs->view) > BEACON_FAR_FLEET && is_far(bs, m) &&
	       (bs->round + m->id) % BEACON_FAR_FACTOR;
}

bool wants_reading(const struct beacons *bs, uint64_t now_ms)
{
	uint64_t interval = beacon_interval(bs);
	uint64_t limit = (BEACON_MISSES - 1) * interval;

	if (now_ms - bs->start_ms <
	    MAX(BEACON_ROLE_MS, BEACON_ROLE_ROUNDS * interval))
		return false;
	if (is_reader(bs->view))
		return true;
	for (guint i = 0; i < bs->peers->len; i++) {
		const struct peer *p =
			&g_array_index(bs->peers, struct peer, i);
		const struct member *m = find_member(bs->view, p->id);

		if (m && !is_far(bs, m) && p->watching_ms &&
		    now_ms - p->watching_ms < limit)
			return false;
	}
	return true;
}

void list_domain_addresses(const struct beacons *bs, GArray *to)
{
	const struct member *ms;
	size_t nr;

	ms = view_members(bs->view, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint at = member_endpoint(&ms[i]);

		if (ms[i].id != bs->self.id && ms[i].state != MEMBER_DEAD &&
		    !is_far(bs, &ms[i]))
			g_array_append_val(to, at);
	}
}

bool pick_informed(const struct beacons *bs, uint64_t revision, GRand *rand,
		   struct endpoint *at)
{
	bool near = false;
	gint32 found = 0;

	for (guint i = 0; i < bs->peers->len; i++) {
		const struct peer *p =
			&g_array_index(bs->peers, struct peer, i);
		const struct member *m = find_member(bs->view, p->id);

		if (!m || m->state == MEMBER_DEAD || p->revision <= revision ||
		    (near && is_far(bs, m)))
			continue;
		if (!near && !is_far(bs, m)) {
			near = true;
			found = 0;
		}
		/* each of those found so far stays with equal chance */
		if (g_rand_int_range(rand, 0, ++found) == 0)
			*at = member_endpoint(m);
	}
	return found;
}

bool tick_beacons(struct beacons *bs, uint64_t now_ms, bool urgent, GArray *to)
{
	uint64_t wait = urgent ? BEACON_URGENT_MS : beacon_interval(bs);

	note_silent_peers(bs, now_ms);
	if (now_ms >= bs->settle_ms && !is_view_settled(bs->view))
		set_view_settled(bs->view, true);
	if (bs->sent_ms && now_ms - bs->sent_ms < wait)
		return false;
	bs->sent_ms = now_ms;
	bs->round++;
	for (guint i = 0; i < bs->addresses->len; i++) {
		struct address *a =
			&g_array_index(bs->addresses, struct address, i);

		const struct member *m = heard_at(bs, &a->at);

		if (!m && a->tried_ms &&
		    now_ms - a->tried_ms < BEACON_SEARCH_MS)
			continue;
		if (m && far_skips(bs, m))
			continue;
		a->tried_ms = now_ms;
		g_array_append_val(to, a->at);
	}
	return true;
}

size_t pick_relays(const struct beacons *bs, GRand *rand, struct endpoint *to,
		   size_t nr)
{
	guint n = bs->peers->len;
	guint at = n ? (guint)g_rand_int_range(rand, 0, (gint32)n) : 0;
	size_t found = 0;

	for (guint i = 0; i < n && found < nr; i++) {
		const struct peer *p =
			&g_array_index(bs->peers, struct peer, (at + i) % n);
		const struct member *m = find_member(bs->view, p->id);

		if (!p->ready || !m || m->state != MEMBER_ALIVE)
			continue;
		to[found++] = member_endpoint(m);
	}
	return found;
}
