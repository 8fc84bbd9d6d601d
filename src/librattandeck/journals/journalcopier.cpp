#include "Rattandeck/journalcopier.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Rattandeck {

/// Bytes that are requested and not received, from all journals together. On a link, they are what another message may
/// have to wait for; on a long one, they are transferred once in each round trip.
constexpr std::uint64_t maxBytesInFlight { 256 * 1024 };
/// Bytes per request. A journal reads the turns of one request from its disk in one go.
constexpr std::uint64_t maxRequestBytes { 32 * 1024 };
/// Size of a turn from a journal of an older version, which doesn't tell it.
constexpr std::uint64_t assumedTurnBytes { 4096 };

namespace {

    struct ListedTurn {
        TurnId id;
        std::uint64_t bytes = 0;
    };

    struct Source {
        CopyPage page;
        /// Turns of the page that are still to be copied.
        std::vector<ListedTurn> missing;
        /// Turns that this journal has been asked for and has not answered, with their sizes.
        std::map<TurnId, std::uint64_t> requested;
        std::uint64_t requestedBytes = 0;
    };

    std::vector<ListedTurn> listedTurns(const CopyPage& page)
    {
        std::vector<ListedTurn> turns;
        for (std::size_t i = 0; i < page.turns.size(); ++i)
            turns.push_back({ page.turns[i], i < page.turnBytes.size() ? page.turnBytes[i] : assumedTurnBytes });
        return turns;
    }

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
    void requestMore(const NodeId& node, Source& source);
    /// Allows other journals to be asked for the turns that this one has not answered.
    void release(Source& source);
};

bool JournalCopier::Impl::advance(const NodeId& node, Source& source)
{
    std::erase_if(source.missing, [this](const ListedTurn& turn) { return this->io.isKnown(turn.id); });
    if (source.missing.empty()) {
        this->release(source);
        return true;
    }
    this->requestMore(node, source);
    return false;
}

/// Requests turns until the journal's share of the bytes in flight is used up.
void JournalCopier::Impl::requestMore(const NodeId& node, Source& source)
{
    const std::uint64_t maxBytes = maxBytesInFlight / this->sources.size();
    TurnsRequest request;
    std::uint64_t requestBytes = 0;
    const auto send = [this, &node, &request, &requestBytes] {
        if (!request.turns.empty())
            this->io.requestTurns(node, std::exchange(request, {}));
        requestBytes = 0;
    };
    for (const ListedTurn& turn : source.missing) {
        if (this->inFlight.contains(turn.id))
            continue;
        // A turn that is larger than the share is requested alone.
        if (!source.requested.empty() && source.requestedBytes + turn.bytes > maxBytes)
            break;
        if (requestBytes + turn.bytes > maxRequestBytes)
            send();
        this->inFlight.insert(turn.id);
        source.requested.emplace(turn.id, turn.bytes);
        source.requestedBytes += turn.bytes;
        request.turns.push_back(turn.id);
        requestBytes += turn.bytes;
    }
    send();
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
    for (const auto& [turn, bytes] : source.requested)
        this->inFlight.erase(turn);
    source.requested.clear();
    source.requestedBytes = 0;
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
    source.missing = listedTurns(page);
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
        const auto requested = source.requested.find(turn);
        if (requested != source.requested.end()) {
            source.requestedBytes -= requested->second;
            source.requested.erase(requested);
            this->impl->inFlight.erase(turn);
        }
        std::erase_if(source.missing, [&turn](const ListedTurn& listed) { return listed.id == turn; });
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
