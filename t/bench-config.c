/*
 * Measures the configuration at the target size, by the number of buckets:
 * bytes and times of encoding, decoding, publishing all services and
 * publishing one. With one bucket, the whole configuration is one value; with
 * 65,536, nearly every service has its own part.
 */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/delta.h"
#include "config/parts.h"
#include "config/publish.h"
#include "store/etcd-json.h"
#include "t/fake-store.h"

#define SERVICE_NR 18000
#define UPSTREAM_NR 41000
#define DOMAIN_NR 7
#define CHANGE_NR 5 /* changes of one service over which costs are averaged */

static double now_ms(void)
{
	return (double)g_get_monotonic_time() / 1000;
}

/* Service I with its share of all upstreams; VERSION varies their slots. */
static struct service *make_service(unsigned int i, unsigned int version)
{
	unsigned int first =
		(unsigned int)((uint64_t)i * UPSTREAM_NR / SERVICE_NR);
	unsigned int end =
		(unsigned int)((uint64_t)(i + 1) * UPSTREAM_NR / SERVICE_NR);
	struct service *sv;
	char name[CONFIG_NAME_MAX];
	char at[ENDPOINT_TEXT_MAX];

	g_snprintf(name, sizeof(name), "service-%05u", i);
	sv = create_service(name);
	sv->kind = i % 2 ? SERVICE_FLOWS : SERVICE_REQUESTS;
	g_snprintf(at, sizeof(at), "10.%u.%u.%u:443", i >> 16 & 255,
		   i >> 8 & 255, i & 255);
	parse_endpoint(at, &sv->address, NULL);
	for (unsigned int u = first; u < end; u++) {
		struct upstream up = { .slots = 3 + version % 2,
				       .cold_slots = 1,
				       .connections = 2000,
				       .cold_connections = 600 };

		g_snprintf(up.name, sizeof(up.name), "target-%05u", u);
		g_snprintf(up.domain, sizeof(up.domain), "domain-%u",
			   u % DOMAIN_NR);
		g_snprintf(at, sizeof(at), "10.%u.%u.%u:9000",
			   100 + (u >> 16 & 255), u >> 8 & 255, u & 255);
		parse_endpoint(at, &up.address, NULL);
		add_upstream(sv, &up);
	}
	seal_service(sv);
	return sv;
}

static struct snapshot *make_snapshot(void)
{
	struct service **svs = g_new0(struct service *, SERVICE_NR);
	struct snapshot *sn;

	for (unsigned int i = 0; i < SERVICE_NR; i++)
		svs[i] = make_service(i, 0);
	sn = create_snapshot(1, "bench", svs, SERVICE_NR);
	for (unsigned int i = 0; i < SERVICE_NR; i++)
		unref_service(svs[i]);
	g_free(svs);
	return sn;
}

/* Sums over one or several publishes. */
struct cost {
	double ms;
	size_t bytes;
	unsigned int calls;
};

static void run_publish(struct fake_store *store, struct publish *p,
			struct cost *c)
{
	struct change_action act;
	double start = now_ms();

	step_publish(p, NULL, &act);
	while (act.kind != CHANGE_DONE) {
		struct store_answer a = { .entries = NULL };

		for (size_t i = 0;
		     act.kind == CHANGE_COMMIT && i < act.txn.op_nr; i++)
			c->bytes += act.txn.ops[i].len;
		c->calls++;
		if (act.kind != CHANGE_WAIT)
			call_fake_store(store, &act, FAKE_NONE, &a);
		step_publish(p, act.kind == CHANGE_WAIT ? NULL : &a, &act);
		release_store_answer(&a);
	}
	c->ms += now_ms() - start;
}

static enum status_kind publish(struct fake_store *store,
				struct service *const *svs, size_t nr,
				bool only, uint32_t bucket_nr, struct cost *c)
{
	char *id = g_uuid_string_random();
	struct publish_intent in = { .id = id, .who = "bench", .why = "" };
	struct publish *p;
	enum status_kind kind;

	in.change.services = svs;
	in.change.service_nr = nr;
	in.change.only = only;
	in.bucket_nr = bucket_nr;
	p = create_publish(&in, 1);
	run_publish(store, p, c);
	kind = publish_status(p)->kind;
	destroy_publish(p);
	g_free(id);
	return kind;
}

