#include "Rattandeck/labels.h"

#include <algorithm>
#include <cctype>

namespace Rattandeck {

// Parsing ------------------------------------------------------------------------------------------------------------

namespace {

    bool isNameCharacter(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '/';
    }

    class SelectorParser {
    public:
        explicit SelectorParser(std::string_view whole)
            : text(whole)
        {
        }

        tl::expected<Selector, SelectorError> parse()
        {
            Selector selector;
            this->skipSpaces();
            if (this->atEnd())
                return selector;
            while (true) {
                auto term = this->parseTerm();
                if (!term)
                    return tl::unexpected(term.error());
                selector.terms.push_back(std::move(*term));
                this->skipSpaces();
                if (this->atEnd())
                    return selector;
                if (!this->take(","))
                    return this->error(SelectorErrorKind::MissingComma);
            }
        }

    private:
        bool atEnd() const { return this->offset == this->text.size(); }

        tl::unexpected<SelectorError> error(SelectorErrorKind kind) const
        {
            return tl::unexpected(SelectorError { kind, this->offset });
        }

        void skipSpaces()
        {
            while (!this->atEnd() && this->text[this->offset] == ' ')
                ++this->offset;
        }

        bool take(std::string_view token)
        {
            this->skipSpaces();
            if (!this->text.substr(this->offset).starts_with(token))
                return false;
            this->offset += token.size();
            return true;
        }

        // Consumes `word` only if it is a complete word, so that "in" does not match the start of "index".
        bool takeWord(std::string_view word)
        {
            const std::size_t before = this->offset;
            if (this->takeName() == word)
                return true;
            this->offset = before;
            return false;
        }

        std::string takeName()
        {
            this->skipSpaces();
            const std::size_t begin = this->offset;
            while (!this->atEnd() && isNameCharacter(this->text[this->offset]))
                ++this->offset;
            return std::string(this->text.substr(begin, this->offset - begin));
        }

        tl::expected<SelectorTerm, SelectorError> parseTerm()
        {
            SelectorTerm term;
            const bool negated = this->take("!");
            term.label = this->takeName();
            if (term.label.empty())
                return this->error(this->atEnd() ? SelectorErrorKind::MissingLabel : SelectorErrorKind::BadCharacter);
            if (negated) {
                term.comparison = SelectorOperator::NotExists;
                return term;
            }
            if (this->take("!="))
                return this->parseValue(std::move(term), SelectorOperator::NotEquals);
            if (this->take("==") || this->take("="))
                return this->parseValue(std::move(term), SelectorOperator::Equals);
            if (this->takeWord("in"))
                return this->parseValues(std::move(term), SelectorOperator::In);
            if (this->takeWord("notin"))
                return this->parseValues(std::move(term), SelectorOperator::NotIn);
            return term;
        }

        tl::expected<SelectorTerm, SelectorError> parseValue(SelectorTerm term, SelectorOperator comparison)
        {
            term.comparison = comparison;
            term.values.push_back(this->takeName());
            if (term.values.back().empty())
                return this->error(SelectorErrorKind::MissingValue);
            return term;
        }

        tl::expected<SelectorTerm, SelectorError> parseValues(SelectorTerm term, SelectorOperator comparison)
        {
            term.comparison = comparison;
            if (!this->take("("))
                return this->error(SelectorErrorKind::MissingValue);
            do {
                term.values.push_back(this->takeName());
                if (term.values.back().empty())
                    return this->error(SelectorErrorKind::MissingValue);
            } while (this->take(","));
            if (!this->take(")"))
                return this->error(SelectorErrorKind::UnclosedList);
            return term;
        }

        std::string_view text;
        std::size_t offset = 0;
    };

}

tl::expected<Selector, SelectorError> parseSelector(std::string_view text) { return SelectorParser(text).parse(); }

std::string describe(const SelectorError& error)
{
    const std::string place = " at character " + std::to_string(error.position + 1);
    switch (error.kind) {
    case SelectorErrorKind::MissingLabel:
        return "a label name is missing" + place;
    case SelectorErrorKind::BadCharacter:
        return "a character that no label name may have" + place;
    case SelectorErrorKind::MissingValue:
        return "a value is missing" + place;
    case SelectorErrorKind::UnclosedList:
        return "a list without ')'" + place;
    case SelectorErrorKind::MissingComma:
        return "a comma is missing" + place;
    }
    return "malformed selector" + place;
}

// Matching -----------------------------------------------------------------------------------------------------------

namespace {

    bool matches(const SelectorTerm& term, const Labels& labels)
    {
        const auto label = labels.find(term.label);
        const bool present = label != labels.end();
        const bool listed
            = present && std::find(term.values.begin(), term.values.end(), label->second) != term.values.end();
        switch (term.comparison) {
        case SelectorOperator::Equals:
        case SelectorOperator::In:
            return listed;
        case SelectorOperator::NotEquals:
        case SelectorOperator::NotIn:
            return !listed;
        case SelectorOperator::Exists:
            return present;
        case SelectorOperator::NotExists:
            return !present;
        }
        return false;
    }

}

bool matches(const Selector& selector, const Labels& labels)
{
    return std::all_of(
        selector.terms.begin(), selector.terms.end(), [&](const SelectorTerm& term) { return matches(term, labels); });
}

}
