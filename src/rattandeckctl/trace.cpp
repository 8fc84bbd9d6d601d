#include "trace.h"

#include "RattandeckApp/commandline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>

using Json = nlohmann::ordered_json;

namespace {

/// Context lines are collected from this long before the first line about the request until its last line.
constexpr std::int64_t contextBeforeMs = 5000;

// NOLINTNEXTLINE(bugprone-exception-escape): moving the library's values only asserts.
struct LogLine {
    std::int64_t timeMs = 0;
    std::string process;
    std::string event;
    Json fields;
};

std::string textOf(const Json& json, const char* name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<LogLine> readLine(const std::string& text)
{
    const std::size_t begin = text.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    Json json = Json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
    if (!json.is_object() || !json.contains("time_ms") || !json["time_ms"].is_number_integer())
        return std::nullopt;
    LogLine line;
    line.timeMs = json["time_ms"].get<std::int64_t>();
    line.process = textOf(json, "process");
    line.event = textOf(json, "event");
    for (const char* name : { "time_ms", "process", "event", "level" })
        json.erase(name);
    line.fields = std::move(json);
    return line;
}

bool isAbout(const LogLine& line, const std::string& id)
{
    return textOf(line.fields, "request") == id || textOf(line.fields, "program") == id;
}

/// Returns whether the event is about the state of a journal. Such events are context for every request, since any
/// gateway may have used the journal.
bool isAboutJournalState(const std::string& event)
{
    return event.starts_with("journal complete") || event.starts_with("disk") || event == "start" || event == "stop";
}

/// Collects the processes, endpoints and time span of the lines about a request. Other lines that match them are the
/// request's context.
struct Scope {
    std::set<std::string> processes;
    std::set<std::string> endpoints;
    std::int64_t first = INT64_MAX;
    std::int64_t last = INT64_MIN;

    void add(const LogLine& line)
    {
        this->processes.insert(line.process);
        for (const char* name : { "endpoint", "best_endpoint", "passed_over" }) {
            if (const std::string endpoint = textOf(line.fields, name); !endpoint.empty())
                this->endpoints.insert(endpoint);
        }
        this->first = std::min(this->first, line.timeMs);
        this->last = std::max(this->last, line.timeMs);
    }

    bool covers(const LogLine& line) const
    {
        // A limit is in force until it changes, however long ago it became known.
        if (line.event == "endpoint limit")
            return line.timeMs <= this->last && this->endpoints.contains(textOf(line.fields, "endpoint"));
        if (line.timeMs < this->first - contextBeforeMs || line.timeMs > this->last)
            return false;
        // The line belongs to another request.
        if (line.fields.contains("request"))
            return false;
        const std::string endpoint = textOf(line.fields, "endpoint");
        if (!endpoint.empty())
            return this->endpoints.contains(endpoint);
        return this->processes.contains(line.process) || isAboutJournalState(line.event);
    }
};

std::vector<std::string> findMissing(const std::vector<LogLine>& lines, const std::string& id)
{
    std::vector<std::string> missing;
    std::set<std::string> sent;
    std::set<std::string> ended;
    for (const LogLine& line : lines) {
        if (!isAbout(line, id))
            continue;
        const std::string request = textOf(line.fields, "request");
        if (line.event == "send")
            sent.insert(request);
        if (line.event == "call")
            ended.insert(request);
    }
    for (const std::string& request : sent) {
        if (!ended.contains(request))
            missing.push_back("no end of request " + request + ": its process was killed, or the line was dropped");
    }
    return missing;
}

}

Trace collectTrace(const std::vector<std::istream*>& logs, const std::string& id)
{
    std::vector<LogLine> lines;
    for (std::istream* log : logs) {
        for (std::string text; std::getline(*log, text);) {
            if (auto line = readLine(text))
                lines.push_back(std::move(*line));
        }
    }
    Scope scope;
    for (const LogLine& line : lines) {
        if (isAbout(line, id))
            scope.add(line);
    }
    Trace trace;
    for (const LogLine& line : lines) {
        const bool isAboutId = isAbout(line, id);
        if (!isAboutId && !scope.covers(line))
            continue;
        trace.lines.push_back({ line.timeMs, line.process, line.event,
            line.fields.dump(-1, ' ', false, Json::error_handler_t::replace), !isAboutId });
    }
    std::ranges::stable_sort(trace.lines, {}, &Trace::Line::timeMs);
    trace.missing = findMissing(lines, id);
    return trace;
}

int printTrace(const std::string& id, const std::vector<std::string>& files)
{
    std::vector<std::unique_ptr<std::ifstream>> opened;
    std::vector<std::istream*> logs;
    for (const std::string& file : files) {
        opened.push_back(std::make_unique<std::ifstream>(file));
        if (!*opened.back()) {
            std::cerr << "rattandeckctl: " << file << ": can't be read\n";
            return RattandeckApp::ExitFailure;
        }
        logs.push_back(opened.back().get());
    }
    const Trace trace = collectTrace(logs, id);
    for (const Trace::Line& line : trace.lines) {
        std::cout << line.timeMs << (line.isContext ? "   " : " * ") << line.process << ' ' << line.event << ' '
                  << line.fields << '\n';
    }
    for (const std::string& missing : trace.missing)
        std::cout << "missing: " << missing << '\n';
    if (!trace.lines.empty())
        return RattandeckApp::ExitSuccess;
    std::cerr << "rattandeckctl: no line mentions " << id << "; check that the log of its gateway is among the files\n";
    return RattandeckApp::ExitFailure;
}
