#pragma once

#include "Rattandeck/routing.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Checks of a configuration before it is in force: what can't be read, what can never take effect, and what
/// contradicts itself. Free functions over plain structs, without input and output. The text of a finding is made where
/// it is shown.
///
/// Findings contain no keys and no digests of keys.
namespace Rattandeck {

enum class FindingSeverity {
    /// Doesn't count, e.g. a field that this version doesn't know: the platform may add fields.
    Notice,
    /// The configuration is adopted, but a part of it has no effect or an unlikely one.
    Warning,
    /// The configuration, or the entry, is not adopted.
    Error,
};

enum class FindingKind {
    // Decoding
    MissingField,
    WrongType,
    /// A value that the field can't have.
    InvalidValue,
    /// A value that is replaced by the field's default.
    IgnoredValue,
    UnknownField,
    // Entries that never take effect
    /// Names: the route and the one that takes its calls.
    HiddenRoute,
    /// A path prefix that doesn't begin and end with a slash matches no path.
    UnmatchablePrefix,
    /// Calls on the route are answered with 404.
    RouteWithoutService,
    /// All weights are 0, so that the first service gets all calls.
    NoWeight,
    /// Names: the route and the service, which has no entry.
    UnknownService,
    ServiceWithoutRoute,
    DuplicateService,
    OrganisationWithoutKeys,
    /// Names: the organisation that holds the key and the one for which the key is ignored.
    SharedKey,
    DuplicateOrganisation,
    /// All routes need a key, and no organisation has one.
    NobodyAdmitted,
    // Limits that contradict each other. Numbers: the limit and the one that it contradicts.
    TimeoutNotPositive,
    ObjectiveNotPositive,
    ObjectiveAboveTimeout,
    /// Attempts of a route whose calls run at most once. They only allow more sends after refusals.
    UnusedAttempts,
    ResumeWithoutStream,
    RetentionNotPositive,
    UnusedRetention,
    /// Engine slots that can't be used, since an instance accepts fewer connections.
    SlotsAboveConnections,
    BurstWithoutRate,
    /// Calls of the organisation in a second and a burst together, and the least that a caller needs.
    AllowanceBelowNeed,
    TimeoutAboveDeadline,
    AttemptsAboveRetryBudget,
    /// Names: the route and the service, which has no instance that takes new calls.
    ServiceWithoutInstances,
    /// Numbers: calls a second of all allowances together, and those that all slots serve if each call takes the
    /// shortest objective of a route.
    AllowancesAboveCapacity,
    // Differences from the version in force. Numbers: before and after, where a limit falls.
    /// Gateways keep the configuration in force. Numbers: its version and the new one.
    VersionNotHigher,
    /// Names: host and prefix of a route in force, whose calls get no route or no service.
    PathUnreachable,
    /// Names: a service that calls were sent to.
    ServiceUnreachable,
    /// Names: host and prefix of calls that needed no key.
    KeyNeeded,
    OrganisationRemoved,
    /// Number: keys of the organisation that nobody holds any more.
    KeysRemoved,
    /// Names: the organisation that held the key and the one that holds it now.
    KeyMoved,
    /// Names: the organisation. Numbers: calls a second before and after, the burst, and the seconds after which a
    /// caller that goes on at the former rate is refused.
    RateLowered,
    /// Names: the organisation. Numbers: calls a second, and the burst.
    RateAdded,
    BurstLowered,
    /// A higher number is less urgent.
    OrganisationLessUrgent,
    RouteLessUrgent,
    TimeoutLowered,
    AttemptsLowered,
    RetentionLowered,
    ResumeRemoved,
    ConnectionsLowered,
    BodyLimitLowered,
    HeaderLimitLowered,
    HeaderTimeoutLowered,
    IdleTimeoutLowered,
};

/// Lists of a configuration.
enum class ConfigSection { Document, Routes, Services, Limits, Organisations };

struct ConfigPlace {
    ConfigSection section = ConfigSection::Document;
    /// Position of the entry in its list, from 0.
    std::optional<std::size_t> entry;
    /// Field as the document names it; empty if the kind of the finding tells it, or if it concerns the whole entry.
    std::string field;
    bool operator==(const ConfigPlace&) const = default;
};

struct ConfigFinding {
    FindingKind kind = FindingKind::MissingField;
    FindingSeverity severity = FindingSeverity::Warning;
    ConfigPlace place;
    /// Names of the document that the finding concerns; see the kinds.
    std::vector<std::string> names;
    /// See the kinds.
    std::vector<double> numbers;
    /// The nearest known name.
    std::optional<std::string> suggestion;
    bool operator==(const ConfigFinding&) const = default;
};

/// What the checks know about the deployment besides its configuration. What is absent is not checked.
struct DeploymentFacts {
    /// Longest time that callers wait for an answer.
    std::optional<Milliseconds> callerDeadline;
    /// Calls that one program makes.
    std::optional<double> programCalls;
    /// `GatewayLimits::retryBurst`: retries that a gateway makes at once.
    std::optional<double> retryBurst;
    /// Slots of the instances that take new calls, by service. A service that is absent has none.
    std::optional<std::map<ServiceName, std::uint32_t>> slots;
};

/// Returns the findings about a configuration that has been decoded, in the order of its sections and entries.
std::vector<ConfigFinding> checkConfig(const RoutingConfig& config, const DeploymentFacts& facts = {});

/// Returns what callers lose when `next` replaces `inForce`: paths, access, and limits. Places are those of `next`.
std::vector<ConfigFinding> compareConfigs(const RoutingConfig& inForce, const RoutingConfig& next);

/// Returns the known name with the fewest changes to `name`; empty if none is near enough to be meant.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& known);

/// Returns whether the findings count, which those of `FindingSeverity::Notice` don't.
bool hasCountedFinding(const std::vector<ConfigFinding>& findings);

}
