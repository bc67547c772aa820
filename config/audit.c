#include "config/audit.h"

#include <glib.h>

#include "config/keys.h"

#define AUDIT_FORMAT 1
#define AUDIT_FIELD_NR 9

const char *audit_what_name(enum audit_what w)
{
	static const char *const names[AUDIT_WHAT_NR] = { "publish",
							  "domain-out",
							  "domain-back" };

	return names[w];
}

const char *audit_key(const char *domain, uint64_t epoch,
		      char buf[AUDIT_KEY_MAX])
{
	if (domain)
		g_snprintf(buf, AUDIT_KEY_MAX,
			   KEY_AUDIT_PREFIX "domain/%s/%020" G_GUINT64_FORMAT,
			   domain, epoch);
	else
		g_snprintf(buf, AUDIT_KEY_MAX,
			   KEY_AUDIT_PREFIX "config/%020" G_GUINT64_FORMAT,
			   epoch);
	return buf;
}

static void encode_audit(struct wire_writer *w, const struct audit_entry *e)
{
	write_array(w, AUDIT_FIELD_NR);
	write_uint(w, AUDIT_FORMAT);
	write_str(w, e->id);
	write_uint(w, e->when_ms);
	write_str(w, e->who);
	write_uint(w, e->what);
	write_str(w, e->subject);
	write_str(w, e->why);
	write_uint(w, e->old_epoch);
	write_uint(w, e->new_epoch);
}

void add_audit(struct txn *t, const char *domain, const struct audit_entry *e)
{
	uint64_t max =
		domain ? AUDIT_DOMAIN_ENTRIES_MAX : AUDIT_CONFIG_ENTRIES_MAX;
	char key[AUDIT_KEY_MAX];
	char end[AUDIT_KEY_MAX];
	struct wire_writer w;

	init_wire_writer(&w);
	encode_audit(&w, e);
	audit_key(domain, e->new_epoch, key);
	add_compare(t, key, 0);
	add_put(t, key, w.buf.data, w.buf.size);
	release_wire_writer(&w);
	if (e->new_epoch >= max)
		add_delete(t, audit_key(domain, 0, key),
			   audit_key(domain, e->new_epoch - max + 1, end));
}

bool decode_audit(const void *data, size_t len, struct audit_entry *e)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok;

	open_wire_message(&msg, &r, data, len);
	ok = read_uint(&r, UINT64_MAX) == AUDIT_FORMAT;
	read_str(&r, e->id, sizeof(e->id));
	e->when_ms = read_uint(&r, UINT64_MAX);
	read_str(&r, e->who, sizeof(e->who));
	e->what = (enum audit_what)read_uint(&r, AUDIT_WHAT_NR - 1);
	read_str(&r, e->subject, sizeof(e->subject));
	read_str(&r, e->why, sizeof(e->why));
	e->old_epoch = read_uint(&r, UINT64_MAX);
	e->new_epoch = read_uint(&r, UINT64_MAX);
	ok = ok && !r.malformed && !r.remaining;
	release_wire_message(&msg);
	return ok;
}
