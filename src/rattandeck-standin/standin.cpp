#include "standin.h"

#include <charconv>

namespace RattandeckStandin {

static bool readCount(const Json& value, std::uint32_t& count)
{
    if (!value.is_number_unsigned())
        return false;
    count = value.get<std::uint32_t>();
    return true;
}

static bool readFlag(const Json& value, bool& flag)
{
    if (!value.is_boolean())
        return false;
    flag = value.get<bool>();
    return true;
}

static bool readFault(const std::string& name, const Json& value, Faults& faults)
{
    if (name == "down")
        return readFlag(value, faults.down);
    if (name == "close")
        return readFlag(value, faults.close);
    if (name == "drop_answers")
        return readCount(value, faults.dropAnswers);
    if (name == "hang")
        return readCount(value, faults.hang);
    if (name == "fail")
        return readCount(value, faults.fail);
    std::uint32_t milliseconds = 0;
    if (name != "delay_ms" || !readCount(value, milliseconds))
        return false;
    faults.delay = Milliseconds(milliseconds);
    return true;
}

bool readFaults(const Json& json, Faults& faults)
{
    if (!json.is_object())
        return false;
    Faults changed = faults;
    for (const auto& [name, value] : json.items()) {
        if (!readFault(name, value, changed))
            return false;
    }
    faults = changed;
    return true;
}

bool consumeFault(std::uint32_t& count)
{
    if (count == 0)
        return false;
    --count;
    return true;
}

void answer(const HttpResponder& responder, int status, const Json& body)
{
    responder.send({ status, { { "content-type", "application/json" } },
        body.dump(-1, ' ', false, Json::error_handler_t::replace) });
}

void answerError(const HttpResponder& responder, int status, const std::string& reason)
{
    answer(responder, status, { { "error", reason } });
}

std::uint64_t queryNumber(const HttpRequest& request, const std::string& name, std::uint64_t defaultValue)
{
    const auto found = request.query.find(name);
    if (found == request.query.end())
        return defaultValue;
    const std::string& text = found->second;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? number : defaultValue;
}

}
