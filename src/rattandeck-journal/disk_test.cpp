#include "disk.h"

#include "librattandecknet/testloop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>

using namespace Rattandeck;
using namespace RattandeckNet;

class JournalDiskTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalDiskTest);
    CPPUNIT_TEST(recordsComeBackEqual);
    CPPUNIT_TEST(otherBytesAreNoRecord);
    CPPUNIT_TEST(whatWasWrittenIsReadBackInOrder);
    CPPUNIT_TEST(tornEndIsLeftOut);
    CPPUNIT_TEST(nothingBehindAHoleIsRead);
    CPPUNIT_TEST(segmentsGoAsAWhole);
    CPPUNIT_TEST(whatCantBeSyncedIsWrittenOnceMore);
    CPPUNIT_TEST(folderThatCantBeMadeIsAnError);
    CPPUNIT_TEST_SUITE_END();

    std::string folder;
    TestLoop test;

    static JournalRecord turnNamed(const std::string& id)
    {
        return RetainedTurn { TurnId(id), TurnId("before"), "in", std::string(1000, '\xff'), Milliseconds(60000) };
    }

    static JournalRecord claimOf(std::int64_t tokens)
    {
        return SettleClaim { BudgetId("p"), { TurnId("t"), TokenCount(tokens), true }, Milliseconds(1) };
    }

    struct Opened {
        std::unique_ptr<JournalDisk> disk;
        std::vector<JournalRecord> records;
        JournalDisk::Found found;
    };

    Opened open(JournalDisk::Limits limits = {})
    {
        Opened opened;
        auto disk = JournalDisk::open(
            this->test.loop, this->folder, limits,
            [&opened](JournalRecord record) { opened.records.push_back(std::move(record)); }, opened.found);
        CPPUNIT_ASSERT(disk.has_value());
        opened.disk = std::move(*disk);
        return opened;
    }

    void append(JournalDisk& disk, const JournalRecord& record)
    {
        bool isDurable = false;
        disk.append(record);
        disk.sync([&isDurable] { isDurable = true; });
        this->test.runUntil("durable", [&isDurable] { return isDurable; });
    }

    std::string onlySegment() const
    {
        std::string path;
        for (const auto& entry : std::filesystem::directory_iterator(this->folder))
            path = entry.path().string();
        return path;
    }

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "rattandeck-disk-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        this->folder = pattern;
    }
    void tearDown() override { std::filesystem::remove_all(this->folder); }

private:
    void recordsComeBackEqual()
    {
        const CrashReports crashes { { { Fingerprint("f"), "e/1", Milliseconds(5) } } };
        for (const JournalRecord& record : { turnNamed("1"), claimOf(-7), JournalRecord(crashes) })
            CPPUNIT_ASSERT(decodeRecord(encodeRecord(record)) == record);
    }

    void otherBytesAreNoRecord()
    {
        const std::string bytes = encodeRecord(turnNamed("1"));
        for (std::size_t length = 0; length < bytes.size(); length += 100)
            CPPUNIT_ASSERT(!decodeRecord(bytes.substr(0, length)));
        CPPUNIT_ASSERT(!decodeRecord("\x7f" + bytes.substr(1)));
        CPPUNIT_ASSERT(!decodeRecord(std::string("\x01\x01\x00\x00\x00\xff\xff\xff\xff\xff\xff\xff\x7f", 13)));
    }

    void whatWasWrittenIsReadBackInOrder()
    {
        {
            const Opened first = this->open();
            CPPUNIT_ASSERT(first.records.empty());
            this->append(*first.disk, turnNamed("1"));
            this->append(*first.disk, claimOf(5));
        }
        {
            const Opened second = this->open();
            this->append(*second.disk, turnNamed("2"));
        }
        const Opened third = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), third.records.size());
        CPPUNIT_ASSERT(third.records[0] == turnNamed("1") && third.records[2] == turnNamed("2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), third.found.segments);
    }

    void tornEndIsLeftOut()
    {
        {
            const Opened first = this->open();
            this->append(*first.disk, turnNamed("1"));
            this->append(*first.disk, turnNamed("2"));
        }
        const std::string path = this->onlySegment();
        std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
        const Opened second = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.found.tornSegments);
    }

    void nothingBehindAHoleIsRead()
    {
        {
            const Opened first = this->open();
            for (const char* id : { "1", "2", "3" })
                this->append(*first.disk, turnNamed(id));
        }
        const std::string path = this->onlySegment();
        const auto third = static_cast<std::streamoff>(std::filesystem::file_size(path) / 3);
        {
            std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
            file.seekp(third);
            file << std::string(static_cast<std::size_t>(third), '\0');
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->open().records.size());
    }

    void segmentsGoAsAWhole()
    {
        JournalDisk::Limits limits;
        limits.segmentBytes = 1500;
        Opened first = this->open(limits);
        for (const char* id : { "1", "2", "3", "4", "5" })
            this->append(*first.disk, turnNamed(id));
        first.disk->removeBefore(first.disk->currentSegment());
        this->append(*first.disk, claimOf(1));
        first.disk.reset();
        const Opened second = this->open();
        CPPUNIT_ASSERT(second.records.size() >= 2 && second.records.size() <= 3);
        CPPUNIT_ASSERT(second.records.back() == claimOf(1));
    }

    void whatCantBeSyncedIsWrittenOnceMore()
    {
        {
            const Opened first = this->open();
            this->append(*first.disk, turnNamed("1"));
        }
        JournalDisk::Limits refusing;
        refusing.syncFile = [](const std::string&) { return false; };
        {
            const Opened second = this->open(refusing);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.found.rewrittenRecords);
            this->append(*second.disk, turnNamed("2"));
        }
        const Opened third = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), third.found.rewrittenRecords);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), third.records.size());
        CPPUNIT_ASSERT(third.records[1] == turnNamed("1") && third.records[2] == turnNamed("2"));
    }

    void folderThatCantBeMadeIsAnError()
    {
        JournalDisk::Found found;
        const auto opened = JournalDisk::open(this->test.loop, "/proc/rattandeck", {}, {}, found);
        CPPUNIT_ASSERT(!opened.has_value());
        CPPUNIT_ASSERT(opened.error() == JournalDisk::Error::CannotOpenFolder);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalDiskTest);
