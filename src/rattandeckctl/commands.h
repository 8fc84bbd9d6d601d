#pragma once

#include "configcheck.h"
#include "Rattandeck/objects.h"
#include "RattandeckNet/address.h"

#include <optional>
#include <string>
#include <vector>

/// Options from the command line.
struct CommandOptions {
    std::optional<RattandeckNet::Address> objectApi;
    std::optional<RattandeckNet::Address> instanceList;
    /// Admin addresses of entries, for `explain` and dry runs. Each entry reports only the programs that it is home to.
    std::vector<RattandeckNet::Address> entryAdmins;
    std::string file;
    bool dryRun = false;
    /// Replace objects regardless of their stored version.
    bool overwrite = false;
    Rattandeck::ObjectVersion version;
    ConfigCheckOptions configCheck;
};

/// Each of these commands prints its result and returns the program's exit code (`ExitCode`).
int checkFile(const CommandOptions& options);
int applyFile(const CommandOptions& options);
int diffFile(const CommandOptions& options);
int getObjects(const CommandOptions& options, const std::string& kind, const std::string& name);
int deleteObject(const CommandOptions& options, const std::string& kind, const std::string& name);
int watchObjects(const CommandOptions& options, const std::string& kind);
int explainProgram(const CommandOptions& options, const std::string& program);
/// Stops new work from being placed on an endpoint instance, or admits it again if `admit` is set.
int drainEndpoint(const CommandOptions& options, const std::string& node, bool admit);
