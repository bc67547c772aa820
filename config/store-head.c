#include "config/store-head.h"

#include <string.h>

#include "config/keys.h"

struct store_range store_head_range(void)
{
	struct store_range r = { .key = KEY_HEAD_PREFIX, .end = KEY_HEAD_END };

	return r;
}

void release_store_head(struct store_head *h)
{
	destroy_pointer(h->pointer);
	memset(h, 0, sizeof(*h));
}

static bool decode_seen_epoch(const struct store_entry *e, uint64_t *seen)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok;

	open_wire_message(&msg, &r, e->value, e->len);
	*seen = read_uint(&r, UINT64_MAX);
	ok = !r.malformed && !r.remaining;
	release_wire_message(&msg);
	return ok;
}

void add_seen_epoch_put(struct txn *t, uint64_t epoch)
{
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, 1);
	write_uint(&w, epoch);
	add_put(t, KEY_SEEN_EPOCH, w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

static bool decode_domain_value(const struct store_entry *e,
				struct domain_record *rec)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok;

	open_wire_message(&msg, &r, e->value, e->len);
	ok = decode_domain_record(&r, rec) && !r.malformed && !r.remaining;
	release_wire_message(&msg);
	return ok && !strcmp(rec->name, e->key + strlen(KEY_DOMAIN_PREFIX));
}

void add_domain_put(struct txn *t, const struct domain_record *rec)
{
	char key[AUDIT_KEY_MAX];
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, 1);
	encode_domain_record(&w, rec);
	add_put(t, domain_key(rec->name, key), w.buf.data, w.buf.size);
	release_wire_writer(&w);
}

const char *domain_key(const char *name, char buf[AUDIT_KEY_MAX])
{
	g_snprintf(buf, AUDIT_KEY_MAX, KEY_DOMAIN_PREFIX "%s", name);
	return buf;
}

int find_domain_index(const struct store_head *h, const char *name)
{
	for (size_t i = 0; i < h->domains.nr; i++)
		if (!strcmp(h->domains.at[i].name, name))
			return (int)i;
	return -1;
}

static bool decode_domain_entry(struct store_head *h,
				const struct store_entry *e)
{
	struct domain_record rec;
	int i;

	if (!decode_domain_value(e, &rec))
		return false;
	merge_domain_record(&h->domains, &rec);
	i = find_domain_index(h, rec.name);
	if (i >= 0)
		h->domain_revisions[i] = e->mod_revision;
	return i >= 0;
}

/* A watch answer may have several changes of one key; the last one counts. */
static bool decode_head_entry(struct store_head *h, const struct store_entry *e,
			      struct status *st)
{
	if (e->deleted)
		return true;
	if (!strcmp(e->key, KEY_CONFIG)) {
		destroy_pointer(h->pointer);
		h->pointer = decode_pointer(e->value, e->len, st);
		h->pointer_revision = e->mod_revision;
		return h->pointer;
	}
	if (!strcmp(e->key, KEY_SEEN_EPOCH)) {
		h->seen_epoch_revision = e->mod_revision;
		return decode_seen_epoch(e, &h->seen_epoch);
	}
	if (g_str_has_prefix(e->key, KEY_DOMAIN_PREFIX))
		return decode_domain_entry(h, e);
	return true;
}

enum status_kind decode_store_head(struct store_head *h,
				   const struct store_answer *a,
				   struct status *st)
{
	memset(h, 0, sizeof(*h));
	h->revision = a->revision;
	for (size_t i = 0; i < a->entry_nr; i++)
		if (!decode_head_entry(h, &a->entries[i], st))
			return set_status(st, STATUS_CORRUPT,
					  "the store's value at %s is not a "
					  "valid head record",
					  a->entries[i].key);
	return STATUS_OK;
}
