#pragma once

#include "Rattandeck/messages.h"
#include "Rattandeck/streamoutputs.h"
#include "Rattandeck/timer.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

/// Which service and software version a stream began at, so that its caller can resume it through any gateway.
///
/// The gateway that begins a stream tells a few journals, chosen by rendezvous hashing of the request's id, before it
/// passes on the first event. The gateway at which the caller resumes the stream asks the same journals. So what a
/// stream costs doesn't depend on the number of gateways or journals, and the origin outlives the gateway that began
/// it. Journals keep origins in memory alone: a stream whose origin is lost can't go on.
namespace Rattandeck {

struct StreamOriginLimits {
    /// Journals that are told of a stream.
    std::size_t copies = 2;
    /// Time after which further journals are asked. Each round asks `copies` of them.
    Milliseconds roundTimeout { 150 };
    /// Rounds until a question is given up.
    std::uint32_t rounds = 2;
    /// Bound on the time for which an origin is kept, whatever the caller's deadline.
    Milliseconds maxRetention { 300000 };
    /// Bound on the origins that one process keeps. Beyond it, those that expire first are dropped.
    std::size_t maxOrigins = 50000;
    /// Bounds on what journals keep of streams whose turns are retained.
    StreamOutputLimits outputs;
    /// As `JournalClientLimits::firstTicket`, for questions.
    std::optional<std::uint64_t> firstTicket;
};

/// Why the origin of a stream was not found.
enum class StreamOriginError {
    /// All journals that were asked have answered that they don't know the stream.
    Unknown,
    /// Some of them could not be asked, or have not answered in time.
    Unavailable,
    /// The origin is known, but not the output of the stream up to the event that was asked for.
    OutputUnknown,
};

std::string_view describe(StreamOriginError error);

/// Members in the order in which they are told of a stream: by rendezvous hashing (Thaler and Ravishankar, 1998).
std::vector<NodeId> originOrder(const std::vector<JournalMember>& members, const TurnId& request);

/// What is known of a stream that a caller resumes.
struct KnownStream {
    StreamOrigin origin;
    /// The output of the stream up to the event after which it is resumed, if that was asked for.
    std::string output;
};

/// Origins and outputs that one process knows. Entries expire after their retention.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class StreamOriginTable {
public:
    explicit StreamOriginTable(TimerService& timers, StreamOriginLimits limits = {});
    ~StreamOriginTable();
    StreamOriginTable(const StreamOriginTable&) = delete;
    StreamOriginTable& operator=(const StreamOriginTable&) = delete;

    /// Ignored for a request that is known already: what a stream began at does not change.
    void put(const StreamBegun& begun);
    std::optional<StreamOrigin> find(const TurnId& request) const;
    std::size_t size() const;
    /// The outputs of streams, see `streamoutputs.h`.
    const StreamOutputTable& outputs() const;

    /// The part of a journal. Answers questions through `send`; ignores messages of other types.
    using Send = std::function<bool(const NodeId& node, const Message& message)>;
    void onMessage(const NodeId& from, const Message& message, const Send& send);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

/// The part of a gateway.
///
/// Thread safety: not synchronised; use from the thread that advances the timers.
class StreamOriginClient {
public:
    using Done = std::function<void(tl::expected<KnownStream, StreamOriginError>)>;

    StreamOriginClient(TimerService& timers, StreamOriginTable::Send send, StreamOriginLimits limits = {});
    ~StreamOriginClient();
    StreamOriginClient(const StreamOriginClient&) = delete;
    StreamOriginClient& operator=(const StreamOriginClient&) = delete;

    void setMembers(const std::vector<JournalMember>& members);
    void onLinkUp(const NodeId& journal, const FailureDomain& domain);
    /// Answers of this journal will not arrive.
    void onLinkDown(const NodeId& journal);
    /// Ignores messages of other types.
    void onMessage(const NodeId& from, const Message& message);

    /// Tells `copies` linked journals, in several failure domains if there are.
    void record(const StreamBegun& begun);
    /// Tells the same journals what a call is about to pass on, as far as they don't know it.
    void recordOutput(const StreamOutput& output);
    /// Nothing more will be recorded of this request's output.
    void forgetOutput(const TurnId& request);
    /// Finds what the stream that `request` began has to go on at, and, if `lastEvent` is set, its output up to that
    /// event. `done` is called once, possibly before this returns.
    void find(const TurnId& request, const std::string& lastEvent, Done done);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
