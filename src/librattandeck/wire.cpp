#include "Rattandeck/wire.h"

#include "wire_fields.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <type_traits>

namespace Rattandeck {

using Wire::lastValue;
using Wire::tag;
using Wire::visitFields;

namespace {

    using Json = nlohmann::json;

    // Longest duration on the wire, so that conversions to nanoseconds and sums of a few durations can't overflow.
    constexpr std::int64_t maxMilliseconds = 10LL * 366 * 24 * 3600 * 1000;
    // Largest token count on the wire, so that sums can't overflow.
    constexpr std::int64_t maxTokens = 1LL << 52U;
    // The deepest message is an array of objects in an object in the outer pair; some room for later versions.
    constexpr std::size_t maxDepth = 16;

    // Writing ------------------------------------------------------------------------------------------------------

    Json write(bool value) { return value; }
    Json write(const std::string& value) { return value; }
    Json write(double value) { return value; }
    Json write(std::uint32_t value) { return value; }
    Json write(std::uint64_t value) { return value; }
    Json write(std::int64_t value) { return value; }
    Json write(Milliseconds value) { return std::int64_t { value.count() }; }
    template <typename Tag, typename Rep> Json write(const Strong<Tag, Rep>& value) { return write(value.value); }
    Json write(const ProgramId& id) { return Json::array({ id.shard.value, id.openedIn.value, id.serial }); }

    template <typename Value>
    requires std::is_enum_v<Value> Json write(Value value) { return static_cast<std::uint32_t>(value); }

    template <typename... Alternatives> Json write(const std::variant<Alternatives...>& value);
    template <typename Value> Json write(const std::vector<Value>& values);

    struct FieldWriter {
        Json object = Json::object();
        template <typename Value> void operator()(const char* name, const Value& value);
    };

    template <typename Struct>
    requires requires(FieldWriter& writer, Struct& value) { visitFields(writer, value); }
    Json write(const Struct& value)
    {
        FieldWriter writer;
        // The list of fields is shared with the reader, hence not const; the writer changes nothing.
        visitFields(writer, const_cast<Struct&>(value));
        return std::move(writer.object);
    }

    template <typename Value> Json write(const std::vector<Value>& values)
    {
        Json array = Json::array();
        for (const Value& value : values)
            array.push_back(write(value));
        return array;
    }

    template <typename... Alternatives> Json write(const std::variant<Alternatives...>& value)
    {
        return std::visit(
            [](const auto& alternative) {
                Json pair = Json::array();
                pair.push_back(tag<std::decay_t<decltype(alternative)>>);
                pair.push_back(write(alternative));
                return pair;
            },
            value);
    }

    template <typename Value> void FieldWriter::operator()(const char* name, const Value& value)
    {
        this->object.emplace(name, write(value));
    }

    // Reading: each overload returns false, and may leave a part changed, if `json` has the wrong type or range ----

    bool read(Json& json, bool& value)
    {
        if (!json.is_boolean())
            return false;
        value = json.get<bool>();
        return true;
    }

    bool read(Json& json, std::string& value)
    {
        if (!json.is_string())
            return false;
        value = std::move(json.get_ref<std::string&>());
        return true;
    }

    bool read(Json& json, double& value)
    {
        if (!json.is_number() || !std::isfinite(json.get<double>()))
            return false;
        value = json.get<double>();
        return true;
    }

    template <typename Number> bool readUnsigned(const Json& json, Number& value)
    {
        if (!json.is_number_unsigned())
            return false;
        const auto number = json.get<std::uint64_t>();
        if (number > std::numeric_limits<Number>::max())
            return false;
        value = static_cast<Number>(number);
        return true;
    }

    bool read(Json& json, std::uint32_t& value) { return readUnsigned(json, value); }
    bool read(Json& json, std::uint64_t& value) { return readUnsigned(json, value); }

    bool readSigned(const Json& json, std::int64_t bound, std::int64_t& value)
    {
        std::uint64_t magnitude = 0;
        if (readUnsigned(json, magnitude)) {
            if (magnitude > static_cast<std::uint64_t>(bound))
                return false;
            value = static_cast<std::int64_t>(magnitude);
            return true;
        }
        if (!json.is_number_integer() || json.get<std::int64_t>() < -bound)
            return false;
        value = json.get<std::int64_t>();
        return true;
    }

    bool read(Json& json, TokenCount& value) { return readSigned(json, maxTokens, value.value); }

    bool read(Json& json, Milliseconds& value)
    {
        std::int64_t count = 0;
        if (!readSigned(json, maxMilliseconds, count))
            return false;
        value = Milliseconds(count);
        return true;
    }

    template <typename Tag, typename Rep> bool read(Json& json, Strong<Tag, Rep>& value)
    {
        return read(json, value.value);
    }

    bool read(Json& json, ProgramId& id)
    {
        return json.is_array() && json.size() == 3 && read(json[0], id.shard) && read(json[1], id.openedIn)
            && read(json[2], id.serial);
    }

    template <typename Value>
    requires std::is_enum_v<Value>
    bool read(Json& json, Value& value)
    {
        std::uint32_t number = 0;
        if (!readUnsigned(json, number) || number > static_cast<std::uint32_t>(lastValue<Value>))
            return false;
        value = static_cast<Value>(number);
        return true;
    }

