#pragma once

#include "Rattandeck/entry.h"
#include "Rattandeck/sidecar.h"

#include <string>

/// Logs over spdlog: one line for each routing or placement decision, as text or as JSON lines.
namespace RattandeckApp {

struct LogSettings {
    /// "debug", "info", "warning" or "error".
    std::string level = "info";
    /// "text" or "json".
    std::string format = "text";
    /// File to append to; empty writes to standard error.
    std::string file;
};

/// Sets the process's log up. Returns false when the file can't be opened.
bool startLog(const LogSettings& settings, const std::string& process);

/// Thread safety: all of these may be called from any thread after `startLog`.
void logPlacement(const Rattandeck::PlacementDecision& decision);
void logAdmission(const Rattandeck::AdmissionDecision& decision);
void logEvent(const std::string& event, const std::string& detail);
void logError(const std::string& event, const std::string& detail);

/// JSON text of a decision, as in the log and in `rattandeckctl explain`.
std::string toJson(const Rattandeck::PlacementDecision& decision);

}
