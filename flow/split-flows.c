#include "flow/split-flows.h"

#include "fleet/peer-format.h"

#define ROW_FIELDS 8  /* of a flow on the wire */
#define HEAD_FIELDS 2 /* before the first one */

/* Packets that are sent again may begin before the first byte that was seen. */
#define REPEATED_BYTES 76800

struct known_flow {
	struct split_flow row; /* AGE_MS is not used */
	uint64_t noted_ms;
	bool is_pending; /* in PENDING */
};

struct repeat {
	struct flow_key key;
	uint64_t due_ms;
};

struct split_flows {
	GHashTable *known; /* flow key -> struct known_flow */
	size_t unsettled_nr;
	GArray *pending; /* of struct flow_key; told for the first time */
	GArray *repeats; /* of struct repeat, by DUE_MS */
	uint64_t sent_ms;
	uint64_t interval_ms; /* between notices, at the last member number */
	uint64_t lifetime_ms; /* of flows */
};

struct split_flows *create_split_flows(void)
{
	struct split_flows *sf = g_new0(struct split_flows, 1);

	sf->known = g_hash_table_new_full(hash_flow_key, flow_keys_equal, NULL,
					  g_free);
	sf->pending = g_array_new(FALSE, FALSE, sizeof(struct flow_key));
	sf->repeats = g_array_new(FALSE, FALSE, sizeof(struct repeat));
	return sf;
}

void destroy_split_flows(struct split_flows *sf)
{
	if (!sf)
		return;
	g_hash_table_destroy(sf->known);
	g_array_free(sf->pending, TRUE);
	g_array_free(sf->repeats, TRUE);
	g_free(sf);
}

static struct known_flow *find_known(const struct split_flows *sf,
				     const struct flow_key *key)
{
	return g_hash_table_lookup(sf->known, key);
}

static void forget(struct split_flows *sf, struct known_flow *k)
{
	sf->unsettled_nr -= !k->row.cookie;
	g_hash_table_remove(sf->known, &k->row.key);
}

/* Whether the caller of ROW may send SEQ. */
static bool is_seq_of(const struct split_flow *row, uint32_t seq)
{
	int32_t distance = (int32_t)(seq - row->first_seq);

	return distance >= -REPEATED_BYTES && distance < SPLIT_FLOW_BYTES;
}

/* Whether two reports are about the same flow of an address and port. */
static bool is_same_flow(const struct split_flow *a, const struct split_flow *b)
{
	if (a->saw_syn && b->saw_syn)
		return a->first_seq == b->first_seq;
	return is_seq_of(a, b->first_seq) || is_seq_of(b, a->first_seq);
}

static bool is_over(const struct split_flows *sf, const struct known_flow *k,
		    uint64_t now_ms)
{
	return now_ms - k->noted_ms >=
	       (k->row.cookie ? sf->lifetime_ms : SPLIT_FLOW_UNSETTLED_MS);
}

void set_split_flow_lifetime(struct split_flows *sf, uint64_t lifetime_ms)
{
	sf->lifetime_ms = lifetime_ms;
}

static struct known_flow *add(struct split_flows *sf,
			      const struct split_flow *flow, uint64_t noted_ms)
{
	struct known_flow *k;

	if (g_hash_table_size(sf->known) >= SPLIT_FLOWS_MAX ||
	    (!flow->cookie && sf->unsettled_nr >= SPLIT_FLOWS_UNSETTLED_MAX))
		return NULL;
	k = g_new0(struct known_flow, 1);
	k->row = *flow;
	k->noted_ms = noted_ms;
	g_hash_table_insert(sf->known, &k->row.key, k);
	sf->unsettled_nr += !flow->cookie;
	return k;
}

/* Adds FLOW, or what is new of it; NULL if nothing is. */
static struct known_flow *merge(struct split_flows *sf,
				const struct split_flow *flow, uint64_t now_ms)
{
	struct known_flow *k = find_known(sf, &flow->key);
	uint64_t noted_ms = now_ms - MIN(flow->age_ms, now_ms);

	if (k && !is_over(sf, k, now_ms) && is_same_flow(&k->row, flow)) {
		if (k->row.cookie || !flow->cookie)
			return NULL;
		k->row.cookie = flow->cookie;
		sf->unsettled_nr--;
		return k;
	}
	if (k && !is_over(sf, k, now_ms) && k->noted_ms > noted_ms)
		return NULL;
	if (k)
		forget(sf, k);
	k = add(sf, flow, noted_ms);
	if (!k || !is_over(sf, k, now_ms))
		return k;
	forget(sf, k);
	return NULL;
}

bool note_split_flow(struct split_flows *sf, const struct split_flow *flow,
		     uint64_t now_ms)
{
	struct known_flow *k = merge(sf, flow, now_ms);
	/* flows that are open somewhere go before the others */
	guint limit = flow->cookie ? SPLIT_FLOWS_PENDING_MAX
				   : SPLIT_FLOWS_PENDING_MAX / 2;

	if (!k)
		return false;
	if (!k->is_pending && sf->pending->len < limit) {
		k->is_pending = true;
		g_array_append_val(sf->pending, k->row.key);
	}
	return true;
}

