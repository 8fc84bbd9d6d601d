#pragma once

#include "RattandeckNet/address.h"

#include <cstdint>
#include <optional>
#include <string>

struct ConfigCheckOptions {
    /// `text` or `json`.
    std::string format = "text";
    /// File with the spec in force, or `live` for the object in the platform's store; empty for no comparison.
    std::string against;
    /// The platform's store, for `live`, and for checks against its instances.
    std::optional<RattandeckNet::Address> store;
    /// Longest time that callers wait for an answer; 0 if unknown.
    std::int64_t deadlineMs = 0;
    /// Calls that one program makes; 0 if unknown.
    double programCalls = 0;
};

/// Checks the spec of the platform's configuration object in the file `path`, prints the findings, and returns the
/// exit code: 0, 1 if there are findings that count, 2 if the file or the version in force can't be read.
int checkConfiguration(const std::string& path, const ConfigCheckOptions& options);
