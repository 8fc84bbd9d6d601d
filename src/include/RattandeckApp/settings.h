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

/// Settings in TOML, checked against a schema that also documents them.
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

/// One line for a person, beginning with "file:line:column: " where a place is known.
std::string describe(const SettingsError& error);

/// Keys, types, ranges and defaults of a program's settings, bound to the variables that receive them. The value that a
/// variable has when it is bound is the default.
///
/// Thread safety: not synchronised.
class SettingsSchema {
public:
    /// Binds `key` ("table.name"). Precondition: `target` outlives the schema and `key` is not bound yet.
    void addInteger(
        std::string key, std::int64_t& target, std::int64_t minimum, std::int64_t maximum, std::string help);
    void addNumber(std::string key, double& target, double minimum, double maximum, std::string help);
    void addBoolean(std::string key, bool& target, std::string help);
    /// Written as integer milliseconds; name such keys "..._ms".
    void addMilliseconds(std::string key, Rattandeck::Milliseconds& target, Rattandeck::Milliseconds minimum,
        Rattandeck::Milliseconds maximum, std::string help);
    void addString(std::string key, std::string& target, std::string help);
    /// As `addString`, but the key must be given.
    void addRequiredString(std::string key, std::string& target, std::string help);
    void addChoice(std::string key, std::string& target, std::vector<std::string> choices, std::string help);
    /// "host:port"; the empty string means none.
    void addAddress(std::string key, std::string& target, std::string help);
    void addStringList(std::string key, std::vector<std::string>& target, std::string help);

    /// Reads TOML text. Either every value is taken over, or none is and all errors are returned.
    tl::expected<void, std::vector<SettingsError>> load(std::string_view text, const std::string& fileName);
    /// As `load`, from a file.
    tl::expected<void, std::vector<SettingsError>> loadFile(const std::string& path);

    /// As `load` for a single "key = value" line given by hand; required keys need not be among it.
    tl::expected<void, std::vector<SettingsError>> override(const std::string& line);

    /// Keys whose values differ from those of another schema. Precondition: both bind the same keys in the same order.
    std::vector<std::string> differences(const SettingsSchema& other) const;

    /// The present values as TOML, with help texts as comments. `load` reads it back.
    std::string print() const;

private:
    struct Value;
    struct Entry {
        std::string key;
        std::string help;
        bool required = false;
        /// Checks a TOML node; on success returns what takes its value over.
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
