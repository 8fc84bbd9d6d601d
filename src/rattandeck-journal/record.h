#pragma once

#include "Rattandeck/journal.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Codes a record in a compact form that is read fast: a journal is of no use before it has read them all.
std::string encodeRecord(const Rattandeck::JournalRecord& record);

/// Reads records one after the other.
///
/// Thread safety: not synchronised.
class RecordDecoder {
public:
    RecordDecoder();
    ~RecordDecoder();

    /// Nothing for bytes that are no record of this version.
    std::optional<Rattandeck::JournalRecord> decode(std::string_view bytes);
    /// As `decode`, but passes over the text of a turn, whose record stands at `location`.
    std::optional<Rattandeck::FoundRecord> decodeHead(std::string_view bytes, const Rattandeck::DiskPlace& location);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};
