#include "Rattandeck/turnscope.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Rattandeck;

class TurnScopeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TurnScopeTest);
    CPPUNIT_TEST(forgedIdsReachNoOtherOrganisation);
    CPPUNIT_TEST(differentPairsHaveDifferentIds);
    CPPUNIT_TEST(idsOfTheCallerAreRestored);
    CPPUNIT_TEST(idsThatWereNotScopedAreKept);
    CPPUNIT_TEST_SUITE_END();

    static TurnId scoped(const std::string& organisation, const std::string& turn)
    {
        return scopedTurn(OrganisationId(organisation), TurnId(turn));
    }

    /// Guards against an id that a caller builds so that it reads as a turn of another organisation.
    void forgedIdsReachNoOtherOrganisation()
    {
        const TurnId victim = scoped("north", "r1");
        const std::string itself = victim.value;
        for (const std::string& forged :
            { std::string("5:northr1"), std::string("northr1"), std::string("r1"), itself, std::string(":northr1") }) {
            CPPUNIT_ASSERT(scoped("south", forged) != victim);
            CPPUNIT_ASSERT(scoped("", forged) != victim);
            CPPUNIT_ASSERT(scoped("n", forged) != victim);
        }
        CPPUNIT_ASSERT(scoped("nort", "hr1") != victim);
        CPPUNIT_ASSERT(scoped("northr", "1") != victim);
        // A plain id, chosen while the configuration had no organisations, has no control character.
        CPPUNIT_ASSERT(TurnId("5:northr1") != victim);
        CPPUNIT_ASSERT_EQUAL('\x1f', victim.value.front());
    }

    void differentPairsHaveDifferentIds()
    {
        const bool passes = rc::check([](const std::string& organisation, const std::string& turn,
                                          const std::string& otherOrganisation, const std::string& otherTurn) {
            const bool isSamePair = organisation == otherOrganisation && turn == otherTurn;
            RC_ASSERT((scoped(organisation, turn) == scoped(otherOrganisation, otherTurn)) == isSamePair);
            // The same text, divided in another way.
            const std::string text = organisation + turn;
            for (std::size_t length = 0; length <= text.size(); ++length) {
                const bool isSame = length == organisation.size();
                RC_ASSERT(
                    (scoped(text.substr(0, length), text.substr(length)) == scoped(organisation, turn)) == isSame);
            }
        });
        CPPUNIT_ASSERT(passes);
    }

    void idsOfTheCallerAreRestored()
    {
        const bool passes = rc::check([](const std::string& organisation, const std::string& turn) {
            RC_ASSERT(unscopedTurn(scoped(organisation, turn)) == TurnId(turn));
        });
        CPPUNIT_ASSERT(passes);
    }

    void idsThatWereNotScopedAreKept()
    {
        const std::string mark(1, '\x1f');
        for (const std::string& id : { std::string(), std::string("r1"), std::string("5:north"), mark, mark + "5",
                 mark + "9:north", mark + "x:n" })
            CPPUNIT_ASSERT(unscopedTurn(TurnId(id)) == TurnId(id));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TurnScopeTest);
