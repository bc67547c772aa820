/*
 * Tests of platform/: packets, pages of the store, entries of upstreams and the
 * configuration.
 * Guards against malformed input that is accepted or changes the state.
 */

#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "platform/packet.h"
#include "platform/records.h"
#include "platform/store-page.h"
#include "store/etcd-json.h"

/* SYN from 100.64.0.7:40001 to 198.18.0.1:443. */
static const uint8_t syn[] = { 0x80, 0x00, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2,
			       0xc3, 0xd5, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07,
			       0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x11, 0x22,
			       0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00 };

START_TEST(packet_fields_are_decoded)
{
	struct cookie_packet p;

	ck_assert(read_platform_packet(syn, sizeof(syn), &p));
	ck_assert(is_cookie_syn(&p));
	ck_assert_uint_eq(p.key.caller_ip, 0x64400007);
	ck_assert_uint_eq(p.key.caller_port, 40001);
	ck_assert_uint_eq(p.key.service_ip, 0xc6120001);
	ck_assert_uint_eq(p.key.service_port, 443);
	ck_assert_uint_eq(p.seq, 0x11223344);
	ck_assert_uint_eq(p.cookie, 0);
	ck_assert_uint_eq(p.payload_len, 0);
}
END_TEST

START_TEST(packet_with_wrong_length_is_refused)
{
	uint8_t data[PLATFORM_HEADER_BYTES + PLATFORM_DATA_MAX_BYTES + 1] = {
		0
	};
	struct cookie_packet p;

	memcpy(data, syn, sizeof(syn));
	for (size_t len = 0; len < sizeof(data); len++)
		ck_assert(read_platform_packet(data, len, &p) ==
			  (len == PLATFORM_HEADER_BYTES));
	data[31] = 5;
	ck_assert(read_platform_packet(data, PLATFORM_HEADER_BYTES + 5, &p));
	ck_assert(!read_platform_packet(data, PLATFORM_HEADER_BYTES + 4, &p));
}
END_TEST

START_TEST(writing_the_cookie_changes_nothing_else)
{
	uint8_t data[sizeof(syn)];

	memcpy(data, syn, sizeof(syn));
	write_platform_cookie(data, 0x01020304);
	ck_assert_mem_eq(data + 2, "\x01\x02\x03\x04", 4);
	memset(data + 2, 0, 4);
	ck_assert_mem_eq(data, syn, sizeof(syn));
}
END_TEST

START_TEST(reset_has_the_service_as_source)
{
	static const uint8_t expected[] = { 0x02, 0x00, 0x00, 0x00, 0x00, 0x00,
					    0x00, 0x00, 0x00, 0x00, 0x9c, 0x41,
					    0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb,
					    0x64, 0x40, 0x00, 0x07, 0x00, 0x00,
					    0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
					    0x00, 0x00 };
	uint8_t out[PLATFORM_HEADER_BYTES];
	struct cookie_packet p;

	read_platform_packet(syn, sizeof(syn), &p);
	write_platform_reset(&p, 0, out);
	ck_assert_mem_eq(out, expected, sizeof(expected));
}
END_TEST

static enum status_kind read_entry(const char *name, const char *json,
				   struct upstream_report *r)
{
	struct status st;

	return read_upstream_entry(name, json, strlen(json), r, &st);
}

#define VALID_ENTRY                                                            \
	"{\"service\":\"desk\",\"addr\":\"10.128.0.9:8080\","                  \
	"\"zone\":\"kochi-a\",\"version\":\"v1\",\"slots\":3,"                 \
	"\"state\":\"ready\",\"warmupLeftMs\":1500,\"seq\":4,"                 \
	"\"born\":1775020505058}"

START_TEST(upstream_entry_is_decoded)
{
	struct upstream_report r;

	ck_assert_int_eq(read_entry("i-7f3a91c2", VALID_ENTRY, &r), STATUS_OK);
	ck_assert_uint_eq(r.id, 0x7f3a91c2);
	ck_assert_str_eq(r.service, "desk");
	ck_assert_str_eq(r.domain, "kochi-a");
	ck_assert_uint_eq(r.address.port, 8080);
	ck_assert_uint_eq(r.slots, 3);
	ck_assert_uint_eq(r.cold_left_ms, 1500);
	ck_assert_uint_eq(r.started_at_ms, 1775020505058);
	ck_assert(!r.draining);
}
END_TEST

