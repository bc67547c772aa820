/*
 * Distribution of records by gossip and anti-entropy. A record that is new
 * here is pushed at once along the links, except to its sender, and so reaches
 * the whole fleet in a few rounds. Domain records, which are rare and urgent,
 * go to all five links, others to three. Records missing because of lost
 * messages or partitions are found by digests: pings carry one digest of each
 * set. Where these differ, one side sends the digests of its buckets (COMPARE),
 * the other lists keys and versions in the buckets that differ (LIST), and both
 * send what is newer (RECORDS, WANT).
 *
 * Digests also differ while pushed changes are on their way. So comparisons of
 * a set that find no newer record are repeated with an exponential back-off.
 */

#include "fleet/internal.h"

#include <string.h>

#define MEMBER_BUCKET_BITS 6 /* 83 of 5,300 members in each */
#define DOMAIN_BUCKET_BITS 0
#define UPSTREAM_BUCKET_BITS 8 /* 160 of 41,000 upstreams in each */
#define COMPARE_MIN_MS 200     /* shortest time between two comparisons */
#define PUSH_ON_MAX 64	       /* records; larger replies are not pushed on */
#define RECORD_FIELD_NR 4
#define LIST_ITEM_BYTES 16 /* bytes of a key and a version */

void init_gossip(struct fleet *f)
{
	static const unsigned int bits[FLEET_SET_NR] = { MEMBER_BUCKET_BITS,
							 DOMAIN_BUCKET_BITS,
							 UPSTREAM_BUCKET_BITS };

	for (int s = 0; s < FLEET_SET_NR; s++) {
		f->sets[s] = create_records(bits[s]);
		f->compare[s].backoff_ms = COMPARE_MIN_MS;
	}
	f->changes = g_array_new(FALSE, FALSE, sizeof(struct record_change));
}

void release_gossip(struct fleet *f)
{
	for (int s = 0; s < FLEET_SET_NR; s++)
		destroy_records(f->sets[s]);
	g_array_free(f->changes, TRUE);
}

static void write_record(struct wire_writer *w, enum fleet_set set,
			 const struct record *rec)
{
	write_array(w, RECORD_FIELD_NR);
	write_uint(w, set);
	write_uint(w, rec->key);
	write_uint(w, rec->version);
	write_bin(w, rec->body, rec->len);
}

/* Sends the records of LIST (struct record *) of SET to TO. */
static void send_records(struct fleet *f, enum fleet_set set,
			 const GPtrArray *list, const struct endpoint *to)
{
	struct wire_writer w;

	if (!list->len)
		return;
	begin_message(&w, f, FLEET_RECORDS, 2);
	write_bool(&w, false);
	write_array(&w, list->len);
	for (guint i = 0; i < list->len; i++)
		write_record(&w, set, g_ptr_array_index(list, i));
	end_message(f, &w, to);
}

void send_record(struct fleet *f, enum fleet_set set, uint64_t key,
		 const struct endpoint *to)
{
	const struct record *rec = find_record(f->sets[set], key);
	GPtrArray *list = g_ptr_array_new();

	if (rec)
		g_ptr_array_add(list, (gpointer)rec);
	send_records(f, set, list, to);
	g_ptr_array_free(list, TRUE);
}

static void write_change_record(struct wire_writer *w, const struct fleet *f,
				const struct record_change *c)
{
	const struct record *rec = find_record(f->sets[c->set], c->key);

	if (rec)
		write_record(w, c->set, rec);
	else
		write_array(w, 0);
}

static void push_to(struct fleet *f, const struct endpoint *to)
{
	struct wire_writer w;

	begin_message(&w, f, FLEET_RECORDS, 2);
	write_bool(&w, true);
	write_array(&w, f->changes->len);
	for (guint i = 0; i < f->changes->len; i++)
		write_change_record(
			&w, f,
			&g_array_index(f->changes, struct record_change, i));
	end_message(f, &w, to);
}

static bool is_pushed_to(const struct fleet *f, const struct link *l)
{
	return l->id != f->changes_sender &&
	       (l->carries_all_records || f->changes_urgent);
}

void push_changes(struct fleet *f)
{
	if (f->changes->len)
		for (size_t i = 0; i < f->link_nr; i++)
			if (is_pushed_to(f, &f->links[i]))
				push_to(f, &f->links[i].address);
	g_array_set_size(f->changes, 0);
	f->changes_sender = 0;
	f->changes_urgent = false;
}

static void note_change(struct fleet *f, enum fleet_set set, uint64_t key)
{
	struct record_change c = { set, key };

	g_array_append_val(f->changes, c);
	f->changes_urgent |= set == SET_DOMAINS;
}

