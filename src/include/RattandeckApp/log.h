#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Logs over spdlog: one line for each routing or placement decision, as text or as JSON lines.
namespace RattandeckApp {

struct LogSettings {
    /// "debug", "info", "warning" or "error".
    std::string level = "info";
    /// "text" or "json".
    std::string format = "text";
    /// File to append to; empty writes to standard error, "-" to standard output. Standard output is written in
    /// batches (`flushLog`) and never waited for.
    std::string file;
    /// Bytes a second that go to standard output; what is beyond is dropped and counted.
    std::int64_t bytesPerSecond = 128 * 1024;
};

/// A named value of a structured line.
struct LogField {
    const char* name;
    std::variant<std::int64_t, double, std::string> value;
};

/// Sets the process's log up. Returns false when the file can't be opened.
bool startLog(const LogSettings& settings, const std::string& process);

/// Takes over level and byte rate of other settings while the process runs; the rest needs a restart.
void adjustLog(const LogSettings& settings);

/// Thread safety: all of these may be called from any thread after `startLog`.
void logPlacement(const Rattandeck::PlacementDecision& decision);
void logAdmission(const Rattandeck::AdmissionDecision& decision);
void logEvent(const std::string& event, const std::string& detail);
void logError(const std::string& event, const std::string& detail);
void logFields(const char* event, const std::vector<LogField>& fields);

/// Hands buffered lines to standard output as far as it takes them now.
void flushLog();
/// Lines dropped because standard output took too little or the byte rate was reached.
std::uint64_t droppedLogLines();

/// JSON text of a decision, as in the log and in `rattandeckctl explain`.
std::string toJson(const Rattandeck::PlacementDecision& decision);

}
