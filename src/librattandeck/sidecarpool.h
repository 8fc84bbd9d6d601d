#pragma once

#include "programadmission.h"

#include "Rattandeck/placement.h"
#include "Rattandeck/types.h"

#include <deque>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Rattandeck {

/// A prefix that a sidecar is believed to hold.
struct PrefixLocation {
    NodeId sidecar;
    TokenCount tokens;
    /// The last order that used it there; 0 when a report told of it first.
    OrderId lastOrder {};
};

/// What a call asks of the fleet. The referenced objects outlive the query.
struct PlacementQuery {
    const ServiceName& service;
    const CallShape& call;
    const PlacementSettings& settings;
    std::uint64_t seed = 0;
    /// Prefixes of the program.
    std::span<const PrefixLocation> held;
    /// Sidecars that must not get the call again.
    std::span<const NodeId> excluded;
    /// Null: every sidecar of the service is admitted.
    const std::unordered_set<NodeId>* admitted = nullptr;
};

/// A credit taken for one order.
struct TakenCredit {
    NodeId sidecar;
    CreditId credit;
};

/// What an entry knows of the sidecars: who may be given orders, with which credits, and how busy each is, corrected
/// for what this entry has placed since the last report. The cost of a report does not grow with the fleet.
class SidecarPool {
public:
    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// The incarnation stands in the members list, so a later census will ask it.
    void onRegistered(const NodeId& node, Incarnation incarnation);
    void onReport(const NodeId& node, const LoadReport& report, TimePoint now);
    /// Nodes that the instance list shows as leaving.
    void setLeavingNodes(std::set<NodeId> nodes);

    /// Services that some sidecar has been seen for, now or earlier.
    bool isKnownService(const ServiceName& service) const;
    /// Sidecars of the service that may be given orders.
    std::size_t sidecarCount(const ServiceName& service) const;
    /// Linked, registered and not leaving.
    bool isUsable(const NodeId& node) const;

    /// How full the service's usable sidecars are; cost grows with their number.
    ServicePressure pressure(const ServiceName& service) const;

    /// Sidecars of the service that may be given orders, in no order.
    std::span<const SidecarView> views(const ServiceName& service) const;
    /// Grows whenever a sidecar is added to the views or leaves them.
    std::uint64_t generation() const { return this->changes; }

    /// Places a call and takes a credit; nothing when no admitted sidecar has one. Fills `decision` for the log but for
    /// its order id. Looks at the holders and a sample, and further only when none of these has a credit.
    std::optional<TakenCredit> place(const PlacementQuery& query, TimePoint now, PlacementDecision& decision);
    /// Counts an order until a report accounts for it.
    void onOrderPlaced(const NodeId& node, OrderId order, TokenCount tokens);
    void onOrderDone(const NodeId& node, OrderId order);
    /// The sidecar has refused for want of credit or room: it gets nothing until its next grant.
    void dropCredits(const NodeId& node);
    void recordFailure(const NodeId& node);
    void recordSuccess(const NodeId& node);

private:
    struct Grant {
        CreditId id;
        std::uint32_t left = 0;
        TimePoint until {};
    };
    struct Unaccounted {
        OrderId order;
        TokenCount tokens;
    };
    struct Sidecar {
        Incarnation incarnation;
        Incarnation registered;
        bool linked = false;
        bool listedLeaving = false;
        /// What placement sees, while the sidecar may not be given orders; else it stands in `Service::views`.
        SidecarView view;
        std::vector<Grant> grants;
        CreditId lastGrant;
        std::deque<Unaccounted> unaccounted;
        ServiceName service;
        std::optional<std::size_t> position;
    };
    struct Service {
        std::vector<SidecarView> views;
    };

    Sidecar* find(const NodeId& node);
    void updateMembership(Sidecar& sidecar);
    SidecarView& currentView(Sidecar& sidecar);
    void refreshCredits(Sidecar& sidecar, TimePoint now);
    void refreshUnaccounted(Sidecar& sidecar);
    TakenCredit takeCredit(Sidecar& sidecar);
    bool mayServe(const PlacementQuery& query, const SidecarView& view) const;

    std::unordered_map<NodeId, Sidecar> sidecars;
    std::unordered_map<ServiceName, Service> services;
    std::set<NodeId> leavingNodes;
    std::uint64_t changes = 0;
};

}
