/* Properties of the parsers and writers of flow packets and messages. */

#include <glib.h>

#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "flow/gue.h"
#include "flow/message.h"
#include "flow/packet.h"
#include "flow/reset.h"
#include "t/flow-packets.h"
}

using bytes = std::vector<uint8_t>;

static struct test_packet arbitrary_packet()
{
	struct test_packet tp = {};
	bool six = *rc::gen::arbitrary<bool>();

	tp.from.family = tp.to.family = six ? 6 : 4;
	for (int i = 0; i < (six ? 16 : 4); i++) {
		tp.from.ip[i] = *rc::gen::inRange<uint8_t>(1, 224);
		tp.to.ip[i] = *rc::gen::inRange<uint8_t>(1, 224);
	}
	tp.from.port = *rc::gen::inRange<uint16_t>(1, 65535);
	tp.to.port = *rc::gen::inRange<uint16_t>(1, 65535);
	tp.protocol = *rc::gen::element(FLOW_TCP, FLOW_UDP);
	tp.flags = *rc::gen::element<uint8_t>(TCP_SYN, TCP_ACK,
					      TCP_ACK | TCP_FIN, TCP_RST);
	tp.seq = *rc::gen::arbitrary<uint32_t>();
	tp.ack = *rc::gen::arbitrary<uint32_t>();
	tp.payload = *rc::gen::inRange<uint16_t>(0, 1400);
	tp.hop_limit = *rc::gen::inRange<uint8_t>(2, 255);
	return tp;
}

static bytes write_packet(const struct test_packet &tp)
{
	uint8_t data[TEST_PACKET_MAX];
	size_t len = write_test_packet(&tp, data);

	return bytes(data, data + len);
}

/* Updates the IPv4 checksum, so that it is not the reason for a refusal. */
static void update_checksum(bytes &b)
{
	size_t header = (size_t)(b[0] & 0xf) * 4;
	uint16_t sum;

	if (b.size() < 20 || b[0] >> 4 != 4 || header > b.size())
		return;
	b[10] = b[11] = 0;
	sum = internet_checksum(b.data(), header, 0);
	b[10] = (uint8_t)(sum >> 8);
	b[11] = (uint8_t)sum;
}

static bool parse_copy(const bytes &b, struct packet *p)
{
	/* a copy of the exact size, so that the sanitizer sees every overrun */
	bytes copy(b);

	copy.shrink_to_fit();
	return read_packet(copy.data(), copy.size(), p);
}

static bool check_packets()
{
	bool ok = rc::check("arbitrary bytes are read within bounds", [] {
		bytes b = *rc::gen::arbitrary<bytes>();
		struct packet p;

		if (parse_copy(b, &p))
			RC_ASSERT(p.hash != 0);
		else
			RC_ASSERT(p.fault != PACKET_OK);
	});
	ok &= rc::check("a valid packet is read as it was written", [] {
		struct test_packet tp = arbitrary_packet();
		struct packet p;

		RC_PRE(!same_endpoint(&tp.from, &tp.to));
		RC_ASSERT(parse_copy(write_packet(tp), &p));
		RC_ASSERT(same_endpoint(&p.caller, &tp.from));
		RC_ASSERT(same_endpoint(&p.service, &tp.to));
		RC_ASSERT(p.payload_len == tp.payload);
	});
	ok &= rc::check("a truncated packet is refused", [] {
		bytes b = write_packet(arbitrary_packet());
		struct packet p;

		b.resize(*rc::gen::inRange<size_t>(0, b.size()));
		update_checksum(b);
		RC_ASSERT(!parse_copy(b, &p));
		RC_ASSERT(p.fault == PACKET_TRUNCATED);
	});
	ok &= rc::check("trailing bytes are refused", [] {
		bytes b = write_packet(arbitrary_packet());
		struct packet p;

		b.resize(b.size() + *rc::gen::inRange<size_t>(1, 64));
		RC_ASSERT(!parse_copy(b, &p));
		RC_ASSERT(p.fault == PACKET_MALFORMED);
	});
	ok &= rc::check("fragments and expired hop limits are distinguished",
			[] {
				struct test_packet tp = arbitrary_packet();
				bytes b;
				struct packet p;

				tp.hop_limit = *rc::gen::inRange<uint8_t>(0, 2);
				RC_ASSERT(!parse_copy(write_packet(tp), &p));
				RC_ASSERT(p.fault == PACKET_EXPIRED);
				b = write_packet(arbitrary_packet());
				if (b[0] >> 4 == 6)
					b[6] = 44;
				else
					b[6] = *rc::gen::element<uint8_t>(
						0x20, 0x01, 0x1f);
				update_checksum(b);
				RC_ASSERT(!parse_copy(b, &p));
				RC_ASSERT(p.fault == PACKET_FRAGMENT);
			});
	ok &= rc::check("a mutated packet is refused or still valid", [] {
		bytes b = write_packet(arbitrary_packet());
		int n = *rc::gen::inRange(1, 4);
		struct packet p;

		while (n-- > 0)
			b[*rc::gen::inRange<size_t>(0, MIN(b.size(), 60))] =
				*rc::gen::arbitrary<uint8_t>();
		if (*rc::gen::arbitrary<bool>())
			update_checksum(b);
		if (!parse_copy(b, &p))
			return;
		RC_ASSERT(p.payload_len <= b.size());
		RC_ASSERT(p.caller.port && p.service.port);
		RC_ASSERT(p.protocol == FLOW_TCP || p.protocol == FLOW_UDP);
	});
	return ok;
}

