#pragma once

#include "Rattandeck/configchecks.h"

#include <nlohmann/json.hpp>

/// Checks of the store's configuration object as it is written, with the text of the findings. The command line tool
/// and the gateways use the same ones.
namespace Platform {

struct ConfigReport {
    /// The most severe first; those of one severity in the order of the document.
    std::vector<Rattandeck::ConfigFinding> findings;
    /// Findings beyond the bound, none of which is more severe than those that are listed.
    std::size_t leftOut = 0;
    /// The configuration as gateways adopt it; empty if they reject it.
    std::optional<Rattandeck::RoutingConfig> config;
};

constexpr std::size_t maxReportedFindings = 1000;

/// Checks the spec of a configuration object. Keys are replaced where a document uses one as a name.
ConfigReport checkConfigDocument(const nlohmann::json& spec, const Rattandeck::DeploymentFacts& facts = {},
    std::size_t maxFindings = maxReportedFindings);

/// As `checkConfigDocument`, with the differences from the configuration in force. `inForce` is its spec.
/// Precondition: `readConfig` accepts it.
ConfigReport checkConfigDocumentAgainst(const nlohmann::json& spec, const nlohmann::json& inForce,
    const Rattandeck::DeploymentFacts& facts = {}, std::size_t maxFindings = maxReportedFindings);

/// Findings about single values: fields that are missing, have another type or value than the product reads, or aren't
/// known. Each document without an error here is accepted by `readConfig`, which leaves no entry out.
std::vector<Rattandeck::ConfigFinding> checkConfigFields(const nlohmann::json& spec);

/// The place as a path in the document, e.g. `routes[3].goal_ms`; entries are counted from 0.
std::string describePlace(const Rattandeck::ConfigFinding& finding);
/// What was found, without its place.
std::string describeFinding(const Rattandeck::ConfigFinding& finding);
/// Name of the kind for scripts, e.g. `hidden-route`.
std::string_view kindName(Rattandeck::FindingKind kind);
std::string_view severityName(Rattandeck::FindingSeverity severity);
nlohmann::json writeFinding(const Rattandeck::ConfigFinding& finding);

}
