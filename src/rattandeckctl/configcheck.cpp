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

tl::expected<Json, std::string> readDocument(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        return tl::unexpected(path + ": can't be read");
    const std::string text = content.str();
    Json document;
    PositionHandler handler(document);
    if (Json::sax_parse(text, &handler))
        return document;
    if (handler.position == 0)
        return tl::unexpected(path + ": is nested too deeply");
    return tl::unexpected(path + ":" + describePosition(text, handler.position) + ": is not JSON");
}

tl::expected<Json, std::string> readLive(const std::optional<RattandeckNet::Address>& server)
{
    if (!server)
        return tl::unexpected(std::string("--against live needs --store, the address of the platform's store"));
    RattandeckNet::EventLoop loop;
    Platform::ObjectStore store(loop, *server);
    tl::expected<Platform::StoredObject, Platform::StoreError> object = tl::unexpected(Platform::StoreError::NoAnswer);
    store.read(Platform::Names::configKind, Platform::Names::configName, [&](auto answer) {
        object = std::move(answer);
        loop.stop();
    });
    loop.run();
    if (!object)
        return tl::unexpected("the configuration in force: " + std::string(Platform::describe(object.error())));
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
tl::expected<Json, std::string> readInForce(const ConfigCheckOptions& options)
{
    auto spec = options.against == "live" ? readLive(options.store) : readDocument(options.against);
    if (!spec)
        return spec;
    const auto config = Platform::readConfig(*spec);
    if (!config)
        return tl::unexpected("the configuration in force: missing or invalid field " + config.error().field);
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
        return reportUnreadable(document.error());
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
            return reportUnreadable(inForce.error());
        report = Platform::checkConfigDocumentAgainst(*document, *inForce, facts);
    }
    if (options.format == "json")
        printJson(report);
    else
        printText(path, report);
    return hasCountedFinding(report.findings) ? ExitFailure : ExitSuccess;
}
