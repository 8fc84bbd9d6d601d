#include "configcheck.h"

#include "platform/configreport.h"
#include "platform/storejson.h"
#include "Rattandeck/boundedjson.h"
#include "RattandeckApp/commandline.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
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

}

int checkConfiguration(const std::string& path, const ConfigCheckOptions& options)
{
    if (options.format != "text" && options.format != "json")
        return reportUnreadable("--format is text or json");
    const auto document = readDocument(path);
    if (!document)
        return reportUnreadable(document.error());
    const auto report = Platform::checkConfigDocument(*document);
    if (options.format == "json")
        printJson(report);
    else
        printText(path, report);
    return hasCountedFinding(report.findings) ? ExitFailure : ExitSuccess;
}