static bool check_replies()
{
	bool ok = rc::check("a reset is valid and addressed to the caller", [] {
		struct test_packet tp = arbitrary_packet();
		struct packet p;
		struct packet back;
		uint8_t out[RESET_MAX];
		size_t len;

		RC_PRE(!same_endpoint(&tp.from, &tp.to));
		RC_ASSERT(parse_copy(write_packet(tp), &p));
		len = write_reset(&p, out);
		RC_ASSERT(!len == (tp.protocol == FLOW_UDP ||
				   (tp.flags & TCP_RST) != 0));
		if (!len)
			return;
		RC_ASSERT(read_packet(out, len, &back));
		RC_ASSERT(same_endpoint(&back.service, &tp.from));
		RC_ASSERT(same_endpoint(&back.caller, &tp.to));
		RC_ASSERT((back.flags & TCP_RST) != 0);
		if (tp.flags & TCP_ACK)
			RC_ASSERT(back.seq == tp.ack);
	});
	ok &= rc::check("lowering the hop limit keeps a packet valid", [] {
		struct test_packet tp = arbitrary_packet();
		bytes b;
		struct packet p;

		tp.hop_limit = *rc::gen::inRange<uint8_t>(3, 255);
		RC_PRE(!same_endpoint(&tp.from, &tp.to));
		b = write_packet(tp);
		lower_hop_limit(b.data());
		RC_ASSERT(parse_copy(b, &p));
		RC_ASSERT(b[b[0] >> 4 == 6 ? 7 : 8] == tp.hop_limit - 1);
	});
	return ok;
}

static bytes write_message(const struct flow_message &m)
{
	uint8_t header[FLOW_HEADER_MAX];
	struct wire_writer w;
	size_t len;

	init_wire_writer(&w);
	len = write_flow_message(&w, &m, header);
	release_wire_writer(&w);
	RC_ASSERT(len <= sizeof(header));
	bytes b(header, header + len);
	if (m.body_len)
		b.insert(b.end(), m.body, m.body + m.body_len);
	return b;
}

static bool check_messages()
{
	bool ok = rc::check("a message is read as it was written", [] {
		bytes body = *rc::gen::arbitrary<bytes>();
		struct flow_message m = {};
		struct flow_message r;
		bytes b;

		m.kind = (enum flow_message_kind) *
			 rc::gen::inRange(0, (int)FLOW_MESSAGE_KIND_NR);
		m.hops = *rc::gen::arbitrary<uint8_t>();
		m.sender = *rc::gen::arbitrary<uint64_t>();
		m.service = *rc::gen::arbitrary<uint64_t>();
		m.upstream = *rc::gen::arbitrary<uint64_t>();
		m.hash = *rc::gen::arbitrary<uint64_t>();
		m.body = body.data();
		m.body_len = body.size();
		b = write_message(m);
		RC_ASSERT(is_flow_message(b.data(), b.size()));
		RC_ASSERT(read_flow_message(b.data(), b.size(), &r));
		RC_ASSERT(r.kind == m.kind && r.hops == m.hops);
		RC_ASSERT(r.sender == m.sender && r.service == m.service);
		RC_ASSERT(r.upstream == m.upstream && r.hash == m.hash);
		RC_ASSERT(bytes(r.body, r.body + r.body_len) == body);
	});
	ok &= rc::check("mutated messages are read within bounds", [] {
		bytes body = *rc::gen::arbitrary<bytes>();
		struct flow_message m = {};
		struct flow_message r;
		bytes b;

		m.body = body.data();
		m.body_len = body.size();
		b = write_message(m);
		b[*rc::gen::inRange<size_t>(0, b.size())] =
			*rc::gen::arbitrary<uint8_t>();
		b.resize(*rc::gen::inRange<size_t>(1, b.size() + 1));
		b.shrink_to_fit();
		if (read_flow_message(b.data(), b.size(), &r))
			RC_ASSERT(r.body >= b.data() &&
				  r.body + r.body_len <= b.data() + b.size());
	});
	ok &= rc::check("an inner packet lies within its datagram", [] {
		bytes b = *rc::gen::arbitrary<bytes>();
		size_t len = 0;
		const uint8_t *in = read_gue(b.data(), b.size(), &len);

		if (in)
			RC_ASSERT(in + len == b.data() + b.size());
	});
	return ok;
}

int main()
{
	bool ok = check_packets();

	ok &= check_replies();
	ok &= check_messages();
	return ok ? 0 : 1;
}
