/*
 * All counters: COUNTER(identifier, "name", "what is counted").
 * Included several times, so it has no include guard.
 */

/* configuration */
COUNTER(CONFIG_APPLIED, "config.applied", "snapshots put in force")
COUNTER(CONFIG_STALE, "config.stale", "snapshots of a lower epoch ignored")
COUNTER(CONFIG_CORRUPT, "config.corrupt", "values that failed to decode")
COUNTER(CONFIG_OTHER_ENTRIES, "config.other-entries",
	"entries of services that are not configured")

/* store */
COUNTER(STORE_CALLS, "store.calls", "calls made to the store")
COUNTER(STORE_FAILURES, "store.failures", "calls that got no answer")
COUNTER(STORE_ERAS, "store.eras", "times that the store was restored")
COUNTER(STORE_OLD_ANSWERS, "store.old-answers",
	"answers from before a restore that came after it")
COUNTER(STORE_ERA_MALFORMED, "store.era-malformed",
	"answers whose era could not be read")
COUNTER(STORE_ITEMS_UNREADABLE, "store.items-unreadable",
	"items of the store that could not be read and were skipped")
COUNTER(STORE_RECORDS_HELD, "store.records-held",
	"records of a restored store that were not believed yet")

/* requests */
COUNTER(REQUEST_ACCEPTED, "request.accepted", "requests received in full")
COUNTER(REQUEST_ANSWERED, "request.answered", "upstream answers forwarded")
COUNTER(REQUEST_NOT_RUN, "request.not-run", "requests refused and not run")
COUNTER(REQUEST_UNKNOWN, "request.unknown", "requests of unknown outcome")
COUNTER(REQUEST_RETRIED, "request.retried", "further attempts of one request")
COUNTER(REQUEST_SHED, "request.shed", "attempts that the upstream shed")
COUNTER(REQUEST_NOT_SENT, "request.not-sent", "attempts without a connection")
COUNTER(REQUEST_LOST, "request.lost", "attempts whose connection broke")
COUNTER(REQUEST_SILENT, "request.silent", "attempts on a silent connection")
COUNTER(REQUEST_CUT, "request.cut", "answers cut short while relayed")
COUNTER(REQUEST_LATE, "request.late",
	"events for a finished attempt or request")
COUNTER(REQUEST_CALLER_LEFT, "request.caller-left", "callers that left early")
COUNTER(REQUEST_IN_PROGRESS, "request.in-progress",
	"resends while the first ran")
COUNTER(REQUEST_DONE, "request.done", "resends whose answer is not stored")
COUNTER(REQUEST_REPLAYED, "request.replayed", "resends given the first answer")
COUNTER(REQUEST_KEY_REUSED, "request.key-reused",
	"keys reused for another request")
COUNTER(REQUEST_KEY_SENT, "request.key-sent", "messages sent about keys")
COUNTER(REQUEST_KEY_SENT_BYTES, "request.key-sent-bytes",
	"bytes of messages about keys")

/* flows */
COUNTER(FLOW_PACKETS, "flow.packets", "packets received")
COUNTER(FLOW_FORWARDED, "flow.forwarded", "packets sent to an upstream")
COUNTER(FLOW_HOPS, "flow.hops", "packets sent to another instance")
COUNTER(FLOW_MALFORMED, "flow.malformed", "packets dropped as malformed")
COUNTER(FLOW_TRUNCATED, "flow.truncated", "packets dropped as cut short")
COUNTER(FLOW_FRAGMENTS, "flow.fragments", "fragments dropped")
COUNTER(FLOW_OVERSIZED, "flow.oversized", "packets dropped as too long")
COUNTER(FLOW_LOOPED, "flow.looped", "packets dropped: hop limit used up")
COUNTER(FLOW_STRANGER, "flow.stranger", "messages from unknown instances")
COUNTER(FLOW_MISMATCH, "flow.mismatch", "packets of another service dropped")
COUNTER(FLOW_NO_SERVICE, "flow.no-service", "packets for unknown services")
COUNTER(FLOW_NO_UPSTREAM, "flow.no-upstream", "packets without an upstream")
COUNTER(FLOW_GIVEN_UP, "flow.given-up",
	"resets for dead or taken-out upstreams")
COUNTER(FLOW_MOVED_AWAY, "flow.moved-away",
	"flows that another instance gets packets of now")
