#ifndef BASE_PATCH_H
#define BASE_PATCH_H

/*
 * A value as its difference from an older one: compressed by zstd with the
 * older value as dictionary. Small where much stays the same.
 */

#include <glib.h>
#include <stddef.h>

/* The difference that leads from OLD to NEW; NULL if it cannot be made. */
GBytes *make_patch(const void *old, size_t old_len, const void *new,
		   size_t new_len);

/*
 * The value that PATCH leads to from OLD. NULL if it is malformed, belongs to
 * another value or leads to more than MAX bytes.
 */
GBytes *apply_patch(const void *old, size_t old_len, const void *patch,
		    size_t len, size_t max);

#endif
