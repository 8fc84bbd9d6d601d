#include "RattandeckApp/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace RattandeckApp;

class MetricsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(rendersEveryKind);
    CPPUNIT_TEST(bucketsAreCumulative);
    CPPUNIT_TEST(labelsShareOneFamily);
    CPPUNIT_TEST(providedFamilyHasOneLineForEachSeries);
    CPPUNIT_TEST(labelValuesAreEscaped);
    CPPUNIT_TEST_SUITE_END();

    static bool has(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    void rendersEveryKind()
    {
        Metrics metrics;
        metrics.count("calls_total", {}, 2);
        metrics.provide("queue_length", "gauge", [] { return 3.0; });
        for (int i = 1; i <= 1000; ++i)
            metrics.observe("latency_seconds", i);
        const std::string text = metrics.render();
        CPPUNIT_ASSERT(has(text, "# TYPE calls_total counter\ncalls_total 2\n"));
        CPPUNIT_ASSERT(has(text, "# TYPE queue_length gauge\nqueue_length 3\n"));
        CPPUNIT_ASSERT(has(text, "# TYPE latency_seconds histogram\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_count 1000\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_sum 500500\n"));
    }

    void bucketsAreCumulative()
    {
        Metrics metrics;
        for (const double sample : { 0.0005, 0.002, 0.03, 0.05, 0.3, 20.0 })
            metrics.observe("latency_seconds", sample);
        const std::string text = metrics.render();
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"0.001\"} 1\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"0.0025\"} 2\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"0.025\"} 2\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"0.05\"} 4\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"10\"} 5\n"));
        CPPUNIT_ASSERT(has(text, "latency_seconds_bucket{le=\"+Inf\"} 6\n"));
    }

    void labelsShareOneFamily()
    {
        Metrics metrics;
        metrics.observe("call_seconds", 0.2, { { "outcome", "answered" } });
        metrics.observe("call_seconds", 0.3, { { "outcome", "refused" } });
        metrics.count("refusals_total", { { "reason", "no route" } });
        const std::string text = metrics.render();
        CPPUNIT_ASSERT_EQUAL(text.find("# TYPE call_seconds"), text.rfind("# TYPE call_seconds"));
        CPPUNIT_ASSERT(has(text, "call_seconds_bucket{outcome=\"answered\",le=\"0.25\"} 1\n"));
        CPPUNIT_ASSERT(has(text, "call_seconds_bucket{outcome=\"refused\",le=\"0.25\"} 0\n"));
        CPPUNIT_ASSERT(has(text, "call_seconds_count{outcome=\"refused\"} 1\n"));
        CPPUNIT_ASSERT(has(text, "refusals_total{reason=\"no route\"} 1\n"));
    }

    void providedFamilyHasOneLineForEachSeries()
    {
        Metrics metrics;
        metrics.provideFamily("bytes_total", "counter", [] {
            return std::vector<std::pair<MetricLabels, double>> { { { { "kind", "a" } }, 1 },
                { { { "kind", "b" } }, 2 } };
        });
        CPPUNIT_ASSERT(has(
            metrics.render(), "# TYPE bytes_total counter\nbytes_total{kind=\"a\"} 1\nbytes_total{kind=\"b\"} 2\n"));
    }

    void labelValuesAreEscaped()
    {
        Metrics metrics;
        metrics.count("odd_total", { { "what", "a \"b\"\\\n" } });
        CPPUNIT_ASSERT(has(metrics.render(), "odd_total{what=\"a \\\"b\\\"\\\\\\n\"} 1\n"));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);
