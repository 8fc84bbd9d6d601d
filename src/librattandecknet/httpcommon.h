#pragma once

#include "RattandeckNet/http.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

#include <string>
#include <string_view>

/// Code shared by the HTTP server and client.
namespace RattandeckNet {

/// Body type that holds the bytes parsed so far. The owner removes them between parser steps, and no memory is reserved
/// based on the Content-Length.
struct PartialBody {
    // The names below are required by Beast.
    // NOLINTBEGIN(readability-identifier-naming)
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, std::string& body)
            : body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t total = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                this->body.append(static_cast<const char*>(buffer.data()), buffer.size());
                total += buffer.size();
            }
            return total;
        }

        void finish(boost::system::error_code& error) { error = {}; }

    private:
        std::string& body;
    };
    // NOLINTEND(readability-identifier-naming)
};

HttpHeaders toHeaders(const boost::beast::http::fields& fields);

/// Appends "name: value" lines. Drops CR and LF from names and values, to prevent header injection.
void appendHeaders(std::string& output, const HttpHeaders& headers);

/// Splits a request target into path and query and percent-decodes them.
void readTarget(std::string_view target, HttpRequest& request);
std::string writeTarget(const HttpRequest& request);

}
