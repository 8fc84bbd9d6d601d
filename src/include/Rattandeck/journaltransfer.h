#pragma once

#include "Rattandeck/journalmessages.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Rattandeck {

/// Transfers to a journal the records of other journals that it lacks, in steps that `JournalMembership` requests page
/// by page: it compares digests of all records with the source, then requests only the records that it lacks. The cost
/// is in proportion to the records that differ, beside a constant for the digests.
///
/// A round is complete when this journal has stored every record that the source held when it made its first answer; so
/// the round counts for the epoch of the set that the source knew then. An earlier version of the source answers with
/// pages of all its records, which are passed on as they are.
///
/// Thread safety: not synchronised. The functions in `Io` are called from within the member functions.
class JournalTransfer {
public:
    struct Io {
        /// See the functions of `JournalState`.
        std::function<std::string()> digests;
        std::function<std::string(std::string_view)> lackingNames;
        std::function<bool(const NodeId&, const CopyRequest&)> send;
    };

    explicit JournalTransfer(Io io);

    /// Requests the next step for a page that `JournalMembership` requests. Returns false when no link is up.
    bool requestPage(const NodeId& source, const CopyRequest& request);
    /// Returns whether the records of the page are to be stored; false when it answers an earlier step. Marks the page
    /// for `onStored`.
    bool accept(const NodeId& source, CopyPage& page);
    /// The records of an accepted page, including the turns that it lists, and all records stored before are durable.
    /// Returns the progress to report to `JournalMembership`, if any.
    std::optional<CopyPage> onStored(const NodeId& source, const CopyPage& page);
    void onLinkDown(const NodeId& source);

private:
    struct Progress {
        std::uint64_t round = 0;
        /// The source compares; it is not of an earlier version.
        bool isComparing = false;
        /// The epoch of the set that the source knew when it made its first answer.
        Epoch epoch;
        std::uint32_t nextBucket = 0;
        bool areAllCompared = false;
        /// The source has named records, so it can't tell whether this journal has them.
        bool hasDifference = false;
        /// Names that are still to be requested if they are lacking then.
        std::string lacking;
        /// Names that have been requested.
        std::string requested;
        /// Identifies the step under way. Answers to earlier steps bear others.
        std::uint64_t ticket = 0;
    };

    CopyRequest nextStep(Progress& progress) const;
    std::string takeLacking(Progress& progress) const;
    void startStep(Progress& progress);
    bool acceptComparison(const NodeId& source, Progress& progress, CopyPage& page);

    Io io;
    std::uint64_t lastTicket = 0;
    std::map<NodeId, Progress> sources;
};

}
