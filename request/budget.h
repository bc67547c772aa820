#ifndef REQUEST_BUDGET_H
#define REQUEST_BUDGET_H

/*
 * Limits retries to a fraction of the traffic: the first attempt of each
 * request earns a fraction of a retry, each retry spends a whole one, and few
 * can be saved. When everything fails, retries add no more than that fraction
 * to the load.
 */

#include <stdbool.h>
#include <stdint.h>

#define RETRY_PERCENT 10     /* retries earned by 100 first attempts */
#define RETRIES_SAVED_MAX 10 /* retries that can be saved */

struct retry_budget {
	uint32_t retry_cents; /* hundredths of a retry */
};

/* A new budget starts with RETRIES_SAVED_MAX retries. */
void init_retry_budget(struct retry_budget *b);
/* Credits the first attempt of a request. */
void earn_retry(struct retry_budget *b);

/* Spends one retry; false if less than one is left. */
bool spend_retry(struct retry_budget *b);

#endif
