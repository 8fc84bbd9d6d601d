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

/// Sidecar that is believed to hold the prefix of a program.
struct PrefixLocation {
    NodeId sidecar;
    TokenCount tokens;
    /// The last order that used the prefix there; 0 when it is only known from a report.
    OrderId lastOrder {};
};

/// Requirements of a call that is to be placed. The referenced objects outlive the query.
struct PlacementQuery {
    const ServiceName& service;
    const CallShape& call;
    const PlacementSettings& settings;
    std::uint64_t seed = 0;
    /// Where prefixes of the program are held.
    std::span<const PrefixLocation> held;
    /// Sidecars that must not get the call again.
    std::span<const NodeId> excluded;
    /// Sidecars that may get the call. Null means every sidecar of the service.
    const std::unordered_set<NodeId>* admitted = nullptr;
};

/// A credit taken for one order.
struct TakenCredit {
    NodeId sidecar;
    CreditId credit;
};

/// The sidecars as known to an entry: which of them may get orders, the credits for them, and their load, corrected for
/// what this entry has placed since the last report. The cost of handling a report does not depend on the number of
/// sidecars.
class SidecarPool {
public:
    void onLinkUp(const Hello& hello);
    void onLinkDown(const NodeId& node);
    /// The incarnation of the node is in the members list, so that a later recovery queries it.
    void onRegistered(const NodeId& node, Incarnation incarnation);
    void onReport(const NodeId& node, const LoadReport& report, TimePoint now);
    /// Sets the nodes that the instance list shows as leaving.
    void setLeavingNodes(std::set<NodeId> nodes);

    /// Returns true when a sidecar of the service is or has been linked.
    bool isKnownService(const ServiceName& service) const;
    /// Number of sidecars of the service that may get orders.
    std::size_t sidecarCount(const ServiceName& service) const;
    /// Returns true when the node is linked, registered and not leaving.
    bool isUsable(const NodeId& node) const;

    /// Load and cache pressure of the service's usable sidecars. The cost is linear in their number.
    ServicePressure pressure(const ServiceName& service) const;

    /// Sidecars of the service that may get orders, in no particular order.
    std::span<const SidecarView> views(const ServiceName& service) const;
    /// Increases whenever a sidecar is added to the views or removed from them.
    std::uint64_t generation() const { return this->changes; }

    /// Chooses a sidecar for a call and takes a credit of it. Returns nothing when no admitted sidecar has a credit.
    /// Fills `decision`, except its order id, for the log. Examines the holders and a sample, and more sidecars only
    /// when none of these has a credit.
    std::optional<TakenCredit> place(const PlacementQuery& query, TimePoint now, PlacementDecision& decision);
    /// Adds an order to the load of the sidecar until a report includes it.
    void onOrderPlaced(const NodeId& node, OrderId order, TokenCount tokens);
    void onOrderDone(const NodeId& node, OrderId order);
    /// The sidecar has refused an order because of missing credit or overload: it gets none until its next grant.
    void dropCredits(const NodeId& node);
    void recordFailure(const NodeId& node);
    void recordSuccess(const NodeId& node);

private:
    struct Grant {
        CreditId id;
        std::uint32_t left = 0;
        TimePoint until {};
    };
    struct UnreportedOrder {
        OrderId order;
        TokenCount tokens;
    };
    struct Sidecar {
        Incarnation incarnation;
        Incarnation registered;
        bool linked = false;
        bool listedLeaving = false;
        /// View for placement, while the sidecar may not get orders. Otherwise the view is in `Service::views`.
        SidecarView view;
        std::vector<Grant> grants;
        CreditId lastGrant;
        std::deque<UnreportedOrder> unreportedOrders;
        ServiceName service;
        /// Index in `Service::views`.
        std::optional<std::size_t> position;
    };
    struct Service {
        std::vector<SidecarView> views;
    };

    Sidecar* find(const NodeId& node);
    void updateMembership(Sidecar& sidecar);
    SidecarView& currentView(Sidecar& sidecar);
    void refreshCredits(Sidecar& sidecar, TimePoint now);
    void refreshUnreportedOrders(Sidecar& sidecar);
    TakenCredit takeCredit(Sidecar& sidecar);
    bool mayServe(const PlacementQuery& query, const SidecarView& view) const;

    std::unordered_map<NodeId, Sidecar> sidecars;
    std::unordered_map<ServiceName, Service> services;
    std::set<NodeId> leavingNodes;
    std::uint64_t changes = 0;
};

}
