#pragma once

#include "Rattandeck/objects.h"
#include "RattandeckNet/address.h"

#include <optional>
#include <string>
#include <vector>

/// What an operator asked for, from the command line.
struct CommandOptions {
    std::optional<RattandeckNet::Address> objectApi;
    std::optional<RattandeckNet::Address> instanceList;
    /// Admin addresses of entries, for `explain` and dry runs: each knows the programs that it is the home of.
    std::vector<RattandeckNet::Address> entryAdmins;
    std::string file;
    bool dryRun = false;
    /// Replace objects whatever version they have.
    bool overwrite = false;
    Rattandeck::ObjectVersion version;
};

/// Each command prints its result and returns the program's exit code (`ExitCode`).
int checkFile(const CommandOptions& options);
int applyFile(const CommandOptions& options);
int diffFile(const CommandOptions& options);
int getObjects(const CommandOptions& options, const std::string& kind, const std::string& name);
int deleteObject(const CommandOptions& options, const std::string& kind, const std::string& name);
int watchObjects(const CommandOptions& options, const std::string& kind);
int explainProgram(const CommandOptions& options, const std::string& program);
/// Keeps new work off an endpoint instance, or lets it have some again.
int drainEndpoint(const CommandOptions& options, const std::string& node, bool admit);
