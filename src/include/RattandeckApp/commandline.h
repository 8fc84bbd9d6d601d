#pragma once

#include "RattandeckApp/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace RattandeckApp {

/// Exit codes of every program.
enum ExitCode {
    ExitSuccess = 0,
    /// The program ran and failed.
    ExitFailure = 1,
    /// The command line can't be understood.
    ExitUsage = 2,
    /// The settings are wrong; nothing was started.
    ExitSettings = 3,
    /// An address can't be listened on or reached.
    ExitUnavailable = 4,
    /// The object has another version than the one given; nothing was changed.
    ExitConflict = 5,
};

struct ProgramInfo {
    std::string name;
    /// What the program does, in a sentence.
    std::string summary;
};

/// Where a program's settings come from, so that they can be read again.
struct SettingsSource {
    /// Empty: there is no file.
    std::string path;
    /// Settings given on the command line, which go before the file's.
    std::vector<std::string> overrides;
};

/// Reads the settings of a source. Either every value is taken over, or all errors are returned.
tl::expected<void, std::vector<SettingsError>> loadSettings(SettingsSchema& schema, const SettingsSource& source);

/// Handles the options that every daemon has (`--settings FILE`, `--set KEY=VALUE`, `--check`, `--print-settings`,
/// `--help`, `--version`) and loads the settings into `schema`'s variables. Returns the exit code when the program has
/// nothing more to do. `source`, if given, receives where the settings came from.
std::optional<int> readCommandLine(
    int argc, char** argv, const ProgramInfo& program, SettingsSchema& schema, SettingsSource* source = nullptr);

}