COUNTER(FLOW_QUEUED, "flow.queued", "SYNs that waited for room at an upstream")
COUNTER(FLOW_STALE_SYN, "flow.stale-syn",
	"SYNs dropped, as they were read after their callers sent a copy")
COUNTER(FLOW_SPLIT, "flow.split",
	"flows told whose SYN may have gone to several upstreams")
COUNTER(FLOW_DROPPED_ISOLATED, "flow.dropped-isolated",
	"SYNs dropped, as no upstream can be reached from here")
COUNTER(FLOW_REFUSED_URGENT, "flow.refused-urgent",
	"refused SYNs of routes that do not have the lowest priority")
COUNTER(FLOW_CUT_OFF, "flow.cut-off", "packets for an unreachable domain")
COUNTER(FLOW_TOO_YOUNG, "flow.too-young", "packets dropped in the first second")
COUNTER(FLOW_SILENT, "flow.silent", "resets of flows without progress")
COUNTER(FLOW_UNSEEN_ENDS, "flow.unseen-ends",
	"requests whose end was not seen here in time")
COUNTER(FLOW_PLACED, "flow.placed", "new flows placed and recorded")
COUNTER(FLOW_LEARNED, "flow.learned", "flows learned from a replica")
COUNTER(FLOW_COPIED, "flow.copied", "flow records sent to a new replica")
COUNTER(FLOW_LOST, "flow.lost", "open flows dropped for lack of space")
COUNTER(FLOW_LEARN_BYTES, "flow.learn-bytes", "bytes of answers by replicas")
COUNTER(FLOW_CONTROL_BYTES, "flow.control-bytes", "bytes of marks and copies")

/* fleet */
COUNTER(PEER_SENT, "peer.sent", "messages sent to peers")
COUNTER(PEER_RECEIVED, "peer.received", "messages received from peers")
COUNTER(PEER_SENT_BYTES, "peer.sent-bytes", "bytes sent to peers")
COUNTER(PEER_RECEIVED_BYTES, "peer.received-bytes", "bytes from peers")
COUNTER(PEER_MALFORMED, "peer.malformed", "peer messages dropped")
COUNTER(PEER_DROPPED, "peer.dropped", "messages dropped on a full link")
COUNTER(PEER_INTRODUCED, "peer.introduced",
	"starting instances told of the members known here")
COUNTER(PEER_LINKS, "peer.links", "connections opened to peers")
COUNTER(FLEET_SUSPECTED, "fleet.suspected", "members suspected here")
COUNTER(FLEET_DIED, "fleet.died", "members declared dead here")
COUNTER(FLEET_REFUTED, "fleet.refuted", "claims about this instance refuted")
COUNTER(FLEET_PAUSED, "fleet.paused", "pauses of this process noticed")
COUNTER(FLEET_SYNCS, "fleet.syncs", "comparisons of records started")
COUNTER(FLEET_RECORDS, "fleet.records", "newer records received from peers")
COUNTER(CONFIG_CONFLICT, "config.conflict", "different snapshots of one epoch")
COUNTER(CONFIG_DELTAS, "config.deltas", "deltas applied")
COUNTER(CONFIG_PARTS, "config.parts", "parts of snapshots from peers")

/* upstream health */
COUNTER(HEALTH_PROBES, "health.probes", "probes sent to upstreams")
COUNTER(HEALTH_PROBE_FAILURES, "health.probe-failures",
	"probes without a good answer in time")
COUNTER(HEALTH_CHANGED, "health.changed",
	"changes of an upstream's state as assessed here")
COUNTER(HEALTH_SUDDEN_COLD, "health.sudden-cold",
	"warm upstreams found to be cold")
COUNTER(HEALTH_NOTICES_SENT, "health.notices-sent",
	"health notices sent, one for each receiver")
COUNTER(HEALTH_NOTICES_RECEIVED, "health.notices-received",
	"health notices received from peers")
COUNTER(HEALTH_VERDICTS_ADOPTED, "health.verdicts-adopted",
	"verdicts of peers adopted without a check")
COUNTER(HEALTH_PUBLISHED, "health.published",
	"upstream states sent to the fleet")
COUNTER(HEALTH_DOWN_HELD, "health.down-held",
	"assessments of a down that were not sent to the fleet")
