#pragma once

#include "Rattandeck/objects.h"
#include "RattandeckApp/objectclient.h"
#include "RattandeckNet/http.h"

#include <memory>
#include <string>

/// Synchronous calls: each waits for its response.
class Session {
public:
    Session();
    ~Session();

    /// Calls the object API at `server`.
    Rattandeck::ObjectOutcome call(const RattandeckNet::Address& server, const Rattandeck::ObjectRequest& request);
    Rattandeck::ObjectOutcome remove(
        const RattandeckNet::Address& server, const Rattandeck::ObjectKey& key, Rattandeck::ObjectVersion expected);

    /// Sends a GET for `path` to `server`, with one query parameter unless `parameter` is empty.
    tl::expected<RattandeckNet::HttpResponse, RattandeckNet::NetError> get(const RattandeckNet::Address& server,
        const std::string& path, const std::string& parameter = {}, const std::string& value = {});

    /// Calls `changed` for each change of an object until the process receives SIGINT or SIGTERM.
    void watch(const RattandeckNet::Address& server,
        const std::function<void(const Rattandeck::StoredObject&, Rattandeck::ObjectVersion)>& changed);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};
