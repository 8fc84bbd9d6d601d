#include "schedule.h"

#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace RattandeckProve {

namespace {

    constexpr std::array<std::string_view, faultKindCount> kindNames { "Kill", "Freeze", "Cut", "BreakLink", "Isolate",
        "CutStore", "Outage", "LoseAnswers", "LateWatches", "LagList", "CrashEndpoint", "Stop", "RaceOperators",
        "Poison", "PowerLoss", "PowerLossOfAll", "Wipe", "Replace", "Retire", "Add", "SlowDisk" };

    std::optional<FaultKind> kindOf(std::string_view name)
    {
        for (std::size_t i = 0; i < kindNames.size(); ++i) {
            if (kindNames.at(i) == name)
                return static_cast<FaultKind>(i);
        }
        return std::nullopt;
    }

    // Parses a number followed by `separator` at the start of `text` and removes both from `text`.
    bool takeNumber(std::string_view& text, std::uint64_t& number, std::string_view separator)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc())
            return false;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        if (!text.starts_with(separator))
            return false;
        text.remove_prefix(separator.size());
        return true;
    }

    std::optional<Fault> parseFault(std::string_view text)
    {
        const auto at = text.find('@');
        const auto kind = at == std::string_view::npos ? std::nullopt : kindOf(text.substr(0, at));
        if (!kind)
            return std::nullopt;
        text.remove_prefix(at + 1);
        std::array<std::uint64_t, 4> numbers {};
        const bool read = takeNumber(text, numbers[0], ":") && takeNumber(text, numbers[1], "/")
            && takeNumber(text, numbers[2], "+") && takeNumber(text, numbers[3], "") && text.empty();
        if (!read)
            return std::nullopt;
        return Fault { *kind, Milliseconds(numbers[0]), static_cast<std::uint32_t>(numbers[1]),
            static_cast<std::uint32_t>(numbers[2]), Milliseconds(numbers[3]) };
    }

}

std::string toString(FaultKind kind) { return std::string(kindNames.at(static_cast<std::size_t>(kind))); }

std::string toString(const Schedule& schedule)
{
    std::ostringstream text;
    text << "seed=" << schedule.seed;
    for (const Fault& fault : schedule.faults)
        text << ';' << toString(fault.kind) << '@' << fault.at.count() << ':' << fault.node << '/' << fault.peer << '+'
             << fault.duration.count();
    return text.str();
}

std::optional<Schedule> parseSchedule(const std::string& text)
{
    Schedule schedule;
    std::istringstream parts(text);
    std::string part;
    if (!std::getline(parts, part, ';') || !part.starts_with("seed="))
        return std::nullopt;
    std::string_view seed = std::string_view(part).substr(std::string_view("seed=").size());
    if (!takeNumber(seed, schedule.seed, "") || !seed.empty())
        return std::nullopt;
    while (std::getline(parts, part, ';')) {
        const std::optional<Fault> fault = parseFault(part);
        if (!fault)
            return std::nullopt;
        schedule.faults.push_back(*fault);
    }
    return schedule;
}

}
