#ifndef REQUEST_BUDGET_H
#define REQUEST_BUDGET_H

/*
 * Limits retries to a share of traffic: each first offer earns a fraction of
 * a retry, each retry spends a whole one, and little can be saved up. When
 * everything fails, retries add no more than that share to the load.
 */

#include <stdbool.h>
#include <stdint.h>

#define RETRY_PERCENT 10   /* retries earned by 100 first offers */
#define RETRY_SAVED_MAX 10 /* retries that can be saved up */

struct retry_budget {
	uint32_t cents; /* hundredths of a retry */
};

/* A new budget may spend a few retries before it has earned any. */
void init_retry_budget(struct retry_budget *b);
void earn_retry(struct retry_budget *b);

/* Takes one retry out; false if less than one is left. */
bool spend_retry(struct retry_budget *b);

#endif
