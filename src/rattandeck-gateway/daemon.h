#pragma once

#include "Rattandeck/gateway.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/daemon.h"

struct GatewaySettings {
    RattandeckApp::InstanceSettings instance;
    std::string callersListen = "127.0.0.1:0";
    /// Where the balancer asks whether this instance takes calls.
    std::string readyListen = "127.0.0.1:0";
    std::int64_t maxConnections = 3000;
    /// Addresses at which journals may be found.
    std::vector<std::string> seeds;
    std::string objectStore;
    /// Disks that may be lost at once.
    std::int64_t toleratedLosses = 1;
    Rattandeck::GatewayLimits limits;
    /// How long a planned stop may take.
    Rattandeck::Milliseconds stopLimit { 8000 };
};

void bindSettings(RattandeckApp::SettingsSchema& schema, GatewaySettings& settings);

/// Runs until a planned stop. Returns the exit code. `source` is read again on SIGHUP and when its file changes.
int runDaemon(const GatewaySettings& settings, const RattandeckApp::SettingsSource& source);
