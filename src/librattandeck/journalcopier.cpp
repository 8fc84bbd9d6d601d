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
        /// Turns that this journal has been asked for and has not answered.
        std::set<TurnId> requested;
    };

}

struct JournalCopier::Impl {
    explicit Impl(Io io)
        : io(std::move(io))
    {
    }

    Io io;
    std::map<NodeId, Source> sources;
    /// The turns that any journal has been asked for and has not answered.
    std::set<TurnId> inFlight;

    void advance();
    /// Returns whether all turns of the page have been copied.
    bool advance(const NodeId& node, Source& source);
    /// Allows other journals to be asked for the turns that this one has not answered.
    void release(Source& source);
};

bool JournalCopier::Impl::advance(const NodeId& node, Source& source)
{
    std::erase_if(source.missing, [this](const TurnId& turn) { return this->io.isKnown(turn); });
    if (source.missing.empty()) {
        this->release(source);
        return true;
    }
    if (!source.requested.empty())
        return false;
    TurnsRequest request;
    for (const TurnId& turn : source.missing) {
        if (request.turns.size() < batchSize && this->inFlight.insert(turn).second)
            request.turns.push_back(turn);
    }
    source.requested.insert(request.turns.begin(), request.turns.end());
    if (!request.turns.empty())
        this->io.requestTurns(node, request);
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

void JournalCopier::Impl::release(Source& source)
{
    for (const TurnId& turn : source.requested)
        this->inFlight.erase(turn);
    source.requested.clear();
}

JournalCopier::JournalCopier(Io io)
    : impl(std::make_unique<Impl>(std::move(io)))
{
}

JournalCopier::~JournalCopier() = default;

void JournalCopier::onPage(const NodeId& from, const CopyPage& page)
{
    this->onLinkDown(from);
    Source& source = this->impl->sources[from];
    source.page = page;
    source.missing = page.turns;
    this->impl->advance();
}

void JournalCopier::onTurns(const NodeId& from, const TurnsPage& page)
{
    const auto found = this->impl->sources.find(from);
    if (found == this->impl->sources.end())
        return;
    Source& source = found->second;
    // A turn that the page does not name stays requested: the journal may be unable to read it now.
    const auto settle = [this, &source](const TurnId& turn) {
        if (source.requested.erase(turn) > 0)
            this->impl->inFlight.erase(turn);
        std::erase(source.missing, turn);
    };
    for (const RetainedTurn& turn : page.turns)
        settle(turn.id);
    for (const TurnId& turn : page.expired)
        settle(turn);
    this->impl->advance();
}

void JournalCopier::onLinkDown(const NodeId& node)
{
    const auto found = this->impl->sources.find(node);
    if (found == this->impl->sources.end())
        return;
    this->impl->release(found->second);
    this->impl->sources.erase(found);
    this->impl->advance();
}

}
