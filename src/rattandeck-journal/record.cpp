#include "record.h"

#include <cereal/archives/binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <istream>
#include <ostream>
#include <streambuf>

// Fields ---------------------------------------------------------------------------------------------------------

namespace Rattandeck {

// cereal finds these functions by argument-dependent lookup.

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
    archive(report.request, report.crash, report.retention, report.round, report.isAnswer, report.isTrial);
}

template <typename Archive> void serialize(Archive& archive, CrashReports& crashes) { archive(crashes.reports); }

template <typename Archive> void serialize(Archive& archive, GossipItem& item)
{
    archive(item.topic, item.version, item.isRemoved, item.text);
}

template <typename Archive> void serialize(Archive& archive, GossipItems& news) { archive(news.items); }

}

// Streams --------------------------------------------------------------------------------------------------------

namespace {

/// To be increased when the fields of a record change.
constexpr char recordVersion = 2;

/// `FormerCrashes` are crash reports without rounds, answers and trials, which earlier versions wrote.
enum class RecordKind : std::uint8_t { Claim, Turn, FormerCrashes, News, Crashes };

class SpanReader : public std::streambuf {
public:
    void reset(std::string_view bytes)
    {
        // `setg` takes non-const pointers, although reading does not modify the bytes.
        char* begin = const_cast<char*>(bytes.data());
        this->setg(begin, begin, begin + bytes.size());
    }

    /// Skips bytes. Returns false, and skips none, when fewer are left.
    bool skip(std::uint64_t size)
    {
        if (size > static_cast<std::uint64_t>(this->egptr() - this->gptr()))
            return false;
        this->setg(this->eback(), this->gptr() + size, this->egptr());
        return true;
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

RecordKind kindOf(const Rattandeck::SettleClaim&) { return RecordKind::Claim; }
RecordKind kindOf(const Rattandeck::RetainedTurn&) { return RecordKind::Turn; }
RecordKind kindOf(const Rattandeck::CrashReports&) { return RecordKind::Crashes; }
RecordKind kindOf(const Rattandeck::GossipItems&) { return RecordKind::News; }

}

std::string encodeRecord(const Rattandeck::JournalRecord& record)
{
    std::string bytes(1, recordVersion);
    StringWriter writer(bytes);
    std::ostream stream(&writer);
    cereal::BinaryOutputArchive archive(stream);
    std::visit([&archive](const auto& fields) { archive(kindOf(fields), fields); }, record);
    return bytes;
}

// Decoder ------------------------------------------------------------------------------------------------------------

struct RecordDecoder::Impl {
    SpanReader reader;
    std::istream stream { &this->reader };
    cereal::BinaryInputArchive archive { this->stream };

    template <typename Record> Record read()
    {
        Record record;
        this->archive(record);
        return record;
    }

    /// Skips a text. Returns its length.
    std::size_t skipText()
    {
        cereal::size_type size = 0;
        this->archive(cereal::make_size_tag(size));
        if (!this->reader.skip(size))
            throw cereal::Exception("text is truncated");
        return size;
    }

    Rattandeck::TurnOnDisk readTurnHead(const Rattandeck::DiskLocation& location)
    {
        Rattandeck::TurnOnDisk turn;
        this->archive(turn.id, turn.previous);
        turn.textBytes = this->skipText();
        turn.textBytes += this->skipText();
        this->archive(turn.retention);
        turn.location = location;
        return turn;
    }

    Rattandeck::CrashReports readFormerCrashes()
    {
        Rattandeck::CrashReports crashes;
        cereal::size_type count = 0;
        this->archive(cereal::make_size_tag(count));
        for (cereal::size_type i = 0; i < count; ++i) {
            Rattandeck::CrashReport report;
            this->archive(report.request, report.crash, report.retention);
            crashes.reports.push_back(std::move(report));
        }
        return crashes;
    }

    /// Reads a record, using `readTurn` for turns.
    template <typename Result, typename ReadTurn>
    std::optional<Result> decode(std::string_view bytes, const ReadTurn& readTurn)
    {
        if (bytes.empty() || bytes.front() != recordVersion)
            return std::nullopt;
        this->reader.reset(bytes.substr(1));
        this->stream.clear();
        try {
            switch (this->read<RecordKind>()) {
            case RecordKind::Claim:
                return this->read<Rattandeck::SettleClaim>();
            case RecordKind::Turn:
                return readTurn();
            case RecordKind::FormerCrashes:
                return this->readFormerCrashes();
            case RecordKind::Crashes:
                return this->read<Rattandeck::CrashReports>();
            case RecordKind::News:
                return this->read<Rattandeck::GossipItems>();
            }
        } catch (const std::exception&) {
            // The bytes are truncated, or a length exceeds the available memory.
            return std::nullopt;
        }
        return std::nullopt;
    }
};

RecordDecoder::RecordDecoder()
    : impl(std::make_unique<Impl>())
{
}

RecordDecoder::~RecordDecoder() = default;

std::optional<Rattandeck::JournalRecord> RecordDecoder::decode(std::string_view bytes)
{
    return this->impl->decode<Rattandeck::JournalRecord>(
        bytes, [this] { return this->impl->read<Rattandeck::RetainedTurn>(); });
}

std::optional<Rattandeck::RecoveredRecord> RecordDecoder::decodeHead(
    std::string_view bytes, const Rattandeck::DiskLocation& location)
{
    return this->impl->decode<Rattandeck::RecoveredRecord>(
        bytes, [this, &location] { return this->impl->readTurnHead(location); });
}
