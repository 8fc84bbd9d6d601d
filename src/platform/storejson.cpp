#include "storejson.h"

#include "Rattandeck/boundedjson.h"

#include <charconv>
#include <optional>
#include <string>

using Json = nlohmann::json;

namespace Platform {

namespace {

    std::optional<Json> build(std::string_view text)
    {
        Json root;
        Rattandeck::BoundedJsonHandler handler(root, maxJsonDepth, Rattandeck::DeepValue::Null);
        if (!Json::sax_parse(text, &handler))
            return std::nullopt;
        return root;
    }

    constexpr char substitute = '?';
    constexpr std::size_t escapedUnitLength = 6;

    /// Rewrites JSON text so that each of its strings and numbers has a meaning.
    class Repair {
    public:
        explicit Repair(std::string_view damaged)
            : text(damaged)
        {
            this->repaired.reserve(damaged.size());
        }

        std::string run()
        {
            while (this->at < this->text.size()) {
                const char next = this->text[this->at];
                if (next == '"')
                    this->copyString();
                else if (isStructural(next))
                    this->copy(1);
                else
                    this->copyLiteral();
            }
            return std::move(this->repaired);
        }

    private:
        std::string_view text;
        std::size_t at = 0;
        std::string repaired;

        static bool isStructural(char character)
        {
            return std::string_view("{}[]:, \t\r\n").find(character) != std::string_view::npos;
        }

        void copy(std::size_t length)
        {
            this->repaired += this->text.substr(this->at, length);
            this->at += length;
        }

        void replace(std::size_t length)
        {
            this->repaired += substitute;
            this->at += length;
        }

        /// A number, a word of the language, or anything else without quotes, which becomes null.
        void copyLiteral()
        {
            std::size_t length = 0;
            while (this->at + length < this->text.size() && !isStructural(this->text[this->at + length])
                && this->text[this->at + length] != '"')
                ++length;
            if (Json::accept(this->text.substr(this->at, length))) {
                this->copy(length);
                return;
            }
            this->repaired += "null";
            this->at += length;
        }

        void copyString()
        {
            this->copy(1);
            while (this->at < this->text.size()) {
                const auto next = static_cast<unsigned char>(this->text[this->at]);
                constexpr unsigned char firstPrintable = 0x20;
                constexpr unsigned char firstNonAscii = 0x80;
                if (next == '"') {
                    this->copy(1);
                    return;
                }
                if (next == '\\')
                    this->copyEscape();
                else if (next < firstPrintable || next >= firstNonAscii)
                    this->replace(1);
                else
                    this->copy(1);
            }
        }

        void copyEscape()
        {
            const char kind = this->at + 1 < this->text.size() ? this->text[this->at + 1] : '\0';
            if (kind == 'u')
                this->copyUnit();
            else if (kind != '\0' && std::string_view("\"\\/bfnrt").find(kind) != std::string_view::npos)
                this->copy(2);
            else
                this->replace(1);
        }

        /// An escaped UTF-16 unit. One of the two units of a surrogate pair has no meaning without the other.
        void copyUnit()
        {
            constexpr std::uint32_t firstHigh = 0xd800;
            constexpr std::uint32_t firstLow = 0xdc00;
            constexpr std::uint32_t afterLow = 0xe000;
            const auto unit = this->unitAt(this->at);
            if (!unit) {
                this->replace(2);
                return;
            }
            if (*unit < firstHigh || *unit >= afterLow) {
                this->copy(escapedUnitLength);
                return;
            }
            const auto second = *unit < firstLow ? this->unitAt(this->at + escapedUnitLength) : std::nullopt;
            if (second && *second >= firstLow && *second < afterLow)
                this->copy(2 * escapedUnitLength);
            else
                this->replace(escapedUnitLength);
        }

        std::optional<std::uint32_t> unitAt(std::size_t position) const
        {
            constexpr int hexadecimal = 16;
            if (position + escapedUnitLength > this->text.size() || this->text.substr(position, 2) != "\\u")
                return std::nullopt;
            const std::string_view digits = this->text.substr(position + 2, escapedUnitLength - 2);
            std::uint32_t unit = 0;
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), unit, hexadecimal);
            if (error != std::errc() || end != digits.data() + digits.size())
                return std::nullopt;
            return unit;
        }
    };

}

Json readStoreJson(std::string_view text)
{
    if (auto json = build(text))
        return std::move(*json);
    return build(Repair(text).run()).value_or(Json(Json::value_t::discarded));
}

}
