#pragma once

#include "RattandeckApp/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace RattandeckApp {

/// Exit codes of every program.
enum ExitCode {
    ExitSuccess = 0,
    /// The program started and then failed.
    ExitFailure = 1,
    /// The command line is invalid.
    ExitUsage = 2,
    /// The settings are invalid; nothing was started.
    ExitSettings = 3,
    /// Listening on an address, or connecting to it, failed.
    ExitUnavailable = 4,
    /// The object's version differs from the expected one; nothing was changed.
    ExitConflict = 5,
};

struct ProgramInfo {
    std::string name;
    /// One sentence for the help text.
    std::string summary;
};

/// Sources of a program's settings, kept for reloading.
struct SettingsSource {
    /// Settings file; empty if there is none.
    std::string path;
    /// `KEY=VALUE` settings from the command line. They take precedence over the file.
    std::vector<std::string> overrides;
};

/// Loads the file, then the overrides one by one. Stops at the first source that has errors and returns all errors of
/// that source. None of its values is assigned, but those of the sources before it are.
tl::expected<void, std::vector<SettingsError>> loadSettings(SettingsSchema& schema, const SettingsSource& source);

/// Handles the options that every daemon has (`--settings FILE`, `--set KEY=VALUE`, `--check`, `--print-settings`,
/// `--help`, `--version`) and loads the settings into `schema`'s variables. Returns an exit code if the program is to
/// exit at once, and nothing if it is to run. `source`, if given, receives the sources of the settings.
std::optional<int> readCommandLine(
    int argc, char** argv, const ProgramInfo& program, SettingsSchema& schema, SettingsSource* source = nullptr);

}
