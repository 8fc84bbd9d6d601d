#pragma once

#include "Rattandeck/objects.h"
#include "RattandeckNet/address.h"
#include "RattandeckNet/eventloop.h"

#include <functional>
#include <memory>
#include <vector>

namespace RattandeckApp {

/// The platform's object API over HTTP and JSON: versioned objects, conditional updates and one watch.
///
/// Thread safety: use from the event loop's thread.
class ObjectClient {
public:
    ObjectClient(RattandeckNet::EventLoop& loop, RattandeckNet::Address server, std::chrono::milliseconds timeout);
    ~ObjectClient();

    /// Calls the API once. `done` gets `NoAnswer` when the update may have taken effect.
    void call(const Rattandeck::ObjectRequest& request, std::function<void(Rattandeck::ObjectOutcome)> done);

    /// Deletes the object if its version is `expected`.
    void remove(const Rattandeck::ObjectKey& key, Rattandeck::ObjectVersion expected,
        std::function<void(Rattandeck::ObjectOutcome)> done);

    /// Reports changes after `revision`, from then on and across reconnections, each at least once. Call once.
    void watch(Rattandeck::ObjectVersion revision,
        std::function<void(const Rattandeck::StoredObject&, Rattandeck::ObjectVersion revision)> changed);

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

/// Reads the platform's list of instances every `interval`; failed reads are skipped.
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
