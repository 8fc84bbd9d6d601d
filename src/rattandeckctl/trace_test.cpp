#include "trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

class TraceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TraceTest);
    CPPUNIT_TEST(linesOfARequestAreOrderedByTime);
    CPPUNIT_TEST(contextCoversProcessesAndEndpointsOfTheRequest);
    CPPUNIT_TEST(limitsOfARefusedRequestAreFound);
    CPPUNIT_TEST(missingEndOfRequestIsReported);
    CPPUNIT_TEST(textBeforeJsonAndInvalidLinesAreSkipped);
    CPPUNIT_TEST_SUITE_END();

    static std::string line(int time, const std::string& process, const std::string& event, const std::string& fields)
    {
        return R"({"time_ms":)" + std::to_string(time) + R"(,"process":")" + process + R"(","level":"info","event":")"
            + event + "\"," + fields + "}\n";
    }

    static Trace collect(const std::vector<std::string>& logs, const std::string& id)
    {
        std::vector<std::istringstream> streams(logs.begin(), logs.end());
        std::vector<std::istream*> pointers;
        pointers.reserve(streams.size());
        for (std::istringstream& stream : streams)
            pointers.push_back(&stream);
        return collectTrace(pointers, id);
    }

    void linesOfARequestAreOrderedByTime()
    {
        const Trace trace = collect({ line(30, "g1", "call", R"("request":"r","outcome":"answered")"),
                                        line(10, "g2", "send", R"("request":"r","endpoint":"e")")
                                            + line(20, "g2", "send", R"("request":"other")") },
            "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), trace.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("send"), trace.lines[0].event);
        CPPUNIT_ASSERT(trace.missing.empty());
    }

    void contextCoversProcessesAndEndpointsOfTheRequest()
    {
        const std::string log = line(10000, "g1", "send", R"("request":"r","endpoint":"e1")")
            + line(9000, "g2", "endpoint gone", R"("endpoint":"e1")")
            + line(9000, "g2", "endpoint gone", R"("endpoint":"e2")")
            + line(9500, "g1", "journal link down", R"("detail":"j1")")
            + line(1000, "g1", "journal link down", R"("detail":"j2")")
            + line(9600, "g1", "journals' answer", R"("request":"other")")
            + line(9700, "j1", "disk read", R"("detail":"90 ms")")
            + line(10100, "g1", "call", R"("request":"r","outcome":"broken")");
        const Trace trace = collect({ log }, "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), trace.lines.size());
        CPPUNIT_ASSERT(trace.lines[0].isContext && trace.lines[1].isContext);
        CPPUNIT_ASSERT(trace.lines[0].fields.find("e1") != std::string::npos);
        CPPUNIT_ASSERT(trace.lines[1].fields.find("j1") != std::string::npos);
        CPPUNIT_ASSERT(trace.lines[2].isContext && trace.lines[2].event == "disk read");
    }

    void limitsOfARefusedRequestAreFound()
    {
        const std::string log = line(1000, "g2", "endpoint limit", R"("endpoint":"e1","limit":6.5)")
            + line(1000, "g2", "endpoint limit", R"("endpoint":"e2","limit":7.5)")
            + line(90000, "g1", "call", R"("request":"r","outcome":"refused","endpoint":"","best_endpoint":"e1")")
            + line(90001, "g2", "endpoint limit", R"("endpoint":"e1","limit":-1)");
        const Trace trace = collect({ log }, "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), trace.lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("endpoint limit"), trace.lines[0].event);
    }

    void missingEndOfRequestIsReported()
    {
        const Trace trace = collect({ line(1, "g", "send", R"("request":"r","program":"p")") }, "p");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trace.missing.size());
    }

    void textBeforeJsonAndInvalidLinesAreSkipped()
    {
        const Trace trace = collect({ "   3.25 front-1 " + line(5, "g", "call", R"("request":"r")")
                                        + "{broken\nready a=b\n{\"time_ms\":\"x\"}\n" },
            "r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), trace.lines.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);
