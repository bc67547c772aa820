/*
 * Properties of the readers of data that another writer may have left or
 * damaged: pages of the store, entries of upstreams, configurations, datagrams
 * of peers and answers of etcd. Valid data is mutated; what is refused changes
 * nothing, and what lies beside it is read as before.
 */

#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <vector>

extern "C" {
#include "fleet/health-notice.h"
#include "fleet/heartbeat.h"
#include "fleet/introduction.h"
#include "fleet/store-update.h"
#include "fleet/value-transfer.h"
#include "flow/moved-flows.h"
#include "platform/records.h"
#include "platform/store-page.h"
#include "store/etcd-json.h"
}

namespace
{

constexpr int MUTANTS = 40; /* of each generated text */
constexpr uint64_t HOLD_MS = 5000;

template <typename T> T pick(const std::vector<T> &from)
{
	return *rc::gen::elementOf(from);
}

std::string nested(size_t depth)
{
	return std::string(depth, '[') + std::string(depth, ']');
}

/* Values that a JSON field should not have, or has seldom. */
std::string odd_value()
{
	return pick<std::string>({ "null",
				   "true",
				   "-1",
				   "0",
				   "1e400",
				   "1e300",
				   "-0.5",
				   "65536",
				   "4294967296",
				   "9007199254740992",
				   "9223372036854775807",
				   "99999999999999999999",
				   "\"\"",
				   "\"\\u0000\"",
				   "\"\\ud800\"",
				   "\"\xff\"",
				   "\"" + std::string(201, 'n') + "\"",
				   "[]",
				   "{}",
				   nested(3),
				   nested(3000),
				   "\"10.0.0.9:99999\"",
				   "\"[2001:db8::1]:80\"",
				   "\"elsewhere\"" });
}

/* Bytes that open or end strings and arrays, or announce long ones. */
std::string pick_odd_bytes(GRand *rand)
{
	static const std::string all[] = { "\xdd\xff\xff\xff\xff",
					   "\xdb\xff\xff\xff\xff",
					   "\x91",
					   std::string(1, '\0'),
					   "\xff",
					   "[",
					   "{",
					   "\"",
					   "9",
					   "\\u0000" };

	return all[g_rand_int(rand) % G_N_ELEMENTS(all)];
}

/* DATA with a few bytes changed, cut, repeated or put in. */
std::string mutate(std::string data, GRand *rand)
{
	int n = g_rand_int_range(rand, 1, 5);

	while (n-- > 0 && !data.empty()) {
		size_t at = g_rand_int(rand) % data.size();
		size_t len = 1 + g_rand_int(rand) % 8;

		switch (g_rand_int_range(rand, 0, 6)) {
		case 0:
			data[at] = (char)g_rand_int(rand);
			break;
		case 1:
			data[at] = (char)(data[at] ^
					  1 << g_rand_int_range(rand, 0, 8));
			break;
		case 2:
			data.erase(at, len);
			break;
		case 3:
			data.insert(at, data.substr(at, len));
			break;
		case 4:
			data.resize(at);
			break;
		default:
			data.insert(at, pick_odd_bytes(rand));
			break;
		}
	}
	return data;
}

/* Calls FN with mutants of DATA, each in a buffer of just its length. */
template <typename F> void for_mutants(const std::string &data, F fn)
{
	GRand *rand =
		g_rand_new_with_seed((guint32)*rc::gen::inRange(0, 1 << 30));

	for (int i = 0; i < MUTANTS; i++) {
		std::string text = mutate(data, rand);
		std::vector<char> exact(text.begin(), text.end());

		fn(exact.data(), exact.size());
	}
	g_rand_free(rand);
}

struct Entry {
	std::string service = "\"board\"";
	std::string addr = "\"10.0.0.1:9000\"";
	std::string zone = "\"north\"";
	std::string slots = "3";
	std::string state = "\"ready\"";
	std::string cold = "0";
	std::string seq = "1";
	std::string born = "1000";

