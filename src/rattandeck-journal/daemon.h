#pragma once

#include "RattandeckApp/commandline.h"
#include "RattandeckApp/daemon.h"

struct JournalSettings {
    RattandeckApp::InstanceSettings instance;
    /// Addresses of other journals to contact at start-up.
    std::vector<std::string> seeds;
    std::string objectStore;
    std::string folder;
    /// Bound on the bytes in `folder`; 0 if there is none but the disk's.
    std::int64_t maxDiskBytes = 0;
    /// Disks that may be lost at the same time.
    std::int64_t toleratedLosses = 1;
};

void bindSettings(RattandeckApp::SettingsSchema& schema, JournalSettings& settings);

/// Runs until a planned stop. Returns the exit code. Reloads `source` on SIGHUP and when its file changes.
int runDaemon(const JournalSettings& settings, const RattandeckApp::SettingsSource& source);
