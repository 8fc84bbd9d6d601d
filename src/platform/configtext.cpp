#include "configreport.h"

#include <algorithm>
#include <array>
#include <charconv>

using namespace Rattandeck;
using Json = nlohmann::json;

namespace Platform {

// Names --------------------------------------------------------------------------------------------------------------

namespace {

    struct KindText {
        FindingKind kind;
        const char* name;
        /// Field that the kind concerns; empty for the whole entry, and where the finding names the field itself.
        const char* field;
        /// {0} and {1} are the names of the finding, {2} and {3} its numbers.
        const char* text;
    };

    constexpr std::array kindTexts {
        KindText { FindingKind::MissingField, "missing-field", "", "is missing" },
        KindText { FindingKind::WrongType, "wrong-type", "", "has the wrong type" },
        KindText { FindingKind::InvalidValue, "invalid-value", "", "has a value that is not allowed" },
        KindText { FindingKind::IgnoredValue, "ignored-value", "",
            "has a value that is not allowed; it is ignored or changed" },
        KindText { FindingKind::UnknownField, "unknown-field", "", "field {0} is not known" },
        KindText { FindingKind::HiddenRoute, "hidden-route", "path_prefix",
            "route {0} gets no calls: route {1} has the same host and prefix" },
        KindText { FindingKind::UnmatchablePrefix, "unmatchable-prefix", "path_prefix",
            "route {0} gets no calls: a prefix begins and ends with a slash" },
        KindText { FindingKind::RouteWithoutService, "route-without-service", "",
            "route {0} has no service; its calls are answered with 404" },
        KindText { FindingKind::NoWeight, "no-weight", "split",
            "all weights of route {0} are 0, so its first service gets all calls" },
        KindText {
            FindingKind::UnknownService, "unknown-service", "", "route {0} names service {1}, which has no entry" },
        KindText { FindingKind::ServiceWithoutRoute, "service-without-route", "", "no route leads to service {0}" },
        KindText { FindingKind::DuplicateService, "duplicate-service", "name",
            "service {0} has an earlier entry, which applies" },
        KindText { FindingKind::OrganisationWithoutKeys, "organisation-without-keys", "api_keys",
            "organisation {0} has no key, so it has no access" },
        KindText { FindingKind::SharedKey, "shared-key", "api_keys",
            "organisation {1} has a key that belongs to organisation {0}" },
        KindText { FindingKind::DuplicateOrganisation, "duplicate-organisation", "name",
            "organisation {0} has an earlier entry" },
        KindText {
            FindingKind::NobodyAdmitted, "nobody-admitted", "", "all routes need a key, and no organisation has one" },
        KindText { FindingKind::TimeoutNotPositive, "timeout-not-positive", "timeout_ms",
            "calls on route {0} time out at once: {2} ms" },
        KindText { FindingKind::ObjectiveNotPositive, "objective-not-positive", "goal_ms",
            "the objective of route {0} can't be met: {2} ms" },
        KindText { FindingKind::ObjectiveAboveTimeout, "objective-above-timeout", "goal_ms",
            "the objective of route {0}, {2} ms, is above its timeout, {3} ms" },
        KindText { FindingKind::UnusedAttempts, "unused-attempts", "attempts",
            "calls on route {0} run at most once; its {2} attempts only allow more sends after refusals" },
        KindText { FindingKind::ResumeWithoutStream, "resume-without-stream", "can_resume",
            "route {0} has no streams that could be resumed" },
        KindText { FindingKind::RetentionNotPositive, "retention-not-positive", "retain_s",
            "route {0} retains turns, but for no time" },
        KindText { FindingKind::UnusedRetention, "unused-retention", "retain_s",
            "route {0} has a retention time, but retains no turns" },
        KindText { FindingKind::SlotsAboveConnections, "slots-above-connections", "engine.slots",
            "instances of service {0} have {2} slots, but accept only {3} connections" },
        KindText { FindingKind::BurstWithoutRate, "burst-without-rate", "burst",
            "organisation {0} has a burst without a rate, so its calls are not limited" },
        KindText { FindingKind::AllowanceBelowNeed, "allowance-below-need", "rate_per_s",
            "organisation {0} may make {2} calls in a second, fewer than the {3} of one program" },
        KindText { FindingKind::TimeoutAboveDeadline, "timeout-above-deadline", "timeout_ms",
            "the timeout of route {0}, {2} ms, is above the callers' deadline, {3} ms" },
        KindText { FindingKind::AttemptsAboveRetryBudget, "attempts-above-retry-budget", "attempts",
            "route {0} allows {2} attempts, more than the retry budget of a gateway, {3}" },
        KindText { FindingKind::ServiceWithoutInstances, "service-without-instances", "",
            "service {1} of route {0} has no instance that takes new calls" },
        KindText { FindingKind::AllowancesAboveCapacity, "allowances-above-capacity", "",
            "all organisations may make {2} calls a second together, more than the {3} that all instances serve if "
            "each "
            "takes the shortest objective" },
        KindText { FindingKind::VersionNotHigher, "version-not-higher", "version",
            "gateways keep version {2}, since {3} is not higher" },
        KindText { FindingKind::PathUnreachable, "path-unreachable", "", "calls at {0} will be answered with 404" },
        KindText { FindingKind::ServiceUnreachable, "service-unreachable", "", "no call will reach service {0}" },
        KindText { FindingKind::KeyNeeded, "key-needed", "public", "calls at {0} will need a key" },
        KindText { FindingKind::OrganisationRemoved, "organisation-removed", "", "organisation {0} loses its access" },
        KindText { FindingKind::KeysRemoved, "keys-removed", "api_keys",
            "organisation {0} loses its access with {2} of its keys" },
        KindText { FindingKind::KeyMoved, "key-moved", "api_keys",
            "keys of organisation {0} will belong to organisation {1}: {2}" },
        KindText { FindingKind::RateLowered, "rate-lowered", "rate_per_s",
            "the rate of organisation {0} falls from {2} to {3} calls a second; with its burst of {4}, a caller that "
            "goes on at the former rate is refused after {5} s" },
        KindText { FindingKind::RateAdded, "rate-added", "rate_per_s",
            "organisation {0} had no limit; beyond a burst of {3}, its calls above {2} a second will be refused" },
        KindText { FindingKind::BurstLowered, "burst-lowered", "burst",
            "the burst of organisation {0} falls from {2} to {3}; this binds after its next pause" },
        KindText { FindingKind::OrganisationLessUrgent, "organisation-less-urgent", "priority",
            "the priority of organisation {0} changes from {2} to the less urgent {3}" },
        KindText { FindingKind::RouteLessUrgent, "route-less-urgent", "priority",
            "the priority of calls at {0} changes from {2} to the less urgent {3}" },
        KindText { FindingKind::TimeoutLowered, "timeout-lowered", "timeout_ms",
            "the timeout of calls at {0} falls from {2} to {3} ms, for calls that begin then" },
        KindText { FindingKind::AttemptsLowered, "attempts-lowered", "attempts",
            "the attempts of calls at {0} fall from {2} to {3}, for calls that begin then" },
        KindText { FindingKind::RetentionLowered, "retention-lowered", "retain_s",
            "the retention of turns at {0} falls from {2} to {3} ms, for turns that begin then" },
        KindText { FindingKind::ResumeRemoved, "resume-removed", "can_resume",
            "interrupted streams at {0} will not be resumed" },
        KindText { FindingKind::ConnectionsLowered, "connections-lowered", "max_conns",
            "the connections of an instance of service {0} fall from {2} to {3}" },
        KindText { FindingKind::BodyLimitLowered, "body-limit-lowered", "max_body_bytes",
            "the longest body falls from {2} to {3} bytes; longer ones will be refused" },
        KindText { FindingKind::HeaderLimitLowered, "header-limit-lowered", "max_header_bytes",
            "the longest head falls from {2} to {3} bytes; longer ones will be refused" },
        KindText { FindingKind::HeaderTimeoutLowered, "header-timeout-lowered", "header_timeout_ms",
            "the time for a head falls from {2} to {3} ms" },
        KindText { FindingKind::IdleTimeoutLowered, "idle-timeout-lowered", "idle_timeout_ms",
            "the time for which a connection may be idle falls from {2} to {3} ms" },
    };