/* A copy of VALID_ENTRY with FROM replaced by TO. */
static char *replace_in_entry(const char *from, const char *to)
{
	char **parts = g_strsplit(VALID_ENTRY, from, 2);
	char *text = g_strjoinv(to, parts);

	ck_assert(parts[1]);
	g_strfreev(parts);
	return text;
}

START_TEST(invalid_upstream_entry_is_refused)
{
	static const char *const replacements[][2] = {
		{ "\"service\":\"desk\",", "" },
		{ "\"service\":\"desk\"", "\"service\":7" },
		{ "10.128.0.9:8080", "somewhere" },
		{ "\"slots\":3", "\"slots\":\"3\"" },
		{ "\"slots\":3", "\"slots\":-1" },
		{ "\"ready\"", "\"resting\"" },
		{ "\"ready\"", "null" },
		{ "1500", "\"soon\"" },
		{ "1500", "-3" },
		{ "1775020505058", "1.5" },
		{ "\"zone\":\"kochi-a\",", "" },
		{ "\"version\":\"v1\",", "" },
		{ "\"version\":\"v1\"", "\"version\":1" },
	};
	struct upstream_report r;

	for (size_t i = 0; i < G_N_ELEMENTS(replacements); i++) {
		char *text = replace_in_entry(replacements[i][0],
					      replacements[i][1]);

		ck_assert_int_eq(read_entry("i-1", text, &r), STATUS_CORRUPT);
		g_free(text);
	}
	ck_assert_int_eq(read_entry("i-1", "\xff\xfe", &r), STATUS_CORRUPT);
	ck_assert_int_eq(read_entry("i-1", "", &r), STATUS_CORRUPT);
	ck_assert_int_eq(read_entry("i-1", "[]", &r), STATUS_CORRUPT);
	ck_assert_int_eq(read_entry("i-xyz", VALID_ENTRY, &r), STATUS_CORRUPT);
	ck_assert_int_eq(read_entry("i-", VALID_ENTRY, &r), STATUS_CORRUPT);
}
END_TEST

START_TEST(id_that_is_no_number_of_64_bits_names_no_upstream)
{
	static const char *const names[] = { "i-ffffffffffffffff0000000000",
					     "i-10000000000000000",
					     "i- 7f3a91c2",
					     "i-+7f3a91c2",
					     "i-0x7f3a91c2",
					     "i-0",
					     "i-00000000000000000" };
	struct upstream_report r;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		ck_assert_msg(read_entry(names[i], VALID_ENTRY, &r) ==
				      STATUS_CORRUPT,
			      "%s is taken as %llx", names[i],
			      (unsigned long long)r.id);
	ck_assert_int_eq(read_entry("i-fFffffffffffffff", VALID_ENTRY, &r),
			 STATUS_OK);
	ck_assert_uint_eq(r.id, UINT64_MAX);
}
END_TEST

START_TEST(start_that_is_no_time_names_no_upstream)
{
	static const char *const replacements[][2] = {
		{ "1775020505058", "-1775020505058" },
		{ "1775020505058", "9223372036854775807" },
		{ "1775020505058", "9007199254740992" },
		{ "1775020505058", "null" },
		{ "1775020505058", "0" },
		{ ",\"born\":1775020505058", "" },
		{ "\"seq\":4", "\"seq\":-4" },
		{ "\"seq\":4", "\"seq\":4.5" },
		{ "\"seq\":4", "\"seq\":\"4\"" },
		{ "\"seq\":4,", "" },
	};
	struct upstream_report r;

	for (size_t i = 0; i < G_N_ELEMENTS(replacements); i++) {
		char *text = replace_in_entry(replacements[i][0],
					      replacements[i][1]);

		ck_assert_msg(read_entry("i-1", text, &r) == STATUS_CORRUPT,
			      "%s is taken", text);
		g_free(text);
	}
}
END_TEST

START_TEST(address_that_gets_no_packets_names_no_upstream)
{
	static const char *const addresses[] = {
		"[2001:db8::9]:8080", "[::ffff:10.128.0.9]:8080",
		"0.0.0.0:8080",	      "255.255.255.255:8080",
		"224.0.0.1:8080",     "10.128.0.9:0",
		"10.128.0.9:65536",   "10.128.0.9:-1",
		"host.example:8080",  "10.128.0.9"
	};
	struct upstream_report r;

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		char *text = replace_in_entry("10.128.0.9:8080", addresses[i]);

		ck_assert_msg(read_entry("i-1", text, &r) == STATUS_CORRUPT,
			      "%s is taken", addresses[i]);
		g_free(text);
	}
}
END_TEST

