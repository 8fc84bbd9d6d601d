#include "Rattandeck/journalstate.h"

#include "recorddigests.h"

#include <map>
#include <unordered_map>

namespace Rattandeck {

/// Limit on the length of a chain, as a guard against cycles.
constexpr std::size_t maxChainLength = 4096;

namespace {

    struct TurnEntry {
        TurnId id;
        TurnId previous;
        Milliseconds retention { 0 };
        std::size_t textBytes = 0;
        /// The turn with its text, until the turn is known to be on disk.
        std::unique_ptr<RetainedTurn> inMemory;
        DiskLocation location;
        TimePoint expires;
        std::uint64_t sequence = 0;

        std::size_t bytes() const { return this->id.value.size() + this->previous.value.size() + this->textBytes; }
    };

    struct ClaimEntry {
        TokenClaim claim;
        std::uint64_t sequence = 0;
    };

    struct BudgetEntry {
        BudgetId id;
        std::map<TurnId, ClaimEntry> claims;
        Milliseconds retention { 0 };
        TimePoint expires;
    };

    struct ClaimInBudget {
        BudgetEntry* budget = nullptr;
        ClaimEntry* claim = nullptr;
    };

    std::size_t textBytesOf(const RetainedTurn& turn) { return turn.input.size() + turn.output.size(); }

}

struct JournalState::Impl {
    TurnReader reader;
    std::unordered_map<TurnId, TurnEntry> turns;
    std::unordered_map<BudgetId, BudgetEntry> budgets;
    /// Records by sequence number, which is assigned when a record is added, changed or written again.
    std::map<std::uint64_t, TurnEntry*> turnsBySequence;
    std::map<std::uint64_t, ClaimInBudget> claimsBySequence;
    std::map<std::pair<Fingerprint, std::string>, std::pair<CrashReport, TimePoint>> crashes;
    /// Built at the first comparison and kept up to date from then on, so that a start reads its disk without them.
    std::optional<RecordDigests> digests;
    std::uint64_t lastSequence = 0;
    std::size_t bytes = 0;
    std::size_t bytesInMemory = 0;

