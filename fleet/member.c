/*
 * Member records. The version is the incarnation, which only the member
 * itself raises, above the random start of its process, above the state; of
 * one process and incarnation a worse state wins. A member that hears anything of itself that it did not say answers with a
 * higher incarnation. That covers a wrong suspicion, a pause, and a restart
 * under the same name, and needs neither a disk nor a clock.
 */

#include "fleet/internal.h"

#include <string.h>

#define MEMBER_FIELD_NR 6
#define STATE_MASK 3 /* lowest bits of a version */
#define START_SHIFT 2
#define INCARNATION_SHIFT 34
#define FORGET_MS (10 * 60 * 1000)	    /* a dead member is forgotten */
#define LEAVE_MAX_MS (35 * 60 * 1000)	    /* a leaving one is dead by then */
#define DOMAIN_FORGET_MS (24 * 3600 * 1000) /* members of a silent domain */
#define SWEEP_MS 5000			    /* between two looks for those */

enum domain_level { DOMAIN_HEARD, DOMAIN_SILENT, DOMAIN_LOST };

enum member_state record_state(const struct record *rec)
{
	return (enum member_state)(rec->version & STATE_MASK);
}

static uint64_t record_incarnation(const struct record *rec)
{
	return rec->version >> INCARNATION_SHIFT;
}

static uint64_t own_version(const struct fleet *f)
{
	return (uint64_t)f->self.incarnation << INCARNATION_SHIFT |
	       (uint64_t)f->self.start << START_SHIFT | (uint64_t)f->self.state;
}

static void encode_member(struct wire_writer *w, const struct member *m)
{
	put_array(w, MEMBER_FIELD_NR);
	put_str(w, m->name);
	put_str(w, m->domain);
	put_endpoint(w, &m->address);
	put_uint(w, m->peer_port);
	put_uint(w, m->flow_port);
	put_uint(w, m->admin_port);
}

static void read_member(struct wire_reader *r, struct member *m)
{
	take_str(r, m->name, sizeof(m->name));
	take_str(r, m->domain, sizeof(m->domain));
	take_endpoint(r, &m->address);
	m->peer_port = (uint16_t)take_uint(r, UINT16_MAX);
	m->flow_port = (uint16_t)take_uint(r, UINT16_MAX);
	m->admin_port = (uint16_t)take_uint(r, UINT16_MAX);
	if (r->left || !valid_name(m->name) || !valid_name(m->domain) ||
	    !m->address.family || m->id != service_id(m->name))
		r->bad = true;
}

bool decode_member(const struct record *rec, struct member *m)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	m->id = rec->key;
	m->state = record_state(rec);
	m->incarnation = (uint32_t)record_incarnation(rec);
	m->start = (uint32_t)(rec->version >> START_SHIFT);
	ok = open_wire(&msg, &r, rec->body, rec->len);
	if (ok)
		read_member(&r, m);
	release_wire(&msg);
	return ok && !r.bad;
}

void announce_self(struct fleet *f, enum member_state state)
{
	struct wire_writer w;

	f->self.state = state;
	init_wire_writer(&w);
	encode_member(&w, &f->self);
	publish_record(f, SET_MEMBERS, f->self.id, own_version(f), &w);
	release_wire_writer(&w);
}

void judge_member(struct fleet *f, uint64_t id, enum member_state state)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], id);
	struct wire_writer w;
	uint64_t version;

	if (!rec || record_state(rec) >= state)
		return;
	version = (rec->version & ~(uint64_t)STATE_MASK) | state;
	init_wire_writer(&w);
	msgpack_sbuffer_write(&w.buf, (const char *)rec->body, rec->len);
	publish_record(f, SET_MEMBERS, id, version, &w);
	release_wire_writer(&w);
	count(f->counters,
	      state == MEMBER_DEAD ? COUNT_FLEET_DIED : COUNT_FLEET_SUSPECTED);
}

static enum domain_level domain_level(const struct fleet *f, const char *domain)
{
	uint64_t silence =
		domain_silence_ms(f->domain_heartbeats, domain, f->now);

	if (silence >= DOMAIN_DEAD_MS)
		return DOMAIN_LOST;
	return silence >= DOMAIN_SUSPECT_MS ? DOMAIN_SILENT : DOMAIN_HEARD;
}

/* The state of M that its own record and its domain's silence add up to. */
static enum member_state shown_state(const struct fleet *f,
				     const struct member *m)
{
	enum domain_level level = domain_level(f, m->domain);

	if (level == DOMAIN_LOST)
		return MEMBER_DEAD;
	if (level == DOMAIN_SILENT && m->state == MEMBER_ALIVE)
		return MEMBER_SUSPECT;
	return m->state;
}

