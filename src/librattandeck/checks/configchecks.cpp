#include "Rattandeck/configchecks.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

namespace Rattandeck {

namespace {

    /// Names for which the nearest known one is looked up; a configuration with many faults must not take long.
    constexpr std::size_t maxSuggestions = 50;

    using Findings = std::vector<ConfigFinding>;

    ConfigFinding finding(FindingKind kind, ConfigSection section, std::optional<std::size_t> entry,
        std::vector<std::string> names, std::vector<double> numbers = {})
    {
        ConfigFinding made;
        made.kind = kind;
        made.place = { section, entry, {} };
        made.names = std::move(names);
        made.numbers = std::move(numbers);
        return made;
    }

    double count(Milliseconds time) { return static_cast<double>(time.count()); }

    // Routes ---------------------------------------------------------------------------------------------------------

    /// Routes are told by their names, and those without one by host and prefix.
    std::string labelOf(const Route& route) { return route.name.empty() ? route.host + route.pathPrefix : route.name; }

    void checkReachable(const RoutingConfig& config, std::size_t entry,
        std::map<std::pair<std::string, std::string>, std::size_t>& firstRoutes, Findings& findings)
    {
        const Route& route = config.routes[entry];
        const auto [first, isFirst] = firstRoutes.try_emplace({ route.host, route.pathPrefix }, entry);
        if (!isFirst)
            findings.push_back(finding(FindingKind::HiddenRoute, ConfigSection::Routes, entry,
                { labelOf(route), labelOf(config.routes[first->second]) }));
        if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
            findings.push_back(
                finding(FindingKind::UnmatchablePrefix, ConfigSection::Routes, entry, { labelOf(route) }));
    }

    void checkServicesOf(const Route& route, std::size_t entry, const std::vector<std::string>& known,
        std::size_t& suggestions, Findings& findings)
    {
        if (route.services.empty()) {
            findings.push_back(
                finding(FindingKind::RouteWithoutService, ConfigSection::Routes, entry, { labelOf(route) }));
            return;
        }
        if (std::ranges::all_of(route.services, [](const WeightedService& choice) { return choice.weight == 0; }))
            findings.push_back(finding(FindingKind::NoWeight, ConfigSection::Routes, entry, { labelOf(route) }));
        for (const WeightedService& choice : route.services) {
            if (std::ranges::binary_search(known, choice.service.value))
                continue;
            ConfigFinding unknown = finding(
                FindingKind::UnknownService, ConfigSection::Routes, entry, { labelOf(route), choice.service.value });
            if (suggestions < maxSuggestions)
                unknown.suggestion = nearestName(choice.service.value, known);
            ++suggestions;
            findings.push_back(std::move(unknown));
        }
    }

    /// Doesn't count, since attempts also allow more sends after refusals.
    ConfigFinding unusedAttempts(const Route& route, std::size_t entry)
    {
        ConfigFinding unused = finding(FindingKind::UnusedAttempts, ConfigSection::Routes, entry, { labelOf(route) },
            { double(route.maxRuns), 1 });
        unused.severity = FindingSeverity::Notice;
        return unused;
    }

    void checkLimitsOf(const Route& route, std::size_t entry, const DeploymentFacts& facts, Findings& findings)
    {
        const auto report = [&](FindingKind kind, std::vector<double> numbers) {
            findings.push_back(finding(kind, ConfigSection::Routes, entry, { labelOf(route) }, std::move(numbers)));
        };
        if (route.timeout <= Milliseconds(0))
            report(FindingKind::TimeoutNotPositive, { count(route.timeout) });
        if (route.objective <= Milliseconds(0))
            report(FindingKind::ObjectiveNotPositive, { count(route.objective) });
        if (route.objective > route.timeout)
            report(FindingKind::ObjectiveAboveTimeout, { count(route.objective), count(route.timeout) });
        if (facts.callerDeadline && route.timeout > *facts.callerDeadline)
            report(FindingKind::TimeoutAboveDeadline, { count(route.timeout), count(*facts.callerDeadline) });
        const bool isRunOnce
            = route.safety == CallSafety::Unsafe || (route.safety == CallSafety::Stream && !route.canResume);
        if (route.maxRuns > 1 && isRunOnce)
            findings.push_back(unusedAttempts(route, entry));
        else if (facts.retryBurst && route.maxRuns - 1 > *facts.retryBurst)
            report(FindingKind::AttemptsAboveRetryBudget, { double(route.maxRuns), *facts.retryBurst });
        if (route.canResume && route.safety != CallSafety::Stream)
            report(FindingKind::ResumeWithoutStream, {});
        if (route.retainsTurns && route.turnRetention <= Milliseconds(0))
            report(FindingKind::RetentionNotPositive, { count(route.turnRetention) });
        if (!route.retainsTurns && route.turnRetention > Milliseconds(0))
            report(FindingKind::UnusedRetention, { count(route.turnRetention) });
    }

    void checkRoutes(const RoutingConfig& config, const DeploymentFacts& facts, Findings& findings)
    {
        std::vector<std::string> known;
        for (const ServiceConfig& service : config.services)
            known.push_back(service.name.value);
        std::ranges::sort(known);
        std::map<std::pair<std::string, std::string>, std::size_t> firstRoutes;
        std::size_t suggestions = 0;
        for (std::size_t entry = 0; entry < config.routes.size(); ++entry) {
            checkReachable(config, entry, firstRoutes, findings);
            checkServicesOf(config.routes[entry], entry, known, suggestions, findings);
            checkLimitsOf(config.routes[entry], entry, facts, findings);
        }
    }

