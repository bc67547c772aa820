/*
 * A store that is restored from older copies, under generated orders of events
 * at several instances, which are shrunk to the shortest that fails. See
 * t/restore-simulation.h.
 */

#include <rapidcheck.h>
#include <vector>

extern "C" {
#include "t/restore-simulation.h"
}

int main()
{
	bool ok = true;

	ok &= rc::check("nothing goes back with a restored store", [] {
		auto instances = *rc::gen::inRange(2, 6);
		auto events = *rc::gen::container<std::vector<int>>(
			rc::gen::inRange(0, (int)RESTORE_EVENT_NR));
		struct restore_sim *sim =
			create_restore_sim((unsigned int)instances, false);

		for (int ev : events)
			step_restore_sim(sim, (enum restore_event)ev);
		settle_restore_sim(sim);
		std::string violation =
			restore_violation(sim) ? restore_violation(sim) : "";
		destroy_restore_sim(sim);
		if (!violation.empty())
			RC_FAIL(violation);
	});
	return ok ? 0 : 1;
}
