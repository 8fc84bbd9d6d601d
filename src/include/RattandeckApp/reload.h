#pragma once

#include "Rattandeck/timer.h"
#include "RattandeckApp/commandline.h"

#include <functional>
#include <set>
#include <string>

namespace RattandeckApp {

/// Tells one state of a file from the next; empty when there is none.
std::string fileStamp(const std::string& path);
/// One line for each mistake.
void logRejectedSettings(const std::string& reason, const std::vector<SettingsError>& errors);
/// One line that names the keys which are applied now and those that need a restart.
void logChangedSettings(
    const std::string& reason, const std::vector<std::string>& changed, const std::set<std::string>& appliedKeys);

/// Reads a program's settings again when it is told to, or when their file has changed.
///
/// What can't be read, or breaks a check, changes nothing: the old settings stay in force, and every mistake is a log
/// line.
///
/// Thread safety: use from the thread that advances the timers. Precondition: the timers outlive this object.
template <typename Settings> class SettingsReload {
public:
    struct Parts {
        SettingsSource source;
        /// Binds a schema to settings.
        void (*bind)(SettingsSchema& schema, Settings& settings) = nullptr;
        /// Keys that `apply` takes over; a change of another one is logged as one that needs a restart.
        std::set<std::string> appliedKeys;
        std::function<void(const Settings&)> apply;
    };

    /// `present` are the settings that the program started with.
    SettingsReload(Rattandeck::TimerService& timers, Parts parts, const Settings& present)
        : timers(timers)
        , parts(std::move(parts))
        , present(present)
        , stamp(fileStamp(this->parts.source.path))
    {
    }

    /// Looks at the file every second from now on.
    void watch()
    {
        constexpr std::chrono::seconds interval { 1 };
        this->timers.subscribeAfter(interval, [this] {
            if (fileStamp(this->parts.source.path) != this->stamp)
                this->reload("file changed");
            this->watch();
        });
    }

    /// Reads the settings now. `reason` is for the log.
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
