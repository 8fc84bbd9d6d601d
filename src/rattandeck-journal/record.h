#pragma once

#include "Rattandeck/journal.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Serialises a record in a compact binary format that is fast to read: a journal is not available before it has read
/// all its records.
std::string encodeRecord(const Rattandeck::JournalRecord& record);

/// Deserialises records. Can be reused for any number of records.
///
/// Thread safety: not synchronised.
class RecordDecoder {
public:
    RecordDecoder();
    ~RecordDecoder();

    /// Returns nothing for bytes that are not a record of the current version.
    std::optional<Rattandeck::JournalRecord> decode(std::string_view bytes);
    /// As `decode`, but skips the text of a turn. `location` is the location of the record.
    std::optional<Rattandeck::RecoveredRecord> decodeHead(
        std::string_view bytes, const Rattandeck::DiskLocation& location);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};