	std::string text() const
	{
		return "{\"service\":" + service + ",\"addr\":" + addr +
		       ",\"zone\":" + zone +
		       ",\"version\":\"v1\",\"slots\":" + slots +
		       ",\"state\":" + state + ",\"warmupLeftMs\":" + cold +
		       ",\"seq\":" + seq + ",\"born\":" + born + "}";
	}

	std::string &field(int nr)
	{
		std::string *const fields[] = { &service, &addr, &zone, &slots,
						&state,	  &cold, &seq,	&born };

		return *fields[nr];
	}
};

/* An entry with up to three odd fields. */
Entry odd_entry()
{
	Entry e;
	int n = *rc::gen::inRange(0, 4);

	while (n-- > 0)
		e.field(*rc::gen::inRange(0, 8)) = odd_value();
	return e;
}

void check_report(const struct upstream_report &r)
{
	RC_ASSERT(r.id != 0U);
	RC_ASSERT(r.service[0] && r.domain[0] && r.name[0]);
	RC_ASSERT(r.address.family == 4 && r.address.port != 0);
	RC_ASSERT(r.address.ip[0] > 0 && r.address.ip[0] < 224);
	RC_ASSERT(r.slots >= 1U && r.slots <= 65535U);
	RC_ASSERT(r.started_at_ms < UINT64_C(1) << 53);
	RC_ASSERT(r.write_count < UINT64_C(1) << 53);
}

std::string item(const std::string &key, const std::string &value,
		 const std::string &rev)
{
	return "{\"key\":" + key + ",\"value\":" + value + ",\"rev\":" + rev +
	       ",\"createRev\":1,\"lease\":0}";
}

std::string odd_item()
{
	std::string key = "\"servers/odd\"";
	std::string value = "\"e30=\"";
	std::string rev = "7";

	switch (*rc::gen::inRange(0, 4)) {
	case 0:
		key = odd_value();
		break;
	case 1:
		value = odd_value();
		break;
	case 2:
		rev = odd_value();
		break;
	default:
		return odd_value();
	}
	return item(key, value, rev);
}

void pages_keep_their_good_items()
{
	size_t nr = *rc::gen::inRange<size_t>(0, 6);
	std::string text = "{\"items\":[";
	struct store_answer a = {};
	struct store_page p;
	size_t good = 0;

	for (size_t i = 0; i < nr; i++) {
		if (i)
			text += ",";
		if (*rc::gen::arbitrary<bool>()) {
			text += item("\"good/" + std::to_string(good++) + "\"",
				     "\"e30=\"", std::to_string(i + 1));
		} else {
			std::string odd = odd_item();

			/* an item is an object or an array */
			text += odd[0] == '{' || odd[0] == '[' ? odd : "null";
		}
	}
	text += "],\"hasMore\":false,\"storeRevision\":99}";
	RC_ASSERT(read_store_page(text.data(), text.size(), "items", &a, &p));
	RC_ASSERT(a.entry_nr + a.unreadable_nr == nr);
	size_t seen = 0;
	for (size_t i = 0; i < a.entry_nr; i++) {
		if (!g_str_has_prefix(a.entries[i].key, "good/"))
			continue;
		RC_ASSERT(a.entries[i].key == "good/" + std::to_string(seen++));
		RC_ASSERT(a.entries[i].len == 2U);
	}
	RC_ASSERT(seen == good);
	g_free(p.last_key);
	release_store_answer(&a);
	for_mutants(text, [](const char *data, size_t len) {
		struct store_answer b = {};
		struct store_page q;

		read_store_page(data, len, "items", &b, &q);
		g_free(q.last_key);
		release_store_answer(&b);
	});
}

void entries_are_valid_or_refused()
{
	std::string name = pick<std::string>(
		{ "i-1", "x-00A1", "i-ffffffffffffffff", "i-g", "i- 1", "-" });

	auto check = [&](const char *data, size_t len) {
		struct upstream_report r;
		struct status st;

		if (read_upstream_entry(name.c_str(), data, len, &r, &st) ==
		    STATUS_OK)
			check_report(r);
	};

	for (int i = 0; i < MUTANTS; i++) {
		std::string text = odd_entry().text();

		check(text.data(), text.size());
	}
	for_mutants(odd_entry().text(), check);
}

/* What a test expects of one upstream. */
struct Owner {
	std::string name;
	uint64_t born = 1000;
	std::string address;
};

/* Applies TEXT as the entry of NAME; true if it is in force. */
bool apply_entry(struct catalog *c, const std::string &name,
		 const std::string &text, uint64_t now_ms)
{
	struct upstream_report r;
	struct status st;

	if (read_upstream_entry(name.c_str(), text.data(), text.size(), &r,
				&st) != STATUS_OK ||
	    !names_upstream(c, &r, now_ms)) {
		ignore_upstream_entry(c, name.c_str(), r.id, now_ms);
		return false;
	}
	return !dispute_upstream_report(c, &r, HOLD_MS, now_ms) &&
	       update_catalog_upstream(c, &r, now_ms, now_ms) != CATALOG_NONE;
}

std::string flow_address(struct catalog *c, uint64_t id)
{
	const struct catalog_upstream *up =
		get_upstream(c, find_upstream_by_cookie(c, make_cookie(id)));
	char text[ENDPOINT_TEXT_MAX];

	return up ? format_endpoint(&up->report.address, text) : "none";
}

void open_flows_stay_where_their_upstream_is()
{
	const std::string config = "{\"version\":1,\"routes\":[],"
				   "\"services\":[{\"name\":\"board\"}]}";
	struct catalog *c = create_catalog(60000);
	struct status st;
	Owner owners[3];
	int steps = *rc::gen::inRange(1, 30);
	uint64_t now_ms = 1;

	RC_ASSERT(read_operator_config(c, config.data(), config.size(), now_ms,
				       &st) == STATUS_OK);
	while (steps-- > 0) {
		int nr = *rc::gen::inRange(0, 3);
		Owner &o = owners[nr];
		Entry e = odd_entry();

		o.name = "i-a" + std::to_string(nr + 1);
		now_ms += (uint64_t)*rc::gen::inRange(1, 500);
		if (o.address.empty() || *rc::gen::arbitrary<bool>()) {
			bool starts = o.address.empty() ||
				      *rc::gen::inRange(0, 4) == 0;

			if (starts) {
				o.born++;
				o.address = "10.0." + std::to_string(nr) + "." +
					    std::to_string(o.born % 200 + 1) +
					    ":9000";
			}
			e = Entry();
			e.addr = "\"" + o.address + "\"";
			e.born = std::to_string(o.born);
			RC_ASSERT(apply_entry(c, o.name, e.text(), now_ms));
			RC_ASSERT(accepts_flows(
				c, find_upstream_by_cookie(
					   c, make_cookie(0xa1 + nr))));
		} else {
			/*
			 * another writer, which makes up no other start; a
			 * second name for the number started later
			 */
			bool own_key = *rc::gen::arbitrary<bool>();

			e.born = pick<std::string>(
				{ "-5", "0", "null", "1e400",
				  own_key ? std::to_string(o.born)
					  : "1000000" });
			apply_entry(
				c,
				own_key ? o.name
					: pick<std::string>(
						  { "a-00A" + std::to_string(
								      nr + 1),
						    "i-" + std::string(28,
								       'f') }),
				e.text(), now_ms);
		}
		for (int i = 0; i < 3; i++)
			if (!owners[i].address.empty())
				RC_ASSERT(flow_address(c, 0xa1 + i) ==
					  owners[i].address);
	}
	destroy_catalog(c);
}

void refused_configurations_change_nothing()
{
	std::string text =
		"{\"version\":" + pick<std::string>({ "7", odd_value() }) +
		",\"routes\":[{\"host\":\"198.18.0.1\",\"prefix\":\"/80/\","
		"\"timeoutMs\":" +
		odd_value() + ",\"priority\":" + odd_value() +
		",\"split\":[{\"service\":\"board\",\"weight\":" + odd_value() +
		"}]},{\"host\":\"198.18.0.1\",\"prefix\":\"/81/\","
		"\"service\":\"board\"}],\"services\":[{\"name\":\"board\","
		"\"healthPath\":" +
		odd_value() + ",\"maxConns\":" + odd_value() +
		",\"warmupS\":" + odd_value() +
		",\"warmupPerS\":" + odd_value() +
		"},7],\"limits\":" + odd_value() + "}";

	for_mutants(text, [](const char *data, size_t len) {
		struct catalog *c = create_catalog(60000);
		struct status st;
		bool ok =
			read_operator_config(c, data, len, 1, &st) == STATUS_OK;

		RC_ASSERT(ok == (catalog_version(c) > 0U));
		RC_ASSERT(ok || !catalog_route_count(c));
		destroy_catalog(c);
	});
}

std::string take(struct wire_writer *w)
{
	std::string data(w->buf.data, w->buf.size);

	release_wire_writer(w);
	return data;
}

/* Keeps the last datagram in USER, a std::string. */
void keep(const void *data, size_t len, void *user)
{
	static_cast<std::string *>(user)->assign(
		static_cast<const char *>(data), len);
}

/* A valid datagram of each kind that peers send. */
std::vector<std::string> datagrams()
{
	std::vector<std::string> all(7);
	struct heartbeat_message hm = {};
	struct health_notice n = {};
	struct value_request vr = {};
	struct store_entry es[2] = {};
	struct mirror_update mu = {};
	struct flow_key key = { 1, 2, 3, 4 };
	struct upstream_load_row row = {};
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(key));
	struct update_log *ul = create_update_log();
	struct view *v = create_view(1);
	struct endpoint to = {};
	struct wire_writer w;

