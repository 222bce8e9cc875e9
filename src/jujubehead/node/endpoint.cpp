#include "jujubehead/node/endpoint.hpp"

#include <charconv>  // for from_chars
#include <stdexcept> // for invalid_argument

namespace jujubehead::node {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint>
FindEndpoint(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(aText.substr(0, colon), error);
  if (error || parsed.ptr != end || parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

tcp::endpoint
ReadEndpoint(const std::string& aText)
{
  const auto endpoint = FindEndpoint(aText);
  if (!endpoint) {
    throw std::invalid_argument("'" + aText + "' is no ip:port");
  }
  return *endpoint;
}

} // namespace jujubehead::node
