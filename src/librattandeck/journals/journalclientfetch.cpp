#include "journalclientimpl.h"

#include <algorithm>

/// Fetches of transcripts: which members are asked, and how a chain is put together of what they have.
namespace Rattandeck {

// Members that are asked ---------------------------------------------------------------------------------------------

void JournalClient::Impl::startFetch(JournalOperation fetch)
{
    fetch.awaited.clear();
    fetch.answered.clear();
    const JournalTicket ticket = this->nextTicket();
    fetch.request = FetchTurn { ticket, fetch.turn };
    this->start(ticket, std::move(fetch));
}

/// A fetch has waited for `hedgeDelay`: asks one more member if the budget allows it. Without a bound, the further
/// transcripts would keep a link full that is slow because it is full.
void JournalClient::Impl::hedge(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found == this->operations.end())
        return;
    if (this->hedgeBudget >= 1) {
        this->hedgeBudget -= 1;
        this->askMore(found->second, 1);
    }
    this->scheduleHedge(ticket, found->second);
}

/// The members in the order in which a fetch asks them: near ones first, beginning at a different one each time.
std::vector<NodeId> JournalClient::Impl::fetchOrder()
{
    std::vector<NodeId> order;
    std::vector<NodeId> remote;
    for (const JournalMember& member : this->set.members)
        (this->nearMembers.contains(member.node) ? order : remote).push_back(member.node);
    const std::size_t first = this->nextFirst++;
    for (std::vector<NodeId>* nodes : { &order, &remote }) {
        if (!nodes->empty())
            std::rotate(
                nodes->begin(), nodes->begin() + static_cast<std::ptrdiff_t>(first % nodes->size()), nodes->end());
    }
    order.insert(order.end(), remote.begin(), remote.end());
    return order;
}

/// Sends a fetch to `count` further members, as far as there are any with a link.
void JournalClient::Impl::askMore(JournalOperation& fetch, std::size_t count)
{
    for (const NodeId& node : this->fetchOrder()) {
        if (count == 0)
            return;
        if (!fetch.asked.insert(node).second || !this->send(node, fetch.request))
            continue;
        fetch.awaited.insert(node);
        --count;
    }
}

/// A member could not give the turn: asks as many further members as have been asked, since a quorum is needed to tell
/// that the turn is missing.
void JournalClient::Impl::askFurther(JournalTicket ticket)
{
    const auto found = this->operations.find(ticket);
    if (found != this->operations.end() && found->second.kind == JournalOperation::Kind::Fetch)
        this->askMore(found->second, std::max<std::size_t>(found->second.asked.size(), 1));
}

void JournalClient::Impl::scheduleHedge(JournalTicket ticket, JournalOperation& fetch)
{
    fetch.hedgeTimer = this->timers.subscribeAfter(this->limits.hedgeDelay, [weak = this->weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->hedge(ticket);
    });
}

/// The number of members that a fetch may still ask.
std::size_t JournalClient::Impl::unasked(const JournalOperation& operation) const
{
    if (operation.kind != JournalOperation::Kind::Fetch)
        return 0;
    const auto count = std::ranges::count_if(this->set.members,
        [&operation](const JournalMember& member) { return !operation.asked.contains(member.node); });
    return static_cast<std::size_t>(count);
}

// Answers ------------------------------------------------------------------------------------------------------------

void JournalClient::Impl::onFetched(const NodeId& from, const TurnFetched& answer)
{
    if (!this->recordAnswer(answer.ticket, from, answer.epoch))
        return;
    if (!answer.isFound) {
        this->askFurther(answer.ticket);
        this->evaluate(answer.ticket);
        return;
    }
    if (answer.missing.value.empty()) {
        const JournalOperation operation = this->finish(answer.ticket, std::nullopt);
        operation.fetchDone(answer.transcript + operation.suffix);
        return;
    }
    this->fetchMissingPrefix(answer.ticket, from, answer);
}

/// Ends a fetch, or goes on with it elsewhere, once the members that have been asked can't give the turn.
void JournalClient::Impl::evaluateFetch(JournalTicket ticket, const JournalOperation& operation)
{
    const std::size_t mayStillAnswer = operation.awaited.size() + this->unasked(operation);
    const std::size_t needed = this->quorumSize();
    // If a part of the chain was found, its earlier turns have been written as well, and no quorum can deny them.
    const bool isKnownToExist = !operation.incomplete.empty();
    const bool isDenied = operation.answered.size() >= needed;
    if (!isKnownToExist) {
        if (isDenied)
            this->fail(ticket, JournalError::NotFound);
        else if (operation.answered.size() + mayStillAnswer < needed)
            this->fail(ticket, JournalError::Unavailable);
        return;
    }
    const bool isExhausted = mayStillAnswer == 0 || (isDenied && !operation.suffix.empty());
    if (isExhausted && !this->fetchElsewhere(ticket))
        this->fail(ticket, JournalError::Unavailable);
}

/// A journal has only the end of a chain. Requests the missing beginning from all members.
void JournalClient::Impl::fetchMissingPrefix(JournalTicket ticket, const NodeId& from, const TurnFetched& answer)
{
    JournalOperation rest = this->extract(ticket);
    if (rest.suffix.empty())
        rest.incomplete.insert(from);
    rest.turn = answer.missing;
    rest.suffix = answer.transcript + rest.suffix;
    rest.asked.clear();
    this->startFetch(std::move(rest));
}

bool JournalClient::Impl::fetchElsewhere(JournalTicket ticket)
{
    const JournalOperation& known = this->operations.at(ticket);
    const bool isAnyLeft = std::ranges::any_of(
        this->set.members, [&known](const JournalMember& member) { return !known.incomplete.contains(member.node); });
    if (!isAnyLeft || known.suffix.empty())
        return false;
    JournalOperation whole = this->extract(ticket);
    whole.turn = whole.requested;
    whole.suffix.clear();
    whole.asked = whole.incomplete;
    this->startFetch(std::move(whole));
    return true;
}

}
