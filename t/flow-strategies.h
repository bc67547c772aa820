#ifndef T_FLOW_STRATEGIES_H
#define T_FLOW_STRATEGIES_H

/*
 * Models of steering strategies that flow/ does not use, for comparison with
 * its own in the flow harness. Each instance of the harness has a model.
 */

#include "t/flow-harness.h"

struct strategy_model;

struct strategy_model *create_strategy_model(const struct view *view);
void destroy_strategy_model(struct strategy_model *m);

/* Gives instance I the harness's current configuration. */
void set_strategy_snapshot(struct flow_harness *h, int i);

/* The id of the upstream to which instance I forwards P; 0 for none. */
uint64_t steer_by_strategy(struct flow_harness *h, int i,
			   const struct packet *p);

/* Memory of the flow entries of M, bytes. */
size_t strategy_memory(const struct strategy_model *m);

#endif
