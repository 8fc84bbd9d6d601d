#include "Rattandeck/configchecks.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace Rattandeck {

namespace {

    /// Two configurations and what has been found so far.
    struct Comparison {
        const RoutingConfig& inForce;
        const RoutingConfig& next;
        std::vector<ConfigFinding> findings;

        void add(FindingKind kind, ConfigSection section, std::optional<std::size_t> entry,
            std::vector<std::string> names, std::vector<double> numbers = {})
        {
            ConfigFinding finding;
            finding.kind = kind;
            finding.severity
                = kind == FindingKind::VersionNotHigher ? FindingSeverity::Error : FindingSeverity::Warning;
            finding.place = { section, entry, {} };
            finding.names = std::move(names);
            finding.numbers = std::move(numbers);
            this->findings.push_back(std::move(finding));
        }
    };

    double count(Milliseconds time) { return static_cast<double>(time.count()); }

    // Routes ---------------------------------------------------------------------------------------------------------

    using Point = std::pair<std::string, std::string>;

    /// Host and prefix of all routes of both configurations: between two of them, calls are routed alike.
    std::set<Point> pointsOf(const Comparison& comparison)
    {
        std::set<Point> points;
        for (const RoutingConfig* config : { &comparison.inForce, &comparison.next }) {
            for (const Route& route : config->routes)
                points.emplace(route.host, route.pathPrefix);
        }
        return points;
    }

    void compareLimits(
        Comparison& comparison, const Route& before, const Route& after, std::size_t entry, const std::string& name)
    {
        const auto add = [&](FindingKind kind, std::vector<double> numbers) {
            comparison.add(kind, ConfigSection::Routes, entry, { name }, std::move(numbers));
        };
        if (after.rank > before.rank)
            add(FindingKind::RouteLessUrgent, { double(before.rank), double(after.rank) });
        if (after.timeout < before.timeout)
            add(FindingKind::TimeoutLowered, { count(before.timeout), count(after.timeout) });
        if (after.maxRuns < before.maxRuns)
            add(FindingKind::AttemptsLowered, { double(before.maxRuns), double(after.maxRuns) });
        const Milliseconds retained = before.retainsTurns ? before.turnRetention : Milliseconds(0);
        const Milliseconds kept = after.retainsTurns ? after.turnRetention : Milliseconds(0);
        if (kept < retained)
            add(FindingKind::RetentionLowered, { count(retained), count(kept) });
        if (before.canResume && !after.canResume)
            add(FindingKind::ResumeRemoved, {});
    }

    void compareRoutes(Comparison& comparison)
    {
        const RouteTable inForce(comparison.inForce);
        const RouteTable next(comparison.next);
        std::set<std::pair<const Route*, const Route*>> compared;
        for (const auto& [host, prefix] : pointsOf(comparison)) {
            const Route* before = inForce.find(host, prefix);
            if (!before || before->services.empty())
                continue;
            const Route* after = next.find(host, prefix);
            if (!after || after->services.empty()) {
                comparison.add(FindingKind::PathUnreachable, ConfigSection::Routes, std::nullopt, { host + prefix });
                continue;
            }
            const auto entry = static_cast<std::size_t>(after - next.config().routes.data());
            if ((!inForce.organisations() || before->isPublic) && next.organisations() && !after->isPublic)
                comparison.add(FindingKind::KeyNeeded, ConfigSection::Routes, entry, { host + prefix });
            if (compared.emplace(before, after).second)
                compareLimits(comparison, *before, *after, entry, host + prefix);
        }
    }

    /// Services that calls can be sent to.
    std::set<std::string> reachableServices(const RoutingConfig& config)
    {
        const RouteTable table(config);
        std::set<std::string> reachable;
        for (const Route& configured : config.routes) {
            const Route* route = table.find(configured.host, configured.pathPrefix);
            if (!route || route->services.empty())
                continue;
            const bool hasWeight
                = std::ranges::any_of(route->services, [](const WeightedService& choice) { return choice.weight > 0; });
            for (const WeightedService& choice : route->services) {
                if (choice.weight > 0)
                    reachable.insert(choice.service.value);
            }
            if (!hasWeight)
                reachable.insert(route->services.front().service.value);
        }
        return reachable;
    }

    void compareServices(Comparison& comparison)
    {
        const auto reachable = reachableServices(comparison.next);
        for (const std::string& service : reachableServices(comparison.inForce)) {
            if (!reachable.contains(service))
                comparison.add(FindingKind::ServiceUnreachable, ConfigSection::Services, std::nullopt, { service });
        }
        const RouteTable inForce(comparison.inForce);
        std::set<std::string> seen;
        for (std::size_t entry = 0; entry < comparison.next.services.size(); ++entry) {
            const ServiceConfig& after = comparison.next.services[entry];
            const ServiceConfig* before = inForce.service(after.name);
            // The first entry of a service applies.
            if (seen.insert(after.name.value).second && before && after.maxConnections < before->maxConnections)
                comparison.add(FindingKind::ConnectionsLowered, ConfigSection::Services, entry, { after.name.value },
                    { double(before->maxConnections), double(after.maxConnections) });
        }
    }

