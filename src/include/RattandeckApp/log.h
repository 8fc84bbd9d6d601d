#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Logging based on spdlog: one line for each routing or placement decision, as text or as JSON lines.
namespace RattandeckApp {

struct LogSettings {
    /// "debug", "info", "warning" or "error".
    std::string level = "info";
    /// "text" or "json".
    std::string format = "text";
    /// File to append to. If empty, lines go to standard error; if "-", to standard output, which is written in batches
    /// (`flushLog`) and without blocking.
    std::string file;
    /// Maximum rate to standard output. Lines that exceed it are dropped and counted.
    std::int64_t bytesPerSecond = 128 * 1024;
};

/// A named value of a structured log line.
struct LogField {
    const char* name;
    std::variant<std::int64_t, double, std::string> value;
};

/// Sets up logging for the process. Returns false if the log file can't be opened.
bool startLog(const LogSettings& settings, const std::string& process);

/// Applies a changed level and byte rate to the running log. Changes of the other settings need a restart.
void adjustLog(const LogSettings& settings);

/// Thread safety: the log functions below may be called from any thread after `startLog`.
void logPlacement(const Rattandeck::PlacementDecision& decision);
void logAdmission(const Rattandeck::AdmissionDecision& decision);
void logEvent(const std::string& event, const std::string& detail);
void logError(const std::string& event, const std::string& detail);
void logFields(const char* event, const std::vector<LogField>& fields);

/// Writes as many buffered lines to standard output as it accepts without blocking.
void flushLog();
/// Number of lines dropped because the buffer for standard output was full or the byte rate was exceeded.
std::uint64_t droppedLogLines();

/// The decision as JSON, as it appears in the log and in `rattandeckctl explain`.
std::string toJson(const Rattandeck::PlacementDecision& decision);

}
