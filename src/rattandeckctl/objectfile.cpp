#include "objectfile.h"

#define TOML_EXCEPTIONS 0
#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include <fstream>
#include <sstream>

using namespace Rattandeck;
using namespace RattandeckApp;
using Json = nlohmann::ordered_json;

// Reading ------------------------------------------------------------------------------------------------------------

std::string describe(const FileError& error)
{
    if (const auto* general = std::get_if<SettingsError>(&error))
        return describe(*general);
    const auto& invalid = std::get<InvalidObject>(error);
    return invalid.position.file + ":" + std::to_string(invalid.position.line) + ": " + invalid.key.kind + "/"
        + invalid.key.name + ": " + describe(invalid.error);
}

namespace {

SourcePosition positionOf(const toml::source_region& region, const std::string& file)
{
    return { file, static_cast<std::uint32_t>(region.begin.line), static_cast<std::uint32_t>(region.begin.column) };
}

std::string toJson(const toml::table& table)
{
    std::ostringstream out;
    out << toml::json_formatter { table };
    return Json::parse(out.str(), nullptr, false).dump();
}

// Names become part of URLs, so only characters that need no escaping are allowed.
bool isObjectName(const std::string& name)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.find_first_not_of(allowed) == std::string::npos;
}

// Reads one `[[object]]` and appends it to `objects`. Appends to `errors` if it is invalid.
void readObject(
    const toml::table& table, const std::string& file, std::vector<FileObject>& objects, std::vector<FileError>& errors)
{
    const SourcePosition position = positionOf(table.source(), file);
    for (const auto& [key, node] : table) {
        const std::string name(key.str());
        if (name != "kind" && name != "name" && name != "version" && name != "spec")
            errors.emplace_back(SettingsError(UnknownKey { positionOf(node.source(), file), "object." + name, {} }));
    }
    FileObject object;
    object.position = position;
    object.key = { table["kind"].value_or(std::string()), table["name"].value_or(std::string()) };
    const auto version = table["version"].value_or(std::int64_t { 0 });
    object.version = ObjectVersion(static_cast<std::uint64_t>(version));
    const toml::table* spec = table["spec"].as_table();
    if (!isObjectName(object.key.name)) {
        errors.emplace_back(SettingsError(OutOfRange { position, "object.name", "letters, digits and -_." }));
        return;
    }
    if (version < 0 || (table.contains("version") && !table["version"].is_integer())) {
        errors.emplace_back(SettingsError(WrongType { position, "object.version", "a whole number above 0" }));
        return;
    }
    object.value = spec ? toJson(*spec) : "{}";
    if (const auto error = checkConfigObject(object.key.kind, object.value)) {
        errors.emplace_back(InvalidObject { position, object.key, *error });
        return;
    }
    objects.push_back(std::move(object));
}

}

tl::expected<std::vector<FileObject>, std::vector<FileError>> readObjectFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return tl::unexpected(std::vector<FileError> { SettingsError(UnreadableFile { path }) });
    const toml::parse_result parsed = toml::parse(text.str());
    if (!parsed) {
        const SyntaxError error { positionOf(parsed.error().source(), path),
            std::string(parsed.error().description()) };
        return tl::unexpected(std::vector<FileError> { SettingsError(error) });
    }

    std::vector<FileObject> objects;
    std::vector<FileError> errors;
    for (const auto& [key, node] : parsed.table()) {
        const toml::array* list = node.as_array();
        if (key.str() != "object" || !list || !list->is_homogeneous<toml::table>()) {
            errors.emplace_back(
                SettingsError(UnknownKey { positionOf(node.source(), path), std::string(key.str()), "[[object]]" }));
            continue;
        }
        for (const toml::node& item : *list)
            readObject(*item.as_table(), path, objects, errors);
    }
    if (objects.empty() && errors.empty())
        errors.emplace_back(SettingsError(MissingKey { path, "[[object]]" }));
    if (!errors.empty())
        return tl::unexpected(errors);
    return objects;
}

// Writing ------------------------------------------------------------------------------------------------------------

namespace {

std::string tomlValue(const Json& value)
{
    if (!value.is_object())
        return value.dump();
    std::string fields;
    for (const auto& [name, inner] : value.items())
        fields += (fields.empty() ? " " : ", ") + Json(name).dump() + " = " + tomlValue(inner);
    return "{" + fields + " }";
}

}

std::string formatObject(const StoredObject& object)
{
    std::string text = "[[object]]\nkind = \"" + object.key.kind + "\"\nname = \"" + object.key.name
        + "\"\nversion = " + std::to_string(object.version.value) + "\n[object.spec]\n";
    const Json spec = Json::parse(object.value, nullptr, false);
    if (!spec.is_object())
        return text;
    for (const auto& [name, value] : spec.items())
        text += name + " = " + tomlValue(value) + "\n";
    return text;
}
