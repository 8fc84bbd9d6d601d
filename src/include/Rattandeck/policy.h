#pragma once

#include "Rattandeck/labels.h"
#include "Rattandeck/messages.h"
#include "Rattandeck/placement.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Operators' placement policies by labels and selectors, read from configuration objects:
///
///     endpoint/<node>   {"labels": {"tier": "fast"}}             labels of an endpoint instance
///     program/<name>    {"match": "organisation=x", "labels": {"desk": "gate"}}   labels of programs
///     policy/<name>     {"programs": SELECTOR, "endpoints": SELECTOR, "admit": false,
///                        "wait_weight": 1, "missing_prefix_weight": 2, "transfer_weight": 1}
///
/// Every endpoint also has the labels `node`, `domain` and `service`, every program `organisation` and `service`.
namespace Rattandeck {

enum class PolicyErrorKind { NotJson, UnknownKind, UnknownField, WrongType, OutOfRange, BadSelector };

struct PolicyError {
    PolicyErrorKind kind = PolicyErrorKind::NotJson;
    std::string field;
    std::optional<SelectorError> selector;
};

std::string describe(const PolicyError& error);

/// Validates the value of a configuration object with the same parser that applies it. Invalid objects are never
/// applied.
std::optional<PolicyError> checkConfigObject(const std::string& kind, const std::string& value);

/// The current policies in parsed form, for placement decisions.
///
/// Thread safety: not synchronised.
class PolicySet {
public:
    PolicySet();
    ~PolicySet();
    PolicySet(PolicySet&&) noexcept;
    PolicySet& operator=(PolicySet&&) noexcept;

    /// Replaces or removes one object. A malformed object is ignored, and the previous value stays in force.
    void apply(const ConfigObject& object);

    /// Labels of an endpoint instance: those that every endpoint has, and those set by the current objects.
    Labels endpointLabels(const NodeId& node, const FailureDomain& domain, const ServiceName& service) const;
    /// Labels of a program: those that every program has, and those set by the current objects.
    Labels programLabels(const OrganisationId& organisation, const ServiceName& service) const;

    /// Returns whether calls of the program may run on the endpoint: every policy whose program selector matches must
    /// admit it. A policy with `admit: false` excludes the endpoints that it selects; any other policy with an endpoint
    /// selector restricts its programs to them.
    bool admits(const Labels& program, const Labels& endpoint) const;

    /// Placement weights for a program. Where several matching policies set a weight, the policy whose name sorts last
    /// takes precedence.
    PlacementSettings placementFor(const Labels& program, PlacementSettings defaults) const;

    /// Incremented with every change; callers use it to validate cached results.
    std::uint64_t generation() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
