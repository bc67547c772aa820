#include "request/budget.h"

#define RETRY_CENTS 100 /* units of retry_cents in one retry */

void init_retry_budget(struct retry_budget *b)
{
	b->retry_cents = RETRIES_SAVED_MAX * RETRY_CENTS;
}

void earn_retry(struct retry_budget *b)
{
	b->retry_cents += RETRY_PERCENT;
	if (b->retry_cents > RETRIES_SAVED_MAX * RETRY_CENTS)
		b->retry_cents = RETRIES_SAVED_MAX * RETRY_CENTS;
}

bool spend_retry(struct retry_budget *b)
{
	if (b->retry_cents < RETRY_CENTS)
		return false;
	b->retry_cents -= RETRY_CENTS;
	return true;
}
