#include "unsyncedrecords.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Rattandeck;

class UnsyncedRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UnsyncedRecordsTest);
    CPPUNIT_TEST(unknownRecordIsDurable);
    CPPUNIT_TEST(recordWaitsForTheFirstSyncThatIncludesIt);
    CPPUNIT_TEST(recordAddedDuringASyncNeedsTheNext);
    CPPUNIT_TEST(syncOfAllMakesRecordsDurable);
    CPPUNIT_TEST(recordsThatNobodyWaitsForAreBounded);
    CPPUNIT_TEST_SUITE_END();

    std::deque<std::function<void()>> syncs;
    UnsyncedRecords records { [this](
                                  std::function<void()> onDurable) { this->syncs.push_back(std::move(onDurable)); } };
    int durable = 0;

    static RecordKey key(const char* turn) { return { {}, TurnId(turn) }; }
    void wait(const char* turn)
    {
        this->records.whenDurable(key(turn), [this] { ++this->durable; });
    }
    void finishSync()
    {
        const auto onDurable = std::move(this->syncs.front());
        this->syncs.pop_front();
        onDurable();
    }

    void unknownRecordIsDurable()
    {
        this->wait("t");
        CPPUNIT_ASSERT_EQUAL(1, this->durable);
        CPPUNIT_ASSERT(this->syncs.empty());
    }

    void recordWaitsForTheFirstSyncThatIncludesIt()
    {
        this->records.add(key("t"));
        this->wait("t");
        this->wait("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->syncs.size());
        CPPUNIT_ASSERT_EQUAL(0, this->durable);
        this->finishSync();
        CPPUNIT_ASSERT_EQUAL(2, this->durable);
        this->wait("t");
        CPPUNIT_ASSERT_EQUAL(3, this->durable);
    }

    void recordAddedDuringASyncNeedsTheNext()
    {
        this->records.add(key("t"));
        this->wait("t");
        this->records.add(key("u"));
        this->records.add(key("t"));
        this->wait("u");
        this->wait("t");
        this->finishSync();
        CPPUNIT_ASSERT_EQUAL(1, this->durable);
        this->finishSync();
        CPPUNIT_ASSERT_EQUAL(3, this->durable);
        CPPUNIT_ASSERT(this->syncs.empty());
    }

    void syncOfAllMakesRecordsDurable()
    {
        this->records.add(key("t"));
        this->records.whenAllDurable([this] { ++this->durable; });
        this->wait("t");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->syncs.size());
        this->finishSync();
        CPPUNIT_ASSERT_EQUAL(2, this->durable);
    }

    /// Guards against memory that grows for as long as a journal only stores, as one does that can't copy the others.
    void recordsThatNobodyWaitsForAreBounded()
    {
        for (std::size_t i = 0; i <= UnsyncedRecords::maxUnawaited; ++i)
            this->records.add(key(std::to_string(i).c_str()));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->syncs.size());
        CPPUNIT_ASSERT(this->records.size() >= UnsyncedRecords::maxUnawaited);
        this->finishSync();
        CPPUNIT_ASSERT(this->records.size() <= 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnsyncedRecordsTest);
