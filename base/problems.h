#ifndef BASE_PROBLEMS_H
#define BASE_PROBLEMS_H

/*
 * A list of error messages for users. It lets one pass over an input report all
 * errors in that input, not only the first.
 */

#include <stddef.h>

struct problems;

struct problems *create_problems(void);
void destroy_problems(struct problems *ps);

/* Adds "FILE:LINE: message"; LINE 0 leaves the line out. */
void add_problem(struct problems *ps, const char *file, int line,
		 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/* Number of messages added, including those beyond the stored maximum. */
size_t problem_count(const struct problems *ps);

/* Message I, or NULL if it is not stored. */
const char *problem_at(const struct problems *ps, size_t i);

#endif
