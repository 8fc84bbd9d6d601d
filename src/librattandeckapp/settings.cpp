#include "RattandeckApp/settings.h"

#include "RattandeckNet/address.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <numeric>
#include <set>
#include <sstream>

namespace RattandeckApp {

using Rattandeck::Milliseconds;

// Errors -------------------------------------------------------------------------------------------------------------

namespace {

    template <typename... Handlers> struct Overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

    std::string toString(const SourcePosition& position)
    {
        return position.file + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) + ": ";
    }

}

std::string describe(const SettingsError& error)
{
    return std::visit(
        Overloaded {
            [](const UnreadableFile& e) { return e.file + ": can't be read"; },
            [](const SyntaxError& e) { return toString(e.position) + "syntax error: " + e.reason; },
            [](const UnknownKey& e) {
                const std::string hint = e.nearestKnownKey ? "; did you mean '" + *e.nearestKnownKey + "'?" : "";
                return toString(e.position) + "unknown key '" + e.key + "'" + hint;
            },
            [](const WrongType& e) { return toString(e.position) + "'" + e.key + "' must be " + e.expected; },
            [](const OutOfRange& e) { return toString(e.position) + "'" + e.key + "' must be " + e.allowed; },
            [](const MissingKey& e) { return e.file + ": '" + e.key + "' is missing"; },
        },
        error);
}

// Binding keys ------------------------------------------------------------------------------------------------------

/// A TOML node with its key and source position.
struct SettingsSchema::Value {
    std::string key;
    SourcePosition position;
    const toml::node* node;

    SettingsError wrongType(std::string expected) const
    {
        return WrongType { this->position, this->key, std::move(expected) };
    }
    SettingsError outOfRange(std::string allowed) const
    {
        return OutOfRange { this->position, this->key, std::move(allowed) };
    }
};

namespace {

    std::string quoted(const std::string& text)
    {
        std::ostringstream out;
        out << toml::value<std::string>(text);
        return out.str();
    }

    std::string joined(const std::vector<std::string>& items, const std::string& separator)
    {
        std::string text;
        for (const std::string& item : items)
            text += (text.empty() ? "" : separator) + item;
        return text;
    }

    template <typename Number> std::string rangeText(Number minimum, Number maximum)
    {
        std::ostringstream out;
        out << "between " << minimum << " and " << maximum;
        return out.str();
    }

    using Assignment = tl::expected<std::function<void()>, SettingsError>;

}

void SettingsSchema::add(Entry entry) { this->entries.push_back(std::move(entry)); }

void SettingsSchema::addInteger(
    std::string key, std::int64_t& target, std::int64_t minimum, std::int64_t maximum, std::string help)
{
    const auto read = [&target, minimum, maximum](const Value& value) -> Assignment {
        const auto* integer = value.node->as_integer();
        if (!integer)
            return tl::unexpected(value.wrongType("an integer"));
        const std::int64_t number = integer->get();
        if (number < minimum || number > maximum)
            return tl::unexpected(value.outOfRange(rangeText(minimum, maximum)));
        return [&target, number] { target = number; };
    };
    this->add({ std::move(key), std::move(help), false, read, [&target] { return std::to_string(target); } });
}

void SettingsSchema::addNumber(std::string key, double& target, double minimum, double maximum, std::string help)
{
    const auto read = [&target, minimum, maximum](const Value& value) -> Assignment {
        const auto number = value.node->value<double>();
        if (!value.node->is_number() || !number)
            return tl::unexpected(value.wrongType("a number"));
        if (!(*number >= minimum && *number <= maximum))
            return tl::unexpected(value.outOfRange(rangeText(minimum, maximum)));
        return [&target, number = *number] { target = number; };
    };
    const auto format = [&target] {
        std::ostringstream out;
        out << toml::value<double>(target);
        return out.str();
    };
    this->add({ std::move(key), std::move(help), false, read, format });
}

void SettingsSchema::addBoolean(std::string key, bool& target, std::string help)
{
    const auto read = [&target](const Value& value) -> Assignment {
        const auto* boolean = value.node->as_boolean();
        if (!boolean)
            return tl::unexpected(value.wrongType("true or false"));
        return [&target, taken = boolean->get()] { target = taken; };
    };
    this->add({ std::move(key), std::move(help), false, read, [&target] { return target ? "true" : "false"; } });
}

