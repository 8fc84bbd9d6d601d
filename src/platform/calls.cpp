#include "calls.h"

#include "names.h"
#include "storejson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

using namespace Rattandeck;
using namespace RattandeckNet;

namespace Platform {

// Text ---------------------------------------------------------------------------------------------------------------

namespace {

    std::string_view field(const HttpHeaders& headers, const char* name)
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string_view() : std::string_view(found->second);
    }

    template <typename Number> std::optional<Number> readNumber(std::string_view text)
    {
        Number number {};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0)
            text.remove_prefix(1);
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0)
            text.remove_suffix(1);
        return text;
    }

    /// Removes the part before the next `separator` from the front of `text` and returns it, trimmed.
    std::string_view takePart(std::string_view& text, char separator)
    {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view part = text.substr(0, end);
        text.remove_prefix(std::min(text.size(), end + 1));
        return trim(part);
    }

    std::vector<PromptPart> readPrompt(std::string_view text)
    {
        std::vector<PromptPart> parts;
        while (!text.empty()) {
            std::string_view entry = takePart(text, ',');
            const std::string_view id = takePart(entry, ':');
            const auto tokens = readNumber<std::int64_t>(takePart(entry, ':'));
            if (id.empty() || !tokens)
                return parts;
            parts.push_back({ PromptPartId(std::string(id)), TokenCount(*tokens) });
        }
        return parts;
    }

    std::string readCookie(std::string_view cookies, std::string_view name)
    {
        while (!cookies.empty()) {
            std::string_view pair = takePart(cookies, ';');
            if (takePart(pair, '=') == name)
                return std::string(trim(pair));
        }
        return {};
    }

    /// Reads a caller's key: the scheme, which is compared without regard to case (RFC 9110, 11.1), spaces, the key.
    std::optional<KeyDigest> readKey(std::string_view authorization)
    {
        constexpr std::string_view expected = Names::keyScheme;
        const std::size_t end = authorization.find(' ');
        if (end == std::string_view::npos)
            return std::nullopt;
        const auto isEqual = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
        if (!std::ranges::equal(authorization.substr(0, end), expected, isEqual))
            return std::nullopt;
        const std::string_view key = trim(authorization.substr(end));
        return key.empty() ? std::nullopt : std::optional(digestOfKey(key));
    }

    /// Reads a decimal number up to `most`. Signs, exponents and the names of special values are no such number.
    std::optional<double> readDecimal(std::string_view text, double most)
    {
        if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos)
            return std::nullopt;
        const auto number = readNumber<double>(text);
        if (!number || !std::isfinite(*number) || *number > most)
            return std::nullopt;
        return number;
    }

    /// Reads a number of calls a second.
    std::optional<CallRate> readLimit(std::string_view text)
    {
        constexpr double maxLimit = 1e9;
        const auto rate = readDecimal(text, maxLimit);
        return rate ? std::optional(CallRate(*rate)) : std::nullopt;
    }

    /// A load report, with the text of what can't be read of it.
    struct LoadText {
        std::optional<EndpointLoad> load;
        std::string invalid;
    };

    /// Reads the calls that run and wait, the slots, and the pace, if it is stated. Further figures are ignored:
    /// instances may state more than is known here.
    LoadText readLoad(std::string_view report)
    {
        constexpr double maxPace = 1e6;
        const std::string whole(report.empty() ? "(empty)" : report);
        const auto running = readNumber<std::uint32_t>(takePart(report, ','));
        const auto waiting = readNumber<std::uint32_t>(takePart(report, ','));
        const auto slots = readNumber<std::uint32_t>(takePart(report, ','));
        if (!running || !waiting || !slots)
            return { std::nullopt, whole };
        LoadText read { EndpointLoad { *running, *waiting, *slots }, {} };
        const std::string_view paceText = takePart(report, ',');
        if (paceText.empty())
            return read;
        const auto pace = readDecimal(paceText, maxPace);
        if (pace.value_or(0) > 0)
            read.load->pace = WorkTimePercent(*pace);
        else
            read.invalid = whole;
        return read;
    }

    constexpr std::array<const char*, 8> connectionHeaders { "connection", "keep-alive", "proxy-connection", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length" };

    /// Removes hop-by-hop headers, including those that the "connection" header names.
    void removeConnectionHeaders(HttpHeaders& headers)
    {
        std::string named;
        if (const auto found = headers.find("connection"); found != headers.end())
            named = found->second;
        for (std::string_view rest = named; !rest.empty();) {
            std::string name(takePart(rest, ','));
            std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
            headers.erase(name);
        }
        for (const char* name : connectionHeaders)
            headers.erase(name);
    }

    constexpr std::array<const char*, 8> systemHeaders { Names::expectedInstance, Names::expectedVersion,
        Names::priority, Names::pin, Names::hold, Names::memoryBackup, Names::memoryFrom, Names::memoryFetch };

}