bool learn_split_flow(struct split_flows *sf, const struct split_flow *flow,
		      uint64_t now_ms)
{
	return merge(sf, flow, now_ms);
}

const struct split_flow *find_split_flow(const struct split_flows *sf,
					 const struct flow_key *key,
					 uint32_t seq, uint64_t now_ms)
{
	const struct known_flow *k =
		g_hash_table_size(sf->known) ? find_known(sf, key) : NULL;

	if (!k || is_over(sf, k, now_ms) || !is_seq_of(&k->row, seq))
		return NULL;
	return &k->row;
}

const struct split_flow *find_split_flow_of_syn(const struct split_flows *sf,
						const struct cookie_packet *syn,
						uint64_t now_ms)
{
	const struct known_flow *k =
		g_hash_table_size(sf->known) ? find_known(sf, &syn->key) : NULL;
	uint32_t range = 1;

	if (!k || is_over(sf, k, now_ms))
		return NULL;
	if (!k->row.saw_syn)
		range = SPLIT_FLOW_BYTES;
	return k->row.first_seq - (syn->seq + 1) < range ? &k->row : NULL;
}

bool forget_earlier_split_flow(struct split_flows *sf,
			       const struct cookie_packet *syn, uint64_t now_ms)
{
	struct known_flow *k = find_known(sf, &syn->key);

	if (!k || find_split_flow_of_syn(sf, syn, now_ms))
		return false;
	forget(sf, k);
	return true;
}

size_t split_flow_count(const struct split_flows *sf)
{
	return g_hash_table_size(sf->known);
}

void expire_split_flows(struct split_flows *sf, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, sf->known);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct known_flow *k = value;

		if (!is_over(sf, k, now_ms))
			continue;
		sf->unsettled_nr -= !k->row.cookie;
		g_hash_table_iter_remove(&it);
	}
}

static void append_row(const struct split_flows *sf, const struct known_flow *k,
		       uint64_t now_ms, GArray *rows)
{
	struct split_flow row = k->row;

	if (is_over(sf, k, now_ms))
		return;
	row.age_ms = (uint32_t)(now_ms - k->noted_ms);
	g_array_append_val(rows, row);
}

/* Moves NR flows from PENDING to ROWS; they are to be told again. */
static void pop_pending(struct split_flows *sf, guint nr, uint64_t now_ms,
			GArray *rows)
{
	for (guint i = 0; i < nr; i++) {
		struct repeat r = { g_array_index(sf->pending, struct flow_key,
						  i),
				    now_ms + SPLIT_FLOWS_REPEAT_MS };
		struct known_flow *k = find_known(sf, &r.key);

		if (!k)
			continue;
		k->is_pending = false;
		append_row(sf, k, now_ms, rows);
		g_array_append_val(sf->repeats, r);
	}
	g_array_remove_range(sf->pending, 0, nr);
}

/* Moves up to MAX flows that are to be told again to ROWS. */
static void pop_repeats(struct split_flows *sf, bool at_once, guint max,
			uint64_t now_ms, GArray *rows)
{
	guint limit = rows->len + max;
	guint nr = 0;

	for (; nr < sf->repeats->len && rows->len < limit; nr++) {
		const struct repeat *r =
			&g_array_index(sf->repeats, struct repeat, nr);
		const struct known_flow *k = find_known(sf, &r->key);

		if (!at_once && r->due_ms > now_ms)
			break;
		if (k && !k->is_pending)
			append_row(sf, k, now_ms, rows);
	}
	g_array_remove_range(sf->repeats, 0, nr);
}

bool has_untold_split_flows(const struct split_flows *sf, bool at_once,
			    uint64_t now_ms)
{
	if (!sf->pending->len && !sf->repeats->len)
		return false;
	if (at_once)
		return true;
	if (now_ms - sf->sent_ms < sf->interval_ms)
		return false;
	if (sf->pending->len)
		return true;
	return g_array_index(sf->repeats, struct repeat, 0).due_ms <= now_ms;
}

bool pop_split_flows(struct split_flows *sf, size_t member_nr, bool at_once,
		     uint64_t now_ms, GArray *rows)
{
	guint pending_nr = MIN(sf->pending->len, SPLIT_FLOWS_PER_DATAGRAM);
	guint rows_before = rows->len;

	sf->interval_ms = MAX((uint64_t)SPLIT_FLOWS_INTERVAL_MS,
			      SPLIT_FLOWS_PER_MEMBER_MS * member_nr);
	if (!at_once && now_ms - sf->sent_ms < sf->interval_ms)
		return false;
	/* in this order: a flow is told again in another datagram */
	pop_repeats(sf, at_once, SPLIT_FLOWS_PER_DATAGRAM - pending_nr, now_ms,
		    rows);
	pop_pending(sf, pending_nr, now_ms, rows);
	if (rows->len == rows_before)
		return false;
	sf->sent_ms = now_ms;
	return true;
}