static void apply_domain_record(struct fleet *f, const struct record *rec)
{
	struct wire_message msg;
	struct wire_reader r;
	struct domain_record d;
	struct fleet_action *a;
	bool ok = open_wire_message(&msg, &r, rec->body, rec->len);

	/* An array of one record, as open_wire_message() requires. */
	ok = ok && decode_domain_record(&r, &d);
	release_wire_message(&msg);
	if (!ok || !merge_domain_record(&f->domains, &d))
		return;
	set_domain_out(f->view, d.name, d.out);
	a = add_action(f, FLEET_DOMAIN_CHANGED);
	memcpy(a->domain, d.name, sizeof(a->domain));
}

static void apply_record(struct fleet *f, enum fleet_set set,
			 const struct record *rec)
{
	switch (set) {
	case SET_MEMBERS:
		apply_member_record(f, rec);
		break;
	case SET_DOMAINS:
		apply_domain_record(f, rec);
		break;
	case SET_UPSTREAMS:
		apply_upstream_record(f, rec);
		break;
	case FLEET_SET_NR:
		break;
	}
}

/* Stores the record and applies it; true if it is newer. */
static bool store_record(struct fleet *f, enum fleet_set set,
			 struct record *head, const void *body, bool push_on)
{
	const struct record *rec;

	if (set == SET_MEMBERS) {
		if (!is_member_record_wanted(f, head))
			return false;
		head->hidden = record_state(head) == MEMBER_DEAD;
	}
	head->stored_at_ms = f->now_ms;
	rec = put_record(f->sets[set], head, body);
	if (!rec)
		return false;
	if (push_on)
		note_change(f, set, head->key);
	apply_record(f, set, rec);
	return true;
}

void publish_record(struct fleet *f, enum fleet_set set, uint64_t key,
		    uint64_t version, const struct wire_writer *body)
{
	struct record head = { .key = key,
			       .version = version,
			       .len = (uint32_t)body->buf.size };

	store_record(f, set, &head, body->buf.data, true);
}

/*
 * Sends back the newer record that is stored here, if the sender sent HEAD in a
 * comparison, or pushed it and it is the sender's own member record: in
 * comparisons dead members are left out, so the sender can't learn of its own
 * death from them.
 */
static void send_newer_record(struct fleet *f, const struct sender *from,
			      enum fleet_set set, const struct record *head,
			      bool pushed)
{
	const struct record *rec = find_record(f->sets[set], head->key);

	if (rec && rec->version > head->version &&
	    (!pushed || head->key == from->id))
		send_record(f, set, head->key, &from->endpoint);
}

static void read_record(struct fleet *f, const struct sender *from,
			struct wire_reader *list, bool pushed, bool push_on)
{
	struct wire_reader r;
	struct record head = { 0 };
	enum fleet_set set;
	const void *body;

	if (!read_array(list, &r))
		return;
	set = (enum fleet_set)read_uint(&r, FLEET_SET_NR - 1);
	head.key = read_uint(&r, UINT64_MAX);
	head.version = read_uint(&r, UINT64_MAX);
	head.len = (uint32_t)read_bin(&r, &body);
	if (r.malformed || r.remaining) {
		list->malformed = true;
		return;
	}
	if (!store_record(f, set, &head, body, push_on || set == SET_DOMAINS)) {
		send_newer_record(f, from, set, &head, pushed);
		return;
	}
	count(f->counters, COUNT_FLEET_RECORDS);
	if (!pushed)
		f->compare[set].records_received++;
}

void on_records(struct fleet *f, const struct sender *from,
		struct wire_reader *r)
{
	bool pushed = read_bool(r);
	struct wire_reader list;
	bool push_on;

	read_array(r, &list);
	push_on = pushed || list.remaining <= PUSH_ON_MAX;
	f->changes_sender = from->id;
	while (list.remaining && !list.malformed)
		read_record(f, from, &list, pushed, push_on);
	r->malformed |= list.malformed;
}

static uint64_t next_backoff(const struct compare_state *c, enum fleet_set set)
{
	/* longest back-off in ms; beside it, the size of a comparison */
	static const uint64_t max[FLEET_SET_NR] = {
		[SET_MEMBERS] = 2000,	/* 279 bytes */
		[SET_DOMAINS] = 400,	/* 26 bytes; changes are rare */
		[SET_UPSTREAMS] = 8000, /* 1,047 bytes */
	};

	if (c->records_received)
		return COMPARE_MIN_MS;
	return MIN(c->backoff_ms * 2, max[set]);
}

