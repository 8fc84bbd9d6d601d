#include "Rattandeck/journalcopier.h"

#include <algorithm>
#include <map>
#include <set>

namespace Rattandeck {

/// Turns per request: enough to saturate a link, few enough not to delay other messages.
constexpr std::size_t batchSize = 12;

namespace {

    struct Source {
        CopyPage page;
        /// Turns of the page that are still to be copied.
        std::vector<TurnId> missing;
        /// Turns of the outstanding request to this journal.
        std::vector<TurnId> requested;
    };

}

struct JournalCopier::Impl {
    explicit Impl(Io io)
        : io(std::move(io))
    {
    }

    Io io;
    std::map<NodeId, Source> sources;
    std::set<TurnId> inFlight;

    void advance();
    /// Returns whether all turns of the page have been copied.
    bool advance(const NodeId& node, Source& source);
};

bool JournalCopier::Impl::advance(const NodeId& node, Source& source)
{
    if (!source.requested.empty())
        return false;
    std::erase_if(source.missing, [this](const TurnId& turn) { return this->io.isKnown(turn); });
    if (source.missing.empty())
        return true;
    for (const TurnId& turn : source.missing) {
        if (source.requested.size() < batchSize && this->inFlight.insert(turn).second)
            source.requested.push_back(turn);
    }
    if (!source.requested.empty())
        this->io.requestTurns(node, { source.requested });
    return false;
}

void JournalCopier::Impl::advance()
{
    std::vector<std::pair<NodeId, CopyPage>> copied;
    for (auto each = this->sources.begin(); each != this->sources.end();) {
        if (this->advance(each->first, each->second)) {
            copied.emplace_back(each->first, std::move(each->second.page));
            each = this->sources.erase(each);
        } else {
            ++each;
        }
    }
    for (const auto& [node, page] : copied)
        this->io.onCopied(node, page);
}

JournalCopier::JournalCopier(Io io)
    : impl(std::make_unique<Impl>(std::move(io)))
{
}

JournalCopier::~JournalCopier() = default;

void JournalCopier::onPage(const NodeId& from, const CopyPage& page)
{
    Source& source = this->impl->sources[from];
    source.page = page;
    source.missing = page.turns;
    this->impl->advance();
}

void JournalCopier::onTurns(const NodeId& from)
{
    const auto found = this->impl->sources.find(from);
    if (found == this->impl->sources.end())
        return;
    Source& source = found->second;
    for (const TurnId& turn : source.requested) {
        this->impl->inFlight.erase(turn);
        // A turn that the journal did not send has expired there.
        std::erase(source.missing, turn);
    }
    source.requested.clear();
    this->impl->advance();
}

void JournalCopier::onLinkDown(const NodeId& node)
{
    const auto found = this->impl->sources.find(node);
    if (found == this->impl->sources.end())
        return;
    for (const TurnId& turn : found->second.requested)
        this->impl->inFlight.erase(turn);
    this->impl->sources.erase(found);
    this->impl->advance();
}

}
