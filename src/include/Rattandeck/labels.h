#pragma once

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Labels on programs, endpoints and tool services, and selectors that choose among them.
namespace Rattandeck {

using Labels = std::map<std::string, std::string>;

enum class SelectorOperator { Equals, NotEquals, In, NotIn, Exists, NotExists };

struct SelectorTerm {
    std::string label;
    SelectorOperator comparison = SelectorOperator::Exists;
    std::vector<std::string> values;
};

/// All terms must hold; a selector without terms matches everything.
struct Selector {
    std::vector<SelectorTerm> terms;
};

enum class SelectorErrorKind { MissingLabel, BadCharacter, MissingValue, UnclosedList, MissingComma };

struct SelectorError {
    SelectorErrorKind kind = SelectorErrorKind::MissingLabel;
    /// Offset into the text.
    std::size_t position = 0;
};

/// Parses "a=b,c!=d,e in (f,g),h notin (i),j,!k". Names and values consist of letters, digits and "-_./".
tl::expected<Selector, SelectorError> parseSelector(std::string_view text);
std::string describe(const SelectorError& error);

/// `NotEquals` and `NotIn` also match when the label is absent.
bool matches(const Selector& selector, const Labels& labels);

}
