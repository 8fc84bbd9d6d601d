#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>

/// Compares ways to keep what a stream began at, by the number of journals that are told of it: the core of
/// `Rattandeck/streamorigins.h` on simulated links, whose messages arrive at once.
namespace RattandeckBench {

struct OriginWaySpec {
    int journals = 3;
    /// Journals that are told of a stream; 0: none, only the gateway that began the stream knows.
    std::size_t copies = 2;
    /// Journals that are lost together with the gateway that began the streams.
    int lostJournals = 0;
    /// The lost journals are those of one failure domain of three, instead of ones drawn by lot.
    bool isDomainLost = false;
};

struct OriginWayResult {
    /// Share of the streams that are resumed at another gateway whose origin is found.
    double known = 0;
    /// Messages and coded bytes of each stream, and messages of each question with its answers.
    double messagesPerStream = 0;
    double bytesPerStream = 0;
    double messagesPerQuestion = 0;
};

/// Equal arguments give equal results.
OriginWayResult playOriginWay(const OriginWaySpec& spec, std::uint64_t seed);

/// Prints a table of all ways, for 3 to 119 journals.
void printOriginWays(std::ostream& out);

}
