#include "Rattandeck/wire.h"

#include "Rattandeck/boundedjson.h"
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

    // Maximum duration on the wire, so that conversions to nanoseconds and sums of a few durations can't overflow.
    constexpr std::int64_t maxMilliseconds = 10LL * 366 * 24 * 3600 * 1000;
    // Maximum token count on the wire, so that sums can't overflow.
    constexpr std::int64_t maxTokens = 1LL << 52U;
    // Maximum nesting. The deepest message has an array of objects inside an object inside the outer pair; the rest is
    // reserved for later versions.
    constexpr std::size_t maxDepth = 16;

    // Attachments --------------------------------------------------------------------------------------------------

    // Strings of this size or longer are appended to the document as raw bytes, and the document contains their offset
    // and length instead: the library decodes strings byte by byte, which is slow for long ones.
    constexpr std::size_t minAttachment = 512;
    // First byte of a message with attachments; no MessagePack document begins with it.
    constexpr char attachmentMarker = '\xc1';
    // The header consists of `attachmentMarker` and the length of the document in four bytes, big-endian.
    constexpr std::size_t attachmentHeader = 5;

    // Encoding -----------------------------------------------------------------------------------------------------

    struct Writer {
        std::string attachments;

        Json write(bool value) { return value; }
        Json write(double value) { return value; }
        Json write(std::uint32_t value) { return value; }
        Json write(std::uint64_t value) { return value; }
        Json write(std::int64_t value) { return value; }
        Json write(Milliseconds value) { return std::int64_t { value.count() }; }
        template <typename Tag, typename Rep> Json write(const Strong<Tag, Rep>& value)
        {
            return this->write(value.value);
        }
        Json write(const ProgramId& id) { return Json::array({ id.shard.value, id.openedIn.value, id.serial }); }

        Json write(const std::string& value)
        {
            if (value.size() < minAttachment)
                return value;
            const std::size_t offset = this->attachments.size();
            this->attachments += value;
            return Json::array({ offset, value.size() });
        }

        template <typename Value>
        requires std::is_enum_v<Value> Json write(Value value) { return static_cast<std::uint32_t>(value); }

        struct Fields {
            Writer& writer;
            Json object = Json::object();
            template <typename Value> void operator()(const char* name, const Value& value)
            {
                this->object.emplace(name, this->writer.write(value));
            }
        };

        template <typename Struct>
        requires requires(Fields& fields, Struct& value) { visitFields(fields, value); }
        Json write(const Struct& value)
        {
            Fields fields { *this };
            // `visitFields` is shared with the reader and therefore takes a non-const reference; the writer does not
            // modify the value.
            visitFields(fields, const_cast<Struct&>(value));
            return std::move(fields.object);
        }

        template <typename Value> Json write(const std::vector<Value>& values)
        {
            Json array = Json::array();
            for (const Value& value : values)
                array.push_back(this->write(value));
            return array;
        }

        template <typename... Alternatives> Json write(const std::variant<Alternatives...>& value)
        {
            return std::visit(
                [this](const auto& alternative) {
                    Json pair = Json::array();
                    pair.push_back(tag<std::decay_t<decltype(alternative)>>);
                    pair.push_back(this->write(alternative));
                    return pair;
                },
                value);
        }
    };

    // Decoding: each overload returns false if `json` has the wrong type or range; `value` may be partly changed ----

    enum class PairOutcome { Read, NotAPair, UnknownTag, BadBody };

    struct Reader {
        std::string_view attachments;

        bool read(Json& json, bool& value)
        {
            if (!json.is_boolean())
                return false;
            value = json.get<bool>();
            return true;
        }

        bool read(Json& json, std::string& value)
        {
            if (json.is_array())
                return this->readAttachment(json, value);
            if (!json.is_string())
                return false;
            value = std::move(json.get_ref<std::string&>());
            return true;
        }

        bool readAttachment(Json& json, std::string& value)
        {
            std::uint64_t offset = 0;
            std::uint64_t size = 0;
            if (json.size() != 2 || !this->read(json[0], offset) || !this->read(json[1], size))
                return false;
            if (offset > this->attachments.size() || size > this->attachments.size() - offset)
                return false;
            value = this->attachments.substr(offset, size);
            return true;
        }

        bool read(Json& json, double& value)
        {
            if (!json.is_number() || !std::isfinite(json.get<double>()))
                return false;
            value = json.get<double>();
            return true;
        }

        template <typename Number> static bool readUnsigned(const Json& json, Number& value)
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

        static bool readSigned(const Json& json, std::int64_t bound, std::int64_t& value)
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

        bool read(Json& json, std::int64_t& value)
        {
            return readSigned(json, std::numeric_limits<std::int64_t>::max(), value);
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
            return this->read(json, value.value);
        }

        bool read(Json& json, ProgramId& id)
        {
            return json.is_array() && json.size() == 3 && this->read(json[0], id.shard)
                && this->read(json[1], id.openedIn) && this->read(json[2], id.serial);
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

        struct Fields {
            Reader& reader;
            Json& object;
            bool isValid = true;
            template <typename Value> void operator()(const char* name, Value& value)
            {
                const auto field = this->object.find(name);
                if (field != this->object.end() && !this->reader.read(*field, value))
                    this->isValid = false;
            }
        };

        template <typename Struct>
        requires requires(Fields& fields, Struct& value) { visitFields(fields, value); }
        bool read(Json& json, Struct& value)
        {
            if (!json.is_object())
                return false;
            Fields fields { *this, json };
            visitFields(fields, value);
            return fields.isValid;
        }

        template <typename Value> bool read(Json& json, std::vector<Value>& values)
        {
            if (!json.is_array())
                return false;
            for (Json& element : json) {
                if (!this->read(element, values.emplace_back()))
                    return false;
            }
            return true;
        }

        template <typename Alternative, typename... Alternatives>
        bool readIfTagged(Json& pair, std::variant<Alternatives...>& value, PairOutcome& outcome)
        {
            if (pair[0].get_ref<const std::string&>() != tag<Alternative>)
                return false;
            Alternative alternative;
            outcome = this->read(pair[1], alternative) ? PairOutcome::Read : PairOutcome::BadBody;
            value = std::move(alternative);
            return true;
        }

        template <typename... Alternatives> PairOutcome readPair(Json& json, std::variant<Alternatives...>& value)
        {
            if (!json.is_array() || json.size() != 2 || !json[0].is_string())
                return PairOutcome::NotAPair;
            PairOutcome outcome = PairOutcome::UnknownTag;
            (void)(this->readIfTagged<Alternatives>(json, value, outcome) || ...);
            return outcome;
        }

        template <typename... Alternatives> bool read(Json& json, std::variant<Alternatives...>& value)
        {
            return this->readPair(json, value) == PairOutcome::Read;
        }
    };

    // Parsing ------------------------------------------------------------------------------------------------------

    tl::expected<Message, WireError> decodeJson(Json& json, std::string_view attachments)
    {
        Message message;
        switch (Reader { attachments }.readPair(json, message)) {
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

    /// Splits a message into its document and the attachments. Returns false when the message is truncated.
    bool splitAttachments(std::string_view& document, std::string_view& attachments)
    {
        if (document.empty() || document.front() != attachmentMarker)
            return true;
        if (document.size() < attachmentHeader)
            return false;
        std::size_t length = 0;
        for (std::size_t i = 1; i < attachmentHeader; ++i)
            length = length << 8U | static_cast<unsigned char>(document[i]);
        document.remove_prefix(attachmentHeader);
        if (length > document.size())
            return false;
        attachments = document.substr(length);
        document = document.substr(0, length);
        return true;
    }

}

std::string encode(const Message& message)
{
    Writer writer;
    std::string bytes;
    Json::to_msgpack(writer.write(message), bytes);
    if (writer.attachments.empty())
        return bytes;
    std::string framed(1, attachmentMarker);
    framed.reserve(attachmentHeader + bytes.size() + writer.attachments.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        framed += static_cast<char>(bytes.size() >> static_cast<unsigned>(shift) & 0xffU);
    framed += bytes;
    framed += writer.attachments;
    return framed;
}

std::string_view kindName(const Message& message)
{
    return std::visit(
        [](const auto& alternative) { return std::string_view(tag<std::decay_t<decltype(alternative)>>); }, message);
}

tl::expected<Message, WireError> decode(std::string_view bytes)
{
    std::string_view attachments;
    if (!splitAttachments(bytes, attachments))
        return tl::unexpected(WireError::Malformed);
    Json root;
    BoundedJsonHandler handler(root, maxDepth, DeepValue::Reject);
    // The library throws on lengths that exceed the maximum size of a container, regardless of the handler.
    try {
        if (!Json::sax_parse(bytes, &handler, Json::input_format_t::msgpack))
            return tl::unexpected(WireError::Malformed);
    } catch (const Json::exception&) {
        return tl::unexpected(WireError::Malformed);
    }
    return decodeJson(root, attachments);
}

}