void compare_set(struct fleet *f, enum fleet_set set, const struct endpoint *to)
{
	struct compare_state *c = &f->compare[set];
	const struct records *rs = f->sets[set];
	uint32_t digests[256];
	struct wire_writer w;

	if (f->now_ms < c->next_at_ms)
		return;
	for (size_t b = 0; b < bucket_count(rs); b++)
		digests[b] = GUINT32_TO_BE(bucket_digest(rs, b));
	begin_message(&w, f, FLEET_COMPARE, 2);
	write_uint(&w, set);
	write_bin(&w, digests, bucket_count(rs) * sizeof(*digests));
	end_message(f, &w, to);
	count(f->counters, COUNT_FLEET_SYNCS);
	c->backoff_ms = next_backoff(c, set);
	c->next_at_ms = f->now_ms + c->backoff_ms;
	c->records_received = 0;
	c->peer = *to;
}

/* Repeats comparisons that found newer records, with the same peer. */
void tick_gossip(struct fleet *f)
{
	for (int s = 0; s < FLEET_SET_NR; s++)
		if (f->compare[s].records_received)
			compare_set(f, (enum fleet_set)s, &f->compare[s].peer);
}

/* Appends the records of bucket B that are not hidden; returns their bytes. */
static size_t collect_bucket(const struct records *rs, size_t b,
			     GPtrArray *list)
{
	const GPtrArray *bucket = record_bucket(rs, b);
	size_t bytes = 0;

	for (guint i = 0; i < bucket->len; i++) {
		const struct record *rec = g_ptr_array_index(bucket, i);

		if (rec->hidden)
			continue;
		g_ptr_array_add(list, (gpointer)rec);
		bytes += sizeof(*rec) + rec->len;
	}
	return bytes;
}

static void write_versions(struct wire_writer *w, const struct records *rs,
			   size_t b)
{
	GPtrArray *list = g_ptr_array_new();
	GByteArray *raw = g_byte_array_new();

	collect_bucket(rs, b, list);
	for (guint i = 0; i < list->len; i++) {
		const struct record *rec = g_ptr_array_index(list, i);
		uint64_t item[2] = { GUINT64_TO_BE(rec->key),
				     GUINT64_TO_BE(rec->version) };

		g_byte_array_append(raw, (const guint8 *)item, LIST_ITEM_BYTES);
	}
	write_array(w, 2);
	write_uint(w, b);
	write_bin(w, raw->data, raw->len);
	g_byte_array_free(raw, TRUE);
	g_ptr_array_free(list, TRUE);
}

static void send_list(struct fleet *f, enum fleet_set set,
		      const GArray *buckets, const struct endpoint *to)
{
	struct wire_writer w;

	if (!buckets->len)
		return;
	begin_message(&w, f, FLEET_LIST, 2);
	write_uint(&w, set);
	write_array(&w, buckets->len);
	for (guint i = 0; i < buckets->len; i++)
		write_versions(&w, f->sets[set],
			       g_array_index(buckets, size_t, i));
	end_message(f, &w, to);
}

/*
 * Answers with the buckets that differ: the records of those that are empty at
 * the other side, keys and versions of the rest, about FLEET_REPLY_MAX_BYTES
 * in all.
 */
static void answer_compare(struct fleet *f, enum fleet_set set,
			   const uint32_t *digests, const struct endpoint *to)
{
	const struct records *rs = f->sets[set];
	GPtrArray *records = g_ptr_array_new();
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(size_t));
	size_t nr = bucket_count(rs);
	size_t start = (size_t)g_rand_int_range(f->rand, 0, (gint32)nr);
	size_t bytes = 0;

	for (size_t i = 0; i < nr && bytes < FLEET_REPLY_MAX_BYTES; i++) {
		size_t b = (start + i) % nr;

		if (GUINT32_FROM_BE(digests[b]) == bucket_digest(rs, b))
			continue;
		if (!digests[b]) {
			bytes += collect_bucket(rs, b, records);
		} else {
			g_array_append_val(listed, b);
			bytes += record_bucket(rs, b)->len * LIST_ITEM_BYTES;
		}
	}
	send_records(f, set, records, to);
	send_list(f, set, listed, to);
	g_ptr_array_free(records, TRUE);
	g_array_free(listed, TRUE);
}

void on_compare(struct fleet *f, const struct sender *from,
		struct wire_reader *r)
{
	enum fleet_set set = (enum fleet_set)read_uint(r, FLEET_SET_NR - 1);
	const void *raw;
	size_t len = read_bin(r, &raw);
	uint32_t digests[256];

