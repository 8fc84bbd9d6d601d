#include "metadata.h"

#include "platform/objectcodec.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

using namespace Rattandeck;
using Json = nlohmann::json;

namespace {

constexpr const char* fileName = "/notes.json";
constexpr const char* temporaryName = "/notes.new";

bool writeAndSync(const std::string& path, const std::string& text, const FolderQuota& quota)
{
    const int descriptor = openForWriting(path, O_TRUNC, quota);
    if (descriptor < 0)
        return false;
    const bool isSynced = writeAll(descriptor, text, quota) && fsync(descriptor) == 0;
    close(descriptor);
    // A part of the text would only take room.
    if (!isSynced)
        unlink(path.c_str());
    return isSynced;
}

}

JournalMetadata::JournalMetadata(std::string path)
    : folder(std::move(path))
{
    std::ifstream file(this->folder + fileName);
    const Json json = Json::parse(file, nullptr, false);
    const auto set = Platform::readJournalSet(json);
    if (!set)
        return;
    this->currentSet = *set;
    this->currentSyncState.isComplete = json.value("complete", false);
    this->currentSyncState.copiedEpoch = Epoch(json.value("copied_in", std::uint64_t(0)));
    this->currentSyncState.isAddition = json.value("added", false);
    this->currentSyncState.replaced = NodeId(json.value("replaced", std::string()));
    this->currentSyncState.wasComplete = json.value("was_complete", false);
}

bool JournalMetadata::persistSet(const JournalSet& set)
{
    this->currentSet = set;
    return this->write();
}

bool JournalMetadata::persistSyncState(const JournalSyncState& syncState)
{
    if (this->currentSyncState == syncState)
        return this->isOnDisk;
    this->currentSyncState = syncState;
    return this->write();
}

bool JournalMetadata::retry() { return this->isOnDisk || this->write(); }

bool JournalMetadata::write()
{
    this->isOnDisk = this->replaceFile();
    return this->isOnDisk;
}

bool JournalMetadata::replaceFile() const
{
    Json json = Platform::writeJournalSet(this->currentSet);
    json["complete"] = this->currentSyncState.isComplete;
    json["copied_in"] = this->currentSyncState.copiedEpoch.value;
    json["added"] = this->currentSyncState.isAddition;
    json["replaced"] = this->currentSyncState.replaced.value;
    json["was_complete"] = this->currentSyncState.wasComplete;
    // The rename replaces the old file only after the new one is completely on disk.
    const std::string temporaryPath = this->folder + temporaryName;
    return writeAndSync(temporaryPath, json.dump(), this->folderQuota)
        && std::rename(temporaryPath.c_str(), (this->folder + fileName).c_str()) == 0 && syncFolder(this->folder);
}
