#include "disk.h"
#include "librattandecknet/testloop.h"
#include "metadata.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <map>
#include <set>

using namespace Rattandeck;
using namespace RattandeckNet;

/// A journal's files on a disk that is full for a while.
class FullDiskTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(FullDiskTest);
    CPPUNIT_TEST(recordIsWrittenOnceThereIsRoom);
    CPPUNIT_TEST(noSegmentCanBeOpened);
    CPPUNIT_TEST(headOfASegmentIsTorn);
    CPPUNIT_TEST(wholeRecordsOfAFailedWriteAreNotRead);
    CPPUNIT_TEST(failedWritesLeaveNoFiles);
    CPPUNIT_TEST(turnIsReadAfterAFailedWrite);
    CPPUNIT_TEST(readsWorkOnAFullDisk);
    CPPUNIT_TEST(expiredSegmentsMakeRoom);
    CPPUNIT_TEST(segmentsWithRecordsAreKeptUntilTheseAreWritten);
    CPPUNIT_TEST(closingAFullDiskEnds);
    CPPUNIT_TEST(metadataIsKeptAndWrittenLater);
    CPPUNIT_TEST(metadataWithoutRoomForAFileIsWrittenLater);
    CPPUNIT_TEST_SUITE_END();

    std::string folder;
    TestLoop test;
    std::unique_ptr<JournalDisk> disk;
    std::vector<bool> writable;
    std::map<std::string, DiskLocation> locations;
    std::set<std::string> recovered;

public:
    void setUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "rattandeck-full-XXXXXX").string();
        CPPUNIT_ASSERT(mkdtemp(pattern.data()) != nullptr);
        this->folder = pattern;
        this->open();
    }
    void tearDown() override
    {
        this->disk.reset();
        std::filesystem::remove_all(this->folder);
    }