void SettingsSchema::addMilliseconds(
    std::string key, Milliseconds& target, Milliseconds minimum, Milliseconds maximum, std::string help)
{
    const auto read = [&target, minimum, maximum](const Value& value) -> Assignment {
        const auto* integer = value.node->as_integer();
        if (!integer)
            return tl::unexpected(value.wrongType("a whole number of milliseconds"));
        const Milliseconds time(integer->get());
        if (time < minimum || time > maximum)
            return tl::unexpected(value.outOfRange(rangeText(minimum.count(), maximum.count()) + " milliseconds"));
        return [&target, time] { target = time; };
    };
    this->add({ std::move(key), std::move(help), false, read, [&target] { return std::to_string(target.count()); } });
}

void SettingsSchema::addString(std::string key, std::string& target, std::string help)
{
    const auto read = [&target](const Value& value) -> Assignment {
        const auto* text = value.node->as_string();
        if (!text)
            return tl::unexpected(value.wrongType("a string"));
        return [&target, taken = text->get()] { target = taken; };
    };
    this->add({ std::move(key), std::move(help), false, read, [&target] { return quoted(target); } });
}

void SettingsSchema::addRequiredString(std::string key, std::string& target, std::string help)
{
    this->addString(std::move(key), target, std::move(help));
    this->entries.back().required = true;
}

void SettingsSchema::addChoice(std::string key, std::string& target, std::vector<std::string> choices, std::string help)
{
    const std::string allowed = "one of " + joined(choices, ", ");
    const auto read = [&target, choices = std::move(choices), allowed](const Value& value) -> Assignment {
        const auto* text = value.node->as_string();
        if (!text)
            return tl::unexpected(value.wrongType(allowed));
        if (std::find(choices.begin(), choices.end(), text->get()) == choices.end())
            return tl::unexpected(value.outOfRange(allowed));
        return [&target, taken = text->get()] { target = taken; };
    };
    help += " (" + allowed + ")";
    this->add({ std::move(key), std::move(help), false, read, [&target] { return quoted(target); } });
}

void SettingsSchema::addAddress(std::string key, std::string& target, std::string help)
{
    const auto read = [&target](const Value& value) -> Assignment {
        const auto* text = value.node->as_string();
        if (!text || (!text->get().empty() && !RattandeckNet::parseAddress(text->get())))
            return tl::unexpected(value.wrongType("an address such as \"127.0.0.1:8080\""));
        return [&target, taken = text->get()] { target = taken; };
    };
    this->add({ std::move(key), std::move(help), false, read, [&target] { return quoted(target); } });
}

void SettingsSchema::addStringList(std::string key, std::vector<std::string>& target, std::string help)
{
    const auto read = [&target](const Value& value) -> Assignment {
        const auto* array = value.node->as_array();
        if (!array || !std::all_of(array->begin(), array->end(), [](const toml::node& n) { return n.is_string(); }))
            return tl::unexpected(value.wrongType("a list of strings"));
        std::vector<std::string> items;
        for (const toml::node& item : *array)
            items.push_back(item.as_string()->get());
        return [&target, items] { target = items; };
    };
    const auto format = [&target] {
        std::vector<std::string> items;
        std::transform(target.begin(), target.end(), std::back_inserter(items), quoted);
        return "[" + joined(items, ", ") + "]";
    };
    this->add({ std::move(key), std::move(help), false, read, format });
}

// Loading ------------------------------------------------------------------------------------------------------------

namespace {

    SourcePosition positionOf(const toml::source_region& region, const std::string& file)
    {
        return { file, static_cast<std::uint32_t>(region.begin.line), static_cast<std::uint32_t>(region.begin.column) };
    }

    struct Leaf {
        std::string key;
        const toml::node* node;
    };

