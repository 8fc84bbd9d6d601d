#include "commands.h"

#include "objectfile.h"
#include "Rattandeck/policy.h"
#include "RattandeckApp/commandline.h"
#include "session.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace Rattandeck;
using namespace RattandeckApp;
using namespace RattandeckNet;
using Json = nlohmann::ordered_json;

// Shared steps -------------------------------------------------------------------------------------------------------

namespace {

int reportUsage(const std::string& text)
{
    std::cerr << "rattandeckctl: " << text << "; see --help\n";
    return ExitUsage;
}

int report(const ObjectKey& key, ObjectError error)
{
    const std::string name = key.kind + "/" + key.name + ": ";
    switch (error) {
    case ObjectError::Conflict:
        std::cerr << name
                  << "has another version than expected; nothing was changed. Get the object, merge, and apply again\n";
        return ExitConflict;
    case ObjectError::NotFound:
        std::cerr << name << "does not exist\n";
        return ExitFailure;
    case ObjectError::Unavailable:
        std::cerr << name << "the object API can't be reached; nothing was changed\n";
        return ExitUnavailable;
    case ObjectError::NoAnswer:
        std::cerr << name << "no answer: the change may have been accepted. Get the object before trying again\n";
        return ExitUnavailable;
    case ObjectError::TooLarge:
        std::cerr << name << "is too large\n";
        return ExitFailure;
    case ObjectError::Malformed:
        break;
    }
    std::cerr << name << "the object API returned an invalid response\n";
    return ExitFailure;
}

tl::expected<std::vector<FileObject>, int> readFile(const CommandOptions& options)
{
    if (options.file.empty())
        return tl::unexpected(reportUsage("--file is needed"));
    auto objects = readObjectFile(options.file);
    if (objects)
        return std::move(*objects);
    for (const FileError& error : objects.error())
        std::cerr << describe(error) << '\n';
    return tl::unexpected(int { ExitSettings });
}

// Returns the stored object, or nothing if it does not exist.
tl::expected<std::optional<StoredObject>, int> readStored(
    Session& session, const CommandOptions& options, const ObjectKey& key)
{
    const ObjectOutcome outcome = session.call(*options.objectApi, ObjectGet { key });
    if (!outcome && outcome.error() == ObjectError::NotFound)
        return std::nullopt;
    if (!outcome)
        return tl::unexpected(report(key, outcome.error()));
    if (outcome->objects.empty() || outcome->objects.front().deleted)
        return std::nullopt;
    return outcome->objects.front();
}

// Prints the fields in which the specs differ. Returns whether the object is new or differs.
bool printDifference(const FileObject& wanted, const std::optional<StoredObject>& stored)
{
    const Json after = Json::parse(wanted.value, nullptr, false);
    const Json before = stored ? Json::parse(stored->value, nullptr, false) : Json::object();
    if (stored && nlohmann::json(before) == nlohmann::json(after))
        return false;
    std::cout << wanted.key.kind << '/' << wanted.key.name << (stored ? "" : " (new)") << '\n';
    for (const auto& [name, value] : before.items()) {
        if (!after.contains(name) || after[name] != value)
            std::cout << "  - " << name << " = " << value.dump() << '\n';
    }
    for (const auto& [name, value] : after.items()) {
        if (!before.contains(name) || before[name] != value)
            std::cout << "  + " << name << " = " << value.dump() << '\n';
    }
    return true;
}

}

// Selector matches ---------------------------------------------------------------------------------------------------

