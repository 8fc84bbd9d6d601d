#pragma once

#include "Rattandeck/timer.h"
#include "RattandeckApp/commandline.h"

#include <functional>
#include <set>
#include <string>

namespace RattandeckApp {

/// Modification time and size of a file, used to detect changes. Empty if the file can't be examined.
std::string fileStamp(const std::string& path);
/// Logs one line for each error.
void logRejectedSettings(const std::string& reason, const std::vector<SettingsError>& errors);
/// Logs one line that lists the keys applied now and the keys that need a restart.
void logChangedSettings(
    const std::string& reason, const std::vector<std::string>& changed, const std::set<std::string>& appliedKeys);

/// Reloads a program's settings on request or when the settings file has changed.
///
/// If the settings can't be read or are invalid, the previous settings stay in effect and each error is logged.
///
/// Thread safety: use from the thread that advances the timers. Precondition: `timers` outlives this object.
template <typename Settings> class SettingsReload {
public:
    struct Parts {
        SettingsSource source;
        /// Binds the schema's keys to `settings`.
        void (*bind)(SettingsSchema& schema, Settings& settings) = nullptr;
        /// Keys that `apply` applies at run time. Changes of other keys are logged as needing a restart.
        std::set<std::string> appliedKeys;
        std::function<void(const Settings&)> apply;
    };

    /// `present` holds the settings that the program started with.
    SettingsReload(Rattandeck::TimerService& timers, Parts parts, const Settings& present)
        : timers(timers)
        , parts(std::move(parts))
        , present(present)
        , stamp(fileStamp(this->parts.source.path))
    {
    }

    /// Checks the file for changes every second from now on.
    void watch()
    {
        constexpr std::chrono::seconds interval { 1 };
        this->timers.subscribeAfter(interval, [this] {
            if (fileStamp(this->parts.source.path) != this->stamp)
                this->reload("file changed");
            this->watch();
        });
    }

    /// Reloads the settings now. `reason` is written to the log.
    void reload(const std::string& reason)
    {
        this->stamp = fileStamp(this->parts.source.path);
        Settings fresh;
        SettingsSchema freshSchema;
        this->parts.bind(freshSchema, fresh);
        if (const auto loaded = loadSettings(freshSchema, this->parts.source); !loaded) {
            logRejectedSettings(reason, loaded.error());
            return;
        }
        SettingsSchema presentSchema;
        this->parts.bind(presentSchema, this->present);
        logChangedSettings(reason, freshSchema.differences(presentSchema), this->parts.appliedKeys);
        this->present = fresh;
        this->parts.apply(fresh);
    }

private:
    Rattandeck::TimerService& timers;
    Parts parts;
    Settings present;
    std::string stamp;
};

}