#define VALID_CONFIG                                                           \
	"{\"version\":7,\"routes\":["                                          \
	"{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\"prefix\":\"/8080/\","     \
	"\"kind\":\"unsafe\",\"timeoutMs\":4000,\"sloMs\":250,"                \
	"\"priority\":1,\"service\":\"desk\",\"attempts\":2},"                 \
	"{\"name\":\"r-2\",\"host\":\"198.18.0.1\",\"prefix\":\"/8443/\","     \
	"\"kind\":\"safe\",\"timeoutMs\":3000,\"sloMs\":200,"                  \
	"\"priority\":2,\"split\":[{\"service\":\"desk\",\"weight\":90},"      \
	"{\"service\":\"hall\",\"weight\":10}],\"attempts\":2}],"              \
	"\"services\":[{\"name\":\"desk\",\"healthPath\":\"/up\","             \
	"\"maxConns\":2000,\"warmupS\":2.0,\"warmupPerS\":12.5}],"             \
	"\"limits\":{\"idleTimeoutMs\":15000}}"

START_TEST(operator_configuration_is_decoded)
{
	struct catalog *c = create_catalog(60000);
	const struct catalog_route *r;
	const struct catalog_service *sv;
	struct status st;

	ck_assert_int_eq(read_operator_config(c, VALID_CONFIG,
					      strlen(VALID_CONFIG), 1, &st),
			 STATUS_OK);
	ck_assert_uint_eq(catalog_version(c), 7);
	ck_assert_uint_eq(catalog_idle_ms(c), 15000);
	r = find_catalog_route(c, 0xc6120001, 8080);
	ck_assert(r && !r->repeatable && r->deadline_ms == 4000);
	r = find_catalog_route(c, 0xc6120001, 8443);
	ck_assert(r && r->repeatable && r->target_nr == 2);
	ck_assert_uint_eq(r->targets[1].weight, 10);
	ck_assert_ptr_null(find_catalog_route(c, 0xc6120002, 8443));
	sv = get_service(c, intern_service(c, "desk"));
	ck_assert_str_eq(sv->health_path, "/up");
	ck_assert_uint_eq(sv->cold_ms, 2000);
	ck_assert(sv->cold_flows_per_s == 12.5);
	ck_assert_int_eq(read_operator_config(c, VALID_CONFIG,
					      strlen(VALID_CONFIG), 1, &st),
			 STATUS_CONFLICT);
	destroy_catalog(c);
}
END_TEST

START_TEST(numbers_out_of_range_in_a_configuration_are_limited)
{
	static const char config[] =
		"{\"version\":8,\"routes\":[],\"services\":["
		"{\"name\":\"low\",\"maxConns\":-1,\"warmupS\":-2.5,"
		"\"warmupPerS\":-3},"
		"{\"name\":\"high\",\"maxConns\":1e300,\"warmupS\":1e300,"
		"\"warmupPerS\":1e300}]}";
	static const char weight[] =
		"{\"version\":9,\"services\":[],\"routes\":["
		"{\"host\":\"198.18.0.1\",\"prefix\":\"/80/\",\"split\":["
		"{\"service\":\"low\",\"weight\":1e300}]}]}";
	struct catalog *c = create_catalog(60000);
	const struct catalog_service *sv;
	struct status st;

	ck_assert_int_eq(
		read_operator_config(c, config, strlen(config), 1, &st),
		STATUS_OK);
	sv = get_service(c, intern_service(c, "low"));
	ck_assert_uint_eq(sv->cold_ms, 0);
	ck_assert(sv->cold_flows_per_s == 0);
	ck_assert_uint_eq(sv->max_flows, UINT32_MAX);
	sv = get_service(c, intern_service(c, "high"));
	ck_assert_uint_eq(sv->cold_ms, UINT32_MAX);
	ck_assert(sv->cold_flows_per_s == UINT32_MAX);
	ck_assert_uint_eq(sv->max_flows, UINT32_MAX);
	ck_assert_int_eq(
		read_operator_config(c, weight, strlen(weight), 1, &st),
		STATUS_CORRUPT);
	destroy_catalog(c);
}
END_TEST

