#include "storejson.h"

#include <cctype>
#include <charconv>
#include <optional>
#include <string>
#include <vector>

using Json = nlohmann::json;

namespace Platform {

// Building -----------------------------------------------------------------------------------------------------------

namespace {

    /// Builds a document like the library's own handler, but leaves null in the place of values that are nested too
    /// deeply.
    class ShallowHandler : public nlohmann::json_sax<Json> {
    public:
        explicit ShallowHandler(Json& target)
            : root(target)
        {
        }

        bool null() override { return this->add(nullptr); }
        bool boolean(bool value) override { return this->add(value); }
        bool number_integer(number_integer_t value) override { return this->add(value); }
        bool number_unsigned(number_unsigned_t value) override { return this->add(value); }
        bool number_float(number_float_t value, const string_t& /*text*/) override { return this->add(value); }
        bool string(string_t& value) override { return this->add(std::move(value)); }
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
            if (this->levelsSkipped == 0)
                this->pendingKey = std::move(value);
            return true;
        }

    private:
        Json& root;
        std::vector<Json*> path;
        /// Levels that are open within the value that is being left out.
        std::size_t levelsSkipped = 0;
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
            if (this->levelsSkipped == 0)
                this->place(std::move(value));
            return true;
        }

        bool open(Json container)
        {
            if (this->levelsSkipped > 0 || this->path.size() >= maxJsonDepth) {
                if (this->levelsSkipped == 0)
                    this->place(nullptr);
                ++this->levelsSkipped;
                return true;
            }
            this->path.push_back(this->place(std::move(container)));
            return true;
        }

        bool close()
        {
            if (this->levelsSkipped > 0)
                --this->levelsSkipped;
            else
                this->path.pop_back();
            return true;
        }
    };

    std::optional<Json> build(std::string_view text)
    {
        Json root;
        ShallowHandler handler(root);
        if (!Json::sax_parse(text, &handler))
            return std::nullopt;
        return root;
    }

}

// Repair -------------------------------------------------------------------------------------------------------------

namespace {

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
