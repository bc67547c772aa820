#include "fleet/introduction.h"

#include "fleet/peer-format.h"

struct seed {
	struct endpoint at;
	uint64_t asked_ms; /* 0: not yet */
	bool answered;
};

struct introduction {
	GArray *seeds; /* of struct seed */
	uint64_t started_ms;
};

struct introduction *create_introduction(uint64_t now_ms)
{
	struct introduction *in = g_new0(struct introduction, 1);

	in->seeds = g_array_new(FALSE, FALSE, sizeof(struct seed));
	in->started_ms = now_ms;
	return in;
}

void destroy_introduction(struct introduction *in)
{
	if (!in)
		return;
	g_array_free(in->seeds, TRUE);
	g_free(in);
}

static struct seed *find_seed(struct introduction *in,
			      const struct endpoint *at)
{
	for (guint i = 0; i < in->seeds->len; i++) {
		struct seed *s = &g_array_index(in->seeds, struct seed, i);

		if (same_endpoint(&s->at, at))
			return s;
	}
	return NULL;
}

void add_introduction_seed(struct introduction *in, const struct endpoint *seed)
{
	struct seed s = { .at = *seed };

	if (!find_seed(in, seed))
		g_array_append_val(in->seeds, s);
}

void tick_introduction(struct introduction *in, uint64_t now_ms, GArray *to)
{
	if (now_ms - in->started_ms >= INTRODUCTION_SPAN_MS)
		return;
	for (guint i = 0; i < in->seeds->len; i++) {
		struct seed *s = &g_array_index(in->seeds, struct seed, i);

		if (s->answered ||
		    (s->asked_ms &&
		     now_ms - s->asked_ms < INTRODUCTION_RETRY_MS))
			continue;
		s->asked_ms = now_ms;
		g_array_append_val(to, s->at);
	}
}

void note_introduction_answer(struct introduction *in,
			      const struct endpoint *from)
{
	struct seed *s = find_seed(in, from);

	if (s)
		s->answered = true;
}

void write_introduction_request(struct wire_writer *w)
{
	write_array(w, 1);
	write_uint(w, INTRODUCTION_REQUEST);
}

static void send_addresses(const GArray *addresses, guint at, guint nr,
			   send_introduction_fn send, void *user)
{
	struct wire_writer w;

	init_wire_writer(&w);
	write_array(&w, 1 + nr);
	write_uint(&w, INTRODUCTION);
	for (guint i = 0; i < nr; i++)
		write_endpoint(
			&w, &g_array_index(addresses, struct endpoint, at + i));
	send(w.buf.data, w.buf.size, user);
	release_wire_writer(&w);
}

void write_introduction(const struct view *v, const struct endpoint *to,
			send_introduction_fn send, void *user)
{
	GArray *addresses = g_array_new(FALSE, FALSE, sizeof(struct endpoint));
	const struct member *ms;
	guint at = 0;
	size_t nr;

	ms = view_members(v, &nr);
	for (size_t i = 0; i < nr; i++) {
		struct endpoint ep = member_endpoint(&ms[i]);

		if (is_live_member(&ms[i]) && !same_endpoint(&ep, to))
			g_array_append_val(addresses, ep);
	}
	/* an answer without addresses tells that this instance is there */
	for (guint i = 0;
	     i < INTRODUCTION_DATAGRAMS && (!i || at < addresses->len); i++) {
		guint n = MIN(addresses->len - at, INTRODUCTION_ADDRESSES);

		send_addresses(addresses, at, n, send, user);
		at += n;
	}
	g_array_free(addresses, TRUE);
}

bool read_introduction(const void *data, size_t len, GArray *addresses)
{
	struct wire_message msg;
	struct wire_reader r;
	bool ok = open_wire_message(&msg, &r, data, len);
	guint before = addresses->len;

	if (ok && read_uint(&r, UINT8_MAX) != INTRODUCTION)
		ok = false;
	while (ok && !r.malformed && r.remaining) {
		struct endpoint ep;

		read_endpoint(&r, &ep);
		if (!r.malformed && ep.family == 4)
			g_array_append_val(addresses, ep);
	}
	ok = ok && !r.malformed;
	if (!ok)
		g_array_set_size(addresses, before);
	release_wire_message(&msg);
	return ok;
}
