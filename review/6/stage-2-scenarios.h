/* Scenarios of stage-2.c, one for each script. */

/* Opens a flow whose packets go through IN; its first SYN+ACK is lost. */
static struct client_flow *open_split_flow(const struct instance *in)
{
	struct client_flow *f;

	while (in && route(client_zone, client_ip, next_port) != in)
		next_port++;
	for (int i = 0; i < target_nr; i++)
		targets[i].lose_syn_ack = 1;
	f = open_flow();
	run_for(100);
	for (int i = 0; i < target_nr; i++)
		targets[i].lose_syn_ack = 0;
	return f;
}

static void wait_until(uint64_t at_ms)
{
	while (now_ms() < at_ms)
		run_once(2);
}

/* Case: all instances are killed while a client pauses. */
static void play_all_killed(void)
{
	struct client_flow *f;

	start_target("i-7f3a91c2", zones[0].name);
	start_target("i-2b60d4e1", zones[1].name);
	start_target("i-90ce17aa", zones[2].name);
	start_fleet();
	wait_for_rotation(15000);
	run_for(5000);
	f = open_split_flow(NULL);
	wait_until(f->opened_ms + 2000);
	if (!f->answered)
		cannot_run("the first request was not answered");
	if (has_trouble()) {
		for (int i = 0; i < instance_nr; i++)
			signal_instance(&instances[i], SIGKILL);
		run_for(500);
		for (int i = 0; i < instance_nr; i++)
			start_instance(&instances[i]);
		wait_for_rotation(5000);
	}
	/* the pause of the client ends after 11 s; idleTimeoutMs is 15 s */
	wait_until(f->opened_ms + 11000);
	ask(f);
	run_for(3500);
	if (f->answered < 2 && !rule_broken)
		note("the second request got no answer");
}

/* Stops an instance, and starts it again when it has ended. */
static void restart_instance(struct instance *in)
{
	signal_instance(in, SIGTERM);
	while (in->pid)
		run_once(2);
	run_for(400);
	start_instance(in);
	wait_for_rotation(5000);
}

static bool is_open(const struct client_flow *f)
{
	return f->phase == IDLE || f->phase == ASKING;
}

/* Each open flow sends a request. */
static void ask_on_all(void)
{
	for (int i = 0; i < flow_nr; i++)
		if (flows[i].phase == IDLE)
			ask(&flows[i]);
	run_for(600);
}

static void note_flows_at(const struct target *t)
{
	unsigned int nr = 0;

	for (int i = 0; i < flow_nr; i++)
		nr += is_open(&flows[i]) && flows[i].target == t;
	note("%u flows are open at target %s", nr, t->name);
}

/*
 * Case: a release starts a target whose id gives the same number as that of a
 * target that stays; instances are restarted in turn.
 */
static void play_same_number(void)
{
	struct target *stays = start_target("i-05c0ffee31", zones[0].name);
	struct target *old = start_target("i-112b60d4e1", zones[1].name);

	start_target("i-3d90ce17aa", zones[2].name);
	start_fleet();
	wait_for_rotation(15000);
	run_for(4500);
	for (int i = 0; i < 24; i++) {
		open_flow();
		run_for(60);
	}
	ask_on_all();
	note_flows_at(stays);
	if (has_trouble()) {
		note("release: a target is replaced");
		start_target("i-01c0ffee35", zones[1].name);
		run_for(1000);
		old->state = TARGET_DRAINING;
		write_target_entry(old);
		run_for(1000);
		ask_on_all();
		run_for(3000);
		stop_target(old);
	}
	ask_on_all();
	note_flows_at(stays);
	for (int i = 0; i < 3; i++) {
		restart_instance(&instances[i]);
		ask_on_all();
	}
	note_flows_at(stays);
}

/*
 * Case: the three machines of a zone are restarted in turn, each a second after
 * the one before. Clients that have paused go on while the first one starts.
 */
