#include "history.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Rattandeck {

// Leaving ----------------------------------------------------------------------------------------------------------

PromiseCheck checkLeaving(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::Leaving };
    std::map<NodeId, TimePoint> leaving;
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        const HistoryEvent& event = history.events[i];
        if (const auto* listed = std::get_if<LeavingListed>(&event.fact))
            leaving.try_emplace(listed->node, event.at);
        if (const auto* asked = std::get_if<StopAsked>(&event.fact))
            leaving.try_emplace(asked->node, event.at);
        if (const auto* started = std::get_if<ProcessStarted>(&event.fact))
            leaving.erase(started->node);
        const auto* work = std::get_if<WorkAccepted>(&event.fact);
        if (!work)
            continue;
        const auto from = leaving.find(work->endpoint);
        if (from != leaving.end() && event.at > from->second + limits.leaving)
            check.violations.push_back({ Promise::Leaving, ViolationKind::WorkAfterLeaving, i });
        // Work that any endpoint accepts counts as one checked case for each node that has been leaving for longer than
        // the limit, because that node could have received it.
        check.checked += static_cast<std::uint64_t>(
            std::ranges::count_if(leaving, [&](const auto& item) { return event.at > item.second + limits.leaving; }));
    }
    return check;
}

// Planned stop -----------------------------------------------------------------------------------------------------

namespace {

    struct PlannedStopState {
        struct OpenRequest {
            NodeId entry;
            std::optional<std::size_t> arrivedEvent;
        };
        struct Stop {
            std::size_t event = 0;
            TimePoint at {};
        };
        std::map<NodeId, Stop> stops;
        std::map<RequestId, OpenRequest> openRequests;
        std::map<RunId, NodeId> openRuns;
    };

    bool isRejectedByStop(const CallerEvent& event)
    {
        const auto* problem = std::get_if<Problem>(&event);
        return problem && problem->kind == ProblemKind::ShuttingDown;
    }

    void checkExit(PromiseCheck& check, PlannedStopState& state, const NodeId& node, std::size_t event)
    {
        ++check.checked;
        const auto here = [&](const auto& item) { return item.second == node; };
        const auto asked = [&](const auto& item) { return item.second.entry == node && item.second.arrivedEvent; };
        if (std::ranges::any_of(state.openRuns, here) || std::ranges::any_of(state.openRequests, asked))
            check.violations.push_back({ Promise::PlannedStop, ViolationKind::CutByStop, event });
        state.stops.erase(node);
    }

    void checkReply(PromiseCheck& check, PlannedStopState& state, const RequestEvent& reply, std::size_t event)
    {
        const auto open = state.openRequests.find(reply.request);
        if (open == state.openRequests.end() || std::holds_alternative<AnswerTokens>(reply.event))
            return;
        const auto stop = state.stops.find(open->second.entry);
        const bool underWay
            = stop != state.stops.end() && open->second.arrivedEvent && *open->second.arrivedEvent < stop->second.event;
        if (underWay) {
            ++check.checked;
            if (isRejectedByStop(reply.event))
                check.violations.push_back({ Promise::PlannedStop, ViolationKind::RefusedByStop, event });
        }
        state.openRequests.erase(open);
    }

}

PromiseCheck checkPlannedStop(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::PlannedStop };
    PlannedStopState state;
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        const HistoryEvent& event = history.events[i];
        if (const auto* sent = std::get_if<RequestSent>(&event.fact))
            state.openRequests[sent->request] = { sent->entry, {} };
        if (const auto* arrived = std::get_if<RequestArrived>(&event.fact)) {
            const auto open = state.openRequests.find(arrived->request);
            if (open != state.openRequests.end())
                open->second.arrivedEvent = i;
        }
        if (const auto* reply = std::get_if<RequestEvent>(&event.fact))
            checkReply(check, state, *reply, i);
        if (const auto* gone = std::get_if<RequestAbandoned>(&event.fact))
            state.openRequests.erase(gone->request);
        if (const auto* run = std::get_if<RunStarted>(&event.fact))
            state.openRuns[run->run] = run->endpoint;
        if (const auto* run = std::get_if<RunEnded>(&event.fact))
            state.openRuns.erase(run->run);
        if (const auto* asked = std::get_if<StopAsked>(&event.fact))
            state.stops.try_emplace(asked->node, PlannedStopState::Stop { i, event.at });
        if (const auto* dead = std::get_if<ProcessDied>(&event.fact)) {
            state.stops.erase(dead->node);
            // The death of the process aborted its runs. A later stop concerns the process that replaces it.
            std::erase_if(state.openRuns, [&](const auto& run) { return run.second == dead->node; });
        }
        if (const auto* exited = std::get_if<ProcessExited>(&event.fact))
            checkExit(check, state, exited->node, i);
    }
    for (const auto& [node, stop] : state.stops) {
        if (stop.at + limits.stop > history.end)
            continue;
        ++check.checked;
        check.violations.push_back({ Promise::PlannedStop, ViolationKind::StopNeverEnds, stop.event });
    }
    return check;
}

