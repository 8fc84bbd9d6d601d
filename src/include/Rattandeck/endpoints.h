#pragma once

#include "Rattandeck/types.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Endpoint instances that are called directly: which there are, how loaded they are, and which one gets a call.
namespace Rattandeck {

/// Names one run of an endpoint's process.
using EndpointId = Strong<struct EndpointIdTag, std::string>;
/// Names a part of a prompt that calls may share.
using PromptPartId = Strong<struct PromptPartIdTag, std::string>;

struct EndpointInstance {
    EndpointId id;
    ServiceName service;
    /// "host:port".
    std::string address;
    FailureDomain domain;
    /// Calls that it runs at once.
    std::uint32_t slots = 1;
    /// It is about to leave and takes no new calls.
    bool isDraining = false;
    /// Start of its process, in milliseconds since 1970; tells two runs under one id apart.
    std::int64_t startedAt = 0;
    bool operator==(const EndpointInstance&) const = default;
};

/// What an instance says of its load with an answer.
struct EndpointLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
};

/// Part of a prompt, in the order of the prompt.
struct PromptPart {
    PromptPartId id;
    TokenCount tokens;
};

/// What placement looks at. All fields describe one call.
struct PlacementQuery {
    ServiceName service;
    std::vector<PromptPart> prompt;
    /// Subject of a plain call; calls with the same one are best served by the same instance.
    std::string subject;
    /// The caller's failure domain.
    FailureDomain domain;
    /// Instances that this call has been sent to already.
    std::set<EndpointId> excluded;
};

struct PlacementChoice {
    EndpointId endpoint;
    std::string address;
    /// Calls that the instance is expected to have, this one not counted.
    double expectedLoad = 0;
    /// Age of the load report that this rests on; nothing when only own calls are known.
    std::optional<Milliseconds> reportAge;
    std::uint32_t slots = 1;
    /// Prompt tokens that it is expected to have in its memory.
    std::int64_t cachedTokens = 0;
};

/// Weights of the placement. Times are what a unit adds to the latency of a call.
struct EndpointCosts {
    /// A further call in an engine's batch.
    double batchedCallMs = 8.5;
    /// A call that waits for a slot.
    double queuedCallMs = 30;
    double prefillTokensPerMs = 400;
    double otherDomainMs = 7;
    /// What an instance that has recently served the same subject saves.
    double subjectMs = 12;
    /// An instance that failed within `failureMemory`.
    double recentFailureMs = 150;
    Milliseconds failureMemory { 2000 };
    /// A load report is trusted less as it ages and not at all after this time.
    Milliseconds reportLife { 2000 };
};

/// The instances of all services, with the load that this process knows of.
///
/// Thread safety: not synchronised.
class EndpointTable {
public:
    explicit EndpointTable(EndpointCosts costs = {});
    ~EndpointTable();
    EndpointTable(const EndpointTable&) = delete;
    EndpointTable& operator=(const EndpointTable&) = delete;

    /// Adds or changes an instance. A later start of the same id forgets what was known of the earlier one.
    void put(const EndpointInstance& instance);
    /// The instance is gone.
    void remove(const EndpointId& id);
    std::vector<EndpointId> ids() const;
    const EndpointInstance* find(const EndpointId& id) const;

    /// The instance where the call is expected to end first; nothing when none takes calls.
    std::optional<PlacementChoice> choose(const PlacementQuery& query, TimePoint now) const;

    /// A call was sent to the instance.
    void onSent(const EndpointId& id, const PlacementQuery& query);
    /// The call ended, however it did.
    void onEnded(const EndpointId& id);
    void onLoad(const EndpointId& id, const EndpointLoad& load, TimePoint now);
    /// The instance broke a call off or could not be reached.
    void onFailure(const EndpointId& id, TimePoint now);
    /// The instance refused a call for want of room.
    void onFull(const EndpointId& id, TimePoint now);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
