#pragma once

#include "entryworld_test.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Rattandeck::EntryWorld {

/// Two or three entries and two sidecars in different failure domains, and helpers for tests of faults.
class EntryFixture : public CppUnit::TestFixture {
protected:
    std::unique_ptr<World> world;
    const NodeId e1 { "e1" };
    const NodeId e2 { "e2" };
    const NodeId e3 { "e3" };
    const NodeId s1 { "s1" };
    const NodeId s2 { "s2" };

    void start(bool thirdDomain = false)
    {
        this->world = std::make_unique<World>();
        this->world->addEntry("e1", "d1");
        this->world->addEntry("e2", "d2");
        if (thirdDomain)
            this->world->addEntry("e3", "d3");
        this->world->addSidecar("s1", "d1");
        this->world->addSidecar("s2", "d2");
        this->world->run(Milliseconds(9000));
    }

    // Runs long enough for a lease to expire and its shards to be taken over.
    void runUntilTakeover() { this->world->run(Milliseconds(13000)); }

    CallerRequest callOf(const ProgramId& program, const std::string& input, const AnswerDone* after = nullptr)
    {
        CallerRequest request = World::callOf(program, input);
        if (after)
            request.head = after->head;
        return request;
    }

    CallerRequest nonIdempotentCallOf(const ProgramId& program, const std::string& key)
    {
        CallerRequest request = World::callOf(program, "once");
        request.idempotent = false;
        request.key = IdempotencyKey(key);
        return request;
    }

    NodeId sidecarThatStarted(const ProgramId& program)
    {
        for (const auto& [node, sidecar] : this->world->sidecars) {
            if (sidecar.starts.contains(program))
                return node;
        }
        return {};
    }

    void setSidecarsAnswer(bool answers)
    {
        for (auto& [node, sidecar] : this->world->sidecars)
            sidecar.answers = answers;
    }

    AnswerDone expectAnswer(CallerTicket ticket)
    {
        const AnswerDone* done = this->world->done(ticket);
        const Problem* problem = this->world->problem(ticket);
        CPPUNIT_ASSERT_MESSAGE(problem ? problem->detail : "no answer", done);
        return *done;
    }

    Problem expectProblem(CallerTicket ticket)
    {
        CPPUNIT_ASSERT(this->world->problem(ticket));
        return *this->world->problem(ticket);
    }
};

}
