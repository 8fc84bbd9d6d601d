#include "configcheck.h"

#include "platform/configreport.h"
#include "platform/names.h"
#include "platform/objectcodec.h"
#include "platform/storejson.h"
#include "Rattandeck/boundedjson.h"
#include "Rattandeck/gateway.h"
#include "RattandeckApp/commandline.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

using namespace Rattandeck;
using RattandeckApp::ExitFailure;
using RattandeckApp::ExitSuccess;
using Json = nlohmann::json;

namespace {

constexpr int exitUnreadable = 2;

int reportUnreadable(const std::string& text)
{
    std::cerr << "rattandeckctl: " << text << '\n';
    return exitUnreadable;
}

// Reading ------------------------------------------------------------------------------------------------------------

/// Remembers where the text can't be read. The library's own message contains a part of the text, which may be a key.
class PositionHandler : public BoundedJsonHandler {
public:
    explicit PositionHandler(Json& target)
        : BoundedJsonHandler(target, Platform::maxJsonDepth, DeepValue::Reject)
    {
    }

    bool parse_error(std::size_t at, const std::string& /*token*/, const nlohmann::detail::exception&) override
    {
        this->position = at;
        return false;
    }

    std::size_t position = 0;
};

/// Line and column of the byte `position`, which is counted from 1.
std::string describePosition(const std::string& text, std::size_t position)
{
    const std::string before = text.substr(0, position > 0 ? position - 1 : 0);
    const auto line = 1 + std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = before.rfind('\n') == std::string::npos ? 0 : before.rfind('\n') + 1;
    return std::to_string(line) + ":" + std::to_string(before.size() - lineStart + 1);
}

/// Why there is nothing to check, or to compare with.
struct UnreadableConfig {
    enum class Cause {
        CannotBeRead,
        NestedTooDeeply,
        NotJson,
        NoStoreAddress,
        StoreFailed,
        NotAdopted,
    };
    Cause cause = Cause::CannotBeRead;
    /// Path, with line and column where they are known; the store's error; or the field that keeps it from adoption.
    std::string detail;
};

std::string describe(const UnreadableConfig& error)
{
    switch (error.cause) {
    case UnreadableConfig::Cause::CannotBeRead:
        return error.detail + ": can't be read";
    case UnreadableConfig::Cause::NestedTooDeeply:
        return error.detail + ": is nested too deeply";
    case UnreadableConfig::Cause::NotJson:
        return error.detail + ": is not JSON";
    case UnreadableConfig::Cause::NoStoreAddress:
        return "--against live needs --store, the address of the platform's store";
    case UnreadableConfig::Cause::StoreFailed:
        return "the configuration in force: " + error.detail;
    case UnreadableConfig::Cause::NotAdopted:
        return "the configuration in force: missing or invalid field " + error.detail;
    }
    return {};
}

tl::unexpected<UnreadableConfig> unreadable(UnreadableConfig::Cause cause, std::string detail = {})
{
    return tl::unexpected(UnreadableConfig { cause, std::move(detail) });
}

tl::expected<Json, UnreadableConfig> readDocument(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        return unreadable(UnreadableConfig::Cause::CannotBeRead, path);
    const std::string text = content.str();
    Json document;
    PositionHandler handler(document);
    if (Json::sax_parse(text, &handler))
        return document;
    if (handler.position == 0)
        return unreadable(UnreadableConfig::Cause::NestedTooDeeply, path);
    return unreadable(UnreadableConfig::Cause::NotJson, path + ":" + describePosition(text, handler.position));
}

tl::expected<Json, UnreadableConfig> readLive(const std::optional<RattandeckNet::Address>& server)
{
    if (!server)
        return unreadable(UnreadableConfig::Cause::NoStoreAddress);
    RattandeckNet::EventLoop loop;
    Platform::ObjectStore store(loop, *server);
    tl::expected<Platform::StoredObject, Platform::StoreError> object = tl::unexpected(Platform::StoreError::NoAnswer);
    store.read(Platform::Names::configKind, Platform::Names::configName, [&](auto answer) {
        object = std::move(answer);
        loop.stop();
    });
    loop.run();
    if (!object)
        return unreadable(UnreadableConfig::Cause::StoreFailed, std::string(Platform::describe(object.error())));
    return std::move(object->spec);
}

using Slots = std::map<ServiceName, std::uint32_t>;

/// Slots of the instances in the store, without those that leave.
Slots countSlots(const std::vector<Platform::StoredObject>& objects)
{
    Slots slots;
    for (const Platform::StoredObject& object : objects) {
        const auto instance = Platform::readEndpoint(object);
        if (instance && !instance->isDraining)
            slots[instance->service] += instance->slots;
    }
    return slots;
}

/// Returns nothing if the store doesn't answer.
std::optional<Slots> readSlots(const RattandeckNet::Address& server)
{
    RattandeckNet::EventLoop loop;
    Platform::ObjectStore store(loop, server);
    std::optional<Slots> slots;
    Platform::KindHandlers handlers;
    handlers.onSnapshot = [&](const std::vector<Platform::StoredObject>& objects, std::uint64_t /*revision*/) {
        slots = countSlots(objects);
        loop.stop();
    };
    handlers.onReachable = [&](bool isReachable) {
        if (!isReachable)
            loop.stop();
    };
    store.follow(Platform::Names::endpointsKind, handlers);
    loop.run();
    return slots;
}

/// Reads the spec in force, which has to be one that gateways adopt.
tl::expected<Json, UnreadableConfig> readInForce(const ConfigCheckOptions& options)
{
    auto spec = options.against == "live" ? readLive(options.store) : readDocument(options.against);
    if (!spec)
        return spec;
    const auto config = Platform::readConfig(*spec);
    if (!config)
        return unreadable(UnreadableConfig::Cause::NotAdopted, config.error().field);
    return spec;
}

// Printing -----------------------------------------------------------------------------------------------------------

void printText(const std::string& path, const Platform::ConfigReport& report)
{
    for (const ConfigFinding& finding : report.findings)
        std::cout << path << ": " << Platform::severityName(finding.severity) << ": "
                  << Platform::describePlace(finding) << ": " << Platform::describeFinding(finding) << " ["
                  << Platform::kindName(finding.kind) << "]\n";
    if (report.leftOut > 0)
        std::cout << path << ": " << report.leftOut << " further findings\n";
}

void printJson(const Platform::ConfigReport& report)
{
    Json findings = Json::array();
    for (const ConfigFinding& finding : report.findings)
        findings.push_back(Platform::writeFinding(finding));
    const Json document { { "findings", findings }, { "left_out", report.leftOut },
        { "adopted", report.config.has_value() } };
    std::cout << document.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
}

DeploymentFacts knownFacts(const ConfigCheckOptions& options)
{
    DeploymentFacts facts;
    if (options.deadlineMs > 0)
        facts.callerDeadline = Milliseconds(options.deadlineMs);
    if (options.programCalls > 0)
        facts.programCalls = options.programCalls;
    facts.retryBurst = GatewayLimits().retryBurst;
    return facts;
}

}

int checkConfiguration(const std::string& path, const ConfigCheckOptions& options)
{
    if (options.format != "text" && options.format != "json")
        return reportUnreadable("--format is text or json");
    const auto document = readDocument(path);
    if (!document)
        return reportUnreadable(describe(document.error()));
    DeploymentFacts facts = knownFacts(options);
    if (options.store) {
        facts.slots = readSlots(*options.store);
        if (!facts.slots)
            return reportUnreadable("the instances in the store: no answer");
    }
    Platform::ConfigReport report;
    if (options.against.empty()) {
        report = Platform::checkConfigDocument(*document, facts);
    } else {
        const auto inForce = readInForce(options);
        if (!inForce)
            return reportUnreadable(describe(inForce.error()));
        report = Platform::checkConfigDocumentAgainst(*document, *inForce, facts);
    }
    if (options.format == "json")
        printJson(report);
    else
        printText(path, report);
    return hasCountedFinding(report.findings) ? ExitFailure : ExitSuccess;
}