// Calls --------------------------------------------------------------------------------------------------------------

GatewayCall readCall(const HttpRequest& request)
{
    const HttpHeaders& headers = request.headers;
    GatewayCall call;
    call.request = TurnId(std::string(field(headers, Names::requestId)));
    call.host = std::string(field(headers, "host"));
    call.path = request.target.substr(0, request.target.find('?'));
    call.body = request.body;
    call.isBodyOmitted = request.isBodyOmitted;
    if (const auto left = readNumber<std::int64_t>(field(headers, Names::deadline)))
        call.timeLeft = Milliseconds(std::max<std::int64_t>(*left, 0));
    call.program = BudgetId(std::string(field(headers, Names::program)));
    call.session = std::string(field(headers, Names::session));
    if (const auto limit = readNumber<std::int64_t>(field(headers, Names::tokenBudget)))
        call.tokenLimit = TokenCount(*limit);
    std::string_view counts = field(headers, Names::tokenCounts);
    takePart(counts, ',');
    call.maxOutputTokens = TokenCount(readNumber<std::int64_t>(takePart(counts, ',')).value_or(0));
    std::string_view hint = field(headers, Names::lengthHint);
    if (const auto expected = readNumber<std::int64_t>(takePart(hint, ',')))
        call.expectedOutputTokens = TokenCount(*expected);
    call.prompt = readPrompt(field(headers, Names::prompt));
    call.subject = readCookie(field(headers, "cookie"), Names::subjectCookie);
    call.previousTurn = TurnId(std::string(field(headers, Names::previousTurn)));
    call.resumeAfter = std::string(field(headers, Names::lastEvent));
    call.resumedRequest = TurnId(std::string(field(headers, Names::resumedRequest)));
    call.key = readKey(field(headers, Names::authorization));
    return call;
}

HttpRequest writeCall(const HttpRequest& request, const EndpointSend& send)
{
    HttpRequest written;
    written.method = request.method;
    written.target = request.target;
    written.headers = request.headers;
    removeConnectionHeaders(written.headers);
    written.headers.erase("expect");
    for (const char* name : systemHeaders)
        written.headers.erase(name);
    if (send.hasOrganisations) {
        written.headers.erase(Names::authorization);
        written.headers.erase(Names::organisation);
    }
    if (send.organisation)
        written.headers[Names::organisation] = send.organisation->value;
    written.headers[Names::expectedInstance] = send.endpoint.value;
    written.headers[Names::deadline] = std::to_string(send.timeLeft.count());
    if (send.priority)
        written.headers[Names::priority] = std::to_string(*send.priority);
    if (send.resumeAfter)
        written.headers[Names::lastEvent] = *send.resumeAfter;
    written.body = send.body ? *send.body : request.body;
    return written;
}

// Answers ------------------------------------------------------------------------------------------------------------

