#include "Rattandeck/streamoutputs.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <unordered_map>

namespace Rattandeck {

// Table --------------------------------------------------------------------------------------------------------------

namespace {

    /// What one request has passed on, and what those before it had.
    struct RequestOutput {
        TurnId request;
        std::string text;
        std::vector<StreamMark> events;
    };

    struct StreamEntry {
        /// In the order in which the requests began.
        std::vector<RequestOutput> requests;
        TimePoint expires;
        std::size_t bytes = 0;
    };

}

struct StreamOutputTable::Impl {
    TimerService& timers;
    StreamOutputLimits limits;
    std::unordered_map<TurnId, StreamEntry> streams;
    /// The keys of `streams`, by the time at which they expire.
    std::set<std::pair<TimePoint, TurnId>> expiries;
    std::size_t bytes = 0;

    StreamEntry& renew(const TurnId& id, TimePoint expires);
    void dropExpired();
};

StreamEntry& StreamOutputTable::Impl::renew(const TurnId& id, TimePoint expires)
{
    const auto [entry, isNew] = this->streams.try_emplace(id);
    StreamEntry& stream = entry->second;
    if (!isNew && stream.expires >= expires)
        return stream;
    if (!isNew)
        this->expiries.erase({ stream.expires, id });
    stream.expires = expires;
    this->expiries.emplace(expires, id);
    return stream;
}

void StreamOutputTable::Impl::dropExpired()
{
    const TimePoint now = this->timers.now();
    while (!this->expiries.empty()) {
        const auto first = this->expiries.begin();
        if (this->bytes <= this->limits.maxBytes && first->first > now)
            return;
        const auto stream = this->streams.find(first->second);
        this->bytes -= stream->second.bytes;
        this->streams.erase(stream);
        this->expiries.erase(first);
    }
}

StreamOutputTable::StreamOutputTable(TimerService& timers, StreamOutputLimits limits)
    : impl(std::make_unique<Impl>(Impl { timers, limits, {}, {}, 0 }))
{
}

StreamOutputTable::~StreamOutputTable() = default;

/// Appends what the output lacks. Returns the number of bytes that were added.
static std::size_t append(RequestOutput& output, const StreamPassedOn& passedOn)
{
    const std::size_t known = output.text.size();
    if (passedOn.offset > known || passedOn.offset + passedOn.text.size() <= known)
        return 0;
    output.text.append(passedOn.text, known - passedOn.offset);
    std::ranges::copy_if(passedOn.events, std::back_inserter(output.events),
        [&](const StreamMark& mark) { return mark.end > known && mark.end <= output.text.size(); });
    return output.text.size() - known;
}

void StreamOutputTable::put(const StreamPassedOn& passedOn)
{
    const Milliseconds retention = std::clamp(passedOn.retention, Milliseconds(0), this->impl->limits.maxRetention);
    StreamEntry& stream = this->impl->renew(passedOn.stream, this->impl->timers.now() + retention);
    auto output = std::ranges::find(stream.requests, passedOn.request, &RequestOutput::request);
    if (output == stream.requests.end())
        output = stream.requests.insert(output, RequestOutput { passedOn.request, {}, {} });
    const std::size_t added = append(*output, passedOn);
    stream.bytes += added;
    this->impl->bytes += added;
    this->impl->dropExpired();
}

std::optional<std::string> StreamOutputTable::find(const TurnId& stream, const std::string& lastEvent) const
{
    const auto found = this->impl->streams.find(stream);
    if (found == this->impl->streams.end() || found->second.expires <= this->impl->timers.now())
        return std::nullopt;
    const auto& requests = found->second.requests;
    for (auto output = requests.rbegin(); output != requests.rend(); ++output) {
        const auto mark = std::ranges::find(output->events, lastEvent, &StreamMark::event);
        if (mark != output->events.end())
            return output->text.substr(0, mark->end);
    }
    return std::nullopt;
}

std::size_t StreamOutputTable::bytes() const { return this->impl->bytes; }

// Sender -------------------------------------------------------------------------------------------------------------

struct StreamOutputSender::Impl {
    Send send;
    /// Bytes of the output that each journal was sent, by request.
    std::map<TurnId, std::map<NodeId, std::size_t>> sent;
};

StreamOutputSender::StreamOutputSender(Send send)
    : impl(std::make_unique<Impl>(Impl { std::move(send), {} }))
{
}

StreamOutputSender::~StreamOutputSender() = default;

/// The part of an output from `offset` on.
static StreamPassedOn restOf(const StreamOutput& output, std::size_t offset)
{
    StreamPassedOn rest { output.stream, output.request, offset, std::string(output.text.substr(offset)), {},
        output.retention };
    std::ranges::copy_if(
        output.events, std::back_inserter(rest.events), [offset](const StreamMark& mark) { return mark.end > offset; });
    return rest;
}

void StreamOutputSender::send(const StreamOutput& output, const std::vector<NodeId>& journals)
{
    if (output.text.empty())
        return;
    auto& sentTo = this->impl->sent[output.request];
    for (const NodeId& journal : journals) {
        std::size_t& offset = sentTo[journal];
        if (offset < output.text.size() && this->impl->send(journal, restOf(output, offset)))
            offset = output.text.size();
    }
}

void StreamOutputSender::forget(const TurnId& request) { this->impl->sent.erase(request); }

void StreamOutputSender::onLinkDown(const NodeId& journal)
{
    for (auto& [request, sentTo] : this->impl->sent)
        sentTo.erase(journal);
}

}