    // Instances ------------------------------------------------------------------------------------------------------

    void checkInstancesOf(const Route& route, std::size_t entry, const DeploymentFacts& facts, Findings& findings)
    {
        for (const WeightedService& choice : route.services) {
            if (choice.weight > 0 && !facts.slots->contains(choice.service))
                findings.push_back(finding(FindingKind::ServiceWithoutInstances, ConfigSection::Routes, entry,
                    { labelOf(route), choice.service.value }));
        }
    }

    /// Calls a second of all organisations together; empty if one of them has no limit.
    std::optional<double> totalRate(const std::vector<Organisation>& organisations)
    {
        double total = 0;
        for (const Organisation& organisation : organisations) {
            if (!organisation.allowance)
                return std::nullopt;
            total += organisation.allowance->rate.value;
        }
        return total;
    }

    void checkCapacity(const RoutingConfig& config, const DeploymentFacts& facts, Findings& findings)
    {
        if (!config.organisations)
            return;
        const auto rate = totalRate(*config.organisations);
        const auto shortest = std::ranges::min_element(config.routes, {}, &Route::objective);
        if (!rate || shortest == config.routes.end() || shortest->objective <= Milliseconds(0))
            return;
        double slots = 0;
        for (const auto& [service, serviceSlots] : *facts.slots)
            slots += serviceSlots;
        const double capacity = slots / std::chrono::duration<double>(shortest->objective).count();
        if (*rate > capacity)
            findings.push_back(finding(FindingKind::AllowancesAboveCapacity, ConfigSection::Organisations, std::nullopt,
                {}, { *rate, capacity }));
    }

    void checkInstances(const RoutingConfig& config, const DeploymentFacts& facts, Findings& findings)
    {
        if (!facts.slots)
            return;
        for (std::size_t entry = 0; entry < config.routes.size(); ++entry)
            checkInstancesOf(config.routes[entry], entry, facts, findings);
        checkCapacity(config, facts, findings);
    }

    // Services -------------------------------------------------------------------------------------------------------

    void checkServices(const RoutingConfig& config, Findings& findings)
    {
        std::set<std::string> routed;
        for (const Route& route : config.routes) {
            for (const WeightedService& choice : route.services)
                routed.insert(choice.service.value);
        }
        std::set<std::string> seen;
        for (std::size_t entry = 0; entry < config.services.size(); ++entry) {
            const ServiceConfig& service = config.services[entry];
            const std::string& name = service.name.value;
            if (!seen.insert(name).second)
                findings.push_back(finding(FindingKind::DuplicateService, ConfigSection::Services, entry, { name }));
            if (!routed.contains(name))
                findings.push_back(finding(FindingKind::ServiceWithoutRoute, ConfigSection::Services, entry, { name }));
            if (service.engine && service.engine->slots > service.maxConnections)
                findings.push_back(finding(FindingKind::SlotsAboveConnections, ConfigSection::Services, entry, { name },
                    { double(service.engine->slots), double(service.maxConnections) }));
        }
    }

    // Organisations --------------------------------------------------------------------------------------------------

    void checkAllowance(
        const Organisation& organisation, std::size_t entry, const DeploymentFacts& facts, Findings& findings)
    {
        if (!organisation.allowance || !facts.programCalls)
            return;
        const double need = *facts.programCalls;
        const double most = organisation.allowance->rate.value + organisation.allowance->burst;
        if (most < need)
            findings.push_back(finding(FindingKind::AllowanceBelowNeed, ConfigSection::Organisations, entry,
                { organisation.id.value }, { most, need }));
    }

    void checkOrganisations(const RoutingConfig& config, const DeploymentFacts& facts, Findings& findings)
    {
        if (!config.organisations)
            return;
        std::map<KeyDigest, std::size_t> holders;
        std::set<std::string> names;
        const auto& organisations = *config.organisations;
        for (std::size_t entry = 0; entry < organisations.size(); ++entry) {
            const Organisation& organisation = organisations[entry];
            const auto report = [&](FindingKind kind, std::vector<std::string> concerned) {
                findings.push_back(finding(kind, ConfigSection::Organisations, entry, std::move(concerned)));
            };
            if (!names.insert(organisation.id.value).second)
                report(FindingKind::DuplicateOrganisation, { organisation.id.value });
            if (organisation.keys.empty())
                report(FindingKind::OrganisationWithoutKeys, { organisation.id.value });
            for (const KeyDigest& key : organisation.keys) {
                const std::size_t holder = holders.try_emplace(key, entry).first->second;
                if (holder != entry)
                    report(FindingKind::SharedKey, { organisations[holder].id.value, organisation.id.value });
            }
            checkAllowance(organisation, entry, facts, findings);
        }
        const bool isAnyPublic = std::ranges::any_of(config.routes, [](const Route& route) { return route.isPublic; });
        if (holders.empty() && !isAnyPublic && !config.routes.empty())
            findings.push_back(finding(FindingKind::NobodyAdmitted, ConfigSection::Organisations, std::nullopt, {}));
    }

}

// Public -------------------------------------------------------------------------------------------------------------

std::vector<ConfigFinding> checkConfig(const RoutingConfig& config, const DeploymentFacts& facts)
{
    Findings findings;
    checkRoutes(config, facts, findings);
    checkServices(config, findings);
    checkOrganisations(config, facts, findings);
    checkInstances(config, facts, findings);
    return findings;
}

bool hasCountedFinding(const std::vector<ConfigFinding>& findings)
{
    return std::ranges::any_of(
        findings, [](const ConfigFinding& finding) { return finding.severity != FindingSeverity::Notice; });
}

}
