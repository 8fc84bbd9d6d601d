#include "disk.h"

#include "librattandecknet/testloop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>

using namespace Rattandeck;
using namespace RattandeckNet;

class JournalDiskTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalDiskTest);
    CPPUNIT_TEST(recordRoundTrip);
    CPPUNIT_TEST(crashReportsOfAnEarlierVersionAreRead);
    CPPUNIT_TEST(malformedBytesAreRejected);
    CPPUNIT_TEST(recordsAreReadBackInOrder);
    CPPUNIT_TEST(tornRecordIsSkipped);
    CPPUNIT_TEST(readingStopsAtACorruptRecord);
    CPPUNIT_TEST(segmentsAreRemovedAsAWhole);
    CPPUNIT_TEST(unsyncableRecordsAreRewritten);
    CPPUNIT_TEST(writtenTurnIsReadFromItsLocation);
    CPPUNIT_TEST(removedSegmentCantBeRead);
    CPPUNIT_TEST(openFailsWhenTheFolderCannotBeCreated);
    CPPUNIT_TEST_SUITE_END();

    std::string folder;
    TestLoop testLoop;

    static JournalRecord makeTurn(const std::string& id)
    {
        return RetainedTurn { TurnId(id), TurnId("before"), "in", std::string(1000, '\xff'), Milliseconds(60000) };
    }

    static JournalRecord makeClaim(std::int64_t tokens)
    {
        return SettleClaim { BudgetId("p"), { TurnId("t"), TokenCount(tokens), true }, Milliseconds(1) };
    }

    /// The complete record; the text of a turn is read from disk.
    static JournalRecord readWhole(JournalDisk& disk, const RecoveredRecord& found)
    {
        if (const auto* head = std::get_if<TurnOnDisk>(&found)) {
            const auto turn = disk.read(head->location);
            CPPUNIT_ASSERT(turn && turn->id == head->id);
            CPPUNIT_ASSERT_EQUAL(turn->input.size() + turn->output.size(), head->textBytes);
            return *turn;
        }
        if (const auto* claim = std::get_if<SettleClaim>(&found))
            return *claim;
        if (const auto* turn = std::get_if<RetainedTurn>(&found))
            return *turn;
        return std::get<CrashReports>(found);
    }

    struct Opened {
        std::unique_ptr<JournalDisk> disk;
        std::vector<RecoveredRecord> heads;
        std::vector<JournalRecord> records;
        JournalDisk::RecoveryStats recoveryStats;
    };

    Opened open(JournalDisk::Limits limits = {})
    {
        Opened opened;
        auto disk = JournalDisk::open(
            this->testLoop.loop, this->folder, limits,
            [&opened](RecoveredRecord record) { opened.heads.push_back(std::move(record)); }, opened.recoveryStats);
        CPPUNIT_ASSERT(disk.has_value());
        opened.disk = std::move(*disk);
        opened.disk->setOnTurnWritten([](const TurnId&, const DiskLocation&) {});
        for (const RecoveredRecord& head : opened.heads)
            opened.records.push_back(readWhole(*opened.disk, head));
        return opened;
    }

    void append(JournalDisk& disk, const JournalRecord& record)
    {
        bool isDurable = false;
        disk.append(record);
        disk.sync([&isDurable] { isDurable = true; });
        this->testLoop.runUntil("durable", [&isDurable] { return isDurable; });
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
    void recordRoundTrip()
    {
        // Guards against a request that is no longer held after a restart: its crashes had lost their rounds.
        const CrashReports crashes { { { Fingerprint("f"), "e/1", Milliseconds(5), 3, true, true } } };
        const GossipItems news { { { "endpoint/1", 7, true, "text" }, { "config", 8, false, "{}" } } };
        for (const JournalRecord& record :
            { makeTurn("1"), makeClaim(-7), JournalRecord(crashes), JournalRecord(news) })
            CPPUNIT_ASSERT(RecordDecoder().decode(encodeRecord(record)) == record);
    }

    void crashReportsOfAnEarlierVersionAreRead()
    {
        const auto number
            = [](std::uint64_t value) { return std::string(reinterpret_cast<const char*>(&value), sizeof(value)); };
        const std::string bytes = std::string("\x02\x02") + number(1) + number(1) + "f" + number(3) + "e/1" + number(5);
        const CrashReports expected { { { Fingerprint("f"), "e/1", Milliseconds(5) } } };
        CPPUNIT_ASSERT(RecordDecoder().decode(bytes) == JournalRecord(expected));
    }

    void malformedBytesAreRejected()
    {
        const std::string bytes = encodeRecord(makeTurn("1"));
        for (std::size_t length = 0; length < bytes.size(); length += 100)
            CPPUNIT_ASSERT(!RecordDecoder().decode(bytes.substr(0, length)));
        for (std::size_t length = 0; length < bytes.size(); length += 100)
            CPPUNIT_ASSERT(!RecordDecoder().decodeHead(bytes.substr(0, length), {}));
        CPPUNIT_ASSERT(!RecordDecoder().decode("\x7f" + bytes.substr(1)));
        CPPUNIT_ASSERT(
            !RecordDecoder().decode(std::string("\x01\x01\x00\x00\x00\xff\xff\xff\xff\xff\xff\xff\x7f", 13)));
    }

    void recordsAreReadBackInOrder()
    {
        {
            const Opened first = this->open();
            CPPUNIT_ASSERT(first.records.empty());
            this->append(*first.disk, makeTurn("1"));
            this->append(*first.disk, makeClaim(5));
        }
        {
            const Opened second = this->open();
            this->append(*second.disk, makeTurn("2"));
        }
        const Opened third = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), third.records.size());
        CPPUNIT_ASSERT(third.records[0] == makeTurn("1") && third.records[2] == makeTurn("2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), third.recoveryStats.segments);
    }

    void tornRecordIsSkipped()
    {
        {
            const Opened first = this->open();
            this->append(*first.disk, makeTurn("1"));
            this->append(*first.disk, makeTurn("2"));
        }
        const std::string path = this->onlySegment();
        std::filesystem::resize_file(path, std::filesystem::file_size(path) - 1);
        const Opened second = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.records.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.recoveryStats.tornSegments);
    }

    void readingStopsAtACorruptRecord()
    {
        {
            const Opened first = this->open();
            for (const char* id : { "1", "2", "3" })
                this->append(*first.disk, makeTurn(id));
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

    void segmentsAreRemovedAsAWhole()
    {
        JournalDisk::Limits limits;
        limits.segmentBytes = 1500;
        Opened first = this->open(limits);
        for (const char* id : { "1", "2", "3", "4", "5" })
            this->append(*first.disk, makeTurn(id));
        first.disk->removeBefore(first.disk->currentSegment());
        this->append(*first.disk, makeClaim(1));
        first.disk.reset();
        const Opened second = this->open();
        CPPUNIT_ASSERT(second.records.size() >= 2 && second.records.size() <= 3);
        CPPUNIT_ASSERT(second.records.back() == makeClaim(1));
    }

    void unsyncableRecordsAreRewritten()
    {
        {
            const Opened first = this->open();
            this->append(*first.disk, makeTurn("1"));
        }
        JournalDisk::Limits refusing;
        refusing.syncFile = [](const std::string&) { return false; };
        {
            const Opened second = this->open(refusing);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), second.recoveryStats.rewrittenRecords);
            this->append(*second.disk, makeTurn("2"));
        }
        const Opened third = this->open();
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), third.recoveryStats.rewrittenRecords);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), third.records.size());
        CPPUNIT_ASSERT(third.records[1] == makeTurn("1") && third.records[2] == makeTurn("2"));
    }

    void writtenTurnIsReadFromItsLocation()
    {
        JournalDisk::Limits limits;
        limits.segmentBytes = 2500;
        const Opened opened = this->open(limits);
        std::map<TurnId, DiskLocation> locations;
        opened.disk->setOnTurnWritten(
            [&locations](const TurnId& turn, const DiskLocation& location) { locations[turn] = location; });
        for (const char* id : { "1", "2", "3", "4", "5" }) {
            opened.disk->append(makeClaim(1));
            this->append(*opened.disk, makeTurn(id));
            CPPUNIT_ASSERT(locations.contains(TurnId(id)));
        }
        CPPUNIT_ASSERT(locations.at(TurnId("1")).segment < locations.at(TurnId("5")).segment);
        for (const auto& [turn, location] : locations)
            CPPUNIT_ASSERT(JournalRecord(*opened.disk->read(location)) == makeTurn(turn.value));
    }

    void removedSegmentCantBeRead()
    {
        JournalDisk::Limits limits;
        limits.segmentBytes = 1;
        const Opened opened = this->open(limits);
        DiskLocation first;
        opened.disk->setOnTurnWritten([&first](const TurnId& turn, const DiskLocation& location) {
            if (turn == TurnId("1"))
                first = location;
        });
        this->append(*opened.disk, makeTurn("1"));
        this->append(*opened.disk, makeTurn("2"));
        CPPUNIT_ASSERT(opened.disk->read(first).has_value());
        opened.disk->removeBefore(opened.disk->currentSegment());
        this->append(*opened.disk, makeClaim(1));
        CPPUNIT_ASSERT(!opened.disk->read(first).has_value());
    }

    void openFailsWhenTheFolderCannotBeCreated()
    {
        JournalDisk::RecoveryStats recoveryStats;
        const auto opened = JournalDisk::open(this->testLoop.loop, "/proc/rattandeck", {}, {}, recoveryStats);
        CPPUNIT_ASSERT(!opened.has_value());
        CPPUNIT_ASSERT(opened.error() == JournalDisk::Error::CannotOpenFolder);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalDiskTest);
