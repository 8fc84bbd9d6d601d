#pragma once

#include "Rattandeck/entry.h"
#include "RattandeckApp/daemon.h"
#include "RattandeckApp/settings.h"

#include <cstdint>
#include <string>
#include <vector>

/// Settings of `rattandeck-entry`, read from its settings file.
struct DaemonSettings {
    Rattandeck::EntrySettings core;
    RattandeckApp::InstanceSettings instance;
    std::string callersListen = "127.0.0.1:0";
    std::string objectApi;
    std::string instanceList;
    Rattandeck::Milliseconds instanceListInterval { 1000 };
    std::int64_t shardCount = 64;
    std::int64_t crashLimit = 2;
    std::int64_t seed = 1;
    std::int64_t maxConnections = 1024;
    std::int64_t maxBodyBytes = 4194304;
    std::int64_t decisionsKept = 1000;
};

/// Binds the keys of the settings file to `settings`. Precondition: `settings` outlives `schema`.
void bindSettings(RattandeckApp::SettingsSchema& schema, DaemonSettings& settings);

/// Runs an entry until it is stopped by a signal. Returns the exit code of the program.
int runDaemon(const DaemonSettings& settings);
