#include "testloop.h"

#include <exception>
#include <string>
#include <vector>

using namespace RattandeckNet;

namespace {

/// An error of a handler.
class HandlerError : public std::exception {
public:
    explicit HandlerError(const char* source)
        : source(source)
    {
    }
    const char* what() const noexcept override { return this->source; }

private:
    const char* source;
};

}

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
        test.loop.post([] { throw HandlerError("task"); });
        test.loop.timers().subscribeAfter(std::chrono::milliseconds(1), [] { throw HandlerError("timer"); });
        int later = 0;
        test.loop.timers().subscribeAfter(std::chrono::milliseconds(2), [&later] { ++later; });
        test.runUntil("the loop goes on", [&] { return later == 1 && errors.size() == 2; });
        CPPUNIT_ASSERT(errors == std::vector<std::string>({ "task", "timer" }));
    }

    void withoutAnErrorHandlerItIsPassedOn()
    {
        TestLoop test;
        test.loop.post([] { throw HandlerError("task"); });
        CPPUNIT_ASSERT_THROW(test.loop.run(), HandlerError);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
