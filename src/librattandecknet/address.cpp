#include "RattandeckNet/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace RattandeckNet {

tl::expected<Address, NetError> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return tl::unexpected(NetError::BadAddress);
    Address address { std::string(text.substr(0, colon)), 0 };
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size())
        return tl::unexpected(NetError::BadAddress);
    return address;
}

bool canBeDialed(const Address& address)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(address.host, error);
    return !error && address.port != 0;
}

std::vector<Address> parseAddresses(const std::vector<std::string>& texts)
{
    std::vector<Address> addresses;
    for (const std::string& text : texts) {
        if (const auto address = parseAddress(text))
            addresses.push_back(*address);
    }
    return addresses;
}

std::string toString(const Address& address) { return address.host + ":" + std::to_string(address.port); }

std::string_view describe(NetError error)
{
    switch (error) {
    case NetError::BadAddress:
        return "not an address";
    case NetError::ConnectFailed:
        return "connection refused";
    case NetError::NotSent:
        return "connection broken before the request was sent";
    case NetError::Broken:
        return "connection broken";
    case NetError::TimedOut:
        return "timed out";
    case NetError::Malformed:
        return "malformed message";
    case NetError::TooLarge:
        return "message too large";
    case NetError::AddressInUse:
        return "address in use";
    }
    return "unknown error";
}

}
