#include "Rattandeck/streamorigins.h"

#include "Rattandeck/digest.h"
#include "Rattandeck/tickets.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace Rattandeck {

std::string_view describe(StreamOriginError error)
{
    switch (error) {
    case StreamOriginError::Unknown:
        return "unknown stream";
    case StreamOriginError::Unavailable:
        return "too few journals answered";
    case StreamOriginError::OutputUnknown:
        return "unknown output";
    }
    return "unknown";
}

std::vector<NodeId> originOrder(const std::vector<JournalMember>& members, const TurnId& request)
{
    const std::uint64_t key = hash64(request.value);
    std::vector<std::pair<std::uint64_t, NodeId>> ranked;
    ranked.reserve(members.size());
    for (const JournalMember& member : members)
        ranked.emplace_back(rendezvousWeight(key, member.node.value), member.node);
    std::ranges::sort(ranked, std::greater<>());
    std::vector<NodeId> order;
    order.reserve(ranked.size());
    for (auto& [hash, node] : ranked)
        order.push_back(std::move(node));
    return order;
}

// Table --------------------------------------------------------------------------------------------------------------

namespace {

    struct KnownOrigin {
        StreamOrigin origin;
        TimePoint expires;
    };

}

struct StreamOriginTable::Impl {
    TimerService& timers;
    StreamOriginLimits limits;
    std::unordered_map<TurnId, KnownOrigin> origins;
    /// The requests in `origins`, by the time at which they expire.
    std::set<std::pair<TimePoint, TurnId>> expiries;
    StreamOutputTable outputs;

    Impl(TimerService& timers, const StreamOriginLimits& limits)
        : timers(timers)
        , limits(limits)
        , outputs(timers, limits.outputs)
    {
    }

    void dropExpired()
    {
        const TimePoint now = this->timers.now();
        while (!this->expiries.empty()) {
            const auto first = this->expiries.begin();
            if (this->origins.size() <= this->limits.maxOrigins && first->first > now)
                return;
            this->origins.erase(first->second);
            this->expiries.erase(first);
        }
    }
};

StreamOriginTable::StreamOriginTable(TimerService& timers, StreamOriginLimits limits)
    : impl(std::make_unique<Impl>(timers, limits))
{
}

StreamOriginTable::~StreamOriginTable() = default;

void StreamOriginTable::put(const StreamBegun& begun)
{
    const Milliseconds retention = std::clamp(begun.retention, Milliseconds(0), this->impl->limits.maxRetention);
    const KnownOrigin known { begun.origin, this->impl->timers.now() + retention };
    if (this->impl->origins.emplace(begun.request, known).second)
        this->impl->expiries.emplace(known.expires, begun.request);
    this->impl->dropExpired();
}

std::optional<StreamOrigin> StreamOriginTable::find(const TurnId& request) const
{
    const auto found = this->impl->origins.find(request);
    if (found == this->impl->origins.end() || found->second.expires <= this->impl->timers.now())
        return std::nullopt;
    return found->second.origin;
}

std::size_t StreamOriginTable::size() const { return this->impl->origins.size(); }

const StreamOutputTable& StreamOriginTable::outputs() const { return this->impl->outputs; }

void StreamOriginTable::onMessage(const NodeId& from, const Message& message, const Send& send)
{
    if (const auto* begun = std::get_if<StreamBegun>(&message)) {
        this->put(*begun);
    } else if (const auto* passedOn = std::get_if<StreamPassedOn>(&message)) {
        this->impl->outputs.put(*passedOn);
    } else if (const auto* request = std::get_if<StreamOriginRequest>(&message)) {
        const auto origin = this->find(request->request);
        StreamOriginAnswer answer { request->ticket, origin.has_value(), origin.value_or(StreamOrigin()), false, {} };
        if (auto output = this->impl->outputs.find(request->request, request->lastEvent)) {
            answer.isOutputKnown = true;
            answer.output = std::move(*output);
        }
        send(from, answer);
    }
}

// Client -------------------------------------------------------------------------------------------------------------

namespace {

    struct Question {
        TurnId request;
        /// Empty if the output is not asked for.
        std::string lastEvent;
        StreamOriginClient::Done done;
        std::set<NodeId> asked;
        std::set<NodeId> awaited;
        std::uint32_t rounds = 0;
        /// Every journal that was asked has answered.
        bool areAllAnswered = true;
        /// What was learnt so far.
        std::optional<StreamOrigin> origin;
        std::optional<std::string> output;
        TimerId timer;
    };

}

struct StreamOriginClient::Impl : std::enable_shared_from_this<StreamOriginClient::Impl> {
    Impl(TimerService& timers, StreamOriginTable::Send send, StreamOriginLimits limits)
        : timers(timers)
        , send(std::move(send))
        , limits(limits)
        , own(timers, limits)
        , outputs(this->send)
        , lastTicket(limits.firstTicket.value_or(drawTicket()))
    {
    }

    TimerService& timers;
    StreamOriginTable::Send send;
    StreamOriginLimits limits;
    std::vector<JournalMember> members;
    std::map<NodeId, FailureDomain> links;
    /// Streams that this gateway began.
    StreamOriginTable own;
    StreamOutputSender outputs;
    std::map<JournalTicket, Question> questions;
    std::uint64_t lastTicket;

    std::vector<NodeId> nextJournals(const TurnId& request, const std::set<NodeId>& asked) const;
    void askMore(JournalTicket ticket);
    static StreamOriginError errorOf(const Question& question);
    void finish(JournalTicket ticket, tl::expected<KnownStream, StreamOriginError> outcome);
    void onAnswer(const NodeId& from, const StreamOriginAnswer& answer);
};