	if (r->malformed ||
	    len != bucket_count(f->sets[set]) * sizeof(*digests)) {
		r->malformed = true;
		return;
	}
	memcpy(digests, raw, len);
	answer_compare(f, set, digests, &from->endpoint);
}

/* Comparison of the received list of a bucket, sorted by key, with our own. */
struct listing {
	const uint8_t *data;
	size_t item_count;
	size_t next_item;
	GPtrArray *newer;	 /* own records that are newer */
	GByteArray *wanted_keys; /* keys of listed records that are newer */
};

static uint64_t read_item(const struct listing *l, size_t field)
{
	uint64_t v;

	memcpy(&v, l->data + l->next_item * LIST_ITEM_BYTES + field * sizeof(v),
	       sizeof(v));
	return GUINT64_FROM_BE(v);
}

static void want_record(struct listing *l, uint64_t key)
{
	uint64_t raw = GUINT64_TO_BE(key);

	g_byte_array_append(l->wanted_keys, (const guint8 *)&raw, sizeof(raw));
}

/* Requests every listed key below KEY, none of which are in our bucket. */
static void request_below(struct listing *l, uint64_t key)
{
	for (; l->next_item < l->item_count && read_item(l, 0) < key;
	     l->next_item++)
		want_record(l, read_item(l, 0));
}

static void compare_item(struct listing *l, const struct record *rec)
{
	uint64_t version;

	request_below(l, rec->key);
	if (l->next_item == l->item_count || read_item(l, 0) != rec->key) {
		if (!rec->hidden)
			g_ptr_array_add(l->newer, (gpointer)rec);
		return;
	}
	version = read_item(l, 1);
	l->next_item++;
	if (version < rec->version)
		g_ptr_array_add(l->newer, (gpointer)rec);
	else if (version > rec->version)
		want_record(l, rec->key);
}

static void compare_listed_bucket(const struct records *rs,
				  struct wire_reader *list, struct listing *l)
{
	struct wire_reader r;
	const GPtrArray *bucket;
	const void *raw;
	size_t b;

	read_array(list, &r);
	b = (size_t)read_uint(&r, bucket_count(rs) - 1);
	l->item_count = read_bin(&r, &raw) / LIST_ITEM_BYTES;
	l->data = raw;
	l->next_item = 0;
	if (r.malformed) {
		list->malformed = true;
		return;
	}
	bucket = record_bucket(rs, b);
	for (guint i = 0; i < bucket->len; i++)
		compare_item(l, g_ptr_array_index(bucket, i));
	request_below(l, UINT64_MAX);
}

static void send_want(struct fleet *f, enum fleet_set set,
		      const GByteArray *want, const struct endpoint *to)
{
	struct wire_writer w;

	if (!want->len)
		return;
	begin_message(&w, f, FLEET_WANT, 2);
	write_uint(&w, set);
	write_bin(&w, want->data, want->len);
	end_message(f, &w, to);
}

void on_list(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	enum fleet_set set = (enum fleet_set)read_uint(r, FLEET_SET_NR - 1);
	struct listing l = { .newer = g_ptr_array_new(),
			     .wanted_keys = g_byte_array_new() };
	struct wire_reader list;

	read_array(r, &list);
	while (list.remaining && !list.malformed)
		compare_listed_bucket(f->sets[set], &list, &l);
	r->malformed |= list.malformed;
	if (!r->malformed) {
		send_records(f, set, l.newer, &from->endpoint);
		send_want(f, set, l.wanted_keys, &from->endpoint);
	}
	g_ptr_array_free(l.newer, TRUE);
	g_byte_array_free(l.wanted_keys, TRUE);
}

void on_want(struct fleet *f, const struct sender *from, struct wire_reader *r)
{
	enum fleet_set set = (enum fleet_set)read_uint(r, FLEET_SET_NR - 1);
	GPtrArray *list = g_ptr_array_new();
	const void *raw;
	size_t len = read_bin(r, &raw);

	for (size_t at = 0; !r->malformed && at + sizeof(uint64_t) <= len;
	     at += sizeof(uint64_t)) {
		const struct record *rec;
		uint64_t key;

		memcpy(&key, (const uint8_t *)raw + at, sizeof(key));
		rec = find_record(f->sets[set], GUINT64_FROM_BE(key));
		if (rec)
			g_ptr_array_add(list, (gpointer)rec);
	}
	send_records(f, set, list, &from->endpoint);
	g_ptr_array_free(list, TRUE);
}