static void play_restarted_in_turn(void)
{
	uint64_t ended_ms[3] = { 0 };
	struct client_flow *paused[6];
	uint64_t opened_ms, stop_ms, asked_ms = 0;
	unsigned int asked_nr = 0, reads = 0;
	int stopped_nr = 0;

	start_target("i-7f3a91c2", zones[0].name);
	start_target("i-2b60d4e1", zones[1].name);
	start_target("i-90ce17aa", zones[2].name);
	start_target("i-4410feed", zones[3].name);
	start_fleet();
	wait_for_rotation(15000);
	run_for(4500);
	opened_ms = now_ms();
	for (int i = 0; i < 6; i++) {
		paused[i] = open_split_flow(&instances[0]);
		wait_until(paused[i]->opened_ms + 500);
	}
	/* until no target repeats a SYN+ACK; idleTimeoutMs is 15 s */
	wait_until(opened_ms + 10500);
	stop_ms = now_ms();
	while (asked_nr < 6 && now_ms() < stop_ms + 6000) {
		run_once(1);
		if (!has_trouble()) {
			if (now_ms() < stop_ms + 2200)
				continue;
			ask(paused[asked_nr++]);
			continue;
		}
		if (stopped_nr < 3 &&
		    now_ms() >= stop_ms + 1000 * (uint64_t)stopped_nr)
			signal_instance(&instances[stopped_nr++], SIGTERM);
		for (int i = 0; i < stopped_nr; i++) {
			if (!instances[i].pid && !ended_ms[i])
				ended_ms[i] = now_ms();
			if (instances[i].pid || now_ms() < ended_ms[i] + 200)
				continue;
			ended_ms[i] = 0;
			reads = store_reads;
			start_instance(&instances[i]);
			asked_ms = i ? asked_ms : 1;
		}
		/* the first one has read the store */
		if (asked_ms == 1 && store_reads > reads)
			asked_ms = now_ms() + 2;
		if (asked_ms > 1 && now_ms() >= asked_ms) {
			asked_ms = now_ms() + 3;
			ask(paused[asked_nr++]);
		}
	}
	if (asked_nr < 6)
		cannot_run("the first machine did not start in time");
	run_for(3500);
}

static unsigned int served_flows(const struct target *t)
{
	unsigned int nr = 0;

	for (int i = 0; i < FLOWS_MAX; i++)
		nr += t->flows[i].used && t->flows[i].open;
	return nr;
}

/*
 * Case: a target is replaced. At the end of its drain it does not listen any
 * more, serves the requests of its open flows, and exits.
 */
static void play_leaving_target(void)
{
	struct target *leaving = start_target("i-7f3a91c2", zones[0].name);
	uint64_t drained_ms;

	work_ms = 310;
	start_fleet();
	wait_for_rotation(15000);
	run_for(4500);
	for (int i = 0; i < 12; i++) {
		open_flow();
		run_for(400);
	}
	run_for(1000);
	start_target("i-2b60d4e1", zones[0].name);
	run_for(1000);
	if (has_trouble()) {
		leaving->state = TARGET_DRAINING;
		write_target_entry(leaving);
	}
	/* drainMs, and a little longer */
	drained_ms = now_ms() + 3000 + 500;
	wait_until(drained_ms);
	if (has_trouble())
		stop_listening(leaving);
	run_for(100);
	/* clients go on after their pause */
	for (int i = 0; i < flow_nr; i++)
		if (flows[i].phase == IDLE)
			ask(&flows[i]);
	while (now_ms() < drained_ms + 5000)
		run_once(1);
	note("%u flows are open at target %s", served_flows(leaving),
	     leaving->name);
	if (has_trouble())
		stop_target(leaving);
}

/* Case: a zone of a fleet of 24 instances loses power for 1.5 s. */
static void play_zone_lost(void)
{
	struct client_flow *f;
	char name[40];

	start_target("i-7f3a91c2", zones[1].name);
	start_target("i-2b60d4e1", zones[2].name);
	start_target("i-90ce17aa", zones[3].name);
	start_fleet();
	for (unsigned int i = (unsigned int)instance_nr; i < INSTANCES_MAX;
	     i++) {
		const char *zone = zones[i % ZONE_NR].name;

		snprintf(name, sizeof(name), "front-%s-%u", zone, i + 1);
		add_instance(name, zone);
	}
	wait_for_rotation(15000);
	run_for(5500);
	f = open_split_flow(NULL);
	wait_until(f->opened_ms + 2000);
	if (!f->answered)
		cannot_run("the first request was not answered");
	if (has_trouble())
		for (int i = 0; i < instance_nr; i++)
			if (!strcmp(instances[i].zone, client_zone))
				signal_instance(&instances[i], SIGKILL);
	wait_until(f->opened_ms + 3300);
	ask(f);
	wait_until(f->opened_ms + 3500);
	for (int i = 0; i < instance_nr; i++)
		if (!instances[i].pid)
			start_instance(&instances[i]);
	run_for(3500);
}

static const struct {
	const char *name;
	void (*play)(void);
} scenarios[] = { { "all-killed", play_all_killed },
		  { "same-number", play_same_number },
		  { "restarted-in-turn", play_restarted_in_turn },
		  { "leaving-target", play_leaving_target },
		  { "zone-lost", play_zone_lost } };