    // Collects all values below `table` with their dotted keys.
    void collectLeaves(const toml::table& table, const std::string& prefix, std::vector<Leaf>& leaves)
    {
        for (const auto& [key, node] : table) {
            const std::string path = prefix + std::string(key.str());
            if (const toml::table* inner = node.as_table())
                collectLeaves(*inner, path + ".", leaves);
            else
                leaves.push_back({ path, &node });
        }
    }

    std::size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), std::size_t { 0 });
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
            }
        }
        return row[b.size()];
    }

}

std::optional<std::string> SettingsSchema::nearestKey(const std::string& key) const
{
    constexpr std::size_t maxHintDistance = 8;
    std::optional<std::string> nearest;
    std::size_t best = maxHintDistance;
    for (const Entry& entry : this->entries) {
        const std::size_t distance = editDistance(key, entry.key);
        if (distance < best) {
            best = distance;
            nearest = entry.key;
        }
    }
    return nearest;
}

tl::expected<void, std::vector<SettingsError>> SettingsSchema::read(
    std::string_view text, const std::string& fileName, bool checkRequired)
{
    const toml::parse_result parsed = toml::parse(text);
    if (!parsed) {
        const SyntaxError error { positionOf(parsed.error().source(), fileName),
            std::string(parsed.error().description()) };
        return tl::unexpected(std::vector<SettingsError> { error });
    }

    std::vector<Leaf> leaves;
    collectLeaves(parsed.table(), "", leaves);
    std::vector<SettingsError> errors;
    std::vector<std::function<void()>> assignments;
    std::set<std::string> given;
    for (const Leaf& leaf : leaves) {
        const Value value { leaf.key, positionOf(leaf.node->source(), fileName), leaf.node };
        const auto entry = std::find_if(
            this->entries.begin(), this->entries.end(), [&](const Entry& e) { return e.key == leaf.key; });
        if (entry == this->entries.end()) {
            errors.emplace_back(UnknownKey { value.position, leaf.key, this->nearestKey(leaf.key) });
            continue;
        }
        given.insert(leaf.key);
        const auto assignment = entry->read(value);
        if (assignment)
            assignments.push_back(*assignment);
        else
            errors.push_back(assignment.error());
    }
    for (const Entry& entry : this->entries) {
        if (checkRequired && entry.required && !given.contains(entry.key))
            errors.emplace_back(MissingKey { fileName, entry.key });
    }

    if (!errors.empty())
        return tl::unexpected(errors);
    for (const auto& assign : assignments)
        assign();
    return {};
}

tl::expected<void, std::vector<SettingsError>> SettingsSchema::load(std::string_view text, const std::string& fileName)
{
    return this->read(text, fileName, true);
}

tl::expected<void, std::vector<SettingsError>> SettingsSchema::override(const std::string& line)
{
    return this->read(line, "--set", false);
}

tl::expected<void, std::vector<SettingsError>> SettingsSchema::loadFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return tl::unexpected(std::vector<SettingsError> { UnreadableFile { path } });
    return this->load(text.str(), path);
}

std::vector<std::string> SettingsSchema::differences(const SettingsSchema& other) const
{
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        if (this->entries[i].format() != other.entries[i].format())
            keys.push_back(this->entries[i].key);
    }
    return keys;
}

// Printing -----------------------------------------------------------------------------------------------------------

std::string SettingsSchema::print() const
{
    // Keys without a table come first, since TOML can't return to the top level after a table header.
    std::vector<const Entry*> ordered;
    for (const Entry& entry : this->entries)
        ordered.push_back(&entry);
    const auto tableOf = [](const Entry* entry) {
        const std::size_t dot = entry->key.rfind('.');
        return dot == std::string::npos ? std::string() : entry->key.substr(0, dot);
    };
    std::stable_sort(
        ordered.begin(), ordered.end(), [&](const Entry* a, const Entry* b) { return tableOf(a) < tableOf(b); });

    std::ostringstream out;
    std::string table;
    for (const Entry* entry : ordered) {
        if (tableOf(entry) != table) {
            table = tableOf(entry);
            out << "\n[" << table << "]\n";
        }
        const std::string name = table.empty() ? entry->key : entry->key.substr(table.size() + 1);
        out << "# " << entry->help << '\n' << name << " = " << entry->format() << '\n';
    }
    return out.str();
}

}
