/*
 * Property of the settings that a platform fills in: each rendering of
 * deploy/settings.ini with figures of the kinds that it may have is accepted,
 * and a figure that means something is not rounded to its looser side.
 */

#include <cmath>
#include <cstring>
#include <glib.h>
#include <map>
#include <rapidcheck.h>
#include <string>

extern "C" {
#include "config/settings.h"
}

namespace
{

/* A figure as it is rendered; negative VALUE: it means nothing. */
struct Figure {
	std::string text;
	double value;
};

Figure figure()
{
	char text[64];
	double n = *rc::gen::inRange(0, 1000000);

	switch (*rc::gen::inRange(0, 8)) {
	case 0:
		return { "true", -1 };
	case 1:
		return { "false", -1 };
	case 2:
		return { "", -1 };
	case 3:
		return { "0", 0 };
	case 4:
		n /= *rc::gen::element(3, 7, 1000, 1000000);
		g_snprintf(text, sizeof(text), "%.17g", n);
		break;
	case 5:
		n *= 1e7;
		g_snprintf(text, sizeof(text), "%e", n);
		break;
	case 6:
		g_snprintf(text, sizeof(text), "%.1f", n);
		break;
	default:
		g_snprintf(text, sizeof(text), "%.0f", n);
		break;
	}
	return { text, n };
}

using Figures = std::map<std::string, Figure>;

/* The template, filled in with what a machine has and FIGURES. */
std::string render(const Figures &figures)
{
	static const std::map<std::string, std::string> names = {
		{ "node", "front-a-1" },
		{ "zone", "a" },
		{ "ip", "10.1.0.10" },
		{ "internalPorts.0", "7720" },
		{ "listen.packetAddr", "10.1.0.10:8172" },
		{ "listen.ready", "10.1.0.10:8167" },
		{ "listen.control", "10.1.0.10:8166" },
		{ "platform.addr", "10.200.1.7:8169" },
		{ "seeds", "10.1.0.10:8166,10.2.0.40:8166" },
	};
	std::string out;
	char *text;

	RC_ASSERT(
		g_file_get_contents("deploy/settings.ini", &text, NULL, NULL));
	for (const char *at = text; *at;) {
		const char *end = strstr(at, "}}");

		if (strncmp(at, "{{", 2) != 0 || !end) {
			out += *at++;
			continue;
		}
		std::string name(at + 2, end);
		auto known = names.find(name);
		if (known != names.end())
			out += known->second;
		else
			out += figures.at(name).text;
		at = end + 2;
	}
	g_free(text);
	return out;
}

/* Whether MS is VALUE, in ms, rounded up (UP) or down. */
bool is_rounded(uint32_t ms, double value, bool up)
{
	double nearest = std::round(value);

	if (value >= UINT32_MAX)
		return ms == UINT32_MAX;
	if (std::fabs(value - nearest) < 1e-9 * value)
		return ms == nearest;
	return ms == (up ? std::ceil(value) : std::floor(value));
}

void every_rendering_is_accepted()
{
	const struct {
		const char *field;
		const char *key;
		double factor;
		bool up;
		bool above_zero;
		uint32_t steering_bounds::*ms;
	} times[] = {
		{ "heartbeatMs", "heartbeat", 1, true, true,
		  &steering_bounds::heartbeat_ms },
		{ "bounds.flowTtlS", "flow-lifetime", 1000, true, false,
		  &steering_bounds::flow_lifetime_ms },
		{ "bounds.graceS", "stop", 1000, false, false,
		  &steering_bounds::kill_after_ms },
		{ "bounds.configApplyMs", "change", 1, false, false,
		  &steering_bounds::change_ms },
		{ "bounds.drainMs", "drain", 1, false, false,
		  &steering_bounds::drain_ms },
		{ "bounds.maxSkewMs", "operator-rewrite", 1, true, false,
		  &steering_bounds::operator_rewrite_ms },
	};
	const struct steering_bounds running = { 1, 2, 3, 4.5, 5.5, 6, 7, 8 };
	struct problems *ps = create_problems();
	struct settings s;
	Figures f = { { "limits.linkMbps", figure() },
		      { "bounds.warmupFactor", figure() },
		      { "bounds.warmupSlack", figure() } };

	for (const auto &t : times)
		f[t.field] = figure();
	std::string text = render(f);
	RC_LOG() << text;
	bool ok =
		parse_settings("s", text.data(), text.size(), &running, &s, ps);
	std::string told;
	for (size_t i = 0; problem_at(ps, i); i++)
		told += std::string(problem_at(ps, i)) + "\n";
	destroy_problems(ps);
	RC_LOG() << told;
	RC_ASSERT(ok);
	RC_ASSERT(s.ready.port == 8167);
	for (const auto &t : times) {
		const Figure &g = f[t.field];
		bool used = t.above_zero ? g.value > 0 : g.value >= 0;

		RC_ASSERT((used ? is_rounded(s.bounds.*t.ms, g.value * t.factor,
					     t.up)
				: s.bounds.*t.ms == running.*t.ms));
		if (!used)
			RC_ASSERT(told.find(std::string(t.key) + ":") !=
				  std::string::npos);
	}
	for (auto n : { std::make_pair("bounds.warmupFactor",
				       &steering_bounds::cold_factor),
			std::make_pair("bounds.warmupSlack",
				       &steering_bounds::cold_slack) }) {
		const Figure &g = f[n.first];

		RC_ASSERT(
			std::fabs(s.bounds.*n.second -
				  (g.value >= 0 ? std::fmin(g.value, UINT32_MAX)
						: running.*n.second)) <=
			1e-6 * std::fabs(g.value) + 1e-9);
	}
}

} // namespace

int main()
{
	return rc::check("every rendering of the settings is accepted",
			 every_rendering_is_accepted)
		       ? 0
		       : 1;
}
