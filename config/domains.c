#include "config/domains.h"

#include <string.h>

#define DOMAIN_FIELD_NR 3

static struct domain_record *find_mutable_domain(const struct domain_set *ds,
						 const char *name)
{
	for (size_t i = 0; i < ds->nr; i++)
		if (!strcmp(ds->at[i].name, name))
			return (struct domain_record *)&ds->at[i];
	return NULL;
}

const struct domain_record *find_domain(const struct domain_set *ds,
					const char *name)
{
	return find_mutable_domain(ds, name);
}

bool merge_domain_record(struct domain_set *ds, const struct domain_record *rec)
{
	struct domain_record *stored = find_mutable_domain(ds, rec->name);

	if (!stored && ds->nr == DOMAINS_MAX)
		return false;
	if (stored && rec->epoch <= stored->epoch)
		return false;
	if (!stored)
		stored = &ds->at[ds->nr++];
	*stored = *rec;
	return true;
}

void encode_domain_record(struct wire_writer *w,
			  const struct domain_record *rec)
{
	write_array(w, DOMAIN_FIELD_NR);
	write_str(w, rec->name);
	write_uint(w, rec->epoch);
	write_bool(w, rec->out);
}

bool decode_domain_record(struct wire_reader *r, struct domain_record *rec)
{
	struct wire_reader f;

	memset(rec, 0, sizeof(*rec));
	read_array(r, &f);
	read_str(&f, rec->name, sizeof(rec->name));
	rec->epoch = read_uint(&f, UINT64_MAX);
	rec->out = read_bool(&f);
	if (!f.malformed && !f.remaining && valid_name(rec->name))
		return true;
	r->malformed = true;
	return false;
}
