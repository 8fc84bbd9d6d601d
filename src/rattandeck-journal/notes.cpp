#include "notes.h"

#include "files.h"
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
constexpr const char* draftName = "/notes.new";

bool writeAndSync(const std::string& path, const std::string& text)
{
    const int descriptor = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (descriptor < 0)
        return false;
    const bool isSynced = writeAll(descriptor, text) && fsync(descriptor) == 0;
    close(descriptor);
    return isSynced;
}

}

JournalNotes::JournalNotes(std::string path)
    : folder(std::move(path))
{
    std::ifstream file(this->folder + fileName);
    const Json json = Json::parse(file, nullptr, false);
    const auto set = Platform::readJournalSet(json);
    if (!set)
        return;
    this->knownSet = *set;
    this->knownStanding.isComplete = json.value("complete", false);
    this->knownStanding.copiedIn = Epoch(json.value("copied_in", std::uint64_t(0)));
}

bool JournalNotes::persistSet(const JournalSet& set)
{
    this->knownSet = set;
    return this->write();
}

bool JournalNotes::persistSyncState(const JournalSyncState& standing)
{
    if (this->knownStanding == standing)
        return true;
    this->knownStanding = standing;
    return this->write();
}

bool JournalNotes::write() const
{
    Json json = Platform::writeJournalSet(this->knownSet);
    json["complete"] = this->knownStanding.isComplete;
    json["copied_in"] = this->knownStanding.copiedIn.value;
    // The old notes hold until the new ones are whole on disk.
    const std::string draft = this->folder + draftName;
    return writeAndSync(draft, json.dump()) && std::rename(draft.c_str(), (this->folder + fileName).c_str()) == 0
        && syncFolder(this->folder);
}
