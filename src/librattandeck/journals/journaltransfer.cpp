#include "Rattandeck/journaltransfer.h"

#include "Rattandeck/digest.h"

#include "recorddigests.h"

#include <algorithm>

namespace Rattandeck {

/// Records per request.
constexpr std::size_t requestedNames = 512;

JournalTransfer::JournalTransfer(Io io)
    : io(std::move(io))
{
}

// Requests -----------------------------------------------------------------------------------------------------------

bool JournalTransfer::requestPage(const NodeId& source, const CopyRequest& request)
{
    Progress& progress = this->sources[source];
    if (progress.round != request.round) {
        progress = {};
        progress.round = request.round;
    }
    CopyRequest step = this->nextStep(progress);
    // A source of an earlier version reads the cursor and ignores the digests.
    if (!progress.isComparing)
        step.cursor = request.cursor;
    return this->io.send(source, step);
}

CopyRequest JournalTransfer::nextStep(Progress& progress) const
{
    CopyRequest step;
    step.round = progress.round;
    step.cursor = progress.ticket;
    // A step is repeated until it has been answered.
    if (progress.requested.empty())
        progress.requested = this->takeLacking(progress);
    if (!progress.requested.empty()) {
        step.wanted = progress.requested;
    } else if (!progress.areAllCompared) {
        step.digests = this->io.digests();
        step.firstBucket = progress.nextBucket;
    } else {
        step.isCopied = true;
        step.copiedEpoch = progress.epoch;
    }
    return step;
}

/// Takes the next names that are still lacking: other sources may have sent the records of some.
std::string JournalTransfer::takeLacking(Progress& progress) const
{
    constexpr std::size_t maxBytes = requestedNames * codedRecordNameBytes;
    std::string names;
    while (names.size() < maxBytes && !progress.lacking.empty()) {
        const std::size_t bytes = std::min(maxBytes - names.size(), progress.lacking.size());
        const std::size_t start = progress.lacking.size() - bytes;
        names += this->io.lackingNames(std::string_view(progress.lacking).substr(start));
        progress.lacking.resize(start);
    }
    return names;
}

void JournalTransfer::startStep(Progress& progress) { progress.ticket = ++this->lastTicket; }

// Answers ------------------------------------------------------------------------------------------------------------

bool JournalTransfer::accept(const NodeId& source, CopyPage& page)
{
    const auto found = this->sources.find(source);
    if (found == this->sources.end() || found->second.round != page.round)
        return false;
    Progress& progress = found->second;
    if (!page.isComparison)
        return !progress.isComparing;
    if (page.nextBucket > 0)
        return this->acceptComparison(source, progress, page);
    return progress.isComparing && page.cursor == progress.ticket;
}

bool JournalTransfer::acceptComparison(const NodeId& source, Progress& progress, CopyPage& page)
{
    const bool isFirst = page.firstBucket == 0 && !progress.isComparing;
    const bool isNext = progress.isComparing && page.cursor == progress.ticket;
    if (!isFirst && !isNext)
        return false;
    if (isFirst)
        progress.epoch = page.epoch;
    progress.isComparing = true;
    progress.nextBucket = page.nextBucket;
    progress.areAllCompared = page.areAllCompared;
    progress.hasDifference = progress.hasDifference || !page.names.empty();
    progress.lacking = this->io.lackingNames(page.names);
    // Each source begins elsewhere, so that an emptied journal receives each record from one of them.
    const std::size_t count = progress.lacking.size() / codedRecordNameBytes;
    if (count > 0) {
        const std::size_t start = hash64(source.value) % count * codedRecordNameBytes;
        std::rotate(progress.lacking.begin(), progress.lacking.begin() + static_cast<std::ptrdiff_t>(start),
            progress.lacking.end());
    }
    this->startStep(progress);
    page.cursor = progress.ticket;
    return true;
}

std::optional<CopyPage> JournalTransfer::onStored(const NodeId& source, const CopyPage& page)
{
    if (!page.isComparison)
        return page;
    const auto found = this->sources.find(source);
    if (found == this->sources.end() || found->second.round != page.round || found->second.ticket != page.cursor)
        return std::nullopt;
    Progress& progress = found->second;
    CopyPage report;
    report.round = progress.round;
    report.epoch = progress.epoch;
    if (page.nextBucket > 0) {
        report.isLast = progress.areAllCompared && !progress.hasDifference;
    } else {
        report.isLast = progress.requested.empty();
        progress.requested.clear();
        this->startStep(progress);
    }
    // The next round with this source starts with a comparison.
    if (report.isLast)
        this->sources.erase(found);
    return report;
}

void JournalTransfer::onLinkDown(const NodeId& source) { this->sources.erase(source); }

}