static StatusMeaning meaningOf(int status)
{
    switch (status) {
    case 408:
    case 421:
    case 429:
    case 503:
        return StatusMeaning::NotRun;
    case 402:
        return StatusMeaning::BudgetSpent;
    case 404:
    case 410:
        return StatusMeaning::UnknownTurn;
    default:
        return StatusMeaning::None;
    }
}

EndpointAnswer readAnswer(int status, const HttpHeaders& headers)
{
    constexpr int misdirected = 421;
    EndpointAnswer answer;
    answer.status = status;
    answer.meaning = meaningOf(status);
    answer.isNotRun = status == misdirected || headers.contains(Names::notRun);
    answer.isSigned = headers.contains(Names::signature);
    answer.isEventStream = field(headers, "content-type").starts_with("text/event-stream");
    answer.statesItsEnd = headers.contains("content-length") || headers.contains("transfer-encoding");
    if (const auto stated = headers.find(Names::load); stated != headers.end()) {
        LoadText read = readLoad(stated->second);
        answer.load = read.load;
        answer.invalidLoad = std::move(read.invalid);
    }
    if (const auto stated = headers.find(Names::limit); stated != headers.end()) {
        answer.limit = readLimit(trim(stated->second));
        if (!answer.limit)
            answer.invalidLimit = stated->second.empty() ? "(empty)" : stated->second;
    }
    if (const auto leaving = headers.find(Names::leaving); leaving != headers.end()) {
        answer.isLeaving = trim(leaving->second) == "1";
        if (!answer.isLeaving)
            answer.invalidLeaving = leaving->second.empty() ? "(empty)" : leaving->second;
    }
    if (const std::string_view instance = trim(field(headers, Names::instance)); !instance.empty())
        answer.answeredBy = EndpointId(std::string(instance));
    return answer;
}

HttpRequest writeReportRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.path = Names::reportPath;
    return request;
}

std::optional<std::int64_t> readStartTime(const HttpResponse& report)
{
    constexpr int ok = 200;
    const auto fields = readStoreJson(report.body);
    if (report.status != ok || !fields.is_object())
        return std::nullopt;
    const auto found = fields.find(Names::startedAt);
    if (found == fields.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

bool isAnswerTo(const HttpHeaders& headers, const TurnId& request)
{
    const std::string_view echoed = field(headers, Names::requestId);
    return echoed.empty() || echoed == request.value;
}

bool namesItsRequest(const HttpHeaders& headers) { return !field(headers, Names::requestId).empty(); }

HttpHeaders writeAnswerHeaders(HttpHeaders headers)
{
    removeConnectionHeaders(headers);
    headers.erase(Names::load);
    headers.erase(Names::instance);
    return headers;
}

static int statusFor(const CallRefusal& refusal)
{
    switch (refusal.reason) {
    case RejectionReason::NoRoute:
    case RejectionReason::UnknownTurn:
        return 404;
    case RejectionReason::KeyUnknown:
        return 401;
    case RejectionReason::BudgetSpent:
        return 402;
    case RejectionReason::AllowanceUsed:
        return refusal.mayHaveRun ? 502 : 429;
    case RejectionReason::TimedOut:
        return refusal.mayHaveRun ? 504 : 503;
    default:
        return refusal.mayHaveRun ? 502 : 503;
    }
}

HttpResponse writeRefusal(const CallRefusal& refusal, const TurnId& request)
{
    HttpResponse response;
    response.status = statusFor(refusal);
    if (!request.value.empty())
        response.headers[Names::requestId] = request.value;
    if (refusal.reason == RejectionReason::KeyUnknown)
        response.headers[Names::authenticate] = Names::keyScheme;
    if (refusal.retryAfter.count() > 0) {
        std::array<char, 32> text {};
        const double seconds = std::chrono::duration<double>(refusal.retryAfter).count();
        const auto [end, error]
            = std::to_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed, 3);
        response.headers[Names::retryAfter] = std::string(text.data(), end);
    }
    response.body = std::string(describe(refusal.reason)) + "\n";
    return response;
}

}
