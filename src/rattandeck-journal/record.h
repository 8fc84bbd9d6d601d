#pragma once

#include "Rattandeck/journalmessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// What a journal writes to its disk.
using JournalRecord = std::variant<Rattandeck::SettleClaim, Rattandeck::RetainedTurn, Rattandeck::CrashReports>;

/// Codes a record in a compact form that is read fast: a journal is of no use before it has read them all.
std::string encodeRecord(const JournalRecord& record);
/// Nothing for bytes that are no record of this version.
std::optional<JournalRecord> decodeRecord(std::string_view bytes);