struct split_case {
	const char *first; /* field of the first share, with a comma */
	const char *second;
	uint32_t weights[2]; /* 0, 0: the configuration is refused */
};

static const struct split_case split_cases[] = {
	{ "\"weight\":90,", "\"weight\":10,", { 90, 10 } },
	{ "\"weight\":0.9,", "\"weight\":0.1,", { 65535, 7282 } },
	{ "\"weight\":1e6,", "\"weight\":1,", { 65535, 1 } },
	{ "", "", { 1, 1 } },
	{ "\"weight\":1,", "\"weight\":0,", { 1, 0 } },
	{ "\"weight\":-1,", "\"weight\":1,", { 0, 0 } },
};

/* Shares of 0.9 and 0.1 left a route without any service. */
START_TEST(shares_of_a_split_keep_their_proportion)
{
	const struct split_case *sc = &split_cases[_i];
	char *text = g_strdup_printf(
		"{\"version\":2,\"services\":[],\"routes\":[{\"host\":"
		"\"198.18.0.1\",\"prefix\":\"/80/\",\"split\":["
		"{%s\"service\":\"a\"},{%s\"service\":\"b\"}]}]}",
		sc->first, sc->second);
	struct catalog *c = create_catalog(60000);
	struct status st;
	enum status_kind kind =
		read_operator_config(c, text, strlen(text), 1, &st);
	const struct catalog_route *r = find_catalog_route(c, 0xc6120001, 80);

	ck_assert_int_eq(kind == STATUS_OK, sc->weights[0] > 0);
	for (int i = 0; r && i < 2; i++)
		ck_assert_uint_eq(r->targets[i].weight, sc->weights[i]);
	destroy_catalog(c);
	g_free(text);
}
END_TEST

/* Figures above today's usual ones lost an upstream or fell back to a default */
START_TEST(large_and_broken_figures_keep_their_meaning)
{
	static const char config[] =
		"{\"version\":2,\"services\":[{\"name\":\"a\",\"warmupS\":"
		"0.0005}],\"limits\":{\"idleTimeoutMs\":0.5},\"routes\":["
		"{\"host\":\"198.18.0.1\",\"prefix\":\"/80/\",\"service\":"
		"\"a\",\"timeoutMs\":1e12,\"sloMs\":249.5}]}";
	static const char *const fields[][2] = {
		{ "\"slots\":3", "\"slots\":100000" },
		{ "\"warmupLeftMs\":1500", "\"warmupLeftMs\":1e12" },
		{ "\"warmupLeftMs\":1500", "\"warmupLeftMs\":1499.5" },
	};
	struct catalog *c = create_catalog(60000);
	const struct catalog_route *r;
	struct upstream_report up;
	struct status st;

	ck_assert_int_eq(
		read_operator_config(c, config, strlen(config), 1, &st),
		STATUS_OK);
	r = find_catalog_route(c, 0xc6120001, 80);
	ck_assert_uint_eq(r->deadline_ms, UINT32_MAX);
	ck_assert_uint_eq(r->slo_ms, 250);
	ck_assert_uint_eq(catalog_idle_ms(c), 1);
	ck_assert_uint_eq(get_service(c, intern_service(c, "a"))->cold_ms, 1);
	destroy_catalog(c);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		char *text = replace_in_entry(fields[i][0], fields[i][1]);

		ck_assert_int_eq(read_entry("i-1", text, &up), STATUS_OK);
		ck_assert_uint_eq(up.slots, i ? 3 : UINT16_MAX);
		ck_assert_uint_eq(up.cold_left_ms, i == 1 ? UINT32_MAX : 1500);
		g_free(text);
	}
}
END_TEST

START_TEST(invalid_configuration_changes_nothing)
{
	static const char *const invalid_configs[] = {
		"",
		"[]",
		"{}",
		"{\"version\":8}",
		"{\"version\":8,\"routes\":[{}],\"services\":[]}",
		"{\"version\":8,\"routes\":[{\"host\":\"198.18.0.1\","
		"\"prefix\":\"/x/\",\"service\":\"desk\"}],\"services\":[]}",
		"{\"version\":8,\"routes\":[{\"host\":\"198.18.0.1\","
		"\"prefix\":\"/80/\"}],\"services\":[]}"
	};
	struct catalog *c = create_catalog(60000);
	struct status st;

	read_operator_config(c, VALID_CONFIG, strlen(VALID_CONFIG), 1, &st);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid_configs); i++) {
		ck_assert_int_eq(read_operator_config(
					 c, invalid_configs[i],
					 strlen(invalid_configs[i]), 1, &st),
				 STATUS_CORRUPT);
		ck_assert_str_ne(st.message, "");
		ck_assert_uint_eq(catalog_version(c), 7);
		ck_assert_uint_eq(catalog_route_count(c), 2);
	}
	destroy_catalog(c);
}
END_TEST

