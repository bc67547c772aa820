#ifndef NET_LOG_H
#define NET_LOG_H

/* Log lines for operators, through log4c to standard error. */

/* Initialises log4c; call once, before the first line. */
void open_log(void);
void close_log(void);

/* Writes one line about a change of state. */
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Writes one line about a problem that an operator should look at. */
void log_warning(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