    template <typename... Alternatives> bool read(Json& json, std::variant<Alternatives...>& value);
    template <typename Value> bool read(Json& json, std::vector<Value>& values);

    struct FieldReader {
        Json& object;
        bool good = true;
        template <typename Value> void operator()(const char* name, Value& value);
    };

    template <typename Struct>
    requires requires(FieldReader& reader, Struct& value) { visitFields(reader, value); }
    bool read(Json& json, Struct& value)
    {
        if (!json.is_object())
            return false;
        FieldReader reader { json };
        visitFields(reader, value);
        return reader.good;
    }

    template <typename Value> bool read(Json& json, std::vector<Value>& values)
    {
        if (!json.is_array())
            return false;
        for (Json& element : json) {
            if (!read(element, values.emplace_back()))
                return false;
        }
        return true;
    }

    enum class PairOutcome { Read, NotAPair, UnknownTag, BadBody };

    template <typename Alternative, typename... Alternatives>
    bool readIfTagged(Json& pair, std::variant<Alternatives...>& value, PairOutcome& outcome)
    {
        if (pair[0].get_ref<const std::string&>() != tag<Alternative>)
            return false;
        Alternative alternative;
        outcome = read(pair[1], alternative) ? PairOutcome::Read : PairOutcome::BadBody;
        value = std::move(alternative);
        return true;
    }

    template <typename... Alternatives> PairOutcome readPair(Json& json, std::variant<Alternatives...>& value)
    {
        if (!json.is_array() || json.size() != 2 || !json[0].is_string())
            return PairOutcome::NotAPair;
        PairOutcome outcome = PairOutcome::UnknownTag;
        (void)(readIfTagged<Alternatives>(json, value, outcome) || ...);
        return outcome;
    }

    template <typename... Alternatives> bool read(Json& json, std::variant<Alternatives...>& value)
    {
        return readPair(json, value) == PairOutcome::Read;
    }

    template <typename Value> void FieldReader::operator()(const char* name, Value& value)
    {
        const auto field = this->object.find(name);
        if (field != this->object.end() && !read(*field, value))
            this->good = false;
    }

    // Parsing ------------------------------------------------------------------------------------------------------

    // Builds the document as the library's own handler does, but refuses deep nesting, on which the library's parser
    // would recurse until the stack ends, and takes no length on trust.
    class BoundedHandler : public nlohmann::json_sax<Json> {
    public:
        explicit BoundedHandler(Json& target)
            : root(target)
        {
        }

        bool null() override { return this->add(nullptr); }
        bool boolean(bool value) override { return this->add(value); }
        bool number_integer(number_integer_t value) override { return this->add(value); }
        bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
        bool number_float(number_float_t value, const string_t& /*text*/) override { return this->add(value); }
        bool string(string_t& value) override { return this->add(std::move(value)); }
        // No known field is binary; one of a later version is ignored like any other.
        bool binary(binary_t& /*value*/) override { return this->add(nullptr); }
        bool start_object(std::size_t /*size*/) override { return this->open(Json::object()); }
        bool start_array(std::size_t /*size*/) override { return this->open(Json::array()); }
        bool end_object() override { return this->close(); }
        bool end_array() override { return this->close(); }
        bool parse_error(std::size_t /*at*/, const std::string& /*token*/, const nlohmann::detail::exception&) override
        {
            return false;
        }

        bool key(string_t& value) override
        {
            this->pendingKey = std::move(value);
            return true;
        }

    private:
        Json& root;
        std::vector<Json*> path;
        std::string pendingKey;

        Json* place(Json&& value)
        {
            if (this->path.empty()) {
                this->root = std::move(value);
                return &this->root;
            }
            Json& parent = *this->path.back();
            if (parent.is_array())
                return &parent.emplace_back(std::move(value));
            Json& member = parent[std::move(this->pendingKey)];
            member = std::move(value);
            return &member;
        }

        bool add(Json value)
        {
            this->place(std::move(value));
            return true;
        }

        bool open(Json container)
        {
            if (this->path.size() >= maxDepth)
                return false;
            this->path.push_back(this->place(std::move(container)));
            return true;
        }

        bool close()
        {
            this->path.pop_back();
            return true;
        }
    };

    tl::expected<Message, WireError> decodeJson(Json& json)
    {
        Message message;
        switch (readPair(json, message)) {
        case PairOutcome::Read:
            return message;
        case PairOutcome::UnknownTag:
            return tl::unexpected(WireError::UnknownKind);
        case PairOutcome::BadBody:
            return tl::unexpected(WireError::BadField);
        case PairOutcome::NotAPair:
            break;
        }
        return tl::unexpected(WireError::Malformed);
    }

}

std::string encode(const Message& message)
{
    std::string bytes;
    Json::to_msgpack(write(message), bytes);
    return bytes;
}

tl::expected<Message, WireError> decode(std::string_view bytes)
{
    Json root;
    BoundedHandler handler(root);
    // The library throws on lengths that no container can have, whatever the handler says.
    try {
        if (!Json::sax_parse(bytes, &handler, Json::input_format_t::msgpack))
            return tl::unexpected(WireError::Malformed);
    } catch (const Json::exception&) {
        return tl::unexpected(WireError::Malformed);
    }
    return decodeJson(root);
}

}
