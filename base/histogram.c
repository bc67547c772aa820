#include "base/histogram.h"

void add_duration(struct histogram *h, uint64_t units)
{
	unsigned int i = 0;

	while (i < HISTOGRAM_BUCKETS - 1 && units > 1ULL << i)
		i++;
	h->bucket[i]++;
	h->sum += units;
}

uint64_t duration_count(const struct histogram *h)
{
	uint64_t n = 0;

	for (unsigned int i = 0; i < HISTOGRAM_BUCKETS; i++)
		n += h->bucket[i];
	return n;
}

void print_histogram(GString *out, const char *name, const char *labels,
		     const struct histogram *h)
{
	const char *comma = *labels ? "," : "";
	uint64_t n = 0;

	for (unsigned int i = 0; i < HISTOGRAM_BUCKETS - 1; i++) {
		n += h->bucket[i];
		g_string_append_printf(out, "%s_bucket{%s%sle=\"%llu\"} %llu\n",
				       name, labels, comma, 1ULL << i,
				       (unsigned long long)n);
	}
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", name,
			       labels, comma,
			       (unsigned long long)duration_count(h));
	g_string_append_printf(out, "%s_sum{%s} %llu\n%s_count{%s} %llu\n",
			       name, labels, (unsigned long long)h->sum, name,
			       labels, (unsigned long long)duration_count(h));
}
