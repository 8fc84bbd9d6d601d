#pragma once

#include "Rattandeck/objects.h"
#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace RattandeckApp {

/// Client of the platform's object API (JSON over HTTP): versioned objects, conditional updates and one watch.
///
/// Thread safety: use from the event loop's thread.
class ObjectClient {
public:
    ObjectClient(RattandeckNet::EventLoop& loop, RattandeckNet::Address server, std::chrono::milliseconds timeout);
    ~ObjectClient();

    /// Sends one request, without retries. `done` receives `NoAnswer` if the update may have taken effect.
    void call(const Rattandeck::ObjectRequest& request, std::function<void(Rattandeck::ObjectOutcome)> done);

    /// Deletes the object if its version is `expected`.
    void remove(const Rattandeck::ObjectKey& key, Rattandeck::ObjectVersion expected,
        std::function<void(Rattandeck::ObjectOutcome)> done);

    /// Reports every change after `revision` at least once, and continues across reconnections. May be called only
    /// once.
    void watch(Rattandeck::ObjectVersion revision,
        std::function<void(const Rattandeck::StoredObject&, Rattandeck::ObjectVersion revision)> changed);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Polls the platform's list of instances every `interval` and reports each list that was read. Failed reads are
/// ignored.
///
/// Thread safety: use from the event loop's thread.
class InstanceListClient {
public:
    InstanceListClient(RattandeckNet::EventLoop& loop, RattandeckNet::Address server,
        std::chrono::milliseconds interval,
        std::function<void(const std::vector<Rattandeck::ListedInstance>&)> changed);
    ~InstanceListClient();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

}
