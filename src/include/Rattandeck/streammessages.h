#pragma once

#include "Rattandeck/journalmessages.h"

/// Messages about the origins of streams, see `streamorigins.h`, and about their output, see `streamoutputs.h`.
namespace Rattandeck {

/// What a stream has to go on at: events of different services or versions of their software don't fit together.
struct StreamOrigin {
    ServiceName service;
    SoftwareVersion version;
    bool operator==(const StreamOrigin&) const = default;
};

/// Gateway to journal: the request has brought its first event. Not answered.
struct StreamBegun {
    TurnId request;
    StreamOrigin origin;
    /// Time for which the caller may resume the stream.
    Milliseconds retention { 0 };
    bool operator==(const StreamBegun&) const = default;
};

/// An event of a stream, and where its data ends in the output of the stream's turn, in bytes.
struct StreamMark {
    std::string event;
    std::uint64_t end = 0;
    bool operator==(const StreamMark&) const = default;
};

/// Gateway to journal: output that a call is about to pass on to its caller. Not answered.
struct StreamPassedOn {
    /// The request that brought the first event of the stream.
    TurnId stream;
    /// The request that the output is passed on by: the same, or one that resumes the stream.
    TurnId request;
    /// Where `text` begins in the output of the stream's turn, in bytes.
    std::uint64_t offset = 0;
    /// The data of events, each followed by a line feed.
    std::string text;
    /// The events that end in `text`, in their order.
    std::vector<StreamMark> events;
    /// Time for which the caller may resume the stream.
    Milliseconds retention { 0 };
    bool operator==(const StreamPassedOn&) const = default;
};

/// Gateway to journal: asks for the origin of the stream that a request began.
struct StreamOriginRequest {
    JournalTicket ticket;
    TurnId request;
    /// If set, the output of the stream up to this event is asked for, too.
    std::string lastEvent;
    bool operator==(const StreamOriginRequest&) const = default;
};

struct StreamOriginAnswer {
    JournalTicket ticket;
    bool isKnown = false;
    StreamOrigin origin;
    /// Whether the output up to the event is known that was asked for.
    bool isOutputKnown = false;
    std::string output;
    bool operator==(const StreamOriginAnswer&) const = default;
};

}