#define PAGE_END "],\"hasMore\":false,\"storeRevision\":9}"
#define GOOD_ITEM(key, rev)                                                    \
	"{\"key\":\"" key "\",\"value\":\"e30=\",\"rev\":" rev                 \
	",\"createRev\":1,\"lease\":0}"

/* Entries that can't be read, with a key or without one. */
static const char *const odd_items[] = {
	"null",
	"7",
	"\"\"",
	"{}",
	"[[[]]]",
	"{\"key\":\"a\\u0000b\",\"value\":\"\",\"rev\":3}",
	"{\"key\":\"a\\ud800b\",\"value\":\"\",\"rev\":3}",
	"{\"key\":\"a\xff\",\"value\":\"\",\"rev\":3}",
	"{\"key\":\"\",\"value\":\"\",\"rev\":3}",
	"{\"key\":7,\"value\":\"\",\"rev\":3}",
	"{\"key\":\"k\",\"value\":\"\",\"rev\":1e400}",
	"{\"key\":\"k\",\"value\":\"\",\"rev\":99999999999999999999}",
	"{\"key\":\"k\",\"value\":\"\",\"rev\":-3}",
	"{\"key\":\"k\",\"value\":\"\",\"rev\":3.5}",
	"{\"key\":\"k\",\"value\":\"\",\"rev\":\"3\"}",
	"{\"key\":\"k\",\"value\":\"\"}",
	"{\"key\":\"k]}\\\"\",\"value\":\"\",\"rev\":{]}",
	"{\"key\":\"k\",\"removed\":true}",
};

static void check_page_with(const char *odd)
{
	char *text =
		g_strconcat("{\"items\":[", GOOD_ITEM("a", "3"), ",", odd, ",",
			    GOOD_ITEM("z", "4"), ",", odd, PAGE_END, NULL);
	struct store_answer a = { 0 };
	struct store_page p;

	ck_assert_msg(read_store_page(text, strlen(text), "items", &a, &p),
		      "the page with %.80s is refused", odd);
	ck_assert_uint_eq(p.revision, 9);
	ck_assert_uint_eq(a.entry_nr, 2);
	ck_assert_uint_eq(a.unreadable_nr, 2);
	ck_assert_str_eq(a.entries[0].key, "a");
	ck_assert_str_eq(a.entries[1].key, "z");
	ck_assert_mem_eq(a.entries[1].value, "{}", 2);
	ck_assert_uint_eq(a.entries[1].mod_revision, 4);
	ck_assert(!a.entries[1].deleted);
	g_free(p.last_key);
	release_store_answer(&a);
	g_free(text);
}

START_TEST(unreadable_item_does_not_hide_the_rest_of_its_page)
{
	char *key = g_strnfill(201, 'k');
	char *item = g_strdup_printf(
		"{\"key\":\"%s\",\"value\":\"\",\"rev\":3}", key);
	GString *deep = g_string_new("{\"key\":");

	for (size_t i = 0; i < G_N_ELEMENTS(odd_items); i++)
		check_page_with(odd_items[i]);
	check_page_with(item);
	for (int i = 0; i < 200000; i++)
		g_string_insert_c(deep, -1, '[');
	for (int i = 0; i < 200000; i++)
		g_string_append_c(deep, ']');
	g_string_append_c(deep, '}');
	check_page_with(deep->str);
	g_string_free(deep, TRUE);
	g_free(item);
	g_free(key);
}
END_TEST

START_TEST(item_with_an_unreadable_value_is_present)
{
	static const char *const values[] = { "", ",\"value\":null",
					      ",\"value\":[1]",
					      ",\"value\":\"\\u0000\"" };

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
		char *text = g_strdup_printf("{\"events\":[{\"key\":\"k\","
					     "\"rev\":3%s}%s",
					     values[i], PAGE_END);
		struct store_answer a = { 0 };
		struct store_page p;

		ck_assert(
			read_store_page(text, strlen(text), "events", &a, &p));
		ck_assert_uint_eq(a.entry_nr, 1);
		ck_assert_uint_eq(a.entries[0].len, 0);
		ck_assert_ptr_nonnull(a.entries[0].value);
		ck_assert_str_eq(p.last_key, "k");
		g_free(p.last_key);
		release_store_answer(&a);
		g_free(text);
	}
}
END_TEST

