#pragma once

#include "Rattandeck/journal.h"

#include <optional>
#include <string>
#include <string_view>

/// Codes a record in a compact form that is read fast: a journal is of no use before it has read them all.
std::string encodeRecord(const Rattandeck::JournalRecord& record);
/// Nothing for bytes that are no record of this version.
std::optional<Rattandeck::JournalRecord> decodeRecord(std::string_view bytes);
