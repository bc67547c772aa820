#include "net/log.h"

#include <log4c.h>
#include <stdarg.h>

#define LOG_CATEGORY "baobabvalve"

void open_log(void)
{
	log4c_category_t *c;
	log4c_appender_t *a;

	log4c_init();
	c = log4c_category_get(LOG_CATEGORY);
	a = log4c_appender_get("stderr");
	log4c_appender_set_layout(a, log4c_layout_get("dated"));
	log4c_category_set_appender(c, a);
	log4c_category_set_additivity(c, 0);
	log4c_category_set_priority(c, LOG4C_PRIORITY_INFO);
}

void close_log(void)
{
	log4c_fini();
}

void log_info(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log4c_category_vlog(log4c_category_get(LOG_CATEGORY),
			    LOG4C_PRIORITY_INFO, fmt, ap);
	va_end(ap);
}

void log_warning(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log4c_category_vlog(log4c_category_get(LOG_CATEGORY),
			    LOG4C_PRIORITY_WARN, fmt, ap);
	va_end(ap);
}