namespace {

// Reads the stored `endpoint` and `program` objects. Dry runs match selectors against the labels in them.
tl::expected<PolicySet, int> readPolicies(Session& session, const CommandOptions& options)
{
    PolicySet policies;
    for (const char* kind : { "endpoint", "program" }) {
        const ObjectOutcome outcome = session.call(*options.objectApi, ObjectList { kind });
        if (!outcome)
            return tl::unexpected(report({ kind, "" }, outcome.error()));
        for (const StoredObject& object : outcome->objects)
            policies.apply({ object.key.kind, object.key.name, object.version, object.deleted, object.value });
    }
    return { std::move(policies) };
}

void printEndpointMatches(const Json& instances, const PolicySet& policies, const Json& spec)
{
    if (!spec.contains("endpoints"))
        return;
    const auto selector = parseSelector(spec["endpoints"].get<std::string>());
    std::size_t hits = 0;
    for (const Json& instance : instances) {
        const ServiceName service(instance.value("service", ""));
        const NodeId node(instance.value("node", ""));
        const FailureDomain domain(instance.value("domain", ""));
        if (service.value.empty() || !matches(*selector, policies.endpointLabels(node, domain, service)))
            continue;
        std::cout << "  selects endpoint " << node.value << " (" << service.value << ", " << domain.value << ")\n";
        ++hits;
    }
    std::cout << "  " << hits << " endpoint instances match today\n";
}

void printProgramMatches(const Json& programs, const PolicySet& policies, const Json& spec)
{
    const auto selector = parseSelector(spec.value("programs", ""));
    const auto hits = std::count_if(programs.begin(), programs.end(), [&](const Json& program) {
        const OrganisationId organisation(program.value("organisation", ""));
        return matches(*selector, policies.programLabels(organisation, ServiceName(program.value("service", ""))));
    });
    std::cout << "  " << hits << " of " << programs.size() << " open programs match today\n";
}

// Returns the open programs of all given entries, or nothing if one of them can't be read.
std::optional<Json> readOpenPrograms(Session& session, const CommandOptions& options)
{
    Json all = Json::array();
    for (const Address& entry : options.entryAdmins) {
        const auto response = session.get(entry, "/v1/programs");
        const Json programs = response ? Json::parse(response->body, nullptr, false) : Json();
        if (!programs.is_array())
            return std::nullopt;
        all.insert(all.end(), programs.begin(), programs.end());
    }
    return all;
}

int printAllMatches(Session& session, const CommandOptions& options, const std::vector<FileObject>& objects)
{
    if (!options.instanceList)
        return ExitSuccess;
    auto policies = readPolicies(session, options);
    if (!policies)
        return policies.error();
    const auto response = session.get(*options.instanceList, "/instances");
    const Json instances = response ? Json::parse(response->body, nullptr, false) : Json();
    if (!instances.is_array()) {
        std::cerr << "the instance list can't be read\n";
        return ExitUnavailable;
    }
    // Match against the labels as they would be after applying the file.
    for (const FileObject& object : objects)
        policies->apply({ object.key.kind, object.key.name, object.version, false, object.value });
    const std::optional<Json> programs = readOpenPrograms(session, options);
    if (!programs) {
        std::cerr << "the entries' open programs can't be read\n";
        return ExitUnavailable;
    }
    for (const FileObject& object : objects) {
        if (object.key.kind != "policy")
            continue;
        const Json spec = Json::parse(object.value, nullptr, false);
        std::cout << object.key.kind << '/' << object.key.name << '\n';
        printEndpointMatches(instances, *policies, spec);
        if (!options.entryAdmins.empty())
            printProgramMatches(*programs, *policies, spec);
    }
    return ExitSuccess;
}

}

// Commands -----------------------------------------------------------------------------------------------------------

int checkFile(const CommandOptions& options)
{
    const auto objects = readFile(options);
    if (!objects)
        return objects.error();
    std::cout << objects->size() << " objects are valid\n";
    return ExitSuccess;
}

int diffFile(const CommandOptions& options)
{
    const auto objects = readFile(options);
    if (!objects)
        return objects.error();
    Session session;
    for (const FileObject& object : *objects) {
        const auto stored = readStored(session, options, object.key);
        if (!stored)
            return stored.error();
        printDifference(object, *stored);
    }
    return ExitSuccess;
}

namespace {

int applyObject(Session& session, const CommandOptions& options, const FileObject& object)
{
    const auto stored = readStored(session, options, object.key);
    if (!stored)
        return stored.error();
    if (!printDifference(object, *stored)) {
        std::cout << object.key.kind << '/' << object.key.name << " is unchanged\n";
        return ExitSuccess;
    }
    const ObjectVersion current = *stored ? (*stored)->version : ObjectVersion(0);
    const ObjectVersion expected = options.overwrite ? current : object.version;
    if (expected != current)
        return report(object.key, ObjectError::Conflict);
    if (options.dryRun)
        return ExitSuccess;
    const ObjectOutcome outcome = session.call(*options.objectApi, ObjectPut { object.key, expected, object.value });
    if (!outcome)
        return report(object.key, outcome.error());
    std::cout << object.key.kind << '/' << object.key.name << " applied";
    if (!outcome->objects.empty())
        std::cout << ", version " << outcome->objects.front().version.value;
    std::cout << '\n';
    return ExitSuccess;
}

}

