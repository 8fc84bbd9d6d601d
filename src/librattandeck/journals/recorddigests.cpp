#include "recorddigests.h"

#include "Rattandeck/digest.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace Rattandeck {

constexpr std::size_t bucketCount = 2048;
constexpr std::size_t codedNumberBytes = sizeof(std::uint64_t);
static_assert(std::has_single_bit(bucketCount));
static_assert(codedRecordNameBytes == 2 * codedNumberBytes);

namespace {

    constexpr std::uint64_t highSeed = 1;
    constexpr std::uint64_t lowSeed = 2;
    constexpr std::uint64_t digestSeed = 3;

    void appendNumber(std::string& text, std::uint64_t number)
    {
        for (std::size_t i = 0; i < codedNumberBytes; ++i)
            text += static_cast<char>(number >> (8 * i) & 0xffU);
    }

    std::uint64_t readNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        for (std::size_t i = codedNumberBytes; i-- > 0;)
            number = number << 8U | static_cast<unsigned char>(text[i]);
        return number;
    }

    void appendName(std::string& text, const RecordName& name)
    {
        appendNumber(text, name.high);
        appendNumber(text, name.low);
    }

    std::vector<RecordName> readNames(std::string_view text)
    {
        std::vector<RecordName> names;
        names.reserve(text.size() / codedRecordNameBytes);
        for (; text.size() >= codedRecordNameBytes; text.remove_prefix(codedRecordNameBytes))
            names.push_back({ readNumber(text), readNumber(text.substr(codedNumberBytes)) });
        return names;
    }

    RecordName makeName(char kind, std::string_view first, std::string_view second, bool isSettled)
    {
        std::string text(1, kind);
        appendNumber(text, first.size());
        text += first;
        text += second;
        const std::uint64_t low = hash64(text, lowSeed);
        return { hash64(text, highSeed), isSettled ? low | 1U : low & ~std::uint64_t { 1 } };
    }

    /// The part of a record in the digest of its bucket. A settlement changes it altogether, so that the settlements of
    /// two claims in one bucket can't cancel each other out.
    std::uint64_t contributionOf(const RecordName& name)
    {
        std::string text;
        appendName(text, name);
        return hash64(text, digestSeed);
    }

    std::size_t bucketIndex(const RecordName& name)
    {
        constexpr int bits = std::bit_width(bucketCount - 1);
        return name.high >> (std::numeric_limits<std::uint64_t>::digits - bits);
    }

}

RecordName nameOf(const TurnId& turn) { return makeName('t', turn.value, {}, false); }

RecordName nameOf(const BudgetId& budget, const TokenClaim& claim)
{
    return makeName('c', budget.value, claim.turn.value, claim.isSettled);
}

RecordName nameOf(const CrashReport& crash) { return makeName('x', crash.request.value, crash.crash, false); }

RecordDigests::RecordDigests()
    : buckets(bucketCount)
{
}

RecordDigests::Bucket& RecordDigests::bucketOf(const RecordName& name) { return this->buckets[bucketIndex(name)]; }

void RecordDigests::add(const RecordName& name, const RecordReference& record)
{
    Bucket& bucket = this->bucketOf(name);
    bucket.records.push_back({ name, record });
    bucket.digest += contributionOf(name);
}

void RecordDigests::remove(const RecordName& name, const RecordReference& record)
{
    Bucket& bucket = this->bucketOf(name);
    const auto found = std::ranges::find(bucket.records, record, &Record::reference);
    if (found == bucket.records.end())
        return;
    bucket.digest -= contributionOf(found->name);
    *found = bucket.records.back();
    bucket.records.pop_back();
}

std::string RecordDigests::digests() const
{
    std::string coded;
    coded.reserve(bucketCount * codedNumberBytes);
    for (const Bucket& bucket : this->buckets)
        appendNumber(coded, bucket.digest);
    return coded;
}

void RecordDigests::compare(
    std::string_view otherDigests, std::uint32_t firstBucket, std::size_t maxNames, CopyPage& page) const
{
    const bool isComparable = otherDigests.size() == bucketCount * codedNumberBytes;
    page.firstBucket = firstBucket;
    std::size_t index = firstBucket;
    for (; index < bucketCount && page.names.size() < maxNames * codedRecordNameBytes; ++index) {
        const Bucket& bucket = this->buckets[index];
        if (isComparable && readNumber(otherDigests.substr(index * codedNumberBytes)) == bucket.digest)
            continue;
        for (const Record& record : bucket.records)
            appendName(page.names, record.name);
    }
    page.nextBucket = static_cast<std::uint32_t>(index);
    page.areAllCompared = index >= bucketCount;
}

std::string RecordDigests::lackingNames(std::string_view names) const
{
    std::string lacking;
    for (const RecordName& name : readNames(names)) {
        const Record* record = this->find(name);
        if (!record || (name.isSettled() && !record->name.isSettled()))
            appendName(lacking, name);
    }
    return lacking;
}

std::vector<RecordReference> RecordDigests::find(std::string_view names) const
{
    std::vector<RecordReference> found;
    for (const RecordName& name : readNames(names)) {
        if (const Record* record = this->find(name))
            found.push_back(record->reference);
    }
    return found;
}

const RecordDigests::Record* RecordDigests::find(const RecordName& name) const
{
    const std::vector<Record>& records = this->buckets[bucketIndex(name)].records;
    const auto found
        = std::ranges::find_if(records, [&name](const Record& record) { return record.name.hasSameId(name); });
    return found == records.end() ? nullptr : &*found;
}

}