private:
    static RetainedTurn turn(const std::string& id)
    {
        return { TurnId(id), TurnId(), "in", std::string(1000, 'x'), Milliseconds(60000) };
    }

    void open()
    {
        JournalDisk::Limits limits;
        limits.retryDelay = Milliseconds(5);
        JournalDisk::RecoveryStats recoveryStats;
        this->recovered.clear();
        const auto onRecord = [this](const RecoveredRecord& record) {
            if (const auto* head = std::get_if<TurnOnDisk>(&record))
                this->recovered.insert(head->id.value);
        };
        auto opened = JournalDisk::open(this->test.loop, this->folder, limits, onRecord, recoveryStats);
        CPPUNIT_ASSERT(opened.has_value());
        this->disk = std::move(*opened);
        this->disk->setOnTurnWritten(
            [this](const TurnId& id, const DiskLocation& location) { this->locations[id.value] = location; });
        this->disk->setOnWritable([this](bool isWritable) { this->writable.push_back(isWritable); });
    }

    void reopen()
    {
        this->disk.reset();
        this->open();
    }

    /// What a restart finds if the process is killed now.
    std::set<std::string> recoveredFromACopy()
    {
        const std::string copy = this->folder + "-copy";
        // The writer may open and remove a segment meanwhile.
        std::error_code error;
        do {
            std::filesystem::remove_all(copy);
            std::filesystem::copy(this->folder, copy, error);
        } while (error);
        std::set<std::string> found;
        {
            JournalDisk::RecoveryStats recoveryStats;
            const auto onRecord = [&found](const RecoveredRecord& record) {
                if (const auto* head = std::get_if<TurnOnDisk>(&record))
                    found.insert(head->id.value);
            };
            CPPUNIT_ASSERT(JournalDisk::open(this->test.loop, copy, {}, onRecord, recoveryStats).has_value());
        }
        std::filesystem::remove_all(copy);
        return found;
    }

    std::uint64_t usedBytes() const
    {
        std::uint64_t used = 0;
        for (const auto& entry : std::filesystem::directory_iterator(this->folder)) {
            std::error_code error;
            const std::uintmax_t size = entry.file_size(error);
            used += error ? 0 : size;
        }
        return used;
    }

    std::size_t fileCount() const
    {
        const auto files = std::filesystem::directory_iterator(this->folder);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    void leaveRoom(std::uint64_t bytes) { this->disk->quota().setMaxBytes(this->usedBytes() + bytes); }
    void makeRoom() { this->disk->quota().setMaxBytes(0); }

    /// Appends a turn; the returned flag is set when it is durable.
    std::shared_ptr<bool> append(const std::string& id)
    {
        auto isDurable = std::make_shared<bool>(false);
        this->disk->append(turn(id));
        this->disk->sync([isDurable] { *isDurable = true; });
        return isDurable;
    }

    void write(const std::string& id)
    {
        const auto isDurable = this->append(id);
        this->test.runUntil("durable", [&isDurable] { return *isDurable; });
    }

    void awaitFailures(std::uint64_t count)
    {
        this->test.runUntil("refused", [this, count] {
            return this->disk->stats().failures >= count && !this->writable.empty() && !this->writable.back();
        });
    }

    void awaitDurable(const std::shared_ptr<bool>& isDurable)
    {
        CPPUNIT_ASSERT(!*isDurable);
        this->makeRoom();
        this->test.runUntil("durable", [&isDurable] { return *isDurable; });
        this->test.runUntil("writable", [this] { return this->writable.back(); });
        CPPUNIT_ASSERT((this->writable == std::vector<bool> { false, true }));
    }

    void recordIsWrittenOnceThereIsRoom()
    {
        this->write("1");
        this->leaveRoom(500);
        const auto second = this->append("2");
        this->awaitFailures(3);
        CPPUNIT_ASSERT((this->recoveredFromACopy() == std::set<std::string> { "1" }));
        this->awaitDurable(second);
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "1", "2" }));
    }

    void noSegmentCanBeOpened()
    {
        this->write("1");
        this->reopen();
        this->leaveRoom(0);
        const auto second = this->append("2");
        this->awaitFailures(3);
        CPPUNIT_ASSERT((this->recoveredFromACopy() == std::set<std::string> { "1" }));
        this->awaitDurable(second);
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "1", "2" }));
    }

    void headOfASegmentIsTorn()
    {
        this->write("1");
        this->reopen();
        this->leaveRoom(7);
        const auto second = this->append("2");
        this->awaitFailures(3);
        CPPUNIT_ASSERT((this->recoveredFromACopy() == std::set<std::string> { "1" }));
        this->awaitDurable(second);
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "1", "2" }));
    }

    /// They were never synced: a restarted journal would acknowledge them at once when they come again.
    void wholeRecordsOfAFailedWriteAreNotRead()
    {
        this->write("1");
        this->leaveRoom(0);
        this->append("2");
        this->awaitFailures(1);
        // They are in one write, of which the first record fits.
        for (const char* id : { "3", "4", "5" })
            this->append(id);
        this->leaveRoom(2500);
        this->test.runUntil("durable", [this] { return this->locations.contains("2"); });
        this->awaitFailures(this->disk->stats().failures + 3);
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "1", "2" }));
    }

    /// Each attempt left a segment before, so that a disk that was full for an hour had 18,000 of them.
    void failedWritesLeaveNoFiles()
    {
        this->write("1");
        const std::size_t files = this->fileCount();
        const std::uint64_t used = this->usedBytes();
        const auto segment = this->disk->currentSegment();
        this->leaveRoom(500);
        this->append("2");
        this->awaitFailures(10);
        // An attempt may be under way.
        CPPUNIT_ASSERT(this->fileCount() <= files + 1);
        CPPUNIT_ASSERT(this->usedBytes() <= used + 500);
        CPPUNIT_ASSERT_EQUAL(segment, this->disk->currentSegment());
    }

    void turnIsReadAfterAFailedWrite()
    {
        this->write("1");
        this->leaveRoom(500);
        const auto second = this->append("2");
        this->awaitFailures(3);
        this->awaitDurable(second);
        this->write("3");
        for (const char* id : { "1", "2", "3" }) {
            const auto found = this->disk->read(this->locations.at(id));
            CPPUNIT_ASSERT(found && *found == turn(id));
        }
    }

    void readsWorkOnAFullDisk()
    {
        this->write("1");
        this->leaveRoom(0);
        this->append("2");
        this->awaitFailures(1);
        const auto found = this->disk->read(this->locations.at("1"));
        CPPUNIT_ASSERT(found && *found == turn("1"));
    }

    /// The journal's own expired segments may be all that can make room.
    void expiredSegmentsMakeRoom()
    {
        this->write("1");
        this->reopen();
        this->write("2");
        this->disk->quota().setMaxBytes(this->usedBytes() + 500);
        const auto third = this->append("3");
        this->awaitFailures(2);
        this->disk->removeExpiredBefore(this->disk->currentSegment());
        this->test.runUntil("durable", [&third] { return *third; });
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "2", "3" }));
    }

    void segmentsWithRecordsAreKeptUntilTheseAreWritten()
    {
        this->write("1");
        this->reopen();
        this->write("2");
        this->leaveRoom(500);
        const auto again = this->append("1");
        this->disk->removeBefore(this->disk->currentSegment());
        this->awaitFailures(3);
        CPPUNIT_ASSERT((this->recoveredFromACopy() == std::set<std::string> { "1", "2" }));
        this->awaitDurable(again);
    }

    void closingAFullDiskEnds()
    {
        this->write("1");
        this->leaveRoom(0);
        this->append("2");
        this->awaitFailures(1);
        this->reopen();
        CPPUNIT_ASSERT((this->recovered == std::set<std::string> { "1" }));
    }

    // Metadata -------------------------------------------------------------------------------------------------------

    static JournalSet set(std::uint64_t epoch)
    {
        JournalSet made;
        made.epoch = Epoch(epoch);
        made.members = { { NodeId("j1"), "j1:1" }, { NodeId("j2"), "j2:1" } };
        return made;
    }

    void assertMetadataIsWrittenLater(std::uint64_t room)
    {
        JournalMetadata metadata(this->folder);
        CPPUNIT_ASSERT(metadata.persistSet(set(3)));
        metadata.quota().setMaxBytes(this->usedBytes() + room);
        CPPUNIT_ASSERT(!metadata.persistSet(set(4)));
        CPPUNIT_ASSERT(!metadata.isWritten());
        CPPUNIT_ASSERT(!metadata.retry());
        CPPUNIT_ASSERT(!metadata.persistSyncState(metadata.syncState()));
        // The former file is whole, and nothing of the new one takes room.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), JournalMetadata(this->folder).set().epoch.value);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fileCount());
        metadata.quota().setMaxBytes(0);
        CPPUNIT_ASSERT(metadata.retry());
        CPPUNIT_ASSERT(metadata.isWritten());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), JournalMetadata(this->folder).set().epoch.value);
    }

    void metadataIsKeptAndWrittenLater() { this->assertMetadataIsWrittenLater(20); }
    void metadataWithoutRoomForAFileIsWrittenLater() { this->assertMetadataIsWrittenLater(0); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullDiskTest);