    // Organisations --------------------------------------------------------------------------------------------------

    void compareAllowances(
        Comparison& comparison, const Organisation& before, const Organisation& after, std::size_t entry)
    {
        if (!after.allowance)
            return;
        const auto add = [&](FindingKind kind, std::vector<double> numbers) {
            comparison.add(kind, ConfigSection::Organisations, entry, { after.id.value }, std::move(numbers));
        };
        const double rate = after.allowance->rate.value;
        const double burst = after.allowance->burst;
        if (!before.allowance) {
            add(FindingKind::RateAdded, { rate, burst });
            return;
        }
        const double formerRate = before.allowance->rate.value;
        if (rate < formerRate)
            add(FindingKind::RateLowered, { formerRate, rate, burst, burst / (formerRate - rate) });
        if (burst < before.allowance->burst)
            add(FindingKind::BurstLowered, { before.allowance->burst, burst });
    }

    /// The organisation of each key; the first one that holds it.
    std::unordered_map<KeyDigest, std::string> holdersOf(const std::vector<Organisation>& organisations)
    {
        std::unordered_map<KeyDigest, std::string> holders;
        for (const Organisation& organisation : organisations) {
            for (const KeyDigest& key : organisation.keys)
                holders.emplace(key, organisation.id.value);
        }
        return holders;
    }

    void compareKeys(Comparison& comparison, const std::map<std::string, std::size_t>& entries)
    {
        const auto holders = holdersOf(*comparison.next.organisations);
        std::map<std::string, double> removed;
        std::map<std::pair<std::string, std::string>, double> moved;
        for (const auto& [key, holder] : holdersOf(*comparison.inForce.organisations)) {
            const auto found = holders.find(key);
            if (found == holders.end())
                removed[holder] += 1;
            else if (found->second != holder)
                moved[{ holder, found->second }] += 1;
        }
        for (const auto& [holder, keys] : removed) {
            const auto entry = entries.find(holder);
            if (entry != entries.end())
                comparison.add(
                    FindingKind::KeysRemoved, ConfigSection::Organisations, entry->second, { holder }, { keys });
        }
        for (const auto& [holders, keys] : moved)
            comparison.add(FindingKind::KeyMoved, ConfigSection::Organisations, entries.at(holders.second),
                { holders.first, holders.second }, { keys });
    }

    void compareOrganisations(Comparison& comparison)
    {
        if (!comparison.inForce.organisations || !comparison.next.organisations)
            return;
        const OrganisationDirectory inForce(*comparison.inForce.organisations);
        std::map<std::string, std::size_t> entries;
        const auto& organisations = *comparison.next.organisations;
        for (std::size_t entry = 0; entry < organisations.size(); ++entry) {
            const Organisation& after = organisations[entry];
            const Organisation* before = inForce.find(after.id);
            if (!entries.emplace(after.id.value, entry).second || !before)
                continue;
            compareAllowances(comparison, *before, after, entry);
            if (before->rank && after.rank && *after.rank > *before->rank)
                comparison.add(FindingKind::OrganisationLessUrgent, ConfigSection::Organisations, entry,
                    { after.id.value }, { double(*before->rank), double(*after.rank) });
        }
        std::set<std::string> gone;
        for (const Organisation& before : inForce.organisations()) {
            if (!entries.contains(before.id.value) && gone.insert(before.id.value).second)
                comparison.add(
                    FindingKind::OrganisationRemoved, ConfigSection::Organisations, std::nullopt, { before.id.value });
        }
        compareKeys(comparison, entries);
    }

    // Callers' limits ------------------------------------------------------------------------------------------------

    void compareCallerLimits(Comparison& comparison)
    {
        const CallerLimits& before = comparison.inForce.limits;
        const CallerLimits& after = comparison.next.limits;
        const auto compare = [&](FindingKind kind, double former, double later) {
            if (later < former)
                comparison.add(kind, ConfigSection::Limits, std::nullopt, {}, { former, later });
        };
        compare(FindingKind::HeaderLimitLowered, double(before.maxHeaderBytes), double(after.maxHeaderBytes));
        compare(FindingKind::BodyLimitLowered, double(before.maxBodyBytes), double(after.maxBodyBytes));
        compare(FindingKind::HeaderTimeoutLowered, count(before.headerTimeout), count(after.headerTimeout));
        compare(FindingKind::IdleTimeoutLowered, count(before.idleTimeout), count(after.idleTimeout));
    }

}

std::vector<ConfigFinding> compareConfigs(const RoutingConfig& inForce, const RoutingConfig& next)
{
    Comparison comparison { inForce, next, {} };
    if (next.version <= inForce.version && next != inForce)
        comparison.add(FindingKind::VersionNotHigher, ConfigSection::Document, std::nullopt, {},
            { double(inForce.version), double(next.version) });
    compareRoutes(comparison);
    compareServices(comparison);
    compareCallerLimits(comparison);
    compareOrganisations(comparison);
    return std::move(comparison.findings);
}

}
