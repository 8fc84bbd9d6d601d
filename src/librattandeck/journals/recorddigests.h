#pragma once

#include "Rattandeck/journalmessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Rattandeck {

/// Identifies a record by a 128-bit hash of its kind and id, the same at all journals. The lowest bit of `low` is not
/// part of the hash: it is set for a settled claim.
struct RecordName {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// Whether the names are those of the same record, settled or not.
    bool hasSameId(const RecordName& other) const
    {
        return this->high == other.high && (this->low | 1U) == (other.low | 1U);
    }
    bool isSettled() const { return (this->low & 1U) != 0; }
};

constexpr std::size_t codedRecordNameBytes = 16;

RecordName nameOf(const TurnId& turn);
RecordName nameOf(const BudgetId& budget, const TokenClaim& claim);
RecordName nameOf(const CrashReport& crash);

struct ClaimReference {
    const BudgetId* budget = nullptr;
    const TokenClaim* claim = nullptr;
    bool operator==(const ClaimReference&) const = default;
};
/// A record of the state that the index belongs to.
using RecordReference = std::variant<const TurnId*, ClaimReference, const CrashReport*>;

/// Index of a journal's records by name, for finding the differences between two journals without transferring their
/// records: the names are divided into buckets, and each bucket has a digest that does not depend on the order in which
/// records were added. Two journals compare the digests and then the names in the buckets that differ. This is
/// anti-entropy with hash trees as in Dynamo (DeCandia et al., SOSP 2007), with a tree of one level.
///
/// The hashes are not cryptographic: they don't protect against ids that were forged to collide.
///
/// Thread safety: not synchronised.
class RecordDigests {
public:
    RecordDigests();

    /// Precondition: the record has not been added. It must stay at its address until it is removed.
    void add(const RecordName& name, const RecordReference& record);
    /// Precondition: the record was added with this name.
    void remove(const RecordName& name, const RecordReference& record);

    /// The digests of all buckets, coded for `CopyRequest`.
    std::string digests() const;
    /// Sets `names` and the fields on buckets of a page: all names in the buckets from `firstBucket` on whose
    /// digests differ from those of the other journal. A page ends with the bucket that reaches `maxNames`. All buckets
    /// count as different when the other journal divides its records differently.
    void compare(std::string_view otherDigests, std::uint32_t firstBucket, std::size_t maxNames, CopyPage& page) const;
    /// Those of the coded names that this journal lacks. A settled claim is lacking here while it is not settled here.
    std::string lackingNames(std::string_view names) const;
    /// The records with these coded names, in the state that they have here; unknown ones are omitted.
    std::vector<RecordReference> find(std::string_view names) const;

private:
    struct Record {
        RecordName name;
        RecordReference reference;
    };
    struct Bucket {
        std::uint64_t digest = 0;
        std::vector<Record> records;
    };

    Bucket& bucketOf(const RecordName& name);
    const Record* find(const RecordName& name) const;

    std::vector<Bucket> buckets;
};

}
