#include "httpcommon.h"

#include <cctype>

namespace RattandeckNet {

HttpHeaders toHeaders(const boost::beast::http::fields& fields)
{
    HttpHeaders headers;
    for (const auto& field : fields) {
        std::string name(field.name_string());
        for (char& letter : name)
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        const auto [known, isNew] = headers.try_emplace(std::move(name), std::string(field.value()));
        if (isNew)
            continue;
        // Several fields of one name are a list (RFC 9110, 5.3), except that cookies are separated by semicolons.
        known->second += known->first == "cookie" ? "; " : ", ";
        known->second += field.value();
    }
    return headers;
}

static void appendWithoutLineEnds(std::string& output, std::string_view text)
{
    for (const char letter : text) {
        if (letter != '\r' && letter != '\n')
            output += letter;
    }
}

void appendHeaders(std::string& output, const HttpHeaders& headers)
{
    for (const auto& [name, value] : headers) {
        appendWithoutLineEnds(output, name);
        output += ": ";
        appendWithoutLineEnds(output, value);
        output += "\r\n";
    }
}

// Percent-encoding ---------------------------------------------------------------------------------------------

static int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return -1;
}

static std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped
            = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0;
        if (!escaped) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2]));
        i += 2;
    }
    return decoded;
}

static void percentEncode(std::string& output, std::string_view text, std::string_view keep)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || keep.find(letter) != std::string_view::npos) {
            output += letter;
            continue;
        }
        output += '%';
        output += digits[byte / 16];
        output += digits[byte % 16];
    }
}

// Target -------------------------------------------------------------------------------------------------------

static void readQuery(std::string_view query, HttpRequest& request)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string_view value = pair.substr(std::min(pair.size(), equals + 1));
        request.query.insert_or_assign(percentDecode(pair.substr(0, equals)), percentDecode(value));
    }
}

void readTarget(std::string_view target, HttpRequest& request)
{
    request.target = std::string(target);
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = percentDecode(target.substr(0, mark));
    readQuery(target.substr(std::min(target.size(), mark + 1)), request);
}

std::string writeTarget(const HttpRequest& request)
{
    if (!request.target.empty())
        return request.target;
    std::string target;
    percentEncode(target, request.path.empty() ? "/" : request.path, "/-._~:@!$'()*,;=+");
    char separator = '?';
    for (const auto& [name, value] : request.query) {
        target += separator;
        percentEncode(target, name, "-._~");
        target += '=';
        percentEncode(target, value, "-._~");
        separator = '&';
    }
    return target;
}

}
