#include "history.h"
#include "Rattandeck/types.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Rattandeck {

// Tags -------------------------------------------------------------------------------------------------------------

namespace {

    constexpr std::string_view callMark = "<call ";
    constexpr std::string_view runMark = "<run ";

    std::string tag(std::string_view mark, std::uint64_t number)
    {
        return std::string(mark) + std::to_string(number) + ">";
    }

    template <typename Id> std::set<Id> tagsIn(std::string_view text, std::string_view mark)
    {
        std::set<Id> found;
        for (auto at = text.find(mark); at != std::string_view::npos; at = text.find(mark, at + 1)) {
            std::uint64_t number = 0;
            for (auto digit = at + mark.size(); digit < text.size() && std::isdigit(text[digit]) != 0; ++digit)
                number = number * 10 + static_cast<std::uint64_t>(text[digit] - '0');
            found.insert(Id(number));
        }
        return found;
    }

}

std::string callTag(CallId call) { return tag(callMark, call.value); }
std::string runTag(RunId run) { return tag(runMark, run.value); }
std::set<CallId> callsIn(std::string_view text) { return tagsIn<CallId>(text, callMark); }
std::set<RunId> runsIn(std::string_view text) { return tagsIn<RunId>(text, runMark); }

// Names ------------------------------------------------------------------------------------------------------------

std::string_view toString(Promise promise)
{
    static constexpr std::array<std::string_view, promiseCount> names { "calls of a program in order",
        "history never lost or mixed", "budget never exceeded", "no engine memory for ended programs",
        "own whole answer", "\"not run\" is true", "at most once", "leaving endpoint gets no new work",
        "planned stop cuts nothing", "configuration in force, never reverts" };
    return names.at(static_cast<std::size_t>(promise));
}

std::string_view toString(ViolationKind kind)
{
    static constexpr std::array<std::string_view, 21> names { "started out of order", "overlapped", "broken chain",
        "two answers for a turn", "turn missing", "foreign history", "history forgotten", "budget exceeded",
        "prefix not freed", "foreign answer", "broken stream", "answered twice", "not answered", "ran after all",
        "ran twice", "work after leaving", "cut by stop", "refused by stop", "stop never ends",
        "configuration reverted", "configuration late" };
    return names.at(static_cast<std::size_t>(kind));
}

// Report lines -----------------------------------------------------------------------------------------------------

namespace {

    struct Describer {
        std::string operator()(const RequestSent& sent) const
        {
            static constexpr std::array<std::string_view, 4> kinds { "open", "call", "end", "get" };
            return "request " + std::to_string(sent.request.value) + " to " + sent.entry.value + ": "
                + std::string(kinds.at(static_cast<std::size_t>(sent.body.kind))) + " call "
                + std::to_string(sent.call.value) + " of " + toString(sent.body.program)
                + (sent.body.idempotent ? "" : ", not idempotent");
        }
        std::string operator()(const RequestArrived& arrived) const
        {
            return "request " + std::to_string(arrived.request.value) + " arrives";
        }
        std::string operator()(const RequestEvent& event) const
        {
            const std::string request = "request " + std::to_string(event.request.value);
            if (const auto* done = std::get_if<AnswerDone>(&event.event))
                return request + " answered: turn " + std::to_string(done->turn.value) + " of "
                    + toString(done->program) + " " + done->output;
            if (const auto* problem = std::get_if<Problem>(&event.event))
                return request + " problem " + std::to_string(static_cast<int>(problem->kind)) + ", ran "
                    + std::to_string(static_cast<int>(problem->ran)) + ": " + problem->detail;
            return request + " tokens";
        }
        std::string operator()(const RequestAbandoned& gone) const
        {
            return "request " + std::to_string(gone.request.value) + " abandoned";
        }
        std::string operator()(const RunStarted& run) const
        {
            return "run " + std::to_string(run.run.value) + " of call " + std::to_string(run.call.value) + " of "
                + toString(run.program) + " starts on " + run.endpoint.value;
        }
        std::string operator()(const RunEnded& run) const
        {
            return "run " + std::to_string(run.run.value) + (run.completed ? " ends" : " is cut");
        }
        std::string operator()(const WorkAccepted& work) const { return work.endpoint.value + " accepts work"; }
        std::string operator()(const PrefixHeld& held) const
        {
            return held.endpoint.value + " holds the prefix of " + toString(held.program);
        }
        std::string operator()(const PrefixFreed& freed) const
        {
            return freed.endpoint.value + " frees the prefix of " + toString(freed.program);
        }
        std::string operator()(const ProcessStarted& process) const { return process.node.value + " starts"; }
        std::string operator()(const ProcessDied& process) const { return process.node.value + " dies"; }
        std::string operator()(const LeavingListed& node) const { return node.node.value + " is listed as leaving"; }
        std::string operator()(const StopAsked& node) const { return node.node.value + " is asked to stop"; }
        std::string operator()(const ProcessExited& node) const { return node.node.value + " exits"; }
        std::string operator()(const DisturbanceBegan& node) const { return node.node.value + " is disturbed"; }
        std::string operator()(const DisturbanceEnded& node) const { return node.node.value + " is undisturbed"; }
        std::string operator()(const ConfigAccepted& config) const
        {
            return config.key.kind + "/" + config.key.name + " accepted at " + std::to_string(config.version.value);
        }
        std::string operator()(const ConfigInForce& config) const
        {
            return config.node.value + " has " + config.key.kind + "/" + config.key.name + " at "
                + std::to_string(config.version.value);
        }
    };

}

std::string describe(const HistoryEvent& event)
{
    const auto at = std::chrono::duration_cast<Milliseconds>(event.at.time_since_epoch()).count();
    return std::to_string(at) + " ms: " + std::visit(Describer {}, event.fact);
}

}
