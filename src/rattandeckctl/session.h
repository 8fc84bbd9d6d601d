#pragma once

#include "Rattandeck/objects.h"
#include "RattandeckApp/objectclient.h"
#include "RattandeckNet/http.h"

#include <memory>
#include <string>

/// Calls of one command, one after the other: each waits for its answer.
class Session {
public:
    Session();
    ~Session();

    /// Calls the object API at `server`.
    Rattandeck::ObjectOutcome call(const RattandeckNet::Address& server, const Rattandeck::ObjectRequest& request);
    Rattandeck::ObjectOutcome remove(
        const RattandeckNet::Address& server, const Rattandeck::ObjectKey& key, Rattandeck::ObjectVersion expected);

    /// GETs `path` with one query parameter from `server`; an empty name means none.
    tl::expected<RattandeckNet::HttpResponse, RattandeckNet::NetError> get(const RattandeckNet::Address& server,
        const std::string& path, const std::string& parameter = {}, const std::string& value = {});

    /// Calls `changed` for each change from now on, until the process is interrupted.
    void watch(const RattandeckNet::Address& server,
        const std::function<void(const Rattandeck::StoredObject&, Rattandeck::ObjectVersion)>& changed);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};