    const KindText& textOf(FindingKind kind)
    {
        const auto* const found = std::ranges::find(kindTexts, kind, &KindText::kind);
        return found == kindTexts.end() ? kindTexts.front() : *found;
    }

    const char* sectionName(ConfigSection section)
    {
        switch (section) {
        case ConfigSection::Document:
            return "";
        case ConfigSection::Routes:
            return "routes";
        case ConfigSection::Services:
            return "services";
        case ConfigSection::Limits:
            return "limits";
        case ConfigSection::Organisations:
            return "tenants";
        }
        return "";
    }

    /// A name of the document, short and without control characters.
    std::string printable(const std::string& name)
    {
        constexpr std::size_t maxLength = 100;
        std::string text;
        for (const char character : name.substr(0, maxLength)) {
            const auto byte = static_cast<unsigned char>(character);
            constexpr unsigned char firstPrintable = 0x20;
            constexpr unsigned char deleteCharacter = 0x7f;
            text += byte < firstPrintable || byte == deleteCharacter ? '?' : character;
        }
        return name.size() > maxLength ? text + "..." : text;
    }

    std::string quoted(const std::string& name) { return '"' + printable(name) + '"'; }

}

std::string_view kindName(FindingKind kind) { return textOf(kind).name; }

std::string_view severityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Notice:
        return "notice";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Error:
        return "error";
    }
    return "unknown";
}

