#include "gatewayimpl.h"

#include <algorithm>

/// Memory that answers hold while they are relayed. A single answer is bounded by itself (`GatewayLimits::maxEvent` and
/// others), but many that never end would still fill the machine, and end the calls of all callers with the process.
namespace Rattandeck {

static std::size_t heldBytes(const GatewayCallState& call)
{
    return call.body.capacity() + call.output.capacity() + call.retained.output.capacity() + call.splitter.heldBytes();
}

void Gateway::Impl::boundAnswerMemory(Call& call)
{
    const std::size_t held = heldBytes(call);
    this->answerBytes = this->answerBytes - call.answerBytes + held;
    call.answerBytes = held;
    if (this->answerBytes <= this->limits.maxAnswerBytes)
        return;
    // An answer without a send is complete, and is being stored. The one whose bytes have come is open.
    Call* largest = &call;
    for (const auto& [id, other] : this->calls) {
        if (other->send.value != 0 && other->answerBytes > largest->answerBytes)
            largest = other.get();
    }
    this->onSendInterrupted(*largest, SendFailureCause::TooLarge);
}

void Gateway::Impl::releaseAnswerMemory(const Call& call) { this->answerBytes -= call.answerBytes; }

}
