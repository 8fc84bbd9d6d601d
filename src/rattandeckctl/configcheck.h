#pragma once

#include <string>

struct ConfigCheckOptions {
    /// `text` or `json`.
    std::string format = "text";
};

/// Checks the spec of the platform's configuration object in the file `path`, prints the findings, and returns the
/// exit code: 0, 1 if there are findings that count, 2 if the file can't be read.
int checkConfiguration(const std::string& path, const ConfigCheckOptions& options);