// Configuration ----------------------------------------------------------------------------------------------------

namespace {

    struct NodeConfig {
        TimePoint steadyFrom {};
        bool alive = false;
        bool disturbed = false;
        std::map<ObjectKey, ObjectVersion> inForce;
    };

    struct Change {
        ObjectKey key;
        ObjectVersion version;
        /// When the first process applied the change. From then on the processes propagate it without the store.
        TimePoint firstSeen {};
        std::size_t event = 0;
    };

    struct ConfigState {
        std::map<NodeId, NodeConfig> nodes;
        std::map<ObjectKey, ObjectVersion> accepted;
        std::vector<Change> changes;
    };

    void checkDue(PromiseCheck& check, ConfigState& state, TimePoint now, const HistoryLimits& limits)
    {
        while (!state.changes.empty() && state.changes.front().firstSeen + limits.configuration <= now) {
            const Change change = state.changes.front();
            state.changes.erase(state.changes.begin());
            for (const auto& [id, node] : state.nodes) {
                if (!node.alive || node.disturbed || node.steadyFrom > change.firstSeen)
                    continue;
                ++check.checked;
                const auto inForce = node.inForce.find(change.key);
                if (inForce == node.inForce.end() || inForce->second < change.version)
                    check.violations.push_back(
                        { Promise::Configuration, ViolationKind::ConfigurationLate, change.event });
            }
        }
    }

    void recordInForce(
        PromiseCheck& check, ConfigState& state, const ConfigInForce& now, TimePoint at, std::size_t event)
    {
        ObjectVersion& version = state.nodes[now.node].inForce[now.key];
        ++check.checked;
        if (now.version < version)
            check.violations.push_back({ Promise::Configuration, ViolationKind::ConfigurationReverted, event });
        version = now.version;
        const bool known = std::ranges::any_of(state.changes,
            [&](const Change& change) { return change.key == now.key && change.version >= now.version; });
        ObjectVersion& highest = state.accepted[now.key];
        if (!known && now.version > highest)
            state.changes.push_back({ now.key, now.version, at, event });
        highest = std::max(highest, now.version);
    }

    void recordNodeEvent(ConfigState& state, const HistoryEvent& event)
    {
        if (const auto* started = std::get_if<ProcessStarted>(&event.fact))
            // A network partition continues when the process restarts.
            state.nodes[started->node] = { event.at, true, state.nodes[started->node].disturbed, {} };
        if (const auto* dead = std::get_if<ProcessDied>(&event.fact))
            state.nodes[dead->node].alive = false;
        if (const auto* gone = std::get_if<ProcessExited>(&event.fact))
            state.nodes[gone->node].alive = false;
        if (const auto* began = std::get_if<DisturbanceBegan>(&event.fact))
            state.nodes[began->node].disturbed = true;
        if (const auto* ended = std::get_if<DisturbanceEnded>(&event.fact)) {
            NodeConfig& node = state.nodes[ended->node];
            node.disturbed = false;
            node.steadyFrom = event.at;
        }
    }

}

PromiseCheck checkConfiguration(const History& history, const HistoryLimits& limits)
{
    PromiseCheck check { Promise::Configuration };
    ConfigState state;
    std::map<ObjectKey, std::pair<ObjectVersion, std::size_t>> accepted;
    for (std::size_t i = 0; i < history.events.size(); ++i) {
        const HistoryEvent& event = history.events[i];
        checkDue(check, state, event.at, limits);
        recordNodeEvent(state, event);
        if (const auto* change = std::get_if<ConfigAccepted>(&event.fact))
            accepted[change->key] = { change->version, i };
        if (const auto* inForce = std::get_if<ConfigInForce>(&event.fact))
            recordInForce(check, state, *inForce, event.at, i);
    }
    checkDue(check, state, history.end, limits);
    // At the end every undisturbed process must have applied the newest version, whatever faults occurred before.
    for (const auto& [key, newest] : accepted) {
        if (history.events[newest.second].at + limits.configuration > history.end)
            continue;
        for (const auto& [id, node] : state.nodes) {
            if (!node.alive || node.disturbed || node.steadyFrom + limits.configuration > history.end)
                continue;
            ++check.checked;
            const auto inForce = node.inForce.find(key);
            if (inForce == node.inForce.end() || inForce->second < newest.first)
                check.violations.push_back({ Promise::Configuration, ViolationKind::ConfigurationLate, newest.second });
        }
    }
    return check;
}

// All --------------------------------------------------------------------------------------------------------------

std::vector<PromiseCheck> checkPromises(const History& history, const HistoryLimits& limits)
{
    return { checkOrder(history, limits), checkOwnHistory(history, limits), checkBudget(history, limits),
        checkEngineMemory(history, limits), checkOwnAnswer(history, limits), checkNotRun(history, limits),
        checkAtMostOnce(history, limits), checkLeaving(history, limits), checkPlannedStop(history, limits),
        checkConfiguration(history, limits) };
}

}
