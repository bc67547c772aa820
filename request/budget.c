#include "request/budget.h"

#define CENTS 100 /* in one retry */

void init_retry_budget(struct retry_budget *b)
{
	b->cents = RETRY_SAVED_MAX * CENTS;
}

void earn_retry(struct retry_budget *b)
{
	b->cents += RETRY_PERCENT;
	if (b->cents > RETRY_SAVED_MAX * CENTS)
		b->cents = RETRY_SAVED_MAX * CENTS;
}

bool spend_retry(struct retry_budget *b)
{
	if (b->cents < CENTS)
		return false;
	b->cents -= CENTS;
	return true;
}
