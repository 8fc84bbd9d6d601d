#pragma once

#include "Rattandeck/sidecar.h"
#include "RattandeckApp/daemon.h"
#include "RattandeckApp/settings.h"

#include <cstdint>
#include <string>

/// Settings of `rattandeck-sidecar` as read from its file.
struct DaemonSettings {
    Rattandeck::SidecarSettings core;
    RattandeckApp::InstanceSettings instance;
    std::string service;
    std::string endpointKind = "engine";
    std::string endpointAddress;
    bool endpointChecksFence = false;
    std::int64_t initialConcurrency = 8;
    std::int64_t maxConcurrency = 64;
    std::int64_t queueLimit = 64;
    std::int64_t crashLimit = 2;
    std::int64_t cacheCapacity = 100000;
};

/// Binds the keys of the settings file to `settings`. Precondition: `settings` outlives `schema`.
void bindSettings(RattandeckApp::SettingsSchema& schema, DaemonSettings& settings);

/// Runs a sidecar until it is stopped by a signal. Returns the program's exit code.
int runDaemon(const DaemonSettings& settings);
