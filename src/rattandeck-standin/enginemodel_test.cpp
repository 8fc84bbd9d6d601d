#include "enginemodel.h"

#include "modeltext.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckStandin;
using Rattandeck::TimePoint;

class EngineModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EngineModelTest);
    CPPUNIT_TEST(outputDependsOnProgramAndPrompt);
    CPPUNIT_TEST(batchTakesLongerThanOneSequenceButLessThanSequentialRuns);
    CPPUNIT_TEST(prefixIsReusedUntilEviction);
    CPPUNIT_TEST(smallerPriorityValueRunsFirst);
    CPPUNIT_TEST(cancelledSequenceDoesNotFinish);
    CPPUNIT_TEST_SUITE_END();

    Rattandeck::TimerService timers;
    EngineOptions options;
    std::vector<std::string> evicted;
    std::vector<std::string> finished;
    std::string text;
    std::int64_t cached = 0;

    EngineModel make()
    {
        return { this->options, this->timers,
            [this](const std::string& program) { this->evicted.push_back(program); } };
    }

    Completion completion(const std::string& program, const std::string& prompt, std::int64_t promptTokens = 100)
    {
        Completion completion;
        completion.id = program;
        completion.program = program;
        completion.prompt = prompt;
        completion.promptTokens = promptTokens;
        completion.maxTokens = 20;
        completion.onToken = [this](const std::string& token, std::int64_t) { this->text += token; };
        completion.onDone = [this, program](std::int64_t, std::int64_t reused, std::int64_t) {
            this->finished.push_back(program);
            this->cached = reused;
        };
        return completion;
    }

    /// Advances the time until no timer is pending, and returns the time that this took.
    Rattandeck::Duration run()
    {
        const TimePoint begin = this->timers.now();
        while (const auto due = this->timers.nextDue())
            this->timers.advanceTo(*due);
        return this->timers.now() - begin;
    }

    void outputDependsOnProgramAndPrompt()
    {
        EngineModel engine = this->make();
        engine.start(this->completion("p", "prompt"));
        this->run();
        CPPUNIT_ASSERT_EQUAL(modelText("p", "prompt", 20), this->text);
        CPPUNIT_ASSERT(modelText("p", "prompt", 20) != modelText("q", "prompt", 20));
        CPPUNIT_ASSERT(modelText("p", "prompt", 20) != modelText("p", "prompt.", 20));
    }

    void batchTakesLongerThanOneSequenceButLessThanSequentialRuns()
    {
        EngineModel engine = this->make();
        engine.start(this->completion("a", "prompt"));
        const auto alone = this->run();
        for (int i = 0; i < 8; ++i) {
            Completion next = this->completion("a", "prompt");
            next.id += std::to_string(i);
            engine.start(std::move(next));
        }
        const auto together = this->run();
        CPPUNIT_ASSERT(together > alone);
        CPPUNIT_ASSERT(together < 4 * alone);
    }

    void prefixIsReusedUntilEviction()
    {
        this->options.cacheTokens = 1000;
        EngineModel engine = this->make();
        engine.start(this->completion("a", "history", 400));
        this->run();
        const std::string history = "history" + this->text;
        engine.start(this->completion("a", history + "more", 500));
        this->run();
        CPPUNIT_ASSERT(this->cached >= 400);
        // A different history of the same program is a cache miss.
        engine.start(this->completion("a", "foreign", 500));
        this->run();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), this->cached);

        engine.start(this->completion("b", "other", 600));
        this->run();
        CPPUNIT_ASSERT((std::vector<std::string> { "a" }) == this->evicted);
        engine.release("b");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), engine.load().cacheUsed);
    }

    void smallerPriorityValueRunsFirst()
    {
        this->options.maxBatch = 1;
        EngineModel engine = this->make();
        engine.start(this->completion("running", "x"));
        for (const auto& [name, priority] :
            { std::pair("late", 3.0), std::pair("soon", 1.0), std::pair("then", 2.0) }) {
            Completion next = this->completion(name, "x");
            next.priority = priority;
            engine.start(std::move(next));
        }
        CPPUNIT_ASSERT(!engine.start(this->completion("late", "x")));
        this->run();
        CPPUNIT_ASSERT((std::vector<std::string> { "running", "soon", "then", "late" }) == this->finished);
    }

    void cancelledSequenceDoesNotFinish()
    {
        EngineModel engine = this->make();
        engine.start(this->completion("a", "x"));
        this->timers.advanceTo(*this->timers.nextDue());
        engine.cancel("a");
        this->run();
        CPPUNIT_ASSERT(this->finished.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), engine.load().running);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineModelTest);
