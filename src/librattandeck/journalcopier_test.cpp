#include "Rattandeck/journalcopier.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace Rattandeck;

class JournalCopierTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JournalCopierTest);
    CPPUNIT_TEST(knownTurnsAreNotRequested);
    CPPUNIT_TEST(fetchesAreDistributedAndDoneOnce);
    CPPUNIT_TEST(turnsOfALostSourceAreFetchedFromAnother);
    CPPUNIT_TEST(pageIsCopiedWhenItsTurnsHaveExpired);
    CPPUNIT_TEST_SUITE_END();

    std::set<TurnId> known;
    std::map<NodeId, TurnsRequest> requested;
    std::vector<NodeId> copied;
    std::unique_ptr<JournalCopier> copier;
    const NodeId a { "a" };
    const NodeId b { "b" };

public:
    void setUp() override
    {
        JournalCopier::Io io;
        io.isKnown = [this](const TurnId& turn) { return this->known.contains(turn); };
        io.requestTurns = [this](const NodeId& node, const TurnsRequest& request) { this->requested[node] = request; };
        io.onCopied = [this](const NodeId& node, const CopyPage&) { this->copied.push_back(node); };
        this->copier = std::make_unique<JournalCopier>(io);
    }

private:
    static CopyPage makePage(int turns)
    {
        CopyPage page;
        for (int i = 0; i < turns; ++i)
            page.turns.emplace_back(std::to_string(i));
        return page;
    }

    /// Answers the outstanding request to a journal. Returns the number of turns in it.
    std::size_t answer(const NodeId& node)
    {
        const auto found = this->requested.find(node);
        if (found == this->requested.end())
            return 0;
        const TurnsRequest request = found->second;
        this->requested.erase(found);
        for (const TurnId& turn : request.turns)
            this->known.insert(turn);
        this->copier->onTurns(node);
        return request.turns.size();
    }

    void knownTurnsAreNotRequested()
    {
        this->known.emplace("0");
        this->copier->onPage(this->a, makePage(1));
        CPPUNIT_ASSERT(this->requested.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->copied.size());
    }

    void fetchesAreDistributedAndDoneOnce()
    {
        constexpr int turns = 100;
        this->copier->onPage(this->a, makePage(turns));
        this->copier->onPage(this->b, makePage(turns));
        std::size_t fromA = 0;
        std::size_t fromB = 0;
        while (!this->requested.empty()) {
            fromA += this->answer(this->a);
            fromB += this->answer(this->b);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(turns), fromA + fromB);
        CPPUNIT_ASSERT(fromA > 0 && fromB > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), this->copied.size());
    }

    void turnsOfALostSourceAreFetchedFromAnother()
    {
        this->copier->onPage(this->a, makePage(10));
        this->copier->onPage(this->b, makePage(10));
        this->copier->onLinkDown(this->a);
        CPPUNIT_ASSERT_EQUAL(std::size_t(10), this->answer(this->b));
        CPPUNIT_ASSERT(this->copied == std::vector<NodeId> { this->b });
    }

    void pageIsCopiedWhenItsTurnsHaveExpired()
    {
        this->copier->onPage(this->a, makePage(5));
        this->copier->onTurns(this->a);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->copied.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalCopierTest);