	hm.rows = g_array_new(FALSE, FALSE, sizeof(row));
	g_array_append_val(hm.rows, row);
	g_strlcpy(hm.member.name, "in-1", sizeof(hm.member.name));
	g_strlcpy(hm.member.domain, "north", sizeof(hm.member.domain));
	init_wire_writer(&w);
	write_heartbeat(&w, &hm);
	all[0] = take(&w);
	g_strlcpy(n.sender, "in-1", sizeof(n.sender));
	g_strlcpy(n.domain, "north", sizeof(n.domain));
	init_wire_writer(&w);
	write_health_notice(&w, &n);
	all[1] = take(&w);
	g_strlcpy(vr.key, "op/config", sizeof(vr.key));
	init_wire_writer(&w);
	write_value_request(&w, &vr);
	all[2] = take(&w);
	send_value("op/config", vr.at, "value", 5, keep, &all[3]);
	write_introduction(v, &to, keep, &all[4]);
	g_array_append_val(keys, key);
	init_wire_writer(&w);
	write_moved_flows(&w, keys);
	all[5] = take(&w);
	es[0].key = es[1].key = (char *)"servers/i-1";
	es[0].value = (void *)"value";
	es[0].len = 5;
	es[0].mod_revision = es[1].mod_revision = 2;
	es[1].deleted = true;
	mu.to.revision = 2;
	mu.entries = es;
	mu.entry_nr = 2;
	add_updates(ul, &mu, keep, &all[6]);
	g_array_free(hm.rows, TRUE);
	g_array_free(keys, TRUE);
	destroy_update_log(ul);
	destroy_view(v);
	return all;
}