    /// Adds the turn if it is unknown. Returns its entry and whether it is new.
    std::pair<TurnEntry*, bool> add(const TurnId& id, const TurnId& previous, std::size_t textBytes);
    void holdInMemory(TurnEntry& known, const RetainedTurn& turn);
    void releaseFromMemory(TurnEntry& known);
    std::optional<RetainedTurn> read(const TurnEntry& known) const;
    void renewChain(const TurnId& first, TimePoint expires);
    void renumber(TurnEntry& turn);
    void renumber(const ClaimInBudget& claim);
    RecordDigests& buildDigests();
    /// Updates the digests after a claim was added or settled.
    void digest(const BudgetId& budget, const TokenClaim& claim, bool isNew);
    void removeDigests(const BudgetEntry& budget);
    void addTo(CopyPage& page, const RecordReference& record) const;
};

JournalState::JournalState(TurnReader reader)
    : impl(std::make_unique<Impl>())
{
    this->impl->reader = std::move(reader);
}

JournalState::~JournalState() = default;

// Applying -----------------------------------------------------------------------------------------------------------

bool JournalState::apply(const SettleClaim& claim, TimePoint now)
{
    BudgetEntry& budget = this->impl->budgets[claim.budget];
    budget.id = claim.budget;
    budget.retention = std::max(budget.retention, claim.retention);
    budget.expires = std::max(budget.expires, now + budget.retention);
    const auto [entry, isNew] = budget.claims.try_emplace(claim.claim.turn, ClaimEntry { claim.claim, 0 });
    ClaimEntry& known = entry->second;
    const bool isSettlement = !known.claim.isSettled && claim.claim.isSettled;
    if (!isNew && !isSettlement)
        return false;
    known.claim = claim.claim;
    this->impl->digest(budget.id, known.claim, isNew);
    // Each claim has a sequence number of its own, by which the segment is found that holds it. A changed one gets a
    // new number, so that journals that copy from a cursor receive the change.
    this->impl->renumber({ &budget, &known });
    return true;
}

void JournalState::Impl::renumber(TurnEntry& turn)
{
    this->turnsBySequence.erase(turn.sequence);
    turn.sequence = ++this->lastSequence;
    this->turnsBySequence.emplace(turn.sequence, &turn);
}

void JournalState::Impl::renumber(const ClaimInBudget& claim)
{
    this->claimsBySequence.erase(claim.claim->sequence);
    claim.claim->sequence = ++this->lastSequence;
    this->claimsBySequence.emplace(claim.claim->sequence, claim);
}

bool JournalState::hasThrough(std::uint64_t sequence) const
{
    const auto isWithin
        = [sequence](const auto& records) { return !records.empty() && records.begin()->first <= sequence; };
    return isWithin(this->impl->claimsBySequence) || isWithin(this->impl->turnsBySequence);
}

CopyPage JournalState::takeOldest(std::uint64_t sequence, std::size_t maxRecords)
{
    CopyPage taken;
    auto& claims = this->impl->claimsBySequence;
    while (taken.claims.size() < maxRecords && !claims.empty() && claims.begin()->first <= sequence) {
        const ClaimInBudget oldest = claims.begin()->second;
        taken.claims.push_back({ oldest.budget->id, oldest.claim->claim, oldest.budget->retention });
        this->impl->renumber(oldest);
    }
    auto& turns = this->impl->turnsBySequence;
    while (
        taken.claims.size() + taken.turns.size() < maxRecords && !turns.empty() && turns.begin()->first <= sequence) {
        TurnEntry& oldest = *turns.begin()->second;
        taken.turns.push_back(oldest.id);
        this->impl->renumber(oldest);
    }
    return taken;
}

std::pair<TurnEntry*, bool> JournalState::Impl::add(const TurnId& id, const TurnId& previous, std::size_t textBytes)
{
    const auto [entry, isNew] = this->turns.try_emplace(id);
    TurnEntry& known = entry->second;
    if (isNew) {
        known.id = id;
        known.previous = previous;
        known.textBytes = textBytes;
        this->renumber(known);
        if (this->digests)
            this->digests->add(nameOf(known.id), &known.id);
        this->bytes += known.bytes();
    }
    return { &known, isNew };
}

bool JournalState::apply(const RetainedTurn& turn, TimePoint now)
{
    const auto [known, isNew] = this->impl->add(turn.id, turn.previous, textBytesOf(turn));
    if (isNew) {
        known->retention = turn.retention;
        this->impl->holdInMemory(*known, turn);
    }
    this->impl->renewChain(turn.id, now + turn.retention);
    return isNew;
}

bool JournalState::apply(const TurnOnDisk& turn, TimePoint now)
{
    const auto [known, isNew] = this->impl->add(turn.id, turn.previous, turn.textBytes);
    known->retention = turn.retention;
    this->onWritten(turn.id, turn.location);
    this->impl->renewChain(turn.id, now + turn.retention);
    return isNew;
}

void JournalState::onWritten(const TurnId& turn, const DiskLocation& location)
{
    const auto found = this->impl->turns.find(turn);
    if (found == this->impl->turns.end())
        return;
    found->second.location = location;
    this->impl->releaseFromMemory(found->second);
}

void JournalState::Impl::holdInMemory(TurnEntry& known, const RetainedTurn& turn)
{
    if (known.inMemory)
        return;
    known.inMemory = std::make_unique<RetainedTurn>(turn);
    this->bytesInMemory += known.bytes();
}

void JournalState::Impl::releaseFromMemory(TurnEntry& known)
{
    if (!known.inMemory)
        return;
    known.inMemory.reset();
    this->bytesInMemory -= known.bytes();
}

std::optional<RetainedTurn> JournalState::Impl::read(const TurnEntry& known) const
{
    if (known.inMemory)
        return *known.inMemory;
    auto turn = this->reader ? this->reader(known.location) : std::nullopt;
    // The location may have been reused for another record.
    if (!turn || turn->id != known.id)
        return std::nullopt;
    return turn;
}

bool JournalState::apply(const CrashReport& report, TimePoint now)
{
    const std::pair entry { report, now + report.retention };
    const auto [known, isNew] = this->impl->crashes.insert_or_assign(std::pair(report.request, report.crash), entry);
    if (isNew && this->impl->digests)
        this->impl->digests->add(nameOf(report), &known->second.first);
    return isNew;
}

void JournalState::Impl::renewChain(const TurnId& first, TimePoint expires)
{
    TurnId id = first;
    for (std::size_t length = 0; length < maxChainLength && !id.value.empty(); ++length) {
        const auto found = this->turns.find(id);
        if (found == this->turns.end() || found->second.expires >= expires)
            return;
        found->second.expires = expires;
        id = found->second.previous;
    }
}

// Reading ------------------------------------------------------------------------------------------------------------

std::vector<TokenClaim> JournalState::claims(const BudgetId& budget) const
{
    std::vector<TokenClaim> claims;
    const auto found = this->impl->budgets.find(budget);
    if (found == this->impl->budgets.end())
        return claims;
    claims.reserve(found->second.claims.size());
    for (const auto& [turn, known] : found->second.claims)
        claims.push_back(known.claim);
    return claims;
}

std::optional<ChainTranscript> JournalState::transcript(const TurnId& turn) const
{
    std::vector<RetainedTurn> chain;
    std::size_t size = 0;
    TurnId id = turn;
    while (!id.value.empty() && chain.size() < maxChainLength) {
        const auto found = this->impl->turns.find(id);
        auto read = found == this->impl->turns.end() ? std::nullopt : this->impl->read(found->second);
        if (!read)
            break;
        size += textBytesOf(*read);
        id = read->previous;
        chain.push_back(std::move(*read));
    }
    if (chain.empty())
        return std::nullopt;
    ChainTranscript transcript;
    transcript.missing = id;
    transcript.text.reserve(size);
    for (auto each = chain.rbegin(); each != chain.rend(); ++each) {
        transcript.text += each->input;
        transcript.text += each->output;
    }
    return transcript;
}

std::vector<CrashReport> JournalState::crashes() const
{
    std::vector<CrashReport> reports;
    for (const auto& [name, entry] : this->impl->crashes)
        reports.push_back(entry.first);
    return reports;
}

std::size_t JournalState::bytes() const { return this->impl->bytes; }

std::size_t JournalState::bytesInMemory() const { return this->impl->bytesInMemory; }

std::uint64_t JournalState::lastSequence() const { return this->impl->lastSequence; }

std::size_t JournalState::turnCount() const { return this->impl->turns.size(); }

std::size_t JournalState::budgetCount() const { return this->impl->budgets.size(); }

// Expiry -------------------------------------------------------------------------------------------------------------

void JournalState::expire(TimePoint now)
{
    std::erase_if(this->impl->crashes, [this, now](const auto& entry) {
        const auto& [report, expires] = entry.second;
        if (expires <= now && this->impl->digests)
            this->impl->digests->remove(nameOf(report), &report);
        return expires <= now;
    });
    for (auto each = this->impl->turns.begin(); each != this->impl->turns.end();) {
        if (each->second.expires > now) {
            ++each;
            continue;
        }
        this->impl->releaseFromMemory(each->second);
        this->impl->bytes -= each->second.bytes();
        this->impl->turnsBySequence.erase(each->second.sequence);
        if (this->impl->digests)
            this->impl->digests->remove(nameOf(each->second.id), &each->second.id);
        each = this->impl->turns.erase(each);
    }
    for (auto each = this->impl->budgets.begin(); each != this->impl->budgets.end();) {
        if (each->second.expires > now) {
            ++each;
            continue;
        }
        for (const auto& [turn, known] : each->second.claims)
            this->impl->claimsBySequence.erase(known.sequence);
        this->impl->removeDigests(each->second);
        each = this->impl->budgets.erase(each);
    }
}

// Copying ------------------------------------------------------------------------------------------------------------

bool JournalState::hasTurn(const TurnId& turn) const { return this->impl->turns.contains(turn); }

TurnId JournalState::firstUnknown(const TurnId& turn) const
{
    TurnId id = turn;
    for (std::size_t length = 0; length < maxChainLength && !id.value.empty(); ++length) {
        const auto found = this->impl->turns.find(id);
        if (found == this->impl->turns.end())
            return id;
        id = found->second.previous;
    }
    return {};
}

std::optional<RetainedTurn> JournalState::turn(const TurnId& turn) const
{
    const auto found = this->impl->turns.find(turn);
    if (found == this->impl->turns.end())
        return std::nullopt;
    return this->impl->read(found->second);
}

std::optional<RetainedTurn> JournalState::loadIntoMemory(const TurnId& turn)
{
    auto read = this->turn(turn);
    if (read)
        this->impl->holdInMemory(this->impl->turns.at(turn), *read);
    return read;
}

CopyPage JournalState::page(std::uint64_t cursor, std::size_t maxRecords) const
{
    CopyPage page;
    page.cursor = cursor;
    auto turn = this->impl->turnsBySequence.upper_bound(cursor);
    auto claim = this->impl->claimsBySequence.upper_bound(cursor);
    while (page.turns.size() + page.claims.size() < maxRecords) {
        const bool hasTurn = turn != this->impl->turnsBySequence.end();
        const bool hasClaim = claim != this->impl->claimsBySequence.end();
        if (!hasTurn && !hasClaim) {
            page.isLast = true;
            page.crashes = this->crashes();
            break;
        }
        if (hasTurn && (!hasClaim || turn->first < claim->first)) {
            page.cursor = turn->first;
            page.turns.push_back(turn->second->id);
            page.turnBytes.push_back(turn->second->bytes());
            ++turn;
            continue;
        }
        page.cursor = claim->first;
        const ClaimInBudget& known = claim->second;
        page.claims.push_back({ known.budget->id, known.claim->claim, known.budget->retention });
        ++claim;
    }
    return page;
}

// Comparing ----------------------------------------------------------------------------------------------------------

void JournalState::Impl::digest(const BudgetId& budget, const TokenClaim& claim, bool isNew)
{
    if (!this->digests)
        return;
    const RecordName name = nameOf(budget, claim);
    const ClaimReference record { &budget, &claim };
    if (!isNew)
        this->digests->remove(name, record);
    this->digests->add(name, record);
}

void JournalState::Impl::removeDigests(const BudgetEntry& budget)
{
    if (!this->digests)
        return;
    for (const auto& [turn, known] : budget.claims)
        this->digests->remove(nameOf(budget.id, known.claim), ClaimReference { &budget.id, &known.claim });
}

RecordDigests& JournalState::Impl::buildDigests()
{
    if (this->digests)
        return *this->digests;
    this->digests.emplace();
    for (const auto& [id, turn] : this->turns)
        this->digests->add(nameOf(id), &turn.id);
    for (const auto& [id, budget] : this->budgets) {
        for (const auto& [turn, known] : budget.claims)
            this->digests->add(nameOf(budget.id, known.claim), ClaimReference { &budget.id, &known.claim });
    }
    for (const auto& [id, crash] : this->crashes)
        this->digests->add(nameOf(crash.first), &crash.first);
    return *this->digests;
}

void JournalState::Impl::addTo(CopyPage& page, const RecordReference& record) const
{
    if (const auto* turn = std::get_if<const TurnId*>(&record))
        page.turns.push_back(**turn);
    else if (const auto* claim = std::get_if<ClaimReference>(&record))
        page.claims.push_back({ *claim->budget, *claim->claim, this->budgets.at(*claim->budget).retention });
    else if (const auto* crash = std::get_if<const CrashReport*>(&record))
        page.crashes.push_back(**crash);
}

std::string JournalState::digests() const { return this->impl->buildDigests().digests(); }

CopyPage JournalState::compare(const std::string& otherDigests, std::uint32_t firstBucket, std::size_t maxNames) const
{
    CopyPage page;
    page.isComparison = true;
    this->impl->buildDigests().compare(otherDigests, firstBucket, maxNames, page);
    return page;
}

std::string JournalState::lackingNames(std::string_view names) const
{
    return this->impl->buildDigests().lackingNames(names);
}

CopyPage JournalState::recordsOf(std::string_view names) const
{
    CopyPage page;
    page.isComparison = true;
    for (const RecordReference& record : this->impl->buildDigests().find(names))
        this->impl->addTo(page, record);
    return page;
}

}
