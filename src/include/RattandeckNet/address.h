#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RattandeckNet {

/// An IP number and a port. Port 0, when listening, asks for any free one.
struct Address {
    std::string host;
    std::uint16_t port = 0;
};

enum class NetError {
    BadAddress,
    ConnectFailed,
    /// No byte of the request was sent.
    NotSent,
    /// The connection broke after the request was sent, wholly or in part.
    Broken,
    TimedOut,
    Malformed,
    TooLarge,
    AddressInUse,
};

tl::expected<Address, NetError> parseAddress(std::string_view text);
/// Leaves out texts that are no address.
std::vector<Address> parseAddresses(const std::vector<std::string>& texts);
std::string toString(const Address&);
std::string_view describe(NetError);

}
