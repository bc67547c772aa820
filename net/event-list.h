/*
 * All kinds of events: EVENT(identifier, "name", lines a second, "meaning").
 * Included several times, so without an include guard. The budgets keep a busy
 * instance under some 20 KB a second; refusals and resets get most of it.
 */
EVENT(START, "start", 5, "the process has started")
EVENT(STOP, "stop", 5, "the process stops, or has stopped")
EVENT(RELOAD, "reload", 5, "the settings file was read again")
EVENT(PROBLEM, "problem", 10, "a problem that an operator should look at")
EVENT(STORE_LOST, "store-lost", 5, "the store does not answer")
EVENT(STORE_REGAINED, "store-regained", 5, "the store answers again")
EVENT(STORE_RESTORED, "store-restored", 5,
      "the store was restored from an older copy")
EVENT(STORE_OLD_ANSWER, "store-old-answer", 5,
      "an answer of the store from before it was restored was ignored")
EVENT(RECORD_HELD, "record-held", 30,
      "a record of a restored store is not believed yet")
EVENT(ROUTES, "routes", 10, "a configuration was applied")
EVENT(ROUTES_REFUSED, "routes-refused", 10, "a configuration was refused")
EVENT(DOMAIN, "domain", 10, "a domain was taken out of service or put back")
EVENT(UPSTREAM, "upstream", 30, "an upstream's entry changed")
EVENT(UPSTREAM_INVALID, "upstream-invalid", 5, "an upstream's entry is invalid")
EVENT(HEALTH, "health", 20, "an upstream's health as assessed here changed")
EVENT(UPSTREAM_LOST, "upstream-lost", 30,
      "an upstream was found dead or cut off")
EVENT(UPSTREAM_QUALITY, "upstream-quality", 20,
      "an upstream responds slower than others, or fails requests, or does "
      "neither any more")
EVENT(CHECK, "check", 20, "a health check of an upstream ended")
EVENT(VERDICT, "verdict", 20, "a peer's verdict on an upstream was adopted")
EVENT(VERDICT_IGNORED, "verdict-ignored", 10,
      "a peer's verdict on an upstream was not adopted")
EVENT(MEMBER, "member", 20, "another instance joined, left or fell silent")
EVENT(DOMAIN_LINK, "domain-link", 10,
      "another failure domain was reached, or no longer")
EVENT(DOMAIN_AWAY, "domain-away", 10,
      "no ready instance of another failure domain is heard any more")
EVENT(WOKEN, "woken", 5, "the process was paused for a while")
EVENT(READY, "ready", 5, "this instance's readiness changed")
EVENT(FLOW_OPENED, "flow-opened", 15, "a new flow was placed")
EVENT(FLOW_REOPENED, "flow-reopened", 20, "a retransmitted SYN was placed")
EVENT(FLOW_QUEUED, "flow-queued", 20, "a SYN waits for room at an upstream")
EVENT(SYN_STALE, "syn-stale", 10,
      "a SYN was read too late, after its caller sent a copy")
EVENT(FLOW_SPLIT, "flow-split", 20,
      "a flow is open whose SYN may have gone to several upstreams")
EVENT(FLOW_REFUSED, "flow-refused", 60, "a flow was refused at its SYN")
EVENT(FLOW_RESET, "flow-reset", 60, "an open flow was reset")
EVENT(FLOW_UNKNOWN, "flow-unknown", 10, "a packet names no known upstream")
EVENT(SUPPRESSED, "suppressed", 30, "lines over their budget were dropped")