/* Values of another writer filled the memory of all instances. */
START_TEST(long_value_is_kept_for_the_configuration_only)
{
	static const char *const keys[] = { "op/config", "servers/a-1", "x" };

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *value = g_strnfill(400000, 'A');
		char *text = g_strdup_printf(
			"{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"rev\":"
			"7,"
			"\"createRev\":1,\"lease\":0}],\"hasMore\":false,"
			"\"storeRevision\":9}",
			keys[i], value);
		struct store_answer a = { 0 };
		struct store_page p;

		ck_assert(read_store_page(text, strlen(text), "items", &a, &p));
		ck_assert_uint_eq(a.entry_nr, 1);
		ck_assert_uint_eq(a.entries[0].len, i ? 0 : 300000);
		g_free(p.last_key);
		release_store_answer(&a);
		g_free(text);
		g_free(value);
	}
}
END_TEST

START_TEST(page_that_is_no_list_is_refused)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{}",
		"{\"items\":{},\"storeRevision\":9}",
		"{\"items\":[]}",
		"{\"items\":[],\"storeRevision\":0}",
		"{\"items\":[],\"storeRevision\":9",
		"{\"items\":[{\"key\":\"",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		struct store_answer a = { 0 };
		struct store_page p;

		ck_assert(!read_store_page(texts[i], strlen(texts[i]), "items",
					   &a, &p));
		g_free(p.last_key);
		release_store_answer(&a);
	}
}
END_TEST

START_TEST(key_determines_the_record_kind)
{
	const char *name;

	ck_assert_int_eq(platform_key_kind("op/config", &name), RECORD_ROUTES);
	ck_assert_int_eq(platform_key_kind("op/evacuate/kochi-a", &name),
			 RECORD_DOMAIN_OUT);
	ck_assert_str_eq(name, "kochi-a");
	ck_assert_int_eq(platform_key_kind("servers/i-1", &name),
			 RECORD_UPSTREAM);
	ck_assert_str_eq(name, "i-1");
	ck_assert_int_eq(platform_key_kind("op/configs", &name), RECORD_OTHER);
	ck_assert_int_eq(platform_key_kind("servers/", &name), RECORD_OTHER);
	ck_assert_int_eq(platform_key_kind("status/x", &name), RECORD_OTHER);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("platform");
	TCase *tc = tcase_create("platform");
	SRunner *sr = srunner_create(s);
	int failed;

	tcase_add_test(tc, packet_fields_are_decoded);
	tcase_add_test(tc, packet_with_wrong_length_is_refused);
	tcase_add_test(tc, writing_the_cookie_changes_nothing_else);
	tcase_add_test(tc, reset_has_the_service_as_source);
	tcase_add_test(tc, upstream_entry_is_decoded);
	tcase_add_test(tc, invalid_upstream_entry_is_refused);
	tcase_add_test(tc, id_that_is_no_number_of_64_bits_names_no_upstream);
	tcase_add_test(tc, start_that_is_no_time_names_no_upstream);
	tcase_add_test(tc, address_that_gets_no_packets_names_no_upstream);
	tcase_add_test(tc, operator_configuration_is_decoded);
	tcase_add_test(tc, numbers_out_of_range_in_a_configuration_are_limited);
	tcase_add_test(tc, invalid_configuration_changes_nothing);
	tcase_add_loop_test(tc, shares_of_a_split_keep_their_proportion, 0,
			    G_N_ELEMENTS(split_cases));
	tcase_add_test(tc, large_and_broken_figures_keep_their_meaning);
	tcase_add_test(tc, unreadable_item_does_not_hide_the_rest_of_its_page);
	tcase_add_test(tc, item_with_an_unreadable_value_is_present);
	tcase_add_test(tc, long_value_is_kept_for_the_configuration_only);
	tcase_add_test(tc, page_that_is_no_list_is_refused);
	tcase_add_test(tc, key_determines_the_record_kind);
	suite_add_tcase(s, tc);
	srunner_run_all(sr, CK_ENV);
	failed = srunner_ntests_failed(sr);
	srunner_free(sr);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