int applyFile(const CommandOptions& options)
{
    const auto objects = readFile(options);
    if (!objects)
        return objects.error();
    Session session;
    for (const FileObject& object : *objects) {
        if (const int code = applyObject(session, options, object); code != ExitSuccess)
            return code;
    }
    if (!options.dryRun)
        return ExitSuccess;
    const int code = printAllMatches(session, options, *objects);
    std::cout << "dry run: nothing was changed\n";
    return code;
}

int getObjects(const CommandOptions& options, const std::string& kind, const std::string& name)
{
    Session session;
    const ObjectRequest request
        = name.empty() ? ObjectRequest(ObjectList { kind }) : ObjectRequest(ObjectGet { { kind, name } });
    const ObjectOutcome outcome = session.call(*options.objectApi, request);
    if (!outcome)
        return report({ kind, name }, outcome.error());
    for (const StoredObject& object : outcome->objects) {
        if (!object.deleted)
            std::cout << formatObject(object) << '\n';
    }
    return ExitSuccess;
}

int deleteObject(const CommandOptions& options, const std::string& kind, const std::string& name)
{
    if (options.version.value == 0)
        return reportUsage("--version-read is needed: the version as last read");
    Session session;
    const ObjectOutcome outcome = session.remove(*options.objectApi, { kind, name }, options.version);
    if (!outcome)
        return report({ kind, name }, outcome.error());
    std::cout << kind << '/' << name << " deleted\n";
    return ExitSuccess;
}

int watchObjects(const CommandOptions& options, const std::string& kind)
{
    Session session;
    session.watch(*options.objectApi, [&](const StoredObject& object, ObjectVersion revision) {
        if (!kind.empty() && object.key.kind != kind)
            return;
        std::cout << revision.value << ' ' << object.key.kind << '/' << object.key.name << ' '
                  << (object.deleted ? "deleted" : object.value) << std::endl;
    });
    return ExitSuccess;
}

namespace {

void printDecisions(const Json& decisions)
{
    for (const Json& decision : decisions) {
        std::cout << "turn " << decision.value("turn", 0) << ": " << decision.value("choice", "") << " by "
                  << decision.value("policy", "") << '\n';
        for (const Json& candidate : decision.value("candidates", Json::array())) {
            std::cout << "  " << candidate.value("endpoint", "") << " score " << candidate.value("score", 0.0)
                      << " s (wait " << candidate.value("wait_s", 0.0) << ", prefill "
                      << candidate.value("prefill_s", 0.0) << ", transfer " << candidate.value("transfer_s", 0.0)
                      << ")\n";
        }
    }
}

}

int explainProgram(const CommandOptions& options, const std::string& program)
{
    Session session;
    std::size_t found = 0;
    for (const Address& entry : options.entryAdmins) {
        const auto response = session.get(entry, "/v1/decisions", "program", program);
        if (!response) {
            std::cerr << toString(entry) << " can't be reached: " << describe(response.error()) << '\n';
            return ExitUnavailable;
        }
        const Json decisions = Json::parse(response->body, nullptr, false);
        if (response->status != 200 || !decisions.is_array()) {
            std::cerr << response->body;
            return ExitFailure;
        }
        printDecisions(decisions);
        found += decisions.size();
    }
    if (found == 0)
        std::cout << "none of the given entries has a recorded decision for this program\n";
    return ExitSuccess;
}

int drainEndpoint(const CommandOptions& options, const std::string& node, bool admit)
{
    Session session;
    const ObjectKey key { "policy", "drain-" + node };
    const auto stored = readStored(session, options, key);
    if (!stored)
        return stored.error();
    if (admit && !*stored) {
        std::cout << node << " is not drained\n";
        return ExitSuccess;
    }
    const ObjectVersion current = *stored ? (*stored)->version : ObjectVersion(0);
    const std::string value = Json({ { "endpoints", "node=" + node }, { "admit", false } }).dump();
    const ObjectOutcome outcome = admit ? session.remove(*options.objectApi, key, current)
                                        : session.call(*options.objectApi, ObjectPut { key, current, value });
    if (!outcome)
        return report(key, outcome.error());
    std::cout << node << (admit ? " gets new work again\n" : " gets no new work\n");
    return ExitSuccess;
}