// Text ---------------------------------------------------------------------------------------------------------------

std::string describePlace(const ConfigFinding& finding)
{
    std::string place = sectionName(finding.place.section);
    if (finding.place.entry)
        place += "[" + std::to_string(*finding.place.entry) + "]";
    std::string field = finding.place.field.empty() ? textOf(finding.kind).field : finding.place.field;
    while (field.ends_with('.'))
        field.pop_back();
    if (!field.empty())
        place += (place.empty() ? "" : ".") + field;
    return place.empty() ? "document" : place;
}

namespace {

    std::string formatNumber(double number)
    {
        constexpr std::size_t maxDigits = 32;
        std::array<char, maxDigits> digits {};
        const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), number);
        return { digits.data(), written.ptr };
    }

    /// What stands for the placeholder `digit`.
    std::string argumentOf(const ConfigFinding& finding, char digit)
    {
        constexpr std::size_t firstNumber = 2;
        const auto index = static_cast<std::size_t>(digit - '0');
        if (index < firstNumber)
            return index < finding.names.size() ? quoted(finding.names[index]) : "without a name";
        const std::size_t number = index - firstNumber;
        return number < finding.numbers.size() ? formatNumber(finding.numbers[number]) : "?";
    }

    /// Replaces the placeholders in one pass, so that a name that contains one stays as it is.
    std::string fill(std::string_view pattern, const ConfigFinding& finding)
    {
        std::string text;
        for (std::size_t at = 0; at < pattern.size(); ++at) {
            if (pattern[at] != '{') {
                text += pattern[at];
                continue;
            }
            text += argumentOf(finding, pattern[at + 1]);
            at += 2;
        }
        return text;
    }

}

std::string describeFinding(const ConfigFinding& finding)
{
    std::string text = fill(textOf(finding.kind).text, finding);
    if (finding.kind == FindingKind::InvalidValue && !finding.names.empty())
        text += ": " + quoted(finding.names.front());
    if (finding.suggestion)
        text += "; did you mean " + quoted(*finding.suggestion) + "?";
    return text;
}

Json writeFinding(const ConfigFinding& finding)
{
    Json names = Json::array();
    for (const std::string& name : finding.names)
        names.push_back(printable(name));
    Json json { { "kind", kindName(finding.kind) }, { "severity", severityName(finding.severity) },
        { "place", describePlace(finding) }, { "names", names }, { "numbers", finding.numbers },
        { "text", describeFinding(finding) } };
    if (finding.suggestion)
        json["suggestion"] = printable(*finding.suggestion);
    return json;
}

}
