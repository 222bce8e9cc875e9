#ifndef JUJUBEHEAD_STANDIN_CROWD_HPP
#define JUJUBEHEAD_STANDIN_CROWD_HPP

#include <chrono>  // for milliseconds
#include <cstddef> // for size_t
#include <iosfwd>  // for ostream
#include <map>     // for map
#include <string>  // for string

#include <boost/asio/awaitable.hpp>  // for awaitable
#include <boost/asio/io_context.hpp> // for io_context
#include <boost/asio/ip/tcp.hpp>     // for tcp

namespace jujubehead::standin {

/// @brief What each client of a crowd sends on its connection.
struct CrowdScript
{
  std::string head; ///< Sent first, at once.
  std::string unit; ///< Sent `units` times after it, without `cut`.
  std::size_t units = 0;
  std::size_t cut = 0;                   ///< Bytes left out at the end.
  std::string end;                       ///< Sent last, if nothing is cut.
  std::size_t piece_bytes = 64UL * 1024; ///< Of one write.
  std::chrono::milliseconds pause{ 0 };  ///< After each.
  bool expects_reply = false;            ///< Is at rest only with a reply.
  bool reads = true;                     ///< Takes what the server sends.
};

/// @brief Whom a crowd calls, and with what.
struct CrowdOptions
{
  std::string server; ///< `ip:port`.
  std::string kind;   ///< See MakeCrowdScript().
  std::size_t clients = 40;
  std::size_t body_bytes = 4UL * 1024 * 1024;
  std::string path = "/";
  std::string lines; ///< Header lines, each with its end.
};

/// @return what the clients of a kind send. @throws std::invalid_argument.
CrowdScript
MakeCrowdScript(const CrowdOptions& aOptions);

/// @brief Clients that send their script at once, each on a connection of its
/// own, and then keep it open until the process ends.
class Crowd
{
public:
  /// @param aLog gets a line once all clients are at rest: they have sent all
  /// and the server's kernel has it, or their connection ended.
  Crowd(boost::asio::io_context& aContext,
        const CrowdOptions& aOptions,
        std::ostream& aLog);

  void Start();

private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> RunClient();
  boost::asio::awaitable<bool> Send(boost::asio::ip::tcp::socket& aSocket);
  /// @brief Takes what is there. @return whether the connection is open.
  bool Read(boost::asio::ip::tcp::socket& aSocket, std::string& aReply);

  boost::asio::io_context& m_context;
  std::size_t m_clients;
  std::string m_server;
  CrowdScript m_script;
  std::string m_tape; ///< Units, more than one write takes.
  std::ostream& m_log;
  std::size_t m_at_rest = 0;
  std::map<std::string, std::size_t> m_outcomes;
};

} // namespace jujubehead::standin

#endif // JUJUBEHEAD_STANDIN_CROWD_HPP
