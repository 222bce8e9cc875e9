#ifndef JUJUBEHEAD_NODE_ENDPOINT_HPP
#define JUJUBEHEAD_NODE_ENDPOINT_HPP

#include <optional>    // for optional
#include <string>      // for string
#include <string_view> // for string_view

#include <boost/asio/ip/tcp.hpp> // for tcp

namespace jujubehead::node {

/// @return the endpoint of `ip:port`; nothing when the text is not one.
std::optional<boost::asio::ip::tcp::endpoint>
FindEndpoint(std::string_view aText);

/// @return the endpoint of `ip:port`.
/// @throws std::invalid_argument when the text is not one.
boost::asio::ip::tcp::endpoint
ReadEndpoint(const std::string& aText);

} // namespace jujubehead::node

#endif // JUJUBEHEAD_NODE_ENDPOINT_HPP
