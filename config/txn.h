#ifndef CONFIG_TXN_H
#define CONFIG_TXN_H

/* Builds a store transaction. It copies its keys and values. */

#include "config/store-call.h"

struct txn;

struct txn *create_txn(void);
void destroy_txn(struct txn *t);

/* Drops everything that was added. */
void clear_txn(struct txn *t);

/* Lets the transaction succeed only if KEY has MOD_REVISION; 0: no KEY. */
void add_compare(struct txn *t, const char *key, uint64_t mod_revision);
void add_put(struct txn *t, const char *key, const void *value, size_t len);

/* Deletes KEY, or [KEY, END) if END is not NULL. */
void add_delete(struct txn *t, const char *key, const char *end);
void add_get(struct txn *t, const char *key);

size_t txn_op_count(const struct txn *t);

/* Total bytes of the values to put. */
size_t txn_value_bytes(const struct txn *t);

/* The transaction as a store call; valid until T changes or is destroyed. */
struct store_txn view_txn(const struct txn *t);

#endif