/* Number of readers that accept DATA. */
int read_datagram(const char *data, size_t len, struct value_receiver *vr)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct endpoint));
	GArray *keys = g_array_new(FALSE, TRUE, sizeof(struct flow_key));
	struct heartbeat_message hm = {};
	struct health_notice n;
	struct value_request r;
	struct received_value rv;
	struct wire_message msg;
	struct store_update su;
	int accepted = 0;

	hm.rows = g_array_new(FALSE, TRUE, sizeof(struct upstream_load_row));
	if (read_heartbeat(data, len, &hm)) {
		accepted++;
		RC_ASSERT(hm.member.name[0]);
		for (guint i = 0; i < hm.rows->len; i++)
			RC_ASSERT(g_array_index(hm.rows,
						struct upstream_load_row, i)
					  .health <= HEALTH_DEAD);
	}
	if (read_health_notice(data, len, &n)) {
		accepted++;
		RC_ASSERT(n.kind < NOTICE_KIND_NR && n.health <= HEALTH_DEAD);
		is_stale_notice(&n, UINT64_MAX);
	}
	accepted += read_value_request(data, len, &r);
	if (add_value_part(vr, data, len, &rv)) {
		accepted++;
		if (rv.value)
			g_bytes_unref(rv.value);
	}
	accepted += read_introduction(data, len, list);
	accepted += read_moved_flows(data, len, keys);
	if (read_store_update(&msg, &su, data, len)) {
		accepted++;
		for (size_t i = 0; i < su.nr; i++)
			RC_ASSERT(su.entries[i].encoding <= UPDATE_PATCH);
	}
	release_wire_message(&msg);
	g_array_free(hm.rows, TRUE);
	g_array_free(list, TRUE);
	g_array_free(keys, TRUE);
	return accepted;
}

