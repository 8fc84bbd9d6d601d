#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// What streams have brought so far, for turns that are retained.
///
/// A turn whose stream breaks off may be finished by another request, through any gateway, which relays only the events
/// after the last one that the caller has. The turn is retained with all of its events, so the gateway that relays the
/// rest has to know those before. Therefore each gateway tells a few journals, the same that know the stream's origin
/// (`streamorigins.h`), the data of each event before it passes the event on. Journals keep it in memory until the
/// caller's deadline: a turn whose first events are lost can't be finished, only begun anew.
///
/// Several requests may relay the same stream, one after the other, and the one before may still relay when the next
/// one begins. So journals keep the output of each request by itself, beginning with that of the requests before it.
namespace Rattandeck {

struct StreamOutputLimits {
    /// Bound on the time for which an output is kept, whatever the caller's deadline.
    Milliseconds maxRetention { 300000 };
    /// Bound on the outputs that one process keeps, in bytes of text. Beyond it, those that expire first are dropped.
    std::size_t maxBytes = 16UL * 1024 * 1024;
};

/// Outputs that one journal knows.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class StreamOutputTable {
public:
    explicit StreamOutputTable(TimerService& timers, StreamOutputLimits limits = {});
    ~StreamOutputTable();
    StreamOutputTable(const StreamOutputTable&) = delete;
    StreamOutputTable& operator=(const StreamOutputTable&) = delete;

    /// Ignores what is known already, and text that does not follow on what is known.
    void put(const StreamPassedOn& passedOn);
    /// The output of a stream up to and including an event. If several requests have brought that event, the one counts
    /// that began last: a caller resumes a stream only after the request before has ended for it.
    std::optional<std::string> find(const TurnId& stream, const std::string& lastEvent) const;
    /// Bytes of text that are kept.
    std::size_t bytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// The output of a call so far. Views are valid for the call of the function that takes this.
struct StreamOutput {
    /// As in `StreamPassedOn`.
    TurnId stream;
    TurnId request;
    std::string_view text;
    std::span<const StreamMark> events;
    Milliseconds retention { 0 };
};

/// The part of a gateway: tells journals what they don't know yet.
///
/// Thread safety: not synchronised.
class StreamOutputSender {
public:
    /// Returns false when no link to the journal is up.
    using Send = std::function<bool(const NodeId& node, const Message& message)>;
    explicit StreamOutputSender(Send send);
    ~StreamOutputSender();
    StreamOutputSender(const StreamOutputSender&) = delete;
    StreamOutputSender& operator=(const StreamOutputSender&) = delete;

    /// Sends each journal what it was not sent yet of the output.
    void send(const StreamOutput& output, const std::vector<NodeId>& journals);
    /// The request has ended.
    void forget(const TurnId& request);
    /// What was sent to this journal last may not have arrived, and it may have been restarted.
    void onLinkDown(const NodeId& journal);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
