#include "configreport.h"

#include "objectcodec.h"

#include <algorithm>
#include <unordered_set>

using namespace Rattandeck;
using Json = nlohmann::json;

namespace Platform {

// Secrets ------------------------------------------------------------------------------------------------------------

namespace {

    constexpr const char* hiddenName = "(hidden)";
    /// A shorter key is hidden only where it is the whole name: it may be a part of many words.
    constexpr std::size_t minContainedKey = 8;
    constexpr std::size_t maxOrganisationField = 24;

    /// All texts of a value, names of fields included.
    void collectTexts(const Json& value, std::unordered_set<std::string>& texts)
    {
        if (value.is_string())
            texts.insert(value.get<std::string>());
        if (value.is_object()) {
            for (const auto& [name, inner] : value.items())
                texts.insert(name);
        }
        if (!value.is_structured())
            return;
        for (const Json& inner : value)
            collectTexts(inner, texts);
    }

    /// Keys of the document, also those in a field whose name is misspelt.
    std::unordered_set<std::string> collectKeys(const Json& spec)
    {
        std::unordered_set<std::string> keys;
        const auto organisations = spec.is_object() ? spec.find("tenants") : spec.end();
        if (!spec.is_object() || organisations == spec.end() || !organisations->is_structured())
            return keys;
        for (const Json& organisation : *organisations) {
            if (!organisation.is_object())
                continue;
            for (const auto& [name, value] : organisation.items()) {
                if (nearestName(name, { "api_keys" }))
                    collectTexts(value, keys);
            }
        }
        keys.erase("");
        return keys;
    }

    bool containsKey(const std::string& text, const std::unordered_set<std::string>& keys)
    {
        return keys.contains(text) || std::ranges::any_of(keys, [&](const std::string& key) {
            return key.size() >= minContainedKey && text.find(key) != std::string::npos;
        });
    }

    /// Whether a text looks like the name of a field and not like a key.
    bool isFieldName(const std::string& text)
    {
        return text.size() <= maxOrganisationField && std::ranges::all_of(text, [](char character) {
            return character == '_' || (character >= 'a' && character <= 'z');
        });
    }

    void hideKeys(ConfigFinding& finding, const std::unordered_set<std::string>& keys)
    {
        // The name of an unknown field beside the keys may be a key that was written in the wrong place.
        const bool isFieldOfOrganisation
            = finding.kind == FindingKind::UnknownField && finding.place.section == ConfigSection::Organisations;
        for (std::string& name : finding.names) {
            if (containsKey(name, keys) || (isFieldOfOrganisation && !isFieldName(name)))
                name = hiddenName;
        }
        if (finding.suggestion && containsKey(*finding.suggestion, keys))
            finding.suggestion.reset();
    }

}

// Report -------------------------------------------------------------------------------------------------------------

namespace {

    /// Positions in the document of the organisations that are not left out.
    std::vector<std::size_t> organisationEntries(const RoutingConfig& config, const std::vector<DecodeError>& skipped)
    {
        std::vector<std::size_t> entries;
        const std::size_t total = skipped.size() + (config.organisations ? config.organisations->size() : 0);
        std::size_t nextSkipped = 0;
        for (std::size_t entry = 0; entry < total; ++entry) {
            if (nextSkipped < skipped.size() && skipped[nextSkipped].entry == entry)
                ++nextSkipped;
            else
                entries.push_back(entry);
        }
        return entries;
    }

    /// Replaces positions among the decoded organisations by those in the document.
    void placeInDocument(std::vector<ConfigFinding>& findings, const std::vector<std::size_t>& entries)
    {
        for (ConfigFinding& finding : findings) {
            if (finding.place.section == ConfigSection::Organisations && finding.place.entry)
                finding.place.entry = entries.at(*finding.place.entry);
        }
    }

    void append(std::vector<ConfigFinding>& findings, const std::vector<ConfigFinding>& more)
    {
        findings.insert(findings.end(), more.begin(), more.end());
    }

    ConfigReport check(const Json& spec, const RoutingConfig* inForce, const DeploymentFacts& facts)
    {
        ConfigReport report;
        report.findings = checkConfigFields(spec);
        std::vector<DecodeError> skipped;
        auto config = readConfig(spec, &skipped);
        if (!config)
            return report;
        auto decoded = checkConfig(*config, facts);
        if (inForce)
            append(decoded, compareConfigs(*inForce, *config));
        placeInDocument(decoded, organisationEntries(*config, skipped));
        append(report.findings, decoded);
        report.config = std::move(*config);
        return report;
    }

    void finish(ConfigReport& report, std::size_t maxFindings, const std::unordered_set<std::string>& keys)
    {
        std::ranges::stable_sort(report.findings,
            [](const ConfigFinding& left, const ConfigFinding& right) { return left.severity > right.severity; });
        if (report.findings.size() > maxFindings) {
            report.leftOut = report.findings.size() - maxFindings;
            report.findings.resize(maxFindings);
        }
        for (ConfigFinding& finding : report.findings)
            hideKeys(finding, keys);
    }

}

ConfigReport checkConfigDocument(const Json& spec, const DeploymentFacts& facts, std::size_t maxFindings)
{
    ConfigReport report = check(spec, nullptr, facts);
    finish(report, maxFindings, collectKeys(spec));
    return report;
}

ConfigReport checkConfigDocumentAgainst(
    const Json& spec, const Json& inForce, const DeploymentFacts& facts, std::size_t maxFindings)
{
    const auto before = readConfig(inForce);
    ConfigReport report = check(spec, before ? &*before : nullptr, facts);
    auto keys = collectKeys(spec);
    keys.merge(collectKeys(inForce));
    finish(report, maxFindings, keys);
    return report;
}

}