void datagrams_are_valid_or_refused()
{
	struct value_receiver *vr = create_value_receiver();

	for (const std::string &d : datagrams()) {
		RC_ASSERT(read_datagram(d.data(), d.size(), vr) == 1);
		for_mutants(d, [&](const char *data, size_t len) {
			RC_ASSERT(read_datagram(data, len, vr) <= 1);
		});
		for (size_t len = 0; len < d.size(); len++)
			RC_ASSERT(!read_datagram(
				std::vector<char>(d.begin(), d.begin() + len)
					.data(),
				len, vr));
	}
	destroy_value_receiver(vr);
}

void etcd_answers_are_valid_or_refused()
{
	std::string kv = "{\"key\":\"YQ==\",\"value\":" +
			 pick<std::string>({ "\"e30=\"", odd_value() }) +
			 ",\"mod_revision\":" + odd_value() + "}";
	std::string header = "\"header\":{\"revision\":\"9\"}";
	const std::string texts[] = {
		"{" + header + ",\"kvs\":[" + kv + "," + odd_value() + "]}",
		"{\"result\":{" + header +
			",\"events\":[{\"type\":\"PUT\",\"kv\":" + kv + "}]}}",
		"{\"result\":{" + header +
			",\"ID\":\"7\",\"TTL\":" + odd_value() + "}}"
	};

	for (const std::string &text : texts)
		for_mutants(text, [](const char *data, size_t len) {
			struct store_answer a;

			read_kv_json(data, len, &a);
			release_store_answer(&a);
			read_watch_json(data, len, &a);
			release_store_answer(&a);
			read_lease_json(data, len, &a);
			release_store_answer(&a);
		});
}

} // namespace

int main()
{
	bool ok = true;

	ok &= rc::check("a page gives its good items whatever lies beside them",
			pages_keep_their_good_items);
	ok &= rc::check("entries of upstreams are valid or refused",
			entries_are_valid_or_refused);
	ok &= rc::check("open flows stay where their upstream is",
			open_flows_stay_where_their_upstream_is);
	ok &= rc::check("refused configurations change nothing",
			refused_configurations_change_nothing);
	ok &= rc::check("datagrams are valid or refused",
			datagrams_are_valid_or_refused);
	ok &= rc::check("answers of etcd are valid or refused",
			etcd_answers_are_valid_or_refused);
	return ok ? 0 : 1;
}
