#include "gatewayorganisations.h"
#include "resumedturns.h"

#include <algorithm>

namespace Rattandeck {

std::string_view describe(RejectionReason reason)
{
    switch (reason) {
    case RejectionReason::NoRoute:
        return "no route";
    case RejectionReason::NotReady:
        return "no configuration yet";
    case RejectionReason::Overloaded:
        return "no instance has room";
    case RejectionReason::NoInstance:
        return "no instance";
    case RejectionReason::RateLimited:
        return "limits of instances reached";
    case RejectionReason::BudgetSpent:
        return "token budget spent";
    case RejectionReason::UnknownTurn:
        return "unknown previous turn";
    case RejectionReason::JournalsUnavailable:
        return "journals unavailable";
    case RejectionReason::TimedOut:
        return "timed out";
    case RejectionReason::Stopping:
        return "the gateway is about to end";
    case RejectionReason::AnswerLost:
        return "answer lost";
    case RejectionReason::AnswerUnfounded:
        return "the instance failed";
    case RejectionReason::StreamUnknown:
        return "version of the stream unknown";
    case RejectionReason::StreamOutputUnknown:
        return "first events of the turn unknown";
    case RejectionReason::StreamVersionGone:
        return "no instance of the stream's version";
    case RejectionReason::Quarantined:
        return "held: it crashed several instances";
    case RejectionReason::Suspected:
        return "held: another copy is being tried, as it may crash instances";
    case RejectionReason::KeyUnknown:
        return "key unknown";
    case RejectionReason::ConfigurationTooOld:
        return "configuration too old for keys";
    case RejectionReason::AllowanceUsed:
        return "allowance of the organisation used";
    case RejectionReason::TurnOwnerUnknown:
        return "owner of the previous turn unknown";
    }
    return "unknown";
}

std::string_view describe(SendFailureCause cause)
{
    switch (cause) {
    case SendFailureCause::Refused:
        return "refused by the instance";
    case SendFailureCause::NotSent:
        return "not sent";
    case SendFailureCause::Unreachable:
        return "unreachable";
    case SendFailureCause::Interrupted:
        return "interrupted";
    case SendFailureCause::Stalled:
        return "stalled";
    case SendFailureCause::StalledAndKept:
        return "stalled, kept";
    case SendFailureCause::TooLarge:
        return "too large";
    }
    return "unknown";
}

// Public -------------------------------------------------------------------------------------------------------------

Gateway::Gateway(
    TimerService& timers, GatewayIo& io, JournalClient& journals, FailureDomain domain, const GatewayLimits& limits)
    : impl(std::make_unique<Impl>(timers, io, journals, std::move(domain), limits))
{
}

Gateway::~Gateway() = default;

void Gateway::setLimits(const GatewayLimits& limits) { this->impl->limits = limits; }

bool Gateway::setConfig(RoutingConfig config)
{
    if (this->impl->table && config.version <= this->impl->table->config().version)
        return false;
    this->impl->table = std::make_shared<const RouteTable>(std::move(config));
    this->impl->endCallsWithoutKey();
    return true;
}

std::optional<std::uint64_t> Gateway::configVersion() const
{
    if (!this->impl->table)
        return std::nullopt;
    return this->impl->table->config().version;
}

CallerLimits Gateway::callerLimits() const
{
    return this->impl->table ? this->impl->table->config().limits : CallerLimits {};
}

const EndpointTable& Gateway::endpoints() const { return this->impl->endpoints; }

void Gateway::onInstance(const EndpointInstance& instance)
{
    const EndpointInstance* known = this->impl->endpoints.find(instance.id);
    if (known && known->startedAt != instance.startedAt) {
        this->impl->onInstanceFailed(instance.id);
        this->impl->permits.forget(instance.id);
    }
    this->impl->endpoints.put(instance, this->impl->timers.now());
}

void Gateway::onInstanceRemoved(const EndpointId& id)
{
    // An instance that has announced its leave did not crash.
    const EndpointInstance* known = this->impl->endpoints.find(id);
    if (!known || !known->isDraining)
        this->impl->onInstanceFailed(id);
    this->impl->endpoints.remove(id);
    this->impl->permits.forget(id);
}

void Gateway::onInstanceLeaving(const EndpointId& id, std::int64_t startedAt)
{
    this->impl->endpoints.onLeaving(id, startedAt, this->impl->timers.now());
}

void Gateway::onConnectionsLost(const std::string& address)
{
    this->impl->endpoints.onConnectionsLost(address, this->impl->timers.now());
}

void Gateway::onProcessTold(const std::string& address)
{
    std::vector<CallId> held;
    for (const auto& [id, call] : this->impl->calls) {
        const EndpointInstance* instance = this->impl->endpoints.find(call->endpoint);
        if (!instance || instance->address != address)
            continue;
        if (call->events > 0)
            this->impl->noteOrigin(*call);
        else if (call->processTimer.value != 0)
            held.push_back(id);
    }
    // The end of one may end others.
    for (const CallId id : held) {
        if (Impl::Call* call = this->impl->find(id))
            this->impl->release(*call);
    }
}

void Gateway::onStoreViewed(TimePoint viewedAt) { this->impl->endpoints.onStoreViewed(viewedAt); }

void Gateway::onCrashReports(const CrashReports& crashes)
{
    for (const CrashReport& report : crashes.reports)
        this->impl->crashes.onReport(report, this->impl->timers.now());
}

std::size_t Gateway::openCalls() const { return this->impl->calls.size(); }

std::size_t Gateway::queuedCalls() const { return this->impl->queue.size(); }

const PermitHolder& Gateway::permits() const { return this->impl->permits; }

const QuotaHolder& Gateway::quotas() const { return this->impl->quotas; }

void Gateway::setJournals(const std::vector<JournalMember>& members)
{
    this->impl->permits.setMembers(members);
    this->impl->origins.setMembers(members);
    this->impl->quotas.setMembers(members);
}

void Gateway::onJournalUp(const NodeId& journal, const FailureDomain& domain)
{
    this->impl->permits.onLinkUp(journal);
    this->impl->origins.onLinkUp(journal, domain);
    this->impl->quotas.onLinkUp(journal);
}

void Gateway::onJournalDown(const NodeId& journal)
{
    this->impl->permits.onLinkDown(journal);
    this->impl->origins.onLinkDown(journal);
    this->impl->quotas.onLinkDown(journal);
}

void Gateway::onJournalMessage(const NodeId& from, const Message& message)
{
    this->impl->permits.onMessage(from, message);
    this->impl->origins.onMessage(from, message);
    this->impl->quotas.onMessage(from, message);
}

const GatewayCounts& Gateway::counts() const { return this->impl->counts; }

void Gateway::onCall(CallId id, GatewayCall call)
{
    auto& self = *this->impl;
    ++self.counts.calls;
    if (const auto reason = self.refusalByHead(call))
        return self.refuseUnrouted(id, call, *reason);
    // The head no longer says the same as when the body was dropped.
    if (call.isBodyOmitted)
        return self.refuseUnrouted(id, call, RejectionReason::Overloaded);
    const Route* route = self.table->find(call.host, call.path);
    const auto organisation = organisationOf(self.table->organisations(), *route, call.key);
    if (const auto reason = self.admit(call, *organisation))
        return self.refuseUnrouted(id, call, *reason);

    auto state = std::make_unique<GatewayCallState>();
    state->id = id;
    state->table = self.table;
    state->route = route;
    state->organisation = *organisation;
    state->service = chooseService(*route, call.program.value.empty() ? call.request.value : call.program.value);
    state->arrived = self.timers.now();
    state->deadline = self.deadlineOf(call, *route);
    state->query.service = state->service;
    const bool canResume = route->safety == CallSafety::Stream && route->canResume;
    state->isResumption = canResume && !(call.resumeAfter.empty() && call.resumedRequest.value.empty());
    state->query.mayBeResumed = canResume && !state->isResumption;
    state->query.prompt = std::move(call.prompt);
    if (route->isSticky)
        state->query.subject = call.subject;
    state->query.domain = self.domain;
    state->query.prefixKey = call.program.value;
    state->call = std::move(call);
    state->lastEvent = state->call.resumeAfter;
    state->deadlineTimer
        = self.timers.subscribeAt(state->deadline, [gateway = this->impl.get(), id] { gateway->onDeadline(id); });
    const double length = self.relativeLength(*state);
    if (self.permits.limitedInstances() > 0)
        state->query.relativeLength = length;
    state->query.workMs = self.usualWorkMs(*state);
    Impl::Call& added = *state;
    self.calls.emplace(id, std::move(state));
    self.prepare(added);
}

bool Gateway::needsBody(const GatewayCall& head) const { return !this->impl->refusalByHead(head); }

/// Returns why a call is refused without a look at its body.
std::optional<RejectionReason> Gateway::Impl::refusalByHead(const GatewayCall& call) const
{
    if (!this->table)
        return RejectionReason::NotReady;
    const Route* route = this->table->find(call.host, call.path);
    if (!route || route->services.empty())
        return RejectionReason::NoRoute;
    if (this->isTooOldFor(*route))
        return RejectionReason::ConfigurationTooOld;
    const auto organisation = organisationOf(this->table->organisations(), *route, call.key);
    if (!organisation)
        return organisation.error();
    if (this->isTooLateFor(call, *route))
        return RejectionReason::Stopping;
    if (this->calls.size() >= this->limits.maxCalls)
        return RejectionReason::Overloaded;
    return std::nullopt;
}

TimePoint Gateway::Impl::deadlineOf(const GatewayCall& call, const Route& route) const
{
    return this->timers.now() + std::min(route.timeout, call.timeLeft.value_or(route.timeout));
}

bool Gateway::Impl::isTooLateFor(const GatewayCall& call, const Route& route) const
{
    if (!this->plannedStop)
        return false;
    const auto& [takesAllUntil, endsAt] = *this->plannedStop;
    return this->timers.now() > std::min(takesAllUntil, endsAt) && this->deadlineOf(call, route) > endsAt;
}

void Gateway::beginStop(TimePoint takesAllUntil, TimePoint endsAt)
{
    this->impl->plannedStop = { takesAllUntil, endsAt };
}

void Gateway::endOpenCalls()
{
    std::vector<CallId> open;
    for (const auto& [id, call] : this->impl->calls)
        open.push_back(id);
    // First those that wait for room, so that none is sent when others leave it.
    std::partition(open.begin(), open.end(), [this](CallId id) { return this->impl->find(id)->send.value == 0; });
    // The end of one may end others.
    for (const CallId id : open) {
        if (Impl::Call* call = this->impl->find(id))
            this->impl->failCall(*call, RejectionReason::Stopping);
    }
}

void Gateway::onCallerDisconnected(CallId id)
{
    Impl::Call* call = this->impl->find(id);
    if (!call)
        return;
    this->impl->dropSend(*call, true);
    ++this->impl->counts.abandoned;
    this->impl->finish(*call, "left", "caller left");
}

void Gateway::Impl::onInstanceFailed(const EndpointId& id)
{
    const auto reports = this->crashes.onInstanceFailed(id, this->timers.now());
    if (!reports.empty())
        this->io.reportCrashes(reports);
}

/// Returns why a request that has crashed instances, or is suspected of it, must not be sent now.
std::optional<RejectionReason> Gateway::Impl::admit(const GatewayCall& call, const Organisation* organisation)
{
    if (this->crashes.isEmpty())
        return std::nullopt;
    const Fingerprint request = fingerprintOf(call, organisation);
    switch (this->crashes.admission(request, this->timers.now())) {
    case CrashWatch::Admission::Free:
        return std::nullopt;
    case CrashWatch::Admission::Trial:
        this->io.reportCrashes({ this->crashes.beginTrial(request, this->timers.now()) });
        return std::nullopt;
    case CrashWatch::Admission::AwaitsTrial:
        return RejectionReason::Suspected;
    case CrashWatch::Admission::Quarantined:
        break;
    }
    return RejectionReason::Quarantined;
}

// Preparation --------------------------------------------------------------------------------------------------------

GatewayCallState* Gateway::Impl::find(CallId id)
{
    const auto found = this->calls.find(id);
    return found == this->calls.end() ? nullptr : found->second.get();
}

GatewayCallState* Gateway::Impl::findBySend(SendId id)
{
    const auto found = this->callOfSend.find(id);
    return found == this->callOfSend.end() ? nullptr : this->find(found->second);
}

void Gateway::Impl::prepare(Call& call)
{
    if (lacksFirstEvents(call)) {
        this->refuse(call, RejectionReason::StreamOutputUnknown);
        return;
    }
    const bool isTurn = call.route->safety == CallSafety::Stream && !call.call.program.value.empty();
    call.isClaimPending = isTurn && call.call.tokenLimit.has_value();
    call.isFetchPending = isTurn && !call.call.previousTurn.value.empty();
    call.isOriginPending = call.isResumption;
    call.isQuotaPending = isMetered(call);
    if (call.isQuotaPending && !this->prepareToken(call))
        return;
    if (!this->isPreparing(call)) {
        this->place(call);
        return;
    }
    this->anticipatePermit(call);
    // Each step may end the call before it returns.
    const CallId id = call.id;
    if (call.isOriginPending)
        this->findOrigin(call);
    if (this->find(id) && call.isFetchPending)
        this->fetch(call);
    if (this->find(id) && call.isClaimPending)
        this->claim(call);
}

bool Gateway::Impl::isPreparing(const Call& call) const
{
    return call.isOriginPending || call.isClaimPending || call.isFetchPending || call.isQuotaPending;
}

/// Finds out what the stream that the call resumes has to go on at.
void Gateway::Impl::findOrigin(Call& call)
{
    ++this->counts.resumptions;
    if (call.call.resumedRequest.value.empty()) {
        ++this->counts.unknownStreams;
        this->refuse(call, RejectionReason::StreamUnknown);
        return;
    }
    this->origins.find(streamOf(call), retainsTurn(call) ? call.call.resumeAfter : std::string(),
        [this, id = call.id](
            tl::expected<KnownStream, StreamOriginError> outcome) { this->onOrigin(id, std::move(outcome)); });
}

static RejectionReason reasonFor(StreamOriginError error)
{
    switch (error) {
    case StreamOriginError::Unknown:
        return RejectionReason::StreamUnknown;
    case StreamOriginError::OutputUnknown:
        return RejectionReason::StreamOutputUnknown;
    case StreamOriginError::Unavailable:
        break;
    }
    return RejectionReason::JournalsUnavailable;
}

void Gateway::Impl::onOrigin(CallId id, tl::expected<KnownStream, StreamOriginError> outcome)
{
    Call* call = this->find(id);
    if (!call)
        return;
    if (!outcome) {
        ++this->counts.unknownStreams;
        this->refuse(*call, reasonFor(outcome.error()));
        return;
    }
    const StreamOrigin& origin = outcome->origin;
    const bool isAllowed = std::ranges::any_of(call->route->services,
        [&](const WeightedService& allowed) { return allowed.service == origin.service && allowed.weight > 0; });
    if (!isAllowed) {
        this->refuse(*call, RejectionReason::StreamVersionGone);
        return;
    }
    call->service = origin.service;
    call->query.service = origin.service;
    call->query.version = origin.version;
    beginOutput(*call, std::move(outcome->output));
    call->isOriginPending = false;
    if (!this->isPreparing(*call))
        this->onPrepared(*call);
}

void Gateway::Impl::claim(Call& call)
{
    const BudgetId program = call.call.program;
    const TurnId turn = call.call.request;
    const Milliseconds retention = this->claimRetention(call);
    const auto onOutcome
        = [this, id = call.id, program, turn, retention](const tl::expected<ClaimOutcome, JournalError>& outcome) {
              if (this->find(id))
                  this->onClaimed(id, outcome);
              else if (outcome)
                  this->journals.settle(program, turn, TokenCount(0), retention);
          };
    this->journals.claim(program, turn, call.call.maxOutputTokens, *call.call.tokenLimit, retention, onOutcome);
}

void Gateway::Impl::fetch(Call& call)
{
    this->journals.fetch(recordedTurn(call, call.call.previousTurn),
        [this, id = call.id](
            tl::expected<std::string, JournalError> outcome) { this->onFetched(id, std::move(outcome)); });
}

void Gateway::Impl::onClaimed(CallId id, const tl::expected<ClaimOutcome, JournalError>& outcome)
{
    Call* call = this->find(id);
    call->isClaimPending = false;
    call->waits.claim = this->timers.now() - call->arrived;
    if (!outcome) {
        const bool isSpent = outcome.error() == JournalError::BudgetSpent;
        this->refuse(*call, isSpent ? RejectionReason::BudgetSpent : RejectionReason::JournalsUnavailable);
        return;
    }
    call->isClaimed = true;
    call->isFirstTurn = !outcome->hasOtherTurns;
    if (call->isQuotaPending && !this->prepareToken(*call))
        return;
    if (!this->isPreparing(*call))
        this->onPrepared(*call);
}

void Gateway::Impl::onFetched(CallId id, tl::expected<std::string, JournalError> outcome)
{
    Call* call = this->find(id);
    if (!call)
        return;
    if (!outcome && outcome.error() == JournalError::NotFound && call->table->organisations()) {
        this->fetchWithoutOwner(*call);
        return;
    }
    call->isFetchPending = false;
    call->waits.transcript = this->timers.now() - call->arrived;
    if (!outcome) {
        const bool isUnknown = outcome.error() == JournalError::NotFound;
        this->refuse(*call, isUnknown ? RejectionReason::UnknownTurn : RejectionReason::JournalsUnavailable);
        return;
    }
    call->transcript = std::move(*outcome);
    if (!this->isPreparing(*call))
        this->onPrepared(*call);
}

void Gateway::Impl::onPrepared(Call& call)
{
    if (!call.preparedAt)
        call.preparedAt = this->timers.now();
    this->place(call);
}

// End ----------------------------------------------------------------------------------------------------------------

Milliseconds Gateway::Impl::timeLeft(const Call& call) const
{
    return std::chrono::duration_cast<Milliseconds>(call.deadline - this->timers.now());
}

Milliseconds Gateway::Impl::turnRetention(const Call& call) const
{
    const Milliseconds untilAnswered = std::max(this->timeLeft(call), Milliseconds(0)) + this->limits.retentionMargin;
    const Milliseconds stated = call.route->turnRetention;
    return (stated > Milliseconds(0) ? stated : this->limits.defaultRetention) + untilAnswered;
}

Milliseconds Gateway::Impl::claimRetention(const Call& call) const
{
    return this->turnRetention(call) + this->limits.maxProgramPause;
}

void Gateway::Impl::onDeadline(CallId id)
{
    Call* call = this->find(id);
    if (!call)
        return;
    const bool isBeingStored = call->storeStarted && !call->storeEnded;
    this->failCall(*call, isBeingStored ? RejectionReason::JournalsUnavailable : RejectionReason::TimedOut);
}

void Gateway::Impl::refuseUnrouted(CallId id, const GatewayCall& call, RejectionReason reason)
{
    ++this->counts.refused;
    const bool mayRetry = reason != RejectionReason::NoRoute && reason != RejectionReason::Quarantined
        && reason != RejectionReason::KeyUnknown;
    const Milliseconds delay = this->keyRetryDelay(call.request, reason).value_or(this->limits.retryAfter);
    this->io.refuse(id, { reason, false, mayRetry ? delay : Milliseconds(0) });
    CallEnd end;
    end.request = call.request;
    end.program = call.program;
    end.outcome = "refused";
    end.reason = describe(reason);
    this->io.logEnd(end);
}

void Gateway::Impl::refuse(Call& call, RejectionReason reason)
{
    this->dropSend(call, true);
    CallRefusal refusal;
    refusal.reason = reason;
    refusal.mayHaveRun = call.runs > 0;
    const bool isFinal = reason == RejectionReason::BudgetSpent || reason == RejectionReason::UnknownTurn
        || reason == RejectionReason::TurnOwnerUnknown || reason == RejectionReason::StreamUnknown
        || reason == RejectionReason::StreamOutputUnknown || reason == RejectionReason::StreamVersionGone;
    if (!isFinal && !refusal.mayHaveRun)
        refusal.retryAfter = this->retryDelay(call, reason);
    ++this->counts.refused;
    this->io.refuse(call.id, refusal);
    this->finish(call, "refused", describe(reason));
}

void Gateway::Impl::failCall(Call& call, RejectionReason reason)
{
    if (!call.hasAnswerBegun) {
        this->refuse(call, reason);
        return;
    }
    this->dropSend(call, true);
    ++this->counts.broken;
    this->io.abortAnswer(call.id);
    this->finish(call, "broken", describe(reason));
}

/// Returns the unused tokens of the turn's claim to the program's budget.
void Gateway::Impl::settle(Call& call)
{
    if (!call.isClaimed)
        return;
    const ServiceConfig* service = call.table->service(call.service);
    const std::int64_t perEvent = service && service->engine ? service->engine->tokensPerEvent.value : 1;
    const TokenCount used(perEvent * static_cast<std::int64_t>(call.events));
    this->journals.settle(call.call.program, call.call.request, used, this->claimRetention(call));
    call.isClaimed = false;
}

void Gateway::Impl::finish(Call& call, std::string_view outcome, std::string_view reason)
{
    this->settle(call);
    this->dequeue(call);
    this->stopAwaiting(call);
    this->releaseToken(call);
    this->releaseAnswerMemory(call);
    if (retainsTurn(call))
        this->origins.forgetOutput(recordedTurn(call, call.call.request));
    this->timers.cancel(call.deadlineTimer);
    this->timers.cancel(call.stallTimer);
    this->timers.cancel(call.storeTimer);
    this->timers.cancel(call.processTimer);
    CallEnd end;
    end.request = call.call.request;
    end.program = call.call.program;
    if (call.organisation)
        end.organisation = call.organisation->id;
    end.isFarAboveShare = call.standing.isFarAboveShare;
    end.route = call.route->name;
    end.outcome = outcome;
    end.reason = reason;
    end.endpoint = call.endpoint.value;
    end.resumedRequest = call.call.resumedRequest;
    end.status = call.head ? call.head->status : 0;
    end.sends = call.sends;
    end.events = call.events;
    const auto since
        = [&call](TimePoint when) { return std::chrono::duration_cast<Milliseconds>(when - call.arrived); };
    end.duration = since(this->timers.now());
    end.waits = call.waits;
    if (call.firstSent)
        end.waited = since(*call.firstSent);
    if (call.firstEvent)
        end.firstEvent = since(*call.firstEvent);
    if (call.preparedAt)
        end.prepared = since(*call.preparedAt);
    if (call.storeStarted) {
        const TimePoint until = call.storeEnded.value_or(this->timers.now());
        end.stored = std::chrono::duration_cast<Milliseconds>(until - *call.storeStarted);
    }
    end.configVersion = call.table->config().version;
    end.bestChoice = call.bestChoice;
    if (call.bestChoice)
        end.bestLimit = this->permits.limitOf(call.bestChoice->endpoint);
    end.queued = this->queue.size();
    this->io.logEnd(end);
    this->calls.erase(call.id);
}

}
