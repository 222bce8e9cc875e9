#ifndef JUJUBEHEAD_NET_CLIENT_CONNECTION_HPP
#define JUJUBEHEAD_NET_CLIENT_CONNECTION_HPP

#include <map>    // for map
#include <memory> // for shared_ptr
#include <string> // for string
#include <vector> // for vector

#include <boost/beast/core/flat_buffer.hpp> // for flat_buffer

#include "byte_stream.hpp"             // for ByteStream
#include "jujubehead/net/deadline.hpp" // for Deadline

#include "jujubehead/core/runtime_clock.hpp" // for Instant

namespace jujubehead::net {

/// @brief A connection of the client, in use or at rest.
struct ClientConnection
{
  /// @param aTls null on a plain connection.
  ClientConnection(const boost::asio::any_io_executor& aExecutor,
                   std::shared_ptr<boost::asio::ssl::context> aTls);

  /// @return whether the other side kept it open and sent nothing unasked.
  [[nodiscard]] bool IsAtRest();
  void Close();

  ByteStream stream;
  boost::beast::flat_buffer buffer;
  Deadline deadline; ///< Closes the connection.
  bool timed_out = false;
  core::Instant resting_since;
};

/// @brief Connections at rest, by authority.
class ClientPool
{
public:
  /// @return the one that rested last and still holds; null when there is none.
  std::shared_ptr<ClientConnection> Take(const std::string& aAuthority);
  void Put(const std::string& aAuthority,
           std::shared_ptr<ClientConnection> aConnection);

private:
  void Sweep(core::Instant aNow);

  std::map<std::string, std::vector<std::shared_ptr<ClientConnection>>>
    m_resting;
  core::Instant m_swept;
};

} // namespace jujubehead::net

#endif // JUJUBEHEAD_NET_CLIENT_CONNECTION_HPP
