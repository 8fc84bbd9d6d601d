#include "Rattandeck/wire.h"

#include <boost/pfr.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <type_traits>

using namespace Rattandeck;

namespace {

// Fills every field by reflection, so that the round trip fails if the codec omits a field.
class Filler {
public:
    void operator()(bool& value) { value = *rc::gen::arbitrary<bool>(); }
    void operator()(std::string& value) { value = *rc::gen::arbitrary<std::string>(); }
    void operator()(double& value) { value = *rc::gen::inRange(-100000, 100000) / 16.0; }
    void operator()(std::uint32_t& value) { value = *rc::gen::arbitrary<std::uint32_t>(); }
    void operator()(std::uint64_t& value) { value = *rc::gen::arbitrary<std::uint64_t>(); }
    void operator()(std::int64_t& value) { value = *rc::gen::inRange<std::int64_t>(-1LL << 50U, 1LL << 50U); }
    void operator()(TokenCount& value) { value.value = *rc::gen::inRange<std::int64_t>(-1LL << 50U, 1LL << 50U); }
    void operator()(Milliseconds& value) { value = Milliseconds(*rc::gen::inRange(-1000000, 1000000)); }
    void operator()(Role& value) { value = *rc::gen::element(Role::Entry, Role::Sidecar); }
    void operator()(RecordState& value) { this->fillEnum(value, RecordState::Unknown); }
    void operator()(RefusalReason& value) { this->fillEnum(value, RefusalReason::HistoryMismatch); }
    void operator()(CallKind& value) { this->fillEnum(value, CallKind::GetProgram); }
    void operator()(Ran& value) { this->fillEnum(value, Ran::Unknown); }
    void operator()(ProblemKind& value) { this->fillEnum(value, ProblemKind::ShuttingDown); }

    template <typename Tag, typename Rep> void operator()(Strong<Tag, Rep>& value) { (*this)(value.value); }

    template <typename Value> void operator()(std::vector<Value>& values)
    {
        values.resize(*rc::gen::inRange<std::size_t>(0, 4));
        for (Value& value : values)
            (*this)(value);
    }

    template <typename... Alternatives> void operator()(std::variant<Alternatives...>& value)
    {
        const auto choice = *rc::gen::inRange<std::size_t>(0, sizeof...(Alternatives));
        std::size_t index = 0;
        ((index++ == choice ? this->fillAlternative<Alternatives>(value) : void()), ...);
    }

    template <typename Struct>
    requires std::is_aggregate_v<Struct>
    void operator()(Struct& value)
    {
        boost::pfr::for_each_field(value, [this](auto& field) { (*this)(field); });
    }

private:
    template <typename Enum> void fillEnum(Enum& value, Enum last)
    {
        value = static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(last) + 1));
    }

    template <typename Alternative, typename Variant> void fillAlternative(Variant& value)
    {
        Alternative alternative;
        (*this)(alternative);
        value = std::move(alternative);
    }
};

Message arbitraryMessage()
{
    Message message;
    Filler()(message);
    return message;
}

std::string pack(const nlohmann::json& json)
{
    std::string bytes;
    nlohmann::json::to_msgpack(json, bytes);
    return bytes;
}

}

class WireTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(everyMessageRoundTrips);
    CPPUNIT_TEST(truncatedMessageIsMalformed);
    CPPUNIT_TEST(changedBytesNeverThrow);
    CPPUNIT_TEST(deepNestingIsMalformed);
    CPPUNIT_TEST(hugeAnnouncedLengthIsMalformed);
    CPPUNIT_TEST(longStringsRoundTrip);
    CPPUNIT_TEST(attachmentOutsideTheMessageIsABadField);
    CPPUNIT_TEST(unknownKindIsReported);
    CPPUNIT_TEST(unknownFieldsAreIgnoredAndMissingOnesDefault);
    CPPUNIT_TEST(wrongTypesAndRangesAreBadFields);
    CPPUNIT_TEST_SUITE_END();

    void everyMessageRoundTrips()
    {
        CPPUNIT_ASSERT(rc::check("round trip", [] {
            const Message message = arbitraryMessage();
            const auto decoded = decode(encode(message));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == message);
        }));
    }

    void truncatedMessageIsMalformed()
    {
        CPPUNIT_ASSERT(rc::check("truncation", [] {
            const std::string bytes = encode(arbitraryMessage());
            const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size());
            RC_ASSERT(decode(bytes.substr(0, length)).error() == WireError::Malformed);
        }));
    }

    void changedBytesNeverThrow()
    {
        CPPUNIT_ASSERT(rc::check("garbage", [] {
            std::string bytes = encode(arbitraryMessage());
            for (int i = 0; i < 3; ++i)
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
            const auto outcome = decode(bytes);
            RC_CLASSIFY(outcome.has_value(), "still a message");
            (void)decode(*rc::gen::arbitrary<std::string>());
        }));
    }

    void deepNestingIsMalformed()
    {
        constexpr std::size_t depth = 4'000'000;
        const std::string arraysOfOne(depth, '\x91');
        CPPUNIT_ASSERT(decode(arraysOfOne).error() == WireError::Malformed);
    }

    void hugeAnnouncedLengthIsMalformed()
    {
        CPPUNIT_ASSERT(decode(std::string("\xdd\xff\xff\xff\xff", 5)).error() == WireError::Malformed);
        CPPUNIT_ASSERT(decode(std::string("\xdb\xff\xff\xff\xff", 5)).error() == WireError::Malformed);
        CPPUNIT_ASSERT(decode(std::string("\xdf\xff\xff\xff\xff", 5)).error() == WireError::Malformed);
    }

    static StoreTurn turnOf(std::size_t size)
    {
        StoreTurn store;
        store.turn.id = TurnId("id");
        store.turn.input = std::string(size, '\xc1');
        store.turn.output = std::string(size + 1, 'o');
        return store;
    }

    void longStringsRoundTrip()
    {
        for (const std::size_t size : { 0UL, 511UL, 512UL, 100000UL }) {
            const Message message = turnOf(size);
            const std::string bytes = encode(message);
            CPPUNIT_ASSERT(decode(bytes) == message);
            CPPUNIT_ASSERT(!decode(std::string_view(bytes).substr(0, bytes.size() - 1)).has_value());
        }
    }

    void attachmentOutsideTheMessageIsABadField()
    {
        nlohmann::json turn { { "input", { 5, 10 } } };
        const std::string document = pack(nlohmann::json::array({ "storeTurn", { { "turn", turn } } }));
        std::string bytes("\xc1\0\0\0", 4);
        bytes += static_cast<char>(document.size());
        bytes += document;
        CPPUNIT_ASSERT(decode(bytes + std::string(14, 'x')).error() == WireError::BadField);
        CPPUNIT_ASSERT(decode(bytes + std::string(15, 'x')).has_value());
        CPPUNIT_ASSERT(decode(bytes.substr(0, 8)).error() == WireError::Malformed);
    }

    void unknownKindIsReported()
    {
        const auto bytes = pack(nlohmann::json::array({ "later", nlohmann::json::object() }));
        CPPUNIT_ASSERT(decode(bytes).error() == WireError::UnknownKind);
        CPPUNIT_ASSERT(decode(pack(3)).error() == WireError::Malformed);
    }

    void unknownFieldsAreIgnoredAndMissingOnesDefault()
    {
        const auto bytes = pack(nlohmann::json::array({ "order", { { "id", 7 }, { "later", { 1, 2 } } } }));
        const auto message = decode(bytes);
        CPPUNIT_ASSERT(message.has_value());
        Order expected;
        expected.id = OrderId(7);
        CPPUNIT_ASSERT(*message == Message(expected));
    }

    void wrongTypesAndRangesAreBadFields()
    {
        const auto outcome = [](const char* kind, const char* field, const nlohmann::json& value) {
            const auto body = nlohmann::json::object({ { field, value } });
            const auto message = decode(pack(nlohmann::json::array({ kind, body })));
            return message ? std::optional<WireError>() : message.error();
        };
        CPPUNIT_ASSERT(outcome("order", "id", "text") == WireError::BadField);
        CPPUNIT_ASSERT(outcome("order", "id", -1) == WireError::BadField);
        CPPUNIT_ASSERT(outcome("order", "turn", 1LL << 32U) == WireError::BadField);
        CPPUNIT_ASSERT(outcome("order", "timeLeft", 1LL << 60U) == WireError::BadField);
        CPPUNIT_ASSERT(outcome("order", "program", nlohmann::json::array({ 1, 2 })) == WireError::BadField);
        CPPUNIT_ASSERT(outcome("order", "priority", std::nan("")) == WireError::BadField);
        CPPUNIT_ASSERT(outcome("refused", "reason", 8) == WireError::BadField);
        CPPUNIT_ASSERT(!outcome("refused", "reason", 7));
        CPPUNIT_ASSERT(outcome("load", "held", 1) == WireError::BadField);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);
