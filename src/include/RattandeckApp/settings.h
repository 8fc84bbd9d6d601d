#pragma once

#include "Rattandeck/types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Settings in TOML, validated against a schema that also provides their documentation.
namespace RattandeckApp {

struct SourcePosition {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct UnreadableFile {
    std::string file;
};
struct SyntaxError {
    SourcePosition position;
    std::string reason;
};
struct UnknownKey {
    SourcePosition position;
    std::string key;
    std::optional<std::string> nearestKnownKey;
};
struct WrongType {
    SourcePosition position;
    std::string key;
    std::string expected;
};
struct OutOfRange {
    SourcePosition position;
    std::string key;
    std::string allowed;
};
struct MissingKey {
    std::string file;
    std::string key;
};
using SettingsError = std::variant<UnreadableFile, SyntaxError, UnknownKey, WrongType, OutOfRange, MissingKey>;

/// Human-readable message in one line, prefixed with "file:line:column: " if the position is known.
std::string describe(const SettingsError& error);

/// Keys, types, ranges and defaults of a program's settings, bound to the variables that receive them. A
/// variable's value at the time of binding is the default.
///
/// Thread safety: not synchronised.
class SettingsSchema {
public:
    /// Binds `key` ("table.name"). Precondition: `target` outlives the schema and `key` is not bound yet.
    void addInteger(
        std::string key, std::int64_t& target, std::int64_t minimum, std::int64_t maximum, std::string help);
    void addNumber(std::string key, double& target, double minimum, double maximum, std::string help);
    void addBoolean(std::string key, bool& target, std::string help);
    /// Binds a duration given in whole milliseconds. Names of such keys end with "_ms".
    void addMilliseconds(std::string key, Rattandeck::Milliseconds& target, Rattandeck::Milliseconds minimum,
        Rattandeck::Milliseconds maximum, std::string help);
    void addString(std::string key, std::string& target, std::string help);
    /// Same as `addString`, but the key is required.
    void addRequiredString(std::string key, std::string& target, std::string help);
    void addChoice(std::string key, std::string& target, std::vector<std::string> choices, std::string help);
    /// Binds an address "host:port"; the empty string means no address.
    void addAddress(std::string key, std::string& target, std::string help);
    void addStringList(std::string key, std::vector<std::string>& target, std::string help);

    /// Reads TOML text. If there are errors, returns all of them and assigns no value.
    tl::expected<void, std::vector<SettingsError>> load(std::string_view text, const std::string& fileName);
    tl::expected<void, std::vector<SettingsError>> loadFile(const std::string& path);

    /// Same as `load`, for a single "key = value" line from the command line; does not check for required keys.
    tl::expected<void, std::vector<SettingsError>> override(const std::string& line);

    /// Keys whose values differ between the two schemas. Precondition: both bind the same keys in the same order.
    std::vector<std::string> differences(const SettingsSchema& other) const;

    /// The current values as TOML, with the help texts as comments. `load` accepts the result.
    std::string print() const;

private:
    struct Value;
    struct Entry {
        std::string key;
        std::string help;
        bool required = false;
        /// Validates a TOML node; on success returns a function that assigns its value.
        std::function<tl::expected<std::function<void()>, SettingsError>(const Value&)> read;
        std::function<std::string()> format;
    };
    void add(Entry entry);
    tl::expected<void, std::vector<SettingsError>> read(
        std::string_view text, const std::string& fileName, bool checkRequired);
    std::optional<std::string> nearestKey(const std::string& key) const;

    std::vector<Entry> entries;
};

}
