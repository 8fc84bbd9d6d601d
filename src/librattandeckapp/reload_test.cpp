#include "RattandeckApp/reload.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>

using namespace RattandeckApp;
using Rattandeck::TimerService;

namespace {

struct TestSettings {
    std::int64_t calls = 5;
    std::string listen;
};

void bindTest(SettingsSchema& schema, TestSettings& settings)
{
    schema.addInteger("calls", settings.calls, 1, 10, "calls at once");
    schema.addString("listen", settings.listen, "address");
}

}

class ReloadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReloadTest);
    CPPUNIT_TEST(changedFileIsApplied);
    CPPUNIT_TEST(invalidOrMissingFileChangesNothing);
    CPPUNIT_TEST(commandLineOverridesTheFile);
    CPPUNIT_TEST_SUITE_END();

    TimerService timers;
    std::string path;
    std::vector<TestSettings> applied;

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "rattandeck-reload-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern + "/settings.toml";
    }
    void tearDown() override { std::filesystem::remove_all(std::filesystem::path(this->path).parent_path()); }

private:
    void write(const std::string& text) { std::ofstream(this->path) << text; }

    std::unique_ptr<SettingsReload<TestSettings>> reloader(std::vector<std::string> overrides = {})
    {
        SettingsReload<TestSettings>::Parts parts;
        parts.source = { this->path, std::move(overrides) };
        parts.bind = bindTest;
        parts.appliedKeys = { "calls" };
        parts.apply = [this](const TestSettings& settings) { this->applied.push_back(settings); };
        return std::make_unique<SettingsReload<TestSettings>>(this->timers, std::move(parts), TestSettings {});
    }

    void passSeconds(int seconds) { this->timers.advanceTo(this->timers.now() + std::chrono::seconds(seconds)); }

    void changedFileIsApplied()
    {
        this->write("calls = 5\n");
        const auto reload = this->reloader();
        reload->watch();
        this->passSeconds(3);
        CPPUNIT_ASSERT(this->applied.empty());
        this->write("calls = 10\n");
        this->passSeconds(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->applied.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10), this->applied.back().calls);
    }

    void invalidOrMissingFileChangesNothing()
    {
        this->write("calls = 5\n");
        const auto reload = this->reloader();
        this->write("calls = 11\nlistn = 'x'\n");
        reload->reload("signal");
        CPPUNIT_ASSERT(this->applied.empty());
        std::filesystem::remove(this->path);
        reload->reload("signal");
        CPPUNIT_ASSERT(this->applied.empty());
    }

    void commandLineOverridesTheFile()
    {
        this->write("calls = 5\nlisten = 'a'\n");
        const auto reload = this->reloader({ "calls = 7" });
        reload->reload("signal");
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), this->applied.back().calls);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), this->applied.back().listen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReloadTest);
