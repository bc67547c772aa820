#ifndef BASE_PATCH_H
#define BASE_PATCH_H

/*
 * Binary patches: the new value, compressed by zstd with the old value as its
 * dictionary, so that a patch is small if most of the value did not change. A
 * patch ends with a hash of the new value, which apply_patch() checks.
 */

#include <glib.h>
#include <stddef.h>

/* The patch that turns OLD into NEW; NULL if compression fails. */
GBytes *make_patch(const void *old, size_t old_len, const void *new,
		   size_t new_len);

/*
 * OLD with PATCH applied. NULL if PATCH is malformed, was made for another
 * value or gives more than MAX bytes.
 */
GBytes *apply_patch(const void *old, size_t old_len, const void *patch,
		    size_t len, size_t max);

#endif
