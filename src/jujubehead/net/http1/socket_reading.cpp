#include "jujubehead/net/http1/socket_reading.hpp"

#include <array> // for array

#include <boost/asio/buffer.hpp> // for buffer

namespace jujubehead::net {
namespace {

namespace asio = boost::asio;

/// A few packets of a loaded link, and small beside an instance's memory.
constexpr std::size_t kReadBytes = 32UL * 1024;

} // namespace

boost::system::error_code
ReadAvailable(asio::ip::tcp::socket& aSocket, std::string& aInput)
{
  thread_local std::array<char, kReadBytes> buffer;
  boost::system::error_code error;
  const std::size_t size = aSocket.read_some(asio::buffer(buffer), error);
  aInput.append(buffer.data(), size);
  return error;
}

bool
IsSilent(asio::ip::tcp::socket& aSocket)
{
  char unasked = 0;
  boost::system::error_code error;
  aSocket.receive(
    asio::buffer(&unasked, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace jujubehead::net
