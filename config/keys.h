#ifndef CONFIG_KEYS_H
#define CONFIG_KEYS_H

/*
 * Keys of this system in the platform's store. The small records that store
 * readers follow (head records) have a prefix of their own, so that one range
 * or watch covers them without the bulk of the configuration.
 */

#define KEY_HEAD_PREFIX "/baobabvalve/head/"
#define KEY_HEAD_END "/baobabvalve/head0" /* '0' follows '/' */
#define KEY_CONFIG KEY_HEAD_PREFIX "config"
#define KEY_SEEN_EPOCH KEY_HEAD_PREFIX "seen"
#define KEY_DOMAIN_PREFIX KEY_HEAD_PREFIX "domain/"
#define KEY_PART_PREFIX "/baobabvalve/part/"
#define KEY_AUDIT_PREFIX "/baobabvalve/audit/"
#define KEY_AUDIT_END "/baobabvalve/audit0"

#endif
