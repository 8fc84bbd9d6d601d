#pragma once

#include "Rattandeck/gateway.h"
#include "RattandeckApp/commandline.h"
#include "RattandeckApp/daemon.h"

struct GatewaySettings {
    RattandeckApp::InstanceSettings instance;
    std::string callersListen = "127.0.0.1:0";
    /// Address of the readiness check for the load balancer.
    std::string readyListen = "127.0.0.1:0";
    std::int64_t maxConnections = 3000;
    /// Addresses of journals to connect to while the journal set is unknown.
    std::vector<std::string> seeds;
    std::string objectStore;
    /// Number of journal disks that may be lost at the same time.
    std::int64_t toleratedLosses = 1;
    Rattandeck::GatewayLimits limits { .learnsEverywhere = false };
    /// Maximum duration of a planned stop.
    Rattandeck::Milliseconds stopLimit { 8000 };
};

void bindSettings(RattandeckApp::SettingsSchema& schema, GatewaySettings& settings);

/// Runs until a planned stop and returns the exit code. Settings are reloaded from `source` on SIGHUP and when its file
/// changes.
int runDaemon(const GatewaySettings& settings, const RattandeckApp::SettingsSource& source);