void list_split_flows(const struct split_flows *sf, uint64_t now_ms,
		      GArray *rows)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, sf->known);
	while (g_hash_table_iter_next(&it, NULL, &value))
		append_row(sf, value, now_ms, rows);
}

void write_split_flows(struct wire_writer *w, enum split_flows_part part,
		       const struct split_flow *rows, size_t nr)
{
	write_array(w, HEAD_FIELDS + ROW_FIELDS * nr);
	write_uint(w, SPLIT_FLOWS);
	write_uint(w, part);
	for (size_t i = 0; i < nr; i++) {
		write_uint(w, rows[i].key.caller_ip);
		write_uint(w, rows[i].key.caller_port);
		write_uint(w, rows[i].key.service_ip);
		write_uint(w, rows[i].key.service_port);
		write_uint(w, rows[i].first_seq);
		write_bool(w, rows[i].saw_syn);
		write_uint(w, rows[i].cookie);
		write_uint(w, rows[i].age_ms);
	}
}

bool read_split_flows(const void *data, size_t len, enum split_flows_part *part,
		      GArray *rows)
{
	guint before = rows->len;
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len) &&
		  read_uint(&r, UINT8_MAX) == SPLIT_FLOWS;

	if (ok)
		*part = (enum split_flows_part)read_uint(
			&r, SPLIT_FLOWS_ANSWER_END);
	while (ok && !r.malformed && r.remaining) {
		struct split_flow row = { 0 };

		row.key.caller_ip = (uint32_t)read_uint(&r, UINT32_MAX);
		row.key.caller_port = (uint16_t)read_uint(&r, UINT16_MAX);
		row.key.service_ip = (uint32_t)read_uint(&r, UINT32_MAX);
		row.key.service_port = (uint16_t)read_uint(&r, UINT16_MAX);
		row.first_seq = (uint32_t)read_uint(&r, UINT32_MAX);
		row.saw_syn = read_bool(&r);
		row.cookie = (uint32_t)read_uint(&r, UINT32_MAX);
		row.age_ms = (uint32_t)read_uint(&r, UINT32_MAX);
		g_array_append_val(rows, row);
	}
	ok = ok && !r.malformed;
	if (!ok)
		g_array_set_size(rows, before);
	release_wire_message(&msg);
	return ok;
}

void write_split_flows_request(struct wire_writer *w)
{
	write_array(w, 1);
	write_uint(w, SPLIT_FLOWS_REQUEST);
}

bool tick_split_inquiry(struct split_inquiry *si, bool has_ready_peer,
			uint64_t now_ms)
{
	uint64_t waited_ms;

	if (si->done)
		return false;
	if (!si->began_ms)
		si->began_ms = now_ms;
	waited_ms = now_ms - si->began_ms;
	si->done = si->answered || waited_ms >= SPLIT_INQUIRY_MAX_MS;
	si->may_serve = si->done || (!has_ready_peer &&
				     waited_ms >= SPLIT_INQUIRY_ALONE_MS);
	if (si->done || !has_ready_peer ||
	    (si->asked_ms && now_ms - si->asked_ms < SPLIT_INQUIRY_ASK_MS))
		return false;
	si->asked_ms = now_ms;
	return true;
}

enum unknown_packet decide_unknown_packet(const struct split_inquiry *si,
					  bool started, bool relayed,
					  bool has_target)
{
	if (si->done)
		return UNKNOWN_STEER;
	if (!relayed && has_target)
		return UNKNOWN_RELAY;
	return started ? UNKNOWN_STEER : UNKNOWN_WAIT;
}

void note_split_question(struct split_inquiry *si, const struct endpoint *to)
{
	for (size_t i = 0; i < si->asked_nr; i++)
		if (same_endpoint(&si->asked[i], to))
			return;
	if (si->asked_nr < SPLIT_INQUIRY_ASKED_MAX)
		si->asked[si->asked_nr++] = *to;
}

void note_split_answer(struct split_inquiry *si, const struct endpoint *from,
		       bool knows_all)
{
	for (size_t i = 0; i < si->asked_nr; i++) {
		if (!same_endpoint(&si->asked[i], from))
			continue;
		si->answered = true;
		si->told_all |= knows_all;
	}
}

void note_inquiry_end(struct split_knowledge *sk,
		      const struct split_inquiry *si, uint64_t now_ms)
{
	if (!si->told_all)
		sk->missed_ms = now_ms;
	/* the answer about another domain's flows tells nothing of the own */
	else if (!si->domain[0])
		sk->missed_ms = 0;
}

bool are_all_splits_known(const struct split_knowledge *sk, uint64_t idle_ms,
			  uint64_t now_ms)
{
	return !sk->missed_ms ||
	       now_ms - sk->missed_ms >= SPLIT_FLOW_UNSETTLED_MS + idle_ms;
}
