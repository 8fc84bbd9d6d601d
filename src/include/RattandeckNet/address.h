#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RattandeckNet {

/// An IP address and a port. Listening on port 0 binds any free port.
struct Address {
    std::string host;
    std::uint16_t port = 0;
};

enum class NetError {
    BadAddress,
    ConnectFailed,
    /// No byte of the request was sent.
    NotSent,
    /// The connection was lost after the request had been sent in whole or in part.
    Broken,
    TimedOut,
    Malformed,
    TooLarge,
    AddressInUse,
};

tl::expected<Address, NetError> parseAddress(std::string_view text);
/// Whether connections can be opened to the address: it has a numeric host and a port.
bool canBeDialed(const Address& address);
/// Skips texts that are not valid addresses.
std::vector<Address> parseAddresses(const std::vector<std::string>& texts);
std::string toString(const Address&);
std::string_view describe(NetError);

}