static bool same_member(const struct member *a, const struct member *b)
{
	return a->state == b->state && a->incarnation == b->incarnation &&
	       a->start == b->start && a->peer_port == b->peer_port &&
	       same_endpoint(&a->address, &b->address) &&
	       !strcmp(a->domain, b->domain);
}

static void show(struct fleet *f, const struct member *m)
{
	const struct member *old = find_member(f->view, m->id);
	bool was_dead = old && old->state == MEMBER_DEAD;
	bool is_dead = m->state == MEMBER_DEAD;

	if (old && same_member(old, m))
		return;
	put_member(f->view, m);
	f->links_stale = true;
	add_action(f, FLEET_MEMBER_CHANGED)->id = m->id;
	if (is_dead != was_dead)
		note_judge(f, m->id, is_dead);
}

void show_member(struct fleet *f, uint64_t id)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], id);
	struct member m;

	if (!rec || !decode_member(rec, &m))
		return;
	if (id == f->self.id)
		m = f->self;
	else
		m.state = shown_state(f, &m);
	show(f, &m);
}

void show_domain_members(struct fleet *f, const char *domain)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *ms;
	size_t nr;

	ms = view_members(f->view, &nr);
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(ms[i].domain, domain))
			g_array_append_val(ids, ms[i].id);
	for (guint i = 0; i < ids->len; i++)
		show_member(f, g_array_index(ids, uint64_t, i));
	g_array_free(ids, TRUE);
}

/* Somebody says of this instance what it did not say itself. */
static void refute(struct fleet *f, const struct record *rec)
{
	if (f->gone || rec->version == own_version(f))
		return;
	f->self.incarnation = (uint32_t)record_incarnation(rec) + 1;
	count(f->counters, COUNT_FLEET_REFUTED);
	announce_self(f, f->self.state);
}

void take_member(struct fleet *f, const struct record *rec)
{
	struct member m;

	if (rec->key == f->self.id) {
		refute(f, rec);
		show_member(f, f->self.id);
		return;
	}
	if (!decode_member(rec, &m)) {
		count(f->counters, COUNT_PEER_MALFORMED);
		return;
	}
	add_heartbeat_domain(f->domain_heartbeats, m.domain, f->now);
	show_member(f, m.id);
}

bool is_member_news(const struct fleet *f, const struct record *head)
{
	if (record_state(head) != MEMBER_DEAD)
		return true;
	return find_record(f->sets[SET_MEMBERS], head->key);
}

static void forget_member(struct fleet *f, uint64_t id)
{
	remove_record(f->sets[SET_MEMBERS], id);
	remove_member(f->view, id);
	f->links_stale = true;
	add_action(f, FLEET_MEMBER_CHANGED)->id = id;
}

static bool is_forgettable(const struct fleet *f, const struct record *rec)
{
	struct member m;

	if (record_state(rec) == MEMBER_DEAD)
		return true;
	return decode_member(rec, &m) &&
	       domain_silence_ms(f->domain_heartbeats, m.domain, f->now) >=
		       DOMAIN_FORGET_MS;
}

/* What is to become of the member of REC, whose record is old. */
static void sweep_member(struct fleet *f, const struct record *rec)
{
	bool left = record_state(rec) == MEMBER_LEAVING &&
		    f->now - rec->taken >= LEAVE_MAX_MS;

	if (is_forgettable(f, rec))
		forget_member(f, rec->key);
	else if (left)
		judge_member(f, rec->key, MEMBER_DEAD);
}

static bool may_be_swept(const struct fleet *f, const struct record *rec)
{
	return rec->key != f->self.id && f->now - rec->taken >= FORGET_MS;
}

static void sweep_members(struct fleet *f)
{
	const struct records *rs = f->sets[SET_MEMBERS];

	for (size_t b = 0; b < bucket_nr(rs); b++) {
		const GPtrArray *at = record_bucket(rs, b);

		for (guint i = at->len; i-- > 0;) {
			const struct record *rec = g_ptr_array_index(at, i);

			if (may_be_swept(f, rec))
				sweep_member(f, rec);
		}
	}
}

void tick_members(struct fleet *f)
{
	advance_own_heartbeat(f->domain_heartbeats, f->now);
	for (size_t i = 0; i < domain_heartbeat_count(f->domain_heartbeats);
	     i++) {
		const char *domain = heartbeat_domain(f->domain_heartbeats, i);
		uint8_t level = (uint8_t)domain_level(f, domain);

		if (level == f->silence[i])
			continue;
		f->silence[i] = level;
		show_domain_members(f, domain);
	}
	if (f->now - f->swept < SWEEP_MS)
		return;
	f->swept = f->now;
	sweep_members(f);
}
