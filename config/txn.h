#ifndef CONFIG_TXN_H
#define CONFIG_TXN_H

/* Builds a transaction that owns its keys and values. */

#include "config/store-call.h"

struct txn;

struct txn *create_txn(void);
void destroy_txn(struct txn *t);

/* Forgets everything added. */
void clear_txn(struct txn *t);

/* Lets the transaction succeed only while KEY has MOD_REVISION. */
void add_compare(struct txn *t, const char *key, uint64_t mod_revision);
void add_put(struct txn *t, const char *key, const void *value, size_t len);

/* Deletes KEY, or [KEY, END) if END is not NULL. */
void add_delete(struct txn *t, const char *key, const char *end);
void add_get(struct txn *t, const char *key);

size_t txn_op_nr(const struct txn *t);

/* Bytes of all values to be put. */
size_t txn_size(const struct txn *t);

/* The transaction as a call; lives until the next change to T. */
struct store_txn view_txn(const struct txn *t);

#endif
