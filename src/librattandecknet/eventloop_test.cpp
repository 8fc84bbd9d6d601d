#include "testloop.h"

#include <stdexcept>

using namespace RattandeckNet;

class EventLoopTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(anErrorInAHandlerDoesNotEndTheLoop);
    CPPUNIT_TEST(withoutAnErrorHandlerItIsPassedOn);
    CPPUNIT_TEST_SUITE_END();

    void anErrorInAHandlerDoesNotEndTheLoop()
    {
        TestLoop test;
        std::vector<std::string> errors;
        test.loop.onHandlerError([&errors](const std::exception& error) { errors.push_back(error.what()); });
        test.loop.post([] { throw std::runtime_error("task"); });
        test.loop.timers().subscribeAfter(std::chrono::milliseconds(1), [] { throw std::runtime_error("timer"); });
        int later = 0;
        test.loop.timers().subscribeAfter(std::chrono::milliseconds(2), [&later] { ++later; });
        test.runUntil("the loop goes on", [&] { return later == 1 && errors.size() == 2; });
        CPPUNIT_ASSERT(errors == std::vector<std::string>({ "task", "timer" }));
    }

    void withoutAnErrorHandlerItIsPassedOn()
    {
        TestLoop test;
        test.loop.post([] { throw std::runtime_error("task"); });
        CPPUNIT_ASSERT_THROW(test.loop.run(), std::runtime_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
