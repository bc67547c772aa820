#include "fleet/start-check.h"

/* Whether what peers hold is known, or cannot be known. */
static bool is_answered(const struct start_check *sc,
			const struct start_check_state *state, uint64_t now_ms)
{
	uint64_t waited_ms = now_ms - sc->read_at_ms;

	if (sc->answered || waited_ms >= START_CHECK_MAX_MS)
		return true;
	return !state->has_ready_peer && waited_ms >= START_CHECK_ALONE_MS;
}

bool tick_start_check(struct start_check *sc,
		      const struct start_check_state *state, uint64_t now_ms)
{
	if (sc->done)
		return false;
	if (!sc->read_at_ms)
		sc->read_at_ms = now_ms;
	if (!state->store_era ||
	    (is_answered(sc, state, now_ms) &&
	     state->config_version >= state->highest_peer_version)) {
		sc->done = true;
		return false;
	}
	if (sc->answered || !state->has_ready_peer ||
	    (sc->asked_at_ms && now_ms - sc->asked_at_ms < START_CHECK_ASK_MS))
		return false;
	sc->asked_at_ms = now_ms;
	return true;
}