/// The next `copies` linked members in the order of a stream, of which the second is in another failure domain than the
/// first if there is one.
std::vector<NodeId> StreamOriginClient::Impl::nextJournals(const TurnId& request, const std::set<NodeId>& asked) const
{
    std::vector<NodeId> order = originOrder(this->members, request);
    std::erase_if(order, [&](const NodeId& node) { return asked.contains(node) || !this->links.contains(node); });
    if (order.empty())
        return order;
    const FailureDomain& first = this->links.at(order.front());
    const auto other
        = std::find_if(order.begin(), order.end(), [&](const NodeId& node) { return this->links.at(node) != first; });
    if (other != order.end())
        std::rotate(order.begin() + 1, other, other + 1);
    order.resize(std::min(order.size(), this->limits.copies));
    return order;
}

/// Begins the next round of a question, or ends it.
void StreamOriginClient::Impl::askMore(JournalTicket ticket)
{
    Question& question = this->questions.at(ticket);
    this->timers.cancel(question.timer);
    question.areAllAnswered = question.areAllAnswered && question.awaited.empty();
    if (question.rounds < this->limits.rounds) {
        ++question.rounds;
        for (const NodeId& node : this->nextJournals(question.request, question.asked)) {
            question.asked.insert(node);
            if (this->send(node, StreamOriginRequest { ticket, question.request, question.lastEvent }))
                question.awaited.insert(node);
        }
    } else {
        question.awaited.clear();
    }
    if (question.awaited.empty()) {
        this->finish(ticket, tl::unexpected(errorOf(question)));
        return;
    }
    question.timer = this->timers.subscribeAfter(this->limits.roundTimeout, [weak = this->weak_from_this(), ticket] {
        if (const auto self = weak.lock())
            self->askMore(ticket);
    });
}

/// Why a question is given up.
StreamOriginError StreamOriginClient::Impl::errorOf(const Question& question)
{
    if (!question.areAllAnswered || question.asked.empty())
        return StreamOriginError::Unavailable;
    return question.origin ? StreamOriginError::OutputUnknown : StreamOriginError::Unknown;
}

void StreamOriginClient::Impl::finish(JournalTicket ticket, tl::expected<KnownStream, StreamOriginError> outcome)
{
    const auto found = this->questions.find(ticket);
    const Question question = std::move(found->second);
    this->questions.erase(found);
    this->timers.cancel(question.timer);
    question.done(std::move(outcome));
}

void StreamOriginClient::Impl::onAnswer(const NodeId& from, const StreamOriginAnswer& answer)
{
    const auto found = this->questions.find(answer.ticket);
    if (found == this->questions.end())
        return;
    Question& question = found->second;
    if (answer.isKnown && !question.origin)
        question.origin = answer.origin;
    if (answer.isOutputKnown)
        question.output = answer.output;
    if (question.origin && (question.output || question.lastEvent.empty())) {
        this->finish(answer.ticket, KnownStream { *question.origin, question.output.value_or(std::string()) });
        return;
    }
    if (question.awaited.erase(from) > 0 && question.awaited.empty())
        this->askMore(answer.ticket);
}

StreamOriginClient::StreamOriginClient(TimerService& timers, StreamOriginTable::Send send, StreamOriginLimits limits)
    : impl(std::make_shared<Impl>(timers, std::move(send), limits))
{
}

StreamOriginClient::~StreamOriginClient() = default;

void StreamOriginClient::setMembers(const std::vector<JournalMember>& members) { this->impl->members = members; }

void StreamOriginClient::onLinkUp(const NodeId& journal, const FailureDomain& domain)
{
    this->impl->links[journal] = domain;
}

void StreamOriginClient::onLinkDown(const NodeId& journal)
{
    this->impl->links.erase(journal);
    this->impl->outputs.onLinkDown(journal);
    std::vector<JournalTicket> unanswered;
    for (auto& [ticket, question] : this->impl->questions) {
        if (question.awaited.erase(journal) == 0)
            continue;
        question.areAllAnswered = false;
        if (question.awaited.empty())
            unanswered.push_back(ticket);
    }
    for (const JournalTicket ticket : unanswered) {
        if (this->impl->questions.contains(ticket))
            this->impl->askMore(ticket);
    }
}

void StreamOriginClient::onMessage(const NodeId& from, const Message& message)
{
    if (const auto* answer = std::get_if<StreamOriginAnswer>(&message))
        this->impl->onAnswer(from, *answer);
}

void StreamOriginClient::record(const StreamBegun& begun)
{
    this->impl->own.put(begun);
    for (const NodeId& node : this->impl->nextJournals(begun.request, {}))
        this->impl->send(node, begun);
}

void StreamOriginClient::recordOutput(const StreamOutput& output)
{
    this->impl->outputs.send(output, this->impl->nextJournals(output.stream, {}));
}

void StreamOriginClient::forgetOutput(const TurnId& request) { this->impl->outputs.forget(request); }

void StreamOriginClient::find(const TurnId& request, const std::string& lastEvent, Done done)
{
    auto known = this->impl->own.find(request);
    if (known && lastEvent.empty()) {
        done(KnownStream { std::move(*known), {} });
        return;
    }
    const JournalTicket ticket(++this->impl->lastTicket);
    Question& question = this->impl->questions[ticket];
    question.request = request;
    question.lastEvent = lastEvent;
    question.origin = std::move(known);
    question.done = std::move(done);
    this->impl->askMore(ticket);
}

}