static void measure_parts(const struct snapshot *sn, uint32_t bucket_nr,
			  size_t *largest, size_t *pointer)
{
	GArray *parts = split_snapshot(sn, bucket_nr);
	struct pointer *p = create_pointer(bucket_nr);
	struct wire_writer w;

	*largest = 0;
	for (guint i = 0; i < parts->len; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);

		*largest = MAX(*largest, part->bytes.buf.size);
		g_array_append_val(p->parts, part->ref);
	}
	init_wire_writer(&w);
	encode_pointer(&w, p);
	*pointer = w.buf.size;
	release_wire_writer(&w);
	destroy_pointer(p);
	free_parts(parts);
}

static void bench_buckets(const struct snapshot *sn, uint32_t bucket_nr)
{
	struct fake_store *store = create_fake_store(FAKE_NO_FLAW);
	struct service **svs = g_new0(struct service *, SERVICE_NR);
	struct cost whole = { .ms = 0 };
	struct cost one = { .ms = 0 };
	enum status_kind kind;
	size_t largest;
	size_t pointer;

	for (unsigned int i = 0; i < SERVICE_NR; i++)
		svs[i] = (struct service *)snapshot_service(sn, i);
	measure_parts(sn, bucket_nr, &largest, &pointer);
	kind = publish(store, svs, SERVICE_NR, false, bucket_nr, &whole);
	for (unsigned int i = 0; kind == STATUS_OK && i < CHANGE_NR; i++) {
		struct service *sv = make_service(i * 37, 1);

		kind = publish(store, &sv, 1, true, 0, &one);
		unref_service(sv);
	}
	if (kind == STATUS_OK)
		printf("%7u %9zu %9zu %9.0f %6u %10zu %9.0f %6u %10zu\n",
		       bucket_nr, largest, pointer, whole.ms, whole.calls,
		       whole.bytes, one.ms / CHANGE_NR, one.calls / CHANGE_NR,
		       one.bytes / CHANGE_NR);
	else
		printf("%7u %9zu %9zu   refused: %s\n", bucket_nr, largest,
		       pointer, find_status_row(kind)->name);
	g_free(svs);
	destroy_fake_store(store);
}

static void bench_codec(const struct snapshot *sn)
{
	struct wire_writer w;
	struct snapshot *decoded;
	GArray *parts;
	struct part_cache *cache = create_part_cache();
	struct pointer *p = create_pointer(BUCKET_NR_DEFAULT);
	double t0;
	double t1;
	double t2;

	init_wire_writer(&w);
	t0 = now_ms();
	encode_snapshot(&w, sn);
	t1 = now_ms();
	decoded = decode_snapshot(w.buf.data, w.buf.size, NULL);
	t2 = now_ms();
	printf("one value: %zu bytes, encode %.1f ms, decode %.1f ms\n",
	       w.buf.size, t1 - t0, t2 - t1);
	unref_snapshot(decoded);
	release_wire_writer(&w);
	t0 = now_ms();
	parts = split_snapshot(sn, BUCKET_NR_DEFAULT);
	t1 = now_ms();
	for (guint i = 0; i < parts->len; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);

		add_cached_part(cache, &part->ref, part->bytes.buf.data,
				part->bytes.buf.size);
		g_array_append_val(p->parts, part->ref);
	}
	t2 = now_ms();
	decoded = assemble_snapshot(cache, p);
	printf("%d buckets: split and encode %.1f ms, decode all %.1f ms, "
	       "assemble %.1f ms\n",
	       BUCKET_NR_DEFAULT, t1 - t0, t2 - t1, now_ms() - t2);
	unref_snapshot(decoded);
	free_parts(parts);
	destroy_pointer(p);
	destroy_part_cache(cache);
}

