#pragma once

#include "Rattandeck/digest.h"
#include "Rattandeck/sidecar.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// A sidecar core with simulated entries and a simulated endpoint, under virtual time.
struct SidecarFixture {
    struct Sent {
        Rattandeck::NodeId to;
        Rattandeck::Message message;
    };

    Rattandeck::TimerService timers;
    std::vector<Sent> sent;
    std::vector<Rattandeck::EndpointCall> started;
    std::vector<Rattandeck::OrderId> cancelled;
    std::vector<Rattandeck::ProgramId> released;
    std::uint32_t releaseAllCount = 0;
    std::function<void()> onCallStarted = [] {};
    /// Latest grant issued to each entry.
    std::map<Rattandeck::NodeId, Rattandeck::CreditGrant> credits;
    std::uint64_t lastOrder = 0;
    Rattandeck::SidecarCore core;

    explicit SidecarFixture(Rattandeck::SidecarSettings settings = defaultSettings())
        : core(std::move(settings), this->timers,
            { [this](const Rattandeck::NodeId& to, const Rattandeck::Message& message) {
                 this->recordMessage(to, message);
             },
                [this](const Rattandeck::EndpointCall& call) {
                    this->started.push_back(call);
                    this->onCallStarted();
                },
                [this](Rattandeck::OrderId id) { this->cancelled.push_back(id); },
                [this](Rattandeck::ProgramId program) { this->released.push_back(program); },
                [](const Rattandeck::AdmissionDecision&) {}, [](const std::string&, const std::string&) {},
                [this] { ++this->releaseAllCount; } })
    {
    }

    static Rattandeck::SidecarSettings defaultSettings()
    {
        Rattandeck::SidecarSettings settings;
        settings.node = Rattandeck::NodeId("sidecar-1");
        settings.incarnation = Rattandeck::Incarnation(7);
        settings.service = Rattandeck::ServiceName("agent-llm");
        settings.initialConcurrency = 2;
        settings.queueLimit = 4;
        return settings;
    }

    void recordMessage(const Rattandeck::NodeId& to, const Rattandeck::Message& message)
    {
        this->sent.push_back({ to, message });
        const auto* report = std::get_if<Rattandeck::LoadReport>(&message);
        if (report && report->credits.count > 0)
            this->credits[to] = report->credits;
    }

    void advance(Rattandeck::Duration time) { this->timers.advanceTo(this->timers.now() + time); }

    /// Links an entry and waits for its first credits.
    Rattandeck::NodeId link(const std::string& name, std::uint64_t incarnation = 1)
    {
        Rattandeck::Hello hello;
        hello.node = Rattandeck::NodeId(name);
        hello.incarnation = Rattandeck::Incarnation(incarnation);
        this->core.onLinkUp(hello);
        this->advance(Rattandeck::Milliseconds(50));
        return hello.node;
    }

    /// Creates an order for a turn of program `serial` in shard 1, with the latest credit of `from`.
    Rattandeck::Order order(const Rattandeck::NodeId& from, std::uint64_t serial, std::uint32_t turn = 1)
    {
        Rattandeck::Order order;
        order.id = Rattandeck::OrderId(++this->lastOrder);
        order.shard = Rattandeck::ShardId(1);
        order.epoch = Rattandeck::Epoch(3);
        order.program.id = { order.shard, order.epoch, serial };
        order.program.root = order.program.id;
        order.turn = Rattandeck::TurnNumber(turn);
        order.service = Rattandeck::ServiceName("agent-llm");
        order.credit = this->credits[from].id;
        order.timeLeft = Rattandeck::Milliseconds(30000);
        order.request = Rattandeck::Digest("request-" + std::to_string(serial) + "-" + std::to_string(turn));
        order.input = "input of " + order.request.value;
        order.inputTokens = Rattandeck::TokenCount(10);
        order.maxOutputTokens = Rattandeck::TokenCount(20);
        order.reserved = Rattandeck::TokenCount(30);
        return order;
    }

    /// Finishes the call that was started last.
    void finishLast(const std::string& output = "output")
    {
        const Rattandeck::TokenCount tokens(5);
        this->core.onEndpointFinished(this->started.back().order, { output, tokens, {}, tokens });
    }

    template <typename Kind> std::vector<Kind> sentTo(const Rattandeck::NodeId& node) const
    {
        std::vector<Kind> found;
        for (const Sent& one : this->sent) {
            if (const auto* message = std::get_if<Kind>(&one.message); message && one.to == node)
                found.push_back(*message);
        }
        return found;
    }

    std::optional<Rattandeck::RefusalReason> refusal(const Rattandeck::Order& order) const
    {
        for (const Sent& one : this->sent) {
            const auto* refused = std::get_if<Rattandeck::OrderRefused>(&one.message);
            if (refused && refused->id == order.id)
                return refused->reason;
        }
        return std::nullopt;
    }

    std::optional<Rattandeck::TurnRecord> ended(const Rattandeck::Order& order) const
    {
        for (const Sent& one : this->sent) {
            const auto* end = std::get_if<Rattandeck::OrderEnded>(&one.message);
            if (end && end->id == order.id)
                return end->record;
        }
        return std::nullopt;
    }
};
