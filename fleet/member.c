/*
 * Member records. A version holds, from the highest bits down, the incarnation,
 * which only the member itself raises, the random start number of its process,
 * and the state, so that within one incarnation the worse state wins. A member
 * that receives a record of itself that it did not make publishes one with a
 * higher incarnation. This covers a wrong suspicion, a pause, and a restart
 * under the same name, and needs neither a disk nor a synchronized clock.
 */

#include "fleet/internal.h"

#include <string.h>

#define MEMBER_FIELD_NR 6
#define STATE_MASK 3 /* lowest bits of a version */
#define START_SHIFT 2
#define INCARNATION_SHIFT 34
#define DEAD_FORGET_MS (10 * 60 * 1000) /* age of dead records removed */
#define LEAVE_MAX_MS (35 * 60 * 1000)	/* time in leaving until dead */
/* Silence of a domain after which its members are removed. */
#define DOMAIN_FORGET_MS (24 * 3600 * 1000)
#define SWEEP_INTERVAL_MS 5000 /* between checks for these ages */

enum domain_liveness { DOMAIN_LIVE, DOMAIN_SILENT, DOMAIN_DEAD };

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
	       (uint64_t)f->self.start_number << START_SHIFT |
	       (uint64_t)f->self.state;
}

static void encode_member(struct wire_writer *w, const struct member *m)
{
	write_array(w, MEMBER_FIELD_NR);
	write_str(w, m->name);
	write_str(w, m->domain);
	write_endpoint(w, &m->address);
	write_uint(w, m->peer_port);
	write_uint(w, m->flow_port);
	write_uint(w, m->admin_port);
}

static void read_member(struct wire_reader *r, struct member *m)
{
	read_str(r, m->name, sizeof(m->name));
	read_str(r, m->domain, sizeof(m->domain));
	read_endpoint(r, &m->address);
	m->peer_port = (uint16_t)read_uint(r, UINT16_MAX);
	m->flow_port = (uint16_t)read_uint(r, UINT16_MAX);
	m->admin_port = (uint16_t)read_uint(r, UINT16_MAX);
	if (r->remaining || !valid_name(m->name) || !valid_name(m->domain) ||
	    !m->address.family || m->id != service_id(m->name))
		r->malformed = true;
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
	m->start_number = (uint32_t)(rec->version >> START_SHIFT);
	ok = open_wire_message(&msg, &r, rec->body, rec->len);
	if (ok)
		read_member(&r, m);
	release_wire_message(&msg);
	return ok && !r.malformed;
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

void publish_member_state(struct fleet *f, uint64_t id, enum member_state state)
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

static enum domain_liveness domain_liveness(const struct fleet *f,
					    const char *domain)
{
	uint64_t silence = domain_silence_ms(f->heartbeats, domain, f->now_ms);

	if (silence >= DOMAIN_DEAD_MS)
		return DOMAIN_DEAD;
	return silence >= DOMAIN_SUSPECT_MS ? DOMAIN_SILENT : DOMAIN_LIVE;
}

/* The state of M that follows from its record and its domain's silence. */
static enum member_state effective_member_state(const struct fleet *f,
						const struct member *m)
{
	enum domain_liveness liveness = domain_liveness(f, m->domain);

	if (liveness == DOMAIN_DEAD)
		return MEMBER_DEAD;
	if (liveness == DOMAIN_SILENT && m->state == MEMBER_ALIVE)
		return MEMBER_SUSPECT;
	return m->state;
}

static bool same_member(const struct member *a, const struct member *b)
{
	return a->state == b->state && a->incarnation == b->incarnation &&
	       a->start_number == b->start_number &&
	       a->peer_port == b->peer_port &&
	       same_endpoint(&a->address, &b->address) &&
	       !strcmp(a->domain, b->domain);
}

static void update_view(struct fleet *f, const struct member *m)
{
	const struct member *old = find_member(f->view, m->id);
	bool was_dead = old && old->state == MEMBER_DEAD;
	bool is_dead = m->state == MEMBER_DEAD;

	if (old && same_member(old, m))
		return;
	set_view_member(f->view, m);
	f->links_stale = true;
	add_action(f, FLEET_MEMBER_CHANGED)->id = m->id;
	if (is_dead != was_dead)
		schedule_publisher_check(f, m->id, is_dead);
}

void update_view_member(struct fleet *f, uint64_t id)
{
	const struct record *rec = find_record(f->sets[SET_MEMBERS], id);
	struct member m;

	if (!rec || !decode_member(rec, &m))
		return;
	if (id == f->self.id)
		m = f->self;
	else
		m.state = effective_member_state(f, &m);
	update_view(f, &m);
}

void update_view_domain(struct fleet *f, const char *domain)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const struct member *ms;
	size_t nr;

	ms = view_members(f->view, &nr);
	for (size_t i = 0; i < nr; i++)
		if (!strcmp(ms[i].domain, domain))
			g_array_append_val(ids, ms[i].id);
	for (guint i = 0; i < ids->len; i++)
		update_view_member(f, g_array_index(ids, uint64_t, i));
	g_array_free(ids, TRUE);
}

