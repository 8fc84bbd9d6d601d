#include "record.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <ostream>
#include <streambuf>

// Fields ---------------------------------------------------------------------------------------------------------

namespace Rattandeck {

// Found by cereal through the namespace of its argument.

template <typename Archive, typename Tag, typename Rep> void serialize(Archive& archive, Strong<Tag, Rep>& strong)
{
    archive(strong.value);
}

template <typename Archive> void serialize(Archive& archive, TokenClaim& claim)
{
    archive(claim.turn, claim.tokens, claim.isSettled);
}

template <typename Archive> void serialize(Archive& archive, SettleClaim& claim)
{
    archive(claim.budget, claim.claim, claim.retention);
}

template <typename Archive> void serialize(Archive& archive, RetainedTurn& turn)
{
    archive(turn.id, turn.previous, turn.input, turn.output, turn.retention);
}

template <typename Archive> void serialize(Archive& archive, CrashReport& report)
{
    archive(report.request, report.crash, report.retention);
}

template <typename Archive> void serialize(Archive& archive, CrashReports& crashes) { archive(crashes.reports); }

}

// Streams --------------------------------------------------------------------------------------------------------

namespace {

/// Grows with the fields of a record. A later version reads what it knows.
constexpr char recordVersion = 1;

class SpanReader : public std::streambuf {
public:
    explicit SpanReader(std::string_view bytes)
    {
        // The interface of streams is not const, though reading changes nothing.
        char* begin = const_cast<char*>(bytes.data());
        this->setg(begin, begin, begin + bytes.size());
    }
};

class StringWriter : public std::streambuf {
public:
    explicit StringWriter(std::string& target)
        : target(target)
    {
    }

protected:
    std::streamsize xsputn(const char* bytes, std::streamsize size) override
    {
        this->target.append(bytes, static_cast<std::size_t>(size));
        return size;
    }
    int_type overflow(int_type byte) override
    {
        this->target += static_cast<char>(byte);
        return byte;
    }

private:
    std::string& target;
};

}

std::string encodeRecord(const Rattandeck::JournalRecord& record)
{
    std::string bytes(1, recordVersion);
    StringWriter writer(bytes);
    std::ostream stream(&writer);
    cereal::BinaryOutputArchive archive(stream);
    archive(record);
    return bytes;
}

std::optional<Rattandeck::JournalRecord> decodeRecord(std::string_view bytes)
{
    if (bytes.empty() || bytes.front() != recordVersion)
        return std::nullopt;
    SpanReader reader(bytes.substr(1));
    std::istream stream(&reader);
    Rattandeck::JournalRecord record;
    try {
        cereal::BinaryInputArchive archive(stream);
        archive(record);
    } catch (const std::exception&) {
        // Too short, or a length that memory can't hold.
        return std::nullopt;
    }
    return record;
}
