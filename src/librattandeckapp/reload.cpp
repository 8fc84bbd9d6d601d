#include "RattandeckApp/reload.h"

#include "RattandeckApp/log.h"

#include <filesystem>

namespace RattandeckApp {

std::string fileStamp(const std::string& path)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    const auto size = std::filesystem::file_size(path, error);
    return error ? std::string() : std::to_string(time.time_since_epoch().count()) + "/" + std::to_string(size);
}

void logRejectedSettings(const std::string& reason, const std::vector<SettingsError>& errors)
{
    for (const SettingsError& error : errors)
        logError("settings rejected", reason + ": " + describe(error) + "; the previous settings stay in effect");
}

void logChangedSettings(
    const std::string& reason, const std::vector<std::string>& changed, const std::set<std::string>& appliedKeys)
{
    std::string applied;
    std::string needRestart;
    for (const std::string& key : changed) {
        std::string& list = appliedKeys.contains(key) ? applied : needRestart;
        list += (list.empty() ? "" : " ") + key;
    }
    logFields("settings read", { { "reason", reason }, { "applied", applied }, { "need_restart", needRestart } });
}

}
