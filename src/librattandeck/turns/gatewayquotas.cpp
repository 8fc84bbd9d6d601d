#include "gatewayimpl.h"

/// Calls of organisations with an allowance: tokens, waits for them, and refusals.
namespace Rattandeck {

QuotaHolder::Io Gateway::Impl::quotaIo()
{
    QuotaHolder::Io quotaIo;
    quotaIo.send
        = [this](const NodeId& journal, const Message& message) { return this->io.sendToJournal(journal, message); };
    quotaIo.onOutcome = [this](QuotaHolder::WaiterId waiter, const QuotaHolder::Outcome& outcome) {
        this->onToken(CallId(waiter), outcome);
    };
    return quotaIo;
}

bool Gateway::Impl::isMetered(const Call& call) { return call.organisation && call.organisation->allowance; }

bool Gateway::Impl::prepareToken(Call& call)
{
    // Whether the turn is the first one of its program is known when its tokens are claimed.
    const bool isKindUnknown = call.isClaimPending && call.call.previousTurn.value.empty();
    if (!isKindUnknown)
        return call.isQuotaAsked || this->acquireToken(call);
    if (const auto refusal = this->quotas.refusal(call.organisation->id)) {
        this->refuseForQuota(call, *refusal);
        return false;
    }
    return true;
}

bool Gateway::Impl::acquireToken(Call& call)
{
    call.isQuotaAsked = true;
    const QuotaKind kind = call.isFirstTurn && call.runs == 0 ? QuotaKind::FirstTurn : QuotaKind::Call;
    const auto outcome
        = this->quotas.acquire(call.organisation->id, *call.organisation->allowance, kind, call.id.value);
    if (!outcome) {
        this->refuseForQuota(call, outcome.error());
        return false;
    }
    call.quotaToken = *outcome;
    call.isQuotaPending = !call.quotaToken.has_value();
    return true;
}

void Gateway::Impl::onToken(CallId id, const QuotaHolder::Outcome& outcome)
{
    Call* call = this->find(id);
    if (!call)
        return;
    if (!outcome) {
        this->refuseForQuota(*call, outcome.error());
        return;
    }
    call->quotaToken = *outcome;
    call->isQuotaPending = false;
    if (!this->isPreparing(*call))
        this->onPrepared(*call);
}

void Gateway::Impl::refuseForQuota(Call& call, const QuotaRefusal& refusal)
{
    call.quotaRefusal = refusal;
    this->failCall(call, refusal.isUnavailable ? RejectionReason::JournalsUnavailable : RejectionReason::AllowanceUsed);
}

bool Gateway::Impl::renewToken(Call& call)
{
    if (call.runs > 0) {
        // The call has used its token. Further runs are few, so that they are not refused for the lack of another one.
        call.quotaToken = this->quotas.tryTake(call.organisation->id);
        return true;
    }
    if (call.quotaToken && this->quotas.isValid(*call.quotaToken))
        return true;
    this->releaseToken(call);
    call.isQuotaPending = true;
    return this->acquireToken(call) && !call.isQuotaPending;
}

void Gateway::Impl::releaseToken(Call& call)
{
    if (!isMetered(call))
        return;
    this->quotas.cancel(call.organisation->id, call.id.value);
    if (call.quotaToken && call.runs == 0)
        this->quotas.giveBack(call.organisation->id, *call.quotaToken);
    call.quotaToken.reset();
}

}
