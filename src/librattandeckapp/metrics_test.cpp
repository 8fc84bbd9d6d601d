#include "RattandeckApp/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckApp;

class MetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(rendersEveryKind);
    CPPUNIT_TEST_SUITE_END();

    void rendersEveryKind()
    {
        Metrics metrics;
        metrics.count("calls_total", 2);
        metrics.provide("queue_length", "gauge", [] { return 3.0; });
        for (int i = 1; i <= 1000; ++i)
            metrics.observe("latency_seconds", i);
        const std::string text = metrics.render();
        CPPUNIT_ASSERT(text.find("# TYPE calls_total counter\ncalls_total 2\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("# TYPE queue_length gauge\nqueue_length 3\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("latency_seconds_count 1000\n") != std::string::npos);
        CPPUNIT_ASSERT(text.find("latency_seconds{quantile=\"0.5\"}") != std::string::npos);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