/* Writes the service SV as a file in DIR. */
static bool write_file(const char *dir, const struct service *sv)
{
	char *path = g_strdup_printf("%s/%s.ini", dir, sv->name);
	GString *s = g_string_new(NULL);
	char at[ENDPOINT_TEXT_MAX];
	bool ok;

	g_string_printf(s, "[service]\nname = %s\nkind = %s\naddress = %s\n",
			sv->name,
			sv->kind == SERVICE_FLOWS ? "flows" : "requests",
			format_endpoint(&sv->address, at));
	for (size_t i = 0; i < sv->upstream_nr; i++) {
		const struct upstream *up = &sv->upstreams[i];

		g_string_append_printf(
			s,
			"[upstream %s]\naddress = %s\ndomain = %s\n"
			"slots = %u\nconnections = %u\n",
			up->name, format_endpoint(&up->address, at), up->domain,
			up->slots, up->connections);
	}
	ok = g_file_set_contents(path, s->str, -1, NULL);
	g_string_free(s, TRUE);
	g_free(path);
	return ok;
}

/* Writes all services as files in DIR, for baobabvalve publish. */
static int write_files(const char *dir)
{
	bool ok = true;

	for (unsigned int i = 0; ok && i < SERVICE_NR; i++) {
		struct service *sv = make_service(i, 0);

		ok = write_file(dir, sv);
		unref_service(sv);
	}
	return ok ? 0 : 1;
}

/* Measures a store reader's memory, and its time to apply one change. */
static void bench_store_reader(const struct snapshot *sn)
{
	size_t before = mallinfo2().uordblks;
	GArray *parts = split_snapshot(sn, BUCKET_NR_DEFAULT);
	struct part_cache *cache = create_part_cache();
	struct pointer *p = create_pointer(BUCKET_NR_DEFAULT);
	struct snapshot *current;
	struct wire_writer w;
	double start;

	for (guint i = 0; i < parts->len; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);

		add_cached_part(cache, &part->ref, part->bytes.buf.data,
				part->bytes.buf.size);
		g_array_append_val(p->parts, part->ref);
	}
	init_wire_writer(&w);
	encode_pointer(&w, p);
	current = assemble_snapshot(cache, p);
	start = now_ms();
	for (guint i = 0; i < CHANGE_NR; i++) {
		const struct part *part = &g_array_index(parts, struct part, i);
		struct pointer *changed =
			decode_pointer(w.buf.data, w.buf.size, NULL);

		add_cached_part(cache, &part->ref, part->bytes.buf.data,
				part->bytes.buf.size);
		unref_snapshot(current);
		current = assemble_snapshot(cache, changed);
		destroy_pointer(changed);
	}
	printf("reader: %.1f ms for one change",
	       (now_ms() - start) / CHANGE_NR);
	free_parts(parts);
	release_wire_writer(&w);
	destroy_pointer(p);
	printf(", holds %.1f MB\n",
	       (double)(mallinfo2().uordblks - before) / 1e6);
	unref_snapshot(current);
	destroy_part_cache(cache);
}

/* bench-config [DIR]: with DIR, writes the service files there instead. */
int main(int argc, char **argv)
{
	static const uint32_t buckets[] = { 1,	 16,   64,   256,
					    512, 1024, 4096, 65536 };
	struct snapshot *sn;

	if (argc > 1)
		return write_files(argv[1]);
	sn = make_snapshot();
	printf("configuration: %zu services, %zu upstreams\n",
	       snapshot_service_count(sn), snapshot_upstream_count(sn));
	bench_codec(sn);
	bench_store_reader(sn);
	printf("%7s %9s %9s %9s %6s %10s %9s %6s %10s\n", "", "largest", "", "",
	       "", "", "one", "", "");
	printf("%7s %9s %9s %9s %6s %10s %9s %6s %10s\n", "buckets", "part, B",
	       "ptr, B", "whole, ms", "calls", "put, B", "chg., ms", "calls",
	       "put, B");
	for (size_t i = 0; i < G_N_ELEMENTS(buckets); i++)
		bench_buckets(sn, buckets[i]);
	unref_snapshot(sn);
	return 0;
}
