#ifndef T_FLOW_WAYS_H
#define T_FLOW_WAYS_H

/* Models of the ways of steering that lose, for comparison. */

#include "t/flow-bed.h"

struct model;

struct model *create_model(const struct view *view);
void destroy_model(struct model *m);

/* Puts the bed's snapshot in force at instance I. */
void set_model_snapshot(struct bed *b, int i);

/* The upstream to which instance I hands the packet; 0 for none. */
uint64_t steer_model(struct bed *b, int i, const struct packet *p);

/* Bytes that the model of instance I holds. */
size_t model_memory(const struct model *m);

#endif
