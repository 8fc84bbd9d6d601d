#include "Rattandeck/types.h"

#include <charconv>
#include <string_view>

namespace Rattandeck {

std::string toString(const ProgramId& program)
{
    return "s" + std::to_string(program.shard.value) + ".e" + std::to_string(program.openedIn.value) + ".n"
        + std::to_string(program.serial);
}

namespace {

    // Removes `prefix` and a decimal number from the front of `text`.
    template <typename Number> bool takeNumber(std::string_view& text, std::string_view prefix, Number& number)
    {
        if (!text.starts_with(prefix))
            return false;
        text.remove_prefix(prefix.size());
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc())
            return false;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return true;
    }

}

bool parseProgramId(const std::string& text, ProgramId& program)
{
    std::string_view rest = text;
    ProgramId parsed;
    if (!takeNumber(rest, "s", parsed.shard.value) || !takeNumber(rest, ".e", parsed.openedIn.value)
        || !takeNumber(rest, ".n", parsed.serial) || !rest.empty())
        return false;
    program = parsed;
    return true;
}

}
