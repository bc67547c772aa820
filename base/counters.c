#include "base/counters.h"

static const struct {
	const char *name;
	const char *doc;
} counter_rows[COUNTER_NR] = {
#define COUNTER(id, name, doc) { name, doc },
#include "base/counter-list.h"
#undef COUNTER
};

const char *counter_name(enum counter c)
{
	return counter_rows[c].name;
}

const char *counter_doc(enum counter c)
{
	return counter_rows[c].doc;
}