/* Refutes REC if another member made that record of this instance. */
static void refute(struct fleet *f, const struct record *rec)
{
	if (f->gone_announced || rec->version == own_version(f))
		return;
	f->self.incarnation = (uint32_t)record_incarnation(rec) + 1;
	count(f->counters, COUNT_FLEET_REFUTED);
	announce_self(f, f->self.state);
}

void apply_member_record(struct fleet *f, const struct record *rec)
{
	struct member m;

	if (rec->key == f->self.id) {
		refute(f, rec);
		update_view_member(f, f->self.id);
		return;
	}
	if (!decode_member(rec, &m)) {
		count(f->counters, COUNT_PEER_MALFORMED);
		return;
	}
	add_heartbeat_domain(f->heartbeats, m.domain, f->now_ms);
	update_view_member(f, m.id);
}

bool is_member_record_wanted(const struct fleet *f, const struct record *head)
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
	       domain_silence_ms(f->heartbeats, m.domain, f->now_ms) >=
		       DOMAIN_FORGET_MS;
}

/*
 * Removes the member of REC, an old record, if it is dead or its domain silent;
 * marks it dead if it has been leaving for too long.
 */
static void sweep_member(struct fleet *f, const struct record *rec)
{
	bool left = record_state(rec) == MEMBER_LEAVING &&
		    f->now_ms - rec->stored_at_ms >= LEAVE_MAX_MS;

	if (is_forgettable(f, rec))
		forget_member(f, rec->key);
	else if (left)
		publish_member_state(f, rec->key, MEMBER_DEAD);
}

static bool is_old_record(const struct fleet *f, const struct record *rec)
{
	return rec->key != f->self.id &&
	       f->now_ms - rec->stored_at_ms >= DEAD_FORGET_MS;
}

static void sweep_members(struct fleet *f)
{
	const struct records *rs = f->sets[SET_MEMBERS];

	for (size_t b = 0; b < bucket_count(rs); b++) {
		const GPtrArray *bucket = record_bucket(rs, b);

		for (guint i = bucket->len; i-- > 0;) {
			const struct record *rec = g_ptr_array_index(bucket, i);

			if (is_old_record(f, rec))
				sweep_member(f, rec);
		}
	}
}

void tick_members(struct fleet *f)
{
	advance_own_heartbeat(f->heartbeats, f->now_ms);
	for (size_t i = 0; i < domain_heartbeat_count(f->heartbeats); i++) {
		const char *domain = heartbeat_domain(f->heartbeats, i);
		uint8_t liveness = (uint8_t)domain_liveness(f, domain);

		if (liveness == f->domain_liveness[i])
			continue;
		f->domain_liveness[i] = liveness;
		update_view_domain(f, domain);
	}
	if (f->now_ms - f->swept_at_ms < SWEEP_INTERVAL_MS)
		return;
	f->swept_at_ms = f->now_ms;
	sweep_members(f);
}
