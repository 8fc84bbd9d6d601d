#pragma once

#include "Rattandeck/messages.h"

/// Names on the wire: fields, tags and the ranges of enums. The same field list is used for encoding and decoding.
namespace Rattandeck::Wire {

// Enums ------------------------------------------------------------------------------------------------------

template <typename Enum> inline constexpr Enum lastValue {};
template <> inline constexpr Role lastValue<Role> = Role::Journal;
template <> inline constexpr RecordState lastValue<RecordState> = RecordState::Unknown;
template <> inline constexpr RefusalReason lastValue<RefusalReason> = RefusalReason::HistoryMismatch;
template <> inline constexpr CallKind lastValue<CallKind> = CallKind::GetProgram;
template <> inline constexpr Ran lastValue<Ran> = Ran::Unknown;
template <> inline constexpr ProblemKind lastValue<ProblemKind> = ProblemKind::ShuttingDown;

// Fields of each struct --------------------------------------------------------------------------------------

template <typename Visitor> void visitFields(Visitor& visit, Hello& m)
{
    visit("protocol", m.protocol);
    visit("node", m.node);
    visit("role", m.role);
    visit("incarnation", m.incarnation);
    visit("domain", m.domain);
    visit("service", m.service);
    visit("address", m.address);
    visit("configRevision", m.configRevision);
}

template <typename Visitor> void visitFields(Visitor& visit, ProgramHeader& m)
{
    visit("id", m.id);
    visit("root", m.root);
    visit("organisation", m.organisation);
    visit("service", m.service);
    visit("aim", m.latencyTarget);
    visit("budget", m.budget);
}

template <typename Visitor> void visitFields(Visitor& visit, TurnRecord& m)
{
    visit("program", m.program);
    visit("turn", m.turn);
    visit("attempt", m.attempt);
    visit("epoch", m.epoch);
    visit("service", m.service);
    visit("key", m.key);
    visit("idempotent", m.idempotent);
    visit("state", m.state);
    visit("request", m.request);
    visit("input", m.input);
    visit("output", m.output);
    visit("charged", m.charged);
    visit("headBefore", m.headBefore);
    visit("headAfter", m.headAfter);
}

template <typename Visitor> void visitFields(Visitor& visit, Order& m)
{
    visit("id", m.id);
    visit("shard", m.shard);
    visit("epoch", m.epoch);
    visit("program", m.program);
    visit("turn", m.turn);
    visit("attempt", m.attempt);
    visit("service", m.service);
    visit("key", m.key);
    visit("idempotent", m.idempotent);
    visit("credit", m.credit);
    visit("timeLeft", m.timeLeft);
    visit("priority", m.priority);
    visit("request", m.request);
    visit("headBefore", m.headBefore);
    visit("history", m.history);
    visit("historyTokens", m.historyTokens);
    visit("input", m.input);
    visit("inputTokens", m.inputTokens);
    visit("maxOutputTokens", m.maxOutputTokens);
    visit("reserved", m.reserved);
}

template <typename Visitor> void visitFields(Visitor& visit, OrderRefused& m)
{
    visit("id", m.id);
    visit("reason", m.reason);
    visit("retryAfter", m.retryAfter);
}

// Short names, since this message is sent for each token.
template <typename Visitor> void visitFields(Visitor& visit, OrderTokens& m)
{
    visit("i", m.id);
    visit("p", m.part);
    visit("t", m.text);
    visit("n", m.tokens);
}

template <typename Visitor> void visitFields(Visitor& visit, OrderEnded& m)
{
    visit("id", m.id);
    visit("record", m.record);
    visit("cachedTokens", m.cachedTokens);
    visit("prefilledTokens", m.prefilledTokens);
    visit("endpointCrashed", m.endpointCrashed);
}

template <typename Visitor> void visitFields(Visitor& visit, CancelOrder& m) { visit("id", m.id); }

template <typename Visitor> void visitFields(Visitor& visit, ReleaseProgram& m)
{
    visit("shard", m.shard);
    visit("epoch", m.epoch);
    visit("program", m.program);
    visit("ended", m.ended);
}

template <typename Visitor> void visitFields(Visitor& visit, HoldPrefix& m)
{
    visit("program", m.program);
    visit("expectedPause", m.expectedPause);
}

template <typename Visitor> void visitFields(Visitor& visit, CreditGrant& m)
{
    visit("id", m.id);
    visit("count", m.count);
    visit("life", m.lifetime);
}

template <typename Visitor> void visitFields(Visitor& visit, HeldPrefix& m)
{
    visit("program", m.program);
    visit("tokens", m.tokens);
}

template <typename Visitor> void visitFields(Visitor& visit, LoadReport& m)
{
    visit("sequence", m.sequence);
    visit("service", m.service);
    visit("leaving", m.leaving);
    visit("running", m.running);
    visit("waiting", m.waiting);
    visit("limit", m.limit);
    visit("waitingTokens", m.waitingTokens);
    visit("prefillSpeed", m.prefillTokensPerSecond);
    visit("decodeSpeed", m.decodeTokensPerSecond);
    visit("cacheCapacity", m.cacheCapacity);
    visit("cacheUsed", m.cacheUsed);
    visit("accountedOrder", m.accountedOrder);
    visit("credits", m.credits);
    visit("held", m.heldPrefixes);
    visit("dropped", m.droppedPrefixes);
    visit("complete", m.prefixesComplete);
}

template <typename Visitor> void visitFields(Visitor& visit, RecoveryRequest& m)
{
    visit("shard", m.shard);
    visit("epoch", m.epoch);
}

template <typename Visitor> void visitFields(Visitor& visit, RunningOrder& m)
{
    visit("order", m.order);
    visit("record", m.record);
}

template <typename Visitor> void visitFields(Visitor& visit, RecoveryAnswer& m)
{
    visit("shard", m.shard);
    visit("epoch", m.epoch);
    visit("incarnation", m.incarnation);
    visit("refused", m.refused);
    visit("programs", m.programs);
    visit("ended", m.endedPrograms);
    visit("records", m.records);
    visit("running", m.running);
}

template <typename Visitor> void visitFields(Visitor& visit, CopyRecords& m)
{
    visit("copy", m.copy);
    visit("shard", m.shard);
    visit("epoch", m.epoch);
    visit("programs", m.programs);
    visit("ended", m.endedPrograms);
    visit("records", m.records);
}

template <typename Visitor> void visitFields(Visitor& visit, CopyAnswer& m)
{
    visit("copy", m.copy);
    visit("refused", m.refused);
}

template <typename Visitor> void visitFields(Visitor& visit, PromiseRequest& m)
{
    visit("request", m.request);
    visit("incarnation", m.incarnation);
    visit("leaseVersion", m.leaseVersion);
}

template <typename Visitor> void visitFields(Visitor& visit, PromiseAnswer& m)
{
    visit("request", m.request);
    visit("granted", m.granted);
    visit("life", m.lifetime);
}

template <typename Visitor> void visitFields(Visitor& visit, PromiseReleaseRequest& m)
{
    visit("request", m.request);
    visit("holder", m.holder);
    visit("leaseVersion", m.leaseVersion);
}

template <typename Visitor> void visitFields(Visitor& visit, PromiseReleaseAnswer& m)
{
    visit("request", m.request);
    visit("released", m.released);
    visit("retryAfter", m.retryAfter);
}

template <typename Visitor> void visitFields(Visitor& visit, ConfigObject& m)
{
    visit("kind", m.kind);
    visit("name", m.name);
    visit("version", m.version);
    visit("deleted", m.deleted);
    visit("value", m.value);
}

template <typename Visitor> void visitFields(Visitor& visit, ConfigUpdate& m)
{
    visit("revision", m.revision);
    visit("objects", m.objects);
}

template <typename Visitor> void visitFields(Visitor& visit, CallerRequest& m)
{
    visit("kind", m.kind);
    visit("organisation", m.organisation);
    visit("program", m.program);
    visit("service", m.service);
    visit("aim", m.latencyTarget);
    visit("budget", m.budget);
    visit("turn", m.turn);
    visit("key", m.key);
    visit("idempotent", m.idempotent);
    visit("head", m.head);
    visit("input", m.input);
    visit("maxOutputTokens", m.maxOutputTokens);
    visit("timeLeft", m.timeLeft);
    visit("expectedPause", m.expectedPause);
}

template <typename Visitor> void visitFields(Visitor& visit, Problem& m)
{
    visit("kind", m.kind);
    visit("ran", m.ran);
    visit("retryAfter", m.retryAfter);
    visit("detail", m.detail);
}

template <typename Visitor> void visitFields(Visitor& visit, AnswerTokens& m)
{
    visit("t", m.text);
    visit("n", m.tokens);
}

template <typename Visitor> void visitFields(Visitor& visit, AnswerDone& m)
{
    visit("program", m.program);
    visit("turn", m.turn);
    visit("head", m.head);
    visit("output", m.output);
    visit("charged", m.charged);
    visit("budgetLeft", m.budgetLeft);
    visit("cachedTokens", m.cachedTokens);
    visit("prefilledTokens", m.prefilledTokens);
}

template <typename Visitor> void visitFields(Visitor& visit, ForwardRequest& m)
{
    visit("ticket", m.ticket);
    visit("request", m.request);
}

template <typename Visitor> void visitFields(Visitor& visit, ForwardCancel& m) { visit("ticket", m.ticket); }

template <typename Visitor> void visitFields(Visitor& visit, ForwardEvent& m)
{
    visit("i", m.ticket);
    visit("e", m.event);
}

// Journals -----------------------------------------------------------------------------------------------------

template <typename Visitor> void visitFields(Visitor& visit, TokenClaim& m)
{
    visit("turn", m.turn);
    visit("tokens", m.tokens);
    visit("isSettled", m.isSettled);
}

template <typename Visitor> void visitFields(Visitor& visit, ClaimTokens& m)
{
    visit("ticket", m.ticket);
    visit("budget", m.budget);
    visit("claim", m.claim);
    visit("retention", m.retention);
}

template <typename Visitor> void visitFields(Visitor& visit, ClaimsKnown& m)
{
    visit("ticket", m.ticket);
    visit("epoch", m.epoch);
    visit("claims", m.claims);
}

template <typename Visitor> void visitFields(Visitor& visit, SettleClaim& m)
{
    visit("budget", m.budget);
    visit("claim", m.claim);
    visit("retention", m.retention);
}

template <typename Visitor> void visitFields(Visitor& visit, RetainedTurn& m)
{
    visit("id", m.id);
    visit("previous", m.previous);
    visit("input", m.input);
    visit("output", m.output);
    visit("retention", m.retention);
}

template <typename Visitor> void visitFields(Visitor& visit, StoreTurn& m)
{
    visit("ticket", m.ticket);
    visit("turn", m.turn);
}

template <typename Visitor> void visitFields(Visitor& visit, TurnStored& m)
{
    visit("ticket", m.ticket);
    visit("epoch", m.epoch);
}

template <typename Visitor> void visitFields(Visitor& visit, FetchTurn& m)
{
    visit("ticket", m.ticket);
    visit("turn", m.turn);
}

template <typename Visitor> void visitFields(Visitor& visit, TurnFetched& m)
{
    visit("ticket", m.ticket);
    visit("epoch", m.epoch);
    visit("isFound", m.isFound);
    visit("missing", m.missing);
    visit("transcript", m.transcript);
}

template <typename Visitor> void visitFields(Visitor& visit, JournalMember& m)
{
    visit("node", m.node);
    visit("address", m.address);
}

template <typename Visitor> void visitFields(Visitor& visit, JournalSet& m)
{
    visit("epoch", m.epoch);
    visit("members", m.members);
    visit("proposer", m.proposer);
}

template <typename Visitor> void visitFields(Visitor& visit, JournalStanding& m)
{
    visit("epoch", m.epoch);
    visit("lacksRecords", m.lacksRecords);
    visit("replaced", m.replaced);
}

template <typename Visitor> void visitFields(Visitor& visit, CopyRequest& m)
{
    visit("round", m.round);
    visit("cursor", m.cursor);
    visit("digests", m.digests);
    visit("firstBucket", m.firstBucket);
    visit("wanted", m.wanted);
    visit("isCopied", m.isCopied);
    visit("copiedEpoch", m.copiedEpoch);
}

template <typename Visitor> void visitFields(Visitor& visit, CopyPage& m)
{
    visit("round", m.round);
    visit("epoch", m.epoch);
    visit("cursor", m.cursor);
    visit("isLast", m.isLast);
    visit("claims", m.claims);
    visit("turns", m.turns);
    visit("turnBytes", m.turnBytes);
    visit("crashes", m.crashes);
    visit("isComparison", m.isComparison);
    visit("names", m.names);
    visit("firstBucket", m.firstBucket);
    visit("nextBucket", m.nextBucket);
    visit("areAllCompared", m.areAllCompared);
}

template <typename Visitor> void visitFields(Visitor& visit, TurnsRequest& m) { visit("turns", m.turns); }

template <typename Visitor> void visitFields(Visitor& visit, TurnsPage& m)
{
    visit("turns", m.turns);
    visit("expired", m.expired);
}

template <typename Visitor> void visitFields(Visitor& visit, GossipItem& m)
{
    visit("topic", m.topic);
    visit("version", m.version);
    visit("isRemoved", m.isRemoved);
    visit("text", m.text);
}

template <typename Visitor> void visitFields(Visitor& visit, GossipOffer& m)
{
    visit("topic", m.topic);
    visit("version", m.version);
}

template <typename Visitor> void visitFields(Visitor& visit, GossipOffers& m)
{
    visit("offers", m.offers);
    visit("isAnswer", m.isAnswer);
}

template <typename Visitor> void visitFields(Visitor& visit, GossipNotice& m) { visit("hash", m.hash); }

template <typename Visitor> void visitFields(Visitor& visit, GossipDigests& m) { visit("buckets", m.buckets); }

template <typename Visitor> void visitFields(Visitor& visit, GossipRequest& m) { visit("topics", m.topics); }

template <typename Visitor> void visitFields(Visitor& visit, GossipItems& m) { visit("bulletins", m.items); }

template <typename Visitor> void visitFields(Visitor& visit, StoreView& m) { visit("age", m.age); }

template <typename Visitor> void visitFields(Visitor& visit, ConfigAgeRequest& m) { visit("ticket", m.ticket); }

template <typename Visitor> void visitFields(Visitor& visit, ConfigAgeAnswer& m)
{
    visit("ticket", m.ticket);
    visit("isKnown", m.isKnown);
    visit("revision", m.revision);
    visit("age", m.age);
}

template <typename Visitor> void visitFields(Visitor& visit, CrashReport& m)
{
    visit("request", m.request);
    visit("crash", m.crash);
    visit("retention", m.retention);
    visit("round", m.round);
    visit("answer", m.isAnswer);
    visit("trial", m.isTrial);
}

template <typename Visitor> void visitFields(Visitor& visit, JournalInconclusive& m)
{
    visit("ticket", m.ticket);
    visit("missing", m.missing);
}

template <typename Visitor> void visitFields(Visitor& visit, CrashReports& m) { visit("reports", m.reports); }

template <typename Visitor> void visitFields(Visitor& visit, PermitRequest& m)
{
    visit("endpoint", m.endpoint);
    visit("startedAt", m.startedAt);
    visit("isLimited", m.isLimited);
    visit("limit", m.limit);
    visit("age", m.age);
    visit("received", m.received);
    visit("unused", m.unused);
    visit("wanted", m.wanted);
}

template <typename Visitor> void visitFields(Visitor& visit, PermitRequests& m)
{
    visit("ticket", m.ticket);
    visit("requests", m.requests);
}

template <typename Visitor> void visitFields(Visitor& visit, PermitGrant& m)
{
    visit("endpoint", m.endpoint);
    visit("startedAt", m.startedAt);
    visit("isLimited", m.isLimited);
    visit("limit", m.limit);
    visit("age", m.age);
    visit("permits", m.permits);
    visit("ticket", m.ticket);
    visit("heldFor", m.heldFor);
    visit("backlog", m.backlog);
}

template <typename Visitor> void visitFields(Visitor& visit, PermitGrants& m) { visit("grants", m.grants); }

template <typename Visitor> void visitFields(Visitor& visit, GatewaysLinked& m) { visit("count", m.count); }

template <typename Visitor> void visitFields(Visitor& visit, QuotaDemand& m)
{
    visit("org", m.organisation);
    visit("advance", m.advance);
    visit("waiting", m.waiting);
    visit("first", m.waitingFirstTurns);
    visit("part", m.waitingPart);
    visit("firstPart", m.firstTurnPart);
}

template <typename Visitor> void visitFields(Visitor& visit, QuotaReturn& m)
{
    visit("org", m.organisation);
    visit("stamp", m.stamp);
    visit("tokens", m.tokens);
}

template <typename Visitor> void visitFields(Visitor& visit, QuotaRequests& m)
{
    visit("ticket", m.ticket);
    visit("demands", m.demands);
    visit("returned", m.returned);
    visit("calls", m.calls);
    visit("firstTurns", m.firstTurns);
}

template <typename Visitor> void visitFields(Visitor& visit, QuotaGrant& m)
{
    visit("org", m.organisation);
    visit("tokens", m.tokens);
    visit("withFirst", m.includesFirstTurns);
    visit("first", m.firstTurnTokens);
    visit("part", m.part);
    visit("firstPart", m.firstTurnPart);
    visit("wait", m.wait);
    visit("firstWait", m.firstTurnWait);
}

template <typename Visitor> void visitFields(Visitor& visit, QuotaGrants& m)
{
    visit("ticket", m.ticket);
    visit("issuing", m.isIssuing);
    visit("stamp", m.stamp);
    visit("grants", m.grants);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamOrigin& m)
{
    visit("service", m.service);
    visit("version", m.version);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamBegun& m)
{
    visit("request", m.request);
    visit("origin", m.origin);
    visit("retention", m.retention);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamMark& m)
{
    visit("event", m.event);
    visit("end", m.end);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamPassedOn& m)
{
    visit("stream", m.stream);
    visit("request", m.request);
    visit("offset", m.offset);
    visit("text", m.text);
    visit("events", m.events);
    visit("retention", m.retention);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamOriginRequest& m)
{
    visit("ticket", m.ticket);
    visit("request", m.request);
    visit("lastEvent", m.lastEvent);
}

template <typename Visitor> void visitFields(Visitor& visit, StreamOriginAnswer& m)
{
    visit("ticket", m.ticket);
    visit("isKnown", m.isKnown);
    visit("origin", m.origin);
    visit("isOutputKnown", m.isOutputKnown);
    visit("output", m.output);
}

// Tags ---------------------------------------------------------------------------------------------------------

template <typename Alternative> inline constexpr const char* tag = nullptr;
template <> inline constexpr const char* tag<Hello> = "hello";
template <> inline constexpr const char* tag<Order> = "order";
template <> inline constexpr const char* tag<OrderRefused> = "refused";
template <> inline constexpr const char* tag<OrderTokens> = "tok";
template <> inline constexpr const char* tag<OrderEnded> = "ended";
template <> inline constexpr const char* tag<CancelOrder> = "cancel";
template <> inline constexpr const char* tag<ReleaseProgram> = "release";
template <> inline constexpr const char* tag<HoldPrefix> = "hold";
template <> inline constexpr const char* tag<LoadReport> = "load";
template <> inline constexpr const char* tag<RecoveryRequest> = "census";
template <> inline constexpr const char* tag<RecoveryAnswer> = "censusAnswer";
template <> inline constexpr const char* tag<CopyRecords> = "copy";
template <> inline constexpr const char* tag<CopyAnswer> = "copyAnswer";
template <> inline constexpr const char* tag<PromiseRequest> = "promise";
template <> inline constexpr const char* tag<PromiseAnswer> = "promiseAnswer";
template <> inline constexpr const char* tag<PromiseReleaseRequest> = "leaseRelease";
template <> inline constexpr const char* tag<PromiseReleaseAnswer> = "leaseReleased";
template <> inline constexpr const char* tag<ConfigUpdate> = "config";
template <> inline constexpr const char* tag<ForwardRequest> = "fwd";
template <> inline constexpr const char* tag<ForwardCancel> = "fwdCancel";
template <> inline constexpr const char* tag<ForwardEvent> = "fwdEvent";
template <> inline constexpr const char* tag<ClaimTokens> = "claim";
template <> inline constexpr const char* tag<ClaimsKnown> = "claims";
template <> inline constexpr const char* tag<SettleClaim> = "settle";
template <> inline constexpr const char* tag<StoreTurn> = "storeTurn";
template <> inline constexpr const char* tag<TurnStored> = "turnStored";
template <> inline constexpr const char* tag<FetchTurn> = "fetchTurn";
template <> inline constexpr const char* tag<TurnFetched> = "turnFetched";
template <> inline constexpr const char* tag<JournalSet> = "journals";
template <> inline constexpr const char* tag<CopyRequest> = "copyFrom";
template <> inline constexpr const char* tag<CopyPage> = "copyPage";
template <> inline constexpr const char* tag<TurnsRequest> = "turnsFrom";
template <> inline constexpr const char* tag<TurnsPage> = "turns";
template <> inline constexpr const char* tag<GossipOffers> = "offers";
template <> inline constexpr const char* tag<GossipRequest> = "wanted";
template <> inline constexpr const char* tag<GossipItems> = "bulletins";
template <> inline constexpr const char* tag<CrashReports> = "crashes";
template <> inline constexpr const char* tag<JournalInconclusive> = "unsure";
template <> inline constexpr const char* tag<JournalStanding> = "standing";
template <> inline constexpr const char* tag<PermitRequests> = "permitsFor";
template <> inline constexpr const char* tag<PermitGrants> = "permits";
template <> inline constexpr const char* tag<GatewaysLinked> = "gateways";
template <> inline constexpr const char* tag<GossipNotice> = "notice";
template <> inline constexpr const char* tag<GossipDigests> = "digests";
template <> inline constexpr const char* tag<StoreView> = "storeView";
template <> inline constexpr const char* tag<StreamBegun> = "streamBegun";
template <> inline constexpr const char* tag<StreamPassedOn> = "passedOn";
template <> inline constexpr const char* tag<StreamOriginRequest> = "originOf";
template <> inline constexpr const char* tag<StreamOriginAnswer> = "origin";
template <> inline constexpr const char* tag<QuotaRequests> = "quotasFor";
template <> inline constexpr const char* tag<QuotaGrants> = "quotas";
template <> inline constexpr const char* tag<ConfigAgeRequest> = "configAgeOf";
template <> inline constexpr const char* tag<ConfigAgeAnswer> = "configAge";
template <> inline constexpr const char* tag<AnswerTokens> = "tok";
template <> inline constexpr const char* tag<AnswerDone> = "done";
template <> inline constexpr const char* tag<Problem> = "problem";

}
