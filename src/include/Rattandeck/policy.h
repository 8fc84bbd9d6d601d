#pragma once

#include "Rattandeck/labels.h"
#include "Rattandeck/messages.h"
#include "Rattandeck/placement.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

/// What operators say by labels and selectors, read from configuration objects:
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

/// Checks a configuration object's value as the processes will read it. Objects that fail are never applied.
std::optional<PolicyError> checkConfigObject(const std::string& kind, const std::string& value);

/// The policies in force, made ready for placement decisions.
///
/// Thread safety: not synchronised.
class PolicySet {
public:
    PolicySet();
    ~PolicySet();
    PolicySet(PolicySet&&) noexcept;
    PolicySet& operator=(PolicySet&&) noexcept;

    /// Replaces or removes one object. Malformed objects are ignored (the previous value stays in force).
    void apply(const ConfigObject& object);

    /// Labels that an endpoint instance has now.
    Labels endpointLabels(const NodeId& node, const FailureDomain& domain, const ServiceName& service) const;
    /// Labels that a program has now.
    Labels programLabels(const OrganisationId& organisation, const ServiceName& service) const;

    /// Whether the endpoint may get work of the program: every policy whose program selector matches must admit it.
    /// A policy with `admit: false` keeps its programs off the endpoints that it selects; one without keeps them on
    /// those.
    bool admits(const Labels& program, const Labels& endpoint) const;

    /// The weights for a program: those of the matching policies, later names going before earlier ones.
    PlacementSettings placementFor(const Labels& program, PlacementSettings defaults) const;

    /// Grows with every change; lets callers keep what they derived from it.
    std::uint64_t generation() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
